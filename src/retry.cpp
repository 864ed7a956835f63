#include "retry.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

// Budget charge of a retry after an attempt that produced new tokens. Such
// retries cannot multiply the load, because each attempt completes a part of
// the work; the charge covers the repeated prefill.
constexpr double kProgressCharge = 0.2;

// Maximum number of consecutive resumes without a new token. A second silent
// connection to the same endpoint shows that the endpoint is the cause.
constexpr std::uint32_t kMaxResumes = 1;

// Initial backoff, doubled for each further attempt. The first retry is
// immediate, because it goes to another endpoint.
constexpr Duration kBackoff = std::chrono::milliseconds(50);

// Minimum time to the deadline for another attempt; with less, it would only
// waste the endpoint's time. An attempt that reaches its time limit ends up to
// a millisecond before the deadline and must not be retried.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);

void Credit(RetryBudget& budget, double ratio) {
  budget.m_spent = std::max(0.0, budget.m_spent - ratio);
}

bool CanAfford(const RetryBudget& budget, double burst, double charge) {
  return budget.m_spent + charge <= burst;
}

// Whether the stream may be resumed at the same endpoint.
bool MayResume(const FailureContext& failure) {
  if (!failure.m_resumable || !failure.m_sent) return false;
  if (failure.m_resumes >= kMaxResumes) return false;
  return failure.m_kind == FailureKind::kConnectionLost ||
         failure.m_kind == FailureKind::kSilent;
}

bool IsTooLate(const FailureContext& failure, Instant now) {
  return now + kMinTimeLeft >= failure.m_deadline;
}

// Returns the reason that rules out another attempt, or kAllowed.
RetryReason ReasonAgainstRetry(const RetryState& state,
                               const FailureContext& failure, Instant now) {
  if (IsTooLate(failure, now)) return RetryReason::kDeadline;
  if (failure.m_kind == FailureKind::kAnsweredError) return RetryReason::kFinal;
  if (failure.m_poison) return RetryReason::kPoison;
  if (!failure.m_repeatable && failure.m_may_have_run) {
    return RetryReason::kNotRepeatable;
  }
  if (failure.m_partly_delivered && !failure.m_prefix_available) {
    return RetryReason::kTextLost;
  }
  if (failure.m_attempts >= state.m_limits.m_max_attempts) {
    return RetryReason::kAttempts;
  }
  return RetryReason::kAllowed;
}

double RetryCharge(const FailureContext& failure) {
  // A planned stop of the endpoint is not a failure and must not end the
  // request.
  if (failure.m_endpoint_leaving) return 0.0;
  return failure.m_made_progress ? kProgressCharge : 1.0;
}

Duration BackoffDelay(const FailureContext& failure, Instant now) {
  if (failure.m_attempts < 2) return Duration{0};
  const Duration wait = kBackoff * (1U << std::min(failure.m_attempts - 2, 5U));
  return std::min(wait, std::max(failure.m_deadline - now, Duration{0}) / 2);
}

}  // namespace

void CreditRetryBudgets(RetryState& state, std::string_view workspace) {
  Credit(state.m_instance, state.m_limits.m_ratio);
  const auto found = state.m_workspaces.find(workspace);
  if (found == state.m_workspaces.end()) return;
  Credit(found->second, state.m_limits.m_ratio);
  // A workspace without an entry has a full budget.
  if (found->second.m_spent <= 0.0) state.m_workspaces.erase(found);
}

Outcome OutcomeOf(const FailureContext& failure) {
  if (failure.m_answer_seen) return Outcome::kRan;
  return failure.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

RetryDecision DecideRetry(RetryState& state, const FailureContext& failure,
                          Instant now) {
  RetryDecision decision;
  decision.m_outcome = OutcomeOf(failure);
  if (now < failure.m_deadline && MayResume(failure)) {
    decision.m_action = RetryAction::kResume;
    return decision;
  }
  decision.m_reason = ReasonAgainstRetry(state, failure, now);
  if (decision.m_reason != RetryReason::kAllowed) return decision;
  const double charge = RetryCharge(failure);
  RetryBudget& workspace = state.m_workspaces[failure.m_workspace];
  if (!CanAfford(workspace, state.m_limits.m_burst, charge)) {
    decision.m_reason = RetryReason::kWorkspaceBudget;
    return decision;
  }
  if (!CanAfford(state.m_instance, state.m_limits.m_instance_burst, charge)) {
    decision.m_reason = RetryReason::kInstanceBudget;
    return decision;
  }
  workspace.m_spent += charge;
  state.m_instance.m_spent += charge;
  decision.m_charged = charge;
  decision.m_wait = BackoffDelay(failure, now);
  decision.m_action = failure.m_prefix_available ? RetryAction::kContinue
                                                 : RetryAction::kStartAgain;
  return decision;
}

}  // namespace comfreypaddle
