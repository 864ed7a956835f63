#include "usage.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

// Adds a number. Returns false if the set contains it already.
bool AddSequence(SequenceSet& set, std::uint64_t sequence) {
  if (sequence <= set.m_floor) return false;
  if (!set.m_above.insert(sequence).second) return false;
  while (!set.m_above.empty() && *set.m_above.begin() == set.m_floor + 1) {
    set.m_above.erase(set.m_above.begin());
    ++set.m_floor;
  }
  return true;
}

// Removes the oldest incarnation if there are more than the maximum.
void TrimIncarnations(UsageInstance& instance) {
  if (instance.m_seen.size() <= kMaxUsageIncarnations) return;
  instance.m_first_incarnation = instance.m_seen.begin()->first + 1;
  instance.m_seen.erase(instance.m_seen.begin());
}

std::vector<UsageDelta> DrainTotals(std::map<UsageKey, UsageTotals>& open) {
  std::vector<UsageDelta> figures;
  figures.reserve(open.size());
  for (const auto& [key, sum] : open) {
    figures.push_back({key.first, key.second, sum.m_requests,
                       sum.m_prompt_tokens, sum.m_output_tokens});
  }
  open.clear();
  return figures;
}

}  // namespace

Verdict ApplyUsageFlush(UsageState& state, const UsageFlush& flush,
                        std::uint64_t offset) {
  if (flush.m_sequence == 0 || flush.m_instance.m_name.empty()) {
    return Verdict::kInvalid;
  }
  UsageInstance& instance = state.m_instances[flush.m_instance.m_name];
  instance.m_last_offset = offset;
  const std::uint64_t incarnation = flush.m_instance.m_incarnation;
  if (incarnation < instance.m_first_incarnation) return Verdict::kStale;
  if (!AddSequence(instance.m_seen[incarnation], flush.m_sequence)) {
    return Verdict::kRepeated;
  }
  TrimIncarnations(instance);
  for (const UsageDelta& delta : flush.m_deltas) {
    UsageTotals& sum = state.m_open[{delta.m_workspace, delta.m_target}];
    sum.m_requests += delta.m_requests;
    sum.m_prompt_tokens += delta.m_prompt_tokens;
    sum.m_output_tokens += delta.m_output_tokens;
  }
  return Verdict::kStored;
}

bool IsFlushStored(const UsageState& state, const Writer& instance,
                   std::uint64_t sequence) {
  const auto found = state.m_instances.find(instance.m_name);
  if (found == state.m_instances.end()) return false;
  const auto seen = found->second.m_seen.find(instance.m_incarnation);
  if (seen == found->second.m_seen.end()) return false;
  return sequence <= seen->second.m_floor ||
         seen->second.m_above.count(sequence) != 0;
}

CloseResult ApplyUsageClose(UsageState& state, const LeaseTable& leases,
                            const Writer& writer, const UsageClose& close,
                            Position position) {
  if (!HoldsLease(leases, kUsageDuty, writer, close.m_fencing_number)) {
    return {Verdict::kStale, nullptr};
  }
  if (close.m_window <= state.m_last_window) {
    return {Verdict::kConflict, nullptr};
  }
  if (state.m_unreported.size() >= kMaxUnreportedWindows) {
    return {Verdict::kUnavailable, nullptr};
  }
  ClosedWindow& window = state.m_unreported[close.m_window];
  window.m_window = close.m_window;
  window.m_position = position;
  window.m_fencing_number = close.m_fencing_number;
  window.m_figures = DrainTotals(state.m_open);
  state.m_last_window = close.m_window;
  return {Verdict::kAccepted, &window};
}

Verdict ApplyUsageReported(UsageState& state, const UsageReported& reported) {
  return state.m_unreported.erase(reported.m_window) == 1 ? Verdict::kAccepted
                                                          : Verdict::kNotFound;
}

void ExpireUsageInstances(UsageState& state, std::uint64_t offset) {
  std::erase_if(state.m_instances, [offset](const auto& row) {
    return row.second.m_last_offset + kUsageRetentionOffsets < offset;
  });
}

}  // namespace comfreypaddle
