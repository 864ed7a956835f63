#ifndef COMFREYPADDLE_RESEND_H_
#define COMFREYPADDLE_RESEND_H_

#include <deque>
#include <map>
#include <string>

#include "types.h"

namespace comfreypaddle {

// Bound on the repeated sends to a service by all instances together. Each
// instance keeps to its share: the ratio of its own requests and an equal part
// of the slack.
struct ResendLimits {
  double m_ratio = 0.1;
  Duration m_window = std::chrono::seconds(10);
  double m_slack = 10;
};

// Requests and repeated sends in a short span of time.
struct ResendBucket {
  std::int64_t m_index = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_resends = 0;
};

struct ResendState {
  ResendLimits m_limits;
  std::uint32_t m_instances = 1;  // That share the slack.
  std::map<std::string, std::deque<ResendBucket>, std::less<>> m_services;
};

// Counts a request to the service, whether it is sent or not.
void CountRequest(ResendState& state, const std::string& service, Instant now);

// Takes a repeated send from the budget. Returns false if there is none left.
bool TryConsumeResend(ResendState& state, const std::string& service,
                      Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RESEND_H_
