#ifndef COMFREYPADDLE_TALLY_H_
#define COMFREYPADDLE_TALLY_H_

#include <map>
#include <optional>
#include <string>

#include "stream.h"

namespace comfreypaddle {

struct TallyOptions {
  Duration m_window = std::chrono::seconds(5);
  // Time after a window's end at which its figures are fixed: by then the
  // counts of all instances are in the store, also of those that hand them
  // over through another instance.
  Duration m_settle = std::chrono::milliseconds(4500);
  // Time after a window's end after which it is not reported any more.
  Duration m_give_up = std::chrono::seconds(30);
};

// Fold of the usage records, by window and workspace.
struct TallyState {
  TallyOptions m_options;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> m_windows;
  std::uint64_t m_next = 0;  // Offset of the next record.
  Instant m_read_at{};       // Last successful read.
  // No window is fixed before this instant: after an outage of the store the
  // other instances need a moment to write what they have kept.
  Instant m_trusted_from{};
};

// Adds the records that a read brought.
void FoldUsage(TallyState& state, const ReadResult& result, Instant now);

// Returns the next window whose figures are to be fixed, or nothing. last is
// the newest window that is fixed or reported; zero: none yet. unix_time is
// the true time.
std::optional<schema::FixedWindow> NextWindow(TallyState& state,
                                              std::uint64_t last,
                                              Duration unix_time, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TALLY_H_
