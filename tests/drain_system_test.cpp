// Guarantees G2, G12 and G13: planned changes interrupt no request, and a
// leaving endpoint receives no new requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

// At 20 ms per token a stream runs for about 5 s.
constexpr int kTokens = 250;

// Time after which a leaving endpoint must receive no new requests.
constexpr Duration kLeavingLimit = std::chrono::seconds(3);

struct StreamFixture {
  explicit StreamFixture(const std::string& name) : m_cluster(name) {
    m_cluster.StartPlatform();
    for (int i = 0; i < 2; ++i) m_ports.push_back(m_cluster.StartEngine());
    m_cluster.StartEntries(2);
    m_cluster.ApplyDefaultResources(m_ports, {});
    for (int entry = 1; entry <= 2; ++entry) {
      m_cluster.Until([&] {
        return m_cluster.Call(m_cluster.Completion(entry, "ready", 1, false))
                   .m_status == 200;
      });
    }
  }

  void Start(int count) {
    for (int i = 0; i < count; ++i) {
      m_prompts.push_back("prompt " + std::to_string(i));
      HttpCall call =
          m_cluster.Completion(1 + i % 2, m_prompts.back(), kTokens, true);
      call.m_timeout = std::chrono::seconds(30);
      m_replies.push_back(m_cluster.StartCall(std::move(call)));
    }
    CHECK(m_cluster.Until([this] {
      return std::all_of(m_replies.begin(), m_replies.end(),
                         [](const auto& r) { return !r->m_body.empty(); });
    }));
  }

  void CheckComplete() {
    REQUIRE(m_cluster.Until([this] {
      return std::all_of(m_replies.begin(), m_replies.end(),
                         [](const auto& r) { return r->m_ended; });
    }));
    for (std::size_t i = 0; i < m_replies.size(); ++i) {
      CAPTURE(i);
      CHECK(FindStreamError(*m_replies[i], m_prompts[i], kTokens) == "");
    }
  }

  // Number of requests that the engine has received.
  int Requests(std::uint16_t port) {
    return EngineStatsOf(m_cluster, port).requests_size();
  }

  // Sends requests until the limit has passed, then checks that the engine
  // receives none of the following ones.
  void CheckNoNewWork(std::uint16_t port) {
    const Instant limit = Now() + kLeavingLimit;
    int number = 0;
    const auto send = [&] {
      const std::string prompt = "new " + std::to_string(number++);
      const Reply reply = m_cluster.Call(
          m_cluster.Completion(1 + number % 2, prompt, 2, false));
      CHECK(reply.m_status == 200);
    };
    while (Now() < limit) send();
    const int before = Requests(port);
    for (int i = 0; i < 20; ++i) send();
    CHECK(Requests(port) == before);
  }

  Cluster m_cluster;
  std::vector<std::uint16_t> m_ports;
  std::vector<std::string> m_prompts;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

// Guards against a shutdown that interrupts streams, or refuses requests that
// arrive before the load balancer has removed the instance.
TEST_CASE("SIGTERM of an instance cuts no stream and exits with 0") {
  StreamFixture fixture("drain-entry");
  fixture.Start(20);
  Process& entry = fixture.m_cluster.Entry(1);
  entry.Signal(SIGTERM);
  const Reply late =
      fixture.m_cluster.Call(fixture.m_cluster.Completion(1, "late", 2, true));
  CHECK(FindStreamError(late, "late", 2) == "");
  entry.Signal(SIGTERM);
  fixture.CheckComplete();
  REQUIRE(
      fixture.m_cluster.Until([&] { return entry.ExitCode().has_value(); }));
  CHECK(entry.ExitCode() == 0);
}

// Guards against new requests at a draining endpoint, and against a drain that
// interrupts its streams.
TEST_CASE("an endpoint that drains gets no new work and keeps its streams") {
  StreamFixture fixture("drain-endpoint");
  fixture.Start(8);
  const std::uint16_t port = fixture.m_ports[0];
  const std::string address = "127.0.0.1:" + std::to_string(port);
  SUBCASE("drained through the API") {
    const Reply reply = fixture.m_cluster.Apply(
        1, "endpoint", "engine-1",
        R"({"name":"engine-1","fleet":"engines","availability_zone":"z1",)"
        R"("region":"r1","checks_fencing":true,"draining":true,"address":")" +
            address + "\"}");
    CHECK(reply.m_status == 200);
  }
  SUBCASE("reported by the engine, which leaves later") {
    SetFaults(fixture.m_cluster, port, R"({"leave_in_ms":60000})");
  }
  SUBCASE("reclaimed by the platform with notice") {
    const std::string platform = fixture.m_cluster.PlatformUrl();
    CHECK(SetFaults(fixture.m_cluster, platform,
                    R"({"add_endpoints":[{"name":"engine-1",)"
                    R"("fleet":"engines","availability_zone":"z1",)"
                    R"("endpoint_class":"cheap","address":")" +
                        address + "\"}]}"));
    CHECK(SetFaults(fixture.m_cluster, platform,
                    R"({"reclaim":{"availability_zone":"z1",)"
                    R"("notice_ms":60000}})"));
  }
  fixture.CheckNoNewWork(port);
  fixture.CheckComplete();
}

// Guards against streams that fail when their cheap endpoint is reclaimed.
TEST_CASE("streams of a reclaimed cheap endpoint go on elsewhere") {
  StreamFixture fixture("drain-reclaim");
  fixture.Start(8);
  SetFaults(fixture.m_cluster, fixture.m_ports[0], R"({"leave_in_ms":1500})");
  fixture.CheckComplete();
  CHECK(fixture.m_cluster.Endpoint(fixture.m_ports[0]).ExitCode().has_value());
}

}  // namespace
}  // namespace comfreypaddle::testing
