#ifndef COMFREYPADDLE_RESEND_H_
#define COMFREYPADDLE_RESEND_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Retry budget of a service for all instances together. Each instance uses only
// its share: the ratio of its own requests and an equal part of the slack.
struct ResendLimits {
  double m_ratio = 0.1;
  Duration m_window = std::chrono::seconds(10);
  double m_slack = 10;
};

// Requests and retries in one bucket of the sliding window.
struct ResendBucket {
  std::int64_t m_index = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_resends = 0;
};

// What this instance has sent to one service.
struct ServiceResends {
  std::deque<ResendBucket> m_buckets;
  // Retries by endpoint that may be unread: sent since it last responded. The
  // budget bounds what arrives, and an endpoint that is paused, or a link that
  // is silent, may let them arrive together much later.
  std::map<std::string, std::uint64_t> m_unread;
};

// A number of instances that a later one has replaced.
struct FormerCount {
  std::uint32_t m_instances = 0;
  Instant m_replaced_at{};
};

struct ResendState {
  ResendLimits m_limits;
  std::uint32_t m_instances = 1;             // Live instances.
  std::vector<FormerCount> m_former_counts;  // In the current window.
  // Since when this process has found itself in the list of instances.
  std::optional<Instant> m_listed_at;
  Instant m_list_confirmed_at{};  // When the list was last known to be current.
  bool m_stopping = false;        // In a planned stop.
  std::map<std::string, ServiceResends, std::less<>> m_services;
};

// Requests and retries of this instance, and how many retries it may make.
struct ResendUse {
  double m_requests = 0;
  double m_resends = 0;  // Those that may be unread included.
  double m_allowed = 0;  // Retries.
};

// The list of instances, as far as it matters here.
struct InstanceCount {
  std::uint32_t m_live = 0;
  bool m_listed = false;  // This one is among them.
};

// Sets the number of live instances.
void SetInstances(ResendState& state, const InstanceCount& count, Instant now);

// Number of instances that share the slack: the largest in the current window,
// because the retries of instances that have left still count.
std::uint32_t SharingInstances(const ResendState& state, Instant now);

// Part of the slack that this instance may use, in retries. None in a planned
// stop, after which the others divide the slack without it. None in the first
// window in which it is listed: it does not know what its predecessor has
// spent, and the others may not count it yet. None when the list is older than
// the window: instances may have joined.
double SlackShare(const ResendState& state, Instant now);

// Use of the budget of the service in the window that ends now.
ResendUse ResendUseOf(const ResendState& state, const std::string& service,
                      Instant now);

// Counts a request to the service, whether it is sent or not.
void CountRequest(ResendState& state, const std::string& service, Instant now);

// Whether the budget allows another retry.
bool MayResend(const ResendState& state, const std::string& service,
               Instant now);

// Charges one retry to the budget, which is about to be sent to the endpoint.
// Returns false if the budget is used up.
bool TryConsumeResend(ResendState& state, const std::string& service,
                      const std::string& endpoint, Instant now);

// Records that the endpoint has responded, so that the retries sent to it have
// arrived by now, or that it is gone. They count in the window that begins now.
void OnResendsRead(ResendState& state, const std::string& service,
                   const std::string& endpoint, Instant now);

// Records that the connection of one retry to the endpoint has ended from the
// other side, or was never made. It counts in the window that begins now.
void OnResendEnded(ResendState& state, const std::string& service,
                   const std::string& endpoint, Instant now);

// Calls OnResendsRead for the endpoints that the predicate does not know.
void ForgetEndpoints(
    ResendState& state,
    const std::function<bool(const std::string& endpoint)>& is_known,
    Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RESEND_H_
