#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "statequery.h"
#include "support_instances.h"

// Instances whose store is replaced by a copy of itself: its newest records are
// gone and their offsets are given out again. In virtual time; only the ports
// are simulated.

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

// Limit for a confirmed change to be applied everywhere, and time after which a
// leaving endpoint must get no new requests, of the small deployments.
constexpr Duration kApplyLimit = milliseconds(2500);
constexpr Duration kDrainTime = milliseconds(2500);

// Time for all instances to discover each other and the configuration.
constexpr Duration kStartupTime = seconds(12);

// Delay after which operators and endpoints write their lost records again.
constexpr Duration kRewriteDelay = milliseconds(800);

// Interval at which endpoints write their entries.
constexpr Duration kHeartbeat = milliseconds(1200);

// Fleet that has run for a while, with some history to lose in each stream.
std::unique_ptr<InstanceFleet> RunningFleet(
    const std::vector<SimulatedZone>& zones, std::uint64_t seed) {
  auto fleet = std::make_unique<InstanceFleet>(zones, seed);
  fleet->WriteEndpoint("i-1", 1, false);
  fleet->Run(kStartupTime);
  for (std::uint64_t i = 2; i <= 9; ++i) {
    fleet->WriteCatalog(i);
    fleet->WriteEndpoint("i-1", i, false);
    fleet->Run(seconds(1));
  }
  return fleet;
}

// Whether every live instance has the endpoint and uses it.
bool IsUsedEverywhere(InstanceFleet& fleet, const std::string& id) {
  for (const std::string& name : fleet.Names()) {
    if (fleet.IsDead(name)) continue;
    const auto& known = fleet.State(name).m_directory.m_endpoints;
    const auto found = known.find(id);
    if (found == known.end() || found->second.m_entry.draining()) return false;
  }
  return true;
}

// Whether some live instance uses the endpoint.
bool IsUsedAnywhere(InstanceFleet& fleet, const std::string& id) {
  for (const std::string& name : fleet.Names()) {
    if (fleet.IsDead(name)) continue;
    const auto& known = fleet.State(name).m_directory.m_endpoints;
    const auto found = known.find(id);
    if (found != known.end() && !found->second.m_entry.draining()) return true;
  }
  return false;
}

std::uint64_t VersionOf(InstanceFleet& fleet, const std::string& name) {
  const auto& catalog = fleet.State(name).m_catalog;
  return catalog ? catalog->version() : 0;
}

// Failure (CONFIG): instances take what a restored store says for outdated, so
// that a change is not in force until its offset passes the lost ones.
TEST_CASE("a change after a restore is applied everywhere in time") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    for (const Duration age : {seconds(2), seconds(5), seconds(60)}) {
      CAPTURE(age.count());
      const auto fleet = RunningFleet(zones, 1);
      fleet->Store().Restore(age, kRewriteDelay);
      fleet->Run(seconds(1));
      const Instant changed = fleet->Time().Now();
      fleet->WriteCatalog(20);
      fleet->Run(seconds(6));
      CHECK(PropagationTime(*fleet, 20, changed) < kApplyLimit);
    }
  }
}

// Failure (CONFIG): a configuration that an instance has applied becomes older
// while the operator's records are not written again yet.
TEST_CASE("a restored store does not bring an older configuration back") {
  const auto fleet = RunningFleet(SmallDeployment(), 1);
  fleet->Store().Restore(seconds(5), seconds(4));
  for (int i = 0; i < 60; ++i) {
    fleet->Run(milliseconds(100));
    for (const std::string& name : fleet->Names()) {
      CHECK(VersionOf(*fleet, name) == 9);
    }
  }
}

// Failure (CONFIG): restores in quick succession, lost or frozen instances and
// instances that the store does not serve until after it leave some of them
// with positions of a former era.
TEST_CASE("changes around restores are applied everywhere in time") {
  constexpr std::uint64_t kSeeds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto fleet = RunningFleet(SmallDeployment(), seed);
    const std::vector<std::string> names = fleet->Names();
    const std::string frozen = names[random() % names.size()];
    const std::string denied = names[random() % names.size()];
    const std::string restarted = names[random() % names.size()];
    const StoreDenial denial =
        seed % 2 == 0 ? StoreDenial::kRefuses : StoreDenial::kSilent;
    fleet->Store().Deny({denied}, denial);
    fleet->Run(milliseconds(random() % 2000));
    fleet->Freeze(frozen);
    fleet->Run(milliseconds(random() % 500));
    fleet->Store().Restore(milliseconds(random() % 12'000), kRewriteDelay);
    fleet->Run(milliseconds(random() % 1000));
    if (seed % 3 == 0) fleet->Store().Restore(seconds(3), kRewriteDelay);
    if (seed % 4 == 0) fleet->Restart(restarted);
    fleet->Run(milliseconds(random() % 3000));
    fleet->Thaw(frozen);
    if (seed % 5 != 0) fleet->Store().ServeAll();
    fleet->Run(seconds(2));
    const Instant changed = fleet->Time().Now();
    fleet->WriteCatalog(20);
    fleet->Run(seconds(6));
    CHECK(PropagationTime(*fleet, 20, changed) < kApplyLimit);
  }
}

// Failure: instances do not learn of endpoints that come after a restore.
TEST_CASE("an endpoint that comes after a restore is used everywhere") {
  const auto fleet = RunningFleet(GrownDeployment(), 1);
  fleet->Store().Restore(seconds(6), kRewriteDelay);
  fleet->Run(seconds(1));
  fleet->WriteEndpoint("i-2", 1, false);
  fleet->Run(seconds(3));
  CHECK(IsUsedEverywhere(*fleet, "i-2"));
}

// Failure (DRAIN): instances do not learn that an endpoint leaves after a
// restore.
TEST_CASE("an endpoint that leaves after a restore is known everywhere") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    const auto fleet = RunningFleet(zones, 1);
    fleet->Store().Restore(seconds(6), kRewriteDelay);
    fleet->Run(seconds(1));
    fleet->WriteEndpoint("i-1", 30, true);
    fleet->Run(kDrainTime);
    CHECK_FALSE(IsUsedAnywhere(*fleet, "i-1"));
  }
}

// Failure (DRAIN): the record by which an endpoint left or was removed is lost,
// and the copy of the store names it as usable.
TEST_CASE("an endpoint that left before a restore is not used again") {
  for (const bool removed : {false, true}) {
    CAPTURE(removed);
    const auto fleet = RunningFleet(GrownDeployment(), 1);
    fleet->WriteEndpoint("i-2", 1, false);
    fleet->Run(seconds(3));
    fleet->WriteEndpoint("i-2", 2, true);
    if (removed) fleet->RemoveEndpoint("i-2");
    fleet->Run(seconds(2));
    REQUIRE_FALSE(IsUsedAnywhere(*fleet, "i-2"));
    fleet->Store().Restore(milliseconds(2500), seconds(20));
    for (int i = 0; i < 50; ++i) {
      fleet->Run(milliseconds(100));
      CHECK_FALSE(IsUsedAnywhere(*fleet, "i-2"));
    }
  }
}

// Failure (DRAIN): the record by which an endpoint was removed is lost. An
// instance that follows another one is not told of each report of an endpoint,
// and takes the endpoint's entry in the copy of the store for a newer report.
TEST_CASE("an endpoint that was removed before a restore is not used again") {
  for (const bool outage : {false, true}) {
    CAPTURE(outage);
    const auto fleet = RunningFleet(GrownDeployment(), 1);
    for (std::uint64_t i = 1; i <= 5; ++i) {
      fleet->WriteEndpoint("i-2", i, false);
      fleet->Run(seconds(1));
    }
    fleet->RemoveEndpoint("i-2");
    fleet->Run(seconds(2));
    REQUIRE_FALSE(IsUsedAnywhere(*fleet, "i-2"));
    if (outage) {
      const std::vector<std::string> names = fleet->Names();
      fleet->Store().Deny({names.begin(), names.end()}, StoreDenial::kRefuses);
      fleet->Run(seconds(2));
      fleet->Store().ServeAll();
    }
    fleet->Store().Restore(milliseconds(outage ? 4500 : 2500), seconds(20));
    std::size_t users = 0;
    for (int i = 0; i < 60; ++i) {
      fleet->Run(milliseconds(100));
      std::size_t now_used = 0;
      for (const std::string& name : fleet->Names()) {
        const auto& known = fleet->State(name).m_directory.m_endpoints;
        if (known.count("i-2") != 0) ++now_used;
      }
      users = std::max(users, now_used);
    }
    CHECK(users == 0);
  }
}

// Failure (DRAIN): an instance that follows one that started after a restore
// takes the entry of a removed endpoint in the copy from it.
TEST_CASE("a new upstream does not bring a removed endpoint back") {
  const auto fleet = RunningFleet(GrownDeployment(), 1);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    fleet->WriteEndpoint("i-2", i, false);
    fleet->Run(seconds(1));
  }
  fleet->RemoveEndpoint("i-2");
  fleet->Run(seconds(2));
  std::set<std::string> restarted;
  for (const char* zone : {"uppsala-a-1", "lulea-a-1", "malmo-a-1"}) {
    restarted.insert(zone);
  }
  fleet->Store().Restore(milliseconds(2500), seconds(20));
  for (const std::string& name : restarted) fleet->Restart(name);
  std::set<std::string> users;
  for (int i = 0; i < 60; ++i) {
    fleet->Run(milliseconds(100));
    for (const std::string& name : fleet->Names()) {
      const auto& known = fleet->State(name).m_directory.m_endpoints;
      if (restarted.count(name) == 0 && known.count("i-2") != 0) {
        users.insert(name);
      }
    }
  }
  CHECK(users.size() == 0);
}

// Failure (CONFIG): an instance that starts after a restore takes the older
// configuration of the copy, though other instances know the confirmed one.
TEST_CASE("an instance that starts after a restore asks for the newest") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    for (std::size_t i = 0; i < 6; ++i) {
      CAPTURE(zones.size());
      CAPTURE(i);
      const auto fleet = RunningFleet(zones, 1);
      const std::string name = fleet->Names()[i];
      fleet->Store().Restore(seconds(5), seconds(8));
      fleet->Run(seconds(1));
      fleet->Restart(name);
      fleet->Run(seconds(3));
      CHECK(VersionOf(*fleet, name) == 9);
    }
  }
}

// Failure: an endpoint whose entry is lost is out of use until it has written
// it again.
TEST_CASE("an endpoint whose entry is lost stays in use") {
  const auto fleet = RunningFleet(GrownDeployment(), 1);
  fleet->WriteEndpoint("i-2", 1, false);
  fleet->Run(seconds(2));
  fleet->Store().Restore(milliseconds(2500), kHeartbeat);
  for (int i = 0; i < 50; ++i) {
    fleet->Run(milliseconds(100));
    CHECK(IsUsedEverywhere(*fleet, "i-2"));
  }
}

// Failure: an instance whose record is lost does not write it again and is
// unknown to those that start later.
TEST_CASE("instances register again after a restore") {
  const auto fleet = RunningFleet(GrownDeployment(), 1);
  const std::vector<std::string> names = fleet->Names();
  fleet->Restart(names.back());
  fleet->Run(seconds(2));
  fleet->Store().Restore(seconds(60), kRewriteDelay);
  fleet->Run(seconds(3));
  fleet->Restart(names.front());
  fleet->Run(seconds(10));
  const ControlState& late = fleet->State(names.front());
  CHECK(late.m_live_instances == names.size());
  CHECK(late.m_instances.at(names.back()).incarnation() == 2);
}

// Failure: a deregistration is lost, and the copy of the store names an
// instance that has left as live.
TEST_CASE("an instance that has left stays so over a restore") {
  const auto fleet = RunningFleet(SmallDeployment(), 1);
  const std::string left = fleet->Names().back();
  fleet->State(left).m_stopping = true;
  fleet->Run(seconds(1));
  fleet->Kill(left);
  fleet->Run(seconds(5));
  const ControlState& other = fleet->State(fleet->Names().front());
  REQUIRE(other.m_instances.at(left).left());
  fleet->Store().Restore(seconds(8), kRewriteDelay);
  fleet->Run(seconds(8));
  CHECK(other.m_instances.at(left).left());
}

// Failure: a store that names a lower era than before is asked without pause,
// or brings an older state back.
TEST_CASE("answers of a lower era are not applied and cost few calls") {
  const auto fleet = RunningFleet(SmallDeployment(), 1);
  fleet->Store().Restore(seconds(5), kRewriteDelay);
  fleet->Run(seconds(5));
  const std::uint64_t before = fleet->Store().Calls();
  fleet->Run(seconds(10));
  const std::uint64_t usual = fleet->Store().Calls() - before;
  fleet->Store().LowerEra();
  fleet->WriteCatalog(3);
  fleet->Run(seconds(10));
  // Each instance reads three streams, with the delay after a failed read.
  constexpr std::uint64_t kRetries = seconds(10) / milliseconds(250);
  const std::uint64_t retried = 3 * kRetries * fleet->Names().size();
  CHECK(fleet->Store().Calls() - before - usual <= usual + retried);
  for (const std::string& name : fleet->Names()) {
    CHECK(VersionOf(*fleet, name) == 9);
  }
}

// Failure: an instance that has not heard of a restore yet hands its positions
// of the former era to one that has, which then takes the restored store for
// outdated.
TEST_CASE("positions of a former era are behind those of a later one") {
  CHECK(StreamPosition{1, 500} < StreamPosition{2, 3});
  StreamCursor cursor;
  CHECK(ReadPosition(cursor) == StreamPosition{});
  cursor.m_initialized = true;
  cursor.m_era = 2;
  cursor.m_next = 3;
  CHECK(ReadPosition(cursor) == StreamPosition{2, 3});
}

}  // namespace
}  // namespace comfreypaddle
