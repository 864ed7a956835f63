#ifndef COMFREYPADDLE_BENCHTALLY_H_
#define COMFREYPADDLE_BENCHTALLY_H_

#include <array>
#include <cstdint>
#include <vector>

#include "arrivals.h"

namespace comfreypaddle {

// Work of the requests that arrived in one window of time, by workspace, in
// engine-seconds.
struct ServiceWindow {
  std::array<double, kBenchWorkspaces> m_arrived{};
  std::array<double, kBenchWorkspaces> m_served{};  // Done in time.
};

// Length of a window. It is about the shortest deadline, so that work is rated
// against the work that it competes with.
inline constexpr Duration kServiceWindow = std::chrono::seconds(10);

// Figures that a run collects.
struct Tally {
  double m_on_time_work_s = 0.0;  // Work of requests done in time.
  std::uint64_t m_unserved = 0;   // Refused, expired, late or cut.
  std::uint64_t m_cut = 0;        // Given up after an endpoint was lost.
  std::uint64_t m_role_changes = 0;
  std::vector<ServiceWindow> m_windows;  // From the start of the run.
  std::uint64_t m_signature = 0xcbf29ce484222325U;
};

// Adds a decision to the signature.
void NoteDecision(Tally& tally, std::uint64_t value);

// Adds a request that arrived, and one that was done in time.
void NoteArrived(Tally& tally, const Arrival& arrival, double work_s);
void NoteServed(Tally& tally, const Arrival& arrival, double work_s);

// Parts of the service given in the window that are due to the workspaces:
// max-min fair with equal weights, up to the work that arrived.
std::array<double, kBenchWorkspaces> FairDue(const ServiceWindow& window);

// Smallest quotient over the workspaces of the service received and the
// service due, both summed over the windows in which a part of the workspace's
// work was not served in time, and at most 1. Workspaces that were due less
// than this many engine-seconds are left out: a single request would decide
// their quotient.
double WorstServed(const Tally& tally, double least_due_s);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHTALLY_H_
