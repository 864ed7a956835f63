#ifndef COMFREYPADDLE_FLEETPLAN_H_
#define COMFREYPADDLE_FLEETPLAN_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "relay.pb.h"
#include "stream.h"

namespace comfreypaddle {

// Unit of ordering: the cheap or the on-demand endpoints of a service in one
// zone.
struct EndpointPool {
  std::string m_service;
  std::string m_zone;
  bool m_cheap = false;

  friend bool operator<(const EndpointPool& a, const EndpointPool& b) {
    return std::tie(a.m_service, a.m_zone, a.m_cheap) <
           std::tie(b.m_service, b.m_zone, b.m_cheap);
  }
};

// Target number of endpoints per zone, as fractions of the zone's maximum.
struct FleetOptions {
  // On-demand endpoints, which the platform does not reclaim.
  double m_on_demand_fraction = 0.125;
  double m_cheap_fraction = 0.875;
  // Time after an order, in addition to the boot time, after which the order is
  // repeated if its endpoints have not appeared.
  Duration m_arrival_timeout = std::chrono::seconds(3);
  // How long no cheap endpoints are ordered in a zone after the platform
  // refused an order for them.
  Duration m_shortage_hold = std::chrono::seconds(4);
};

struct FleetOrder {
  std::uint32_t m_count = 0;  // Count of the last accepted order.
  bool m_accepted = false;
  Instant m_sent{};
  Instant m_shortage_until{};
};

struct FleetPlan {
  FleetOptions m_options;
  std::map<EndpointPool, FleetOrder> m_orders;
};

std::optional<CountOrder> NextOrder(FleetPlan& plan,
                                    const schema::Catalog& catalog,
                                    const schema::EndpointList& endpoints,
                                    Instant now);

// Record that the order was sent and how it ended.
void OnOrderSent(FleetPlan& plan, const CountOrder& order, Instant now);
void OnOrderEnded(FleetPlan& plan, const CountOrder& order, DutyResult result,
                  Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FLEETPLAN_H_
