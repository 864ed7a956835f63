#ifndef COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
#define COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_

#include <string>
#include <vector>

#include "record.h"

namespace comfreypaddle::testing {

// Time in which a process considered itself the holder of a duty, on a clock
// that all processes share.
struct HeldSpan {
  Writer m_holder;
  std::string m_duty;
  Position m_fencing_number = 0;
  Instant m_from{};
  Instant m_to{};
};

// Usage report as the platform got it.
struct ReportedUsage {
  Writer m_reporter;
  std::uint64_t m_window = 0;
  Position m_token = 0;
  Position m_fencing_number = 0;
  std::vector<UsageDelta> m_figures;
};

// Returns a description of each pair of spans in which two processes held a
// duty at once, or in which a later holder had a lower fencing number.
std::vector<std::string> CheckLeaseHistory(const std::vector<HeldSpan>& spans);

// Returns a description of each pair of reports that give a window different
// figures or tokens, or that come from two processes under the same authority.
std::vector<std::string> CheckUsageHistory(
    const std::vector<ReportedUsage>& reports);

// How a request ended for its caller.
enum class CallerEnd { kWhole, kBrokenOff, kRefused };

// What a caller saw of one request.
struct CallerEvent {
  std::string m_request;  // Prompt or path; one for each piece of work.
  bool m_repeatable = true;
  CallerEnd m_end = CallerEnd::kWhole;
  Outcome m_outcome = Outcome::kRan;  // Of a refusal.
  std::vector<std::uint64_t> m_positions;
  std::uint64_t m_tokens = 0;  // Length of the whole answer.
  bool m_text_matches = true;
};

// Executions of one request at all endpoints.
struct EndpointEvent {
  std::string m_request;
  std::uint32_t m_runs = 0;
};

// Returns a description of each request that is not repeatable and ran twice,
// of each answer that looks whole and is not, and of each refusal as not run
// of a request that ran. A request may be sent several times; a refusal of one
// sending is true if another sending accounts for the run.
std::vector<std::string> CheckRequestHistory(
    const std::vector<CallerEvent>& callers,
    const std::vector<EndpointEvent>& endpoints);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
