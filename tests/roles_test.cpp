#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "roles.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

std::vector<RoleEndpoint> MakeEndpoints(int prefill, int decode, int mixed) {
  std::vector<RoleEndpoint> endpoints;
  const auto add = [&](int count, EndpointRole role) {
    for (int i = 0; i < count; ++i) {
      const auto index = endpoints.size();
      endpoints.push_back({.m_name = "e" + std::to_string(index),
                           .m_zone = "z" + std::to_string(index % 3),
                           .m_role = role});
    }
  };
  add(prefill, EndpointRole::kPrefill);
  add(decode, EndpointRole::kDecode);
  add(mixed, EndpointRole::kMixed);
  return endpoints;
}

// Observes the same demand once per second for longer than the long window and
// returns the time of the last measurement.
Instant ObserveLong(RolePlanner& planner, const PhaseDemand& demand) {
  Instant now = kStart;
  for (; now < kStart + seconds(40); now += seconds(1)) {
    ObserveDemand(planner, demand, now);
  }
  return now - seconds(1);
}

TEST_CASE("a sustained shift of demand changes at most one role per zone") {
  RolePlanner planner;
  const auto endpoints = MakeEndpoints(6, 6, 0);
  ObserveDemand(planner, {8.0, 2.0}, kStart);
  CHECK(PlanRoles(planner, endpoints, kStart).empty());
  const Instant now = ObserveLong(planner, {8.0, 2.0});
  const auto plan = PlanRoles(planner, endpoints, now);
  REQUIRE(plan.size() > 0);
  std::set<std::string> zones;
  for (const RoleChange& change : plan) {
    CHECK(change.m_from == EndpointRole::kDecode);
    CHECK(change.m_to == EndpointRole::kPrefill);
    zones.insert(endpoints[std::stoul(change.m_endpoint.substr(1))].m_zone);
  }
  CHECK(zones.size() == plan.size());
}

TEST_CASE("a spike of two seconds changes no role") {
  RolePlanner planner;
  ObserveDemand(planner, {4.5, 4.5}, kStart);
  ObserveDemand(planner, {9.0, 0.5}, kStart + seconds(2));
  CHECK(
      PlanRoles(planner, MakeEndpoints(6, 6, 0), kStart + seconds(2)).empty());
}

TEST_CASE("a zone with a role change in progress is skipped") {
  RolePlanner planner;
  auto endpoints = MakeEndpoints(2, 10, 0);
  for (RoleEndpoint& endpoint : endpoints) endpoint.m_zone = "z";
  endpoints.back().m_changing = true;
  const Instant now = ObserveLong(planner, {8.0, 2.0});
  CHECK(PlanRoles(planner, endpoints, now).empty());
}

// Guards against flapping and against plans that leave a phase without
// capacity.
TEST_CASE("dwell time and capacity of both phases hold for any demand") {
  rc::check([] {
    RolePlanner planner;
    auto endpoints =
        MakeEndpoints(*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 5),
                      *rc::gen::inRange(1, 4));
    std::map<std::string, Instant> changed;
    Instant now = kStart;
    for (int step = 0; step < 30; ++step) {
      now += seconds(*rc::gen::inRange(1, 20));
      ObserveDemand(
          planner,
          {*rc::gen::inRange(0, 100) * 0.1, *rc::gen::inRange(0, 100) * 0.1},
          now);
      for (RoleEndpoint& endpoint : endpoints) endpoint.m_changing = false;
      for (const RoleChange& change : PlanRoles(planner, endpoints, now)) {
        const auto last = changed.find(change.m_endpoint);
        if (last != changed.end()) {
          RC_ASSERT(now - last->second >= planner.m_options.m_dwell);
        }
        changed[change.m_endpoint] = now;
        auto& endpoint = endpoints[std::stoul(change.m_endpoint.substr(1))];
        endpoint.m_role = change.m_to;
        endpoint.m_changing = true;
      }
      const RoleCounts counts = CountRoles(endpoints);
      RC_ASSERT(counts.m_prefill + counts.m_mixed > 0);
      RC_ASSERT(counts.m_decode + counts.m_mixed > 0);
      const RoleCounts after = [&] {
        auto done = endpoints;
        for (RoleEndpoint& endpoint : done) endpoint.m_changing = false;
        return CountRoles(done);
      }();
      RC_ASSERT(after.m_prefill + after.m_mixed > 0);
      RC_ASSERT(after.m_decode + after.m_mixed > 0);
    }
  });
}

}  // namespace
}  // namespace comfreypaddle
