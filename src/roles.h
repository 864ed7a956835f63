#ifndef COMFREYPADDLE_ROLES_H_
#define COMFREYPADDLE_ROLES_H_

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Demand for prefill and decode, in endpoint-seconds of work that arrive per
// second: a value of 3 keeps three dedicated endpoints busy.
struct PhaseDemand {
  double m_prefill = 0.0;
  double m_decode = 0.0;
};

struct RoleOptions {
  Duration m_short_window = std::chrono::seconds(10);
  Duration m_long_window = std::chrono::seconds(30);
  // Time over which the gain of a role change is predicted. The prefill/decode
  // mix can swing within a minute and is detected one window late, so little of
  // a swing remains.
  Duration m_horizon = std::chrono::seconds(20);
  // Time for which an endpoint that changes its role serves nothing.
  Duration m_change_cost = std::chrono::seconds(4);
  // Minimum time between two role changes of one endpoint.
  Duration m_dwell = std::chrono::seconds(40);
  // Gain required for a role change, as a multiple of its cost. Above 1 so that
  // an estimate that is wrong by this factor does not cause a loss.
  double m_gain_factor = 2.0;
  // Throughput of a mixed endpoint relative to a dedicated one: prefill steps
  // delay the decode steps in the same batch.
  double m_mixed_efficiency = 0.8;
  // Throughput of a dedicated endpoint on the other phase.
  double m_other_efficiency = 0.5;
  // Utilisation above which queueing delay causes missed deadlines.
  double m_target_utilisation = 0.85;
};

// Endpoint as the planner sees it.
struct RoleEndpoint {
  std::string m_name;
  std::string m_zone;
  // During a role change, the new role.
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_ready = true;
  bool m_changing = false;  // A role change is in progress.
};

struct RoleChange {
  std::string m_endpoint;
  EndpointRole m_from = EndpointRole::kMixed;
  EndpointRole m_to = EndpointRole::kMixed;
  double m_gain_s = 0.0;  // Predicted gain in endpoint-seconds.
};

// State of the planner of one fleet.
struct RolePlanner {
  RoleOptions m_options;
  PhaseDemand m_short;
  PhaseDemand m_long;
  Instant m_first{};     // First measurement.
  Instant m_observed{};  // Last measurement.
  bool m_has_demand = false;
  // Time of the last role change, by endpoint.
  std::map<std::string, Instant> m_changed;
};

// Number of endpoints by role.
struct RoleCounts {
  int m_prefill = 0;
  int m_decode = 0;
  int m_mixed = 0;
};

// Returns how much of the demand, in endpoint-seconds per second, these
// endpoints can serve, each used up to the target utilisation. Mixed endpoints
// take what the dedicated ones cannot, and dedicated endpoints with spare
// capacity also serve the other phase.
double ServedDemand(const RoleOptions& options, const RoleCounts& counts,
                    const PhaseDemand& demand);

// Returns the counts of endpoints that are ready and not changing.
RoleCounts CountRoles(const std::vector<RoleEndpoint>& endpoints);

// Adds a measurement to the averages over both windows. Until a window has
// elapsed since the first measurement, its average is the plain mean of all
// measurements.
void ObserveDemand(RolePlanner& planner, const PhaseDemand& demand,
                   Instant now);

// Plans at most one role change per zone. A change is planned only if its gain
// over the horizon exceeds its cost by the gain factor for the short window,
// and at least equals its cost for the long window, so that a spike of a few
// seconds changes no role. Endpoints within their dwell time and zones with a
// change in progress are skipped, and no change leaves a phase without
// capacity. Nothing is planned before a full long window has elapsed, because
// until then the averages rest on a few measurements. Planned changes are
// recorded as made.
std::vector<RoleChange> PlanRoles(RolePlanner& planner,
                                  std::vector<RoleEndpoint> endpoints,
                                  Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ROLES_H_
