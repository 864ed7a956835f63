#include "ordering.h"

#include <glog/logging.h>

#include <optional>
#include <utility>

#include "codec.h"
#include "demand.h"
#include "dutylease.h"
#include "enginepoll.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(1);

// If the endpoint does not become idle within this time it keeps its role, and
// the order is recorded as failed without having been sent.
constexpr Duration kIdleTimeout = std::chrono::minutes(2);

// A sent order whose result is still unknown after this time is recorded as
// failed. The next order has a higher fencing number or another id.
constexpr Duration kOutcomeTimeout = std::chrono::seconds(30);

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

std::string FleetOf(const DutyState& state, std::string_view endpoint) {
  const auto found = state.m_tables.m_endpoints.find(endpoint);
  return found == state.m_tables.m_endpoints.end()
             ? std::string()
             : found->second.m_value.m_fleet;
}

std::string UrlOf(const DutyState& state, std::string_view endpoint) {
  const auto found = state.m_tables.m_endpoints.find(endpoint);
  return found == state.m_tables.m_endpoints.end()
             ? std::string("http://0.0.0.0:1")
             : "http://" + found->second.m_value.m_address;
}

void SubmitIntent(DutyState& state, const std::string& duty,
                  const RoleChange& change) {
  OrderIntent intent;
  intent.m_endpoint = change.m_endpoint;
  intent.m_fencing_number = FencingNumber(state, duty);
  intent.m_order_id = std::to_string(intent.m_fencing_number) + "-" +
                      std::to_string(state.m_next_ticket);
  intent.m_kind = OrderKind::kSetRole;
  intent.m_argument = std::string(ToName(change.m_to));
  LOG(INFO) << "role change planned endpoint=" << change.m_endpoint
            << " from=" << ToName(change.m_from)
            << " to=" << ToName(change.m_to) << " gain_s=" << change.m_gain_s
            << " order=" << intent.m_order_id;
  state.m_orders[change.m_endpoint].m_ticket =
      SubmitDutyRecord(state, EncodeRecord(intent), kRecordTimeout);
}

void SubmitOutcome(DutyState& state, EndpointOrder& order, OrderState outcome) {
  LOG(INFO) << "order ended endpoint=" << order.m_intent.endpoint()
            << " order=" << order.m_intent.order_id()
            << " state=" << ToName(outcome);
  order.m_ticket = SubmitDutyRecord(
      state,
      EncodeRecord(OrderOutcome{order.m_intent.endpoint(),
                                order.m_intent.order_id(), outcome}),
      kRecordTimeout);
}

// Derives the outcome from an endpoint's response about an order. Returns
// nothing if the order is still in progress or the response is inconclusive.
std::optional<OrderState> OutcomeFromResponse(const HttpResult& result,
                                              const std::string& body) {
  if (result.m_error) return std::nullopt;
  if (result.m_status == kHttpConflict) {
    schema::EngineOrderStatus status;
    const bool busy = !FromJson(body, UnknownFields::kIgnore, &status) &&
                      status.code() == "busy";
    return busy ? std::optional<OrderState>() : OrderState::kRefused;
  }
  // The endpoint never received the order, or has restarted since.
  if (result.m_status == kHttpNotFound) return OrderState::kFailed;
  if (result.m_status != kHttpOk && result.m_status != kHttpAccepted) {
    return std::nullopt;
  }
  schema::EngineOrderStatus status;
  if (FromJson(body, UnknownFields::kIgnore, &status)) return std::nullopt;
  const auto parsed = FromName<OrderState>(status.state());
  if (!parsed || *parsed == OrderState::kRunning) return std::nullopt;
  return parsed;
}

void OnOrderResponse(DutyState& state, const std::string& endpoint,
                     const std::string& order_id, const HttpResult& result,
                     const std::string& body) {
  const auto found = state.m_orders.find(endpoint);
  if (found == state.m_orders.end()) return;
  EndpointOrder& order = found->second;
  order.m_call = 0;
  order.m_next_at = state.m_clock() + kDutyPollPeriod;
  if (!order.m_open || order.m_intent.order_id() != order_id) return;
  const auto outcome = OutcomeFromResponse(result, body);
  if (outcome && order.m_ticket == 0) SubmitOutcome(state, order, *outcome);
}

void StartOrderCall(DutyState& state, EndpointOrder& order, HttpCall call) {
  const std::string endpoint = order.m_intent.endpoint();
  const std::string order_id = order.m_intent.order_id();
  order.m_call = state.m_http->Start(
      std::move(call),
      CollectBody([&state, endpoint, order_id](const HttpResult& result,
                                               const std::string& body) {
        OnOrderResponse(state, endpoint, order_id, result, body);
      }));
}

// Sends the order to the endpoint, at most once while this process holds the
// lease.
void SendOrder(DutyState& state, const std::string& duty,
               EndpointOrder& order) {
  const schema::OrderIntent& intent = order.m_intent;
  schema::EngineOrder body;
  body.set_order_id(intent.order_id());
  body.set_fencing_number(intent.fencing_number());
  body.set_kind(intent.kind());
  body.set_argument(intent.argument());
  HttpCall call =
      MakeDutyCall(state, duty, UrlOf(state, intent.endpoint()) + "/v1/orders");
  call.m_method = "POST";
  call.m_headers = {{"content-type", "application/json"}};
  call.m_body = ToJson(body);
  LOG(INFO) << "order sent endpoint=" << intent.endpoint()
            << " order=" << intent.order_id() << " kind=" << intent.kind()
            << " argument=" << intent.argument()
            << " fencing_number=" << intent.fencing_number();
  order.m_sent = true;
  order.m_sent_at = state.m_clock();
  StartOrderCall(state, order, std::move(call));
}

void QueryOrderStatus(DutyState& state, const std::string& duty,
                      EndpointOrder& order) {
  StartOrderCall(
      state, order,
      MakeDutyCall(state, duty,
                   UrlOf(state, order.m_intent.endpoint()) + "/v1/orders/" +
                       PercentEncode(order.m_intent.order_id())));
}

// Executes the next step of an open order.
void AdvanceOrder(DutyState& state, const std::string& duty,
                  EndpointOrder& order) {
  const Instant now = state.m_clock();
  if (!order.m_open || order.m_ticket != 0 || order.m_call != 0) return;
  if (now < order.m_next_at || !MayOrder(state, duty)) return;
  const bool own =
      order.m_intent.fencing_number() == FencingNumber(state, duty);
  if (order.m_sent || !own) {
    // An earlier holder may or may not have sent its order.
    const Instant since = order.m_sent ? order.m_sent_at : order.m_read_at;
    if (now - since > kOutcomeTimeout) {
      SubmitOutcome(state, order, OrderState::kFailed);
    } else {
      QueryOrderStatus(state, duty, order);
    }
    return;
  }
  if (IsIdleSince(state, order.m_intent.endpoint(), order.m_read_at)) {
    SendOrder(state, duty, order);
  } else if (now - order.m_read_at > kIdleTimeout) {
    SubmitOutcome(state, order, OrderState::kFailed);
  }
}

// Input of the role planner. An endpoint that ignores fencing numbers accepts
// no order after its creation, so its role is fixed.
std::vector<RoleEndpoint> RoleEndpoints(DutyState& state, RolePlanner& planner,
                                        const std::string& fleet) {
  std::vector<RoleEndpoint> endpoints;
  for (const auto& [name, versioned] : state.m_tables.m_endpoints) {
    const Endpoint& endpoint = versioned.m_value;
    if (endpoint.m_fleet != fleet) continue;
    const EngineView& view = state.m_engines[name];
    const EndpointOrder& order = state.m_orders[name];
    const bool changing = order.m_open || order.m_ticket != 0;
    endpoints.push_back(
        {name, endpoint.m_availability_zone, view.m_role,
         view.m_known && !view.m_draining && !endpoint.m_draining, changing});
    if (!endpoint.m_checks_fencing) planner.m_changed[name] = Instant::max();
  }
  return endpoints;
}

void PlanFleetRoles(DutyState& state, const std::string& duty,
                    const Fleet& fleet) {
  if (fleet.m_prefill_share >= 0.0 || !HasKnownSpeed(fleet)) return;
  const Instant now = state.m_clock();
  RolePlanner& planner = state.m_role_planners[fleet.m_name];
  ObserveDemand(planner, FleetDemand(state, fleet), now);
  const auto endpoints = RoleEndpoints(state, planner, fleet.m_name);
  for (const RoleChange& change : PlanRoles(planner, endpoints, now)) {
    SubmitIntent(state, duty, change);
  }
}

// Polls the fleet's engines and plans their roles once per period, and advances
// open orders.
void MaintainFleet(DutyState& state, const Fleet& fleet, bool poll) {
  const std::string duty = OrdersDuty(fleet.m_name);
  if (!MayOrder(state, duty)) return;
  if (poll) {
    for (const auto& [name, endpoint] : state.m_tables.m_endpoints) {
      if (endpoint.m_value.m_fleet != fleet.m_name) continue;
      PollEngine(state, endpoint.m_value);
    }
    if (!state.m_draining) PlanFleetRoles(state, duty, fleet);
  }
  for (auto& [name, order] : state.m_orders) {
    if (FleetOf(state, name) == fleet.m_name) AdvanceOrder(state, duty, order);
  }
}

}  // namespace

void MaintainOrders(DutyState& state) {
  const Instant now = state.m_clock();
  const bool poll = now - state.m_polled_at >= kDutyPollPeriod;
  if (poll) state.m_polled_at = now;
  for (const auto& [name, fleet] : state.m_tables.m_fleets) {
    if (fleet.m_value.m_kind == FleetKind::kEngine) {
      MaintainFleet(state, fleet.m_value, poll);
    }
  }
}

void OnOrderChange(DutyState& state, const schema::OrderChange& change) {
  EndpointOrder& order = state.m_orders[change.intent().endpoint()];
  const bool same = order.m_intent.order_id() == change.intent().order_id();
  order.m_intent = change.intent();
  order.m_open = !change.has_outcome();
  if (same) return;
  order.m_read_at = state.m_clock();
  order.m_sent = false;
  order.m_next_at = {};
}

bool OnOrderVerdict(DutyState& state, const schema::RecordVerdict& verdict) {
  for (auto& [name, order] : state.m_orders) {
    if (order.m_ticket != verdict.ticket()) continue;
    order.m_ticket = 0;
    return true;
  }
  return false;
}

}  // namespace comfreypaddle
