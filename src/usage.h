#ifndef COMFREYPADDLE_USAGE_H_
#define COMFREYPADDLE_USAGE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease.h"
#include "record.h"

namespace comfreypaddle {

// Closed windows that wait for their report. A close above the bound is
// refused and the work is counted in the next window, so that a long outage
// of the report interface does not use up the memory.
inline constexpr std::size_t kMaxUnreportedWindows = 64;

// Incarnations of one instance whose flushes are told apart. Flushes of older
// incarnations are void.
inline constexpr std::size_t kMaxUsageIncarnations = 4;

// Log offsets after which an instance that flushed nothing is forgotten: half
// a day at 240 appends a second.
inline constexpr std::uint64_t kUsageRetentionOffsets = 10'368'000;

// Sequence numbers seen: all up to m_floor and those in m_above.
struct SequenceSet {
  std::uint64_t m_floor = 0;
  std::set<std::uint64_t> m_above;

  friend bool operator==(const SequenceSet&, const SequenceSet&) = default;
};

struct UsageInstance {
  std::map<std::uint64_t, SequenceSet> m_seen;  // By incarnation.
  std::uint64_t m_first_incarnation = 0;        // Older ones are void.
  std::uint64_t m_last_offset = 0;

  friend bool operator==(const UsageInstance&, const UsageInstance&) = default;
};

// Workspace and target.
using UsageKey = std::pair<std::string, std::string>;

struct UsageTotals {
  std::uint64_t m_requests = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;

  friend bool operator==(const UsageTotals&, const UsageTotals&) = default;
};

// Window whose figures are final.
struct ClosedWindow {
  std::uint64_t m_window = 0;
  Position m_position = 0;  // Of the close; the report's token.
  Position m_fencing_number = 0;
  std::vector<UsageDelta> m_figures;  // In the order of workspace and target.

  friend bool operator==(const ClosedWindow&, const ClosedWindow&) = default;
};

// Fold of the usage records.
struct UsageState {
  std::map<std::string, UsageInstance> m_instances;
  std::map<UsageKey, UsageTotals> m_open;
  std::map<std::uint64_t, ClosedWindow> m_unreported;  // By window.
  std::uint64_t m_last_window = 0;
};

// Result of a close: kAccepted with the window, kStale without the lease,
// kConflict if the window is not newer than the last one, or kUnavailable.
struct CloseResult {
  Verdict m_verdict = Verdict::kStale;
  const ClosedWindow* m_window = nullptr;  // Valid until the next change.
};

// Adds a flush to the open window. Returns kStored, kRepeated if it is in the
// log already, or kStale if its incarnation is too old to tell.
Verdict ApplyUsageFlush(UsageState& state, const UsageFlush& flush,
                        std::uint64_t offset);

// Whether the log holds the flush, as far as it was read.
bool IsFlushStored(const UsageState& state, const Writer& instance,
                   std::uint64_t sequence);

// Closes the open window if the writer has the usage lease by the fold.
CloseResult ApplyUsageClose(UsageState& state, const LeaseTable& leases,
                            const Writer& writer, const UsageClose& close,
                            Position position);

// Forgets a window that was reported. Returns kAccepted or kNotFound.
Verdict ApplyUsageReported(UsageState& state, const UsageReported& reported);

// Forgets instances that have been silent for kUsageRetentionOffsets.
void ExpireUsageInstances(UsageState& state, std::uint64_t offset);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGE_H_
