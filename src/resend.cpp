#include "resend.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Length of a span. The oldest span counts as a whole, so the window is held
// to within this much.
constexpr Duration kSpan = std::chrono::milliseconds(500);

// Part of the budget that is used: requests of other instances and the ends of
// the judged windows are not seen from here.
constexpr double kUsedPart = 0.8;

ResendBucket& CurrentSpan(ResendState& state, const std::string& service,
                          Instant now) {
  const std::int64_t index = now.time_since_epoch() / kSpan;
  const std::int64_t oldest = index - state.m_limits.m_window / kSpan;
  std::deque<ResendBucket>& spans = state.m_services[service];
  while (!spans.empty() && spans.front().m_index < oldest) spans.pop_front();
  if (spans.empty() || spans.back().m_index != index) {
    spans.push_back({index, 0, 0});
  }
  return spans.back();
}

}  // namespace

void CountRequest(ResendState& state, const std::string& service, Instant now) {
  ++CurrentSpan(state, service, now).m_requests;
}

bool TryConsumeResend(ResendState& state, const std::string& service,
                      Instant now) {
  ResendBucket& current = CurrentSpan(state, service, now);
  double requests = 0;
  double resends = 0;
  for (const ResendBucket& span : state.m_services[service]) {
    requests += static_cast<double>(span.m_requests);
    resends += static_cast<double>(span.m_resends);
  }
  const double share =
      state.m_limits.m_slack / std::max<std::uint32_t>(state.m_instances, 1);
  const double allowed =
      kUsedPart * (state.m_limits.m_ratio * requests + share);
  if (resends + 1 > allowed) return false;
  ++current.m_resends;
  return true;
}

}  // namespace comfreypaddle
