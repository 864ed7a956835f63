// Requests that run at two endpoints at once: who answers, and what becomes of
// the other.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hedgedcall.h"

#include "crashwatch.h"
#include "finish.h"
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

// An instance that hedges requests after 200 ms, half of their target time.
struct HedgeFixture : RelayFixture {
  HedgeFixture() {
    m_state.m_hedges.m_limits.m_enabled = true;
    const HedgeRoute route{"s", "/safe/"};
    for (int i = 0; i < 20; ++i) {
      CreditRequest(m_state.m_hedges, route, m_now - seconds(10));
    }
  }

  // Sends a request that is hedged: calls 0 and 1.
  void AskHedged() {
    Ask(1, "/safe/x");
    Wait(milliseconds(220));
    REQUIRE(m_endpoints.m_calls.size() == 2);
    REQUIRE(m_endpoints.To(0) != m_endpoints.To(1));
  }

  void Wait(Duration time) {
    m_now += time;
    TickCalls(m_state);
  }

  std::uint32_t Running() const {
    std::uint32_t running = 0;
    for (const auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
      running += endpoint.m_running;
    }
    return running;
  }

  std::uint64_t Usage() const {
    std::uint64_t requests = 0;
    for (const auto& [key, count] : m_state.m_usage) requests += count;
    return requests;
  }

  // Checks what holds however a hedged request ends.
  void CheckEnded() {
    CHECK(m_state.m_calls.empty());
    CHECK(Running() == 0);
    CHECK(Usage() <= 1);
  }
};

TEST_CASE("a slow request is sent to a second endpoint, with the same id") {
  HedgeFixture f;
  f.Ask(1, "/safe/x");
  f.Wait(milliseconds(180));
  CHECK(f.m_endpoints.m_calls.size() == 1);
  f.Wait(milliseconds(20));
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.m_calls.at(1).m_request_id == "t1");
  CHECK(f.m_state.m_counters.m_resends == 1);
  CHECK(ResendUseOf(f.m_state.m_resends, "s", f.m_now).m_resends == 1);
  CHECK(f.Running() == 2);
  // Once is enough.
  f.Wait(milliseconds(500));
  CHECK(f.m_endpoints.m_calls.size() == 2);
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "b"));
  f.Answer(1, 200, {}, "b");
}

// Failure: two responses, a run that goes on, or load that stays counted.
TEST_CASE("the first complete response counts and the other is cancelled") {
  HedgeFixture f;
  f.AskHedged();
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "whole"));
  SUBCASE("of the second endpoint") {
    f.Answer(1, 200, {}, "whole");
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{1});
    CHECK(f.m_state.m_hedges.m_counters.m_won == 1);
  }
  SUBCASE("of the first endpoint") {
    f.Answer(0, 200, {}, "whole");
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{2});
    CHECK(f.m_state.m_hedges.m_counters.m_won == 0);
  }
  SUBCASE("of the second endpoint while the first one sends") {
    f.m_endpoints.m_events.at(0).m_on_head(200, {{"first", "1"}});
    f.m_endpoints.m_events.at(0).m_on_body("par");
    f.Answer(1, 200, {}, "whole");
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{1});
  }
  SUBCASE("of the first endpoint while the second one sends") {
    f.m_endpoints.m_events.at(1).m_on_head(200, {});
    f.m_endpoints.m_events.at(1).m_on_body("par");
    f.Answer(0, 200, {}, "whole");
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{2});
  }
  f.CheckEnded();
  CHECK(f.Usage() == 1);
}

// Failure: a request that one endpoint alone could answer ends because its
// hedge holds memory.
TEST_CASE("the hedge gives way where memory is short") {
  HedgeFixture f;
  f.AskHedged();
  const std::string large(7U << 20U, 'x');
  for (std::uint64_t id = 2; id <= 4; ++id) {
    f.Ask(id, "/safe/x");
    f.m_endpoints.m_events.at(id).m_on_head(200, {});
    f.m_endpoints.m_events.at(id).m_on_body(large);
  }
  const std::string part(5U << 20U, 'x');
  f.m_endpoints.m_events.at(1).m_on_head(200, {});
  f.m_endpoints.m_events.at(1).m_on_body(part);
  f.m_endpoints.m_events.at(0).m_on_head(200, {});
  f.m_endpoints.m_events.at(0).m_on_body(part);
  CHECK(f.m_endpoints.m_cancelled.empty());
  f.m_endpoints.m_events.at(0).m_on_body("rest");
  CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{2});
  REQUIRE(FindRelayCall(f.m_state, 1) != nullptr);
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, part + "rest"));
  f.m_endpoints.m_events.at(0).m_on_end({HttpError::kOk, 200, true});
}

// How one of the two endpoints fails.
enum class Fault { kReset, kUnreached, kPartial, kRefusal, kOther, kError };

void Fail(HedgeFixture& f, std::size_t call, Fault fault) {
  switch (fault) {
    case Fault::kReset:
      f.Break(call, true);
      break;
    case Fault::kUnreached:
      f.Break(call, false);
      break;
    case Fault::kPartial:
      f.m_endpoints.m_events.at(call).m_on_head(200, {});
      f.m_endpoints.m_events.at(call).m_on_body("par");
      f.Break(call, true);
      break;
    case Fault::kRefusal:
      f.Answer(call, 503, {{"not-run", "1"}});
      break;
    case Fault::kOther:
      f.Answer(call, 421, {{"not-run", "1"}});
      break;
    case Fault::kError:
      f.Answer(call, 500, {}, "error");
      break;
  }
}

// Failure: an error of one endpoint reaches the caller while the other works.
TEST_CASE("if one endpoint fails, the request goes on at the other") {
  for (const std::size_t failed : {0U, 1U}) {
    for (const Fault fault : {Fault::kReset, Fault::kUnreached, Fault::kPartial,
                              Fault::kRefusal, Fault::kOther, Fault::kError}) {
      CAPTURE(failed);
      CAPTURE(static_cast<int>(fault));
      HedgeFixture f;
      f.AskHedged();
      Fail(f, failed, fault);
      CHECK(f.m_endpoints.m_calls.size() == 2);
      CHECK(f.m_endpoints.m_cancelled.empty());
      CHECK(f.Running() == 1);
      REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "whole"));
      f.Answer(1 - failed, 200, {}, "whole");
      f.CheckEnded();
    }
  }
}

// Failure: more runs than the route allows, or two final responses.
TEST_CASE("if both endpoints fail, the request ends as after two attempts") {
  HedgeFixture f;
  f.AskHedged();
  REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
  SUBCASE("first, second") {
    f.Break(0, true);
    f.Break(1, true);
  }
  SUBCASE("second, first") {
    f.Break(1, true);
    f.Break(0, true);
  }
  CHECK(f.m_endpoints.m_calls.size() == 2);
  f.CheckEnded();
}

TEST_CASE("a hedge that was refused leaves its attempt to a retry") {
  HedgeFixture f;
  f.AskHedged();
  f.Answer(1, 503, {{"not-run", "1"}});
  f.Break(0, true);
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.To(2) != f.m_endpoints.To(0));
  CHECK(f.m_endpoints.To(2) != f.m_endpoints.To(1));
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "whole"));
  f.Answer(2, 200, {}, "whole");
  f.CheckEnded();
}

// Failure (GONE): one of the two runs goes on after the caller has left.
TEST_CASE("both attempts are cancelled with the request") {
  HedgeFixture f;
  f.AskHedged();
  SUBCASE("the caller leaves") { OnCallerDisconnected(f.m_state, 1); }
  SUBCASE("the deadline passes") {
    REQUIRE_CALL(f.m_callers, Respond(1U, 504, _, _));
    f.Wait(seconds(4));
  }
  SUBCASE("the instance stops") {
    REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
    EndAllCalls(f.m_state);
  }
  CHECK(f.m_endpoints.m_cancelled.size() == 2);
  f.CheckEnded();
}

// Failure: an event stream is joined with a response, or runs on unseen.
TEST_CASE("an event stream ends the hedging") {
  HedgeFixture f;
  f.AskHedged();
  SUBCASE("of the first endpoint") {
    REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
    REQUIRE_CALL(f.m_callers, Write(1U, "data: a\n\n"));
    REQUIRE_CALL(f.m_callers, FinishStream(1U));
    f.Answer(0, 200, {{"stream", "1"}}, "data: a\n\n");
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{2});
  }
  SUBCASE("of the second endpoint") {
    f.m_endpoints.m_events.at(1).m_on_head(200, {{"stream", "1"}});
    CHECK(f.m_endpoints.m_cancelled == std::vector<HttpPort::CallId>{2});
    REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "whole"));
    f.Answer(0, 200, {}, "whole");
  }
  f.CheckEnded();
}

// Guards against extra work where it must not be done.
TEST_CASE("a request is not hedged") {
  HedgeFixture f;
  std::string target = "/safe/x";
  auto& endpoints = f.m_state.m_balance.m_endpoints;
  SUBCASE("unless the settings say so") {
    f.m_state.m_hedges.m_limits.m_enabled = false;
  }
  SUBCASE("if it may run once only") { target = "/once/x"; }
  SUBCASE("if it is a stream") { target = "/stream/x"; }
  SUBCASE("if it is a stream that may be resumed") { target = "/again/x"; }
  SUBCASE("if the retry budget is small") {
    f.m_state.m_resends.m_limits = {0, seconds(10), 2};
  }
  SUBCASE("if it was sent to as many endpoints as a request may be") {
    f.Ask(1, target);
    FindRelayCall(f.m_state, 1)->m_sends = 4;
    f.Wait(milliseconds(220));
    CHECK(f.m_endpoints.m_calls.size() == 1);
    return;
  }
  SUBCASE("if its service is busy") {
    for (auto& [id, endpoint] : endpoints) endpoint.m_slots = 1;
    endpoints["e3"].m_running = 1;
  }
  SUBCASE("if no other endpoint is sound") {
    endpoints["e1"].m_draining = true;
    endpoints["e2"].m_avoid_until = f.m_now + seconds(10);
  }
  SUBCASE("if the others have named limits") {
    for (auto& [id, endpoint] : endpoints) {
      endpoint.m_limit.m_statement = LimitStatement{100, f.m_now};
      endpoint.m_limit.m_holders = 1;
      endpoint.m_limit.m_requests = 1;
      endpoint.m_limit.m_counted_at = f.m_now;
    }
  }
  SUBCASE("if an endpoint crashed under it") {
    f.Ask(9, target);
    const SuspectKey key{SuspectKind::kRequest,
                         FindRelayCall(f.m_state, 9)->m_fingerprint};
    OnCallerDisconnected(f.m_state, 9);
    f.m_endpoints.m_calls.clear();
    f.m_endpoints.m_events.clear();
    AddCrash(f.m_state.m_crashes, key, {CrashId("e9", 1), f.m_now});
  }
  SUBCASE("if its response has begun") {
    f.Ask(1, target);
    f.m_endpoints.m_events.at(0).m_on_head(200, {});
    f.Wait(milliseconds(500));
    CHECK(f.m_endpoints.m_calls.size() == 1);
    return;
  }
  f.Ask(1, target);
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  f.Wait(milliseconds(220));
  f.Wait(milliseconds(220));
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

// Failure: response times of hedges make requests look faster than they are,
// and hedges begin earlier and earlier.
TEST_CASE("the time at the first endpoint is learned") {
  HedgeFixture f;
  const auto samples = [&f] {
    return f.m_state.m_hedges.m_routes.at({"s", "/safe/"}).m_times.m_total;
  };
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.AskHedged();
  SUBCASE("also if the second one answers") {
    f.Answer(1, 200, {});
    CHECK(samples() == 1);
  }
  SUBCASE("not if it has failed") {
    f.Break(0, true);
    f.Answer(1, 200, {});
    CHECK(samples() == 0);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
