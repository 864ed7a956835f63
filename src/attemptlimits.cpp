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

// Timeout for the response head of a stream at an endpoint that sends nothing
// to any request and is therefore considered dead. An endpoint that still
// responds to other requests is only busy, and a retry elsewhere would add to
// the load.
constexpr Duration kDeadEndpointTimeout = std::chrono::milliseconds(1000);

// Factor of the estimated time to the first event that is added to both
// timeouts of streams: an endpoint that computes a long prompt answers nobody
// meanwhile.
constexpr double kExpectedTimeFactor = 1.5;

// Timeout for the response head of a stream whose endpoint responds to other
// requests.
constexpr Duration kStreamHeadTimeout = std::chrono::milliseconds(2500);

// Timeout for the response head of an idempotent request that is not streamed,
// as a fraction of the route's target time.
constexpr double kPlainHeadTimeoutRatio = 0.6;

bool IsRepeatable(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_ALLOWED ||
         (IsStream(call) && call.m_route->resumable());
}

}  // namespace

bool IsStream(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_STREAM;
}

bool ChargeRetry(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  const ResendUse use = ResendUseOf(state.m_resends, call.m_service, now);
  const bool charged = TryConsumeResend(state.m_resends, call.m_service, now);
  if (!charged) ++state.m_counters.m_retries_denied;
  LogLine("retry_budget")
      .Add("request", call.m_metadata.m_attempt)
      .Add("service", call.m_service)
      .Add("outcome", charged ? "charged" : "denied")
      .Add("requests", std::to_string(use.m_requests))
      .Add("spent", std::to_string(use.m_resends))
      .Add("allowed", std::to_string(use.m_allowed))
      .Add("slack_share", std::to_string(SlackShare(state.m_resends, now)))
      .Add("instances", SharingInstances(state.m_resends, now));
  return charged;
}

bool MayRetryExecuted(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  return IsRepeatable(call) && call.m_runs < call.m_route->max_attempts() &&
         call.m_sends < kMaxSends && call.m_deadline - now > kMinTimeLeft &&
         ChargeRetry(state, call);
}

bool MayRetryNotExecuted(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  return call.m_sends + call.m_prefills <= kMaxSends &&
         call.m_deadline - now > kMinTimeLeft && ChargeRetry(state, call);
}

bool MayRetryUnsent(const RelayState& state, const RelayCall& call) {
  return call.m_query.m_excluded.size() < kMaxEndpointsTried &&
         call.m_deadline - state.m_clock() > kMinTimeLeft;
}

bool HasTimedOut(RelayState& state, const RelayCall& call, Instant now) {
  const Duration elapsed = now - call.m_attempt.m_sent;
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
      FindEndpoint(state.m_balance, call.m_attempt.m_endpoint);
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
