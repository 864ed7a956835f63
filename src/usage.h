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

// Maximum number of closed windows whose report is pending. Above it a close is
// rejected and its usage counts towards the next window, so that memory stays
// bounded during a long outage of the report interface.
inline constexpr std::size_t kMaxUnreportedWindows = 64;

// Number of incarnations of an instance for which repeated flushes are
// detected. Flushes of older incarnations are rejected.
inline constexpr std::size_t kMaxUsageIncarnations = 4;

// Number of log offsets without a flush after which an instance is removed: 12
// hours at 240 appends per second.
inline constexpr std::uint64_t kUsageRetentionOffsets = 10'368'000;

// Set of sequence numbers: all up to m_floor, and those in m_above.
struct SequenceSet {
  std::uint64_t m_floor = 0;
  std::set<std::uint64_t> m_above;

  friend bool operator==(const SequenceSet&, const SequenceSet&) = default;
};

struct UsageInstance {
  std::map<std::uint64_t, SequenceSet> m_seen;  // By incarnation.
  std::uint64_t m_first_incarnation = 0;        // Older ones are rejected.
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

// Usage window whose figures are final.
struct ClosedWindow {
  std::uint64_t m_window = 0;
  Position m_position = 0;  // Of the close record; token of the report.
  Position m_fencing_number = 0;
  std::vector<UsageDelta> m_figures;  // Sorted by workspace and target.

  friend bool operator==(const ClosedWindow&, const ClosedWindow&) = default;
};

// State built from the usage records of the log.
struct UsageState {
  std::map<std::string, UsageInstance> m_instances;
  std::map<UsageKey, UsageTotals> m_open;
  std::map<std::uint64_t, ClosedWindow> m_unreported;  // By window.
  std::uint64_t m_last_window = 0;
};

// Result of a close: kAccepted with the window, kStale if the writer does not
// hold the lease, kConflict if the window is not newer than the last one, or
// kUnavailable if too many windows are unreported.
struct CloseResult {
  Verdict m_verdict = Verdict::kStale;
  const ClosedWindow* m_window = nullptr;  // Valid until the next change.
};

// Adds a flush to the open window. Returns kStored, kRepeated if it was applied
// before, kStale if its incarnation is too old to detect a repetition, or
// kInvalid if it has no instance or sequence number.
Verdict ApplyUsageFlush(UsageState& state, const UsageFlush& flush,
                        std::uint64_t offset);

// Returns whether the part of the log that was read contains the flush.
bool IsFlushStored(const UsageState& state, const Writer& instance,
                   std::uint64_t sequence);

// Closes the open window if the writer holds the usage lease at this position.
CloseResult ApplyUsageClose(UsageState& state, const LeaseTable& leases,
                            const Writer& writer, const UsageClose& close,
                            Position position);

// Removes a reported window. Returns kAccepted or kNotFound.
Verdict ApplyUsageReported(UsageState& state, const UsageReported& reported);

// Removes instances without a flush in the last kUsageRetentionOffsets.
void ExpireUsageInstances(UsageState& state, std::uint64_t offset);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGE_H_
