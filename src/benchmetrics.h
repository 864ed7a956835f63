#ifndef COMFREYPADDLE_BENCHMETRICS_H_
#define COMFREYPADDLE_BENCHMETRICS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "arrivals.h"

namespace comfreypaddle {

// Work of the requests that arrived in one time window, by workspace, in
// engine-seconds.
struct ServiceWindow {
  std::array<double, kBenchWorkspaces> m_arrived{};
  std::array<double, kBenchWorkspaces> m_served{};  // Before the deadline.
};

// Window length, about the shortest deadline, so that work is compared with the
// work that it competes with.
inline constexpr Duration kServiceWindow = std::chrono::seconds(10);

// Metrics collected during a run.
struct RunMetrics {
  double m_on_time_work_s = 0.0;  // Work of on-time requests.
  std::uint64_t m_unserved = 0;   // Refused, expired or abandoned.
  std::uint64_t m_abandoned = 0;  // Given up before the deadline.
  std::uint64_t m_role_changes = 0;
  std::vector<ServiceWindow> m_windows;  // From the start of the run.
  std::uint64_t m_signature = 0xcbf29ce484222325U;
};

// Hashes a decision into the signature.
void HashDecision(RunMetrics& metrics, std::uint64_t value);

// Record the work of an arrived request and of a request served on time.
void RecordArrived(RunMetrics& metrics, const Arrival& arrival, double work_s);
void RecordServed(RunMetrics& metrics, const Arrival& arrival, double work_s);

// Max-min fair division of the window's service among the workspaces, with
// equal weights and capped by the work that arrived.
std::array<double, kBenchWorkspaces> ComputeFairDue(
    const ServiceWindow& window);

// Smallest ratio of service received to service due over all workspaces, at
// most 1. Both are summed over the windows in which some of the workspace's
// work was not served on time. Workspaces due less than `min_due_s`
// engine-seconds are skipped, since a single request would determine their
// ratio.
double ComputeWorstServed(const RunMetrics& metrics, double min_due_s);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHMETRICS_H_
