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

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_HISTORY_H_
