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

// Removed endpoints whose orders are remembered, so that an endpoint that is
// created again under the same name does not take a second order. Two weeks
// at 270 replacements a day.
inline constexpr std::size_t kMaxRetiredEndpoints = 4096;

// Orders of one endpoint.
struct EndpointOrders {
  OrderIntent m_intent;     // The last one.
  Position m_position = 0;  // Of that intent.
  bool m_open = false;      // No outcome is recorded yet.
  OrderState m_state = OrderState::kRunning;
  std::uint64_t m_count = 0;  // Intents in the endpoint's life.
};

struct OrderBook {
  std::map<std::string, EndpointOrders, std::less<>> m_endpoints;
  std::deque<std::string> m_retired;  // Removed endpoints, oldest first.
};

// Folds an intent: the permission to send one order. kAccepted if the writer
// has the current tenure of the fleet's order duty with this fencing number
// and the endpoint has no open intent. Otherwise kNotFound for an unknown
// endpoint, kStale, kBusy, kRepeated for an order id that is the endpoint's
// last one, or kSpent for a second order to an endpoint that ignores fencing.
Verdict FoldOrderIntent(OrderBook& book, const Tables& tables,
                        const LeaseTable& leases, const Writer& writer,
                        const OrderIntent& intent, Position position);

// Folds an outcome, which closes the intent. Only the holder of the fleet's
// order duty can give it: a former holder may have given up on an order that
// its successor still sees under way.
Verdict FoldOrderOutcome(OrderBook& book, const Tables& tables,
                         const LeaseTable& leases, const Writer& writer,
                         const OrderOutcome& outcome);

// Whether the endpoint has an open intent; it cannot be removed then.
bool HasOpenOrder(const OrderBook& book, std::string_view endpoint);

// Notes that the endpoint was removed from the configuration.
void RetireEndpoint(OrderBook& book, const std::string& endpoint);

// Notes that the endpoint is in the configuration, possibly again.
void ReviveEndpoint(OrderBook& book, const std::string& endpoint);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ORDER_H_
