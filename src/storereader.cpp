#include "storereader.h"

#include <algorithm>
#include <vector>

#include "endpointlimit.h"
#include "endpointlist.h"
#include "entryduties.h"
#include "eventlog.h"
#include "statequery.h"
#include "storeera.h"
#include "usageflush.h"

namespace comfreypaddle {

namespace {

// Delay after a failed read by an instance that reads the store for its zone.
constexpr Duration kReaderRetryDelay = std::chrono::milliseconds(250);

// Backoff after a failed read by any other instance, doubled with each further
// failure.
constexpr Duration kInitialProbeBackoff = std::chrono::seconds(1);
constexpr Duration kMaxProbeBackoff = std::chrono::seconds(4);

// Time without an answer after which the store counts as not serving this
// instance. The longest read of a store that answers takes 0.7 s.
constexpr Duration kServedTimeout = std::chrono::milliseconds(1100);

// Interval between reads of the instance list. The first reads are more
// frequent, because many instances start at the same time.
constexpr Duration kInitialInstancesInterval = std::chrono::milliseconds(700);
constexpr Duration kInstancesInterval = std::chrono::seconds(4);
constexpr std::uint32_t kInitialInstancesReads = 5;

// Time after the store recovers within which all instances have stored their
// pending usage and the duty holder has read it, in addition to the retry
// delay: one append and the holder's next read.
constexpr Duration kUsageCatchUpTime = std::chrono::milliseconds(1500);

// Time without an answer after which the store counts as unreachable.
constexpr Duration kStoreLostTimeout = std::chrono::milliseconds(1200);

void ApplyCatalogRecords(ControlState& state, const ReadResult& result) {
  for (const StreamRecord& record : result.m_records) {
    const auto catalog = state.m_records->DecodeCatalog(record);
    if (catalog) {
      ApplyCatalog(state, *catalog, "store");
    } else if (!record.m_removed) {
      ++state.m_counters.m_unreadable;
      LogLine("record_decode_failed")
          .Add("stream", ToName(Stream::kConfiguration))
          .Add("key", record.m_key)
          .Add("offset", static_cast<std::int64_t>(record.m_offset));
    }
  }
}

void ApplyInstanceRecords(ControlState& state, const ReadResult& result,
                          bool is_whole) {
  ++state.m_instance_reads;
  std::set<std::string> names;
  for (const StreamRecord& record : result.m_records) {
    schema::InstanceRecord parsed;
    if (record.m_removed) {
      RemoveInstance(state, record.m_key);
    } else if (parsed.ParseFromString(record.m_value)) {
      ApplyInstanceRecord(state, parsed);
      names.insert(parsed.name());
    }
  }
  if (is_whole) KeepInstances(state, names);
  PublishInstances(state);
}

// Delay until the next read of the instance list.
Duration InstancesReadInterval(const ControlState& state) {
  return state.m_instance_reads < kInitialInstancesReads
             ? kInitialInstancesInterval
             : kInstancesInterval;
}

// Whether this instance reads the store for its zone permanently, rather than
// in place of an upstream that it avoids for now.
bool IsZoneReader(const ControlState& state) {
  return !HasUpstream(state.m_upstream) &&
         !HasUpstreamInBackoff(state.m_upstream, state.m_clock());
}

// Returns the delay after a failed read and advances the backoff.
Duration NextRetryDelay(ControlState& state) {
  if (IsZoneReader(state)) return kReaderRetryDelay;
  constexpr std::uint32_t kMaxDoublings = 2;
  const std::uint32_t doublings =
      std::min(state.m_failed_probes++, kMaxDoublings);
  return std::min(kInitialProbeBackoff * (1U << doublings), kMaxProbeBackoff);
}

// Records of a read that are not covered by the local copy yet. Another
// instance may have advanced it while the read was in flight.
ReadResult RecordsFrom(ReadResult result, std::uint64_t offset) {
  auto& records = result.m_records;
  records.erase(std::remove_if(records.begin(), records.end(),
                               [offset](const StreamRecord& record) {
                                 return record.m_offset < offset;
                               }),
                records.end());
  return result;
}

// Applies the records of a read. is_newest: they are the newest of each key;
// is_same_era: those of the store that the known ones are from.
void ApplyRecords(ControlState& state, Stream stream, const ReadResult& result,
                  bool is_newest, bool is_same_era) {
  switch (stream) {
    case Stream::kConfiguration:
      ApplyCatalogRecords(state, result);
      break;
    case Stream::kEndpoints:
      ApplyEndpointRecords(state, result, is_newest);
      break;
    default:
      // A copy of the store may lack records of instances that live.
      ApplyInstanceRecords(state, result, is_newest && is_same_era);
      break;
  }
}

// Logs when this instance starts or stops reading the store itself.
void LogStoreReading(ControlState& state) {
  const bool reads = ShouldReadStore(state);
  if (reads == state.m_was_reading) return;
  state.m_was_reading = reads;
  LogLine("store_reading")
      .Add("reads", reads ? 1 : 0)
      .Add("upstream", HasUpstream(state.m_upstream)
                           ? state.m_upstream.m_selected.m_name
                           : "store")
      .Add("upstream_store_answers",
           state.m_upstream_link.m_store_answers ? 1 : 0)
      .AddMs("state_age_ms", state.m_clock() - StateConfirmedAt(state))
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered);
}

// Time as of which an answer to a read is known to match the store: that of the
// sending, because the process may have been paused since. The answer to a read
// that waits for records is made up to the wait later, and counts as of now.
Instant ConfirmedBy(Instant sent, Duration wait, Instant now) {
  return wait == Duration(0) ? sent : now;
}

// Whether the next read of a keyed stream must be a snapshot.
bool NeedsSnapshot(const ControlState& state, const StreamCursor& cursor) {
  return !cursor.m_initialized || cursor.m_needs_snapshot ||
         cursor.m_era < state.m_store_era.value_or(0);
}

// A read of a keyed stream.
struct KeyedRead {
  Stream m_stream = Stream::kConfiguration;
  bool m_is_snapshot = false;
  Duration m_wait{0};   // Longest wait of the store for new records.
  Duration m_pause{0};  // Until the next read.
  Instant m_sent{};
};

// Applies what a read has returned, up to its end position.
void ApplyKeyedRead(ControlState& state, StreamCursor& cursor,
                    const KeyedRead& read, const ReadResult& result,
                    const StreamPosition& end) {
  const std::uint64_t covered = read.m_is_snapshot ? 0 : cursor.m_next;
  cursor.m_confirmed =
      std::max(cursor.m_confirmed,
               ConfirmedBy(read.m_sent, read.m_wait, state.m_clock()));
  if (read.m_stream == Stream::kEndpoints) {
    ConfirmEndpointList(state, cursor.m_confirmed, kStoreSource);
  }
  cursor.m_initialized = true;
  if (read.m_is_snapshot) cursor.m_needs_snapshot = false;
  const bool is_same_era = cursor.m_era == end.m_era;
  cursor.m_era = end.m_era;
  cursor.m_next = end.m_offset;
  ApplyRecords(state, read.m_stream, RecordsFrom(result, covered),
               read.m_is_snapshot, is_same_era);
}

// Handles the answer to a read of a keyed stream.
void OnKeyedRead(ControlState& state, StreamCursor& cursor,
                 const KeyedRead& read, const ReadResult& result) {
  cursor.m_busy = false;
  cursor.m_due = state.m_clock() + read.m_pause;
  const StoreFault fault = RecordStoreCall(state, result);
  const StreamPosition end{EraOf(state, result), result.m_next};
  if (fault == StoreFault::kTrimmed) {
    LogLine("history_trimmed").Add("stream", ToName(read.m_stream));
    cursor.m_needs_snapshot = true;
    cursor.m_due = {};
  } else if (fault != StoreFault::kNone) {
    cursor.m_due = state.m_clock() + NextRetryDelay(state);
  } else if (!read.m_is_snapshot && end.m_era != cursor.m_era) {
    LogLine("read_of_other_era")
        .Add("stream", ToName(read.m_stream))
        .Add("era", static_cast<std::int64_t>(end.m_era))
        .Add("read_era", static_cast<std::int64_t>(cursor.m_era));
    cursor.m_due = {};
  } else if (end < ReadPosition(cursor)) {
    LogLine("read_outdated")
        .Add("stream", ToName(read.m_stream))
        .Add("end_offset", static_cast<std::int64_t>(end.m_offset))
        .Add("read_offset", static_cast<std::int64_t>(cursor.m_next))
        .Add("era", static_cast<std::int64_t>(end.m_era));
  } else {
    ApplyKeyedRead(state, cursor, read, result, end);
  }
}

// Reads a keyed stream: first a snapshot of the newest record per key, then the
// records appended since.
void ReadKeyedStream(ControlState& state, Stream stream, StreamCursor& cursor,
                     Duration wait, Duration pause) {
  const Instant now = state.m_clock();
  if (cursor.m_busy || now < cursor.m_due) return;
  cursor.m_busy = true;
  const KeyedRead read{stream, NeedsSnapshot(state, cursor), wait, pause, now};
  const auto done = [&state, &cursor, read](const ReadResult& result) {
    OnKeyedRead(state, cursor, read, result);
  };
  if (read.m_is_snapshot) {
    state.m_store->ReadNewest(stream, done);
  } else {
    state.m_store->Read(stream, cursor.m_next, wait, done);
  }
}

}  // namespace

bool ApplyCatalog(ControlState& state, const schema::Catalog& catalog,
                  std::string_view source) {
  const bool known = state.m_catalog.has_value();
  if (known && catalog.version() <= state.m_catalog->version()) return false;
  LogLine("catalog_applied")
      .Add("version", static_cast<std::int64_t>(catalog.version()))
      .Add("previous_version",
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

StoreFault RecordStoreCall(ControlState& state, const StoreAnswer& answer) {
  ++state.m_counters.m_store_calls;
  const bool is_current =
      !answer.m_era || ObserveEra(state, *answer.m_era, kStoreEraSource);
  const StoreFault fault =
      is_current ? answer.m_fault : StoreFault::kEraChanged;
  const Instant now = state.m_clock();
  const bool answered = fault != StoreFault::kUnanswered &&
                        fault != StoreFault::kRefused &&
                        fault != StoreFault::kMalformed;
  if (answered) {
    if (state.m_store_lost) {
      LogLine("store_recovered").AddMs("lost_ms", now - state.m_store_answered);
      state.m_usage_aggregate.m_complete_from =
          now + kUsageCatchUpTime + UsageRetryDelay(state);
    }
    state.m_store_lost = false;
    state.m_failed_probes = 0;
    state.m_store_answered = now;
    return fault;
  }
  ++state.m_counters.m_store_faults;
  OnStoreFault(state.m_directory, now);
  if (state.m_store_lost || now - state.m_store_answered < kStoreLostTimeout) {
    return fault;
  }
  state.m_store_lost = true;
  LogLine("store_unavailable")
      .Add("fault", ToName(fault))
      .Add("detail", answer.m_detail)
      .AddMs("silent_ms", now - state.m_store_answered);
  return fault;
}

bool IsServedByStore(const ControlState& state) {
  return state.m_clock() - state.m_store_answered < kServedTimeout;
}

bool ShouldReadStore(const ControlState& state) {
  if (!HasUpstream(state.m_upstream)) return true;
  if (!state.m_upstream_link.m_store_answers) return true;
  return state.m_clock() - StateConfirmedAt(state) >= kFollowerStaleAfter;
}

bool IsProbingStore(const ControlState& state) {
  return !IsZoneReader(state) &&
         (state.m_store_lost || !IsServedByStore(state));
}

Instant StateConfirmedAt(const ControlState& state) {
  return std::min(state.m_catalog_cursor.m_confirmed,
                  state.m_endpoints_cursor.m_confirmed);
}

void ApplyInstanceRecord(ControlState& state,
                         const schema::InstanceRecord& record) {
  schema::InstanceRecord& known = state.m_instances[record.name()];
  const bool has_left =
      known.left() && record.incarnation() == known.incarnation();
  if (record.incarnation() >= known.incarnation()) known = record;
  // A copy of the store may have a record from before it left.
  if (has_left) known.set_left(true);
}

void RemoveInstance(ControlState& state, const std::string& name) {
  if (state.m_instances.erase(name) == 0) return;
  LogLine("instance_removed").Add("instance", name);
  if (name == state.m_options.m_name) state.m_registered = false;
}

void KeepInstances(ControlState& state, const std::set<std::string>& names) {
  std::vector<std::string> removed;
  for (const auto& [name, known] : state.m_instances) {
    if (names.count(name) == 0) removed.push_back(name);
  }
  for (const std::string& name : removed) RemoveInstance(state, name);
}

void PublishInstances(ControlState& state) {
  std::uint32_t live = 0;
  std::uint32_t before = 0;  // Those whose names precede this one's.
  bool listed = false;
  schema::RelayMessage message;
  for (const auto& [name, known] : state.m_instances) {
    if (known.left()) continue;
    ++live;
    message.mutable_peers()->add_name_hashes(InstanceHash(name));
    if (name == state.m_options.m_name) listed = true;
    if (name < state.m_options.m_name) ++before;
  }
  state.m_live_instances = std::max<std::uint32_t>(live, 1);
  message.mutable_peers()->set_instances(state.m_live_instances);
  message.mutable_peers()->set_position(before);
  message.mutable_peers()->set_listed(listed);
  state.m_relay->Post(std::move(message));
}

void PollStore(ControlState& state) {
  ExpireEndpoints(state);
  LogStoreReading(state);
  if (!ShouldReadStore(state)) return;
  const bool probes = IsProbingStore(state);
  ReadKeyedStream(state, Stream::kConfiguration, state.m_catalog_cursor,
                  probes ? Duration(0) : state.m_options.m_store_read_wait,
                  Duration(0));
  if (probes) return;
  ReadKeyedStream(state, Stream::kEndpoints, state.m_endpoints_cursor,
                  Duration(0), state.m_options.m_poll_interval);
  ReadKeyedStream(state, Stream::kInstances, state.m_instances_cursor,
                  Duration(0), InstancesReadInterval(state));
}

void ReadEndpointsNow(ControlState& state) {
  // After a fault the store is asked as often as otherwise.
  if (state.m_store_lost || state.m_directory.m_first_fault) return;
  state.m_endpoints_cursor.m_due = {};
  ReadKeyedStream(state, Stream::kEndpoints, state.m_endpoints_cursor,
                  Duration(0), state.m_options.m_poll_interval);
}

}  // namespace comfreypaddle
