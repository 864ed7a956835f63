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
  // Maximum share of endpoints in the cheap class.
  double m_cheap_share = 0.0;
  // Time between an order and the endpoint being ready.
  Duration m_lead_time = std::chrono::seconds(30);
  // An order that is not ready after this multiple of the lead time is
  // abandoned, and no order is sent for its zone and class for the same time.
  double m_overdue_factor = 2.0;
  // After a reclaim, no cheap endpoint is ordered in any zone for this long:
  // orders in the reclaimed zone are rarely fulfilled, and reclaims of other
  // zones tend to follow.
  Duration m_reclaim_hold = std::chrono::minutes(10);
  // Relative margin for demand that the averages do not show.
  double m_margin = 0.15;
  double m_target_utilisation = 0.85;
  // Maximum utilisation of the remaining endpoints while they take over the
  // work of a reclaimed zone. Above the target, because the deadline leaves
  // time to work off a short queue.
  double m_takeover_utilisation = 0.95;
  // An on-demand endpoint is replaced by a cheap one only if the cheap limit
  // holds at this multiple of the sustained demand, so that a small rise does
  // not undo the replacement.
  double m_replacement_factor = 1.15;
  // The fleet shrinks only after it has been larger than needed for this long.
  Duration m_shrink_delay = std::chrono::seconds(90);
};

// Demand in endpoint-seconds of work per second.
struct CapacityDemand {
  // Demand that the fleet must be able to serve soon; follows increases
  // quickly.
  double m_peak = 0.0;
  // Average over minutes. Determines the class of endpoints: a replacement
  // takes the lead time, after which a burst is over.
  double m_sustained = 0.0;
};

// Planner input for one endpoint. `m_ordered` is unused for endpoints that were
// not ordered.
struct CapacityEndpoint {
  std::string m_name;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  EndpointPhase m_phase = EndpointPhase::kReady;
  Instant m_ordered{};
  // Running work; the least loaded endpoint is drained first.
  double m_work = 0.0;
};

// Order to the platform. A create order sets the zone and class; the others set
// the endpoint.
struct CapacityOrder {
  CapacityOrderKind m_kind = CapacityOrderKind::kCreate;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  std::string m_endpoint;
};

// State of the planner of one fleet.
struct CapacityPlanner {
  CapacityOptions m_options;
  // Maximum demand per hour of the day, in endpoint-seconds per second. Zero
  // means that it is not known.
  std::array<double, kHoursPerDay> m_profile{};
  std::optional<Instant> m_surplus_since;
  // Time of the last abandoned order, by zone and class.
  std::map<std::pair<std::string, EndpointClass>, Instant> m_failed;
  // Time of the last reclaim, by zone.
  std::map<std::string, Instant> m_reclaimed;
};

// Raises the profile of the hour to the demand if that is higher.
void UpdateProfile(CapacityPlanner& planner, std::size_t hour, double demand);

// Number of endpoints needed for this demand and for the profile of the hour in
// which an order sent now becomes ready.
int EndpointsNeeded(const CapacityPlanner& planner, double demand,
                    std::size_t hour_after_lead_time);

// Maximum number of cheap endpoints per zone in a fleet of this size, so that
// the other endpoints can take over the demand when the zone is reclaimed.
int CheapLimitPerZone(const CapacityOptions& options, int endpoints,
                      double demand);

// Records that the platform reclaims the cheap endpoints of a zone. No cheap
// endpoint is ordered in any zone during the reclaim hold.
void RecordReclaim(CapacityPlanner& planner, const std::string& zone,
                   Instant now);

// Plans the orders that are due now: abandons overdue orders, orders missing
// endpoints in the zones with the fewest endpoints, drains a surplus that has
// lasted for the shrink delay, and replaces cheap endpoints whose loss the rest
// could not absorb at the sustained demand. If there is nothing else to do, one
// on-demand endpoint at a time is replaced by a cheap one while the sustained
// demand leaves an endpoint to spare. Draining and abandoned endpoints do not
// count as capacity.
std::vector<CapacityOrder> PlanCapacity(
    CapacityPlanner& planner, const std::vector<CapacityEndpoint>& endpoints,
    const CapacityDemand& demand, std::size_t hour_after_lead_time,
    Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CAPACITY_H_
