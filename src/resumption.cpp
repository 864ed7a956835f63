#include "resumption.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

#include "attemptlimits.h"
#include "eventlog.h"
#include "finish.h"
#include "relayattempt.h"

namespace comfreypaddle {

namespace {

// Time beyond its deadline for which a caller may still take a stream up: the
// deadlines of its attempts are rounded.
constexpr Duration kResumeSlack = std::chrono::seconds(1);

// Largest difference between the clocks of this machine and an endpoint's.
constexpr Duration kMaxClockDifference = std::chrono::seconds(2);

std::uint64_t HashOf(const std::string& attempt) {
  return XXH64(attempt.data(), attempt.size(), 0);
}

// Hash of the attempt that began the call's stream.
std::uint64_t StreamOf(const RelayCall& call) {
  const std::string& resumed = call.m_metadata.m_resumed_attempt;
  return HashOf(resumed.empty() ? call.m_metadata.m_attempt : resumed);
}

bool IsResumable(const RelayCall& call) {
  return IsStream(call) && call.m_route->resumable();
}

schema::StreamBegin ToMessage(std::uint64_t attempt, const BegunStream& stream,
                              Instant now) {
  schema::StreamBegin begin;
  begin.set_attempt(attempt);
  begin.set_service(stream.m_service);
  begin.set_version(stream.m_version);
  begin.set_ends_in_ms(ToMs(stream.m_ends - now));
  begin.set_is_corrected(stream.m_is_corrected);
  return begin;
}

// Tells other instances of streams.
void Publish(const RelayState& state, const schema::StreamBeginList& begun) {
  if (state.m_on_streams && begun.streams_size() > 0) state.m_on_streams(begun);
}

void LogTakeUp(const RelayState& state, const RelayCall& call,
               TakeUpOutcome outcome, std::string_view source) {
  LogLine("stream_taken_up")
      .Add("request", call.m_metadata.m_attempt)
      .Add("resumes", call.m_metadata.m_resumed_attempt)
      .Add("after_event", call.m_last_event
                              ? static_cast<std::int64_t>(*call.m_last_event)
                              : -1)
      .Add("service", call.m_service)
      .Add("version", call.m_query.m_version.value_or(""))
      .Add("source", source)
      .Add("outcome", ToName(outcome))
      .AddMs("after_ms", state.m_clock() - call.m_arrived);
}

void GoOn(RelayState& state, RelayCall& call, const std::string& version,
          std::string_view source) {
  call.m_query.m_version = version;
  const TakeUpOutcome outcome = IsVersionGone(state.m_balance, call.m_query)
                                    ? TakeUpOutcome::kVersionGone
                                    : TakeUpOutcome::kGoesOn;
  ++state.m_counters.m_taken_up[outcome];
  LogTakeUp(state, call, outcome, source);
  DispatchCall(state, call);
}

// Refuses to guess: a stream that goes on at another version is corrupt, and a
// caller that is refused can ask for a new one.
void RefuseUnknown(RelayState& state, RelayCall& call) {
  ++state.m_counters.m_taken_up[TakeUpOutcome::kVersionUnknown];
  LogTakeUp(state, call, TakeUpOutcome::kVersionUnknown, "none");
  FinishFailed(state, call, EndReason::kVersionUnknown);
}

// Records the call's stream with the version that it is bound to, and tells
// other instances, also while there is one version: this instance may be killed
// before it sees a second one.
void Record(RelayState& state, const RelayCall& call, bool is_corrected) {
  if (call.m_metadata.m_attempt.empty()) return;
  const Instant now = state.m_clock();
  const Duration left = call.m_metadata.m_time_left.value_or(kResumeWindow);
  const BegunStream stream{
      call.m_service, *call.m_query.m_version,
      call.m_arrived + std::min(left + kResumeSlack, kResumeWindow),
      is_corrected};
  const std::uint64_t attempt = StreamOf(call);
  if (!AddStream(state.m_streams, attempt, stream, now)) {
    LogLine("stream_table_full").Add("request", call.m_metadata.m_attempt);
  }
  schema::StreamBeginList begun;
  *begun.add_streams() = ToMessage(attempt, stream, now);
  ++state.m_counters.m_streams_recorded;
  Publish(state, begun);
}

// To which lifetime of its endpoint an attempt was sent.
enum class SentTo {
  kKnownLifetime,  // The one that was listed when it was sent.
  kListedLifetime,
  kEither,  // It was sent at about the begin of the listed lifetime.
};

// Finds out whether the attempt was sent to the listed lifetime of its
// endpoint, which it takes for a former one because the list was old. A
// connection that is open does not show this: it stays open if the machine lost
// power.
SentTo FindLifetime(const RelayState& state, const EndpointAttempt& attempt,
                    const BalanceEndpoint& endpoint) {
  if (endpoint.m_born_ms == attempt.m_born_ms) return SentTo::kKnownLifetime;
  const Duration born =
      std::chrono::milliseconds(static_cast<std::int64_t>(endpoint.m_born_ms));
  const Duration sent =
      attempt.m_sent.time_since_epoch() + state.m_unix_at_zero;
  if (sent < born - kMaxClockDifference) return SentTo::kKnownLifetime;
  return sent > born + kMaxClockDifference ? SentTo::kListedLifetime
                                           : SentTo::kEither;
}

// Corrects the version of attempts that were sent to a new lifetime of their
// endpoint, or may have been, and of the streams that they have begun.
void CorrectVersions(RelayState& state) {
  for (const auto& [id, call] : state.m_calls) {
    EndpointAttempt& attempt = call->m_attempt;
    if (attempt.m_call == 0 || !IsResumable(*call)) continue;
    const BalanceEndpoint* endpoint =
        FindEndpoint(state.m_balance, attempt.m_endpoint);
    if (endpoint == nullptr || endpoint->m_version == attempt.m_version) {
      continue;
    }
    const SentTo sent_to = FindLifetime(state, attempt, *endpoint);
    if (sent_to == SentTo::kKnownLifetime) continue;
    const std::string version = sent_to == SentTo::kEither
                                    ? std::string(kEitherVersion)
                                    : endpoint->m_version;
    LogLine("stream_version_corrected")
        .Add("request", call->m_metadata.m_attempt)
        .Add("endpoint", attempt.m_endpoint)
        .Add("from", attempt.m_version)
        .Add("to", version)
        .Add("events", attempt.m_events);
    attempt.m_born_ms = endpoint->m_born_ms;
    attempt.m_version = version;
    if (attempt.m_events == 0) continue;
    call->m_query.m_version = version;
    Record(state, *call, true);
  }
}

}  // namespace

bool IsTakenUp(const RelayCall& call) {
  return IsResumable(call) && (call.m_metadata.m_last_event ||
                               !call.m_metadata.m_resumed_attempt.empty());
}

void TakeUpStream(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  const std::uint64_t attempt = StreamOf(call);
  const BegunStream* known =
      FindStream(state.m_streams, attempt, call.m_service, now);
  if (known != nullptr) {
    GoOn(state, call, std::string(known->m_version), "this_instance");
    return;
  }
  call.m_stage = CallStage::kResolving;
  schema::StreamQuestion question;
  question.set_request(call.m_id);
  question.set_caller_attempt(call.m_metadata.m_attempt);
  if (!call.m_metadata.m_resumed_attempt.empty()) {
    question.set_attempt(attempt);
  }
  question.set_service(call.m_service);
  state.m_ask_stream(question);
}

void OnStreamAnswer(RelayState& state, const schema::StreamAnswer& answer) {
  RelayCall* call = FindRelayCall(state, answer.request());
  if (call == nullptr || call->m_stage != CallStage::kResolving) return;
  if (answer.has_version()) {
    GoOn(state, *call, answer.version(), answer.instance());
    return;
  }
  const bool is_mixed =
      answer.is_mixed() ||
      IsMixed(state.m_versions, call->m_service, state.m_clock());
  if (is_mixed || !answer.has_only_version()) {
    RefuseUnknown(state, *call);
    return;
  }
  GoOn(state, *call, answer.only_version(), "only_version");
}

void BindToVersion(RelayState& state, RelayCall& call) {
  if (!IsResumable(call)) return;
  if (!call.m_query.m_version) {
    call.m_query.m_version = call.m_attempt.m_version;
  }
  Record(state, call, false);
}

void UpdateEndpointVersions(RelayState& state) {
  CorrectVersions(state);
  const Instant now = state.m_clock();
  std::set<ServiceVersion> listed;
  for (const auto& [id, endpoint] : state.m_balance.m_endpoints) {
    listed.emplace(endpoint.m_service, endpoint.m_version);
  }
  const std::vector<std::string> mixed =
      UpdateVersions(state.m_versions, listed, now);
  if (mixed.empty()) return;
  schema::StreamBeginList begun;
  for (const auto& [attempt, stream] : state.m_streams.m_streams) {
    const bool is_due =
        stream.m_ends > now &&
        std::find(mixed.begin(), mixed.end(), stream.m_service) != mixed.end();
    if (is_due) *begun.add_streams() = ToMessage(attempt, stream, now);
  }
  for (const std::string& service : mixed) {
    LogLine("versions_mixed")
        .Add("service", service)
        .Add("streams", begun.streams_size());
  }
  Publish(state, begun);
}

}  // namespace comfreypaddle
