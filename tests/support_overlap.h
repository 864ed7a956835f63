#ifndef COMFREYPADDLE_TESTS_SUPPORT_OVERLAP_H_
#define COMFREYPADDLE_TESTS_SUPPORT_OVERLAP_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "support_history.h"
#include "support_platform.h"

namespace comfreypaddle::testing {

// Time after which an endpoint must no longer work on a request that goes on at
// another one.
inline constexpr Duration kMaxOverlap = std::chrono::milliseconds(400);

// One instance and two endpoints with the same acts. Requests are sent to both.
struct TwoEndpoints {
  TwoEndpoints(const std::string& name, const std::string& acts, int slots = 4)
      : m_cluster("elsewhere-" + name) {
    m_cluster.UseProxies();
    m_cluster.SetSlots(slots);
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

  void Send(const std::string& method, const std::string& prefix,
            int requests = 4) {
    for (int i = 0; i < requests; ++i) {
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
        std::chrono::seconds(7)));
    Wait(std::chrono::seconds(5));
    std::vector<WorkInterval> work;
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& run : m_cluster.HistoryOf(i).m_runs) {
        work.push_back(
            {run.m_target, run.m_began, run.m_ended.value_or(Instant::max())});
      }
    }
    REQUIRE_FALSE(work.empty());
    for (const std::string& overlap : CheckOverlaps(work, kMaxOverlap)) {
      FAIL_CHECK(overlap);
    }
  }

  PlatformCluster m_cluster;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_OVERLAP_H_
