#include "usageaggregate.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// The sums may lack stored counts if the last read is older than this.
constexpr Duration kMaxReadAge = std::chrono::milliseconds(1500);

}  // namespace

void DropOldWindows(UsageAggregate& state, Duration unix_time) {
  const UsageAggregateOptions& options = state.m_options;
  if (unix_time < options.m_max_window_age) return;
  state.m_oldest = static_cast<std::uint64_t>(
      (unix_time - options.m_max_window_age) / options.m_window);
  state.m_windows.erase(state.m_windows.begin(),
                        state.m_windows.lower_bound(state.m_oldest));
}

WorkspaceCounts SumUsage(const UsageAggregate& state, std::uint64_t window) {
  WorkspaceCounts sums;
  const auto found = state.m_windows.find(window);
  if (found == state.m_windows.end()) return sums;
  for (const auto& [source, totals] : found->second) {
    for (const auto& [workspace, requests] : totals) {
      sums[workspace] += requests;
    }
  }
  return sums;
}

void AddUsageRecords(UsageAggregate& state, const ReadResult& result,
                     Instant now) {
  for (const StreamRecord& record : result.m_records) {
    schema::UsageBatch batch;
    if (!batch.ParseFromString(record.m_value)) continue;
    for (const schema::UsageRecord& usage : batch.records()) {
      const UsageSource source{usage.instance(), usage.incarnation()};
      for (const schema::UsageCount& count : usage.totals()) {
        if (count.window() < state.m_oldest) continue;
        std::uint64_t& total =
            state.m_windows[count.window()][source][count.workspace()];
        total = std::max(total, count.requests());
      }
    }
  }
  state.m_read_at = now;
}

std::uint64_t LastSettledWindow(const UsageAggregate& state,
                                Duration unix_time) {
  const UsageAggregateOptions& options = state.m_options;
  return static_cast<std::uint64_t>((unix_time - options.m_fix_delay) /
                                    options.m_window) -
         1;
}

std::optional<schema::FixedWindow> NextWindow(UsageAggregate& state,
                                              std::uint64_t last,
                                              Duration unix_time, Instant now) {
  if (now - state.m_read_at > kMaxReadAge || now < state.m_complete_from) {
    return std::nullopt;
  }
  DropOldWindows(state, unix_time);
  const std::uint64_t settled = LastSettledWindow(state, unix_time);
  // Without an earlier window, start with the one that has just ended.
  const std::uint64_t next =
      last == 0 ? settled : std::max(last + 1, state.m_oldest);
  if (next > settled) return std::nullopt;
  schema::FixedWindow window;
  window.set_window(next);
  for (const auto& [workspace, requests] : SumUsage(state, next)) {
    schema::UsageCount* count = window.add_counts();
    count->set_window(next);
    count->set_workspace(workspace);
    count->set_requests(requests);
  }
  return window;
}

}  // namespace comfreypaddle
