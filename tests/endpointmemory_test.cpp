#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpointmemory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "balance.h"

namespace comfreypaddle {
namespace {

constexpr Instant kStart = Instant(std::chrono::seconds(1000));
constexpr double kCapacity = 474'703;

BalanceQuery Prompt(double prefix, double suffix, double output) {
  BalanceQuery query;
  query.m_service = "s";
  query.m_is_prompt = true;
  query.m_shared_prefix_hash = 7;
  query.m_shared_prefix_tokens = prefix;
  query.m_suffix_tokens = suffix;
  query.m_output_tokens = output;
  return query;
}

BalanceState MakeState(int endpoints) {
  BalanceState state;
  state.m_speeds["s"].m_kv_tokens = kCapacity;
  state.m_limit_peers.m_self = 1;
  state.m_limit_peers.m_instances = {1};
  for (int i = 0; i < endpoints; ++i) {
    BalanceEndpoint endpoint;
    endpoint.m_id = "e" + std::to_string(i);
    endpoint.m_service = "s";
    endpoint.m_stage = EngineStage::kDecode;
    endpoint.m_slots = 64;
    endpoint.m_hash = static_cast<std::uint64_t>(i) + 1;
    state.m_endpoints[endpoint.m_id] = endpoint;
  }
  return state;
}

// Guards against counting a prefix once for each request that shares it, which
// would leave most of the memory unused.
TEST_CASE("requests with one prefix hold it once") {
  EndpointMemory memory;
  const MemoryNeed need{5, 13'300, 3'720};
  for (int i = 0; i < 10; ++i) HoldMemory(memory, need);
  CHECK(OwnTokens(memory) == doctest::Approx(13'300 + 10 * 3'720));
  for (int i = 0; i < 10; ++i) ReleaseMemory(memory, need);
  CHECK(OwnTokens(memory) == doctest::Approx(0));
  CHECK(memory.m_prefixes.empty());
}

// Guards against a release of a request that was never counted, as after a
// restart of the endpoint, leaving a negative sum that admits too much.
TEST_CASE("a release without a hold does not go below zero") {
  EndpointMemory memory;
  ReleaseMemory(memory, {5, 13'300, 3'720});
  CHECK(OwnTokens(memory) == doctest::Approx(0));
}

struct Sender {
  EndpointMemory m_memory;
  std::vector<MemoryNeed> m_open;
};

// Load: a burst of the largest prompts at every instance, while each knows only
// what the others held at the last exchange. Guards against an endpoint that
// crashes because instances filled the same free memory at the same moment.
TEST_CASE("a burst at many instances does not exceed the endpoint's memory") {
  std::mt19937 random(20261204);
  for (const int instances : {6, 85, 380}) {
    CAPTURE(instances);
    std::vector<Sender> senders(instances);
    double highest = 0;
    for (int round = 0; round < 200; ++round) {
      double total = 0;
      for (const Sender& sender : senders) total += OwnTokens(sender.m_memory);
      for (Sender& sender : senders) {
        SetRemoteMemory(sender.m_memory, total - OwnTokens(sender.m_memory));
      }
      // In one exchange period an endpoint is chosen a few times, because the
      // choice differs between instances.
      for (int arrivals = 0; arrivals < 4; ++arrivals) {
        const std::size_t at = random() % senders.size();
        Sender& sender = senders[at];
        const MemoryNeed need{random(), 26'600, 13'000};
        if (!HasMemoryFor(sender.m_memory, need, kCapacity, at == 0)) continue;
        HoldMemory(sender.m_memory, need);
        sender.m_open.push_back(need);
      }
      total = 0;
      for (Sender& sender : senders) {
        total += OwnTokens(sender.m_memory);
        if (sender.m_open.empty() || random() % 4 != 0) continue;
        ReleaseMemory(sender.m_memory, sender.m_open.back());
        sender.m_open.pop_back();
      }
      highest = std::max(highest, total);
    }
    CHECK(highest <= kCapacity);
    CHECK(highest > 0.4 * kCapacity);
  }
}

// Guards against the largest prompts never being served beside many small ones.
TEST_CASE("the largest prompt fits while half of the memory is free") {
  EndpointMemory memory;
  SetRemoteMemory(memory, kCapacity / 2);
  CHECK(HasMemoryFor(memory, {9, 53'200, 39'900}, kCapacity, false));
  SetRemoteMemory(memory, kCapacity / 2 + 1);
  CHECK_FALSE(HasMemoryFor(memory, {9, 53'200, 39'900}, kCapacity, false));
  CHECK(HasMemoryFor(memory, {9, 53'200, 39'900}, kCapacity, true));
}

// Guards against a deployment whose engines do not tell their memory being
// refused everything.
TEST_CASE("an unknown capacity holds nothing back") {
  EndpointMemory memory;
  SetRemoteMemory(memory, 1e9);
  CHECK(HasMemoryFor(memory, {9, 53'200, 39'900}, 0, false));
}

// Load: long prompts beside an endpoint that is nearly full. Guards against
// sending them there because it holds their prefix.
TEST_CASE("an endpoint without memory is passed over") {
  BalanceState state = MakeState(2);
  state.m_limit_peers.m_instances = {1, 2, 3, 4, 5, 6};
  SetRemoteMemory(state.m_endpoints.at("e0").m_memory, kCapacity - 10'000);
  const BalanceQuery query = Prompt(13'300, 3'720, 12);
  const auto choice = SelectEndpoint(state, query, kStart);
  REQUIRE(choice);
  CHECK(choice->m_endpoint == "e1");
  CHECK(JudgeMemory(state, query, kStart) == MemoryVerdict::kFits);
  SetRemoteMemory(state.m_endpoints.at("e1").m_memory, kCapacity - 10'000);
  CHECK_FALSE(SelectEndpoint(state, query, kStart));
  CHECK(JudgeMemory(state, query, kStart) == MemoryVerdict::kShort);
}

// Guards against a request that fits nowhere waiting for room.
TEST_CASE("a request larger than an endpoint's memory is told at once") {
  const BalanceState state = MakeState(2);
  CHECK(JudgeMemory(state, Prompt(400'000, 80'000, 100), kStart) ==
        MemoryVerdict::kTooLarge);
}

}  // namespace
}  // namespace comfreypaddle
