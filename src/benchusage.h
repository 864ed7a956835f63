#ifndef COMFREYPADDLE_BENCHUSAGE_H_
#define COMFREYPADDLE_BENCHUSAGE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <random>

#include "arrivals.h"
#include "lease.h"
#include "usage.h"

namespace comfreypaddle {

// Usage reporting of a run: each instance flushes its usage every second to a
// fake log, and the holder of the usage duty closes and reports windows. The
// folds are the product's. Answers to appends and reports are lost at random,
// peers append flushes that they hold as well, and a second instance tries to
// close windows without the lease.
struct UsageRun {
  std::array<std::map<std::string, UsageDelta>, kBenchInstances> m_pending;
  std::array<std::uint64_t, kBenchInstances> m_sequence{};
  std::deque<UsageFlush> m_unstored;
  std::uint64_t m_offset = 0;
  LeaseTable m_leases;
  UsageState m_fold;
  std::map<std::string, UsageTotals> m_truth;
  std::map<std::string, UsageTotals> m_reported;
  std::map<Position, std::vector<UsageDelta>> m_reports;  // By token.
  std::uint64_t m_window = 1;  // Next window to close.
  Instant m_writable_since{};  // Since when the log takes appends.
  bool m_log_down = false;
  std::uint64_t m_wrong = 0;  // Late reports and reports that changed.
  std::mt19937_64 m_random{1};
};

// Books a request that was answered.
void BookUsage(UsageRun& run, const Arrival& arrival);

// Flushes what is pending and closes windows that have ended. A window is
// reported late if that happens more than 5 s after its end, not counting
// time in which the log is down.
void StepUsage(UsageRun& run, bool log_down, Instant now);

// Closes the last window and returns the number of late or wrong reports. Each
// workspace whose reported figures differ from the truth counts as one.
std::uint64_t FinishUsage(UsageRun& run, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHUSAGE_H_
