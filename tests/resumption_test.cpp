// Streams that go on only at endpoints of the version that began them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using trompeloeil::_;

// e1 has version 1, e2 and e3 have version 2 unless all have version 1.
struct VersionFixture : RelayFixture {
  explicit VersionFixture(bool is_mixed = true) {
    for (auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
      endpoint.m_version = is_mixed && id != "e1" ? "2" : "1";
    }
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

  std::uint64_t Ended(EndReason reason) {
    return m_state.m_counters.m_ends[reason];
  }
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

}  // namespace
}  // namespace comfreypaddle::testing
