#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpointstate.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>

#include "balance.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

BalanceEndpoint Entry(const std::string& id, std::uint64_t born_ms) {
  BalanceEndpoint entry;
  entry.m_id = id;
  entry.m_service = "s";
  entry.m_address = "10.0.0.1:" + id.substr(1);
  entry.m_slots = 4;
  entry.m_born_ms = born_ms;
  return entry;
}

BalanceState StateOf(std::vector<BalanceEndpoint> list) {
  BalanceState state;
  UpdateEndpoints(state, std::move(list), kStart);
  return state;
}

BalanceQuery ServiceQuery() {
  BalanceQuery query;
  query.m_service = "s";
  return query;
}

// Guards against sending to an endpoint that said that it leaves because the
// list, which lags, still shows it as ready.
TEST_CASE("an endpoint that says that it leaves gets nothing new") {
  BalanceState state = StateOf({Entry("e1", 7)});
  CHECK(OnEndpointLeaving(state, "e1"));
  CHECK_FALSE(OnEndpointLeaving(state, "e1"));
  UpdateEndpoints(state, {Entry("e1", 7)}, kStart + seconds(1));
  CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), kStart + seconds(1)));
}

// Guards against using a leaving endpoint again when its entry, removed during
// an outage of the store, returns.
TEST_CASE("a leaving endpoint stays out when its entry vanishes and returns") {
  BalanceState state = StateOf({Entry("e1", 7)});
  OnEndpointLeaving(state, "e1");
  UpdateEndpoints(state, {}, kStart + seconds(1));
  UpdateEndpoints(state, {Entry("e1", 7)}, kStart + seconds(3));
  CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), kStart + seconds(3)));
}

TEST_CASE("a restarted endpoint is another endpoint") {
  BalanceState state = StateOf({Entry("e1", 7)});
  OnEndpointLeaving(state, "e1");
  OnEndpointFull(state, "e1", 30.0, kStart);
  const auto obsolete =
      UpdateEndpoints(state, {Entry("e1", 8)}, kStart + seconds(1));
  CHECK(obsolete == std::vector<std::string>{"10.0.0.1:1"});
  CHECK(SelectEndpoint(state, ServiceQuery(), kStart + seconds(1)));
}

// Guards against requests within the pause, or beyond the limit, that an
// endpoint named right after its restart, when the list still showed its former
// lifetime (BUDGET, LIMIT).
TEST_CASE("what a restarted endpoint said before it was listed is kept") {
  for (const bool has_vanished : {false, true}) {
    CAPTURE(has_vanished);
    BalanceState state = StateOf({Entry("e1", 7)});
    state.m_limit_peers = {{1}, 1};
    const Instant born = kStart + seconds(20);
    const Instant said = born + milliseconds(500);
    OnEndpointFull(state, "e1", 5.0, said);
    OnLimitStatement(state, "e1", {2, said}, said);
    BalanceEndpoint restarted = Entry("e1", 20'007);
    restarted.m_born_at = born;
    if (has_vanished) UpdateEndpoints(state, {}, born + seconds(1));
    UpdateEndpoints(state, {restarted}, born + seconds(2));
    CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), said + seconds(4)));
    CHECK(SelectEndpoint(state, ServiceQuery(), said + seconds(6)));
    CHECK(IsLimited(state.m_endpoints.at("e1").m_limit));
  }
}

// Guards against an endpoint that gets nothing, or little, because of what its
// former lifetime had said.
TEST_CASE("a restart ends the pause and the limit of the former lifetime") {
  BalanceState state = StateOf({Entry("e1", 7)});
  state.m_limit_peers = {{1}, 1};
  OnEndpointFull(state, "e1", 50.0, kStart);
  OnLimitStatement(state, "e1", {2, kStart}, kStart);
  BalanceEndpoint restarted = Entry("e1", 20'007);
  restarted.m_born_at = kStart + seconds(20);
  UpdateEndpoints(state, {restarted}, kStart + seconds(22));
  CHECK(SelectEndpoint(state, ServiceQuery(), kStart + seconds(22)));
  CHECK_FALSE(IsLimited(state.m_endpoints.at("e1").m_limit));
}

// Guards against a restarted endpoint that gets little because an instance
// whose list is behind tells of the limit of its former lifetime.
TEST_CASE("a limit of a former lifetime is not taken from another instance") {
  BalanceEndpoint restarted = Entry("e1", 20'007);
  restarted.m_born_at = kStart + seconds(20);
  BalanceState state = StateOf({restarted});
  state.m_limit_peers = {{1, 2}, 1};
  const Instant now = kStart + seconds(22);
  CHECK_FALSE(OnLimitStatement(state, "e1", {2, kStart + seconds(17)}, now));
  CHECK_FALSE(IsLimited(state.m_endpoints.at("e1").m_limit));
  CHECK(OnLimitStatement(state, "e1", {2, kStart + seconds(21)}, now));
  CHECK(IsLimited(state.m_endpoints.at("e1").m_limit));
}

// Guards against requests within the pause that a full endpoint asked for,
// also after a later rejection without one.
TEST_CASE("a full endpoint gets nothing for the time that it asks for") {
  BalanceState state = StateOf({Entry("e1", 7)});
  OnEndpointFull(state, "e1", 2.5, kStart);
  OnEndpointFull(state, "e1", std::nullopt, kStart);
  const auto chosen = [&state](Duration after) {
    return SelectEndpoint(state, ServiceQuery(), kStart + after).has_value();
  };
  CHECK_FALSE(chosen(milliseconds(2499)));
  CHECK(chosen(milliseconds(2500)));
}

TEST_CASE("a pause lasts when the entry vanishes and returns") {
  BalanceState state = StateOf({Entry("e1", 7)});
  OnEndpointFull(state, "e1", 5.0, kStart);
  UpdateEndpoints(state, {}, kStart + seconds(1));
  UpdateEndpoints(state, {Entry("e1", 7)}, kStart + seconds(2));
  CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), kStart + seconds(4)));
  CHECK(SelectEndpoint(state, ServiceQuery(), kStart + seconds(5)));
}

// Guards against an endpoint that is lost for good, or time values that
// overflow, because of a number in a response.
TEST_CASE("absurd pauses are corrected") {
  const double infinity = std::numeric_limits<double>::infinity();
  for (const double pause : {1e308, infinity, 1e9}) {
    CAPTURE(pause);
    BalanceState state = StateOf({Entry("e1", 7)});
    OnEndpointFull(state, "e1", pause, kStart);
    CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), kStart + seconds(59)));
    CHECK(SelectEndpoint(state, ServiceQuery(), kStart + minutes(2)));
  }
  for (const double pause : {0.0, -1e308, -infinity, std::nan("")}) {
    CAPTURE(pause);
    BalanceState state = StateOf({Entry("e1", 7)});
    OnEndpointFull(state, "e1", pause, kStart);
    CHECK_FALSE(SelectEndpoint(state, ServiceQuery(), kStart));
    CHECK(SelectEndpoint(state, ServiceQuery(), kStart + seconds(1)));
  }
}

// Guards against a list of vanished endpoints that grows without bound.
TEST_CASE("what vanished endpoints said is forgotten in the end") {
  BalanceState state = StateOf({Entry("e1", 7)});
  OnEndpointLeaving(state, "e1");
  UpdateEndpoints(state, {}, kStart);
  CHECK(state.m_vanished.size() == 1);
  UpdateEndpoints(state, {}, kStart + minutes(30));
  CHECK(state.m_vanished.empty());
}

// Guards against an endpoint that gets more than its part, because requests of
// its former lifetime that end late, as after a power failure, are taken off
// its load.
TEST_CASE("requests of a former lifetime do not lower the load") {
  BalanceState state = StateOf({Entry("e1", 7)});
  for (int i = 0; i < 2; ++i) OnRequestDispatched(state, "e1", 100);
  UpdateEndpoints(state, {Entry("e1", 8)}, kStart + seconds(1));
  OnRequestDispatched(state, "e1", 100);
  for (int i = 0; i < 2; ++i) OnRequestCompleted(state, "e1", 7, 100);
  CHECK(state.m_endpoints.at("e1").m_running == 1);
  CHECK(state.m_endpoints.at("e1").m_prefill_ms == 100);
  OnRequestCompleted(state, "e1", 8, 100);
  CHECK(state.m_endpoints.at("e1").m_running == 0);
  CHECK(state.m_endpoints.at("e1").m_prefill_ms == 0);
}

// Guards against estimates of slow engines that stay far too short for as many
// requests as one instance of many sees in minutes.
TEST_CASE("the prefill speed is known after a few prompts") {
  for (const double speed : {20.0, 37.0, 157.0, 400.0}) {
    CAPTURE(speed);
    BalanceState state = StateOf({Entry("e1", 7)});
    constexpr double kTokens = 4000;
    const double alone_ms = kTokens / speed;
    for (const double queued_ms : {300.0, 0.0, 900.0, 40.0, 2000.0, 700.0}) {
      OnPrefillTimed(state, "e1", {kTokens, alone_ms, alone_ms + queued_ms},
                     kStart);
    }
    CHECK(state.m_speeds["s"].m_prefill_tokens_per_ms ==
          doctest::Approx(speed).epsilon(0.1));
  }
}

}  // namespace
}  // namespace comfreypaddle
