// Poison requests: requests that crash every engine that runs them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

constexpr char kPoisonPrompt[] = "please CRASH_ENDPOINT now";

struct EngineFixture {
  explicit EngineFixture(const std::string& name, int engines = 4)
      : m_cluster(name) {
    m_cluster.StartPlatform();
    for (int i = 0; i < engines; ++i) {
      m_ports.push_back(m_cluster.StartEngine({"--prefill_token_us", "20000"}));
    }
    m_cluster.StartEntries(3);
    m_cluster.ApplyDefaultResources(m_ports, {});
    for (int entry = 1; entry <= 3; ++entry) {
      m_cluster.Until([&] {
        return m_cluster.Call(m_cluster.Completion(entry, "ready", 1, false))
                   .m_status == 200;
      });
    }
  }

  // Counts engines that exited, and optionally restarts them.
  void CountCrashes(bool restart) {
    for (const auto port : m_ports) {
      const bool counted =
          std::find(m_stopped_ports.begin(), m_stopped_ports.end(), port) !=
          m_stopped_ports.end();
      if (counted || !m_cluster.Endpoint(port).ExitCode()) continue;
      ++m_crashes;
      if (restart) {
        m_cluster.RestartEndpoint(port);
      } else {
        m_stopped_ports.push_back(port);
      }
    }
  }

  // Sends the poison request three times through each instance and returns the
  // last reply.
  Reply SendPoison(bool restart) {
    Reply last;
    for (int i = 0; i < 9; ++i) {
      HttpCall call = m_cluster.Completion(1 + i % 3, kPoisonPrompt, 5, false);
      call.m_timeout = std::chrono::seconds(10);
      const auto reply = m_cluster.StartCall(std::move(call));
      m_cluster.Until([&] {
        CountCrashes(restart);
        return reply->m_ended;
      });
      last = *reply;
      CHECK(last.m_status != 200);
    }
    CountCrashes(restart);
    return last;
  }

  Cluster m_cluster;
  std::vector<std::uint16_t> m_ports;
  std::vector<std::uint16_t> m_stopped_ports;
  int m_crashes = 0;
};

// Guards against a request that crashes the whole fleet through retries.
TEST_CASE("a poison request crashes two engines at most") {
  EngineFixture fixture("poison");
  const Reply last = fixture.SendPoison(false);
  CHECK(fixture.m_crashes >= 1);
  CHECK(fixture.m_crashes <= 2);
  CHECK(Contains(last.m_body, "\"code\":\"suspect\""));
}

// Guards against resetting the crash count of a request when an engine
// restarts.
TEST_CASE("a poison request crashes engines that restart twice at most") {
  int engines = 0;
  SUBCASE("several engines") { engines = 4; }
  SUBCASE("one engine") { engines = 1; }
  EngineFixture fixture("poison-restart", engines);
  const Reply last = fixture.SendPoison(true);
  CHECK(fixture.m_crashes >= 1);
  CHECK(fixture.m_crashes <= 2);
  CHECK(Contains(last.m_body, "\"code\":\"suspect\""));
}

// Guards against refusing requests because they shared a batch with the request
// that crashed the engine.
TEST_CASE("a request in the batch of a poison request completes") {
  EngineFixture fixture("poison-batch");
  std::vector<std::shared_ptr<Reply>> replies;
  std::vector<std::string> prompts;
  for (int i = 0; i < 8; ++i) {
    prompts.push_back("bystander " + std::to_string(i));
    HttpCall call =
        fixture.m_cluster.Completion(1 + i % 3, prompts.back(), 60, true);
    replies.push_back(fixture.m_cluster.StartCall(std::move(call)));
  }
  REQUIRE(fixture.m_cluster.Until([&replies] {
    return std::all_of(replies.begin(), replies.end(), [](const auto& reply) {
      return !reply->m_body.empty();
    });
  }));
  fixture.SendPoison(false);
  CHECK(fixture.m_crashes <= 2);
  REQUIRE(fixture.m_cluster.Until([&replies] {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->m_ended; });
  }));
  for (std::size_t i = 0; i < prompts.size(); ++i) {
    CAPTURE(i);
    CHECK(FindStreamError(*replies[i], prompts[i], 60) == "");
    const Reply again = fixture.m_cluster.Call(fixture.m_cluster.Completion(
        1 + static_cast<int>(i) % 3, prompts[i], 5, true));
    CHECK(FindStreamError(again, prompts[i], 5) == "");
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
