// Streams of a crashed engine resume on another engine without a long pause.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

constexpr int kStreams = 8;
constexpr int kTokens = 250;

// Maximum pause after an engine crash, from docs/design.md, section 9.
constexpr Duration kPauseLimit = std::chrono::seconds(2);

// Guards against resuming the streams one at a time because all of them are
// suspected of causing the crash.
TEST_CASE("all streams of a crashed engine go on within the silence limit") {
  Cluster cluster("crash");
  cluster.StartPlatform();
  const auto first = cluster.StartEngine();
  const auto second = cluster.StartEngine();
  cluster.StartEntries(1);
  cluster.ApplyDefaultResources({first, second}, {});
  REQUIRE(cluster.Until([&] {
    return cluster.Call(cluster.Completion(1, "ready", 1, false)).m_status ==
           200;
  }));
  std::vector<std::shared_ptr<Reply>> replies;
  for (int i = 0; i < kStreams; ++i) {
    HttpCall call =
        cluster.Completion(1, "p" + std::to_string(i), kTokens, true);
    replies.push_back(cluster.StartCall(std::move(call)));
  }
  REQUIRE(cluster.Until([&replies] {
    return std::all_of(replies.begin(), replies.end(), [](const auto& reply) {
      return !reply->m_body.empty();
    });
  }));
  const bool at_first = EngineStatsOf(cluster, first).load().running() > 0;
  cluster.Endpoint(at_first ? first : second).Signal(SIGKILL);
  std::vector<std::size_t> sizes;
  for (const auto& reply : replies) sizes.push_back(reply->m_body.size());
  // Allowance for bytes in flight at the time of the kill.
  constexpr std::size_t kInFlight = 2000;
  CHECK(cluster.Until(
      [&] {
        for (std::size_t i = 0; i < replies.size(); ++i) {
          if (replies[i]->m_body.size() < sizes[i] + kInFlight) return false;
        }
        return true;
      },
      kPauseLimit));
}

}  // namespace
}  // namespace comfreypaddle::testing
