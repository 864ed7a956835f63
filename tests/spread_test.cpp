#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "support_instances.h"

// Time until a change that one instance reads from the store has reached all
// others, with many instances in virtual time. Only the ports are simulated.

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GrownDeployment;
using testing::InstanceFleet;
using testing::PropagationTime;
using testing::SimulatedZone;
using testing::SmallDeployment;
using testing::StoreDenial;

// Limit for a confirmed change to be applied everywhere: 2.5 s on the platform
// of the small deployments, 3 s at the largest planned size.
constexpr Duration kSmallLimit = milliseconds(2500);
constexpr Duration kLargeLimit = milliseconds(3000);

// Time after which a leaving endpoint must get no new requests, in the small
// and the grown deployment.
constexpr Duration kSmallDrainTime = milliseconds(2500);
constexpr Duration kLargeDrainTime = milliseconds(4000);

// Reporting deadline of a usage window, from its end, and the largest relative
// error of a report.
constexpr Duration kUsageDelay = seconds(10);
constexpr double kUsageTolerance = 0.05;

// Time for all instances to discover each other and the configuration.
constexpr Duration kStartupTime = seconds(12);

constexpr std::uint64_t kFirstSeed = 1;

// 380 instances in 11 zones of 5 regions.
std::vector<SimulatedZone> LargeDeployment() {
  std::vector<SimulatedZone> zones;
  for (int i = 0; i < 11; ++i) {
    zones.push_back({"zone-" + std::string(1, static_cast<char>('a' + i)),
                     "region-" + std::to_string(i % 5), i < 6 ? 35 : 34});
  }
  return zones;
}

std::set<std::string> Sample(std::vector<std::string> names, std::size_t count,
                             std::mt19937_64* random) {
  std::shuffle(names.begin(), names.end(), *random);
  return {names.begin(), names.begin() + static_cast<std::ptrdiff_t>(count)};
}

// Whether every live instance knows the endpoint as draining or not at all.
bool IsDrainingEverywhere(InstanceFleet& fleet, const std::string& id) {
  const std::vector<std::string> names = fleet.Names();
  return std::all_of(
      names.begin(), names.end(), [&fleet, &id](const std::string& name) {
        if (fleet.IsDead(name)) return true;
        const auto& known = fleet.State(name).m_directory.m_endpoints;
        const auto found = known.find(id);
        return found == known.end() || found->second.m_entry.draining();
      });
}

// Store outage for some instances, until the end of the test, and a change
// during it.
struct PartialOutage {
  std::vector<SimulatedZone> m_zones;
  std::size_t m_served = 1;  // Instances that the store still serves.
  StoreDenial m_denial = StoreDenial::kSilent;
  Duration m_change_after = seconds(1);  // From the start of the outage.
  std::uint64_t m_seed = kFirstSeed;
  std::size_t m_dead = 0;  // Instances that fail when the outage starts.
};

Duration RandomDelay(std::mt19937_64* random) {
  constexpr std::uint64_t kMaxMs = 6000;
  return milliseconds((*random)() % kMaxMs);
}

StoreDenial ChooseDenial(std::uint64_t seed) {
  return seed % 2 == 0 ? StoreDenial::kRefuses : StoreDenial::kSilent;
}

// Outage of a deployment with random parameters.
PartialOutage RandomOutage(std::vector<SimulatedZone> zones, std::size_t served,
                           std::uint64_t seed) {
  std::mt19937_64 random(seed);
  PartialOutage outage;
  outage.m_zones = std::move(zones);
  outage.m_served = served;
  outage.m_denial = ChooseDenial(seed);
  outage.m_change_after = RandomDelay(&random);
  outage.m_seed = seed;
  return outage;
}

// Starts the instances and the outage, then runs until the change is due.
void StartOutage(InstanceFleet& fleet, const PartialOutage& outage) {
  std::mt19937_64 random(outage.m_seed);
  fleet.WriteEndpoint("i-1", 1, false);
  fleet.WriteEndpoint("i-2", 1, false);
  fleet.Run(kStartupTime);
  fleet.StartRequests();
  fleet.Run(seconds(3));
  const std::vector<std::string> names = fleet.Names();
  const std::set<std::string> lost =
      Sample(names, names.size() - outage.m_served, &random);
  fleet.Store().Deny(lost, outage.m_denial);
  std::size_t dead = 0;
  for (const std::string& name : lost) {
    if (dead++ < outage.m_dead) fleet.Kill(name);
  }
  fleet.Run(outage.m_change_after);
}

Duration MeasurePropagation(const PartialOutage& outage) {
  InstanceFleet fleet(outage.m_zones, outage.m_seed);
  StartOutage(fleet, outage);
  const Instant changed = fleet.Time().Now();
  fleet.WriteCatalog(2);
  fleet.Run(seconds(10));
  return PropagationTime(fleet, 2, changed);
}

TEST_CASE(
    "a change is applied everywhere while the store serves all instances") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    InstanceFleet fleet(zones, kFirstSeed);
    fleet.Run(kStartupTime);
    const Instant changed = fleet.Time().Now();
    fleet.WriteCatalog(2);
    fleet.Run(seconds(5));
    CHECK(PropagationTime(fleet, 2, changed) < seconds(1));
  }
}

// Failure: zones keep an old configuration because their first instances have
// lost the store and the others query them one after the other.
TEST_CASE("a change reaches all instances while most have lost the store") {
  constexpr std::uint64_t kSeeds = 8;
  for (std::uint64_t seed = kFirstSeed; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(MeasurePropagation(RandomOutage(GrownDeployment(), 26, seed)) <
          kLargeLimit);
  }
}

// Failure: the time until the last instance is current grows with the number of
// instances that have lost the store.
TEST_CASE("a change reaches all instances however many have lost the store") {
  std::uint64_t seed = kFirstSeed;
  for (const std::size_t served : {1, 2, 5, 12, 44, 80}) {
    for (int i = 0; i < 2; ++i) {
      ++seed;
      CAPTURE(seed);
      CAPTURE(served);
      CHECK(MeasurePropagation(RandomOutage(GrownDeployment(), served, seed)) <
            kLargeLimit);
    }
  }
}

// The smallest deployment, whose platform has the stricter limit.
TEST_CASE("a change reaches all of six instances in time") {
  constexpr std::uint64_t kSeeds = 30;
  for (std::uint64_t seed = kFirstSeed; seed <= kSeeds; ++seed) {
    const std::size_t served = 1 + seed % 5;
    CAPTURE(seed);
    CAPTURE(served);
    CHECK(MeasurePropagation(RandomOutage(SmallDeployment(), served, seed)) <
          kSmallLimit);
  }
}

TEST_CASE("a change reaches 380 instances while the store serves five") {
  CHECK(MeasurePropagation(RandomOutage(LargeDeployment(), 5, kFirstSeed)) <
        kLargeLimit);
}

// Failure: the first instances of a zone are dead, and the others detect it one
// at a time.
TEST_CASE("a change reaches the live instances while others are dead") {
  constexpr std::uint64_t kSeeds = 6;
  for (std::uint64_t seed = kFirstSeed; seed <= kSeeds; ++seed) {
    PartialOutage outage = RandomOutage(GrownDeployment(), 30, seed);
    outage.m_dead = 30;
    CAPTURE(seed);
    CHECK(MeasurePropagation(outage) < kLargeLimit);
  }
}

// Failure: instances that have lost the store send requests to an endpoint long
// after it started to drain.
TEST_CASE("a leaving endpoint is known everywhere in time") {
  constexpr std::uint64_t kSeeds = 6;
  for (std::uint64_t seed = kFirstSeed; seed <= kSeeds; ++seed) {
    for (const bool small : {true, false}) {
      const PartialOutage outage =
          small ? RandomOutage(SmallDeployment(), 2, seed)
                : RandomOutage(GrownDeployment(), 26, seed);
      InstanceFleet fleet(outage.m_zones, seed);
      StartOutage(fleet, outage);
      fleet.WriteEndpoint("i-2", 2, true);
      fleet.Run(small ? kSmallDrainTime : kLargeDrainTime);
      CAPTURE(seed);
      CAPTURE(small);
      CHECK(IsDrainingEverywhere(fleet, "i-2"));
    }
  }
}

// Failures: usage is late or lost because its instance has lost the store and
// finds no served instance; duties have no holder because all readers have lost
// the store.
TEST_CASE("usage is reported in time while most have lost the store") {
  constexpr std::uint64_t kSeeds = 8;
  for (std::uint64_t seed = kFirstSeed; seed <= kSeeds; ++seed) {
    PartialOutage outage = seed % 4 == 0
                               ? RandomOutage(SmallDeployment(), 2, seed)
                               : RandomOutage(GrownDeployment(), 26, seed);
    outage.m_change_after = seconds(0);
    InstanceFleet fleet(outage.m_zones, seed);
    StartOutage(fleet, outage);
    const Duration length =
        fleet.State(fleet.Names()[0]).m_usage_aggregate.m_options.m_window;
    const std::uint64_t first = static_cast<std::uint64_t>(
        fleet.Time().Now().time_since_epoch() / length);
    fleet.Run(seconds(25));
    CAPTURE(seed);
    for (std::uint64_t window = first; window < first + 3; ++window) {
      const Instant due = Instant(length * (window + 1)) + kUsageDelay;
      const auto report = fleet.Reports().find(window);
      CAPTURE(window - first);
      const bool reported = report != fleet.Reports().end();
      CHECK(reported);
      if (!reported) continue;
      CHECK(report->second.m_at <= due);
      const double counted = static_cast<double>(fleet.CountedRequests(window));
      CHECK(static_cast<double>(report->second.m_requests) >=
            (1 - kUsageTolerance) * counted);
      CHECK(report->second.m_requests <= fleet.CountedRequests(window));
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
