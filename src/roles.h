#ifndef COMFREYPADDLE_ROLES_H_
#define COMFREYPADDLE_ROLES_H_

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Demand for the two phases of model work, in endpoint-seconds of work that
// arrive per second: a value of 3 keeps three dedicated endpoints busy.
struct PhaseDemand {
  double m_prefill = 0.0;
  double m_decode = 0.0;
};

struct RoleOptions {
  Duration m_short_window = std::chrono::seconds(10);
  Duration m_long_window = std::chrono::seconds(30);
  // Time over which the gain of a change is predicted. The mix swings within
  // a minute and is seen after a window, so that little of a swing is left.
  Duration m_horizon = std::chrono::seconds(20);
  // Time for which a changing endpoint does no work.
  Duration m_change_cost = std::chrono::seconds(4);
  // Shortest time between two changes of one endpoint.
  Duration m_dwell = std::chrono::seconds(40);
  // Gain needed for a change, as a multiple of its cost. Above 1 so that an
  // estimate that is wrong by this factor does not cause a loss.
  double m_gain_factor = 2.0;
  // Work that a mixed endpoint does relative to a dedicated one: prefill
  // steps delay the decode steps that share a batch with them.
  double m_mixed_efficiency = 0.8;
  // The same for a dedicated endpoint on the other phase.
  double m_other_efficiency = 0.5;
  // Utilisation above which queueing delays break deadlines.
  double m_target_utilisation = 0.85;
};

// Endpoint as the planner sees it.
struct RoleEndpoint {
  std::string m_name;
  std::string m_zone;
  EndpointRole m_role = EndpointRole::kMixed;  // While changing: the new role.
  bool m_ready = true;
  bool m_changing = false;  // An order to change the role is under way.
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
  std::map<std::string, Instant> m_changed;  // Last change by endpoint.
};

// Number of endpoints by role.
struct RoleCounts {
  int m_prefill = 0;
  int m_decode = 0;
  int m_mixed = 0;
};

// Returns the endpoint-seconds of work per second that these endpoints can
// serve of the demand, each used up to the target utilisation. Mixed
// endpoints take what the dedicated ones leave, and dedicated endpoints with
// time left take work of the other phase.
double ServedDemand(const RoleOptions& options, const RoleCounts& counts,
                    const PhaseDemand& demand);

// Returns the counts of endpoints that are ready and not changing.
RoleCounts CountRoles(const std::vector<RoleEndpoint>& endpoints);

// Takes a measurement of the demand into both windows. Until a window has
// passed since the first measurement it holds the plain mean of all of them.
void ObserveDemand(RolePlanner& planner, const PhaseDemand& demand,
                   Instant now);

// Plans at most one change for each zone. A change is made only if its gain
// over the horizon exceeds its cost by the factor under the short window, and
// at least equals its cost under the long one, so that a peak of a few seconds
// moves no endpoint. Endpoints within their dwell time and zones with a change
// under way are left alone, and no change leaves a phase without capacity.
// Nothing changes before the long window has passed once, because until then
// the averages are those of a few measurements.
// The planned changes count as made.
std::vector<RoleChange> PlanRoles(RolePlanner& planner,
                                  std::vector<RoleEndpoint> endpoints,
                                  Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ROLES_H_
