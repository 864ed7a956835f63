#include "resend.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Length of a bucket. The oldest bucket counts as a whole, so this is also the
// precision of the window.
constexpr Duration kBucketLength = std::chrono::milliseconds(500);

// Fraction of the budget that is used. An instance knows neither the requests
// of other instances nor the boundaries of the windows in which the budget is
// checked.
constexpr double kUsableFraction = 0.8;

ResendBucket& CurrentBucket(ResendState& state, const std::string& service,
                            Instant now) {
  const std::int64_t index = now.time_since_epoch() / kBucketLength;
  const std::int64_t oldest = index - state.m_limits.m_window / kBucketLength;
  std::deque<ResendBucket>& buckets = state.m_services[service];
  while (!buckets.empty() && buckets.front().m_index < oldest)
    buckets.pop_front();
  if (buckets.empty() || buckets.back().m_index != index) {
    buckets.push_back({index, 0, 0});
  }
  return buckets.back();
}

}  // namespace

void CountRequest(ResendState& state, const std::string& service, Instant now) {
  ++CurrentBucket(state, service, now).m_requests;
}

bool TryConsumeResend(ResendState& state, const std::string& service,
                      Instant now) {
  ResendBucket& current = CurrentBucket(state, service, now);
  double requests = 0;
  double resends = 0;
  for (const ResendBucket& bucket : state.m_services[service]) {
    requests += static_cast<double>(bucket.m_requests);
    resends += static_cast<double>(bucket.m_resends);
  }
  const double share =
      state.m_limits.m_slack / std::max<std::uint32_t>(state.m_instances, 1);
  const double allowed =
      kUsableFraction * (state.m_limits.m_ratio * requests + share);
  if (resends + 1 > allowed) return false;
  ++current.m_resends;
  return true;
}

}  // namespace comfreypaddle
