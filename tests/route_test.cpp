#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "route.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

RouteState MakeFleet(int endpoints, std::uint32_t concurrency = 8) {
  RouteState state;
  for (int i = 0; i < endpoints; ++i) {
    Endpoint endpoint;
    endpoint.m_name = "e" + std::to_string(i);
    endpoint.m_fleet = "models";
    endpoint.m_availability_zone = "zone-" + std::to_string(i % 3);
    endpoint.m_region = "region";
    SetEndpoint(state, endpoint, concurrency);
  }
  return state;
}

RouteQuery Query() {
  RouteQuery query;
  query.m_fleet = "models";
  query.m_prompt_tokens = 400.0;
  query.m_output_tokens = 100.0;
  query.m_zone = "zone-0";
  query.m_region = "region";
  return query;
}

// No work may be sent to an endpoint that is about to stop.
TEST_CASE("leaving, draining and excluded endpoints get no new work") {
  RouteState state = MakeFleet(3);
  SetLeaving(state, "e0", true);
  SetEndpointPhase(state, "e1", EndpointPhase::kDraining);
  RouteQuery query = Query();
  CHECK(ChooseEndpoint(state, query, kStart)->m_endpoint == "e2");
  query.m_excluded = {"e2"};
  CHECK_FALSE(ChooseEndpoint(state, query, kStart));
}

// Requests sent after a load report was measured must be added to it.
TEST_CASE("a load report is corrected by own requests since it was taken") {
  RouteState state = MakeFleet(1);
  OnSent(state, "e0", 200.0, false, kStart);
  OnSent(state, "e0", 200.0, false, kStart + milliseconds(20));
  LoadReport report;
  report.m_measured_at = kStart + milliseconds(10);
  report.m_running = 1;
  OnLoadReport(state, "e0", report, kStart + milliseconds(30));
  CHECK(EstimatedRequests(*FindEndpoint(state, "e0")) == 2.0);
  OnFinished(state, "e0", 200.0, kStart + milliseconds(40));
  CHECK(EstimatedRequests(*FindEndpoint(state, "e0")) == 1.0);
}

// Prefix affinity must give cache hits without creating hot spots.
TEST_CASE("requests with the same prefix share an endpoint within the bound") {
  RouteState state = MakeFleet(12, 100);
  RouteQuery query = Query();
  query.m_prefix_hash = 7;
  const std::string first = ChooseEndpoint(state, query, kStart)->m_endpoint;
  int there = 0;
  for (int i = 0; i < 120; ++i) {
    const auto choice = ChooseEndpoint(state, query, kStart);
    if (choice->m_reason == RouteReason::kAffinity) {
      CHECK(choice->m_endpoint == first);
      ++there;
    }
    OnSent(state, choice->m_endpoint, choice->m_work, false, kStart);
  }
  // The final mean is ten requests: the bound is 1.25 times ten plus two.
  CHECK(there >= 10);
  CHECK(FindEndpoint(state, first)->m_own_requests <= 15);
}

// Traffic must stay in the region while it has capacity, and move to other
// regions when the region is full.
TEST_CASE("other regions are used only when the own one is loaded") {
  RouteState state = MakeFleet(3, 8);
  Endpoint remote;
  remote.m_name = "remote";
  remote.m_fleet = "models";
  remote.m_region = "other";
  SetEndpoint(state, remote, 8);
  int sent = 0;
  for (;; ++sent) {
    const auto choice = ChooseEndpoint(state, Query(), kStart);
    if (!choice) break;
    // The region's endpoints get two requests each before another region is
    // worth its penalty.
    if (sent < 6) CHECK(choice->m_endpoint != "remote");
    OnSent(state, choice->m_endpoint, choice->m_work, false, kStart);
  }
  CHECK(sent == 32);
}

// An endpoint that refuses all work must not use up retries because it is the
// affinity endpoint or looks idle.
TEST_CASE("an endpoint that refused a request gets none for a while") {
  RouteState state = MakeFleet(2);
  OnSent(state, "e0", 10.0, false, kStart);
  OnFailed(state, "e0", 10.0, FailureKind::kRefusedNotRun, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(ChooseEndpoint(state, Query(), kStart)->m_endpoint == "e1");
  }
  OnSent(state, "e1", 10.0, false, kStart);
  OnFailed(state, "e1", 10.0, FailureKind::kRefusedNotRun, kStart);
  CHECK_FALSE(ChooseEndpoint(state, Query(), kStart).has_value());
  CHECK(ChooseEndpoint(state, Query(), kStart + std::chrono::seconds(1)));
}

// Failing endpoints must be ejected, and a probe must not fail many requests at
// once.
TEST_CASE("a failing endpoint is ejected and probed with one request") {
  RouteState state = MakeFleet(4);
  for (int i = 0; i < 3; ++i) {
    OnSent(state, "e0", 10.0, false, kStart);
    OnFailed(state, "e0", 10.0, FailureKind::kConnectFailed, kStart);
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(ChooseEndpoint(state, Query(), kStart)->m_endpoint != "e0");
  }
  const Instant later = kStart + seconds(2);
  RouteQuery once = Query();
  once.m_repeatable = false;
  CHECK(ChooseEndpoint(state, once, later)->m_reason != RouteReason::kProbe);
  const auto probe = ChooseEndpoint(state, Query(), later);
  CHECK(probe->m_reason == RouteReason::kProbe);
  OnSent(state, probe->m_endpoint, 10.0, false, later);
  CHECK(ChooseEndpoint(state, Query(), later)->m_reason != RouteReason::kProbe);
  OnFinished(state, "e0", 10.0, later);
  CHECK(FindEndpoint(state, "e0")->m_health == EndpointHealth::kHealthy);
}

// A suspected request must not take other requests down with it.
TEST_CASE("a suspected request has its endpoint to itself") {
  RouteState state = MakeFleet(2);
  OnSent(state, "e0", 10.0, false, kStart);
  RouteQuery query = Query();
  query.m_isolated = true;
  CHECK(ChooseEndpoint(state, query, kStart)->m_endpoint == "e1");
  OnSent(state, "e1", 10.0, true, kStart);
  for (int i = 0; i < 5; ++i) {
    CHECK(ChooseEndpoint(state, Query(), kStart)->m_endpoint == "e0");
  }
  // A second suspect goes to another endpoint, never to the same one.
  CHECK(ChooseEndpoint(state, query, kStart)->m_endpoint == "e0");
  OnSent(state, "e0", 10.0, true, kStart);
  CHECK_FALSE(ChooseEndpoint(state, query, kStart));
  CHECK_FALSE(ChooseEndpoint(state, Query(), kStart));
  EndIsolation(state, "e1");
  CHECK(ChooseEndpoint(state, query, kStart)->m_endpoint == "e1");
}

// The choice must respect reclaims, planned stops, full endpoints and earlier
// failures of the request.
TEST_CASE("no choice breaks a constraint") {
  CHECK(rc::check([] {
    RouteState state = MakeFleet(*rc::gen::inRange(1, 12), 3);
    state.m_random.seed(*rc::gen::arbitrary<std::uint64_t>());
    for (EndpointView& view : state.m_fleets["models"].m_endpoints) {
      view.m_class = static_cast<EndpointClass>(*rc::gen::inRange(0, 2));
      view.m_role = static_cast<EndpointRole>(*rc::gen::inRange(0, 3));
      view.m_leaving = *rc::gen::inRange(0, 4) == 0;
      view.m_draining = *rc::gen::inRange(0, 4) == 0;
      const int sent = *rc::gen::inRange(0, 4);
      for (int i = 0; i < sent; ++i) {
        OnSent(state, view.m_name, 100.0, false, kStart);
      }
    }
    RouteQuery query = Query();
    query.m_repeatable = *rc::gen::arbitrary<bool>();
    query.m_urgent = *rc::gen::arbitrary<bool>();
    query.m_prefix_hash = *rc::gen::inRange(0, 5);
    query.m_excluded = {"e0"};
    const auto choice = ChooseEndpoint(state, query, kStart);
    bool on_demand = false;
    bool any_on_demand = false;
    bool any = false;
    for (const auto& view : state.m_fleets["models"].m_endpoints) {
      if (view.m_leaving || view.m_draining || view.m_name == "e0") continue;
      const bool room = view.m_own_requests < 3;
      any = any || room;
      if (view.m_class != EndpointClass::kOnDemand) continue;
      any_on_demand = true;
      on_demand = on_demand || room;
    }
    if (!choice) {
      RC_ASSERT(!any || (!query.m_repeatable && any_on_demand && !on_demand));
      return;
    }
    const EndpointView& view = *FindEndpoint(state, choice->m_endpoint);
    RC_ASSERT(!view.m_leaving && !view.m_draining && view.m_name != "e0");
    RC_ASSERT(view.m_own_requests < 3);
    if (query.m_urgent || !query.m_repeatable) {
      RC_ASSERT(!on_demand || view.m_class == EndpointClass::kOnDemand);
    }
  }));
}

// The load estimate must not drift when reports are late or out of order, or
// when the list of load changes is truncated.
TEST_CASE("estimates match the actual load for any order of reports") {
  CHECK(rc::check([] {
    RouteState state = MakeFleet(1, 0);
    std::deque<std::pair<Instant, std::uint32_t>> truth{{kStart, 0}};
    Instant now = kStart;
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(1);
      const std::uint32_t running = truth.back().second;
      if (*rc::gen::inRange(0, 3) > 0 || running == 0) {
        OnSent(state, "e0", 10.0, false, now);
        truth.emplace_back(now, running + 1);
      } else {
        OnFinished(state, "e0", 10.0, now);
        truth.emplace_back(now, running - 1);
      }
      if (*rc::gen::inRange(0, 5) == 0) {
        const auto& [taken, count] = truth[static_cast<std::size_t>(
            *rc::gen::inRange(0, static_cast<int>(truth.size())))];
        LoadReport report;
        report.m_measured_at = taken;
        report.m_running = count;
        OnLoadReport(state, "e0", report, now);
      }
      RC_ASSERT(EstimatedRequests(*FindEndpoint(state, "e0")) ==
                truth.back().second);
    }
  }));
}

// Routing decisions must be cheap enough for the request path.
TEST_CASE("decisions per second") {
  for (const int endpoints : {12, 400}) {
    RouteState state = MakeFleet(endpoints, 64);
    RouteQuery query = Query();
    constexpr int kRounds = 5000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      query.m_prefix_hash = static_cast<std::uint64_t>(i % 50);
      const auto choice = ChooseEndpoint(state, query, kStart);
      OnSent(state, choice->m_endpoint, choice->m_work, false, kStart);
      if (i >= 100) OnFinished(state, choice->m_endpoint, 200.0, kStart);
    }
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
    MESSAGE(endpoints << " endpoints: " << kRounds / time.count()
                      << " decisions per second");
    CHECK(kRounds / time.count() > 1000.0);
  }
}

}  // namespace
}  // namespace comfreypaddle
