#include "benchplan.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {
namespace {

constexpr std::uint32_t kDecisionRole = 0x30000;
constexpr std::uint32_t kDecisionCapacity = 0x40000;

// Time after which policies with a constant fleet size abandon an order.
constexpr Duration kOrderTimeout = std::chrono::seconds(60);

// Averaging window of the demand that decides the endpoint class.
constexpr Duration kSustainedWindow = std::chrono::seconds(120);

std::string ZoneName(std::uint32_t zone) { return std::to_string(zone); }

// Engines start as mixed except under the fixed-roles policy.
EndpointRole InitialRole(BenchPolicy policy, std::uint32_t index) {
  if (policy != BenchPolicy::kFixedRoles) return EndpointRole::kMixed;
  return index % 2 == 0 ? EndpointRole::kPrefill : EndpointRole::kDecode;
}

// Returns the role of a newly ordered engine.
EndpointRole RoleForNewEngine(const BenchState& state) {
  if (state.m_options.m_policy != BenchPolicy::kFixedRoles) {
    return EndpointRole::kMixed;
  }
  const auto prefill = std::count_if(
      state.m_fleet.m_engines.begin(), state.m_fleet.m_engines.end(),
      [](const FakeEngine& engine) {
        return IsServing(engine) && engine.m_role == EndpointRole::kPrefill;
      });
  return prefill < kBenchEndpoints / 2 ? EndpointRole::kPrefill
                                       : EndpointRole::kDecode;
}

void OrderEngineInZone(BenchState& state, std::uint32_t zone,
                       EndpointClass kind, Instant now) {
  OrderEngine(state.m_fleet, zone, kind, now);
  FakeEngine& engine = state.m_fleet.m_engines.back();
  engine.m_role = RoleForNewEngine(state);
  if (kind == EndpointClass::kCheap && state.m_blocked_zones[zone]) {
    engine.m_never_ready = true;
  }
  HashDecision(state.m_metrics,
               kDecisionCapacity + zone * 2 + static_cast<std::uint64_t>(kind));
}

void ChangeRole(BenchState& state, std::uint32_t engine, EndpointRole role,
                Instant now) {
  StartRoleChange(state.m_fleet, engine, role, now);
  ++state.m_metrics.m_role_changes;
  HashDecision(state.m_metrics,
               kDecisionRole + engine * 4 + static_cast<std::uint64_t>(role));
}

void PlanCurrentRoles(BenchState& state, Instant now) {
  std::vector<RoleEndpoint> view;
  std::vector<std::uint32_t> index;
  for (std::uint32_t i = 0; i < state.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    if (!IsServing(engine)) continue;
    const bool changing = engine.m_changing_until.has_value();
    view.push_back({engine.m_name, ZoneName(engine.m_zone),
                    changing ? engine.m_next_role : engine.m_role, true,
                    changing});
    index.push_back(i);
  }
  for (const RoleChange& change : PlanRoles(state.m_role_planner, view, now)) {
    for (std::size_t i = 0; i < view.size(); ++i) {
      if (view[i].m_name != change.m_endpoint) continue;
      ChangeRole(state, index[i], change.m_to, now);
    }
  }
}

// Splits the serving engines in proportion to the short-term demand.
void PlanGreedyRoles(BenchState& state, Instant now) {
  const PhaseDemand& demand = state.m_role_planner.m_short;
  const double total = demand.m_prefill + demand.m_decode;
  if (total <= 0.0) return;
  std::vector<std::uint32_t> engines;
  int prefill = 0;
  for (std::uint32_t i = 0; i < state.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    if (!IsServing(engine)) continue;
    engines.push_back(i);
    const EndpointRole role =
        engine.m_changing_until ? engine.m_next_role : engine.m_role;
    if (role == EndpointRole::kPrefill) ++prefill;
  }
  if (engines.size() < 2) return;
  const int count = static_cast<int>(engines.size());
  int wanted = static_cast<int>(std::lround(demand.m_prefill / total * count));
  wanted = std::clamp(wanted, 1, count - 1);
  for (const std::uint32_t i : engines) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    if (engine.m_changing_until) continue;
    if (engine.m_role != EndpointRole::kPrefill && prefill < wanted) {
      ChangeRole(state, i, EndpointRole::kPrefill, now);
      ++prefill;
    } else if (engine.m_role == EndpointRole::kPrefill && prefill > wanted) {
      ChangeRole(state, i, EndpointRole::kDecode, now);
      --prefill;
    } else if (engine.m_role == EndpointRole::kMixed) {
      ChangeRole(state, i, EndpointRole::kDecode, now);
    }
  }
}

double RemainingWork(const FakeEngine& engine) {
  double work = 0.0;
  for (const EngineRequest& request : engine.m_running) {
    work += request.m_prefill_left_s + request.m_decode_left_s;
  }
  return work;
}

void PlanCurrentCapacity(BenchState& state, Instant now) {
  std::vector<CapacityEndpoint> view;
  std::vector<std::uint32_t> index;
  for (std::uint32_t i = 0; i < state.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    if (engine.m_dead || engine.m_phase == EndpointPhase::kGone) continue;
    view.push_back({engine.m_name, ZoneName(engine.m_zone), engine.m_class,
                    engine.m_phase, engine.m_ordered, RemainingWork(engine)});
    index.push_back(i);
  }
  const PhaseDemand& short_term = state.m_role_planner.m_short;
  const PhaseDemand& long_term = state.m_role_planner.m_long;
  const PhaseDemand& sustained = state.m_sustained_demand.m_long;
  const CapacityDemand demand{
      std::max(short_term.m_prefill + short_term.m_decode,
               long_term.m_prefill + long_term.m_decode),
      sustained.m_prefill + sustained.m_decode};
  for (const CapacityOrder& order :
       PlanCapacity(state.m_capacity_planner, view, demand, 0, now)) {
    if (order.m_kind == CapacityOrderKind::kCreate) {
      OrderEngineInZone(state,
                        static_cast<std::uint32_t>(std::stoul(order.m_zone)),
                        order.m_class, now);
      continue;
    }
    for (std::size_t i = 0; i < view.size(); ++i) {
      if (view[i].m_name != order.m_endpoint) continue;
      FakeEngine& engine = state.m_fleet.m_engines[index[i]];
      engine.m_phase = order.m_kind == CapacityOrderKind::kDrain &&
                               engine.m_phase == EndpointPhase::kReady
                           ? EndpointPhase::kDraining
                           : EndpointPhase::kGone;
      HashDecision(state.m_metrics, kDecisionCapacity + 0x1000 + index[i]);
    }
  }
}

// Replaces terminated engines with the same number of on-demand engines.
void MaintainFleetSize(BenchState& state, Instant now) {
  std::array<int, kBenchZones> count{};
  for (FakeEngine& engine : state.m_fleet.m_engines) {
    if (engine.m_phase == EndpointPhase::kOrdered &&
        now - engine.m_ordered >= kOrderTimeout) {
      engine.m_phase = EndpointPhase::kGone;
    }
    const bool available = engine.m_phase == EndpointPhase::kOrdered ||
                           engine.m_phase == EndpointPhase::kReady;
    if (!engine.m_dead && available) ++count[engine.m_zone];
  }
  for (std::uint32_t zone = 0; zone < kBenchZones; ++zone) {
    constexpr int kEnginesPerZone =
        kBenchEndpoints / static_cast<int>(kBenchZones);
    for (; count[zone] < kEnginesPerZone; ++count[zone]) {
      OrderEngineInZone(state, zone, EndpointClass::kOnDemand, now);
    }
  }
}

}  // namespace

void CreateFleet(BenchState& state, Instant now) {
  state.m_fleet.m_random.seed(state.m_options.m_seed + 77);
  for (std::uint32_t i = 0; i < kBenchEndpoints; ++i) {
    const std::uint32_t zone = i % kBenchZones;
    const auto kind = (i / kBenchZones) % 2 == 0 ? EndpointClass::kOnDemand
                                                 : EndpointClass::kCheap;
    AddEngine(state.m_fleet, zone, kind,
              InitialRole(state.m_options.m_policy, i), now);
  }
  CapacityOptions& options = state.m_capacity_planner.m_options;
  for (std::uint32_t zone = 0; zone < kBenchZones; ++zone) {
    options.m_zones.push_back(ZoneName(zone));
  }
  options.m_min_endpoints = kBenchMinEndpoints;
  options.m_max_endpoints = kBenchEndpoints;
  options.m_cheap_share = kBenchCheapShare;
  options.m_lead_time = state.m_fleet.m_model.m_lead_time;
  state.m_role_planner.m_options.m_change_cost =
      state.m_fleet.m_model.m_role_change;
  state.m_role_planner.m_options.m_mixed_efficiency =
      state.m_fleet.m_model.m_mixed_speed;
  state.m_role_planner.m_options.m_other_efficiency =
      state.m_fleet.m_model.m_other_speed;
  state.m_sustained_demand.m_options.m_long_window = kSustainedWindow;
  if (state.m_options.m_policy == BenchPolicy::kGreedyRoles) {
    state.m_role_planner.m_options.m_short_window = std::chrono::seconds(2);
  }
}

void ObserveArrivals(BenchState& state, Duration elapsed, Instant now) {
  const double seconds = ToSeconds(elapsed);
  ObserveDemand(state.m_role_planner,
                {state.m_arrived_demand.m_prefill / seconds,
                 state.m_arrived_demand.m_decode / seconds},
                now);
  state.m_arrived_demand = {};
}

void PlanFleetRoles(BenchState& state, Instant now) {
  if (state.m_log_unavailable) return;
  if (state.m_options.m_policy == BenchPolicy::kCurrent) {
    PlanCurrentRoles(state, now);
  } else if (state.m_options.m_policy == BenchPolicy::kGreedyRoles) {
    PlanGreedyRoles(state, now);
  }
}

void PlanFleetCapacity(BenchState& state, Instant now) {
  if (state.m_log_unavailable) return;
  if (state.m_options.m_policy == BenchPolicy::kCurrent) {
    PlanCurrentCapacity(state, now);
  } else {
    MaintainFleetSize(state, now);
  }
}

}  // namespace comfreypaddle
