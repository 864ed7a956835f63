#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;
using Endpoints = std::vector<PlacementEndpoint>;

constexpr Instant kStart{seconds(1000)};

Endpoints MakeEndpoints(int count, int slots) {
  Endpoints endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back({.m_name = "e" + std::to_string(i),
                         .m_zone = "z" + std::to_string(i % 3),
                         .m_slots = slots});
  }
  return endpoints;
}

int Count(const std::vector<PlacementStep>& steps, PlacementStepKind kind) {
  return static_cast<int>(
      std::count_if(steps.begin(), steps.end(),
                    [&](const auto& step) { return step.m_kind == kind; }));
}

// Applies the steps. Loads complete before the next plan.
void Apply(Endpoints& endpoints, const std::vector<PlacementStep>& steps) {
  for (const PlacementStep& step : steps) {
    for (PlacementEndpoint& endpoint : endpoints) {
      if (endpoint.m_name != step.m_endpoint) continue;
      if (step.m_kind == PlacementStepKind::kLoad) {
        endpoint.m_held.push_back({step.m_name, step.m_version, true, 0});
      } else {
        std::erase_if(endpoint.m_held, [&](const auto& held) {
          return held.m_name == step.m_name && held.m_version == step.m_version;
        });
      }
    }
  }
}

int CountReady(const Endpoints& endpoints, const std::string& version) {
  return static_cast<int>(std::count_if(
      endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
        return std::any_of(
            endpoint.m_held.begin(), endpoint.m_held.end(),
            [&](const auto& held) { return held.m_version == version; });
      }));
}

TEST_CASE("loads stay within the rate of the weight store") {
  PlacementPlanner planner;
  planner.m_refilled = kStart;
  auto endpoints = MakeEndpoints(6, 1);
  const std::vector<WantedVersion> wanted{{"m", "1", 6, 10.0}};
  auto steps = PlanPlacement(planner, wanted, endpoints, kStart);
  CHECK(Count(steps, PlacementStepKind::kLoad) == 2);
  Apply(endpoints, steps);
  steps = PlanPlacement(planner, wanted, endpoints, kStart + seconds(9));
  CHECK(Count(steps, PlacementStepKind::kLoad) == 0);
  steps = PlanPlacement(planner, wanted, endpoints, kStart + seconds(10));
  CHECK(Count(steps, PlacementStepKind::kLoad) == 1);
}

TEST_CASE(
    "a version change adds the new one, moves the route, drains the old") {
  PlacementPlanner planner;
  planner.m_routed["m"] = "1";
  auto endpoints = MakeEndpoints(4, 2);
  for (auto& endpoint : endpoints) endpoint.m_held = {{"m", "1", true, 3}};
  const std::vector<WantedVersion> wanted{{"m", "2", 3, 1.0}};
  auto steps = PlanPlacement(planner, wanted, endpoints, kStart);
  CHECK(Count(steps, PlacementStepKind::kLoad) == 3);
  CHECK(steps.size() == 3);
  Apply(endpoints, steps);
  steps = PlanPlacement(planner, wanted, endpoints, kStart);
  REQUIRE(steps.size() == 5);
  CHECK(steps[0].m_kind == PlacementStepKind::kMoveRoute);
  CHECK(Count(steps, PlacementStepKind::kUnload) == 4);
  Apply(endpoints, steps);
  CHECK(PlanPlacement(planner, wanted, endpoints, kStart).empty());
}

// Guards against a version change that leaves the routed version without an
// endpoint or loads more often than needed.
TEST_CASE("the routed version stays ready and loads are the fewest") {
  rc::check([] {
    PlacementPlanner planner;
    auto endpoints =
        MakeEndpoints(*rc::gen::inRange(2, 9), *rc::gen::inRange(1, 3));
    const int replicas =
        *rc::gen::inRange(1, static_cast<int>(endpoints.size()) + 1);
    Instant now = kStart;
    for (int version = 1; version <= 3; ++version) {
      const std::string name = std::to_string(version);
      int loads = 0;
      for (int step = 0; step < 60; ++step) {
        now += seconds(10);
        const auto steps = PlanPlacement(planner, {{"m", name, replicas, 5.0}},
                                         endpoints, now);
        loads += Count(steps, PlacementStepKind::kLoad);
        Apply(endpoints, steps);
        const auto routed = planner.m_routed.find("m");
        if (routed != planner.m_routed.end()) {
          RC_ASSERT(CountReady(endpoints, routed->second) >= 1);
        }
      }
      RC_ASSERT(planner.m_routed["m"] == name);
      RC_ASSERT(loads == replicas);
      RC_ASSERT(CountReady(endpoints, name) == replicas);
    }
  });
}

}  // namespace
}  // namespace comfreypaddle
