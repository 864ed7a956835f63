// Requests to endpoints that name a limit for all instances together.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using trompeloeil::_;

// The only instance, which holds every limit.
struct HolderFixture : RelayFixture {
  HolderFixture() {
    const std::uint64_t self = InstanceHash("a");
    SetLimitPeers(m_state.m_balance, {{self}, self, false}, m_now);
  }
  void Name(const std::string& endpoint, double rate) {
    OnLimitStatement(m_state.m_balance, endpoint, StatementOf(rate, m_now),
                     m_now);
  }
  bool IsLimitedEndpoint(const std::string& id) const {
    return IsLimited(FindEndpoint(m_state.m_balance, id)->m_limit);
  }
};

// Failure (LIMIT): the limit that a response names is not applied, or a
// response that does not come from the endpoint changes it.
TEST_CASE("the responses of an endpoint say its limit") {
  HolderFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.Ask(1, "/safe/x");
  const std::string endpoint = f.m_endpoints.To(0);
  f.Answer(0, 200, {{"limit", "2"}}, "body");
  CHECK(f.IsLimitedEndpoint(endpoint));
  f.m_now += milliseconds(600);
  f.Ask(2, "/safe/x");
  REQUIRE(f.m_endpoints.To(1) == endpoint);
  f.Answer(1, 421, {});
  CHECK(f.IsLimitedEndpoint(endpoint));
}

// Failure: the limit of an endpoint is ended by an unreadable one, or not ended
// by a response without one.
TEST_CASE("a response without a limit ends it, an unreadable one does not") {
  HolderFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  for (const char* id : {"e1", "e2", "e3"}) f.Name(id, 4);
  f.m_now += seconds(1);
  f.Ask(1, "/safe/x");
  const std::string endpoint = f.m_endpoints.To(0);
  f.Answer(0, 200, {{"limit", "nan"}}, "body");
  CHECK(f.IsLimitedEndpoint(endpoint));
  f.m_now += seconds(1);
  f.Ask(2, "/safe/x");
  REQUIRE(f.m_endpoints.To(1) == endpoint);
  f.Answer(1, 200, {}, "body");
  CHECK_FALSE(f.IsLimitedEndpoint(endpoint));
}

// Failure: a prefill is done in vain, because another request takes the place
// in the limit of the decode endpoint meanwhile.
TEST_CASE("a prefilled request keeps its place in the limit") {
  HolderFixture f;
  schema::Catalog catalog = f.m_state.m_catalog->Message();
  catalog.mutable_routes(2)->set_prompt(true);
  f.m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  auto& endpoints = f.m_state.m_balance.m_endpoints;
  endpoints["e1"].m_stage = EngineStage::kPrefill;
  endpoints["e2"].m_stage = EngineStage::kDecode;
  f.Name("e2", 2);
  f.m_now += seconds(1);
  endpoints["e2"].m_wait_ms = 1500;
  endpoints["e2"].m_wait_sampled_at = f.m_now;
  f.Ask(1, "/stream/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  REQUIRE(f.m_endpoints.To(0) == "e1");
  REQUIRE_CALL(f.m_callers, Respond(2U, 503, _, _))
      .WITH(HasField(_3, "Retry-After"));
  f.Ask(2, "/stream/y");
  CHECK(f.m_state.m_counters.m_ends[EndReason::kLimited] == 1);
  f.Answer(0, 200, {}, "handle");
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.To(1) == "e2");
  CHECK_FALSE(
      MaySend(f.m_state.m_balance, endpoints["e2"], f.m_now + milliseconds(1)));
}

// Failure: a request that will get a place in time is refused.
TEST_CASE("a request waits for a limit that lets it through in time") {
  HolderFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  for (const char* id : {"e1", "e2", "e3"}) f.Name(id, 1);
  f.m_now += milliseconds(970);
  f.Ask(1, "/safe/x");
  CHECK(f.m_endpoints.m_calls.empty());
  CHECK(f.m_state.m_calls.size() == 1);
  f.m_now += milliseconds(40);
  TickCalls(f.m_state);
  CHECK(f.m_endpoints.m_calls.size() == 1);
}

}  // namespace
}  // namespace comfreypaddle::testing
