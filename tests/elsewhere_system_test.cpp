// Endpoints as processes of their own, behind links: requests that go on at
// another endpoint while the one before still works on them or will.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "support_history.h"
#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlatformCluster;
using testing::Reply;
using testing::WorkInterval;

// Time after which an endpoint must no longer work on a request that goes on at
// another one.
constexpr Duration kMaxOverlap = milliseconds(400);

// One instance and two endpoints with the same acts. Requests are sent to both.
struct TwoEndpoints {
  TwoEndpoints(const std::string& name, const std::string& acts)
      : m_cluster("elsewhere-" + name) {
    m_cluster.UseProxies();
    m_cluster.Configure(1, R"(["k1"])");
    // Retries are not to be prevented by the budget.
    m_cluster.SetRetry("budget_ratio = 10\n");
    m_cluster.AddEndpointProcess("plain", acts, 1);
    m_cluster.AddEndpointProcess("plain", acts, 1);
    m_cluster.StartEntry(1);
  }

  void Wait(Duration time) {
    m_cluster.Until([] { return false; }, time);
  }

  void Send(const std::string& method, const std::string& prefix) {
    constexpr int kRequests = 4;
    for (int i = 0; i < kRequests; ++i) {
      m_replies.push_back(
          m_cluster.Start(1, method, prefix + std::to_string(i)));
    }
  }

  // Waits for the end of the requests and of the runs.
  void Check() {
    CHECK(m_cluster.Until(
        [this] {
          return std::all_of(m_replies.begin(), m_replies.end(),
                             [](const auto& reply) { return reply->m_ended; });
        },
        seconds(7)));
    Wait(seconds(5));
    std::vector<WorkInterval> work;
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& run : m_cluster.HistoryOf(i).m_runs) {
        work.push_back(
            {run.m_target, run.m_began, run.m_ended.value_or(Instant::max())});
      }
    }
    REQUIRE_FALSE(work.empty());
    for (const std::string& overlap :
         testing::CheckOverlaps(work, kMaxOverlap)) {
      FAIL_CHECK(overlap);
    }
  }

  PlatformCluster m_cluster;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

// Guards against a stream that goes on elsewhere because its endpoint is
// silent, though the endpoint works on it.
TEST_CASE("a stream of a silent endpoint is not run elsewhere") {
  TwoEndpoints f("silent", "run_on");
  f.Send("POST", "/again/");
  f.Check();
}

// Guards against an idempotent request that is sent to a second endpoint while
// the first one is still computing the response.
TEST_CASE("a plain request of a silent endpoint is not run elsewhere") {
  TwoEndpoints f("plain", "run_on");
  f.Send("GET", "/safe/");
  f.Check();
}

// Guards against a stream that goes on elsewhere because it pauses.
TEST_CASE("a stream that stalls is not run elsewhere") {
  TwoEndpoints f("stall", "stall");
  f.Send("POST", "/again/");
  f.Check();
}

// Guards against a request that a paused endpoint finds in its receive buffer
// when it continues, after the request has gone on elsewhere.
TEST_CASE("a request that a paused endpoint holds is not run elsewhere") {
  TwoEndpoints f("paused", "run_on");
  f.m_cluster.EndpointProcess(0).Signal(SIGSTOP);
  f.Send("POST", "/again/");
  f.Wait(milliseconds(2500));
  f.m_cluster.EndpointProcess(0).Signal(SIGCONT);
  f.Check();
}

// Guards against a request that a silent link delivers when it opens again,
// after the request has gone on elsewhere.
TEST_CASE("a request that a silent link holds is not run elsewhere") {
  TwoEndpoints f("link", "run_on");
  f.m_cluster.EndpointProxy(0).SetSilent(true);
  f.Send("POST", "/again/");
  f.Wait(milliseconds(2500));
  f.m_cluster.EndpointProxy(0).SetSilent(false);
  f.Check();
}

// Guards against a broken connection that is taken for the end of the work: the
// endpoint may not have seen that it broke.
TEST_CASE("a stream whose connection breaks is not run elsewhere at once") {
  TwoEndpoints f("broken", "stall,run_on");
  f.Send("POST", "/again/");
  f.Wait(milliseconds(300));
  f.m_cluster.EndpointProxy(0).BreakTowardsClients();
  f.m_cluster.EndpointProxy(1).BreakTowardsClients();
  f.Check();
}

// Guards against an instance that wakes, finds its timeouts expired and sends
// its requests elsewhere.
TEST_CASE("an instance that was paused does not send its requests elsewhere") {
  TwoEndpoints f("woken", "run_on");
  f.Send("POST", "/again/");
  f.Send("GET", "/safe/");
  f.Wait(milliseconds(200));
  f.m_cluster.Entry(1).Signal(SIGSTOP);
  f.Wait(milliseconds(2500));
  f.m_cluster.Entry(1).Signal(SIGCONT);
  f.Check();
}

}  // namespace
}  // namespace comfreypaddle
