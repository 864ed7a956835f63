// Guarantee G11: a non-repeatable call runs at most once.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

// Three entry instances in front of one replica of a service.
struct ServiceFixture {
  explicit ServiceFixture(const std::string& name) : m_cluster(name) {
    m_cluster.StartPlatform();
    m_service = m_cluster.StartService();
    m_cluster.StartEntries(3);
    m_cluster.ApplyDefaultResources({}, {m_service});
    for (int entry = 1; entry <= 3; ++entry) {
      const std::string path = "/desk/ready-" + std::to_string(entry);
      m_cluster.Until([&] { return Send(entry, path).m_status == 200; });
    }
  }

  Reply Send(int entry, const std::string& path) {
    return m_cluster.Call(m_cluster.Desk(entry, path, KeyOf(path)));
  }

  std::shared_ptr<Reply> Start(int entry, const std::string& path) {
    HttpCall call = m_cluster.Desk(entry, path, KeyOf(path));
    call.m_timeout = std::chrono::seconds(20);
    return m_cluster.StartCall(std::move(call));
  }

  int Runs(const std::string& path) {
    return Executions(m_cluster, m_service, path);
  }

  bool WaitForRun(const std::string& path) {
    return m_cluster.Until([&] { return Runs(path) > 0; });
  }

  // Resends the call through the instance until the reply has the outcome.
  bool WaitForOutcome(int entry, const std::string& path,
                      const std::string& outcome) {
    return m_cluster.Until(
        [&] { return OutcomeIn(Send(entry, path)) == outcome; },
        std::chrono::seconds(10));
  }

  static std::string KeyOf(const std::string& path) { return "k" + path; }

  Cluster m_cluster;
  std::uint16_t m_service = 0;
};

// Guards against two instances both running a call, and against reporting
// not_run to the caller that lost the race.
TEST_CASE("a call sent through two instances at once runs once") {
  ServiceFixture fixture("once-race");
  for (int round = 0; round < 10; ++round) {
    CAPTURE(round);
    const std::string path = "/desk/race-" + std::to_string(round);
    const auto one = fixture.Start(1, path);
    const auto two = fixture.Start(2, path);
    REQUIRE(
        fixture.m_cluster.Until([&] { return one->m_ended && two->m_ended; }));
    CHECK(fixture.Runs(path) == 1);
    const Reply& won = one->m_status == 200 ? *one : *two;
    const Reply& lost = one->m_status == 200 ? *two : *one;
    CHECK(won.m_status == 200);
    CHECK(lost.m_status == 409);
    const std::string outcome = OutcomeIn(lost);
    CHECK((outcome == "unknown" || outcome == "ran"));
    CHECK(fixture.WaitForOutcome(3, path, "ran"));
    CHECK(fixture.Runs(path) == 1);
  }
}

// Guards against a second run by an instance that was paused, before it read
// the call or while the call ran, after the call was resent elsewhere.
TEST_CASE("a call of a paused instance that is sent again runs once") {
  ServiceFixture fixture("once-pause");
  Process& entry = fixture.m_cluster.Entry(1);
  entry.Signal(SIGSTOP);
  const auto before = fixture.Start(1, "/desk/before");
  const Reply resent = fixture.Send(2, "/desk/before");
  CHECK(resent.m_status == 200);
  entry.Signal(SIGCONT);
  REQUIRE(fixture.m_cluster.Until([&] { return before->m_ended; }));
  CHECK(before->m_status != 200);
  CHECK(fixture.Runs("/desk/before") == 1);

  REQUIRE(fixture.m_cluster.Until(
      [&] { return fixture.Send(1, "/desk/again").m_status == 200; }));
  SetFaults(fixture.m_cluster, fixture.m_service, R"({"answer_delay_ms":300})");
  const auto during = fixture.Start(1, "/desk/during");
  REQUIRE(fixture.WaitForRun("/desk/during"));
  entry.Signal(SIGSTOP);
  const Reply second = fixture.Send(2, "/desk/during");
  CHECK(second.m_status == 409);
  CHECK(OutcomeIn(second) == "unknown");
  entry.Signal(SIGCONT);
  REQUIRE(fixture.m_cluster.Until([&] { return during->m_ended; }));
  CHECK(fixture.WaitForOutcome(3, "/desk/during", "ran"));
  CHECK(fixture.Runs("/desk/during") == 1);
}

// Guards against another instance taking over the claim of a killed instance,
// which would run the call again.
TEST_CASE("a call whose instance was killed is not run again") {
  ServiceFixture fixture("once-kill");
  SetFaults(fixture.m_cluster, fixture.m_service, R"({"hang_calls":1})");
  const auto call = fixture.Start(1, "/desk/kill");
  REQUIRE(fixture.WaitForRun("/desk/kill"));
  fixture.m_cluster.Entry(1).Signal(SIGKILL);
  REQUIRE(fixture.m_cluster.Until([&] { return call->m_ended; }));
  CHECK(call->m_error);
  for (const int entry : {2, 3, 2}) {
    const Reply resent = fixture.Send(entry, "/desk/kill");
    CHECK(resent.m_status == 409);
    CHECK(OutcomeIn(resent) == "unknown");
  }
  CHECK(fixture.Runs("/desk/kill") == 1);
}

// Guards against running a call without a claim during a log outage, and
// against a second run after the response to an append was lost.
TEST_CASE("log outages and lost append answers lead to no second run") {
  ServiceFixture fixture("once-log");
  const std::string platform = fixture.m_cluster.PlatformUrl();
  SetFaults(fixture.m_cluster, platform, R"({"log_outage":"refuse"})");
  const Reply refused = fixture.Send(1, "/desk/outage");
  CHECK(refused.m_status == 503);
  CHECK(OutcomeIn(refused) == "not_run");
  CHECK(fixture.Runs("/desk/outage") == 0);
  SetFaults(fixture.m_cluster, platform, R"({"log_outage":"none"})");
  REQUIRE(fixture.m_cluster.Until(
      [&] { return fixture.Send(2, "/desk/outage").m_status == 200; }));
  CHECK(fixture.Runs("/desk/outage") == 1);

  for (int round = 0; round < 5; ++round) {
    CAPTURE(round);
    const std::string path = "/desk/lost-" + std::to_string(round);
    SetFaults(fixture.m_cluster, platform, R"({"lose_append_answers":2})");
    const auto one = fixture.Start(1, path);
    const auto two = fixture.Start(2, path);
    REQUIRE(
        fixture.m_cluster.Until([&] { return one->m_ended && two->m_ended; }));
    const int runs = fixture.Runs(path);
    CHECK(runs <= 1);
    const int answered = (one->m_status == 200) + (two->m_status == 200);
    CHECK(answered == runs);
    for (const auto& reply : {one, two}) {
      if (OutcomeIn(*reply) == "ran") CHECK(runs == 1);
    }
  }
}

// Guards against retrying a call whose answer was lost, and against reporting
// it as not_run.
TEST_CASE("a call whose answer was lost is reported as unknown") {
  ServiceFixture fixture("once-lost");
  SetFaults(fixture.m_cluster, fixture.m_service, R"({"lose_answers":2})");
  const Reply reply = fixture.Send(1, "/desk/lost");
  CHECK(reply.m_status >= 500);
  CHECK(OutcomeIn(reply) == "unknown");
  const Reply without_key =
      fixture.m_cluster.Call(fixture.m_cluster.Desk(2, "/desk/plain", ""));
  CHECK(OutcomeIn(without_key) == "unknown");
  CHECK(fixture.WaitForOutcome(3, "/desk/lost", "unknown"));
  CHECK(fixture.Runs("/desk/lost") == 1);
  CHECK(fixture.Runs("/desk/plain") == 1);
}

}  // namespace
}  // namespace comfreypaddle::testing
