#ifndef COMFREYPADDLE_RETRY_H_
#define COMFREYPADDLE_RETRY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// Reason why an attempt brought no complete response.
enum class FailureKind {
  kConnectFailed,   // No connection; no byte of the request was sent.
  kRefusedNotRun,   // The endpoint did not execute the request.
  kConnectionLost,  // The connection broke after bytes were sent.
  kSilent,          // No data or heartbeat within the silence timeout.
  kTimeout,         // The attempt exceeded its time limit.
  kCrashed,         // A probe found the endpoint restarted or gone.
  kStaleStream,     // The endpoint does not know the stream to resume.
  kBadAnswer,       // Gap in positions, wrong request or invalid message.
  kAnsweredError    // The endpoint responded with an error.
};

template <>
struct EnumNames<FailureKind> {
  static constexpr std::array<EnumName<FailureKind>, 9> kTable{
      {{FailureKind::kConnectFailed, "connect_failed"},
       {FailureKind::kRefusedNotRun, "refused_not_run"},
       {FailureKind::kConnectionLost, "connection_lost"},
       {FailureKind::kSilent, "silent"},
       {FailureKind::kTimeout, "timeout"},
       {FailureKind::kCrashed, "crashed"},
       {FailureKind::kStaleStream, "stale_stream"},
       {FailureKind::kBadAnswer, "bad_answer"},
       {FailureKind::kAnsweredError, "answered_error"}}};
};

// State of a request after a failed attempt, the input of DecideRetry.
// OnAttemptFailed in exchange.h provides it.
struct FailureContext {
  FailureKind m_kind = FailureKind::kConnectionLost;
  std::string m_workspace;
  bool m_repeatable = false;
  // True if a byte of the request may have reached an endpoint, in this or an
  // earlier attempt, and the endpoint did not state that the request was not
  // executed.
  bool m_may_have_run = false;
  // True if any attempt received a part of a response.
  bool m_answer_seen = false;
  // True if a byte of the failed attempt may have reached its endpoint.
  bool m_sent = false;
  // True for engine streams, which can be resumed by position.
  bool m_resumable = false;
  // True if the caller received a part of the response, so that another attempt
  // must continue after it.
  bool m_partly_delivered = false;
  // True if the output so far is stored completely, so that another endpoint
  // can continue after it.
  bool m_prefix_available = false;
  // True if the failed attempt produced at least one new token.
  bool m_made_progress = false;
  // True if the endpoint was known to be draining, leaving or reclaimed.
  bool m_endpoint_leaving = false;
  // True if the request is suspected of crashing endpoints and must not run
  // again.
  bool m_poison = false;
  // Consecutive attempts and resumes without a new token. An attempt with new
  // tokens resets the count of attempts to one.
  std::uint32_t m_attempts = 0;
  std::uint32_t m_resumes = 0;
  Instant m_deadline{};
};

enum class RetryAction {
  kResume,      // Same endpoint, new connection, after the last position.
  kContinue,    // Another endpoint, prompt plus output so far.
  kStartAgain,  // Another endpoint, from the start.
  kGiveUp
};

template <>
struct EnumNames<RetryAction> {
  static constexpr std::array<EnumName<RetryAction>, 4> kTable{
      {{RetryAction::kResume, "resume"},
       {RetryAction::kContinue, "continue"},
       {RetryAction::kStartAgain, "start_again"},
       {RetryAction::kGiveUp, "give_up"}}};
};

enum class RetryReason {
  kAllowed,
  kDeadline,
  kNotRepeatable,
  kAttempts,
  kWorkspaceBudget,
  kInstanceBudget,
  kTextLost,
  kPoison,
  kFinal
};

template <>
struct EnumNames<RetryReason> {
  static constexpr std::array<EnumName<RetryReason>, 9> kTable{
      {{RetryReason::kAllowed, "allowed"},
       {RetryReason::kDeadline, "deadline"},
       {RetryReason::kNotRepeatable, "not_repeatable"},
       {RetryReason::kAttempts, "attempts"},
       {RetryReason::kWorkspaceBudget, "workspace_budget"},
       {RetryReason::kInstanceBudget, "instance_budget"},
       {RetryReason::kTextLost, "text_lost"},
       {RetryReason::kPoison, "poison"},
       {RetryReason::kFinal, "final"}}};
};

struct RetryDecision {
  RetryAction m_action = RetryAction::kGiveUp;
  RetryReason m_reason = RetryReason::kAllowed;
  // Outcome to report to the caller if the request ends now.
  Outcome m_outcome = Outcome::kUnknown;
  // Delay before the next attempt; it ends before the deadline.
  Duration m_wait{0};
  double m_charged = 0.0;  // To both budgets.
};

struct RetryLimits {
  std::uint32_t m_max_attempts = 4;
  double m_ratio = 0.1;   // Retries credited for each request.
  double m_burst = 10.0;  // Maximum credit of a workspace.
  // Maximum credit of the whole instance. It exceeds that of one workspace
  // because the loss of a zone fails requests of all workspaces.
  double m_instance_burst = 60.0;
};

// Token bucket of retries. It starts full.
struct RetryBudget {
  double m_spent = 0.0;  // Capacity minus the retries left.
};

struct RetryState {
  RetryLimits m_limits;
  RetryBudget m_instance;
  std::map<std::string, RetryBudget, std::less<>> m_workspaces;
};

// Credits the budgets for one accepted request.
void CreditRetryBudgets(RetryState& state, std::string_view workspace);

// Returns the outcome to report if the request ends now.
Outcome OutcomeOf(const FailureContext& failure);

// Decides how to continue after a failed attempt and charges the budgets.
RetryDecision DecideRetry(RetryState& state, const FailureContext& failure,
                          Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RETRY_H_
