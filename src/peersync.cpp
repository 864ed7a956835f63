#include "peersync.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "instancecall.h"
#include "servedinstances.h"
#include "statemerge.h"
#include "statequery.h"
#include "storereader.h"
#include "usageflush.h"

namespace comfreypaddle {

namespace {

// Age of the state after which an instance without an upstream queries other
// instances.
constexpr Duration kReaderStaleAfter = std::chrono::milliseconds(1000);

// Age below which the state in an answer counts as current.
constexpr Duration kMaxFreshAge = std::chrono::milliseconds(1000);

constexpr Duration kQueryTimeout = std::chrono::milliseconds(600);

// Search rounds in which every answer is logged. In later rounds only answers
// with newer data are, so that a long outage does not flood the log.
constexpr std::uint32_t kFullyLoggedRounds = 4;

// Long-poll timeout at the upstream, and the shortest interval between two
// queries.
constexpr Duration kLongPollTimeout = std::chrono::milliseconds(500);
constexpr Duration kMinQueryInterval = std::chrono::milliseconds(100);

// Delay before a registration is retried.
constexpr Duration kRegisterRetryDelay = std::chrono::milliseconds(500);

// Purpose of a query to another instance.
enum class QueryPurpose {
  kFollow,  // Long poll of the upstream.
  kSearch,  // The local state is stale.
};

// Called with the answer, or null if the query failed.
using StateCallback = std::function<void(const schema::InstanceState* other)>;

// Logs the state offered by an answer and its effect.
void LogAnswer(const ControlState& state, const schema::InstanceState& other,
               AnswerEffect effect, double own_age_ms) {
  const std::uint64_t own = state.m_catalog ? state.m_catalog->version() : 0;
  LogLine("neighbour_answer")
      .Add("instance", other.name())
      .Add("effect", ToName(effect))
      .Add("store_answers", other.store_answers() ? 1 : 0)
      .Add("age_ms", static_cast<std::int64_t>(std::max(
                         other.catalog_age_ms(), other.endpoints_age_ms())))
      .Add("local_age_ms", static_cast<std::int64_t>(own_age_ms))
      .Add("version", static_cast<std::int64_t>(other.catalog_version()))
      .Add("local_version", static_cast<std::int64_t>(own));
}

// Whether an answer is logged. The upstream answers continuously, so its answer
// is logged only when the reachability of its store changes.
bool IsLogged(ControlState& state, const schema::InstanceState& other,
              QueryPurpose purpose, AnswerEffect effect) {
  switch (purpose) {
    case QueryPurpose::kFollow:
      return std::exchange(state.m_upstream_link.m_store_answers,
                           other.store_answers()) != other.store_answers();
    case QueryPurpose::kSearch:
      return effect == AnswerEffect::kApplied ||
             state.m_search.m_rounds <= kFullyLoggedRounds;
  }
  return false;
}

void OnStateAnswer(ControlState& state, const schema::InstanceState& other,
                   QueryPurpose purpose, Instant sent_at) {
  const double own_age_ms = StateAgeMs(state);
  const AnswerEffect effect = MergePeerState(state, other, sent_at);
  ++state.m_counters.m_answers[effect];
  if (IsLogged(state, other, purpose, effect)) {
    LogAnswer(state, other, effect, own_age_ms);
  }
}

// Sends a query and merges the answer into the state.
void SendQuery(ControlState& state, const std::string& address,
               const schema::InstanceQuery& query, QueryPurpose purpose,
               const StateCallback& done) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kStateQueryTarget;
  call.m_body = query.SerializeAsString();
  call.m_connection_timeout = kQueryTimeout;
  call.m_call_timeout =
      kQueryTimeout + std::chrono::milliseconds(query.wait_ms());
  ++state.m_counters.m_peer_queries;
  CallInstance(state, call, "neighbour_failed",
               [&state, address, purpose, done,
                sent_at = state.m_clock()](const std::string* body) {
                 schema::InstanceState other;
                 const bool answered =
                     body != nullptr && other.ParseFromString(*body);
                 if (answered) {
                   OnStateAnswer(state, other, purpose, sent_at);
                 } else {
                   ++state.m_counters.m_peer_failures;
                 }
                 if (body != nullptr && !answered) {
                   LogLine("neighbour_decode_failed").Add("address", address);
                 }
                 done(answered ? &other : nullptr);
               });
}

// Names of the other instances that have not deregistered.
std::vector<std::string> OtherInstances(const ControlState& state) {
  std::vector<std::string> names;
  for (const auto& [name, known] : state.m_instances) {
    if (name != state.m_options.m_name && !known.left()) names.push_back(name);
  }
  return names;
}

// Whether to query other instances: neither the store nor the upstream keeps
// the state current.
bool NeedsSearch(const ControlState& state) {
  const Duration age = state.m_clock() - StateConfirmedAt(state);
  if (HasUpstream(state.m_upstream)) return age >= kFollowerStaleAfter;
  return age >= kReaderStaleAfter || !IsServedByStore(state);
}

// Whether the state in an answer is current.
bool IsFresh(const schema::InstanceState& other) {
  return std::max(other.catalog_age_ms(), other.endpoints_age_ms()) <
         ToMs(kMaxFreshAge);
}

// Query that states what this instance already has.
schema::InstanceQuery MakeQuery(const ControlState& state) {
  schema::InstanceQuery query;
  query.set_name(state.m_options.m_name);
  const StreamPosition catalog = ReadPosition(state.m_catalog_cursor);
  query.set_catalog_offset(catalog.m_offset);
  query.set_catalog_era(catalog.m_era);
  if (state.m_catalog) query.set_catalog_version(state.m_catalog->version());
  const StreamPosition endpoints = ReadPosition(state.m_endpoints_cursor);
  query.set_endpoints_offset(endpoints.m_offset);
  query.set_endpoints_era(endpoints.m_era);
  const StreamPosition instances = ReadPosition(state.m_instances_cursor);
  query.set_instances_offset(instances.m_offset);
  query.set_instances_era(instances.m_era);
  if (state.m_store_era) query.set_store_era(*state.m_store_era);
  query.set_list_owner(state.m_upstream_link.m_list_owner);
  query.set_list_incarnation(state.m_upstream_link.m_list_incarnation);
  query.set_list_version(state.m_upstream_link.m_list_version);
  query.set_usage_waits(HasPendingUsage(state) || state.m_store_lost);
  query.set_asker_served(IsServedByStore(state));
  return query;
}

void LogUpstream(const ControlState& state, std::string_view reason) {
  LogLine("upstream_selected")
      .Add("instance", HasUpstream(state.m_upstream)
                           ? state.m_upstream.m_selected.m_name
                           : "store")
      .Add("reason", reason)
      .Add("live_instances", static_cast<std::int64_t>(state.m_live_instances))
      .Add("state_age_ms", static_cast<std::int64_t>(StateAgeMs(state)))
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered);
}

void ReselectUpstream(ControlState& state, std::string_view reason) {
  const Instant now = state.m_clock();
  if (!SelectUpstream(state.m_upstream, LiveInstances(state), now)) return;
  state.m_upstream_link.m_store_answers = true;
  LogUpstream(state, reason);
}

void OnLongPollEnd(ControlState& state, const std::string& name, Instant sent,
                   bool answered) {
  state.m_upstream_link.m_busy = false;
  const Instant now = state.m_clock();
  state.m_upstream_link.m_due = std::max(now, sent + kMinQueryInterval);
  if (answered) {
    OnUpstreamSuccess(state.m_upstream, name);
    return;
  }
  OnUpstreamFailure(state.m_upstream, name, now);
  ReselectUpstream(state, "no_answer");
}

// Whether to query other instances because this one has just started and reads
// the store: a copy of the store may lack what they know.
bool AsksAtStart(const ControlState& state) {
  return !state.m_asked_at_start && !HasUpstream(state.m_upstream) &&
         state.m_instances_cursor.m_initialized &&
         !OtherInstances(state).empty();
}

// Asks the instance that has a newer configuration for it.
void QueryNewerInstance(ControlState& state) {
  const auto found =
      state.m_instances.find(std::exchange(state.m_newer_instance, {}));
  if (found == state.m_instances.end()) return;
  SendQuery(state, found->second.peers(), MakeQuery(state),
            QueryPurpose::kSearch, [](const schema::InstanceState*) {});
}

}  // namespace

std::vector<UpstreamCandidate> LiveInstances(const ControlState& state) {
  std::vector<UpstreamCandidate> live;
  for (const auto& [name, known] : state.m_instances) {
    if (known.left()) continue;
    live.push_back({name, known.availability_zone(), known.peers()});
  }
  return live;
}

std::vector<UpstreamCandidate> ResponsiveInstances(const ControlState& state) {
  const Instant now = state.m_clock();
  std::vector<UpstreamCandidate> instances = LiveInstances(state);
  std::erase_if(instances, [&state, now](const UpstreamCandidate& instance) {
    return instance.m_name != state.m_options.m_name &&
           !IsResponsive(state.m_member_watch.m_watch, instance.m_address, now);
  });
  return instances;
}

void RegisterInstance(ControlState& state) {
  if (state.m_registered == !state.m_stopping || state.m_registering) return;
  if (state.m_clock() < state.m_register_due) return;
  state.m_registering = true;
  schema::InstanceRecord record;
  record.set_name(state.m_options.m_name);
  record.set_peers(state.m_options.m_peers);
  record.set_availability_zone(state.m_options.m_zone);
  record.set_incarnation(state.m_options.m_incarnation);
  record.set_left(state.m_stopping);
  StreamAppend append;
  append.m_stream = Stream::kInstances;
  append.m_key = state.m_options.m_name;
  append.m_value = record.SerializeAsString();
  state.m_store->Append(
      append, [&state, left = state.m_stopping](const AppendResult& result) {
        state.m_registering = false;
        state.m_register_due = state.m_clock() + kRegisterRetryDelay;
        if (RecordStoreCall(state, result) == StoreFault::kNone) {
          state.m_registered = !left;
        }
      });
}

void PollUpstream(ControlState& state) {
  const Instant now = state.m_clock();
  if (state.m_upstream_link.m_busy || now < state.m_upstream_link.m_due) return;
  ReselectUpstream(state, "order");
  if (!HasUpstream(state.m_upstream)) return;
  state.m_upstream_link.m_busy = true;
  schema::InstanceQuery query = MakeQuery(state);
  query.set_store_answered(state.m_upstream_link.m_store_answers);
  query.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(kLongPollTimeout)
          .count()));
  const std::string name = state.m_upstream.m_selected.m_name;
  SendQuery(state, state.m_upstream.m_selected.m_address, query,
            QueryPurpose::kFollow,
            [&state, name, now](const schema::InstanceState* other) {
              OnLongPollEnd(state, name, now, other != nullptr);
            });
}

void SearchPeers(ControlState& state) {
  QueryNewerInstance(state);
  const bool asks_at_start = AsksAtStart(state);
  if (!asks_at_start && !NeedsSearch(state)) {
    EndSearch(state.m_search);
    return;
  }
  schema::InstanceQuery query = MakeQuery(state);
  query.set_endpoints_age_ms(
      ToMs(state.m_clock() - state.m_endpoints_cursor.m_confirmed));
  const std::vector<std::string> round = SelectSearchTargets(
      state.m_search, state.m_options.m_name, OtherInstances(state),
      ServedInstances(state), state.m_clock());
  if (asks_at_start) state.m_asked_at_start = !round.empty();
  for (const std::string& name : round) {
    SendQuery(state, state.m_instances.at(name).peers(), query,
              QueryPurpose::kSearch,
              [&state, name](const schema::InstanceState* other) {
                OnSearchAnswer(state.m_search, name,
                               other != nullptr && IsFresh(*other));
              });
  }
}

}  // namespace comfreypaddle
