#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "crashwatch.h"
#include "finish.h"
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

TEST_CASE("an answer is passed on whole and counted for its workspace") {
  RelayFixture f;
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "body"));
  f.Ask(1, "/once/x?y=%20");
  CHECK(f.m_endpoints.m_calls.at(0).m_url == "http://127.0.0.1:1/once/x?y=%20");
  CHECK(f.m_endpoints.m_calls.at(0).m_headers.at(1).m_value == "w");
  f.Answer(0, 200, {}, "body");
  CHECK(f.m_state.m_calls.empty());
  CHECK(f.m_state.m_usage.size() == 1);
}

TEST_CASE("unknown routes and keys are refused and reach no endpoint") {
  RelayFixture f;
  REQUIRE_CALL(f.m_callers, Respond(1U, 404, _, _));
  f.Ask(1, "/none/x");
  REQUIRE_CALL(f.m_callers, Respond(2U, 401, _, _));
  f.Ask(2, "/once/x", "wrong");
  f.m_state.m_catalog = nullptr;
  REQUIRE_CALL(f.m_callers, Respond(3U, 503, _, _))
      .WITH(HasField(_3, "Retry-After"));
  f.Ask(3, "/once/x");
  CHECK(f.m_endpoints.m_calls.empty());
}

// Guards against executing a request twice that must not be repeated.
TEST_CASE("a request that may have run is not sent again unless it may be") {
  RelayFixture f;
  REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
  f.Ask(1, "/once/x");
  f.Break(0, true);
  CHECK(f.m_endpoints.m_calls.size() == 1);
  // An execution whose response is lost counts as usage.
  CHECK(f.m_state.m_usage.size() == 1);

  f.Ask(2, "/safe/x");
  f.Break(1, true);
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.To(2) != f.m_endpoints.To(1));
  REQUIRE_CALL(f.m_callers, Respond(2U, 502, _, _));
  f.Break(2, true);
}

// Guards against responses that are each within the limit and fill the memory
// together. The one that holds most is ended, and the small one is not.
TEST_CASE("responses that are too large together are cut down to a limit") {
  constexpr std::size_t kPieceBytes = 1U << 20U;
  constexpr std::size_t kMaxTogether = 33U << 20U;
  RelayFixture f;
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_slots = 20;
  }
  f.Ask(1, "/once/small");
  f.m_endpoints.m_events.at(0).m_on_head(200, {});
  f.m_endpoints.m_events.at(0).m_on_body("small");
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  for (std::uint64_t id = 2; id <= 12; ++id) {
    f.Ask(id, "/once/large");
    f.m_endpoints.m_events.at(id - 1).m_on_head(200, {});
  }
  for (int piece = 0; piece < 7; ++piece) {
    for (std::uint64_t id = 2; id <= 12; ++id) {
      if (FindRelayCall(f.m_state, id) == nullptr) continue;
      f.m_endpoints.m_events.at(id - 1).m_on_body(
          std::string(kPieceBytes, 'x'));
      std::size_t held = 0;
      for (const auto& [key, call] : f.m_state.m_calls) {
        held += call->m_attempt.m_body.size();
      }
      CHECK(held <= kMaxTogether);
    }
  }
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "small"));
  f.m_endpoints.m_events.at(0).m_on_end({HttpError::kOk, 200, true});
}

// Guards against reporting an executed request as not executed.
TEST_CASE("a rejected request goes elsewhere and is refused as not run") {
  RelayFixture f;
  f.Ask(1, "/once/x");
  f.Answer(0, 503, {{"not-run", "1"}});
  f.Answer(1, 503, {{"not-run", "1"}});
  REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _))
      .WITH(HasField(_3, "Retry-After"));
  f.Answer(2, 503, {{"not-run", "1"}});
  for (int i = 0; i < 10 && !f.m_state.m_calls.empty(); ++i) {
    f.m_now += milliseconds(20);
    TickCalls(f.m_state);
  }
  CHECK(f.m_state.m_calls.empty());
}

// Guards against rejected prefills that are not charged to the retry budget.
TEST_CASE("a prompt that is not read counts as a repeated send") {
  RelayFixture f;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  catalog.mutable_routes(2)->set_prompt(true);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  auto& endpoints = f.m_state.m_balance.m_endpoints;
  endpoints["e1"].m_stage = EngineStage::kPrefill;
  endpoints["e2"].m_stage = EngineStage::kDecode;
  // Long waits at the decode endpoint move the prefill to another one.
  endpoints["e2"].m_wait_ms = 5000;
  endpoints["e2"].m_wait_sampled_at = f.m_now;
  f.m_state.m_resends.m_limits = {0, seconds(10), 0};
  f.Ask(1, "/stream/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  CHECK(f.m_endpoints.To(0) == "e1");
  REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _));
  f.Answer(0, 421, {{"not-run", "1"}});
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

TEST_CASE("a request that no endpoint can take is refused in good time") {
  RelayFixture f;
  f.m_state.m_balance.m_endpoints.clear();
  f.Ask(1, "/once/x");
  f.m_now += milliseconds(20);
  TickCalls(f.m_state);
  REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _));
  f.m_now += milliseconds(60);
  TickCalls(f.m_state);
}

TEST_CASE("the deadline ends a request with a final answer") {
  RelayFixture f;
  f.Ask(1, "/once/x");
  REQUIRE_CALL(f.m_callers, Respond(1U, 504, _, _));
  f.m_now += milliseconds(3000);
  TickCalls(f.m_state);
  CHECK(f.m_endpoints.m_cancelled.size() == 1);
}

TEST_CASE("a caller that leaves has its run cancelled") {
  RelayFixture f;
  f.Ask(1, "/stream/x");
  OnCallerDisconnected(f.m_state, 1);
  CHECK(f.m_endpoints.m_cancelled.size() == 1);
  CHECK(f.m_state.m_calls.empty());
}

// Guards against a truncated stream that looks complete to the caller.
TEST_CASE("a stream that breaks off is aborted, not ended") {
  RelayFixture f;
  f.Ask(1, "/stream/x");
  REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
  REQUIRE_CALL(f.m_callers, Write(1U, "id: 1\ndata: a\n\n"));
  REQUIRE_CALL(f.m_callers, Abort(1U));
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\nid: 2\nda");
  f.Break(0, true);
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

// Guards against lost, duplicated and merged events after a resume.
TEST_CASE("a stream that may be resumed goes on behind its last event") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  trompeloeil::sequence order;
  REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _)).IN_SEQUENCE(order);
  REQUIRE_CALL(f.m_callers, Write(1U, "id: 1\ndata: a\n\n")).IN_SEQUENCE(order);
  REQUIRE_CALL(f.m_callers, Write(1U, "id: 2\ndata: b\n\n")).IN_SEQUENCE(order);
  REQUIRE_CALL(f.m_callers, FinishStream(1U)).IN_SEQUENCE(order);
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\nid: 2\nda");
  f.Crash(0);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(*FindFieldIgnoreCase(f.m_endpoints.m_calls.at(1).m_headers, "after") ==
        "1");
  f.Answer(1, 200, {{"stream", "1"}}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Failure: the text or head of an error in the middle of a stream that has
// begun, or a stream that ends as if it were complete (ORDER, MIXED).
TEST_CASE("an error of the next endpoint does not enter a begun stream") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
  REQUIRE_CALL(f.m_callers, Write(1U, "id: 1\ndata: a\n\n"));
  REQUIRE_CALL(f.m_callers, Abort(1U));
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\n");
  f.Crash(0);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  const std::string text = "id: 2\ndata: error\n\n";
  SUBCASE("server error") { f.Answer(1, 500, {}, text); }
  SUBCASE("server error of the type of a stream") {
    f.Answer(1, 500, {{"stream", "1"}}, text);
  }
  SUBCASE("caller's error") { f.Answer(1, 404, {{"stream", "1"}}, text); }
  SUBCASE("whole response") { f.Answer(1, 200, {}, text); }
  SUBCASE("no content") { f.Answer(1, 204, {}, ""); }
  SUBCASE("rejections, until no endpoint is left") {
    f.Answer(1, 503, {{"not-run", "1"}}, text);
    REQUIRE(f.m_endpoints.m_calls.size() == 3);
    f.Answer(2, 503, {{"not-run", "1"}}, text);
    f.m_now += seconds(4);
    TickCalls(f.m_state);
  }
  SUBCASE("a stream that goes on elsewhere") {
    f.Answer(1, 200, {{"stream", "1"}}, "id: 3\ndata: c\n\n");
  }
  SUBCASE("no answer") { f.Crash(1); }
  CHECK(f.m_state.m_calls.empty());
}

// Guards against buffering an endless event until memory is exhausted.
TEST_CASE(
    "an event without end is given up, and the stream goes on elsewhere") {
  RelayFixture f;
  f.Ask(1, "/again/x");
  REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
  REQUIRE_CALL(f.m_callers, Write(1U, "id: 1\ndata: a\n\n"));
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\nid: 2\ndata: ");
  const std::string piece(256U << 10U, 'x');
  for (int i = 0; i < 8 && f.m_endpoints.m_cancelled.empty(); ++i) {
    f.m_endpoints.m_events.at(0).m_on_body(piece);
  }
  REQUIRE(f.m_endpoints.m_cancelled.size() == 1);
  CHECK(f.m_endpoints.m_calls.size() == 1);
  // The endpoint says that it does not work on it any more.
  f.m_now += seconds(1);
  f.m_endpoints.AnswerInquiries("0 0");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  TickCalls(f.m_state);
  f.m_endpoints.AnswerInquiries("0 0");
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(*FindFieldIgnoreCase(f.m_endpoints.m_calls.at(1).m_headers, "after") ==
        "1");
}

// Guards against accepting requests that a stopping instance cannot finish.
TEST_CASE("late in a planned stop requests are refused as not run") {
  RelayFixture f;
  f.m_state.m_drain.m_refuse_from = f.m_now + seconds(1);
  f.Ask(1, "/once/x");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  f.m_now += seconds(1);
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
  f.Ask(2, "/once/x");
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

// Failure (LOST): requests that arrived while the last responses were written
// were passed on and never answered.
TEST_CASE("a request after the end of the open ones is refused as not run") {
  RelayFixture f;
  f.Ask(1, "/once/x");
  REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
  EndAllCalls(f.m_state);
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
  f.Ask(2, "/once/x");
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

TEST_CASE("a request that crashed three endpoints is not run any more") {
  RelayFixture f;
  f.Ask(1, "/stream/x");
  const SuspectKey key{SuspectKind::kRequest,
                       FindRelayCall(f.m_state, 1)->m_fingerprint};
  OnCallerDisconnected(f.m_state, 1);
  for (const char* endpoint : {"a", "b", "c"}) {
    AddCrash(f.m_state.m_crashes, key, {CrashId(endpoint, 1), f.m_now});
  }
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
  f.Ask(2, "/stream/x");
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

// Guards against refusing a request permanently after invalid responses: only a
// broken connection counts as a crash.
TEST_CASE("bytes that are no answer are not taken for a crash") {
  RelayFixture f;
  std::vector<schema::SuspectList> crashed;
  f.m_state.m_on_suspects = [&crashed](const schema::SuspectList& changed) {
    crashed.push_back(changed);
  };
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  f.Ask(1, "/stream/x");
  f.m_endpoints.m_events.at(0).m_on_end(
      {HttpError::kMalformedResponse, 0, true});
  CHECK(crashed.empty());
  f.Ask(2, "/stream/x");
  f.Break(1, true);
  CHECK(crashed.size() == 1);
}

// Guards against new requests to an endpoint whose answer said that it leaves.
TEST_CASE("after an answer of a leaving endpoint requests go elsewhere") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 200, _, _));
  f.Ask(1, "/once/x");
  const std::string leaving = f.m_endpoints.To(0);
  f.Answer(0, 200, {{"leaving", "1"}}, "body");
  CHECK(f.m_state.m_counters.m_leaving == 1);
  for (std::uint64_t id = 2; id <= 12; ++id) {
    f.Ask(id, "/once/x");
    REQUIRE(f.m_endpoints.m_calls.size() == id);
    CHECK(f.m_endpoints.To(id - 1) != leaving);
    f.Answer(id - 1, 200, {}, "body");
  }
}

// Guards against requests to an endpoint within the pause that it asked for.
TEST_CASE("an endpoint that asks for a pause gets nothing until it ends") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.Ask(1, "/once/x");
  const std::string paused = f.m_endpoints.To(0);
  f.Answer(0, 503, {{"not-run", "1"}, {"pause", "2.5"}});
  CHECK(f.m_state.m_counters.m_pauses == 1);
  f.m_now += milliseconds(2400);
  for (std::uint64_t id = 2; id <= 9; ++id) {
    f.Ask(id, "/once/x");
    CHECK(f.m_endpoints.To(f.m_endpoints.m_calls.size() - 1) != paused);
  }
}

// Guards against giving up an endpoint that computes a long prompt: it answers
// nobody meanwhile, and the same prompt takes at least as long elsewhere.
TEST_CASE("an attempt may take as long as its prompt is expected to take") {
  RelayFixture f;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  catalog.mutable_routes(3)->set_prompt(true);
  catalog.mutable_routes(3)->set_timeout_ms(20'000);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_stage = EngineStage::kDecode;
  }
  f.m_format.m_prompt_tokens = 60'000;
  f.m_state.m_balance.m_speeds["s"].m_prefill_tokens_per_ms = 80;
  f.Ask(1, "/again/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  const auto avoided = [&f] {
    int count = 0;
    for (const auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
      if (endpoint.m_avoid_until > f.m_now) ++count;
    }
    return count;
  };
  // 60,000 tokens take 2.5 s at the speed of a decode endpoint.
  f.m_now += milliseconds(3200);
  TickCalls(f.m_state);
  CHECK(avoided() == 0);
  f.m_format.m_prompt_tokens = 100;
  f.Ask(2, "/again/x");
  f.m_now += milliseconds(1200);
  TickCalls(f.m_state);
  CHECK(avoided() == 1);
  CHECK(f.m_endpoints.m_cancelled.empty());
}

// Guards against a prompt that is computed in vain because its caller leaves
// before the first event.
TEST_CASE("a prompt that cannot be answered in time is refused at once") {
  RelayFixture f;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  catalog.mutable_routes(3)->set_prompt(true);
  catalog.mutable_routes(3)->set_timeout_ms(20'000);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_stage = EngineStage::kDecode;
  }
  f.m_format.m_prompt_tokens = 200'000;
  REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _))
      .WITH(HasField(_3, "Retry-After"));
  f.Ask(1, "/again/x");
  CHECK(f.m_endpoints.m_calls.empty());
  CHECK(f.m_state.m_counters.m_ends[EndReason::kTooLate] == 1);
}

// Guards against a prefill in vain: all decode endpoints are full for a moment
// when it ends.
TEST_CASE("a prefilled request waits for a decode endpoint") {
  RelayFixture f;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  catalog.mutable_routes(2)->set_prompt(true);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  auto& endpoints = f.m_state.m_balance.m_endpoints;
  endpoints["e1"].m_stage = EngineStage::kPrefill;
  endpoints["e2"].m_stage = EngineStage::kDecode;
  endpoints["e2"].m_wait_ms = 1500;
  endpoints["e2"].m_wait_sampled_at = f.m_now;
  f.Ask(1, "/stream/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  REQUIRE(f.m_endpoints.To(0) == "e1");
  OnEndpointFull(f.m_state.m_balance, "e2", std::nullopt, f.m_now);
  f.Answer(0, 200, {}, "handle");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  f.m_now += milliseconds(100);
  TickCalls(f.m_state);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e2");
  // It cannot be reached: another one fetches the KV cache.
  endpoints["e3"].m_stage = EngineStage::kDecode;
  f.Break(1, false);
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.To(2) == "e3");
}

// Guards against refusals while many endpoints are being replaced: the retry
// budget of an instance is small, and a refused connection reaches no endpoint.
TEST_CASE("endpoints that cannot be reached are not charged to the budget") {
  RelayFixture f;
  f.m_state.m_resends.m_limits = {0, seconds(10), 0};
  REQUIRE_CALL(f.m_callers, Respond(1U, 200, _, "body"));
  f.Ask(1, "/once/x");
  f.Break(0, false);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  f.Break(1, false);
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.To(2) != f.m_endpoints.To(0));
  f.Answer(2, 200, {}, "body");
  // One that reached an endpoint and was rejected there is charged.
  f.Ask(2, "/once/x");
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
  f.Answer(3, 503, {{"not-run", "1"}});
}

// Guards against the copy of a response to a request that is taken for the
// response to the release of a KV cache on the same connection.
TEST_CASE("the release of a KV cache takes no response to a request") {
  RelayFixture f;
  RelayCall call;
  call.m_source = CacheSource{"e1", "127.0.0.1:1", "h"};
  ReleaseKvCache(f.m_state, call);
  const HttpCall& release = f.m_endpoints.m_calls.at(0);
  REQUIRE(release.m_match_response);
  CHECK(release.m_match_response({{"attempt", "t1"}}) == ResponseMatch::kOther);
  CHECK(release.m_match_response({}) == ResponseMatch::kOwn);
}

// Guards against a late response without an id, to an earlier request on the
// connection, that is taken for the response to a request without an id
// (REFUSED).
TEST_CASE("a request without an id is sent on a new connection") {
  RelayFixture f;
  HttpRequest request;
  request.m_id = 1;
  request.m_method = "POST";
  request.m_target = "/once/x";
  request.m_headers = {{"k", "secret"}, {"unnamed", "1"}};
  AcceptRequest(f.m_state, request);
  f.Ask(2, "/once/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.m_calls.at(0).m_force_new_connection);
  CHECK_FALSE(f.m_endpoints.m_calls.at(1).m_force_new_connection);
}

}  // namespace
}  // namespace comfreypaddle::testing
