#ifndef COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_
#define COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_

#include <map>
#include <string>
#include <vector>

#include "common_engine.h"
#include "standins.pb.h"

namespace comfreypaddle::standins {

// Orders that an engine received and the one that it is carrying out.
struct EngineOrders {
  bool m_checks_fencing = false;
  Duration m_load_time{0};
  Duration m_role_time{0};
  std::uint64_t m_highest_fencing = 0;
  std::map<std::string, schema::EngineOrderStatus> m_known;
  std::vector<schema::EngineOrderSeen> m_seen;
  schema::EngineOrder m_running;  // Valid while the engine is changing.
  bool m_stop = false;            // The process ends once it is idle.
};

// Status and body of the answer to an order, and for a running one the time
// after which FinishOrder must be called.
struct OrderAnswer {
  int m_http_status = 200;
  schema::EngineOrderStatus m_status;
  Duration m_finish_after{0};
};

// Takes an order. A known order id gives the order's state and has no effect.
OrderAnswer TakeOrder(EngineOrders& orders, EngineModel& model,
                      const schema::EngineOrder& order);

// Completes the running order.
void FinishOrder(EngineOrders& orders, EngineModel& model);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_ORDERS_H_
