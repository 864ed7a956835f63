// Retries that an endpoint does not read for a while, and what arrives in the
// windows of the retry budget once it does.
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
using testing::TimedRequest;

constexpr testing::BudgetRule kBudget = {0.2, seconds(10), 20};
constexpr Duration kCallPeriod = milliseconds(5);
constexpr int kSlots = 400;

// One instance and two endpoints that answer every request with an error, so
// that retries take all of the budget.
struct FailingEndpoints {
  explicit FailingEndpoints(const std::string& name)
      : m_cluster("heldretries-" + name) {
    m_cluster.UseProxies();
    m_cluster.SetSlots(kSlots);
    m_cluster.SetRetry("budget_ratio = 0.2\nwindow_s = 10\nslack = 20\n");
    m_cluster.Configure(1, R"(["k1"])");
    m_cluster.AddEndpointProcess("plain", "fail", 1);
    m_cluster.AddEndpointProcess("plain", "fail", 1);
    m_cluster.StartEntry(1);
  }

  // Sends requests that may be repeated.
  void Run(Duration time) {
    PeriodicTimer calls(m_cluster.Loop(), kCallPeriod, [this] {
      const bool stream = m_sent.size() % 2 == 0;
      const std::string target =
          (stream ? "/again/" : "/safe/") + std::to_string(m_sent.size());
      m_sent.push_back({target, Now()});
      m_replies.push_back(m_cluster.Start(1, stream ? "POST" : "GET", target));
    });
    m_cluster.Until([] { return false; }, time);
  }

  void Check() {
    CHECK(m_cluster.Until(
        [this] {
          return std::all_of(m_replies.begin(), m_replies.end(),
                             [](const auto& reply) { return reply->m_ended; });
        },
        seconds(10)));
    std::vector<TimedRequest> arrived;
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& arrival : m_cluster.HistoryOf(i).m_arrivals) {
        arrived.push_back({arrival.m_target, arrival.m_at});
      }
    }
    const testing::BudgetUse use =
        testing::MeasureRetryBudget(m_sent, arrived, kBudget);
    MESSAGE(use.m_repeated, " repeated arrivals in a window of ",
            use.m_requests, " requests, ", use.m_allowed, " allowed");
    CHECK(static_cast<double>(use.m_repeated) <= use.m_allowed);
    // The budget is used, so that the check means something.
    CHECK(static_cast<double>(use.m_repeated) > use.m_allowed / 2);
  }

  PlatformCluster m_cluster;
  std::vector<TimedRequest> m_sent;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

// Guards against retries that are charged to the budget as they are sent and
// arrive together when a paused endpoint continues.
TEST_CASE("retries that a paused endpoint holds stay in the budget") {
  FailingEndpoints f("paused");
  f.Run(seconds(6));
  f.m_cluster.EndpointProcess(1).Signal(SIGSTOP);
  Duration pause{};
  SUBCASE("shorter than the deadline") { pause = milliseconds(3500); }
  SUBCASE("longer than the deadline") { pause = seconds(8); }
  f.Run(pause);
  f.m_cluster.EndpointProcess(1).Signal(SIGCONT);
  f.Run(seconds(8));
  f.Check();
}

// Guards against the same on a link that is silent and opens again.
TEST_CASE("retries that a silent link holds stay in the budget") {
  FailingEndpoints f("silent");
  f.Run(seconds(6));
  f.m_cluster.EndpointProxy(1).SetSilent(true);
  f.Run(seconds(7));
  f.m_cluster.EndpointProxy(1).SetSilent(false);
  f.Run(seconds(8));
  f.Check();
}

}  // namespace
}  // namespace comfreypaddle
