#ifndef COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
#define COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_

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

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
