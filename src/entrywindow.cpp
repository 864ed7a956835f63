#include "entrywindow.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace comfreypaddle {

namespace {

// Share of the slots that an instance may use without recent figures of the
// others, relative to an even one: rarely do all instances have requests for
// the same endpoint.
constexpr double kBlindShareFactor = 2;

bool IsEndpointInWindow(const BalanceState& state, const std::string& id,
                        Instant now) {
  const BalanceEndpoint* endpoint = FindEndpoint(state, id);
  if (endpoint == nullptr) return true;
  const WorkInFlight work{
      static_cast<double>(endpoint->m_running), endpoint->m_prefill_ms,
      static_cast<double>(endpoint->m_remote_running),
      endpoint->m_remote_prefill_ms,
      now - endpoint->m_remote_reported_at < kMaxRemoteLoadAge};
  return IsInWindow(work, endpoint->m_slots, state.m_window_ms,
                    state.m_limit_peers.m_instances.size());
}

}  // namespace

bool IsInWindow(const WorkInFlight& work, double slots, double window_ms,
                std::size_t instances) {
  if (work.m_is_remote_recent) {
    return work.m_own_running + work.m_remote_running < std::max(slots, 1.0) &&
           work.m_own_prefill_ms + work.m_remote_prefill_ms < window_ms;
  }
  const double sharers =
      static_cast<double>(std::max<std::size_t>(instances, 1));
  const double share =
      std::clamp(std::ceil(kBlindShareFactor * slots / sharers), 1.0,
                 std::max(slots, 1.0));
  return work.m_own_running < share && work.m_own_prefill_ms < window_ms;
}

bool FitsWindow(const BalanceState& state, const BalanceChoice& choice,
                Instant now) {
  if (state.m_window_ms <= 0) return true;
  if (!IsEndpointInWindow(state, choice.m_endpoint, now)) return false;
  return choice.m_prefill.empty() ||
         IsEndpointInWindow(state, choice.m_prefill, now);
}

}  // namespace comfreypaddle
