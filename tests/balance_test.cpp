#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "balance.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "resend.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

BalanceEndpoint MakeEndpoint(const std::string& id, const std::string& zone,
                             EngineStage stage) {
  BalanceEndpoint endpoint;
  endpoint.m_id = id;
  endpoint.m_service = "s";
  endpoint.m_address = "127.0.0.1:1";
  endpoint.m_zone = zone;
  endpoint.m_region = zone;
  endpoint.m_stage = stage;
  endpoint.m_slots = 8;
  endpoint.m_hash = std::hash<std::string>()(id);
  return endpoint;
}

BalanceState MakeState(int decoders, int prefillers) {
  BalanceState state;
  state.m_zone = "z0";
  state.m_region = "z0";
  for (int i = 0; i < decoders + prefillers; ++i) {
    const std::string id = "e" + std::to_string(i);
    state.m_endpoints[id] = MakeEndpoint(
        id, "z0", i < decoders ? EngineStage::kDecode : EngineStage::kPrefill);
  }
  return state;
}

BalanceQuery Prompt(std::uint64_t prefix_hash, double prefix, double suffix) {
  BalanceQuery query;
  query.m_service = "s";
  query.m_is_prompt = true;
  query.m_shared_prefix_hash = prefix_hash;
  query.m_shared_prefix_tokens = prefix;
  query.m_suffix_tokens = suffix;
  return query;
}

// Guards against a shared prompt prefix being recomputed at every endpoint.
TEST_CASE("requests with the same prompt prefix go to the same endpoint") {
  const BalanceState state = MakeState(6, 0);
  std::set<std::string> preferred;
  for (std::uint64_t prefix_hash = 1; prefix_hash <= 30; ++prefix_hash) {
    const auto first =
        SelectEndpoint(state, Prompt(prefix_hash, 13'000, 3'000), kStart);
    const auto again =
        SelectEndpoint(state, Prompt(prefix_hash, 13'000, 500), kStart);
    REQUIRE(first);
    REQUIRE(again);
    CHECK(first->m_endpoint == again->m_endpoint);
    CHECK(first->m_reason == BalanceReason::kAffinity);
    preferred.insert(first->m_endpoint);
  }
  CHECK(preferred.size() > 3);
}

// Guards against an endpoint that looks idle because its load comes from other
// instances.
TEST_CASE("the load of other instances counts while it is fresh") {
  BalanceState state = MakeState(6, 0);
  const BalanceQuery query = Prompt(7, 2'000, 1'000);
  const std::string preferred_id =
      SelectEndpoint(state, query, kStart)->m_endpoint;
  BalanceEndpoint& endpoint = state.m_endpoints.at(preferred_id);
  endpoint.m_remote_running = 4;
  endpoint.m_remote_prefill_ms = 5'000;
  endpoint.m_remote_reported_at = kStart;
  CHECK(SelectEndpoint(state, query, kStart)->m_endpoint != preferred_id);
  CHECK(SelectEndpoint(state, query, kStart + seconds(1))->m_endpoint ==
        preferred_id);
}

// Guards against all instances selecting the same one of several endpoints that
// look idle to each of them.
TEST_CASE("requests from idle instances spread over equally loaded endpoints") {
  const BalanceState state = MakeState(8, 4);
  std::map<std::string, int> runs;
  for (std::uint64_t request = 1; request <= 400; ++request) {
    BalanceQuery query = Prompt(request, 13'000, 9'000);
    query.m_tie_break_seed = request * 0x9e3779b97f4a7c15ULL;
    const auto choice = SelectEndpoint(state, query, kStart);
    REQUIRE(choice);
    REQUIRE_FALSE(choice->m_prefill.empty());
    ++runs[choice->m_endpoint];
  }
  REQUIRE(runs.size() == 8);
  for (const auto& [id, count] : runs) CHECK(count < 100);
}

TEST_CASE("a busy preferred endpoint is replaced by the second choice") {
  BalanceState state = MakeState(6, 0);
  const BalanceQuery query = Prompt(7, 2'000, 1'000);
  const std::string preferred_id =
      SelectEndpoint(state, query, kStart)->m_endpoint;
  OnRequestDispatched(state, preferred_id, 5'000);
  const auto other = SelectEndpoint(state, query, kStart);
  CHECK(other->m_endpoint != preferred_id);
  OnPrefillDone(state, preferred_id, 5'000);
  OnRequestCompleted(state, preferred_id, 0, 0);
  CHECK(SelectEndpoint(state, query, kStart)->m_endpoint == preferred_id);
}

TEST_CASE(
    "a long prompt is prefilled separately when decode endpoints are busy") {
  BalanceState state = MakeState(2, 2);
  for (const char* id : {"e0", "e1"}) OnRequestDispatched(state, id, 800);
  const auto choice = SelectEndpoint(state, Prompt(3, 13'000, 9'000), kStart);
  REQUIRE(choice);
  CHECK_FALSE(choice->m_prefill.empty());
  BalanceQuery whole = Prompt(3, 13'000, 9'000);
  whole.m_allow_split = false;
  CHECK(SelectEndpoint(state, whole, kStart)->m_prefill.empty());
}

TEST_CASE("draining, full, tried and failed endpoints get no request") {
  BalanceState state = MakeState(4, 0);
  state.m_endpoints["e0"].m_draining = true;
  OnEndpointFull(state, "e1", std::nullopt, kStart);
  OnEndpointFailed(state, "e2", kStart);
  BalanceQuery query = Prompt(0, 0, 100);
  CHECK(SelectEndpoint(state, query, kStart)->m_endpoint == "e3");
  query.m_excluded = {"e3"};
  const auto last = SelectEndpoint(state, query, kStart);
  REQUIRE(last);
  CHECK(last->m_endpoint == "e2");
  CHECK(last->m_reason == BalanceReason::kLastResort);
  query.m_excluded = {"e2", "e3"};
  CHECK_FALSE(SelectEndpoint(state, query, kStart));
  CHECK(SelectEndpoint(state, query, kStart + seconds(1))->m_endpoint == "e1");
}

// Guards against an endpoint that fails half of its requests and is used again
// after each successful one.
TEST_CASE("an endpoint that fails many of its requests is avoided for longer") {
  BalanceState state = MakeState(2, 0);
  OnEndpointFailed(state, "e0", kStart);
  OnEndpointAnswered(state, "e0", kStart);
  CHECK(state.m_endpoints["e0"].m_avoid_until == Instant{});
  for (int i = 0; i < 3; ++i) {
    OnEndpointFailed(state, "e0", kStart);
    OnEndpointAnswered(state, "e0", kStart);
  }
  CHECK(state.m_endpoints["e0"].m_avoid_until >= kStart + seconds(1));
  const BalanceQuery query = Prompt(0, 0, 100);
  CHECK(SelectEndpoint(state, query, kStart + milliseconds(900))->m_endpoint ==
        "e1");
  for (int i = 0; i < 10; ++i) OnEndpointAnswered(state, "e0", kStart);
  CHECK(state.m_endpoints["e0"].m_avoid_until == Instant{});
}

TEST_CASE(
    "endpoints of plain services are chosen by distance until they are "
    "loaded") {
  BalanceState state;
  state.m_zone = "z0";
  state.m_region = "z0";
  state.m_endpoints["a"] = MakeEndpoint("a", "z0", EngineStage::kNone);
  state.m_endpoints["b"] = MakeEndpoint("b", "z1", EngineStage::kNone);
  BalanceQuery query;
  query.m_service = "s";
  CHECK(SelectEndpoint(state, query, kStart)->m_endpoint == "a");
  for (int i = 0; i < 6; ++i) OnRequestDispatched(state, "a", 0);
  CHECK(SelectEndpoint(state, query, kStart)->m_endpoint == "b");
}

// Guards against unlimited retries when a whole service fails.
TEST_CASE("retries stay within the instance's share of the budget") {
  ResendState state;
  state.m_limits = {0.2, seconds(10), 60};
  SetInstances(state, {6, true}, kStart - seconds(60));
  state.m_list_confirmed_at = Instant::max();
  Instant now = kStart;
  int taken = 0;
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(5);
    CountRequest(state, "s", now);
    if (TryConsumeResend(state, "s", "e", now)) ++taken;
  }
  // 2,000 requests in 10 s, plus one sixth of the slack.
  CHECK(taken <= 0.2 * 2000 + 10);
  CHECK(taken > 200);
  CHECK_FALSE(TryConsumeResend(state, "s", "e", now));
  OnResendsRead(state, "s", "e", now);
  CHECK_FALSE(TryConsumeResend(state, "s", "e", now));
  CHECK(TryConsumeResend(state, "s", "e", now + seconds(30)));
}

// Guards against computing a long prefix again that another endpoint has.
TEST_CASE("an endpoint fetches a prefix from one that is known to hold it") {
  BalanceState state = MakeState(6, 0);
  EngineSpeed& speed = state.m_speeds["s"];
  speed.m_prefill_tokens_per_ms = 40;
  speed.m_kv_token_bytes = 18'432;
  speed.m_link_mbps = 180'000;
  for (auto& [id, endpoint] : state.m_endpoints) {
    endpoint.m_address = id + ":1";
  }
  const BalanceQuery query = Prompt(7, 13'000, 3'000);
  const std::string holder = SelectEndpoint(state, query, kStart)->m_endpoint;
  OnPrefixCached(state, holder, 7, 13'000, kStart);
  const auto near = SelectEndpoint(state, query, kStart);
  CHECK(near->m_endpoint == holder);
  CHECK(near->m_reason == BalanceReason::kAffinity);
  CHECK(near->m_fetch_address.empty());
  // The holder is busy for longer than a transfer takes.
  OnRequestDispatched(state, holder, 2'000);
  const auto away = SelectEndpoint(state, query, kStart);
  CHECK(away->m_endpoint != holder);
  CHECK(away->m_fetch_address == holder + ":1");
  CHECK(away->m_work_ms < near->m_work_ms + 200);
  // A restarted holder has an empty cache, so that the prefix is computed.
  state.m_endpoints.at(holder).m_born_ms = 99;
  CHECK(SelectEndpoint(state, query, kStart)->m_work_ms >
        away->m_work_ms + 200);
}

TEST_CASE(
    "what other instances tell of prefixes is used, and what is new told") {
  BalanceState state = MakeState(6, 0);
  OnPrefixCached(state, "e3", 7, 13'000, kStart);
  OnPrefixCached(state, "e3", 7, 13'000, kStart + milliseconds(100));
  OnPrefixCached(state, "e3", 8, 100, kStart);
  const std::vector<CachedPrefix> news = TakeNewPrefixes(state);
  REQUIRE(news.size() == 1);
  CHECK(news[0].m_prefix_hash == 7);
  CHECK(news[0].m_endpoint_hash == state.m_endpoints.at("e3").m_hash);
  CHECK(TakeNewPrefixes(state).empty());
  BalanceState other = MakeState(6, 0);
  OnPeerPrefix(other, other.m_endpoints.at("e3"), 7, kStart);
  CHECK(TakeNewPrefixes(other).empty());
  CHECK(SelectEndpoint(other, Prompt(7, 13'000, 3'000), kStart)->m_endpoint ==
        "e3");
}

}  // namespace
}  // namespace comfreypaddle
