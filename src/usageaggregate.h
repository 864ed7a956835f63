#ifndef COMFREYPADDLE_USAGEAGGREGATE_H_
#define COMFREYPADDLE_USAGEAGGREGATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

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

// Newest usage record of an incarnation that was added up.
struct UsageSequence {
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
};

// Sums of the usage records by window and workspace.
struct UsageAggregate {
  UsageAggregateOptions m_options;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> m_windows;
  // By instance, newest incarnation last.
  std::map<std::string, std::vector<UsageSequence>> m_added;
  std::uint64_t m_next = 0;  // Offset of the next record.
  Instant m_read_at{};       // Time of the last successful read.
  // No window is fixed before this time: after a store outage the other
  // instances need a moment to write the counts that they have kept.
  Instant m_complete_from{};
};

// Adds the records of a read to the sums. A record that is stored more than
// once counts once.
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
