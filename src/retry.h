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

// How an attempt at an endpoint ended without a complete answer.
enum class FailureKind {
  kConnectFailed,   // No connection; no byte of the request was sent.
  kRefusedNotRun,   // The endpoint said that the request did not run.
  kConnectionLost,  // The connection broke after bytes were sent.
  kSilent,          // No byte and no heartbeat for the silence limit.
  kTimeout,         // The time limit of the attempt passed.
  kCrashed,         // The endpoint was found restarted or gone.
  kStaleStream,     // The endpoint does not know the stream to resume.
  kBadAnswer,       // Gap in positions, wrong request, or not the protocol.
  kAnsweredError    // The endpoint answered with an error of its own.
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

// What is known about a request when one of its attempts failed. FactsOf in
// exchange.h fills it in.
struct FailureContext {
  FailureKind m_kind = FailureKind::kConnectionLost;
  std::string m_workspace;
  bool m_repeatable = false;
  // True if a byte of the request may have reached an endpoint that did not
  // say that the request did not run, in this or an earlier attempt.
  bool m_may_have_run = false;
  // True if a part of an answer was seen in any attempt.
  bool m_answer_seen = false;
  // True if a byte of the failed attempt may have reached its endpoint.
  bool m_sent = false;
  // True for engine streams, which can be resumed by position.
  bool m_resumable = false;
  // True if the caller got a part of the answer, so that another attempt must
  // go on behind it.
  bool m_partly_delivered = false;
  // True if a part of the answer is held whole, so that another endpoint can
  // go on behind it.
  bool m_prefix_available = false;
  // True if the failed attempt brought at least one new token.
  bool m_made_progress = false;
  // True if the endpoint was known to be draining, leaving or reclaimed.
  bool m_endpoint_leaving = false;
  // True if the request is suspected of crashing endpoints and must not run
  // again.
  bool m_poison = false;
  // Attempts and resumes in a row that brought no new token. An attempt that
  // did counts as one.
  std::uint32_t m_attempts = 0;
  std::uint32_t m_resumes = 0;
  Instant m_deadline{};
};

enum class RetryAction {
  kResume,      // Same endpoint, new connection, behind the last position.
  kContinue,    // Another endpoint, prompt plus text so far.
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
  // What may be reported to the caller if the request ends now.
  Outcome m_outcome = Outcome::kUnknown;
  // Time to wait before the next attempt; it ends before the deadline.
  Duration m_wait{0};
  double m_charged = 0.0;  // Taken from both budgets.
};

struct RetryLimits {
  std::uint32_t m_max_attempts = 4;
  double m_ratio = 0.1;   // Retries earned by each request.
  double m_burst = 10.0;  // Retries that a workspace may save up.
  // Retries that the whole instance may save up. It is larger than one
  // workspace's because the loss of a zone fails requests of all workspaces.
  double m_instance_burst = 60.0;
};

// Retries that may still be made. It starts full.
struct RetryBudget {
  double m_spent = 0.0;  // Burst minus the retries left.
};

struct RetryState {
  RetryLimits m_limits;
  RetryBudget m_instance;
  std::map<std::string, RetryBudget, std::less<>> m_workspaces;
};

// Credits the budgets for one accepted request.
void CreditRetryBudgets(RetryState& state, std::string_view workspace);

// Returns what may be reported about the request if it ends now.
Outcome OutcomeOf(const FailureContext& facts);

// Decides what to do after a failed attempt and charges the budgets.
RetryDecision DecideRetry(RetryState& state, const FailureContext& facts,
                          Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RETRY_H_
