#ifndef COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_
#define COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_

#include <map>
#include <string>
#include <vector>

#include "common_engine.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// Orders received by an engine, and the order in progress.
struct EngineOrders {
  bool m_checks_fencing = false;
  Duration m_load_time{0};
  Duration m_role_time{0};
  std::uint64_t m_highest_fencing = 0;
  std::map<std::string, schema::EngineOrderStatus> m_known;
  std::vector<schema::EngineOrderSeen> m_seen;
  schema::EngineOrder m_running;  // Valid while m_reconfiguring is set.
  bool m_stop = false;            // Exit as soon as no work is left.
};

// HTTP status and body of the response to an order. For an order in progress,
// also the delay after which FinishOrder must be called.
struct OrderResponse {
  int m_http_status = 200;
  schema::EngineOrderStatus m_status;
  Duration m_finish_after{0};
};

// Processes an order. A repeated order id returns the state of the first order
// and has no other effect.
OrderResponse ProcessOrder(EngineOrders& orders, EngineModel& model,
                           const schema::EngineOrder& order);

// Completes the order in progress.
void FinishOrder(EngineOrders& orders, EngineModel& model);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_
