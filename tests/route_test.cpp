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

// Guards against work that is sent to an endpoint that is about to stop.
TEST_CASE("leaving, draining and excluded endpoints get no new work") {
  RouteState state = MakeFleet(3);
  SetLeaving(state, "e0", true);
  SetEndpointPhase(state, "e1", EndpointPhase::kDraining);
  RouteQuery query = Query();
  CHECK(ChooseEndpoint(state, query, kStart)->m_endpoint == "e2");
  query.m_excluded = {"e2"};
  CHECK_FALSE(ChooseEndpoint(state, query, kStart));
}

// Guards against a report that hides requests sent after it was taken.
TEST_CASE("a load report is corrected by own requests since it was taken") {
  RouteState state = MakeFleet(1);
  OnSent(state, "e0", 200.0, false, kStart);
  OnSent(state, "e0", 200.0, false, kStart + milliseconds(20));
  LoadReport report;
  report.m_taken = kStart + milliseconds(10);
  report.m_running = 1;
  OnLoadReport(state, "e0", report, kStart + milliseconds(30));
  CHECK(EstimatedRequests(*FindEndpoint(state, "e0")) == 2.0);
  OnFinished(state, "e0", 200.0, kStart + milliseconds(40));
  CHECK(EstimatedRequests(*FindEndpoint(state, "e0")) == 1.0);
}

}  // namespace
}  // namespace comfreypaddle
