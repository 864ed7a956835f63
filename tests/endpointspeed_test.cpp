#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpointspeed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "balance.h"
#include "loadshare.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

// Load of these tests: endpoints of the speeds 0.6, 1.0 and 1.6, each of which
// is slower by 2.5 in 15 of 100 intervals of 600 ms.
constexpr std::array<double, 3> kSpeeds{0.6, 1.0, 1.6};
constexpr double kSpellFactor = 2.5;
constexpr double kSpellShare = 0.15;
constexpr Duration kSpellTime = milliseconds(600);
// Prefill time of a prompt at speed 1, and the tokens that a decode endpoint
// prefills in a millisecond.
constexpr double kWorkMs = 60;
constexpr double kTokensPerMs = 30;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLoadPeriod = milliseconds(50);
constexpr Duration kSpeedPeriod = seconds(1);

// One endpoint that does prefills one after the other.
struct FakeEndpoint {
  std::string m_id;
  double m_speed = 1;
  double m_spell = 1;    // Factor on all times.
  double m_busy_ms = 0;  // Work over its own speed.
  int m_samples = 0;
  Instant m_free_at = kStart;
};

struct FakePrefill {
  std::size_t m_instance = 0;
  std::size_t m_endpoint = 0;
  double m_work_ms = 0;
  DispatchTerms m_terms;
  Instant m_sent{};
  Instant m_ends{};
};

// A fleet of endpoints and the instances that send them prompts.
struct FakeFleet {
  std::mt19937 m_random{7};
  std::vector<FakeEndpoint> m_endpoints;
  std::vector<BalanceState> m_instances;
  std::vector<FakePrefill> m_open;
  LoadShareState m_share;
  Instant m_now = kStart;
};

FakeFleet MakeFleet(std::size_t instances, std::size_t endpoints) {
  FakeFleet fleet;
  BalanceState state;
  state.m_zone = "z";
  state.m_region = "z";
  state.m_speeds["s"].m_prefill_tokens_per_ms = kTokensPerMs / 0.3;
  for (std::size_t i = 0; i < endpoints; ++i) {
    FakeEndpoint fake;
    fake.m_id = "e" + std::to_string(100 + i);
    fake.m_speed = kSpeeds[i % kSpeeds.size()];
    BalanceEndpoint endpoint;
    endpoint.m_id = fake.m_id;
    endpoint.m_service = "s";
    endpoint.m_zone = "z";
    endpoint.m_region = "z";
    endpoint.m_stage = EngineStage::kDecode;
    endpoint.m_slots = 64;
    endpoint.m_hash = std::hash<std::string>()(fake.m_id);
    state.m_endpoints[fake.m_id] = endpoint;
    fleet.m_endpoints.push_back(fake);
  }
  fleet.m_instances.assign(instances, state);
  return fleet;
}

void DrawSpells(FakeFleet& fleet) {
  std::bernoulli_distribution is_slow(kSpellShare);
  for (FakeEndpoint& endpoint : fleet.m_endpoints) {
    endpoint.m_spell = is_slow(fleet.m_random) ? kSpellFactor : 1;
  }
}

void SendPrompt(FakeFleet& fleet) {
  std::uniform_int_distribution<std::size_t> pick(0,
                                                  fleet.m_instances.size() - 1);
  const std::size_t at = pick(fleet.m_random);
  BalanceState& state = fleet.m_instances[at];
  BalanceQuery query;
  query.m_service = "s";
  query.m_is_prompt = true;
  query.m_suffix_tokens = kWorkMs * kTokensPerMs;
  query.m_tie_break_seed = fleet.m_random();
  const auto choice = SelectEndpoint(state, query, fleet.m_now);
  REQUIRE(choice);
  const auto found =
      std::find_if(fleet.m_endpoints.begin(), fleet.m_endpoints.end(),
                   [&](const FakeEndpoint& fake) {
                     return fake.m_id == choice->m_endpoint;
                   });
  FakeEndpoint& endpoint = *found;
  const double took_ms = kWorkMs / endpoint.m_speed * endpoint.m_spell;
  endpoint.m_busy_ms += kWorkMs / endpoint.m_speed;
  endpoint.m_free_at =
      std::max(endpoint.m_free_at, fleet.m_now) + FromMs(took_ms);
  const DispatchTerms terms =
      TermsOf(*FindEndpoint(state, endpoint.m_id), fleet.m_now);
  OnRequestDispatched(state, endpoint.m_id, choice->m_work_ms);
  fleet.m_open.push_back(
      {at, static_cast<std::size_t>(found - fleet.m_endpoints.begin()),
       choice->m_work_ms, terms, fleet.m_now,
       endpoint.m_free_at + milliseconds(35)});
}

void EndPrefills(FakeFleet& fleet) {
  const auto open = std::partition(
      fleet.m_open.begin(), fleet.m_open.end(),
      [&](const FakePrefill& prefill) { return prefill.m_ends > fleet.m_now; });
  for (auto at = open; at != fleet.m_open.end(); ++at) {
    BalanceState& state = fleet.m_instances[at->m_instance];
    FakeEndpoint& endpoint = fleet.m_endpoints[at->m_endpoint];
    OnPrefillDone(state, endpoint.m_id, at->m_work_ms);
    OnRequestCompleted(state, endpoint.m_id);
    OnPrefillTimed(
        state, endpoint.m_id,
        {0, at->m_work_ms, ToMs(fleet.m_now - at->m_sent), at->m_terms},
        fleet.m_now);
    ++endpoint.m_samples;
  }
  fleet.m_open.erase(open, fleet.m_open.end());
}

void ShareLoads(FakeFleet& fleet) {
  for (FakeEndpoint& fake : fleet.m_endpoints) {
    std::uint32_t running = 0;
    double prefill_ms = 0;
    for (const BalanceState& state : fleet.m_instances) {
      running += FindEndpoint(state, fake.m_id)->m_running;
      prefill_ms += FindEndpoint(state, fake.m_id)->m_prefill_ms;
    }
    for (BalanceState& state : fleet.m_instances) {
      BalanceEndpoint& endpoint = *FindEndpoint(state, fake.m_id);
      endpoint.m_remote_running = running - endpoint.m_running;
      endpoint.m_remote_prefill_ms = prefill_ms - endpoint.m_prefill_ms;
      endpoint.m_remote_reported_at = fleet.m_now;
    }
  }
}

void ShareSpeeds(FakeFleet& fleet) {
  for (std::size_t i = 0; i < fleet.m_instances.size(); ++i) {
    LoadTable load;
    for (const auto& [id, endpoint] : fleet.m_instances[i].m_endpoints) {
      const auto report = ReportToShare(endpoint.m_speed, fleet.m_now);
      if (report) {
        load[static_cast<std::uint32_t>(endpoint.m_hash)].m_speed = report;
      }
    }
    SetMemberLoad(fleet.m_share, std::to_string(i), load, fleet.m_now);
  }
  for (std::size_t i = 0; i < fleet.m_instances.size(); ++i) {
    LoadTable load;
    AddSpeedsForMember(fleet.m_share, std::to_string(i), fleet.m_now, &load);
    for (auto& [id, endpoint] : fleet.m_instances[i].m_endpoints) {
      const auto told = load.find(static_cast<std::uint32_t>(endpoint.m_hash));
      SetOthers(fleet.m_instances[i].m_typical_speeds["s"], endpoint.m_speed,
                told == load.end()
                    ? SpeedReport{}
                    : told->second.m_speed.value_or(SpeedReport{}),
                fleet.m_now);
    }
    UpdateSpeeds(fleet.m_instances[i], fleet.m_now);
  }
}

// Plays prompts at a share of what the endpoints can do together.
void Play(FakeFleet& fleet, Duration time, double offered) {
  double speeds = 0;
  for (const FakeEndpoint& endpoint : fleet.m_endpoints) {
    speeds += endpoint.m_speed;
  }
  const double slowdown = 1 + kSpellShare * (kSpellFactor - 1);
  const double per_step = offered * speeds * ToMs(kStep) / (kWorkMs * slowdown);
  std::poisson_distribution<int> arrivals(per_step);
  const Instant end = fleet.m_now + time;
  for (; fleet.m_now < end; fleet.m_now += kStep) {
    const Duration since = fleet.m_now - kStart;
    if (since % kSpellTime == Duration{0}) DrawSpells(fleet);
    if (since % kLoadPeriod == Duration{0}) ShareLoads(fleet);
    if (since % kSpeedPeriod == Duration{0}) ShareSpeeds(fleet);
    EndPrefills(fleet);
    for (int i = arrivals(fleet.m_random); i > 0; --i) SendPrompt(fleet);
  }
}

void CheckEvenAndLearnt(std::size_t instances, std::size_t endpoints) {
  FakeFleet fleet = MakeFleet(instances, endpoints);
  Play(fleet, seconds(15), 0.75);
  for (FakeEndpoint& endpoint : fleet.m_endpoints) {
    endpoint.m_busy_ms = 0;
    endpoint.m_samples = 0;
  }
  Play(fleet, seconds(30), 0.75);
  double busy_ms = 0;
  for (const FakeEndpoint& e : fleet.m_endpoints) busy_ms += e.m_busy_ms;
  const double mean_ms = busy_ms / static_cast<double>(endpoints);
  for (const FakeEndpoint& fake : fleet.m_endpoints) {
    const double ratio =
        FindEndpoint(fleet.m_instances.front(), fake.m_id)->m_speed.m_ratio;
    INFO(fake.m_id, " speed ", fake.m_speed, " ratio ", ratio, " samples ",
         fake.m_samples, " utilisation ", fake.m_busy_ms / mean_ms);
    CHECK(fake.m_busy_ms < 1.2 * mean_ms);
    CHECK(fake.m_samples > 30);
  }
}

// Guards against slow endpoints that get as many prompts as fast ones, and
// against endpoints that are left without samples.
TEST_CASE("endpoints of unlike speeds are used evenly by 6 instances") {
  CheckEvenAndLearnt(6, 12);
}

TEST_CASE("endpoints of unlike speeds are used evenly by 380 instances") {
  CheckEvenAndLearnt(380, 30);
}

// Samples of one instance, two a second at each endpoint.
struct FakeSamples {
  std::mt19937 m_random{3};
  ServiceSpeed m_service;
  std::vector<EndpointSpeed> m_endpoints = std::vector<EndpointSpeed>(9);
  std::vector<double> m_slowdown = std::vector<double>(9, 1);
  Instant m_now = kStart;
};

void PlaySamples(FakeSamples& fake, Duration time) {
  constexpr Duration kPeriod = milliseconds(500);
  std::bernoulli_distribution is_slow(kSpellShare);
  for (const Instant end = fake.m_now + time; fake.m_now < end;
       fake.m_now += kPeriod) {
    for (std::size_t i = 0; i < fake.m_endpoints.size(); ++i) {
      SpeedSample sample;
      sample.m_kind = SpeedSampleKind::kDecodeGap;
      sample.m_running = 5;
      sample.m_elapsed_ms = 50 / kSpeeds[i % kSpeeds.size()] *
                            fake.m_slowdown[i] *
                            (is_slow(fake.m_random) ? kSpellFactor : 1);
      AddSample(fake.m_service, fake.m_endpoints[i], sample, fake.m_now);
    }
  }
}

double RatioOf(FakeSamples& fake, std::size_t i) {
  UpdateRatio(fake.m_service, fake.m_endpoints[i], fake.m_now);
  return fake.m_endpoints[i].m_ratio;
}

// Guards against an estimate that stays at the figure of the service.
TEST_CASE("the estimates converge to the speeds of the endpoints") {
  FakeSamples fake;
  PlaySamples(fake, seconds(40));
  std::array<double, 3> sums{};
  for (std::size_t i = 0; i < 9; ++i) {
    sums[i % 3] += std::log(RatioOf(fake, i)) / 3;
  }
  CHECK(std::exp(sums[1] - sums[0]) > 1.3);
  CHECK(std::exp(sums[2] - sums[1]) > 1.3);
  CHECK(std::exp(sums[2] - sums[0]) < 1.6 / 0.6 * 1.2);
}

// Guards against an endpoint that is given up for a moment, one that is kept
// while it is slow for long, and one that is never tried again.
TEST_CASE("a short spell does not unseat an endpoint and a long one does") {
  FakeSamples fake;
  PlaySamples(fake, seconds(30));
  const double before = RatioOf(fake, 4);
  fake.m_slowdown[4] = kSpellFactor;
  PlaySamples(fake, milliseconds(900));
  CHECK(RatioOf(fake, 4) > 0.7 * before);
  PlaySamples(fake, seconds(5));
  CHECK(RatioOf(fake, 4) < 0.65 * before);
  fake.m_slowdown[4] = 1;
  PlaySamples(fake, seconds(8));
  CHECK(RatioOf(fake, 4) > 0.75 * before);
}

// Guards against an endpoint without samples that stays out of use for good.
TEST_CASE("an estimate without new samples returns to the service's figure") {
  FakeSamples fake;
  fake.m_slowdown[4] = 5;
  PlaySamples(fake, seconds(20));
  CHECK(RatioOf(fake, 4) < 0.5);
  fake.m_now += seconds(20);
  CHECK(RatioOf(fake, 4) > 0.8);
}

// Guards against a restarted endpoint that inherits the speed of the last
// lifetime, from this instance or from late reports of others.
TEST_CASE("a new lifetime starts anew") {
  BalanceState state;
  BalanceEndpoint entry;
  entry.m_id = "e";
  entry.m_born_ms = 1;
  UpdateEndpoints(state, {entry}, kStart);
  EndpointSpeed& known = FindEndpoint(state, "e")->m_speed;
  SetOthers({}, known, {std::log(0.3), 20}, kStart);
  CHECK(known.m_ratio < 0.4);
  UpdateEndpoints(state, {entry}, kStart);
  CHECK(FindEndpoint(state, "e")->m_speed.m_ratio < 0.4);
  entry.m_born_ms = 2;
  UpdateEndpoints(state, {entry}, kStart);
  EndpointSpeed& restarted = FindEndpoint(state, "e")->m_speed;
  CHECK(restarted.m_ratio == 1);
  SetOthers({}, restarted, {std::log(0.3), 20}, kStart + seconds(1));
  CHECK(restarted.m_ratio == 1);
  SetOthers({}, restarted, {std::log(0.3), 20}, kStart + seconds(5));
  CHECK(restarted.m_ratio < 0.4);
}

// Guards against a report that counts twice, or that outlives its sender.
TEST_CASE("speeds are told as weighted means, seldom, and expire") {
  LoadShareState share;
  LoadTable slow;
  slow[1].m_speed = SpeedReport{-1, 3};
  LoadTable fast;
  fast[1].m_speed = SpeedReport{1, 1};
  SetMemberLoad(share, "a", slow, kStart);
  SetZoneLoad(share, "y", fast, kStart);
  LoadTable told;
  AddSpeedsForMember(share, "b", kStart, &told);
  REQUIRE(told[1].m_speed);
  CHECK(told[1].m_speed->m_log_ratio == doctest::Approx(-0.5));
  CHECK(told[1].m_speed->m_weight == doctest::Approx(4));
  LoadTable zone;
  AddSpeedsForZone(share, "y", kStart, &zone);
  CHECK(zone[1].m_speed->m_weight == doctest::Approx(3));
  LoadTable own;
  AddSpeedsForMember(share, "a", kStart, &own);
  CHECK(own[1].m_speed->m_weight == doctest::Approx(1));
  LoadTable again;
  AddSpeedsForMember(share, "b", kStart + milliseconds(500), &again);
  CHECK(again.empty());
  LoadTable late;
  AddSpeedsForMember(share, "b", kStart + seconds(4), &late);
  CHECK(late.empty());
}

// Guards against faster or slower choices where nothing has been learnt.
TEST_CASE("an instance without samples takes all endpoints for equal") {
  EndpointSpeed speed;
  UpdateRatio({}, speed, kStart);
  CHECK(speed.m_ratio == 1);
  CHECK_FALSE(ReportToShare(speed, kStart));
  ServiceSpeed service;
  SpeedSample sample;
  sample.m_elapsed_ms = 0;
  AddSample(service, speed, sample, kStart);
  CHECK(speed.m_ratio == 1);
}

}  // namespace
}  // namespace comfreypaddle
