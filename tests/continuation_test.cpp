// Requests whose attempt brings no response: each path on which they could go
// on at another endpoint while the one before works on them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

// Lets time pass as the relay task does.
void Pass(RelayFixture& f, Duration time) {
  constexpr Duration kTick = milliseconds(20);
  for (Duration passed{0}; passed < time; passed += kTick) {
    f.m_now += kTick;
    TickCalls(f.m_state);
  }
}

// Makes e1 and e2 prefill and e3 decode endpoints, and all routes prompts.
void UseEngines(RelayFixture& f) {
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  for (schema::CatalogRoute& route : *catalog.mutable_routes()) {
    route.set_prompt(true);
    route.set_target_ms(1000);
  }
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  f.m_format.m_prompt_tokens = 20'000;
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_stage =
        id == "e3" ? EngineStage::kDecode : EngineStage::kPrefill;
  }
}

// Guards against a request that goes on elsewhere after a time without a
// response, while its endpoint works on it.
TEST_CASE("a silent endpoint keeps its request") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(1U, 504, _, _));
  SUBCASE("stream") { f.Ask(1, "/again/x"); }
  SUBCASE("plain request") { f.Ask(1, "/safe/x"); }
  Pass(f, milliseconds(2900));
  CHECK(f.m_endpoints.m_calls.size() == 1);
  CHECK(f.m_endpoints.m_cancelled.empty());
  // Other requests avoid it meanwhile.
  const BalanceEndpoint& endpoint =
      f.m_state.m_balance.m_endpoints.at(f.m_endpoints.To(0));
  CHECK(endpoint.m_failures == 1);
  Pass(f, milliseconds(200));
  CHECK(f.m_state.m_calls.empty());
  CHECK(f.m_endpoints.m_cancelled.size() == 1);
}

// Guards against a response that is thrown away because it came late.
TEST_CASE("a response after a long silence is delivered") {
  RelayFixture f;
  f.Ask(1, "/safe/x");
  Pass(f, milliseconds(2500));
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "late"));
  f.Answer(0, 200, {}, "late");
}

// Guards against a prompt that is read at a second endpoint while the first one
// still reads it.
TEST_CASE("a silent prefill is not repeated elsewhere") {
  RelayFixture f;
  UseEngines(f);
  ALLOW_CALL(f.m_callers, Respond(1U, _, _, _));
  f.Ask(1, "/again/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  REQUIRE(f.m_endpoints.To(0) != "e3");
  Pass(f, milliseconds(2900));
  CHECK(f.m_endpoints.m_calls.size() == 1);
  CHECK(f.m_endpoints.m_cancelled.empty());
}

// Guards against requests that wait for the end of a prefill whose response is
// lost: it executes nothing and may be repeated.
TEST_CASE("a request whose prefill broke goes on at once") {
  RelayFixture f;
  UseEngines(f);
  f.Ask(1, "/stream/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  SUBCASE("before its response") { f.Break(0, true); }
  SUBCASE("in its response") {
    f.m_endpoints.m_events.at(0).m_on_head(200, {});
    f.Break(0, true);
  }
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e3");
}

// Guards against a stream that pauses after its begin and goes on elsewhere.
TEST_CASE("a stream that stalls keeps its endpoint") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Ask(1, "/again/x");
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\n");
  Pass(f, milliseconds(2900));
  CHECK(f.m_endpoints.m_calls.size() == 1);
  CHECK(f.m_endpoints.m_cancelled.empty());
}

// Guards against timeouts that have expired when a paused instance wakes.
TEST_CASE("an instance that was paused sends nothing elsewhere as it wakes") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  f.Ask(2, "/safe/x");
  f.m_now += milliseconds(2800);
  TickCalls(f.m_state);
  CHECK(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.m_cancelled.empty());
}

// How an attempt at a stream ends without a valid response.
struct BrokenStream {
  HttpError m_error;
  bool m_has_begun;
};

// Sends a resumable stream whose attempt ends in this way.
void BreakStream(RelayFixture& f, const BrokenStream& broken) {
  f.Ask(1, "/again/x");
  const HttpEvents events = f.m_endpoints.m_events.at(0);
  if (broken.m_has_begun) {
    events.m_on_head(200, {{"stream", "1"}});
    events.m_on_body("id: 1\ndata: a\n\n");
  }
  events.m_on_end({broken.m_error, broken.m_has_begun ? 200 : 0, true});
}

BrokenStream ChooseBrokenStream() {
  BrokenStream broken{HttpError::kConnectionLost, false};
  SUBCASE("the connection breaks before the response") {}
  SUBCASE("the connection breaks in the response") {
    broken.m_has_begun = true;
  }
  SUBCASE("bytes that are no response") {
    broken.m_error = HttpError::kMalformedResponse;
  }
  SUBCASE("a response that is too large") {
    broken.m_error = HttpError::kTooLarge;
    broken.m_has_begun = true;
  }
  return broken;
}

// Guards against a broken connection, or one that the instance closed, that is
// taken for the end of the work.
TEST_CASE("a broken stream does not go on elsewhere while it may still run") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  bool ended = false;
  ALLOW_CALL(f.m_callers, Respond(1U, 502, _, _)).LR_SIDE_EFFECT(ended = true);
  ALLOW_CALL(f.m_callers, Abort(1U)).LR_SIDE_EFFECT(ended = true);
  BreakStream(f, ChooseBrokenStream());
  CHECK(f.m_endpoints.m_inquiries.size() == 1);
  // The endpoint names it among its runs as long as it is asked.
  for (int i = 0; i < 70; ++i) {
    f.m_endpoints.AnswerInquiries("0 1 t1");
    Pass(f, milliseconds(20));
  }
  CHECK(f.m_endpoints.m_calls.size() == 1);
  CHECK_FALSE(ended);
  // Its caller is told in time to resume it itself.
  Pass(f, milliseconds(200));
  CHECK(ended);
  CHECK(f.m_state.m_counters.m_ends[EndReason::kMayStillRun] == 1);
}

// Guards against streams that end although their endpoint has stopped working
// on them.
TEST_CASE("a broken stream goes on elsewhere once its endpoint has ended it") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  const BrokenStream broken = ChooseBrokenStream();
  BreakStream(f, broken);
  f.m_endpoints.AnswerInquiries("0 1 t1");
  for (int i = 0; i < 72; ++i) {
    f.m_endpoints.AnswerInquiries("0 1 t2");
    Pass(f, milliseconds(20));
  }
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) != f.m_endpoints.To(0));
  CHECK(f.m_state.m_counters.m_continued[EndProof::kAbsent] == 1);
}

// Guards against streams that end with an endpoint that has crashed.
TEST_CASE("a stream goes on elsewhere at once when its endpoint has crashed") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  f.Break(0, true);
  CHECK(f.m_endpoints.m_calls.size() == 1);
  f.m_endpoints.RefuseInquiries();
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_state.m_counters.m_continued[EndProof::kGone] == 1);
}

// Guards against lost packets, and against resets by an endpoint that lacks
// room for connections, that are taken for an endpoint that is gone (TWICE).
TEST_CASE("connections that are not refused do not show that nothing runs") {
  RelayFixture f;
  HttpError error = HttpError::kConnectTimeout;
  SUBCASE("not made in time") {}
  SUBCASE("reset as they were made") { error = HttpError::kConnectFailed; }
  SUBCASE("reset by the endpoint") { error = HttpError::kConnectionLost; }
  f.Ask(1, "/again/x");
  f.Break(0, true);
  f.m_endpoints.RefuseInquiries(error);
  for (int i = 0; i < 4; ++i) {
    CHECK(f.m_endpoints.m_calls.size() == 1);
    Pass(f, milliseconds(300));
    f.m_endpoints.RefuseInquiries(error);
  }
  CHECK(f.m_endpoints.m_calls.size() == 1);
  // Its caller is told in time to resume it itself.
  REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
  Pass(f, milliseconds(500));
}

// Guards against a response without a length that is taken for complete, though
// its last event is cut.
TEST_CASE("a stream that ends within an event is broken") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Ask(1, "/again/x");
  f.Answer(0, 200, {{"stream", "1"}}, "id: 1\ndata: a\n\nid: 2\nda");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  f.m_endpoints.RefuseInquiries();
  CHECK(f.m_endpoints.m_calls.size() == 2);
}

// Guards against endpoints that accept no connections but work on: what the
// instance closed itself says nothing about them.
TEST_CASE("a stream that the instance gave up needs more than a refusal") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  f.m_endpoints.m_events.at(0).m_on_end(
      {HttpError::kMalformedResponse, 0, true});
  f.m_endpoints.RefuseInquiries();
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

// Guards against one question for each of many requests that break together,
// and against questions to an endpoint that wants nothing from this instance.
TEST_CASE("requests that break together share the questions") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_draining = id != "e1";
  }
  for (std::uint64_t id = 1; id <= 4; ++id) f.Ask(id, "/again/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 4);
  SUBCASE("asked") {
    for (std::size_t call = 0; call < 4; ++call) f.Break(call, true);
    CHECK(f.m_endpoints.m_inquiries.size() == 1);
    Pass(f, milliseconds(1000));
    CHECK(f.m_state.m_counters.m_reports_asked == 1);
    f.m_endpoints.AnswerInquiries("0 1 t1");
    Pass(f, milliseconds(400));
    CHECK(f.m_state.m_counters.m_reports_asked == 2);
  }
  SUBCASE("an endpoint that asked for a pause") {
    f.m_state.m_balance.m_endpoints.at("e1").m_full_until =
        f.m_now + seconds(10);
    for (std::size_t call = 0; call < 4; ++call) f.Break(call, true);
    Pass(f, milliseconds(1000));
    CHECK(f.m_state.m_counters.m_reports_asked == 0);
  }
}

// Guards against retries that are charged to the budget in one window and
// arrive in a later one.
TEST_CASE("a retry is charged when it is sent") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Ask(1, "/again/x");
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\n");
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_draining = true;
  }
  f.Crash(0);
  CHECK(f.m_endpoints.m_calls.size() == 1);
  CHECK(ResendUseOf(f.m_state.m_resends, "s", f.m_now).m_resends == 0);
  Pass(f, milliseconds(600));
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_draining = false;
  }
  Pass(f, milliseconds(20));
  CHECK(f.m_endpoints.m_calls.size() == 2);
  CHECK(ResendUseOf(f.m_state.m_resends, "s", f.m_now).m_resends == 1);
}

// Guards against retries that hold the budget for good, because their endpoint
// breaks every connection without a response.
TEST_CASE("a retry whose connection broke leaves the budget after a window") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  f.Ask(1, "/safe/x");
  f.Break(0, true);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  SUBCASE("broken") { f.Break(1, true); }
  SUBCASE("not connected") { f.Break(1, false); }
  CHECK(ResendUseOf(f.m_state.m_resends, "s", f.m_now).m_resends == 1);
  CHECK(
      ResendUseOf(f.m_state.m_resends, "s", f.m_now + seconds(11)).m_resends ==
      0);
}

// Guards against an attempt that releases another one's retry when it ends.
TEST_CASE("a retry that breaks after its response began releases no other") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, StartStream(_, _, _));
  ALLOW_CALL(f.m_callers, Write(_, _));
  ALLOW_CALL(f.m_callers, Abort(1U));
  const auto use_only = [&f](const std::string& used) {
    for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
      endpoint.m_draining = id != used;
    }
  };
  use_only("e1");
  f.Ask(1, "/again/x");
  use_only("e2");
  f.Crash(0);
  f.m_endpoints.m_events.at(1).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(1).m_on_body("id: 1\ndata: a\n\n");
  use_only("e3");
  f.Ask(2, "/safe/x");
  use_only("e2");
  f.Break(2, true);
  REQUIRE(f.m_endpoints.To(3) == "e2");
  f.Break(1, true);
  CHECK(
      ResendUseOf(f.m_state.m_resends, "s", f.m_now + seconds(11)).m_resends ==
      1);
}

// Guards against retries that are forgotten while they may still arrive.
TEST_CASE("a retry that was given up counts until its endpoint responds") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.Ask(1, "/safe/x");
  f.Break(0, true);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  Pass(f, milliseconds(3100));
  CHECK(f.m_state.m_calls.empty());
  const auto used = [&f] {
    return ResendUseOf(f.m_state.m_resends, "s", f.m_now).m_resends;
  };
  Pass(f, seconds(15));
  CHECK(used() == 1);
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_draining = id != f.m_endpoints.To(1);
  }
  f.Ask(2, "/safe/x");
  f.Answer(2, 200, {}, "body");
  CHECK(used() == 1);
  Pass(f, seconds(11));
  CHECK(used() == 0);
}

}  // namespace
}  // namespace comfreypaddle::testing
