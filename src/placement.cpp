#include "placement.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

using Endpoints = std::vector<PlacementEndpoint>;

bool Matches(const HeldVersion& held, const WantedVersion& wanted) {
  return held.m_name == wanted.m_name && held.m_version == wanted.m_version;
}

const HeldVersion* FindHeld(const PlacementEndpoint& endpoint,
                            const std::string& name,
                            const std::string& version) {
  for (const HeldVersion& held : endpoint.m_held) {
    if (held.m_name == name && held.m_version == version) return &held;
  }
  return nullptr;
}

int CountHolders(const Endpoints& endpoints, const std::string& name,
                 const std::string& version, bool only_ready) {
  return static_cast<int>(std::count_if(
      endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
        const HeldVersion* held = FindHeld(endpoint, name, version);
        return endpoint.m_usable && held != nullptr &&
               (held->m_ready || !only_ready);
      }));
}

bool HasFreeSlot(const PlacementEndpoint& endpoint) {
  return static_cast<int>(endpoint.m_held.size()) < endpoint.m_slots;
}

int CountHoldersInZone(const Endpoints& endpoints, const std::string& zone,
                       const WantedVersion& wanted) {
  return static_cast<int>(std::count_if(
      endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
        return endpoint.m_zone == zone &&
               FindHeld(endpoint, wanted.m_name, wanted.m_version) != nullptr;
      }));
}

// Selects an endpoint with a free slot in the zone where the fewest endpoints
// hold the version.
PlacementEndpoint* SelectTarget(Endpoints& endpoints,
                                const WantedVersion& wanted) {
  PlacementEndpoint* best = nullptr;
  int best_holders = 0;
  for (PlacementEndpoint& endpoint : endpoints) {
    if (!endpoint.m_usable || !HasFreeSlot(endpoint)) continue;
    if (FindHeld(endpoint, wanted.m_name, wanted.m_version) != nullptr) {
      continue;
    }
    const int holders = CountHoldersInZone(endpoints, endpoint.m_zone, wanted);
    if (best != nullptr && holders >= best_holders) continue;
    best = &endpoint;
    best_holders = holders;
  }
  return best;
}

void Refill(PlacementPlanner& planner, Instant now) {
  if (now > planner.m_refilled) {
    const std::chrono::duration<double> elapsed = now - planner.m_refilled;
    planner.m_allowance_gigabytes =
        std::min(planner.m_store_burst_gigabytes,
                 planner.m_allowance_gigabytes +
                     elapsed.count() * planner.m_store_gigabytes_per_s);
  }
  planner.m_refilled = now;
}

// Weights larger than the bucket can be loaded when it is full.
bool ConsumeAllowance(PlacementPlanner& planner, double gigabytes) {
  const double needed = std::min(gigabytes, planner.m_store_burst_gigabytes);
  if (planner.m_allowance_gigabytes + 1e-9 < needed) return false;
  planner.m_allowance_gigabytes -= gigabytes;
  return true;
}

void Unload(PlacementEndpoint& endpoint, const std::string& name,
            const std::string& version, std::vector<PlacementStep>& steps) {
  steps.push_back({PlacementStepKind::kUnload, endpoint.m_name, name, version});
  std::erase_if(endpoint.m_held, [&](const HeldVersion& held) {
    return held.m_name == name && held.m_version == version;
  });
}

// Frees a slot by unloading one replica of the old version, if no replica of
// the new version is loading and another ready replica of the old one remains.
void FreeSlot(const PlacementPlanner& planner, const WantedVersion& wanted,
              Endpoints& endpoints, std::vector<PlacementStep>& steps) {
  const auto routed = planner.m_routed.find(wanted.m_name);
  if (routed == planner.m_routed.end()) return;
  const std::string& old = routed->second;
  if (old == wanted.m_version) return;
  const int loading =
      CountHolders(endpoints, wanted.m_name, wanted.m_version, false) -
      CountHolders(endpoints, wanted.m_name, wanted.m_version, true);
  if (loading > 0) return;
  if (CountHolders(endpoints, wanted.m_name, old, true) < 2) return;
  PlacementEndpoint* best = nullptr;
  int best_running = 0;
  for (PlacementEndpoint& endpoint : endpoints) {
    const HeldVersion* held = FindHeld(endpoint, wanted.m_name, old);
    if (!endpoint.m_usable || held == nullptr || !held->m_ready) continue;
    if (best != nullptr && held->m_running >= best_running) continue;
    best = &endpoint;
    best_running = held->m_running;
  }
  if (best != nullptr) Unload(*best, wanted.m_name, old, steps);
}

void StartLoads(PlacementPlanner& planner, const WantedVersion& wanted,
                Endpoints& endpoints, std::vector<PlacementStep>& steps) {
  int missing = wanted.m_replicas -
                CountHolders(endpoints, wanted.m_name, wanted.m_version, false);
  for (; missing > 0; --missing) {
    PlacementEndpoint* target = SelectTarget(endpoints, wanted);
    if (target == nullptr) {
      FreeSlot(planner, wanted, endpoints, steps);
      return;
    }
    if (!ConsumeAllowance(planner, wanted.m_gigabytes)) return;
    target->m_held.push_back({wanted.m_name, wanted.m_version, false, 0});
    steps.push_back({PlacementStepKind::kLoad, target->m_name, wanted.m_name,
                     wanted.m_version});
  }
}

// Moves the route immediately if no version serves the name yet; otherwise once
// the new version has all its replicas or the old one has none left.
void MoveRoute(PlacementPlanner& planner, const WantedVersion& wanted,
               const Endpoints& endpoints, std::vector<PlacementStep>& steps) {
  const int ready =
      CountHolders(endpoints, wanted.m_name, wanted.m_version, true);
  if (ready == 0) return;
  auto& routed = planner.m_routed[wanted.m_name];
  if (routed == wanted.m_version) return;
  const int old =
      routed.empty() ? 0 : CountHolders(endpoints, wanted.m_name, routed, true);
  // Without free slots, replicas of the new version replace those of the old
  // one step by step, and the route moves once at least as many endpoints hold
  // the new version.
  const bool slots_taken = std::none_of(
      endpoints.begin(), endpoints.end(), [](const auto& endpoint) {
        return endpoint.m_usable && HasFreeSlot(endpoint);
      });
  if (ready < wanted.m_replicas && old > 0 && !(slots_taken && ready >= old)) {
    return;
  }
  routed = wanted.m_version;
  steps.push_back(
      {PlacementStepKind::kMoveRoute, {}, wanted.m_name, wanted.m_version});
}

// Unloads versions that are neither routed nor desired. Surplus replicas stay:
// they cost nothing until the slot is needed.
void UnloadUnused(const PlacementPlanner& planner,
                  const std::vector<WantedVersion>& wanted,
                  Endpoints& endpoints, std::vector<PlacementStep>& steps) {
  for (PlacementEndpoint& endpoint : endpoints) {
    const std::vector<HeldVersion> all = endpoint.m_held;
    for (const HeldVersion& held : all) {
      const auto routed = planner.m_routed.find(held.m_name);
      const bool is_routed =
          routed != planner.m_routed.end() && routed->second == held.m_version;
      const bool is_wanted = std::any_of(
          wanted.begin(), wanted.end(),
          [&](const auto& version) { return Matches(held, version); });
      if (is_routed || is_wanted) continue;
      Unload(endpoint, held.m_name, held.m_version, steps);
    }
  }
}

}  // namespace

std::vector<PlacementStep> PlanPlacement(
    PlacementPlanner& planner, const std::vector<WantedVersion>& wanted,
    std::vector<PlacementEndpoint> endpoints, Instant now) {
  std::vector<PlacementStep> steps;
  Refill(planner, now);
  for (const WantedVersion& version : wanted) {
    MoveRoute(planner, version, endpoints, steps);
  }
  UnloadUnused(planner, wanted, endpoints, steps);
  for (const WantedVersion& version : wanted) {
    StartLoads(planner, version, endpoints, steps);
  }
  return steps;
}

}  // namespace comfreypaddle
