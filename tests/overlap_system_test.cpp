// A stream that may be resumed, whose endpoint is silent and does not notice
// that its connection was closed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <utility>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndpointAct;
using testing::EndpointRun;
using testing::PlatformCluster;

// Time after which an endpoint must no longer work on a request that goes on at
// another one.
constexpr Duration kMaxOverlap = milliseconds(400);

// Guards against a stream that goes on at another endpoint while the one before
// still works on it: the work is done twice.
TEST_CASE("a stream does not run at two endpoints at once") {
  PlatformCluster cluster("overlap");
  cluster.Configure(1, R"(["k1"])");
  bool runs_on = false;
  for (int i = 0; i < 2; ++i) {
    cluster.AddEndpoint("plain");
    cluster.Endpoint(i).SetActs([&runs_on] {
      return std::exchange(runs_on, false) ? EndpointAct::kRunOn
                                           : EndpointAct::kAnswer;
    });
  }
  cluster.StartEntry(1);
  // Requests that back a retry.
  for (int i = 0; i < 20; ++i) {
    CHECK(cluster.Call(1, "GET", "/safe/" + std::to_string(i)).m_status == 200);
  }
  runs_on = true;
  const auto reply = cluster.Start(1, "POST", "/again/1");
  CHECK(cluster.Until([&] { return reply->m_ended; }, seconds(7)));
  cluster.Until([] { return false; }, seconds(5));
  std::vector<EndpointRun> runs;
  for (int i = 0; i < 2; ++i) {
    for (const EndpointRun& run : cluster.Endpoint(i).Runs()) {
      if (run.m_target == "/again/1") runs.push_back(run);
    }
  }
  REQUIRE_FALSE(runs.empty());
  for (const EndpointRun& run : runs) {
    for (const EndpointRun& later : runs) {
      if (later.m_began <= run.m_began) continue;
      const Instant ended = run.m_ended.value_or(Instant::max());
      CHECK(ended <= later.m_began + kMaxOverlap);
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
