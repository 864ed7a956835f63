#ifndef COMFREYPADDLE_CAPACITY_H_
#define COMFREYPADDLE_CAPACITY_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

enum class CapacityOrderKind { kCreate, kDrain, kAbandon };

template <>
struct EnumNames<CapacityOrderKind> {
  static constexpr std::array<EnumName<CapacityOrderKind>, 3> kTable{
      {{CapacityOrderKind::kCreate, "create"},
       {CapacityOrderKind::kDrain, "drain"},
       {CapacityOrderKind::kAbandon, "abandon"}}};
};

inline constexpr std::size_t kHoursPerDay = 24;

struct CapacityOptions {
  std::vector<std::string> m_zones;
  int m_min_endpoints = 3;
  int m_max_endpoints = 12;
  // Upper bound of the share of endpoints in the cheap class.
  double m_cheap_share = 0.0;
  // Time from an order until the endpoint is ready.
  Duration m_lead_time = std::chrono::seconds(30);
  // An order that is not ready after this multiple of the lead time is given
  // up, and its zone and class get no order for the same time.
  double m_overdue_factor = 2.0;
  // Cheap orders to a zone that was reclaimed rarely come, and reclaims of
  // other zones follow, so that no cheap endpoint is ordered for this long.
  Duration m_reclaim_hold = std::chrono::minutes(10);
  // Added to the demand for what the windows do not show.
  double m_margin = 0.15;
  double m_target_utilisation = 0.85;
  // Utilisation that the remaining endpoints may reach while they take over
  // the work of a reclaimed zone. Above the target, because the deadline
  // leaves time to work off a short queue.
  double m_takeover_utilisation = 0.95;
  // An on-demand endpoint is exchanged for a cheap one only if the cheap limit
  // holds at this multiple of the sustained demand, so that a small rise does
  // not undo the exchange.
  double m_exchange_factor = 1.15;
  // The fleet shrinks only after the demand was below it for this long.
  Duration m_shrink_delay = std::chrono::seconds(90);
};

// Demand in endpoint-seconds of work per second.
struct CapacityDemand {
  // What the fleet must be able to serve soon; follows rises quickly.
  double m_peak = 0.0;
  // Average over minutes. The class of endpoints follows this one, because a
  // replacement costs the lead time and a burst is over by then.
  double m_sustained = 0.0;
};

// Endpoint as the planner sees it. Instants of phases that are not reached
// yet are unused.
struct CapacityEndpoint {
  std::string m_name;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  EndpointPhase m_phase = EndpointPhase::kReady;
  Instant m_ordered{};
  double m_work = 0.0;  // Work under way; the least loaded drains first.
};

// Order to the platform. A create order has a zone and a class; the others
// name the endpoint.
struct CapacityOrder {
  CapacityOrderKind m_kind = CapacityOrderKind::kCreate;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  std::string m_endpoint;
};

// State of the planner of one fleet.
struct CapacityPlanner {
  CapacityOptions m_options;
  // Highest demand of each hour in endpoint-seconds per second. Zero means
  // that the hour is not known.
  std::array<double, kHoursPerDay> m_profile{};
  std::optional<Instant> m_surplus_since;
  // Time of the last order that did not come, by zone and class.
  std::map<std::pair<std::string, EndpointClass>, Instant> m_failed;
  std::map<std::string, Instant> m_reclaimed;  // Last reclaim by zone.
};

// Raises the profile of the hour to the demand.
void LearnProfile(CapacityPlanner& planner, std::size_t hour, double demand);

// Number of endpoints for this demand and the profile of the hour in which an
// order of now becomes ready.
int EndpointsNeeded(const CapacityPlanner& planner, double demand,
                    std::size_t hour_after_lead_time);

// Most cheap endpoints that one zone may hold in a fleet of this size, so that
// the others can take over the demand when the zone is reclaimed.
int CheapLimitPerZone(const CapacityOptions& options, int endpoints,
                      double demand);

// Notes that the platform takes back the cheap endpoints of a zone. Cheap
// orders avoid the zone for the reclaim hold.
void NoteReclaim(CapacityPlanner& planner, const std::string& zone,
                 Instant now);

// Plans the orders of now: gives up orders that do not come, orders what is
// missing in the zones with the fewest endpoints, drains what is left over for
// the shrink delay, and replaces cheap endpoints that the rest could not take
// over at the sustained demand. If nothing else is to do, one on-demand
// endpoint at a time is exchanged for a cheap one while the sustained demand
// leaves an endpoint to spare. Draining and abandoned endpoints do not count as
// capacity.
std::vector<CapacityOrder> PlanCapacity(
    CapacityPlanner& planner, const std::vector<CapacityEndpoint>& endpoints,
    const CapacityDemand& demand, std::size_t hour_after_lead_time,
    Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CAPACITY_H_
