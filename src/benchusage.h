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

// Simulated usage reporting. Each instance flushes its usage to a simulated log
// every second, and the holder of the usage duty closes and reports windows.
// State is updated by the production code. Injected faults: lost responses to
// appends and reports, duplicate appends by peers, and close attempts by an
// instance that does not hold the lease.
struct SimulatedUsage {
  std::array<std::map<std::string, UsageDelta>, kBenchInstances> m_pending;
  std::array<std::uint64_t, kBenchInstances> m_sequence{};
  std::deque<UsageFlush> m_pending_flushes;
  std::uint64_t m_offset = 0;
  LeaseTable m_leases;
  UsageState m_usage_state;
  std::map<std::string, UsageTotals> m_actual_totals;
  std::map<std::string, UsageTotals> m_reported_totals;
  std::map<Position, std::vector<UsageDelta>> m_reports_by_token;  // By token.
  std::uint64_t m_window = 1;  // Next window to close.
  Instant m_writable_since{};  // End of the last log outage.
  bool m_log_unavailable = false;
  std::uint64_t m_wrong_reports = 0;  // Late or changed reports.
  std::mt19937_64 m_random{1};
};

// Records the usage of a completed request.
void RecordUsage(SimulatedUsage& run, const Arrival& arrival);

// Flushes pending usage and closes a window that has ended. A report is late if
// it is made more than 5 s after the end of its window, or after the end of a
// log outage if that is later.
void StepUsage(SimulatedUsage& run, bool log_down, Instant now);

// Closes the last window and returns the number of late or wrong reports. Each
// workspace whose reported totals differ from its actual usage counts as one.
std::uint64_t FinishUsage(SimulatedUsage& run, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHUSAGE_H_
