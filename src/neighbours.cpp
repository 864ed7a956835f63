#include "neighbours.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "follow.h"
#include "handover.h"
#include "inquiry.h"
#include "instancecall.h"
#include "learn.h"
#include "served.h"

namespace comfreypaddle {

namespace {

// Age of what is known of the store after which an instance that reads the
// store by itself asks others.
constexpr Duration kReaderStaleAge = std::chrono::milliseconds(1000);

// Age up to which an answer counts as what the store had a moment ago.
constexpr Duration kFreshAge = std::chrono::milliseconds(1000);

constexpr Duration kCallTime = std::chrono::milliseconds(600);

// Rounds of a search whose answers are logged. Later ones are logged only if
// they brought something, so that a long outage does not fill the logs.
constexpr std::uint32_t kLoggedRounds = 4;

// Time for which the followed instance may keep a question, and the least time
// between two.
constexpr Duration kUpstreamWait = std::chrono::milliseconds(500);
constexpr Duration kUpstreamPause = std::chrono::milliseconds(100);

// Pause before a failed registration is tried again.
constexpr Duration kRegisterPause = std::chrono::milliseconds(500);

// Why another instance is asked.
enum class AskReason {
  kFollow,  // It is the followed one.
  kSearch,  // What this instance knows is old.
  kCrash,   // It is told of a crash.
};

// Gets the answer, or null if there is none.
using AnswerTaken = std::function<void(const schema::InstanceState* other)>;

// Logs what an answer offered and what became of it.
void LogAnswer(const ControlState& state, const schema::InstanceState& other,
               AnswerUse use, double own_age_ms) {
  const std::uint64_t own = state.m_catalog ? state.m_catalog->version() : 0;
  LogLine("neighbour_answer")
      .Add("instance", other.name())
      .Add("use", ToName(use))
      .Add("store_answers", other.store_answers() ? 1 : 0)
      .Add("age_ms", static_cast<std::int64_t>(std::max(
                         other.catalog_age_ms(), other.endpoints_age_ms())))
      .Add("own_age_ms", static_cast<std::int64_t>(own_age_ms))
      .Add("version", static_cast<std::int64_t>(other.catalog_version()))
      .Add("own_version", static_cast<std::int64_t>(own));
}

// Whether an answer is logged. The followed instance answers all the time: only
// that it has lost the store, or has it again, is logged there.
bool IsLogged(ControlState& state, const schema::InstanceState& other,
              AskReason reason, AnswerUse use) {
  switch (reason) {
    case AskReason::kFollow:
      return std::exchange(state.m_link.m_store_answers,
                           other.store_answers()) != other.store_answers();
    case AskReason::kSearch:
      return use == AnswerUse::kTaken ||
             state.m_search.m_rounds <= kLoggedRounds;
    case AskReason::kCrash:
      return false;
  }
  return false;
}

void OnAnswer(ControlState& state, const schema::InstanceState& other,
              AskReason reason, Instant asked) {
  const double own_age_ms = StateAgeMs(state);
  const AnswerUse use = TakeAnswer(state, other, asked);
  ++state.m_counters.m_answers[use];
  if (IsLogged(state, other, reason, use)) {
    LogAnswer(state, other, use, own_age_ms);
  }
}

// Asks the instance and takes its answer over.
void Ask(ControlState& state, const std::string& address,
         const schema::InstanceQuery& query, AskReason reason,
         const AnswerTaken& done) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kNeighbourTarget;
  call.m_body = query.SerializeAsString();
  call.m_connect_time = kCallTime;
  call.m_time = kCallTime + std::chrono::milliseconds(query.wait_ms());
  ++state.m_counters.m_peer_queries;
  CallInstance(*state.m_peers, call, "neighbour_failed",
               [&state, address, reason, done,
                asked = state.m_clock()](const std::string* body) {
                 schema::InstanceState other;
                 const bool answered =
                     body != nullptr && other.ParseFromString(*body);
                 if (answered) {
                   OnAnswer(state, other, reason, asked);
                 } else {
                   ++state.m_counters.m_peer_failures;
                 }
                 if (body != nullptr && !answered) {
                   LogLine("neighbour_unreadable").Add("address", address);
                 }
                 done(answered ? &other : nullptr);
               });
}

// Names of the other instances that have not left.
std::vector<std::string> OtherInstances(const ControlState& state) {
  std::vector<std::string> names;
  for (const auto& [name, known] : state.m_instances) {
    if (name != state.m_options.m_name && !known.left()) names.push_back(name);
  }
  return names;
}

// Whether other instances are to be asked: the store does not tell, and neither
// does the followed one.
bool Searches(const ControlState& state) {
  const Duration age = state.m_clock() - StateConfirmed(state);
  if (HasUpstream(state.m_upstream)) return age >= kFollowerStaleAge;
  return age >= kReaderStaleAge || !IsServed(state);
}

// Whether an answer tells what the store had a moment ago.
bool IsFresh(const schema::InstanceState& other) {
  return std::max(other.catalog_age_ms(), other.endpoints_age_ms()) <
         ToMs(kFreshAge);
}

// Question with what this instance knows.
schema::InstanceQuery MakeQuery(const ControlState& state) {
  schema::InstanceQuery query;
  query.set_name(state.m_options.m_name);
  query.set_catalog_offset(KnownOffset(state.m_follow_catalog));
  query.set_endpoints_offset(KnownOffset(state.m_follow_endpoints));
  query.set_instances_offset(KnownOffset(state.m_follow_instances));
  query.set_list_owner(state.m_link.m_list_owner);
  query.set_list_incarnation(state.m_link.m_list_incarnation);
  query.set_list_version(state.m_link.m_list_version);
  query.set_usage_waits(UsageWaits(state) || state.m_store_lost);
  query.set_asker_served(IsServed(state));
  return query;
}

void LogUpstream(const ControlState& state, std::string_view why) {
  LogLine("upstream_chosen")
      .Add("instance", HasUpstream(state.m_upstream)
                           ? state.m_upstream.m_chosen.m_name
                           : "store")
      .Add("why", why)
      .Add("live", static_cast<std::int64_t>(state.m_live_instances))
      .Add("state_age_ms", static_cast<std::int64_t>(StateAgeMs(state)))
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered);
}

void ChooseAgain(ControlState& state, std::string_view why) {
  const Instant now = state.m_clock();
  if (!ChooseUpstream(state.m_upstream, LiveInstances(state), now)) return;
  state.m_link.m_store_answers = true;
  LogUpstream(state, why);
}

void OnUpstreamEnd(ControlState& state, const std::string& name, Instant sent,
                   bool answered) {
  state.m_link.m_busy = false;
  const Instant now = state.m_clock();
  state.m_link.m_due = std::max(now, sent + kUpstreamPause);
  if (answered) {
    OnUpstreamAnswered(state.m_upstream, name);
    return;
  }
  OnUpstreamFailed(state.m_upstream, name, now);
  ChooseAgain(state, "no_answer");
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
        state.m_register_due = state.m_clock() + kRegisterPause;
        NoteStoreCall(state, result.m_fault, result.m_detail);
        if (result.m_fault == StoreFault::kNone) state.m_registered = !left;
      });
}

void FollowUpstream(ControlState& state) {
  const Instant now = state.m_clock();
  if (state.m_link.m_busy || now < state.m_link.m_due) return;
  ChooseAgain(state, "order");
  if (!HasUpstream(state.m_upstream)) return;
  state.m_link.m_busy = true;
  schema::InstanceQuery query = MakeQuery(state);
  query.set_store_answered(state.m_link.m_store_answers);
  query.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(kUpstreamWait)
          .count()));
  const std::string name = state.m_upstream.m_chosen.m_name;
  Ask(state, state.m_upstream.m_chosen.m_address, query, AskReason::kFollow,
      [&state, name, now](const schema::InstanceState* other) {
        OnUpstreamEnd(state, name, now, other != nullptr);
      });
}

void QueryNeighbours(ControlState& state) {
  if (!Searches(state)) {
    EndSearch(state.m_search);
    return;
  }
  schema::InstanceQuery query = MakeQuery(state);
  query.set_endpoints_age_ms(
      ToMs(state.m_clock() - state.m_follow_endpoints.m_confirmed));
  const std::vector<std::string> round = NextSearchRound(
      state.m_search, state.m_options.m_name, OtherInstances(state),
      ServedInstances(state), state.m_clock());
  for (const std::string& name : round) {
    Ask(state, state.m_instances.at(name).peers(), query, AskReason::kSearch,
        [&state, name](const schema::InstanceState* other) {
          OnSearchAnswer(state.m_search, name,
                         other != nullptr && IsFresh(*other));
        });
  }
}

void SpreadCrash(ControlState& state, const schema::CrashReport& crash) {
  schema::InstanceQuery query;
  query.set_name(state.m_options.m_name);
  *query.add_crashes() = crash;
  for (const std::string& name : OtherInstances(state)) {
    Ask(state, state.m_instances.at(name).peers(), query, AskReason::kCrash,
        [](const schema::InstanceState* /*other*/) {});
  }
}

}  // namespace comfreypaddle
