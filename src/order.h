#ifndef COMFREYPADDLE_ORDER_H_
#define COMFREYPADDLE_ORDER_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "configstate.h"
#include "lease.h"
#include "record.h"

namespace comfreypaddle {

// Number of removed endpoints whose orders are kept, so that an endpoint
// recreated under the same name does not accept a second order. Covers two
// weeks at 270 replacements per day.
inline constexpr std::size_t kMaxRetiredEndpoints = 4096;

// Order state of one endpoint.
struct EndpointOrders {
  OrderIntent m_intent;     // Latest intent.
  Position m_position = 0;  // Log position of that intent.
  bool m_open = false;      // No outcome has been recorded.
  OrderState m_state = OrderState::kRunning;
  std::uint64_t m_count = 0;  // Number of intents accepted for the endpoint.
};

struct OrderTable {
  std::map<std::string, EndpointOrders, std::less<>> m_endpoints;
  std::deque<std::string> m_retired;  // Removed endpoints in order of removal.
};

// Applies an intent, which is the permission to send one order. Returns
// kAccepted if the writer holds the lease of the fleet's order duty with this
// fencing number and the endpoint has no open intent. Otherwise kNotFound for
// an unknown endpoint, kStale, kBusy, kRepeated if the order id equals that of
// the endpoint's latest intent, or kSpent for a second order to an endpoint
// that ignores fencing.
Verdict ApplyOrderIntent(OrderTable& book, const Tables& tables,
                         const LeaseTable& leases, const Writer& writer,
                         const OrderIntent& intent, Position position);

// Applies an outcome, which closes the intent. Only the holder of the fleet's
// order duty may write it: a former holder may have given up on an order that
// its successor still sees in progress.
Verdict ApplyOrderOutcome(OrderTable& book, const Tables& tables,
                          const LeaseTable& leases, const Writer& writer,
                          const OrderOutcome& outcome);

// Whether the endpoint has an open intent, which prevents its removal.
bool HasOpenOrder(const OrderTable& book, std::string_view endpoint);

// Records that the endpoint was removed from the configuration.
void RetireEndpoint(OrderTable& book, const std::string& endpoint);

// Records that the endpoint is configured, possibly again after a removal.
void RestoreEndpoint(OrderTable& book, const std::string& endpoint);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ORDER_H_
