#include "upstream.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Initial and longest backoff of a candidate that did not answer.
constexpr Duration kInitialBackoff = std::chrono::seconds(4);
constexpr Duration kMaxBackoff = std::chrono::seconds(64);

bool IsInBackoff(const UpstreamState& state, const std::string& name,
                 Instant now) {
  const auto found = state.m_failures.find(name);
  return found != state.m_failures.end() && now < found->second.m_backoff_until;
}

}  // namespace

bool SelectUpstream(UpstreamState& state,
                    const std::vector<UpstreamCandidate>& live, Instant now) {
  UpstreamCandidate best;
  for (const UpstreamCandidate& candidate : live) {
    if (candidate.m_zone != state.m_zone) continue;
    if (!state.m_self.empty() && candidate.m_name >= state.m_self) continue;
    if (IsInBackoff(state, candidate.m_name, now)) continue;
    if (best.m_name.empty() || candidate.m_name < best.m_name) best = candidate;
  }
  const bool changed = best.m_name != state.m_selected.m_name;
  state.m_selected = best;
  return changed;
}

bool HasUpstream(const UpstreamState& state) {
  return !state.m_selected.m_name.empty();
}

bool HasUpstreamInBackoff(const UpstreamState& state, Instant now) {
  return std::any_of(
      state.m_failures.begin(), state.m_failures.end(),
      [now](const auto& entry) { return now < entry.second.m_backoff_until; });
}

void OnUpstreamSuccess(UpstreamState& state, const std::string& name) {
  state.m_failures.erase(name);
}

void OnUpstreamFailure(UpstreamState& state, const std::string& name,
                       Instant now) {
  UpstreamFailure& failure = state.m_failures[name];
  constexpr std::uint32_t kMaxDoublings = 4;
  const std::uint32_t doublings = std::min(failure.m_failures, kMaxDoublings);
  failure.m_backoff_until =
      now +
      std::min<Duration>(kInitialBackoff * (1U << doublings), kMaxBackoff);
  ++failure.m_failures;
}

}  // namespace comfreypaddle
