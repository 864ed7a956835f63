#include "retry.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

// Cost of a retry after an attempt that brought new tokens. Such failures
// cannot multiply the load, because each attempt completes a part of the
// work; the charge covers the repeated prompt work.
constexpr double kProgressCharge = 0.2;

// Resumes in a row that brought no new token. The second silent connection to
// the same endpoint shows that the endpoint is the cause.
constexpr std::uint32_t kMaxResumes = 1;

// Wait before a further attempt, doubled for each attempt. The first retry is
// immediate, because it goes to another endpoint.
constexpr Duration kBackoff = std::chrono::milliseconds(50);

// Time to the deadline below which an attempt only takes an endpoint's time.
// An attempt that ends at its time limit ends up to a millisecond early.
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(20);

void Credit(RetryBudget& budget, double ratio) {
  budget.m_spent = std::max(0.0, budget.m_spent - ratio);
}

bool Affords(const RetryBudget& budget, double burst, double charge) {
  return budget.m_spent + charge <= burst;
}

// Returns true if the same endpoint may still hold the stream.
bool MayResume(const FailureContext& facts) {
  if (!facts.m_resumable || !facts.m_sent) return false;
  if (facts.m_resumes >= kMaxResumes) return false;
  return facts.m_kind == FailureKind::kConnectionLost ||
         facts.m_kind == FailureKind::kSilent;
}

bool IsTooLate(const FailureContext& facts, Instant now) {
  return now + kLeastTimeLeft >= facts.m_deadline;
}

// Returns the reason against any further attempt, or kAllowed.
RetryReason Objection(const RetryState& state, const FailureContext& facts,
                      Instant now) {
  if (IsTooLate(facts, now)) return RetryReason::kDeadline;
  if (facts.m_kind == FailureKind::kAnsweredError) return RetryReason::kFinal;
  if (facts.m_poison) return RetryReason::kPoison;
  if (!facts.m_repeatable && facts.m_may_have_run) {
    return RetryReason::kNotRepeatable;
  }
  if (facts.m_partly_delivered && !facts.m_prefix_available) {
    return RetryReason::kTextLost;
  }
  if (facts.m_attempts >= state.m_limits.m_max_attempts) {
    return RetryReason::kAttempts;
  }
  return RetryReason::kAllowed;
}

double ChargeOf(const FailureContext& facts) {
  // A planned move is not a failure and must not interrupt the request.
  if (facts.m_endpoint_leaving) return 0.0;
  return facts.m_made_progress ? kProgressCharge : 1.0;
}

Duration WaitBefore(const FailureContext& facts, Instant now) {
  if (facts.m_attempts < 2) return Duration{0};
  const Duration wait = kBackoff * (1U << std::min(facts.m_attempts - 2, 5U));
  return std::min(wait, std::max(facts.m_deadline - now, Duration{0}) / 2);
}

}  // namespace

void CreditRetryBudgets(RetryState& state, std::string_view workspace) {
  Credit(state.m_instance, state.m_limits.m_ratio);
  const auto found = state.m_workspaces.find(workspace);
  if (found == state.m_workspaces.end()) return;
  Credit(found->second, state.m_limits.m_ratio);
  // A full budget is the same as none.
  if (found->second.m_spent <= 0.0) state.m_workspaces.erase(found);
}

Outcome OutcomeOf(const FailureContext& facts) {
  if (facts.m_answer_seen) return Outcome::kRan;
  return facts.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

RetryDecision DecideRetry(RetryState& state, const FailureContext& facts,
                          Instant now) {
  RetryDecision decision;
  decision.m_outcome = OutcomeOf(facts);
  if (now < facts.m_deadline && MayResume(facts)) {
    decision.m_action = RetryAction::kResume;
    return decision;
  }
  decision.m_reason = Objection(state, facts, now);
  if (decision.m_reason != RetryReason::kAllowed) return decision;
  const double charge = ChargeOf(facts);
  RetryBudget& workspace = state.m_workspaces[facts.m_workspace];
  if (!Affords(workspace, state.m_limits.m_burst, charge)) {
    decision.m_reason = RetryReason::kWorkspaceBudget;
    return decision;
  }
  if (!Affords(state.m_instance, state.m_limits.m_instance_burst, charge)) {
    decision.m_reason = RetryReason::kInstanceBudget;
    return decision;
  }
  workspace.m_spent += charge;
  state.m_instance.m_spent += charge;
  decision.m_charged = charge;
  decision.m_wait = WaitBefore(facts, now);
  decision.m_action = facts.m_prefix_available ? RetryAction::kContinue
                                               : RetryAction::kStartAgain;
  return decision;
}

}  // namespace comfreypaddle
