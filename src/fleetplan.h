#ifndef COMFREYPADDLE_FLEETPLAN_H_
#define COMFREYPADDLE_FLEETPLAN_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "relay.pb.h"
#include "stream.h"

namespace comfreypaddle {

// What can be ordered: endpoints of a service in a zone, cheap ones or others.
struct FleetSlot {
  std::string m_service;
  std::string m_zone;
  bool m_cheap = false;

  friend bool operator<(const FleetSlot& a, const FleetSlot& b) {
    return std::tie(a.m_service, a.m_zone, a.m_cheap) <
           std::tie(b.m_service, b.m_zone, b.m_cheap);
  }
};

// How many endpoints each zone is to have, as parts of the most that it may
// have.
struct FleetOptions {
  double m_lasting_part = 0.125;  // That are not reclaimed.
  double m_cheap_part = 0.875;
  // Time after an order in which the endpoints should be there, beyond their
  // boot time, before it is given again.
  Duration m_patience = std::chrono::seconds(3);
  // Time for which a zone counts as without cheap endpoints after a refusal.
  Duration m_dry_time = std::chrono::seconds(4);
};

struct FleetOrder {
  std::uint32_t m_count = 0;  // Last accepted.
  bool m_accepted = false;
  Instant m_sent{};
  Instant m_dry_until{};
};

struct FleetPlan {
  FleetOptions m_options;
  std::map<FleetSlot, FleetOrder> m_orders;
};

// Returns the next order that is due, or nothing.
std::optional<EndpointOrder> NextOrder(FleetPlan& plan,
                                       const schema::Catalog& catalog,
                                       const schema::EndpointList& endpoints,
                                       Instant now);

// Notes that the order was sent, and how it ended.
void OnOrderSent(FleetPlan& plan, const EndpointOrder& order, Instant now);
void OnOrderEnded(FleetPlan& plan, const EndpointOrder& order,
                  DutyResult result, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FLEETPLAN_H_
