#include "attemptlimits.h"

#include <algorithm>

#include "eventlog.h"
#include "refusal.h"

namespace comfreypaddle {

namespace {

// Maximum number of endpoints to which one request is sent, including those
// that reject it.
constexpr std::uint32_t kMaxSends = 4;

// Maximum number of endpoints that one request tries, including those that
// cannot be reached.
constexpr std::size_t kMaxEndpointsTried = 8;

// Minimum time to the deadline for another attempt.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(40);

// Time without a response head after which the endpoint of a stream is avoided
// if it sends nothing to any request. One that still responds to others is only
// busy.
constexpr Duration kDeadEndpointTimeout = std::chrono::milliseconds(1000);

// Factor of the estimated time to the first event that is added to both
// times of streams: an endpoint that computes a long prompt answers nobody
// meanwhile.
constexpr double kExpectedTimeFactor = 1.5;

// Time without a response head after which the endpoint of a stream is avoided
// although it responds to other requests.
constexpr Duration kStreamHeadTimeout = std::chrono::milliseconds(2500);

// Time without a response head after which the endpoint of a request that is
// not streamed is avoided, as a fraction of the route's target time.
constexpr double kPlainHeadTimeoutRatio = 0.6;

bool HasTimeLeft(const RelayState& state, const RelayCall& call) {
  return call.m_deadline - state.m_clock() > kMinTimeLeft;
}

}  // namespace

bool IsRepeatable(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_ALLOWED ||
         (IsStream(call) && call.m_route->resumable());
}

bool IsStream(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_STREAM;
}

namespace {

void LogRetryBudget(const RelayState& state, const RelayCall& call,
                    const ResendUse& use, std::string_view outcome) {
  const Instant now = state.m_clock();
  LogLine("retry_budget")
      .Add("request", call.m_metadata.m_attempt)
      .Add("service", call.m_service)
      .Add("outcome", outcome)
      .Add("requests", std::to_string(use.m_requests))
      .Add("spent", std::to_string(use.m_resends))
      .Add("allowed", std::to_string(use.m_allowed))
      .Add("slack_share", std::to_string(SlackShare(state.m_resends, now)))
      .Add("instances", SharingInstances(state.m_resends, now));
}

}  // namespace

bool HasRetryBudget(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  if (MayResend(state.m_resends, call.m_service, now)) return true;
  ++state.m_counters.m_retries_denied;
  LogRetryBudget(state, call, ResendUseOf(state.m_resends, call.m_service, now),
                 "denied");
  return false;
}

bool ChargeRetry(RelayState& state, const RelayCall& call,
                 const std::string& endpoint) {
  if (!HasRetryBudget(state, call)) return false;
  const Instant now = state.m_clock();
  const ResendUse use = ResendUseOf(state.m_resends, call.m_service, now);
  TryConsumeResend(state.m_resends, call.m_service, endpoint, now);
  LogRetryBudget(state, call, use, "charged");
  return true;
}

bool HasAttemptsLeft(const RelayCall& call) {
  return call.m_runs < call.m_route->max_attempts() && call.m_sends < kMaxSends;
}

bool MayTryAgain(const RelayState& state, const RelayCall& call) {
  // A prefill does not execute the request.
  if (call.m_attempt.m_is_prefill) return true;
  if (!HasTimeLeft(state, call)) return false;
  switch (call.m_attempt.m_end) {
    case AttemptEnd::kOpen:
      return false;
    case AttemptEnd::kUnsent:
      return call.m_query.m_excluded.size() < kMaxEndpointsTried;
    case AttemptEnd::kNotExecuted:
      return call.m_sends + call.m_prefills <= kMaxSends;
    case AttemptEnd::kAnswered:
    case AttemptEnd::kBroken:
    case AttemptEnd::kAborted:
      break;
  }
  return IsRepeatable(call) && HasAttemptsLeft(call);
}

bool IsSilent(const RelayState& state, const RelayCall& call,
              const EndpointAttempt& attempt, Instant now) {
  const Duration elapsed = now - attempt.m_sent;
  if (!IsStream(call)) {
    constexpr double kMicrosPerMs = 1000;
    return elapsed > Duration(static_cast<std::int64_t>(
                         call.m_route->target_ms() * kPlainHeadTimeoutRatio *
                         kMicrosPerMs));
  }
  const auto expected = std::chrono::duration_cast<Duration>(
      call.m_expected * kExpectedTimeFactor);
  if (elapsed > kStreamHeadTimeout + expected) return true;
  const Duration dead = kDeadEndpointTimeout + expected;
  const BalanceEndpoint* endpoint =
      FindEndpoint(state.m_balance, attempt.m_endpoint);
  if (endpoint == nullptr) return elapsed > dead;
  return elapsed > dead && now - endpoint->m_last_response_at > dead;
}

bool IsHopeless(const RelayCall& call, const BalanceChoice& choice,
                Instant now) {
  const bool is_new = call.m_sends == 0 && call.m_prefills == 0;
  if (!is_new || !call.m_query.m_is_prompt) return false;
  const Duration patience = CallerPatience(FromMs(call.m_route->target_ms()),
                                           FromMs(call.m_route->gap_ms()),
                                           call.m_deadline - call.m_arrived);
  return !IsServable(now - call.m_arrived, patience,
                     FromMs(choice.m_estimate_ms));
}

}  // namespace comfreypaddle
