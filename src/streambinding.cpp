#include "streambinding.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "attemptlimits.h"
#include "eventlog.h"
#include "lifetimecheck.h"
#include "relayattempt.h"
#include "resumption.h"
#include "streamcodec.h"

namespace comfreypaddle {

namespace {

// Time beyond its deadline for which a caller may still take a stream up: the
// deadlines of its attempts are rounded.
constexpr Duration kResumeSlack = std::chrono::seconds(1);

// Longest time for which the events of a stream that goes on wait for the
// lifetime of its endpoint. Its caller leaves after a gap of two seconds.
constexpr Duration kMaxHoldTime = std::chrono::seconds(1);

std::uint64_t HashOf(const std::string& attempt) {
  return XXH64(attempt.data(), attempt.size(), 0);
}

// Tells other instances of streams.
void Publish(const RelayState& state, const schema::StreamBeginList& begun) {
  if (state.m_on_streams && begun.streams_size() > 0) state.m_on_streams(begun);
}

// The stream of the attempt, as of the version that it counts for.
BegunStream StreamOfAttempt(const RelayCall& call,
                            const EndpointAttempt& attempt) {
  BegunStream stream;
  stream.m_service = call.m_service;
  stream.m_version = attempt.m_version;
  stream.m_origin = {attempt.m_endpoint, attempt.m_judged_born_ms,
                     attempt.m_connected, attempt.m_connected};
  return stream;
}

// Records the call's stream with the version that it is bound to, and tells
// other instances, also while there is one version: this instance may be killed
// before it sees a second one.
void Record(RelayState& state, const RelayCall& call, bool is_corrected) {
  if (call.m_metadata.m_attempt.empty()) return;
  const Instant now = state.m_clock();
  const Duration left = call.m_metadata.m_time_left.value_or(kResumeWindow);
  BegunStream stream = StreamOfAttempt(call, call.m_attempt);
  stream.m_version = *call.m_query.m_version;
  stream.m_ends = call.m_arrived + std::min(left + kResumeSlack, kResumeWindow);
  stream.m_is_corrected = is_corrected;
  const std::uint64_t attempt = StreamOf(call);
  if (!AddStream(state.m_streams, attempt, stream, now)) {
    LogLine("stream_table_full").Add("request", call.m_metadata.m_attempt);
  }
  schema::StreamBeginList begun;
  *begun.add_streams() = ToMessage(attempt, stream, now);
  ++state.m_counters.m_streams_recorded;
  Publish(state, begun);
}

LifetimeVerdict JudgeAttempt(const RelayState& state, const RelayCall& call) {
  return JudgeStream(state, StreamOfAttempt(call, call.m_attempt));
}

void SetVerdict(EndpointAttempt& attempt, const LifetimeVerdict& verdict) {
  attempt.m_judged_born_ms = verdict.m_born_ms;
  attempt.m_version = verdict.m_version;
}

bool Differs(const EndpointAttempt& attempt, const LifetimeVerdict& verdict) {
  return attempt.m_judged_born_ms != verdict.m_born_ms ||
         attempt.m_version != verdict.m_version;
}

// Applies the verdict on the attempt that began the stream.
void ApplyToBound(RelayState& state, RelayCall& call,
                  const LifetimeVerdict& verdict) {
  EndpointAttempt& attempt = call.m_attempt;
  const bool is_other = !IsSameVersion(attempt.m_version, verdict.m_version);
  if (is_other) {
    LogLine("stream_version_corrected")
        .Add("request", call.m_metadata.m_attempt)
        .Add("endpoint", attempt.m_endpoint)
        .Add("from", TextOf(attempt.m_version))
        .Add("to", TextOf(verdict.m_version))
        .Add("proof", ToName(verdict.m_version.m_certainty))
        .Add("born_ms", static_cast<std::int64_t>(verdict.m_born_ms))
        .Add("events", attempt.m_events);
  }
  SetVerdict(attempt, verdict);
  call.m_query.m_version = verdict.m_version;
  Record(state, call, is_other);
}

// Whether the verdict shows the version that the stream is bound to.
bool IsBoundVersion(const RelayCall& call, const LifetimeVerdict& verdict) {
  return IsVersionKnown(verdict) &&
         IsSameVersion(verdict.m_version, *call.m_query.m_version);
}

// Lets the events of a held attempt pass, or ends it. The call may be deleted.
void ApplyToHeld(RelayState& state, RelayCall& call,
                 const LifetimeVerdict& verdict) {
  EndpointAttempt& attempt = call.m_attempt;
  SetVerdict(attempt, verdict);
  if (IsBoundVersion(call, verdict)) {
    ReleaseHeldAttempt(state, call);
  } else if (IsSeenSince(state.m_lifetimes, attempt.m_endpoint,
                         attempt.m_connected)) {
    AbandonHeldAttempt(state, call);
  }
}

// Applies what is known now to the request's attempt. The call may be deleted.
void ApplyToCall(RelayState& state, RelayCall& call) {
  const EndpointAttempt& attempt = call.m_attempt;
  if (!IsResumable(call) || attempt.m_is_prefill || attempt.m_events == 0) {
    return;
  }
  const LifetimeVerdict verdict = JudgeAttempt(state, call);
  if (attempt.m_is_held) {
    ApplyToHeld(state, call, verdict);
  } else if (!IsSettled(*call.m_query.m_version) && Differs(attempt, verdict)) {
    ApplyToBound(state, call, verdict);
  }
}

// Endpoint whose streams are concerned; all if it is null.
using EndpointFilter = const std::string*;

bool IsConcerned(EndpointFilter filter, const std::string& endpoint) {
  return filter == nullptr || *filter == endpoint;
}

// Applies what is known now to the requests whose last attempt was sent to the
// endpoint, in the order of their arrival. Calls may be deleted.
void ApplyToCalls(RelayState& state, EndpointFilter filter) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : state.m_calls) {
    if (IsConcerned(filter, call->m_attempt.m_endpoint)) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) ApplyToCall(state, *call);
  }
}

// Applies what is known now to the records of streams that began at the
// endpoint and whose requests may have ended here.
void ApplyToRecords(RelayState& state, EndpointFilter filter) {
  const Instant now = state.m_clock();
  schema::StreamBeginList news;
  for (auto& [attempt, stream] : state.m_streams.m_streams) {
    const bool is_open = !IsSettled(stream.m_version) && stream.m_ends > now;
    if (!is_open || !IsConcerned(filter, stream.m_origin.m_endpoint)) continue;
    const LifetimeVerdict verdict = JudgeStream(state, stream);
    if (stream.m_version == verdict.m_version) continue;
    const bool is_other = !IsSameVersion(stream.m_version, verdict.m_version);
    stream.m_version = verdict.m_version;
    stream.m_origin.m_born_ms = verdict.m_born_ms;
    stream.m_is_corrected = stream.m_is_corrected || is_other;
    *news.add_streams() = ToMessage(attempt, stream, now);
  }
  Publish(state, news);
}

// Records of the services that have become mixed go to the instances that hold
// them now.
void RepeatRecords(RelayState& state, const std::vector<std::string>& mixed) {
  const Instant now = state.m_clock();
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

}  // namespace

bool IsResumable(const RelayCall& call) {
  return IsStream(call) && call.m_route->resumable();
}

std::string BoundVersionText(const RelayCall& call) {
  return call.m_query.m_version ? TextOf(*call.m_query.m_version) : "any";
}

std::uint64_t StreamOf(const RelayCall& call) {
  const std::string& resumed = call.m_metadata.m_resumed_attempt;
  return HashOf(resumed.empty() ? call.m_metadata.m_attempt : resumed);
}

LifetimeVerdict JudgeStream(const RelayState& state,
                            const BegunStream& stream) {
  const BalanceEndpoint* endpoint =
      FindEndpoint(state.m_balance, stream.m_origin.m_endpoint);
  std::optional<ListedLifetime> listed;
  if (endpoint != nullptr) listed = {endpoint->m_born_ms, endpoint->m_version};
  return JudgeLifetime(state.m_lifetimes, stream, listed);
}

void BindToVersion(RelayState& state, RelayCall& call) {
  if (!IsResumable(call)) return;
  EndpointAttempt& attempt = call.m_attempt;
  attempt.m_connected =
      state.m_endpoints->ConnectedAt(attempt.m_call).value_or(state.m_clock());
  const LifetimeVerdict verdict = JudgeAttempt(state, call);
  SetVerdict(attempt, verdict);
  if (!call.m_query.m_version) {
    call.m_query.m_version = verdict.m_version;
    Record(state, call, false);
    if (verdict.m_version.m_certainty != VersionCertainty::kUnproven) return;
    ++state.m_counters.m_streams_unproven;
    CheckLifetime(state, attempt.m_endpoint, attempt.m_address,
                  CheckUrgency::kSoon);
    return;
  }
  Record(state, call, false);
  if (IsBoundVersion(call, verdict)) return;
  attempt.m_is_held = true;
  attempt.m_held_until = state.m_clock() + kMaxHoldTime;
  CheckLifetime(state, attempt.m_endpoint, attempt.m_address,
                CheckUrgency::kNow);
}

void ApplyLifetime(RelayState& state, const std::string& endpoint) {
  ApplyToCalls(state, &endpoint);
  ApplyToRecords(state, &endpoint);
}

void OnLifetimeUnknown(RelayState& state, const std::string& endpoint,
                       Instant asked) {
  std::vector<std::uint64_t> held;
  for (const auto& [id, call] : state.m_calls) {
    const EndpointAttempt& attempt = call->m_attempt;
    if (attempt.m_is_held && attempt.m_endpoint == endpoint &&
        attempt.m_connected <= asked) {
      held.push_back(id);
    }
  }
  for (const std::uint64_t id : held) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) AbandonHeldAttempt(state, *call);
  }
  RefuseTakenUp(state, endpoint, asked);
}

void UpdateEndpointVersions(RelayState& state) {
  ApplyToCalls(state, nullptr);
  ApplyToRecords(state, nullptr);
  ResolveTakenUp(state);
  ForgetLifetimes(
      state.m_lifetimes,
      [&state](const std::string& id) {
        return FindEndpoint(state.m_balance, id) != nullptr;
      },
      state.m_clock());
  std::set<ServiceVersion> listed;
  for (const auto& [id, endpoint] : state.m_balance.m_endpoints) {
    listed.emplace(endpoint.m_service, endpoint.m_version);
  }
  const std::vector<std::string> mixed =
      UpdateVersions(state.m_versions, listed, state.m_clock());
  if (!mixed.empty()) RepeatRecords(state, mixed);
}

}  // namespace comfreypaddle
