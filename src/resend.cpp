#include "resend.h"

#include <algorithm>
#include <limits>

namespace comfreypaddle {

namespace {

// Length of a bucket. The oldest bucket counts as a whole, so this is also the
// precision of the window.
constexpr Duration kBucketLength = std::chrono::milliseconds(500);

// Fraction of the budget that is used. An instance knows neither the requests
// of other instances nor the boundaries of the windows in which the budget is
// checked.
constexpr double kUsableFraction = 0.8;

std::int64_t BucketIndex(Instant now) {
  return now.time_since_epoch() / kBucketLength;
}

// Index of the oldest bucket in the window.
std::int64_t OldestIndex(const ResendState& state, Instant now) {
  return BucketIndex(now) - state.m_limits.m_window / kBucketLength;
}

// Whether a time is so recent that retries made then still count.
bool IsInWindow(const ResendState& state, Instant time, Instant now) {
  return now - time <= state.m_limits.m_window + kBucketLength;
}

ResendBucket& CurrentBucket(ResendState& state, const std::string& service,
                            Instant now) {
  const std::int64_t oldest = OldestIndex(state, now);
  std::deque<ResendBucket>& buckets = state.m_services[service].m_buckets;
  while (!buckets.empty() && buckets.front().m_index < oldest)
    buckets.pop_front();
  if (buckets.empty() || buckets.back().m_index != BucketIndex(now)) {
    buckets.push_back({BucketIndex(now), 0, 0});
  }
  return buckets.back();
}

// Counts this many of the endpoint's unread retries, at most, in the current
// window.
void MoveUnread(ResendState& state, const std::string& service,
                const std::string& endpoint, std::uint64_t most, Instant now) {
  const auto found = state.m_services.find(service);
  if (found == state.m_services.end()) return;
  const auto unread = found->second.m_unread.find(endpoint);
  if (unread == found->second.m_unread.end()) return;
  const std::uint64_t retries = std::min(unread->second, most);
  unread->second -= retries;
  if (unread->second == 0) found->second.m_unread.erase(unread);
  CurrentBucket(state, service, now).m_resends += retries;
}

}  // namespace

void SetInstances(ResendState& state, const InstanceCount& count, Instant now) {
  if (!count.m_listed) {
    state.m_listed_at.reset();
  } else if (!state.m_listed_at) {
    state.m_listed_at = now;
  }
  std::erase_if(state.m_former_counts, [&](const FormerCount& former) {
    return !IsInWindow(state, former.m_replaced_at, now);
  });
  if (count.m_live == state.m_instances) return;
  state.m_former_counts.push_back({state.m_instances, now});
  state.m_instances = count.m_live;
}

std::uint32_t SharingInstances(const ResendState& state, Instant now) {
  std::uint32_t instances = std::max<std::uint32_t>(state.m_instances, 1);
  for (const FormerCount& former : state.m_former_counts) {
    if (IsInWindow(state, former.m_replaced_at, now)) {
      instances = std::max(instances, former.m_instances);
    }
  }
  return instances;
}

double SlackShare(const ResendState& state, Instant now) {
  if (state.m_stopping || !state.m_listed_at) return 0;
  if (IsInWindow(state, *state.m_listed_at, now)) return 0;
  if (!IsInWindow(state, state.m_list_confirmed_at, now)) return 0;
  return state.m_limits.m_slack / SharingInstances(state, now);
}

ResendUse ResendUseOf(const ResendState& state, const std::string& service,
                      Instant now) {
  ResendUse use;
  const auto found = state.m_services.find(service);
  if (found != state.m_services.end()) {
    for (const ResendBucket& bucket : found->second.m_buckets) {
      if (bucket.m_index < OldestIndex(state, now)) continue;
      use.m_requests += static_cast<double>(bucket.m_requests);
      use.m_resends += static_cast<double>(bucket.m_resends);
    }
    for (const auto& [endpoint, retries] : found->second.m_unread) {
      use.m_resends += static_cast<double>(retries);
    }
  }
  use.m_allowed = kUsableFraction * (state.m_limits.m_ratio * use.m_requests +
                                     SlackShare(state, now));
  return use;
}

void CountRequest(ResendState& state, const std::string& service, Instant now) {
  ++CurrentBucket(state, service, now).m_requests;
}

bool MayResend(const ResendState& state, const std::string& service,
               Instant now) {
  const ResendUse use = ResendUseOf(state, service, now);
  return use.m_resends + 1 <= use.m_allowed;
}

bool TryConsumeResend(ResendState& state, const std::string& service,
                      const std::string& endpoint, Instant now) {
  if (!MayResend(state, service, now)) return false;
  ++state.m_services[service].m_unread[endpoint];
  return true;
}

void OnResendsRead(ResendState& state, const std::string& service,
                   const std::string& endpoint, Instant now) {
  constexpr std::uint64_t kAll = std::numeric_limits<std::uint64_t>::max();
  MoveUnread(state, service, endpoint, kAll, now);
}

void OnResendEnded(ResendState& state, const std::string& service,
                   const std::string& endpoint, Instant now) {
  MoveUnread(state, service, endpoint, 1, now);
}

void ForgetEndpoints(
    ResendState& state,
    const std::function<bool(const std::string& endpoint)>& is_known,
    Instant now) {
  for (auto& [service, resends] : state.m_services) {
    std::vector<std::string> gone;
    for (const auto& [endpoint, retries] : resends.m_unread) {
      if (!is_known(endpoint)) gone.push_back(endpoint);
    }
    for (const std::string& endpoint : gone) {
      OnResendsRead(state, service, endpoint, now);
    }
  }
}

}  // namespace comfreypaddle
