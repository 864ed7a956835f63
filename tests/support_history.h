#ifndef COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
#define COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "record.h"

namespace comfreypaddle::testing {

// Interval in which a process considered itself the holder of a duty, on a
// clock shared by all processes.
struct LeaseInterval {
  Writer m_holder;
  std::string m_duty;
  Position m_fencing_number = 0;
  Instant m_from{};
  Instant m_to{};
};

// Usage report as received by the platform.
struct ReportedUsage {
  Writer m_reporter;
  std::uint64_t m_window = 0;
  Position m_token = 0;
  Position m_fencing_number = 0;
  std::vector<UsageDelta> m_figures;
};

// Returns a description of each pair of intervals in which two processes held a
// duty at the same time or a later holder had no higher fencing number.
std::vector<std::string> CheckLeaseHistory(
    const std::vector<LeaseInterval>& intervals);

// Returns a description of each pair of reports with different figures or
// tokens for one window, or from two processes with the same fencing number.
std::vector<std::string> CheckUsageHistory(
    const std::vector<ReportedUsage>& reports);

// How a request ended for its caller.
enum class CallerEnd { kComplete, kInterrupted, kRefused };

// Outcome of one request as observed by its caller.
struct CallerEvent {
  std::string m_request;  // Unique prompt or path.
  bool m_repeatable = true;
  CallerEnd m_end = CallerEnd::kComplete;
  Outcome m_outcome = Outcome::kRan;  // Of a refusal.
  std::vector<std::uint64_t> m_positions;
  std::uint64_t m_tokens = 0;  // Length of the complete answer.
  bool m_text_matches = true;
};

// Number of executions of one request, at one or more endpoints.
struct ExecutionCount {
  std::string m_request;
  std::uint32_t m_executions = 0;
};

// Returns a description of each non-repeatable request that ran or was answered
// more than once, each answer delivered as complete that is incomplete, wrong
// or belongs to a request that never ran, and each request that ran although
// all its attempts were refused as not run. If a request was sent several
// times, a refusal is valid when another attempt may account for the run.
std::vector<std::string> CheckRequestHistory(
    const std::vector<CallerEvent>& callers,
    const std::vector<ExecutionCount>& endpoints);

// Work of an endpoint on a request, or of one of several requests that must not
// overlap.
struct WorkInterval {
  std::string m_request;
  Instant m_began{};
  Instant m_ended = Instant::max();
};

// Returns a description of each pair of intervals of one request in which the
// earlier one lasts for more than `allowed` beyond the begin of the later one.
std::vector<std::string> CheckOverlaps(const std::vector<WorkInterval>& work,
                                       Duration allowed);

// Arrival of a request at a service, or the time at which its caller sent it.
struct TimedRequest {
  std::string m_request;
  Instant m_at{};
};

struct BudgetRule {
  double m_ratio = 0;
  Duration m_window{0};
  double m_slack = 0;
};

// Repeated arrivals in one window and how many are allowed.
struct BudgetUse {
  std::int64_t m_repeated = 0;
  std::int64_t m_requests = 0;
  double m_allowed = 0;
};

// Measures the use of the retry budget as the platform does, and returns the
// window in which the largest part of it is used. In each window, the
// arrivals beyond the first of each request must not exceed the slack and the
// ratio of the requests sent in it, in the one before it or in the one half a
// window before it, whichever has most.
BudgetUse MeasureRetryBudget(const std::vector<TimedRequest>& sent,
                             std::vector<TimedRequest> arrived,
                             const BudgetRule& rule);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
