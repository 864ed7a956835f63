// Guarantees G9 (complete answers) and G10 (correct refusals).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

constexpr int kTokens = 40;

// Two instances and two engines, each engine behind a relay.
struct EngineCluster {
  explicit EngineCluster(const std::string& name,
                         const ExtraSettings& extra = {})
      : m_cluster(name) {
    m_cluster.StartPlatform();
    for (int i = 0; i < 2; ++i) {
      m_ports.push_back(m_cluster.StartEngine());
      m_relays.push_back(
          std::make_unique<TcpProxy>(m_cluster.Loop(), m_ports.back()));
    }
    m_cluster.StartEntries(2, extra);
    m_cluster.ApplyDefaultResources({m_relays[0]->Port(), m_relays[1]->Port()},
                                    {});
    for (int entry = 1; entry <= 2; ++entry) {
      m_cluster.Until([&] {
        return m_cluster.Call(m_cluster.Completion(entry, "ready", 1, false))
                   .m_status == 200;
      });
    }
  }

  std::shared_ptr<Reply> Start(int entry, const std::string& prompt) {
    HttpCall call = m_cluster.Completion(entry, prompt, kTokens, true);
    call.m_timeout = std::chrono::seconds(20);
    return m_cluster.StartCall(std::move(call));
  }

  // Starts streams through both instances and waits until all of them have
  // tokens.
  void StartStreams(int count) {
    for (int i = 0; i < count; ++i) {
      m_prompts.push_back("prompt " + std::to_string(i));
      m_replies.push_back(Start(1 + i % 2, m_prompts.back()));
    }
    CHECK(m_cluster.Until([this] {
      return std::all_of(m_replies.begin(), m_replies.end(), [](const auto& r) {
        return ReadStream(r->m_body).m_positions.size() >= 3;
      });
    }));
  }

  bool WaitForAllEnds() {
    return m_cluster.Until([this] {
      return std::all_of(m_replies.begin(), m_replies.end(),
                         [](const auto& r) { return r->m_ended; });
    });
  }

  void CheckComplete() {
    REQUIRE(WaitForAllEnds());
    for (std::size_t i = 0; i < m_replies.size(); ++i) {
      CAPTURE(i);
      CHECK(FindStreamError(*m_replies[i], m_prompts[i], kTokens) == "");
    }
  }

  void SetAllFaults(const std::string& json) {
    for (const auto port : m_ports) SetFaults(m_cluster, port, json);
  }

  // Returns how often engines started a generation.
  int CountStarts() {
    int starts = 0;
    for (const auto port : m_ports) {
      const auto stats = EngineStatsOf(m_cluster, port);
      for (const auto& request : stats.requests()) {
        starts += static_cast<int>(request.starts());
      }
    }
    return starts;
  }

  Cluster m_cluster;
  std::vector<std::uint16_t> m_ports;
  std::vector<std::unique_ptr<TcpProxy>> m_relays;
  std::vector<std::string> m_prompts;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

// Guards against lost or repeated tokens when a broken stream is resumed.
TEST_CASE("streams whose connections are dropped are whole") {
  EngineCluster engines("whole-drop");
  engines.SetAllFaults(R"({"drop_after_tokens":7,"drop_streams":4})");
  engines.StartStreams(6);
  engines.CheckComplete();
}

// Guards against passing on duplicated, missing or reordered tokens of engines.
TEST_CASE("streams with doubled and reordered tokens are whole") {
  EngineCluster engines("whole-order");
  engines.SetAllFaults(R"({"duplicate_every":3,"reorder_every":50})");
  engines.StartStreams(4);
  engines.CheckComplete();
}

TEST_CASE("streams on connections that go silent are whole") {
  EngineCluster engines("whole-silent", {{"routing.silence_ms", "800"}});
  engines.StartStreams(4);
  SUBCASE("in the network") {
    for (const auto& relay : engines.m_relays) relay->StallOpenConnections();
  }
  SUBCASE("in the engine") {
    engines.SetAllFaults(R"({"silence_open_connections":true})");
  }
  engines.CheckComplete();
}

// Guards against an answer that ends, or looks complete, when an engine dies.
TEST_CASE("streams of a killed engine go on at another") {
  EngineCluster engines("whole-kill");
  engines.StartStreams(6);
  engines.m_cluster.Endpoint(engines.m_ports[0]).Signal(SIGKILL);
  engines.CheckComplete();
}

TEST_CASE("a stream does not look complete when all engines are gone") {
  EngineCluster engines("whole-none");
  engines.StartStreams(4);
  for (const auto port : engines.m_ports) {
    engines.m_cluster.Endpoint(port).Signal(SIGKILL);
  }
  REQUIRE(engines.WaitForAllEnds());
  for (const auto& reply : engines.m_replies) {
    CHECK_FALSE(ReadStream(reply->m_body).m_done);
    CHECK(reply->m_error);
  }
}

// Guards against reporting not_run for a request that an engine accepted.
TEST_CASE("a refusal as not run means that no engine took the request") {
  EngineCluster engines("refuse",
                        {{"admission.workspace_queue_requests", "2"}});
  const int before = engines.CountStarts();
  const auto refused = [&engines](const std::string& prompt,
                                  const std::string& deadline_ms) {
    HttpCall call = engines.m_cluster.Completion(1, prompt, 2, false);
    call.m_headers.push_back({"x-deadline-ms", deadline_ms});
    return engines.m_cluster.Call(std::move(call));
  };
  SUBCASE("engines refuse") {
    engines.SetAllFaults(R"({"refuse":true})");
    CHECK(OutcomeIn(refused("a", "2000")) == "not_run");
    CHECK(engines.CountStarts() == before);
  }
  SUBCASE("connections are refused") {
    for (const auto port : engines.m_ports) {
      engines.m_cluster.Endpoint(port).Signal(SIGKILL);
    }
    for (auto& relay : engines.m_relays) relay.reset();
    CHECK(OutcomeIn(refused("a", "2000")) == "not_run");
  }
  SUBCASE("the queue is full or the deadline passes in it") {
    engines.m_cluster.Apply(
        1, "fleet", "engines",
        R"({"name":"engines","kind":"engine","model":"m","replicas":2,)"
        R"("concurrency":1})");
    std::vector<std::shared_ptr<Reply>> replies;
    const int count = 12;
    for (int i = 0; i < count; ++i) {
      HttpCall call = engines.m_cluster.Completion(
          1, "full " + std::to_string(i), kTokens, false);
      call.m_headers.push_back({"x-deadline-ms", "1500"});
      replies.push_back(engines.m_cluster.StartCall(std::move(call)));
    }
    REQUIRE(engines.m_cluster.Until([&replies] {
      return std::all_of(replies.begin(), replies.end(),
                         [](const auto& reply) { return reply->m_ended; });
    }));
    int refusals = 0;
    for (const auto& reply : replies) {
      refusals += OutcomeIn(*reply) == "not_run" ? 1 : 0;
    }
    CHECK(refusals > 0);
    CHECK(engines.CountStarts() - before <= count - refusals);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
