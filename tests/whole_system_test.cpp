// Guarantees G9, whole answers, and G10, true refusals.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

constexpr int kTokens = 40;

// Path through two instances to two engines, each behind a relay.
struct Engines {
  explicit Engines(const std::string& name, const ExtraSettings& extra = {})
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

  bool WaitForEnds() {
    return m_cluster.Until([this] {
      return std::all_of(m_replies.begin(), m_replies.end(),
                         [](const auto& r) { return r->m_ended; });
    });
  }

  void CheckWhole() {
    REQUIRE(WaitForEnds());
    for (std::size_t i = 0; i < m_replies.size(); ++i) {
      CAPTURE(i);
      CHECK(FindStreamError(*m_replies[i], m_prompts[i], kTokens) == "");
    }
  }

  void SetBoth(const std::string& json) {
    for (const auto port : m_ports) SetFaults(m_cluster, port, json);
  }

  // Times that engines took a generation.
  int Starts() {
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

// Guards against tokens that are lost or repeated where a broken stream is
// taken up again.
TEST_CASE("streams whose connections are dropped are whole") {
  Engines engines("whole-drop");
  engines.SetBoth(R"({"drop_after_tokens":7,"drop_streams":4})");
  engines.StartStreams(6);
  engines.CheckWhole();
}

// Guards against duplicates, gaps and the wrong order in what engines send.
TEST_CASE("streams with doubled and reordered tokens are whole") {
  Engines engines("whole-order");
  engines.SetBoth(R"({"duplicate_every":3,"reorder_every":50})");
  engines.StartStreams(4);
  engines.CheckWhole();
}

TEST_CASE("streams on connections that go silent are whole") {
  Engines engines("whole-silent", {{"routing.silence_ms", "800"}});
  engines.StartStreams(4);
  SUBCASE("in the network") {
    for (const auto& relay : engines.m_relays) relay->StallOpenConnections();
  }
  SUBCASE("in the engine") {
    engines.SetBoth(R"({"silence_open_connections":true})");
  }
  engines.CheckWhole();
}

// Guards against an answer that ends, or looks complete, when an engine dies.
TEST_CASE("streams of a killed engine go on at another") {
  Engines engines("whole-kill");
  engines.StartStreams(6);
  engines.m_cluster.Endpoint(engines.m_ports[0]).Signal(SIGKILL);
  engines.CheckWhole();
}

TEST_CASE("a stream does not look complete when all engines are gone") {
  Engines engines("whole-none");
  engines.StartStreams(4);
  for (const auto port : engines.m_ports) {
    engines.m_cluster.Endpoint(port).Signal(SIGKILL);
  }
  REQUIRE(engines.WaitForEnds());
  for (const auto& reply : engines.m_replies) {
    CHECK_FALSE(ReadStream(reply->m_body).m_done);
    CHECK(reply->m_error);
  }
}

// Guards against not_run for a request that an engine took.
TEST_CASE("a refusal as not run means that no engine took the request") {
  Engines engines("refuse", {{"admission.workspace_queue_requests", "2"}});
  const int before = engines.Starts();
  const auto refused = [&engines](const std::string& prompt,
                                  const std::string& deadline_ms) {
    HttpCall call = engines.m_cluster.Completion(1, prompt, 2, false);
    call.m_headers.push_back({"x-deadline-ms", deadline_ms});
    return engines.m_cluster.Call(std::move(call));
  };
  SUBCASE("engines refuse") {
    engines.SetBoth(R"({"refuse":true})");
    CHECK(OutcomeIn(refused("a", "2000")) == "not_run");
    CHECK(engines.Starts() == before);
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
    CHECK(engines.Starts() - before <= count - refusals);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
