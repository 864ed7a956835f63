#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch.h"

#include <doctest/doctest.h>

#include <trompeloeil.hpp>

#include "probe.h"
#include "sha256.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

class MockCallers : public ResponsePort {
 public:
  MAKE_MOCK4(Respond, void(std::uint64_t, int, HttpFields, std::string),
             override);
  MAKE_MOCK3(StartStream, void(std::uint64_t, int, HttpFields), override);
  MAKE_MOCK2(Write, void(std::uint64_t, std::string_view), override);
  MAKE_MOCK1(FinishStream, void(std::uint64_t), override);
  MAKE_MOCK1(Abort, void(std::uint64_t), override);
};

class MockHttp : public HttpPort {
 public:
  MAKE_MOCK2(Start, CallId(HttpCall, HttpEvents), override);
  MAKE_MOCK1(Cancel, void(CallId), override);
};

class MockRecords : public RecordPort {
 public:
  MAKE_MOCK2(ClaimRequest, void(std::uint64_t, const RequestClaim&), override);
  MAKE_MOCK1(RecordOutcome, void(const RequestOutcome&), override);
  MAKE_MOCK1(ReportSuspect, void(const SuspectReport&), override);
};

struct StartedCall {
  HttpCall m_call;
  HttpEvents m_events;
};

// Gateway state with two engines e1 and e2, the plain service s1 behind /desk,
// and mocks that record their calls.
struct GatewayFixture {
  GatewayFixture() {
    m_state.m_callers = &m_callers;
    m_state.m_endpoints = &m_http;
    m_state.m_records = &m_records;
    m_state.m_clock = [this] { return m_now; };
    m_state.m_options.m_instance = "entry-1";
    m_state.m_permission = {true, "", m_now + seconds(2)};
    Apply(ResourceKind::kWorkspace, "w", Workspace{"w", 1.0, 0});
    Apply(ResourceKind::kKey, "k", Key{"k", "w", Sha256Hex("secret")});
    Fleet engines{"engines", FleetKind::kEngine, "m"};
    engines.m_concurrency = 4;
    Apply(ResourceKind::kFleet, "engines", engines);
    Fleet desks{"desks", FleetKind::kService};
    desks.m_concurrency = 1;
    Apply(ResourceKind::kFleet, "desks", desks);
    for (const std::string name : {"e1", "e2", "s1"}) {
      Apply(ResourceKind::kEndpoint, name,
            Endpoint{name, name[0] == 'e' ? "engines" : "desks", "z", "r",
                     name + ":1"});
    }
    Route completions{"c", "m", "", "engines"};
    completions.m_repeatable = true;
    Apply(ResourceKind::kRoute, "c", completions);
    Apply(ResourceKind::kRoute, "d", Route{"d", "", "/desk", "desks"});
  }

  void Apply(ResourceKind kind, const std::string& name, Resource resource,
             bool remove = false) {
    OnTableChange(m_state,
                  {++m_version, remove, kind, name, std::move(resource)});
  }

  void Accept(std::uint64_t id, bool completion, const std::string& key = "") {
    HttpRequest request;
    request.m_id = id;
    request.m_method = "POST";
    request.m_path = completion ? "/v1/completions" : "/desk/a";
    request.m_headers = {{"authorization", "Bearer secret"}};
    if (!key.empty()) request.m_headers.push_back({"idempotency-key", key});
    request.m_body =
        completion
            ? R"({"model":"m","prompt":"p","max_tokens":2,"stream":true})"
            : "{}";
    AcceptRequest(m_state, std::move(request));
  }

  // Delivers an engine's token to a started call.
  void Token(std::size_t call, int position) {
    m_started[call].m_events.m_on_body("id: " + std::to_string(position) +
                                       "\ndata: {\"token\": \"t" +
                                       std::to_string(position) + "\"}\n\n");
  }

  void Done(std::size_t call) {
    m_started[call].m_events.m_on_body(
        "event: done\ndata: {\"prompt_tokens\":1,\"output_tokens\":2,"
        "\"finish_reason\":\"length\"}\n\n");
  }

  void End(std::size_t call, HttpError error, bool sent = true) {
    m_started[call].m_events.m_on_end({make_error_code(error), 0, sent});
  }

  std::string HostOf(std::size_t call) const {
    return m_started.at(call).m_call.m_url.substr(7, 2);
  }

  MockCallers m_callers;
  MockHttp m_http;
  MockRecords m_records;
  Instant m_now{seconds(1000)};
  Position m_version = 0;
  CallState m_state;
  std::vector<StartedCall> m_started;
  std::string m_written;
  std::vector<std::uint64_t> m_finished;
  std::vector<std::uint64_t> m_aborted;
  std::vector<std::pair<int, std::string>> m_answers;
  std::vector<std::uint64_t> m_tickets;
  std::vector<RequestOutcome> m_outcomes;
  using Expectation = std::unique_ptr<trompeloeil::expectation>;
  Expectation m_on_start = NAMED_ALLOW_CALL(m_http, Start(_, _))
                               .LR_SIDE_EFFECT(m_started.push_back({_1, _2}))
                               .LR_RETURN(m_started.size());
  Expectation m_on_cancel = NAMED_ALLOW_CALL(m_http, Cancel(_));
  Expectation m_on_stream = NAMED_ALLOW_CALL(m_callers, StartStream(_, _, _));
  Expectation m_on_write = NAMED_ALLOW_CALL(m_callers, Write(_, _))
                               .LR_SIDE_EFFECT(m_written.append(_2));
  Expectation m_on_finish = NAMED_ALLOW_CALL(m_callers, FinishStream(_))
                                .LR_SIDE_EFFECT(m_finished.push_back(_1));
  Expectation m_on_abort = NAMED_ALLOW_CALL(m_callers, Abort(_))
                               .LR_SIDE_EFFECT(m_aborted.push_back(_1));
  Expectation m_on_respond = NAMED_ALLOW_CALL(m_callers, Respond(_, _, _, _))
                                 .LR_SIDE_EFFECT(m_answers.push_back({_2, _4}));
  Expectation m_on_claim = NAMED_ALLOW_CALL(m_records, ClaimRequest(_, _))
                               .LR_SIDE_EFFECT(m_tickets.push_back(_1));
  Expectation m_on_outcome = NAMED_ALLOW_CALL(m_records, RecordOutcome(_))
                                 .LR_SIDE_EFFECT(m_outcomes.push_back(_1));
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Events of an earlier attempt must not reach the caller.
// Failure: a request on a kept connection was passed on after the instance had
// reported the end of its planned stop, and was cut.
TEST_CASE("a request after the end of a planned stop is refused as not run") {
  GatewayFixture f;
  f.m_state.m_drained = true;
  f.Accept(1, true);
  CHECK(f.m_started.empty());
  REQUIRE(f.m_answers.size() == 1);
  CHECK(f.m_answers[0].first == 503);
  CHECK(Has(f.m_answers[0].second, "not_run"));
}

TEST_CASE("late events of a broken attempt are ignored after a resume") {
  GatewayFixture bench;
  bench.Accept(1, true);
  REQUIRE(bench.m_started.size() == 1);
  bench.m_started[0].m_events.m_on_head(200, {});
  bench.Token(0, 1);
  bench.End(0, HttpError::kInactivityTimeout);
  REQUIRE(bench.m_started.size() == 2);
  CHECK(Has(bench.m_started[1].m_call.m_url, "/resume?from=1"));
  CHECK(bench.HostOf(1) == bench.HostOf(0));
  bench.Token(0, 2);
  bench.Done(0);
  CHECK_FALSE(Has(bench.m_written, "id: 2"));
  CHECK(bench.m_finished.empty());
  bench.m_started[1].m_events.m_on_head(200, {});
  bench.Token(1, 1);
  bench.Token(1, 2);
  bench.Done(1);
  CHECK(bench.m_written.find("id: 1") == bench.m_written.rfind("id: 1"));
  CHECK(Has(bench.m_written, "[DONE]"));
  CHECK(bench.m_finished == std::vector<std::uint64_t>{1});
  bench.Token(1, 2);
  bench.End(1, HttpError::kConnectionLost);
  CHECK(bench.m_aborted.empty());
}

// A retry must not go to the endpoint that failed.
TEST_CASE("a refused connection is retried at the other endpoint") {
  GatewayFixture bench;
  bench.Accept(1, true);
  REQUIRE(bench.m_started.size() == 1);
  bench.End(0, HttpError::kConnectFailed, false);
  REQUIRE(bench.m_started.size() == 2);
  CHECK(bench.HostOf(1) != bench.HostOf(0));
  CHECK(bench.m_answers.empty());
}

// Guards against the copy of a refusal that is taken for the response to the
// next attempt of its request, on the connection that has carried the refusal:
// the caller would be told "not run" while the attempt runs.
TEST_CASE("attempts after the first one use new connections") {
  GatewayFixture bench;
  bench.Accept(1, true);
  REQUIRE(bench.m_started.size() == 1);
  CHECK_FALSE(bench.m_started[0].m_call.m_force_new_connection);
  bench.End(0, HttpError::kConnectFailed, false);
  REQUIRE(bench.m_started.size() == 2);
  CHECK(bench.m_started[1].m_call.m_force_new_connection);
}

// Work must stop when its caller disconnects, and events of two requests must
// not be mixed up.
TEST_CASE("a disconnected caller's stream is cancelled at the engine") {
  GatewayFixture bench;
  bench.Accept(1, true);
  bench.Accept(2, true);
  REQUIRE(bench.m_started.size() == 2);
  bench.m_started[0].m_events.m_on_head(200, {});
  OnCallerDisconnected(bench.m_state, 1);
  REQUIRE(bench.m_started.size() == 3);
  CHECK(bench.m_started[2].m_call.m_method == "DELETE");
  bench.Token(0, 1);
  CHECK(bench.m_written.empty());
  CHECK(FindCall(bench.m_state, 1) == nullptr);
  CHECK(FindCall(bench.m_state, 2) != nullptr);
}

// A call must not run before its claim is granted, nor run again after its
// response was lost.
TEST_CASE("a call with an idempotency key runs once its claim is granted") {
  GatewayFixture bench;
  bench.Accept(1, false, "key");
  REQUIRE(bench.m_tickets.size() == 1);
  CHECK(bench.m_started.empty());
  SUBCASE("granted, and the answer lost") {
    OnClaimVerdict(bench.m_state, bench.m_tickets[0], Verdict::kGranted,
                   Outcome::kUnknown);
    REQUIRE(bench.m_started.size() == 1);
    CHECK(bench.m_started[0].m_call.m_force_new_connection);
    bench.End(0, HttpError::kConnectionLost);
    CHECK(bench.m_started.size() == 1);
    REQUIRE(bench.m_answers.size() == 1);
    CHECK(Has(bench.m_answers[0].second, "\"outcome\":\"unknown\""));
    REQUIRE(bench.m_outcomes.size() == 1);
    CHECK(bench.m_outcomes[0].m_outcome == Outcome::kUnknown);
  }
  SUBCASE("held by another request") {
    OnClaimVerdict(bench.m_state, bench.m_tickets[0], Verdict::kAlreadyClaimed,
                   Outcome::kRan);
    CHECK(bench.m_started.empty());
    REQUIRE(bench.m_answers.size() == 1);
    CHECK(bench.m_answers[0].first == 409);
    CHECK(bench.m_outcomes.empty());
  }
  SUBCASE("granted after the caller left") {
    OnCallerDisconnected(bench.m_state, 1);
    OnClaimVerdict(bench.m_state, bench.m_tickets[0], Verdict::kGranted,
                   Outcome::kUnknown);
    CHECK(bench.m_started.empty());
    REQUIRE(bench.m_outcomes.size() == 1);
    CHECK(bench.m_outcomes[0].m_outcome == Outcome::kNotRun);
  }
}

// Queued work of a revoked key must not run.
TEST_CASE("a revoked key ends queued calls but not running ones") {
  GatewayFixture bench;
  bench.Accept(1, false);
  bench.Accept(2, false);  // Queued: the replica runs one call at a time.
  REQUIRE(bench.m_started.size() == 1);
  bench.Apply(ResourceKind::kKey, "k", Key{"k", "w", Sha256Hex("secret")},
              true);
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].first == 401);
  CHECK(Has(bench.m_answers[0].second, "\"outcome\":\"not_run\""));
  CHECK(FindCall(bench.m_state, 1) != nullptr);
  bench.Accept(3, false);
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].first == 401);
  CHECK(bench.m_started.size() == 1);
}

// A process that was suspended must not admit requests on outdated knowledge
// when it resumes.
TEST_CASE("the permission to admit expires") {
  GatewayFixture bench;
  bench.m_now += seconds(2) + milliseconds(1);
  bench.Accept(1, true);
  CHECK(bench.m_started.empty());
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].first == 503);
  CHECK(Has(bench.m_answers[0].second, "\"outcome\":\"not_run\""));
}

// Streams must not be isolated, and thereby delayed, because their endpoint
// left as announced.
TEST_CASE("an endpoint that leaves as announced leaves no suspects") {
  GatewayFixture bench;
  bench.Accept(1, true);
  REQUIRE(bench.m_started.size() == 1);
  std::size_t expected = 1;
  SUBCASE("crash") {}
  SUBCASE("announced") {
    expected = 0;
    SetLeaving(bench.m_state.m_route, bench.HostOf(0), true);
  }
  std::size_t suspects = 0;
  ALLOW_CALL(bench.m_records, ReportSuspect(_)).LR_SIDE_EFFECT(++suspects);
  bench.End(0, HttpError::kConnectionLost);
  REQUIRE(bench.m_started.size() == 2);
  CHECK(Has(bench.m_started[1].m_call.m_url, "/v1/load"));
  bench.End(1, HttpError::kConnectFailed, false);
  REQUIRE(bench.m_started.size() == 3);
  CHECK(bench.HostOf(2) != bench.HostOf(0));
  CHECK(suspects == expected);
}

// Guards against a request that crashes one engine after the other, because an
// engine answers the probe before it stops listening.
TEST_CASE("a crash after an answered probe is found by the resume") {
  GatewayFixture bench;
  std::size_t suspects = 0;
  ALLOW_CALL(bench.m_records, ReportSuspect(_)).LR_SIDE_EFFECT(++suspects);
  bench.Accept(1, true);
  bench.End(0, HttpError::kConnectionLost);
  REQUIRE(bench.m_started.size() == 2);
  bench.m_started[1].m_events.m_on_body("{}");
  bench.m_started[1].m_events.m_on_end({HttpError::kOk, 200, true});
  REQUIRE(bench.m_started.size() == 3);
  REQUIRE(Has(bench.m_started[2].m_call.m_url, "/resume"));
  CHECK(suspects == 0);
  bench.End(2, HttpError::kConnectFailed, false);
  REQUIRE(bench.m_started.size() == 4);
  REQUIRE(Has(bench.m_started[3].m_call.m_url, "/v1/load"));
  bench.End(3, HttpError::kConnectFailed, false);
  CHECK(suspects == 1);
}

// Guards against a broken connection of the probe that is taken for a sign of
// life.
TEST_CASE("a probe whose connection breaks is repeated") {
  GatewayFixture bench;
  std::size_t suspects = 0;
  ALLOW_CALL(bench.m_records, ReportSuspect(_)).LR_SIDE_EFFECT(++suspects);
  bench.Accept(1, true);
  bench.End(0, HttpError::kConnectionLost);
  REQUIRE(bench.m_started.size() == 2);
  bench.End(1, HttpError::kConnectionLost);
  REQUIRE(bench.m_started.size() == 3);
  REQUIRE(Has(bench.m_started[2].m_call.m_url, "/v1/load"));
  bench.End(2, HttpError::kConnectFailed, false);
  CHECK(suspects == 1);
}

}  // namespace
}  // namespace comfreypaddle
