#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "capacity.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

CapacityPlanner MakePlanner(double cheap_share) {
  CapacityPlanner planner;
  planner.m_options.m_zones = {"a", "b", "c"};
  planner.m_options.m_cheap_share = cheap_share;
  return planner;
}

using Endpoints = std::vector<CapacityEndpoint>;

// Applies the orders. Created endpoints are in the phase `created`.
void Apply(Endpoints& endpoints, const std::vector<CapacityOrder>& orders,
           Instant now, EndpointPhase created = EndpointPhase::kReady) {
  static int number = 0;
  for (const CapacityOrder& order : orders) {
    if (order.m_kind == CapacityOrderKind::kCreate) {
      endpoints.push_back({"e" + std::to_string(number++), order.m_zone,
                           order.m_class, created, now});
    } else {
      std::erase_if(endpoints, [&](const CapacityEndpoint& endpoint) {
        return endpoint.m_name == order.m_endpoint;
      });
    }
  }
}

// Guards against a fleet that cannot absorb the reclaim of one zone, or that
// leaves its size limits.
TEST_CASE("the remaining endpoints can absorb the reclaim of any zone") {
  rc::check([] {
    auto planner = MakePlanner(*rc::gen::inRange(0, 10) * 0.1);
    const CapacityOptions& options = planner.m_options;
    Endpoints endpoints;
    Instant now = kStart;
    for (int step = 0; step < 20; ++step) {
      now += seconds(*rc::gen::inRange(1, 60));
      const double demand = *rc::gen::inRange(0, 130) * 0.1;
      Apply(endpoints,
            PlanCapacity(planner, endpoints, {demand, demand}, 0, now), now);
      const int total = static_cast<int>(endpoints.size());
      RC_ASSERT(total >= options.m_min_endpoints);
      RC_ASSERT(total <= options.m_max_endpoints);
      for (const std::string& zone : options.m_zones) {
        const auto cheap = std::count_if(
            endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
              return endpoint.m_zone == zone &&
                     endpoint.m_class == EndpointClass::kCheap;
            });
        const auto rest = static_cast<double>(total - cheap);
        RC_ASSERT(cheap == 0 ||
                  rest * options.m_takeover_utilisation >= demand - 1e-6);
      }
    }
  });
}

TEST_CASE("half of the fleet is cheap when the demand leaves room for it") {
  auto planner = MakePlanner(0.5);
  Endpoints endpoints;
  Apply(endpoints, PlanCapacity(planner, endpoints, {8.0, 8.0}, 0, kStart),
        kStart);
  CHECK(endpoints.size() == 11);
  CHECK(std::count_if(endpoints.begin(), endpoints.end(),
                      [](const auto& endpoint) {
                        return endpoint.m_class == EndpointClass::kCheap;
                      }) == 5);
}

TEST_CASE("an overdue order is abandoned and placed in another zone") {
  auto planner = MakePlanner(0.0);
  Endpoints endpoints;
  Apply(endpoints, PlanCapacity(planner, endpoints, {0.0, 0.0}, 0, kStart),
        kStart);
  Apply(endpoints, PlanCapacity(planner, endpoints, {2.5, 2.5}, 0, kStart),
        kStart, EndpointPhase::kOrdered);
  REQUIRE(endpoints.size() == 4);
  const CapacityEndpoint late = endpoints.back();
  CHECK(PlanCapacity(planner, endpoints, {2.5, 2.5}, 0, kStart + seconds(30))
            .empty());
  const auto orders =
      PlanCapacity(planner, endpoints, {2.5, 2.5}, 0, kStart + seconds(61));
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].m_kind == CapacityOrderKind::kAbandon);
  CHECK(orders[0].m_endpoint == late.m_name);
  CHECK(orders[1].m_kind == CapacityOrderKind::kCreate);
  CHECK(orders[1].m_zone != late.m_zone);
}

// Guards against cheap orders that are not fulfilled after a reclaim, and
// against replacements that the reclaim of the next zone takes immediately.
TEST_CASE("no cheap endpoint is ordered for a while after a reclaim") {
  auto planner = MakePlanner(0.6);
  RecordReclaim(planner, "a", kStart);
  for (const CapacityOrder& order :
       PlanCapacity(planner, {}, {5.0, 5.0}, 0, kStart + seconds(60))) {
    CHECK(order.m_class == EndpointClass::kOnDemand);
  }
  const auto later = PlanCapacity(planner, {}, {5.0, 5.0}, 0,
                                  kStart + planner.m_options.m_reclaim_hold);
  REQUIRE(later.size() == 7);
  CHECK(std::count_if(later.begin(), later.end(), [](const auto& order) {
          return order.m_class == EndpointClass::kCheap;
        }) == 3);  // The loss of one per zone can be absorbed.
}

// Guards against a fleet that keeps its on-demand endpoints after a period of
// high demand.
TEST_CASE(
    "on-demand endpoints are replaced one at a time up to the cheap share") {
  auto planner = MakePlanner(0.0);
  Endpoints endpoints;
  Apply(endpoints, PlanCapacity(planner, endpoints, {9.0, 5.0}, 0, kStart),
        kStart);
  REQUIRE(endpoints.size() == 12);
  planner.m_options.m_cheap_share = 0.5;
  for (int step = 1; step <= 10; ++step) {
    const Instant now = kStart + seconds(step * 5);
    const auto orders = PlanCapacity(planner, endpoints, {9.0, 5.0}, 0, now);
    REQUIRE(orders.size() == (step <= 6 ? 2 : 0));
    if (orders.empty()) break;
    CHECK(orders[0].m_kind == CapacityOrderKind::kDrain);
    CHECK(orders[1].m_class == EndpointClass::kCheap);
    Apply(endpoints, orders, now);
  }
}

TEST_CASE("the fleet shrinks only after the shrink delay and by draining") {
  auto planner = MakePlanner(0.0);
  Endpoints endpoints;
  Apply(endpoints, PlanCapacity(planner, endpoints, {8.0, 8.0}, 0, kStart),
        kStart);
  CHECK(PlanCapacity(planner, endpoints, {3.0, 3.0}, 0, kStart + seconds(10))
            .empty());
  CHECK(PlanCapacity(planner, endpoints, {8.0, 8.0}, 0, kStart + seconds(80))
            .empty());
  CHECK(PlanCapacity(planner, endpoints, {3.0, 3.0}, 0, kStart + seconds(110))
            .empty());
  const auto orders =
      PlanCapacity(planner, endpoints, {3.0, 3.0}, 0, kStart + seconds(200));
  CHECK(orders.size() == 6);
  for (const auto& order : orders) {
    CHECK(order.m_kind == CapacityOrderKind::kDrain);
  }
}

TEST_CASE("the profile orders endpoints before the demand comes") {
  auto planner = MakePlanner(0.0);
  UpdateProfile(planner, 9, 6.0);
  CHECK(EndpointsNeeded(planner, 1.0, 8) == 3);
  CHECK(EndpointsNeeded(planner, 1.0, 9) == 9);
}

}  // namespace
}  // namespace comfreypaddle
