#include "order.h"

#include <algorithm>

namespace comfreypaddle {

Verdict ApplyOrderIntent(OrderTable& book, const Tables& tables,
                         const LeaseTable& leases, const Writer& writer,
                         const OrderIntent& intent, Position position) {
  const auto endpoint = tables.m_endpoints.find(intent.m_endpoint);
  if (endpoint == tables.m_endpoints.end()) return Verdict::kNotFound;
  const Endpoint& target = endpoint->second.m_value;
  if (!HoldsLease(leases, OrdersDuty(target.m_fleet), writer,
                  intent.m_fencing_number)) {
    return Verdict::kStale;
  }
  EndpointOrders& orders = book.m_endpoints[intent.m_endpoint];
  if (orders.m_count > 0 && orders.m_intent.m_order_id == intent.m_order_id) {
    return Verdict::kRepeated;
  }
  if (orders.m_open) return Verdict::kBusy;
  if (orders.m_count > 0 && !target.m_checks_fencing) return Verdict::kSpent;
  orders.m_intent = intent;
  orders.m_position = position;
  orders.m_open = true;
  orders.m_state = OrderState::kRunning;
  ++orders.m_count;
  return Verdict::kAccepted;
}

Verdict ApplyOrderOutcome(OrderTable& book, const Tables& tables,
                          const LeaseTable& leases, const Writer& writer,
                          const OrderOutcome& outcome) {
  const auto found = book.m_endpoints.find(outcome.m_endpoint);
  if (found == book.m_endpoints.end()) return Verdict::kNotFound;
  EndpointOrders& orders = found->second;
  if (orders.m_count == 0 || orders.m_intent.m_order_id != outcome.m_order_id) {
    return Verdict::kNotFound;
  }
  if (!orders.m_open) return Verdict::kRepeated;
  if (outcome.m_state == OrderState::kRunning) return Verdict::kInvalid;
  const auto endpoint = tables.m_endpoints.find(outcome.m_endpoint);
  if (endpoint == tables.m_endpoints.end()) return Verdict::kNotFound;
  const Lease* lease =
      FindLease(leases, OrdersDuty(endpoint->second.m_value.m_fleet));
  if (lease == nullptr || !(lease->m_holder == writer)) return Verdict::kStale;
  orders.m_open = false;
  orders.m_state = outcome.m_state;
  return Verdict::kAccepted;
}

bool HasOpenOrder(const OrderTable& book, std::string_view endpoint) {
  const auto found = book.m_endpoints.find(endpoint);
  return found != book.m_endpoints.end() && found->second.m_open;
}

void RetireEndpoint(OrderTable& book, const std::string& endpoint) {
  if (book.m_endpoints.find(endpoint) == book.m_endpoints.end()) return;
  std::erase(book.m_retired, endpoint);
  book.m_retired.push_back(endpoint);
  if (book.m_retired.size() <= kMaxRetiredEndpoints) return;
  book.m_endpoints.erase(book.m_retired.front());
  book.m_retired.pop_front();
}

void RestoreEndpoint(OrderTable& book, const std::string& endpoint) {
  if (book.m_endpoints.find(endpoint) == book.m_endpoints.end()) return;
  std::erase(book.m_retired, endpoint);
}

}  // namespace comfreypaddle
