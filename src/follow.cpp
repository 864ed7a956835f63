#include "follow.h"

#include <algorithm>
#include <set>

#include "entryduties.h"
#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Pause after a failed read of an instance that reads the store for others.
constexpr Duration kRetryPause = std::chrono::milliseconds(250);

// Pause after a failed read of another one, doubled with each further failure.
constexpr Duration kFirstProbePause = std::chrono::seconds(1);
constexpr Duration kLongestProbePause = std::chrono::seconds(4);

// Silence of the store after which an instance that reads it counts as turned
// away. While the store answers, the longest read takes 0.7 s.
constexpr Duration kServedAge = std::chrono::milliseconds(1100);

// Pause between two reads of the list of instances, at first and later: many
// instances start together.
constexpr Duration kFirstInstancesPoll = std::chrono::milliseconds(700);
constexpr Duration kInstancesPoll = std::chrono::seconds(4);
constexpr std::uint32_t kFirstInstancesReads = 5;

// Time after the store's return in which all instances have written the usage
// that they kept, beyond the pause between two tries: an append and the
// holder's next read.
constexpr Duration kUsageReturnTime = std::chrono::milliseconds(1500);

// Silence of the store after which it counts as lost.
constexpr Duration kLostAfter = std::chrono::milliseconds(1200);

void TakeCatalogRecords(ControlState& state, const ReadResult& result) {
  for (const StreamRecord& record : result.m_records) {
    const auto catalog = state.m_records->ReadCatalog(record);
    if (catalog) {
      AdoptCatalog(state, *catalog, "store");
    } else if (!record.m_removed) {
      ++state.m_counters.m_unreadable;
      LogLine("record_unreadable")
          .Add("stream", ToName(Stream::kConfiguration))
          .Add("key", record.m_key)
          .Add("offset", static_cast<std::int64_t>(record.m_offset));
    }
  }
}

// Whether the entry is older than what is known of the endpoint: records may
// arrive late.
bool IsOutdated(const ControlState& state, const schema::EndpointEntry& entry) {
  const auto found = state.m_directory.m_endpoints.find(entry.id());
  if (found == state.m_directory.m_endpoints.end()) return false;
  const schema::EndpointEntry& known = found->second.m_entry;
  if (entry.born_ms() != known.born_ms()) {
    return entry.born_ms() < known.born_ms();
  }
  return entry.sequence() < known.sequence();
}

void LogEndpoint(const ControlState& state, std::string_view what,
                 const std::string& id) {
  LogLine line("endpoint_list");
  line.Add("what", what).Add("endpoint", id);
  const auto found = state.m_directory.m_endpoints.find(id);
  if (found == state.m_directory.m_endpoints.end()) return;
  const schema::EndpointEntry& entry = found->second.m_entry;
  line.Add("service", entry.service())
      .Add("address", entry.address())
      .Add("zone", entry.zone())
      .Add("draining", entry.draining() ? 1 : 0)
      .Add("phase", schema::EnginePhase_Name(entry.phase()))
      .Add("cheap", entry.cheap() ? 1 : 0)
      .Add("born_ms", static_cast<std::int64_t>(entry.born_ms()))
      .Add("sequence", static_cast<std::int64_t>(entry.sequence()));
}

// Folds one record of the list of endpoints. Returns whether it changed.
bool TakeEndpointRecord(ControlState& state, const StreamRecord& record) {
  const Instant now = state.m_clock();
  if (record.m_removed) {
    LogEndpoint(state, "removed", record.m_key);
    return RemoveEntry(state.m_directory, record.m_key, now);
  }
  const auto entry = state.m_records->ReadEndpoint(record);
  if (!entry) {
    ++state.m_counters.m_unreadable;
    LogLine("record_unreadable")
        .Add("stream", ToName(Stream::kEndpoints))
        .Add("key", record.m_key)
        .Add("offset", static_cast<std::int64_t>(record.m_offset));
    return false;
  }
  if (IsOutdated(state, *entry)) return false;
  const bool changed = SetEntry(state.m_directory, *entry);
  if (changed) LogEndpoint(state, "changed", record.m_key);
  return changed;
}

// Entries that the newest records do not have are gone.
bool RemoveMissing(ControlState& state, const ReadResult& result) {
  std::set<std::string> present;
  for (const StreamRecord& record : result.m_records) {
    present.insert(record.m_key);
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    if (present.count(id) == 0) missing.push_back(id);
  }
  bool changed = false;
  for (const std::string& id : missing) {
    LogEndpoint(state, "missing", id);
    changed |= RemoveEntry(state.m_directory, id, state.m_clock());
  }
  return changed;
}

void TakeEndpoints(ControlState& state, const ReadResult& result,
                   bool is_newest) {
  bool changed = false;
  for (const StreamRecord& record : result.m_records) {
    changed |= TakeEndpointRecord(state, record);
  }
  if (is_newest) changed |= RemoveMissing(state, result);
  if (changed) PublishEndpoints(state);
}

void TakeInstances(ControlState& state, const ReadResult& result) {
  ++state.m_instance_reads;
  for (const StreamRecord& record : result.m_records) {
    schema::InstanceRecord parsed;
    if (record.m_removed || !parsed.ParseFromString(record.m_value)) continue;
    TakeInstance(state, parsed);
  }
  PublishInstances(state);
}

// Pause after a read of the list of instances.
Duration InstancesPause(const ControlState& state) {
  return state.m_instance_reads < kFirstInstancesReads ? kFirstInstancesPoll
                                                       : kInstancesPoll;
}

// Whether this instance reads the store for others, and not just for the time
// being.
bool IsReader(const ControlState& state) {
  return !HasUpstream(state.m_upstream) &&
         !AvoidsUpstream(state.m_upstream, state.m_clock());
}

// Returns the pause after a failed read.
Duration NextRetryPause(ControlState& state) {
  if (IsReader(state)) return kRetryPause;
  constexpr std::uint32_t kMaxDoublings = 2;
  const std::uint32_t doublings =
      std::min(state.m_failed_probes++, kMaxDoublings);
  return std::min(kFirstProbePause * (1U << doublings), kLongestProbePause);
}

void TakeRecords(ControlState& state, Stream stream, const ReadResult& result,
                 bool is_newest) {
  switch (stream) {
    case Stream::kConfiguration:
      TakeCatalogRecords(state, result);
      break;
    case Stream::kEndpoints:
      TakeEndpoints(state, result, is_newest);
      break;
    default:
      TakeInstances(state, result);
      break;
  }
}

// Logs when this instance begins or ceases to read the store by itself.
void LogReading(ControlState& state) {
  const bool reads = ReadsStore(state);
  if (reads == state.m_was_reading) return;
  state.m_was_reading = reads;
  LogLine("store_reading")
      .Add("reads", reads ? 1 : 0)
      .Add("upstream", HasUpstream(state.m_upstream)
                           ? state.m_upstream.m_chosen.m_name
                           : "store")
      .Add("upstream_store_answers", state.m_link.m_store_answers ? 1 : 0)
      .AddMs("state_age_ms", state.m_clock() - StateConfirmed(state))
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered);
}

// Reads a keyed stream: first its newest records, then what follows.
void FollowKeyed(ControlState& state, Stream stream, Follower& follower,
                 Duration wait, Duration pause) {
  const Instant now = state.m_clock();
  if (follower.m_busy || now < follower.m_due) return;
  follower.m_busy = true;
  const bool newest = !follower.m_known;
  const auto done = [&state, &follower, stream, pause,
                     newest](const ReadResult& result) {
    follower.m_busy = false;
    follower.m_due = state.m_clock() + pause;
    NoteStoreCall(state,
                  result.m_fault == StoreFault::kTrimmed ? StoreFault::kNone
                                                         : result.m_fault,
                  result.m_detail);
    if (result.m_fault == StoreFault::kTrimmed) {
      LogLine("history_trimmed").Add("stream", ToName(stream));
      follower.m_known = false;
      follower.m_due = {};
    } else if (result.m_fault != StoreFault::kNone) {
      follower.m_due = state.m_clock() + NextRetryPause(state);
    } else {
      follower.m_confirmed = state.m_clock();
      if (stream == Stream::kEndpoints) {
        OnStoreAnswer(state.m_directory, follower.m_confirmed);
      }
      follower.m_known = true;
      follower.m_next = result.m_next;
      TakeRecords(state, stream, result, newest);
    }
  };
  if (newest) {
    state.m_store->ReadNewest(stream, done);
  } else {
    state.m_store->Read(stream, follower.m_next, wait, done);
  }
}

}  // namespace

bool AdoptCatalog(ControlState& state, const schema::Catalog& catalog,
                  std::string_view source) {
  const bool known = state.m_catalog.has_value();
  if (known && catalog.version() <= state.m_catalog->version()) return false;
  LogLine("catalog_adopted")
      .Add("version", static_cast<std::int64_t>(catalog.version()))
      .Add("before",
           known ? static_cast<std::int64_t>(state.m_catalog->version()) : -1)
      .Add("source", source)
      .Add("routes", catalog.routes_size())
      .Add("workspaces", catalog.workspaces_size());
  state.m_catalog = catalog;
  schema::RelayMessage message;
  *message.mutable_catalog() = catalog;
  state.m_relay->Post(std::move(message));
  return true;
}

void PublishEndpoints(ControlState& state) {
  schema::RelayMessage message;
  *message.mutable_endpoints() = ListEntries(state.m_directory);
  state.m_relay->Post(std::move(message));
}

void NoteStoreCall(ControlState& state, StoreFault fault,
                   std::string_view detail) {
  ++state.m_counters.m_store_calls;
  const Instant now = state.m_clock();
  const bool answered = fault != StoreFault::kUnanswered &&
                        fault != StoreFault::kRefused &&
                        fault != StoreFault::kMalformed;
  if (answered) {
    if (state.m_store_lost) {
      LogLine("store_regained").AddMs("lost_ms", now - state.m_store_answered);
      state.m_tally.m_complete_from =
          now + kUsageReturnTime + UsageRetryPause(state);
    }
    state.m_store_lost = false;
    state.m_failed_probes = 0;
    state.m_store_answered = now;
    return;
  }
  ++state.m_counters.m_store_faults;
  if (state.m_store_lost || now - state.m_store_answered < kLostAfter) return;
  state.m_store_lost = true;
  LogLine("store_lost")
      .Add("fault", ToName(fault))
      .Add("detail", detail)
      .AddMs("silent_ms", now - state.m_store_answered);
}

bool IsServed(const ControlState& state) {
  return state.m_clock() - state.m_store_answered < kServedAge;
}

bool ReadsStore(const ControlState& state) {
  if (!HasUpstream(state.m_upstream)) return true;
  if (!state.m_link.m_store_answers) return true;
  return state.m_clock() - StateConfirmed(state) >= kFollowerStaleAge;
}

bool ProbesStore(const ControlState& state) {
  return !IsReader(state) && (state.m_store_lost || !IsServed(state));
}

Instant StateConfirmed(const ControlState& state) {
  return std::min(state.m_follow_catalog.m_confirmed,
                  state.m_follow_endpoints.m_confirmed);
}

void TakeInstance(ControlState& state, const schema::InstanceRecord& record) {
  schema::InstanceRecord& known = state.m_instances[record.name()];
  if (record.incarnation() >= known.incarnation()) known = record;
}

void PublishInstances(ControlState& state) {
  std::uint32_t live = 0;
  for (const auto& [name, known] : state.m_instances) {
    if (!known.left()) ++live;
  }
  state.m_live_instances = std::max<std::uint32_t>(live, 1);
  schema::RelayMessage message;
  message.mutable_peers()->set_instances(state.m_live_instances);
  state.m_relay->Post(std::move(message));
}

void FollowStore(ControlState& state) {
  if (ExpireEntries(state.m_directory, state.m_clock())) {
    PublishEndpoints(state);
  }
  LogReading(state);
  if (!ReadsStore(state)) return;
  const bool probes = ProbesStore(state);
  FollowKeyed(state, Stream::kConfiguration, state.m_follow_catalog,
              probes ? Duration(0) : state.m_options.m_watch, Duration(0));
  if (probes) return;
  FollowKeyed(state, Stream::kEndpoints, state.m_follow_endpoints, Duration(0),
              state.m_options.m_poll);
  FollowKeyed(state, Stream::kInstances, state.m_follow_instances, Duration(0),
              InstancesPause(state));
}

}  // namespace comfreypaddle
