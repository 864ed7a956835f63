// Requests that crash the endpoints that run them, at one instance.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "relayendpoints.h"
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

constexpr int kCrashesToRefuse = 3;

// Crashes the endpoint of a call right after the head of its response. It is
// back at once, in a new lifetime.
void CrashAfterHead(RelayFixture& f, std::size_t call) {
  const std::string endpoint = f.m_endpoints.To(call);
  f.m_endpoints.m_events.at(call).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(call).m_on_end(
      {HttpError::kConnectionLost, 200, true});
  f.m_endpoints.RefuseInquiries();
  ++f.m_state.m_balance.m_endpoints.at(endpoint).m_born_ms;
}

// Sends the same request until it is refused, at most this many times. Each
// endpoint that it reaches crashes. Returns the number of endpoints reached.
std::size_t CrashRepeatedly(RelayFixture& f, const std::string& target,
                            int requests) {
  for (int id = 1; id <= requests; ++id) {
    std::size_t next = f.m_endpoints.m_calls.size();
    f.Ask(static_cast<std::uint64_t>(id), target);
    // The request may be sent to further endpoints after a crash.
    for (; next < f.m_endpoints.m_calls.size(); ++next) {
      CrashAfterHead(f, next);
    }
    f.m_now += seconds(2);
  }
  return f.m_endpoints.m_calls.size();
}

// Failure: endpoints crash as they begin to answer, after the head, and such
// crashes were not counted, so that the request was never refused.
TEST_CASE("a request that crashes endpoints after the head is refused") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  std::size_t refused = 0;
  ALLOW_CALL(f.m_callers, Respond(_, 503, _, _)).LR_SIDE_EFFECT(++refused);
  CHECK(CrashRepeatedly(f, "/stream/x", 12) == kCrashesToRefuse);
  CHECK(refused == 12 - kCrashesToRefuse);
}

// Failure: a request that was counted while it ran was sent on to further
// endpoints, because only requests that arrived later were looked up.
TEST_CASE("a request is not sent again after its last allowed crash") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  // Two attempts each: four without a look at the table before each attempt.
  CHECK(CrashRepeatedly(f, "/again/x", 2) == kCrashesToRefuse);
}

// Failure: one crash counted twice, because the list of endpoints had changed
// between the send and the break and the report named another lifetime.
TEST_CASE(
    "a crash is reported for the lifetime to which the request was sent") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  std::vector<schema::SuspectList> reports;
  f.m_state.m_on_suspects = [&reports](const schema::SuspectList& changed) {
    reports.push_back(changed);
  };
  for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    endpoint.m_born_ms = 7;
  }
  f.Ask(1, "/stream/x");
  f.Ask(2, "/stream/y");
  SUBCASE("its entry is gone") { f.m_state.m_balance.m_endpoints.clear(); }
  SUBCASE("it is back") {
    for (auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
      endpoint.m_born_ms = 8;
    }
  }
  for (std::size_t i = 0; i < 2; ++i) {
    f.Break(i, true);
    REQUIRE(reports.size() == i + 1);
    CHECK(reports[i].crashes(0).id() == CrashId(f.m_endpoints.To(i), 7));
  }
}

// Failure: a second crash of an endpoint whose restart was not listed yet was
// taken for the first one, and an instance with an older list named a crash in
// another way than the others.
TEST_CASE("a crash is named by the lifetime that the endpoint has named") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  std::vector<std::uint64_t> crashes;
  f.m_state.m_on_suspects = [&crashes](const schema::SuspectList& changed) {
    crashes.push_back(changed.crashes(0).id());
  };
  f.m_state.m_balance.m_endpoints.erase("e2");
  f.m_state.m_balance.m_endpoints.erase("e3");
  BalanceEndpoint& endpoint = f.m_state.m_balance.m_endpoints.at("e1");
  endpoint.m_born_ms = 7;
  const auto crash = [&f](std::uint64_t id, std::uint64_t named_meanwhile) {
    f.Ask(id, "/stream/x");
    f.m_now += seconds(1);
    if (named_meanwhile > 0) {
      NoteLifetime(f.m_state.m_lifetimes, "e1",
                   {named_meanwhile, f.m_now, f.m_now});
    }
    f.Break(id, true);
    f.m_now += seconds(1);
  };
  crash(0, 0);
  NoteLifetime(f.m_state.m_lifetimes, "e1", {8, f.m_now, f.m_now});
  crash(1, 0);
  // The list may be newer, and the crash may be over before the endpoint names
  // its next lifetime.
  endpoint.m_born_ms = 9;
  crash(2, 10);
  CHECK(crashes == std::vector<std::uint64_t>{
                       CrashId("e1", 7), CrashId("e1", 8), CrashId("e1", 9)});
}

// Failure: a sound request that is sent often was refused for ten minutes after
// it had been running on three endpoints that crashed for other reasons.
TEST_CASE("a request that was answered since is not blamed for a crash") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 502, _, _));
  std::size_t answered = 0;
  ALLOW_CALL(f.m_callers, Respond(_, 200, _, _)).LR_SIDE_EFFECT(++answered);
  ALLOW_CALL(f.m_callers, StartStream(_, 200, _)).LR_SIDE_EFFECT(++answered);
  ALLOW_CALL(f.m_callers, Write(_, _));
  ALLOW_CALL(f.m_callers, FinishStream(_));
  std::string target;
  HttpFields fields;
  std::string body;
  SUBCASE("whole response") {
    target = "/once/x";
    body = "body";
  }
  SUBCASE("stream") {
    target = "/stream/x";
    fields = {{"stream", "1"}};
    body = "id: 1\ndata: a\n\n";
  }
  constexpr std::uint64_t kRounds = 5;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    f.Ask(2 * round, target);
    REQUIRE(f.m_endpoints.m_calls.size() == 2 * round + 1);
    CrashAfterHead(f, 2 * round);
    f.Ask(2 * round + 1, target);
    REQUIRE(f.m_endpoints.m_calls.size() == 2 * round + 2);
    f.Answer(2 * round + 1, 200, fields, body);
    f.m_now += seconds(20);
  }
  CHECK(answered == kRounds);
}

// Lists e1 to e3, all started at this time, without those that are named.
void List(RelayFixture& f, std::uint64_t born_ms,
          const std::string& missing = "", bool draining = false) {
  schema::EndpointList list;
  for (const std::string id : {"e1", "e2", "e3"}) {
    if (missing.find(id) != std::string::npos) continue;
    schema::EndpointEntry* entry = list.add_endpoints();
    entry->set_id(id);
    entry->set_service("s");
    entry->set_address("127.0.0.1:1");
    entry->set_slots(4);
    entry->set_born_ms(born_ms);
    entry->set_draining(draining);
  }
  SetEndpointList(f.m_state, list, [](const std::string&) { return ""; });
}

// Sends a request whose endpoint says nothing until the deadline. Returns the
// endpoint, or nothing if the request is refused.
std::string AskInVain(RelayFixture& f, std::uint64_t id,
                      const std::string& target) {
  const std::size_t calls = f.m_endpoints.m_calls.size();
  f.Ask(id, target);
  if (f.m_endpoints.m_calls.size() == calls) return "";
  f.m_now += milliseconds(3001);
  TickCalls(f.m_state);
  return f.m_endpoints.To(calls);
}

// Failure: an attempt that was given up after a silence left no trace, so that
// a request that makes endpoints go dark, with no reset, was never refused
// (BUDGET).
TEST_CASE("a request that makes endpoints go dark is refused") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, 504, _, _));
  std::size_t refused = 0;
  ALLOW_CALL(f.m_callers, Respond(_, 503, _, _)).LR_SIDE_EFFECT(++refused);
  bool has_new_id = false;
  std::string target = "/safe/x";
  SUBCASE("back as another lifetime") {}
  SUBCASE("back as another lifetime, streams") { target = "/stream/x"; }
  SUBCASE("back under another id") { has_new_id = true; }
  for (std::uint64_t round = 1; round <= 6; ++round) {
    List(f, round);
    const std::string dark = AskInVain(f, round, target);
    f.m_now += seconds(1);
    if (!has_new_id || dark.empty()) continue;
    List(f, round, dark);
    CHECK(ListCrashes(f.m_state.m_crashes).size() == round - 1);
    f.m_endpoints.RefuseInquiries();
    CHECK(ListCrashes(f.m_state.m_crashes).size() == round);
  }
  CHECK(f.m_endpoints.m_calls.size() == kCrashesToRefuse);
  CHECK(refused == 6 - kCrashesToRefuse);
}

// Failure: a sound request is refused for silences of slow, leaving or cut off
// endpoints that end later for other reasons.
TEST_CASE("a silence without a crash is not blamed on the request") {
  RelayFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.m_endpoints.m_connected_at = f.m_now;
  bool drains = false;
  bool answers = false;
  bool is_listed_late = false;
  Duration wait = seconds(1);
  std::string sound = "/safe/y";
  SUBCASE("the endpoint answers another request") { answers = true; }
  SUBCASE("another endpoint answers the request") {
    answers = true;
    f.m_endpoints.m_connected_at.reset();
    sound = "/safe/x";
  }
  SUBCASE("the endpoint leaves as planned") { drains = true; }
  SUBCASE("the lifetime ends much later") { wait = kSilenceRetention; }
  SUBCASE("the request has not reached the endpoint") {
    f.m_endpoints.m_is_delivered = false;
  }
  SUBCASE("the endpoint had restarted before, which is listed later") {
    is_listed_late = true;
    for (const std::string id : {"e1", "e2", "e3"}) {
      NoteLifetime(f.m_state.m_lifetimes, id, {2, f.m_now, f.m_now});
    }
  }
  for (std::uint64_t round = 1; round <= 6; ++round) {
    List(f, is_listed_late ? std::min<std::uint64_t>(round, 2) : round);
    const std::string silent = AskInVain(f, 10 * round, "/safe/x");
    REQUIRE(!silent.empty());
    if (drains) List(f, round, "", true);
    for (std::uint64_t i = 1; answers && i <= 3; ++i) {
      f.m_now += seconds(1);
      f.Ask(10 * round + i, sound);
      f.Answer(f.m_endpoints.m_calls.size() - 1, 200, {}, "body");
    }
    f.m_now += wait;
  }
  CHECK(f.m_state.m_crashes.m_rows.empty());
}

// Failure: a flood of silent attempts takes memory without end.
TEST_CASE("silent attempts are bounded in number and age") {
  SilentAttempts table;
  for (std::uint64_t i = 0; i < 2 * kMaxSilentAttempts; ++i) {
    AddSilentAttempt(table, "e" + std::to_string(i % 7), {i, 1, "", Instant{}});
  }
  CHECK(table.m_size == kMaxSilentAttempts);
  const Instant later = Instant{} + kSilenceRetention;
  CHECK(AddSilentAttempt(table, "e0", {0, 2, "", later}));
  CHECK(table.m_size == 1);
  CHECK(TakeEndedLifetimes(table, "e0", 3, later + kSilenceRetention).empty());
}

}  // namespace
}  // namespace comfreypaddle::testing
