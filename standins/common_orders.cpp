#include "common_orders.h"

#include <algorithm>
#include <optional>

namespace comfreypaddle::standins {

namespace {

OrderResponse MakeAnswer(EngineOrders& orders, const schema::EngineOrder& order,
                         int http_status, OrderState state,
                         const std::string& code) {
  OrderResponse answer;
  answer.m_http_status = http_status;
  answer.m_status.set_order_id(order.order_id());
  answer.m_status.set_state(std::string(ToName(state)));
  answer.m_status.set_code(code);
  // A refused order had no effect, so it is not recorded and may be retried.
  if (state != OrderState::kRefused) {
    orders.m_known[order.order_id()] = answer.m_status;
  }
  return answer;
}

OrderResponse StartOrder(EngineOrders& orders, EngineModel& model,
                         const schema::EngineOrder& order, Duration time) {
  model.m_reconfiguring = true;
  orders.m_running = order;
  OrderResponse answer =
      MakeAnswer(orders, order, 202, OrderState::kRunning, "");
  answer.m_finish_after = time;
  return answer;
}

OrderResponse ProcessNewOrder(EngineOrders& orders, EngineModel& model,
                              const schema::EngineOrder& order) {
  const std::optional<OrderKind> kind = FromName<OrderKind>(order.kind());
  const bool role_valid = kind != OrderKind::kSetRole ||
                          FromName<EndpointRole>(order.argument()).has_value();
  if (order.order_id().empty() || !kind || !role_valid) {
    return MakeAnswer(orders, order, 400, OrderState::kRefused, "invalid");
  }
  if (orders.m_checks_fencing &&
      order.fencing_number() < orders.m_highest_fencing) {
    return MakeAnswer(orders, order, 409, OrderState::kRefused,
                      "stale_fencing");
  }
  orders.m_highest_fencing =
      std::max(orders.m_highest_fencing, order.fencing_number());
  if (model.m_reconfiguring) {
    return MakeAnswer(orders, order, 409, OrderState::kRefused, "busy");
  }
  switch (*kind) {
    case OrderKind::kLoadModel:
    case OrderKind::kLoadAdapter:
      return StartOrder(orders, model, order, orders.m_load_time);
    case OrderKind::kSetRole:
      return StartOrder(orders, model, order, orders.m_role_time);
    case OrderKind::kStop:
      orders.m_stop = true;
      [[fallthrough]];
    case OrderKind::kDrain:
      model.m_draining = true;
      break;
  }
  return MakeAnswer(orders, order, 200, OrderState::kDone, "");
}

}  // namespace

OrderResponse ProcessOrder(EngineOrders& orders, EngineModel& model,
                           const schema::EngineOrder& order) {
  const auto known = orders.m_known.find(order.order_id());
  if (known == orders.m_known.end())
    return ProcessNewOrder(orders, model, order);
  OrderResponse answer;
  answer.m_status = known->second;
  const auto state = FromName<OrderState>(answer.m_status.state());
  if (state == OrderState::kRunning) answer.m_http_status = 202;
  return answer;
}

void FinishOrder(EngineOrders& orders, EngineModel& model) {
  const schema::EngineOrder& order = orders.m_running;
  const auto kind = FromName<OrderKind>(order.kind());
  if (kind == OrderKind::kLoadModel) model.m_model = order.argument();
  if (kind == OrderKind::kLoadAdapter) {
    model.m_adapters.insert(order.argument());
  }
  if (kind == OrderKind::kSetRole) {
    model.m_role =
        FromName<EndpointRole>(order.argument()).value_or(EndpointRole::kMixed);
  }
  orders.m_known[order.order_id()].set_state(
      std::string(ToName(OrderState::kDone)));
  model.m_reconfiguring = false;
}

}  // namespace comfreypaddle::standins
