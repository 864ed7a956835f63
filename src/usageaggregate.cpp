#include "usageaggregate.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// The sums may lack stored counts if the last read is older than this.
constexpr Duration kMaxReadAge = std::chrono::milliseconds(1500);

// Number of windows whose counts are kept.
constexpr std::uint64_t kRetainedWindows = 60;

// Number of incarnations of an instance whose late records are recognised.
constexpr std::size_t kMaxIncarnations = 4;

// Whether the record was not added before. An instance sends a record only
// after the one before it is stored, so that a lower sequence number is a
// repetition.
bool IsNew(UsageAggregate& state, const schema::UsageRecord& record) {
  std::vector<UsageSequence>& added = state.m_added[record.instance()];
  for (UsageSequence& known : added) {
    if (known.m_incarnation != record.incarnation()) continue;
    if (record.sequence() <= known.m_sequence) return false;
    known.m_sequence = record.sequence();
    return true;
  }
  if (added.size() >= kMaxIncarnations) added.erase(added.begin());
  added.push_back({record.incarnation(), record.sequence()});
  return true;
}

void AddUsageRecord(UsageAggregate& state, const schema::UsageRecord& record) {
  if (!IsNew(state, record)) return;
  for (const schema::UsageCount& count : record.counts()) {
    state.m_windows[count.window()][count.workspace()] += count.requests();
  }
}

}  // namespace

void AddUsageRecords(UsageAggregate& state, const ReadResult& result,
                     Instant now) {
  for (const StreamRecord& record : result.m_records) {
    if (record.m_offset < state.m_next) continue;
    schema::UsageBatch batch;
    if (!batch.ParseFromString(record.m_value)) continue;
    for (const schema::UsageRecord& usage : batch.records()) {
      AddUsageRecord(state, usage);
    }
  }
  state.m_next = std::max(state.m_next, result.m_next);
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
  const UsageAggregateOptions& options = state.m_options;
  if (now - state.m_read_at > kMaxReadAge || now < state.m_complete_from) {
    return std::nullopt;
  }
  const std::uint64_t settled = LastSettledWindow(state, unix_time);
  const auto oldest = static_cast<std::uint64_t>(
      (unix_time - options.m_max_window_age) / options.m_window);
  // Without an earlier window, start with the one that has just ended.
  const std::uint64_t next = last == 0 ? settled : std::max(last + 1, oldest);
  if (next > settled) return std::nullopt;
  schema::FixedWindow window;
  window.set_window(next);
  for (const auto& [workspace, requests] : state.m_windows[next]) {
    schema::UsageCount* count = window.add_counts();
    count->set_window(next);
    count->set_workspace(workspace);
    count->set_requests(requests);
  }
  if (next > kRetainedWindows) {
    state.m_windows.erase(state.m_windows.begin(),
                          state.m_windows.lower_bound(next - kRetainedWindows));
  }
  return window;
}

}  // namespace comfreypaddle
