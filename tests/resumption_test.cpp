// Streams that go on only at endpoints of the version that began them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "resumption.h"

#include "lifetimecheck.h"
#include "streambinding.h"
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::seconds;
using trompeloeil::_;

// Start of the endpoints, and of a later lifetime, Unix time.
constexpr std::uint64_t kBornMs = 1000;
constexpr std::uint64_t kRebornMs = 5000;

// e1 has version 1, e2 and e3 have version 2 unless all have version 1. Their
// lifetimes were seen after the connections to them were established.
struct VersionFixture : RelayFixture {
  explicit VersionFixture(bool is_mixed = true) {
    for (auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
      endpoint.m_version = is_mixed && id != "e1" ? "2" : "1";
      endpoint.m_born_ms = kBornMs;
      NoteLifetime(m_state.m_lifetimes, id,
                   {kBornMs, m_now - seconds(2), m_now - seconds(2)});
    }
    m_endpoints.m_connected_at = m_now - seconds(3);
    m_state.m_on_streams = [this](const schema::StreamBeginList& begun) {
      m_begun.MergeFrom(begun);
    };
    m_state.m_ask_stream = [this](const schema::StreamQuestion& question) {
      m_questions.push_back(question);
    };
    UpdateEndpointVersions(m_state);
  }

  // Requests go over connections from now on after which no endpoint has named
  // its lifetime.
  void Reconnect() { m_endpoints.m_connected_at = m_now - seconds(1); }

  // The endpoint starts again in place.
  void Restart(const std::string& id, const std::string& version,
               std::uint64_t born_ms = kRebornMs) {
    BalanceEndpoint& endpoint = m_state.m_balance.m_endpoints.at(id);
    endpoint.m_born_ms = born_ms;
    endpoint.m_version = version;
    endpoint.m_is_outdated = false;
    UpdateEndpointVersions(m_state);
  }

  // Answers questions for lifetimes, over a connection that is older than those
  // of the requests since Reconnect if `is_older`.
  void NameLifetime(std::uint64_t born_ms, bool is_older = false) {
    m_endpoints.m_inquiry_connected_at =
        m_now - (is_older ? seconds(2) : seconds(0));
    m_endpoints.AnswerInquiries("0 0 born=" + std::to_string(born_ms));
  }

  // Begins a stream at this endpoint.
  void Begin(std::uint64_t id, const std::string& endpoint) {
    for (auto& [name, other] : m_state.m_balance.m_endpoints) {
      other.m_draining = name != endpoint;
    }
    const std::size_t call = m_endpoints.m_calls.size();
    Ask(id, "/again/x");
    REQUIRE(m_endpoints.To(call) == endpoint);
    m_endpoints.m_events.at(call).m_on_head(200, {{"stream", "1"}});
    m_endpoints.m_events.at(call).m_on_body("id: 1\ndata: a\n\n");
    for (auto& [name, other] : m_state.m_balance.m_endpoints) {
      other.m_draining = false;
    }
  }

  schema::StreamAnswer AnswerTo(std::size_t question) const {
    schema::StreamAnswer answer;
    answer.set_request(m_questions.at(question).request());
    answer.set_has_all_versions(true);
    return answer;
  }

  std::uint64_t Ended(EndReason reason) {
    return m_state.m_counters.m_ends[reason];
  }

  schema::StreamBeginList m_begun;
  std::vector<schema::StreamQuestion> m_questions;
};

// Guards against a stream whose endpoint crashes and that goes on at an
// endpoint of another version (ORDER).
TEST_CASE("a stream goes on within a response at its version only") {
  VersionFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  SUBCASE("another endpoint of the version is there") {
    f.Begin(1, "e2");
    f.Crash(0);
    REQUIRE(f.m_endpoints.m_calls.size() == 2);
    CHECK(f.m_endpoints.To(1) == "e3");
  }
  SUBCASE("no other endpoint of the version is left: the caller is told") {
    REQUIRE_CALL(f.m_callers, Abort(1U));
    f.Begin(1, "e1");
    f.Crash(0);
    CHECK(f.m_endpoints.m_calls.size() == 1);
    CHECK(f.Ended(EndReason::kVersionGone) == 1);
  }
}

// Guards against a restriction of streams of which the caller has nothing yet.
TEST_CASE("a stream without an event goes on at any version") {
  VersionFixture f;
  f.m_state.m_balance.m_endpoints.at("e2").m_draining = true;
  f.m_state.m_balance.m_endpoints.at("e3").m_draining = true;
  f.Ask(1, "/again/x");
  f.m_state.m_balance.m_endpoints.at("e2").m_draining = false;
  f.Crash(0);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e2");
}

// Guards against a caller that takes up a stream of another instance and is
// served by an endpoint of any version (ORDER).
TEST_CASE("a stream that is taken up goes on at the version that began it") {
  VersionFixture f;
  f.TakeUp(1, "begun-elsewhere");
  CHECK(f.m_endpoints.m_calls.empty());
  REQUIRE(f.m_questions.size() == 1);
  schema::StreamAnswer answer = f.AnswerTo(0);
  answer.set_version("1");
  SUBCASE("an endpoint of the version is there") {
    OnStreamAnswer(f.m_state, answer);
    REQUIRE(f.m_endpoints.m_calls.size() == 1);
    CHECK(f.m_endpoints.To(0) == "e1");
    // A second answer has no effect.
    OnStreamAnswer(f.m_state, answer);
    CHECK(f.m_endpoints.m_calls.size() == 1);
  }
  SUBCASE("none is left") {
    f.m_state.m_balance.m_endpoints.at("e1").m_draining = true;
    REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _));
    OnStreamAnswer(f.m_state, answer);
    CHECK(f.Ended(EndReason::kVersionGone) == 1);
  }
}

// Guards against a guess where nobody knows the version.
TEST_CASE("a stream of unknown version goes on only if there is one version") {
  // Whether a list shows one version, and whether another instance has seen
  // several.
  const auto take_up = [](VersionFixture& f, bool is_only, bool mixed) {
    f.TakeUp(1, "begun-elsewhere");
    REQUIRE(f.m_questions.size() == 1);
    schema::StreamAnswer answer = f.AnswerTo(0);
    answer.set_has_all_versions(true);
    answer.set_is_mixed(mixed);
    if (is_only) answer.set_only_version("1");
    OnStreamAnswer(f.m_state, answer);
  };
  SUBCASE("one version") {
    VersionFixture f(false);
    take_up(f, true, false);
    CHECK(f.m_endpoints.m_calls.size() == 1);
  }
  SUBCASE("refused") {
    VersionFixture f(false);
    REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _));
    SUBCASE("another instance has seen several") { take_up(f, true, true); }
    // All that answered have seen one version, and this list is a moment old:
    // both may be from before a release.
    SUBCASE("no list has been read since the question") {
      f.m_state.m_knowledge_at = f.m_now;
      take_up(f, false, false);
    }
    CHECK(f.Ended(EndReason::kVersionUnknown) == 1);
    CHECK(f.m_endpoints.m_calls.empty());
  }
  SUBCASE("refused: several versions are listed") {
    VersionFixture f;
    REQUIRE_CALL(f.m_callers, Respond(1U, 503, _, _));
    take_up(f, true, false);
    CHECK(f.m_endpoints.m_calls.empty());
  }
}

// Guards against a stream that is bound to the version of an endpoint's former
// lifetime, because the list was old when its attempt was sent (ORDER).
TEST_CASE("a stream is bound to the version of a restarted endpoint") {
  VersionFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Reconnect();
  f.Begin(1, "e1");
  REQUIRE(f.m_begun.streams_size() == 1);
  f.Restart("e1", "2");
  f.NameLifetime(kRebornMs, true);
  REQUIRE(f.m_begun.streams_size() == 2);
  CHECK(f.m_begun.streams(1).version() == "2");
  CHECK(f.m_begun.streams(1).is_corrected());
  f.m_state.m_balance.m_endpoints.at("e2").m_version = "1";
  f.Crash(0);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e3");
}

// Guards against a stream that goes on at the version of the former lifetime of
// its endpoint, although it may have begun at the new one: it was sent at about
// the time at which that began (ORDER, review/6).
TEST_CASE("a stream that may have begun at either version goes on at neither") {
  VersionFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  REQUIRE_CALL(f.m_callers, Abort(1U));
  f.Reconnect();
  f.Begin(1, "e1");
  constexpr std::uint64_t kSentMs = 1'000'000;  // The fixture's time.
  std::uint64_t reborn_ms = 0;
  SUBCASE("sent after it") { reborn_ms = kSentMs - 500; }
  SUBCASE("sent before it, by another clock") { reborn_ms = kSentMs + 500; }
  // A lifetime between the two may have begun it.
  SUBCASE("sent long before it") { reborn_ms = kSentMs + 9000; }
  f.Restart("e1", "2", reborn_ms);
  f.NameLifetime(reborn_ms);
  f.m_state.m_balance.m_endpoints.at("e3").m_version = "1";
  f.Crash(0);
  CHECK(f.m_endpoints.m_calls.size() == 1);
  // Nor if its caller takes it up.
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
  f.TakeUp(2, "t1");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  REQUIRE(f.m_begun.streams_size() >= 2);
  CHECK(f.m_begun.streams(f.m_begun.streams_size() - 1).is_corrected());
}

// Guards against streams that only the instance knows that may be killed:
// those that begin beside a second version, and those before it, which it may
// never see (LOST, issue 54).
TEST_CASE("other instances are told of each stream that begins") {
  VersionFixture f(false);
  ALLOW_CALL(f.m_callers, StartStream(_, 200, _));
  ALLOW_CALL(f.m_callers, Write(_, _));
  f.Begin(1, "e1");
  CHECK(f.m_begun.streams_size() == 1);
  // Once more for instances that have become holders meanwhile.
  f.m_state.m_balance.m_endpoints.at("e2").m_version = "2";
  UpdateEndpointVersions(f.m_state);
  REQUIRE(f.m_begun.streams_size() == 2);
  f.Begin(2, "e2");
  REQUIRE(f.m_begun.streams_size() == 3);
  CHECK(f.m_begun.streams(0).version() == "1");
  CHECK(f.m_begun.streams(1).version() == "1");
  CHECK(f.m_begun.streams(2).version() == "2");
  // The instance itself needs no answer.
  f.m_state.m_balance.m_endpoints.at("e3").m_draining = true;
  f.TakeUp(3, "t2");
  CHECK(f.m_questions.empty());
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.To(2) == "e2");
}

// Guards against a stream that is taken up and repeats events that the caller
// has, or lacks one (ORDER).
TEST_CASE("a stream that is taken up begins after the caller's last event") {
  VersionFixture f(false);
  f.TakeUp(1, "begun-elsewhere");
  schema::StreamAnswer answer = f.AnswerTo(0);
  answer.set_version("1");
  OnStreamAnswer(f.m_state, answer);
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  const auto send = [&f](const std::string& id) {
    f.m_endpoints.m_events.at(0).m_on_body("id: " + id + "\ndata: a\n\n");
  };
  SUBCASE("it repeats an event") {
    REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
    REQUIRE_CALL(f.m_callers, Write(1U, "id: 4\ndata: a\n\n"));
    send("3");
    send("4");
  }
  SUBCASE("it lacks an event") {
    REQUIRE_CALL(f.m_callers, Respond(1U, 502, _, _));
    send("5");
  }
}

// Guards against a stream that is taken up and runs at another version because
// the endpoint for which its prefill was made has restarted meanwhile (ORDER).
TEST_CASE("a prefilled stream does not run at an endpoint of another version") {
  VersionFixture f(false);
  f.m_format.m_prompt_tokens = 4000;
  auto& endpoints = f.m_state.m_balance.m_endpoints;
  endpoints.at("e1").m_stage = EngineStage::kPrefill;
  endpoints.at("e2").m_stage = EngineStage::kDecode;
  endpoints.at("e3").m_stage = EngineStage::kDecode;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  for (auto& route : *catalog.mutable_routes()) route.set_prompt(true);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  f.TakeUp(1, "begun-elsewhere");
  REQUIRE(f.m_questions.size() == 1);
  schema::StreamAnswer answer = f.AnswerTo(0);
  answer.set_version("1");
  OnStreamAnswer(f.m_state, answer);
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  REQUIRE(f.m_endpoints.To(0) == "e1");  // The prefill.
  const std::string planned =
      f.m_state.m_calls.begin()->second->m_planned_decode;
  f.Restart(planned, "2");
  f.Answer(0, 200, {}, "handle");
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) != planned);
}

// Guards against a stream that goes on at another service of its route, where
// its version is not known: the service follows from the attempt's id.
TEST_CASE("a stream that is taken up goes to the service that began it") {
  VersionFixture f(false);
  ALLOW_CALL(f.m_callers, StartStream(_, 200, _));
  ALLOW_CALL(f.m_callers, Write(_, _));
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  for (auto& route : *catalog.mutable_routes()) {
    schema::ServiceWeight* other = route.add_services();
    other->set_service("t");
    other->set_weight(1);
  }
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  f.m_state.m_balance.m_endpoints.at("e3").m_service = "t";
  UpdateEndpointVersions(f.m_state);
  int elsewhere = 0;
  for (std::uint64_t id = 1; id <= 16; ++id) {
    const std::size_t begun = f.m_endpoints.m_calls.size();
    f.Ask(id, "/again/x");
    REQUIRE(f.m_endpoints.m_calls.size() == begun + 1);
    const bool is_other = f.m_endpoints.To(begun) == "e3";
    f.m_endpoints.m_events.at(begun).m_on_head(200, {{"stream", "1"}});
    f.m_endpoints.m_events.at(begun).m_on_body("id: 1\ndata: a\n\n");
    OnCallerDisconnected(f.m_state, id);
    const std::size_t resumed = f.m_endpoints.m_calls.size();
    f.TakeUp(100 + id, "t" + std::to_string(id));
    if (f.m_endpoints.m_calls.size() == resumed) {
      schema::StreamAnswer answer = f.AnswerTo(f.m_questions.size() - 1);
      answer.set_only_version("1");
      OnStreamAnswer(f.m_state, answer);
    }
    REQUIRE(f.m_endpoints.m_calls.size() == resumed + 1);
    elsewhere += (f.m_endpoints.To(resumed) == "e3") != is_other ? 1 : 0;
    OnCallerDisconnected(f.m_state, 100 + id);
  }
  CHECK(elsewhere == 0);
}

// Guards against a stream that is bound to the version of an endpoint's former
// lifetime because the new one was listed between the attempt and its first
// event (ORDER).
TEST_CASE(
    "a stream is bound to the version that is listed at its first event") {
  VersionFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.m_state.m_balance.m_endpoints.at("e2").m_draining = true;
  f.m_state.m_balance.m_endpoints.at("e3").m_draining = true;
  f.Reconnect();
  f.Ask(1, "/again/x");
  REQUIRE(f.m_endpoints.To(0) == "e1");
  f.Restart("e1", "2");
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\n");
  REQUIRE(f.m_begun.streams_size() == 1);
  CHECK_FALSE(f.m_begun.streams(0).is_proven());
  f.NameLifetime(kRebornMs, true);
  REQUIRE(f.m_begun.streams_size() == 2);
  CHECK(f.m_begun.streams(1).version() == "2");
  CHECK(f.m_begun.streams(1).is_proven());
}

// Guards against a stream whose events came from the former lifetime of an
// endpoint, and whose record is changed to the version of the new one because
// its connection is still open: the machine lost power or was cut off, so that
// nothing closed it (ORDER).
TEST_CASE(
    "a stream keeps its version if its endpoint restarts after its events") {
  VersionFixture f;
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  ALLOW_CALL(f.m_callers, Abort(1U));
  f.Begin(1, "e1");
  // Long after the attempt and its events.
  f.Restart("e1", "2", 4'000'000'000'000);
  for (const schema::StreamBegin& begin : f.m_begun.streams()) {
    CHECK(begin.version() == "1");
  }
  f.m_state.m_balance.m_endpoints.at("e2").m_version = "1";
  f.Crash(0);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e2");
}

// Guards against a stream that goes on at the listed version although its
// endpoint had restarted in place with another one, and has ended before the
// list showed that (ORDER, review/12).
TEST_CASE("a stream of an unproven lifetime goes on only once that is proven") {
  VersionFixture f(false);
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Reconnect();
  f.Begin(1, "e1");
  CHECK_FALSE(f.m_begun.streams(0).is_proven());
  SUBCASE("the endpoint is gone") {
    REQUIRE_CALL(f.m_callers, Abort(1U));
    f.Crash(0);
    CHECK(f.m_endpoints.m_calls.size() == 1);
    CHECK(f.Ended(EndReason::kVersionUnknown) == 1);
  }
  SUBCASE("it has named the listed lifetime before") {
    f.NameLifetime(kBornMs);
    CHECK(f.m_begun.streams(f.m_begun.streams_size() - 1).is_proven());
    f.Crash(0);
    CHECK(f.m_endpoints.m_calls.size() == 2);
  }
}

// Guards against a stream that is taken up at the version of a list entry that
// was older than the process that began the stream (ORDER, review/12).
TEST_CASE("a record counts only for the lifetime that began the stream") {
  VersionFixture f(false);
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Reconnect();
  f.Begin(1, "e1");
  OnCallerDisconnected(f.m_state, 1);
  f.TakeUp(2, "t1");
  CHECK(f.m_endpoints.m_calls.size() == 1);
  const auto expire = [&f] {
    f.m_now += seconds(2);
    TickCalls(f.m_state);
  };
  SUBCASE("it is the listed one") {
    f.NameLifetime(kBornMs);
    CHECK(f.m_endpoints.m_calls.size() == 2);
  }
  SUBCASE("it is a later one, of the same version") {
    f.NameLifetime(kRebornMs, true);
    CHECK(f.m_endpoints.m_calls.size() == 1);
    f.Restart("e1", "1");
    CHECK(f.m_endpoints.m_calls.size() == 2);
  }
  SUBCASE("refused") {
    REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _));
    SUBCASE("it is a later one that is not listed") {
      f.NameLifetime(kRebornMs, true);
      expire();
    }
    SUBCASE("it is a later one, and the stream may be older") {
      f.Restart("e1", "1");
      f.NameLifetime(kRebornMs);
    }
    SUBCASE("the endpoint is gone") { f.m_endpoints.RefuseInquiries(); }
    SUBCASE("the endpoint does not answer") {
      f.m_endpoints.RefuseInquiries(HttpError::kTimeout);
      expire();
    }
    CHECK(f.m_endpoints.m_calls.size() == 1);
    CHECK(f.Ended(EndReason::kVersionUnknown) +
              f.Ended(EndReason::kVersionGone) ==
          1);
  }
}

// Guards against records that keep the version of a former lifetime because the
// request had ended here when the list showed the later one (ORDER): its caller
// is the one that takes the stream up.
TEST_CASE("the record of a request that has ended is corrected") {
  VersionFixture f(false);
  ALLOW_CALL(f.m_callers, StartStream(1U, 200, _));
  ALLOW_CALL(f.m_callers, Write(1U, _));
  f.Reconnect();
  f.Begin(1, "e1");
  OnCallerDisconnected(f.m_state, 1);
  f.NameLifetime(kRebornMs, true);
  f.Restart("e1", "2");
  const auto& last = f.m_begun.streams(f.m_begun.streams_size() - 1);
  CHECK(last.version() == "2");
  CHECK(last.is_proven());
}

// Guards against a stream that goes on at an endpoint that has restarted in
// place with another version than the listed one (ORDER).
TEST_CASE("a stream that goes on waits for the lifetime of its endpoint") {
  VersionFixture f(false);
  f.Reconnect();
  f.TakeUp(1, "begun-elsewhere");
  schema::StreamAnswer answer = f.AnswerTo(0);
  answer.set_version("1");
  OnStreamAnswer(f.m_state, answer);
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  const std::string first = f.m_endpoints.To(0);
  f.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  f.m_endpoints.m_events.at(0).m_on_body("id: 4\ndata: a\n\n");
  SUBCASE("it is the listed one") {
    REQUIRE_CALL(f.m_callers, StartStream(1U, 200, _));
    REQUIRE_CALL(f.m_callers, Write(1U, "id: 4\ndata: a\n\n"));
    REQUIRE_CALL(f.m_callers, FinishStream(1U));
    SUBCASE("the run goes on") {
      f.NameLifetime(kBornMs);
      f.m_endpoints.m_events.at(0).m_on_end({HttpError::kOk, 200, true});
    }
    SUBCASE("the run has ended") {
      f.m_endpoints.m_events.at(0).m_on_end({HttpError::kOk, 200, true});
      f.NameLifetime(kBornMs);
    }
  }
  SUBCASE("it is a later one: the stream goes on elsewhere") {
    f.NameLifetime(kRebornMs);
    CHECK(f.m_endpoints.m_cancelled.size() == 1);
    // The run is not among those that it reports.
    for (int i = 0; i < 5; ++i) {
      f.m_now += std::chrono::milliseconds(300);
      TickCalls(f.m_state);
      f.NameLifetime(kRebornMs);
    }
    REQUIRE(f.m_endpoints.m_calls.size() == 2);
    CHECK(f.m_endpoints.To(1) != first);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
