#include "benchmetrics.h"

#include <algorithm>
#include <numeric>

namespace comfreypaddle {
namespace {

ServiceWindow& WindowOf(RunMetrics& metrics, const Arrival& arrival) {
  const auto index =
      static_cast<std::size_t>((arrival.m_time - kBenchStart) / kServiceWindow);
  if (metrics.m_windows.size() <= index) metrics.m_windows.resize(index + 1);
  return metrics.m_windows[index];
}

}  // namespace

void HashDecision(RunMetrics& metrics, std::uint64_t value) {
  // FNV-1a over the eight bytes of the value.
  for (int i = 0; i < 8; ++i) {
    metrics.m_signature ^= (value >> (8 * i)) & 0xffU;
    metrics.m_signature *= 0x100000001b3U;
  }
}

void RecordArrived(RunMetrics& metrics, const Arrival& arrival, double work_s) {
  WindowOf(metrics, arrival).m_arrived[arrival.m_workspace] += work_s;
}

void RecordServed(RunMetrics& metrics, const Arrival& arrival, double work_s) {
  WindowOf(metrics, arrival).m_served[arrival.m_workspace] += work_s;
  metrics.m_on_time_work_s += work_s;
}

std::array<double, kBenchWorkspaces> ComputeFairDue(
    const ServiceWindow& window) {
  std::array<std::uint32_t, kBenchWorkspaces> order{};
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(), [&](auto a, auto b) {
    return window.m_arrived[a] < window.m_arrived[b];
  });
  double remaining =
      std::accumulate(window.m_served.begin(), window.m_served.end(), 0.0);
  std::array<double, kBenchWorkspaces> due{};
  std::size_t claimants = kBenchWorkspaces;
  for (const std::uint32_t workspace : order) {
    due[workspace] = std::min(window.m_arrived[workspace],
                              remaining / static_cast<double>(claimants));
    remaining -= due[workspace];
    --claimants;
  }
  return due;
}

double ComputeWorstServed(const RunMetrics& metrics, double min_due_s) {
  constexpr double kEpsilon = 1e-9;
  std::array<double, kBenchWorkspaces> received{};
  std::array<double, kBenchWorkspaces> due{};
  for (const ServiceWindow& window : metrics.m_windows) {
    const auto window_due = ComputeFairDue(window);
    for (std::uint32_t i = 0; i < kBenchWorkspaces; ++i) {
      if (window.m_served[i] >= window.m_arrived[i] - kEpsilon) continue;
      received[i] += window.m_served[i];
      due[i] += window_due[i];
    }
  }
  double worst = 1.0;
  for (std::uint32_t i = 0; i < kBenchWorkspaces; ++i) {
    if (due[i] < min_due_s) continue;
    worst = std::min(worst, received[i] / due[i]);
  }
  return worst;
}

}  // namespace comfreypaddle
