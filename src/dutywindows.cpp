#include "dutywindows.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Maximum number of fixed but unreported windows in the duties record.
constexpr int kMaxFixedWindows = 8;

// Allowance for the difference between the clocks of two machines: the last
// holder may have fixed a window by a clock that is ahead of this one, also by
// a step of the time of day of 2 s, which each process reads once at its start.
constexpr Duration kClockAllowance = std::chrono::milliseconds(2500);

// Number of the newest window that is not to be fixed any more.
std::uint64_t LastWindow(const schema::DutyRecord& record) {
  std::uint64_t last = std::max(record.reported(), record.abandoned());
  for (const schema::FixedWindow& window : record.fixed()) {
    last = std::max(last, window.window());
  }
  return last;
}

}  // namespace

DutyUpdate NextDutyRecord(const HolderState& holder, UsageAggregate& usage,
                          std::uint64_t accepted, Duration unix_at_zero,
                          Instant now) {
  DutyUpdate next{holder.m_newest};
  schema::DutyRecord known;
  known.set_reported(accepted);
  // An append that was not answered may be lost, take effect late or have been
  // read by others: its windows are fixed with the same counts again.
  if (IsHolder(holder) || HoldsLostLease(holder, now)) {
    MergeWindows(next.m_record, holder.m_pending);
  }
  if (MayLackWindows(holder, now)) {
    // Windows that end later have requests that are still to come.
    const Instant seen = holder.m_era_seen +
                         std::min(kClockAllowance, usage.m_options.m_fix_delay);
    known.set_abandoned(
        LastSettledWindow(usage, seen.time_since_epoch() + unix_at_zero));
  }
  MergeWindows(next.m_record, known);
  const Duration unix_time = now.time_since_epoch() + unix_at_zero;
  while (IsHolder(holder) && next.m_record.fixed_size() < kMaxFixedWindows) {
    const auto window =
        NextWindow(usage, LastWindow(next.m_record), unix_time, now);
    if (!window) break;
    *next.m_record.add_fixed() = *window;
  }
  next.m_changed = LastWindow(next.m_record) > LastWindow(holder.m_newest);
  return next;
}

}  // namespace comfreypaddle
