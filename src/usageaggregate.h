#ifndef COMFREYPADDLE_USAGEAGGREGATE_H_
#define COMFREYPADDLE_USAGEAGGREGATE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "stream.h"

namespace comfreypaddle {

struct UsageAggregateOptions {
  Duration m_window = std::chrono::seconds(5);
  // Delay between the end of a window and the fixing of its figures. By then
  // the counts of all instances are in the store, including those handed over
  // through another instance.
  Duration m_fix_delay = std::chrono::milliseconds(4500);
  // Windows that ended longer ago than this are no longer reported.
  Duration m_max_window_age = std::chrono::seconds(30);
};

// Instance and incarnation that counted requests.
using UsageSource = std::pair<std::string, std::uint64_t>;

// Requests by workspace.
using WorkspaceCounts = std::map<std::string, std::uint64_t>;

// Highest totals of the usage records. A record that the store holds twice, or
// that it has lost and holds again, changes nothing.
struct UsageAggregate {
  UsageAggregateOptions m_options;
  std::map<std::uint64_t, std::map<UsageSource, WorkspaceCounts>> m_windows;
  std::uint64_t m_oldest = 0;  // Windows before this one are not kept.
  // Time of the last read after which all stored records are known.
  Instant m_read_at{};
  // No window is fixed before this time: after a store outage the other
  // instances need a moment to write the counts that they have kept.
  Instant m_complete_from{};
};

// Forgets the windows that are too old to be reported.
void DropOldWindows(UsageAggregate& state, Duration unix_time);

// Returns the sums over all processes in a window.
WorkspaceCounts SumUsage(const UsageAggregate& state, std::uint64_t window);

// Takes the totals of the records that a read returned.
void AddUsageRecords(UsageAggregate& state, const ReadResult& result,
                     Instant now);

// Returns the newest window whose figures may be fixed at a Unix time.
std::uint64_t LastSettledWindow(const UsageAggregate& state,
                                Duration unix_time);

// Returns the next window whose figures can be fixed, or nothing. `last` is the
// newest window that is fixed or reported, or zero if there is none.
// `unix_time` is the current Unix time.
std::optional<schema::FixedWindow> NextWindow(UsageAggregate& state,
                                              std::uint64_t last,
                                              Duration unix_time, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGEAGGREGATE_H_
