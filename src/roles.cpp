#include "roles.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace comfreypaddle {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

int& CountOf(RoleCounts& counts, EndpointRole role) {
  switch (role) {
    case EndpointRole::kPrefill:
      return counts.m_prefill;
    case EndpointRole::kDecode:
      return counts.m_decode;
    case EndpointRole::kMixed:
      break;
  }
  return counts.m_mixed;
}

void UpdateAverage(PhaseDemand& average, const PhaseDemand& sample,
                   double weight) {
  average.m_prefill += weight * (sample.m_prefill - average.m_prefill);
  average.m_decode += weight * (sample.m_decode - average.m_decode);
}

// Weight of a measurement taken now in the average over a window. During the
// first window it is at least that of a plain mean; otherwise the first
// measurement, which covers a short time, would dominate the whole window.
double WeightOf(const RolePlanner& planner, Duration window, Instant now) {
  const double elapsed = std::max(0.0, Seconds(now - planner.m_observed));
  if (elapsed <= 0.0) return 0.0;
  const double total = Seconds(now - planner.m_first) + elapsed;
  return std::max(1.0 - std::exp(-elapsed / Seconds(window)), elapsed / total);
}

// Whether both phases still have an endpoint while one with this role changes.
// Until the change is complete, its new role has no capacity either.
bool KeepsBothPhases(RoleCounts counts, EndpointRole leaving) {
  --CountOf(counts, leaving);
  return counts.m_prefill + counts.m_mixed > 0 &&
         counts.m_decode + counts.m_mixed > 0;
}

// Predicted gain of a role change over the horizon, in endpoint-seconds.
double GainOf(const RoleOptions& options, const RoleCounts& counts,
              EndpointRole from, EndpointRole to, const PhaseDemand& demand) {
  RoleCounts after = counts;
  --CountOf(after, from);
  ++CountOf(after, to);
  const double rate = ServedDemand(options, after, demand) -
                      ServedDemand(options, counts, demand);
  return rate * Seconds(options.m_horizon);
}

bool IsInDwellTime(const RolePlanner& planner, const std::string& name,
                   Instant now) {
  const auto changed = planner.m_changed.find(name);
  return changed != planner.m_changed.end() &&
         now - changed->second < planner.m_options.m_dwell;
}

// The role change with the highest gain for this endpoint, if it is worth its
// cost for both windows.
std::optional<RoleChange> BestChange(const RolePlanner& planner,
                                     const RoleCounts& counts,
                                     const RoleEndpoint& endpoint) {
  const RoleOptions& options = planner.m_options;
  const double cost = Seconds(options.m_change_cost);
  std::optional<RoleChange> best;
  for (const auto& row : EnumNames<EndpointRole>::kTable) {
    if (row.m_value == endpoint.m_role) continue;
    const double gain =
        GainOf(options, counts, endpoint.m_role, row.m_value, planner.m_short);
    const double sustained_gain =
        GainOf(options, counts, endpoint.m_role, row.m_value, planner.m_long);
    if (gain < options.m_gain_factor * cost || sustained_gain < cost) continue;
    if (best && best->m_gain_s >= gain) continue;
    best = RoleChange{endpoint.m_name, endpoint.m_role, row.m_value, gain};
  }
  return best;
}

// Counts roles as if all changes in progress were complete, so that two zones
// do not react to the same demand.
RoleCounts CountPlanned(const std::vector<RoleEndpoint>& endpoints) {
  RoleCounts counts;
  for (const RoleEndpoint& endpoint : endpoints) {
    if (endpoint.m_ready) ++CountOf(counts, endpoint.m_role);
  }
  return counts;
}

// The change with the highest gain over all endpoints that may change now.
std::optional<RoleChange> SelectChange(
    const RolePlanner& planner, const std::vector<RoleEndpoint>& endpoints,
    const std::set<std::string>& busy_zones, Instant now) {
  const RoleCounts serving = CountRoles(endpoints);
  const RoleCounts planned = CountPlanned(endpoints);
  std::optional<RoleChange> best;
  for (const RoleEndpoint& endpoint : endpoints) {
    if (!endpoint.m_ready || endpoint.m_changing) continue;
    if (busy_zones.contains(endpoint.m_zone)) continue;
    if (IsInDwellTime(planner, endpoint.m_name, now)) continue;
    if (!KeepsBothPhases(serving, endpoint.m_role)) continue;
    const auto change = BestChange(planner, planned, endpoint);
    if (change && (!best || change->m_gain_s > best->m_gain_s)) best = change;
  }
  return best;
}

}  // namespace

double ServedDemand(const RoleOptions& options, const RoleCounts& counts,
                    const PhaseDemand& demand) {
  const double utilisation_limit = options.m_target_utilisation;
  const double prefill =
      std::min(demand.m_prefill, utilisation_limit * counts.m_prefill);
  const double decode =
      std::min(demand.m_decode, utilisation_limit * counts.m_decode);
  const double rest = demand.m_prefill - prefill + demand.m_decode - decode;
  const double mixed =
      utilisation_limit * options.m_mixed_efficiency * counts.m_mixed;
  const double idle = utilisation_limit * (counts.m_prefill + counts.m_decode) -
                      prefill - decode;
  return prefill + decode +
         std::min(rest, mixed + options.m_other_efficiency * idle);
}

RoleCounts CountRoles(const std::vector<RoleEndpoint>& endpoints) {
  RoleCounts counts;
  for (const RoleEndpoint& endpoint : endpoints) {
    if (endpoint.m_ready && !endpoint.m_changing) {
      ++CountOf(counts, endpoint.m_role);
    }
  }
  return counts;
}

void ObserveDemand(RolePlanner& planner, const PhaseDemand& demand,
                   Instant now) {
  if (!planner.m_has_demand) {
    planner.m_short = planner.m_long = demand;
    planner.m_has_demand = true;
    planner.m_first = now;
  } else {
    const RoleOptions& options = planner.m_options;
    UpdateAverage(planner.m_short, demand,
                  WeightOf(planner, options.m_short_window, now));
    UpdateAverage(planner.m_long, demand,
                  WeightOf(planner, options.m_long_window, now));
  }
  planner.m_observed = now;
}

std::vector<RoleChange> PlanRoles(RolePlanner& planner,
                                  std::vector<RoleEndpoint> endpoints,
                                  Instant now) {
  std::vector<RoleChange> plan;
  if (!planner.m_has_demand ||
      planner.m_observed - planner.m_first < planner.m_options.m_long_window) {
    return plan;
  }
  std::set<std::string> busy_zones;
  for (const RoleEndpoint& endpoint : endpoints) {
    if (endpoint.m_changing) busy_zones.insert(endpoint.m_zone);
  }
  while (const auto change =
             SelectChange(planner, endpoints, busy_zones, now)) {
    const auto endpoint = std::find_if(
        endpoints.begin(), endpoints.end(), [&](const RoleEndpoint& candidate) {
          return candidate.m_name == change->m_endpoint;
        });
    endpoint->m_changing = true;
    endpoint->m_role = change->m_to;
    busy_zones.insert(endpoint->m_zone);
    planner.m_changed[change->m_endpoint] = now;
    plan.push_back(*change);
  }
  return plan;
}

}  // namespace comfreypaddle
