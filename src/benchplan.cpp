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
EndpointRole RoleForNewEngine(const BenchState& world) {
  if (world.m_options.m_policy != BenchPolicy::kFixedRoles) {
    return EndpointRole::kMixed;
  }
  const auto prefill = std::count_if(
      world.m_fleet.m_engines.begin(), world.m_fleet.m_engines.end(),
      [](const FakeEngine& engine) {
        return IsServing(engine) && engine.m_role == EndpointRole::kPrefill;
      });
  return prefill < kBenchEndpoints / 2 ? EndpointRole::kPrefill
                                       : EndpointRole::kDecode;
}

void OrderEngineInZone(BenchState& world, std::uint32_t zone,
                       EndpointClass kind, Instant now) {
  OrderEngine(world.m_fleet, zone, kind, now);
  FakeEngine& engine = world.m_fleet.m_engines.back();
  engine.m_role = RoleForNewEngine(world);
  if (kind == EndpointClass::kCheap && world.m_blocked_zones[zone]) {
    engine.m_never_ready = true;
  }
  NoteDecision(world.m_tally,
               kDecisionCapacity + zone * 2 + static_cast<std::uint64_t>(kind));
}

void ChangeRole(BenchState& world, std::uint32_t engine, EndpointRole role,
                Instant now) {
  StartRoleChange(world.m_fleet, engine, role, now);
  ++world.m_tally.m_role_changes;
  NoteDecision(world.m_tally,
               kDecisionRole + engine * 4 + static_cast<std::uint64_t>(role));
}

void PlanCurrentRoles(BenchState& world, Instant now) {
  std::vector<RoleEndpoint> view;
  std::vector<std::uint32_t> index;
  for (std::uint32_t i = 0; i < world.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = world.m_fleet.m_engines[i];
    if (!IsServing(engine)) continue;
    const bool changing = engine.m_changing_until.has_value();
    view.push_back({engine.m_name, ZoneName(engine.m_zone),
                    changing ? engine.m_next_role : engine.m_role, true,
                    changing});
    index.push_back(i);
  }
  for (const RoleChange& change : PlanRoles(world.m_roles, view, now)) {
    for (std::size_t i = 0; i < view.size(); ++i) {
      if (view[i].m_name != change.m_endpoint) continue;
      ChangeRole(world, index[i], change.m_to, now);
    }
  }
}

// Splits the serving engines in proportion to the short-term demand.
void PlanGreedyRoles(BenchState& world, Instant now) {
  const PhaseDemand& demand = world.m_roles.m_short;
  const double total = demand.m_prefill + demand.m_decode;
  if (total <= 0.0) return;
  std::vector<std::uint32_t> engines;
  int prefill = 0;
  for (std::uint32_t i = 0; i < world.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = world.m_fleet.m_engines[i];
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
    const FakeEngine& engine = world.m_fleet.m_engines[i];
    if (engine.m_changing_until) continue;
    if (engine.m_role != EndpointRole::kPrefill && prefill < wanted) {
      ChangeRole(world, i, EndpointRole::kPrefill, now);
      ++prefill;
    } else if (engine.m_role == EndpointRole::kPrefill && prefill > wanted) {
      ChangeRole(world, i, EndpointRole::kDecode, now);
      --prefill;
    } else if (engine.m_role == EndpointRole::kMixed) {
      ChangeRole(world, i, EndpointRole::kDecode, now);
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

void PlanCurrentCapacity(BenchState& world, Instant now) {
  std::vector<CapacityEndpoint> view;
  std::vector<std::uint32_t> index;
  for (std::uint32_t i = 0; i < world.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = world.m_fleet.m_engines[i];
    if (engine.m_dead || engine.m_phase == EndpointPhase::kGone) continue;
    view.push_back({engine.m_name, ZoneName(engine.m_zone), engine.m_class,
                    engine.m_phase, engine.m_ordered, RemainingWork(engine)});
    index.push_back(i);
  }
  const PhaseDemand& short_term = world.m_roles.m_short;
  const PhaseDemand& long_term = world.m_roles.m_long;
  const PhaseDemand& sustained = world.m_sustained.m_long;
  const CapacityDemand demand{
      std::max(short_term.m_prefill + short_term.m_decode,
               long_term.m_prefill + long_term.m_decode),
      sustained.m_prefill + sustained.m_decode};
  for (const CapacityOrder& order :
       PlanCapacity(world.m_capacity, view, demand, 0, now)) {
    if (order.m_kind == CapacityOrderKind::kCreate) {
      OrderEngineInZone(world,
                        static_cast<std::uint32_t>(std::stoul(order.m_zone)),
                        order.m_class, now);
      continue;
    }
    for (std::size_t i = 0; i < view.size(); ++i) {
      if (view[i].m_name != order.m_endpoint) continue;
      FakeEngine& engine = world.m_fleet.m_engines[index[i]];
      engine.m_phase = order.m_kind == CapacityOrderKind::kDrain &&
                               engine.m_phase == EndpointPhase::kReady
                           ? EndpointPhase::kDraining
                           : EndpointPhase::kGone;
      NoteDecision(world.m_tally, kDecisionCapacity + 0x1000 + index[i]);
    }
  }
}

// Replaces terminated engines with the same number of on-demand engines.
void MaintainFleetSize(BenchState& world, Instant now) {
  std::array<int, kBenchZones> count{};
  for (FakeEngine& engine : world.m_fleet.m_engines) {
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
      OrderEngineInZone(world, zone, EndpointClass::kOnDemand, now);
    }
  }
}

}  // namespace

void CreateFleet(BenchState& world, Instant now) {
  world.m_fleet.m_random.seed(world.m_options.m_seed + 77);
  for (std::uint32_t i = 0; i < kBenchEndpoints; ++i) {
    const std::uint32_t zone = i % kBenchZones;
    const auto kind = (i / kBenchZones) % 2 == 0 ? EndpointClass::kOnDemand
                                                 : EndpointClass::kCheap;
    AddEngine(world.m_fleet, zone, kind,
              InitialRole(world.m_options.m_policy, i), now);
  }
  CapacityOptions& options = world.m_capacity.m_options;
  for (std::uint32_t zone = 0; zone < kBenchZones; ++zone) {
    options.m_zones.push_back(ZoneName(zone));
  }
  options.m_min_endpoints = kBenchLeastEndpoints;
  options.m_max_endpoints = kBenchEndpoints;
  options.m_cheap_share = kBenchCheapShare;
  options.m_lead_time = world.m_fleet.m_model.m_lead_time;
  world.m_roles.m_options.m_change_cost = world.m_fleet.m_model.m_role_change;
  world.m_roles.m_options.m_mixed_efficiency =
      world.m_fleet.m_model.m_mixed_speed;
  world.m_roles.m_options.m_other_efficiency =
      world.m_fleet.m_model.m_other_speed;
  world.m_sustained.m_options.m_long_window = kSustainedWindow;
  if (world.m_options.m_policy == BenchPolicy::kGreedyRoles) {
    world.m_roles.m_options.m_short_window = std::chrono::seconds(2);
  }
}

void ObserveArrivals(BenchState& world, Duration elapsed, Instant now) {
  const double seconds = ToSeconds(elapsed);
  ObserveDemand(
      world.m_roles,
      {world.m_arrived.m_prefill / seconds, world.m_arrived.m_decode / seconds},
      now);
  world.m_arrived = {};
}

void PlanFleetRoles(BenchState& world, Instant now) {
  if (world.m_log_down) return;
  if (world.m_options.m_policy == BenchPolicy::kCurrent) {
    PlanCurrentRoles(world, now);
  } else if (world.m_options.m_policy == BenchPolicy::kGreedyRoles) {
    PlanGreedyRoles(world, now);
  }
}

void PlanFleetCapacity(BenchState& world, Instant now) {
  if (world.m_log_down) return;
  if (world.m_options.m_policy == BenchPolicy::kCurrent) {
    PlanCurrentCapacity(world, now);
  } else {
    MaintainFleetSize(world, now);
  }
}

}  // namespace comfreypaddle
