// Guarantee G11: a call that is not repeatable runs at most once.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

// Path through three instances, with one replica of the service.
struct Desks {
  explicit Desks(const std::string& name) : m_cluster(name) {
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

  // Waits until a resend through the instance is told the outcome.
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

// Guards against two instances that both run a call, and against a second
// caller who is told that the call did not run.
TEST_CASE("a call sent through two instances at once runs once") {
  Desks desks("once-race");
  for (int round = 0; round < 10; ++round) {
    CAPTURE(round);
    const std::string path = "/desk/race-" + std::to_string(round);
    const auto one = desks.Start(1, path);
    const auto two = desks.Start(2, path);
    REQUIRE(
        desks.m_cluster.Until([&] { return one->m_ended && two->m_ended; }));
    CHECK(desks.Runs(path) == 1);
    const Reply& won = one->m_status == 200 ? *one : *two;
    const Reply& lost = one->m_status == 200 ? *two : *one;
    CHECK(won.m_status == 200);
    CHECK(lost.m_status == 409);
    const std::string outcome = OutcomeIn(lost);
    CHECK((outcome == "unknown" || outcome == "ran"));
    CHECK(desks.WaitForOutcome(3, path, "ran"));
    CHECK(desks.Runs(path) == 1);
  }
}

// Guards against a paused instance that runs the call after another one did,
// whether it was paused before it read the call or while the call ran.
TEST_CASE("a call of a paused instance that is sent again runs once") {
  Desks desks("once-pause");
  Process& entry = desks.m_cluster.Entry(1);
  entry.Signal(SIGSTOP);
  const auto before = desks.Start(1, "/desk/before");
  const Reply resent = desks.Send(2, "/desk/before");
  CHECK(resent.m_status == 200);
  entry.Signal(SIGCONT);
  REQUIRE(desks.m_cluster.Until([&] { return before->m_ended; }));
  CHECK(before->m_status != 200);
  CHECK(desks.Runs("/desk/before") == 1);

  REQUIRE(desks.m_cluster.Until(
      [&] { return desks.Send(1, "/desk/again").m_status == 200; }));
  SetFaults(desks.m_cluster, desks.m_service, R"({"answer_delay_ms":300})");
  const auto during = desks.Start(1, "/desk/during");
  REQUIRE(desks.WaitForRun("/desk/during"));
  entry.Signal(SIGSTOP);
  const Reply second = desks.Send(2, "/desk/during");
  CHECK(second.m_status == 409);
  CHECK(OutcomeIn(second) == "unknown");
  entry.Signal(SIGCONT);
  REQUIRE(desks.m_cluster.Until([&] { return during->m_ended; }));
  CHECK(desks.WaitForOutcome(3, "/desk/during", "ran"));
  CHECK(desks.Runs("/desk/during") == 1);
}

// Guards against a takeover of the claim of an instance that is gone.
TEST_CASE("a call whose instance was killed is not run again") {
  Desks desks("once-kill");
  SetFaults(desks.m_cluster, desks.m_service, R"({"hang_calls":1})");
  const auto call = desks.Start(1, "/desk/kill");
  REQUIRE(desks.WaitForRun("/desk/kill"));
  desks.m_cluster.Entry(1).Signal(SIGKILL);
  REQUIRE(desks.m_cluster.Until([&] { return call->m_ended; }));
  CHECK(call->m_error);
  for (const int entry : {2, 3, 2}) {
    const Reply resent = desks.Send(entry, "/desk/kill");
    CHECK(resent.m_status == 409);
    CHECK(OutcomeIn(resent) == "unknown");
  }
  CHECK(desks.Runs("/desk/kill") == 1);
}

// Guards against a call that runs without a claim while the log is down, and
// against a second run after the answer of an append was lost.
TEST_CASE("log outages and lost append answers lead to no second run") {
  Desks desks("once-log");
  const std::string platform = desks.m_cluster.PlatformUrl();
  SetFaults(desks.m_cluster, platform, R"({"log_outage":"refuse"})");
  const Reply refused = desks.Send(1, "/desk/outage");
  CHECK(refused.m_status == 503);
  CHECK(OutcomeIn(refused) == "not_run");
  CHECK(desks.Runs("/desk/outage") == 0);
  SetFaults(desks.m_cluster, platform, R"({"log_outage":"none"})");
  REQUIRE(desks.m_cluster.Until(
      [&] { return desks.Send(2, "/desk/outage").m_status == 200; }));
  CHECK(desks.Runs("/desk/outage") == 1);

  for (int round = 0; round < 5; ++round) {
    CAPTURE(round);
    const std::string path = "/desk/lost-" + std::to_string(round);
    SetFaults(desks.m_cluster, platform, R"({"lose_append_answers":2})");
    const auto one = desks.Start(1, path);
    const auto two = desks.Start(2, path);
    REQUIRE(
        desks.m_cluster.Until([&] { return one->m_ended && two->m_ended; }));
    const int runs = desks.Runs(path);
    CHECK(runs <= 1);
    const int answered = (one->m_status == 200) + (two->m_status == 200);
    CHECK(answered == runs);
    for (const auto& reply : {one, two}) {
      if (OutcomeIn(*reply) == "ran") CHECK(runs == 1);
    }
  }
}

// Guards against a retry of a call whose answer was lost, and against the
// outcome not_run for it.
TEST_CASE("a call whose answer was lost is reported as unknown") {
  Desks desks("once-lost");
  SetFaults(desks.m_cluster, desks.m_service, R"({"lose_answers":2})");
  const Reply reply = desks.Send(1, "/desk/lost");
  CHECK(reply.m_status >= 500);
  CHECK(OutcomeIn(reply) == "unknown");
  const Reply without_key =
      desks.m_cluster.Call(desks.m_cluster.Desk(2, "/desk/plain", ""));
  CHECK(OutcomeIn(without_key) == "unknown");
  CHECK(desks.WaitForOutcome(3, "/desk/lost", "unknown"));
  CHECK(desks.Runs("/desk/lost") == 1);
  CHECK(desks.Runs("/desk/plain") == 1);
}

}  // namespace
}  // namespace comfreypaddle::testing
