// Instances that end without deregistering, among others in virtual time. Only
// the ports are simulated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "memberwatch.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "peersync.h"
#include "support_instances.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Time for all instances to discover each other.
constexpr Duration kStartupTime = seconds(12);

// Time after which all instances know that a process has ended: three seconds
// until it is probed, five of refused calls, and two reads of the list.
constexpr Duration kRemovalTime = seconds(16);

// Number of instances that live and have this one in their list.
int CountListing(InstanceFleet& fleet, const std::string& name) {
  int listing = 0;
  for (const std::string& other : fleet.Names()) {
    if (fleet.IsDead(other)) continue;
    const auto live = LiveInstances(fleet.State(other));
    listing += static_cast<int>(std::count_if(
        live.begin(), live.end(), [&name](const UpstreamCandidate& instance) {
          return instance.m_name == name;
        }));
  }
  return listing;
}

int CountLiving(InstanceFleet& fleet) {
  const std::vector<std::string> names = fleet.Names();
  return static_cast<int>(std::count_if(
      names.begin(), names.end(),
      [&fleet](const auto& name) { return !fleet.IsDead(name); }));
}

// Checks that each living instance lists the living ones, and divides shares by
// their number.
void CheckLists(InstanceFleet& fleet) {
  const int living = CountLiving(fleet);
  for (const std::string& name : fleet.Names()) {
    CAPTURE(name);
    CHECK(CountListing(fleet, name) == (fleet.IsDead(name) ? 0 : living));
    if (fleet.IsDead(name)) continue;
    CHECK(fleet.State(name).m_live_instances ==
          static_cast<std::uint32_t>(living));
  }
}

// Guards against instances that stay in the list for good after they have ended
// without deregistering, so that they are given records of streams and shares
// of budgets (LOST, review/9).
TEST_CASE("instances whose processes have ended leave the list") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    InstanceFleet fleet(zones, 1);
    fleet.Run(kStartupTime);
    const std::vector<std::string> names = fleet.Names();
    SUBCASE("each second one") {
      for (std::size_t i = 0; i < names.size(); i += 2) {
        fleet.EndProcess(names[i]);
      }
    }
    SUBCASE("all of one zone") {
      for (const std::string& name : names) {
        if (name.rfind(zones[0].m_name, 0) == 0) fleet.EndProcess(name);
      }
    }
    SUBCASE("all but one") {
      for (std::size_t i = 1; i < names.size(); ++i) fleet.EndProcess(names[i]);
    }
    fleet.Run(kRemovalTime + seconds(names.size()));
    CheckLists(fleet);
  }
}

// Guards against a wrong decision that lasts: an instance whose record was
// dropped although it lives.
TEST_CASE("an instance that was taken for gone registers again") {
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  for (const std::string& name : fleet.Names()) {
    fleet.Store().Write(Stream::kInstances, name, "");
  }
  fleet.Run(seconds(15));
  CheckLists(fleet);
}

// Guards against others that spend the shares of an instance which they cannot
// reach, and which goes on serving callers (BUDGET).
TEST_CASE("an instance that is cut off keeps its place in the list") {
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::string cut = fleet.Names().front();
  fleet.Cut(cut);
  fleet.Run(minutes(2));
  CHECK(CountListing(fleet, cut) == CountLiving(fleet));
  const std::string frozen = fleet.Names().back();
  fleet.Freeze(frozen);
  fleet.Run(minutes(1));
  CHECK(CountListing(fleet, frozen) == CountLiving(fleet));
}

// Guards against a list that grows with each instance that there ever was.
TEST_CASE("records of instances that have left are dropped from the store") {
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::string name = fleet.Names().front();
  fleet.State(name).m_stopping = true;
  fleet.Run(seconds(2));
  fleet.EndProcess(name);
  fleet.Run(minutes(2));
  const std::vector<StreamRecord>& records =
      fleet.Store().Records(Stream::kInstances);
  const auto newest = std::find_if(
      records.rbegin(), records.rend(),
      [&name](const StreamRecord& record) { return record.m_key == name; });
  REQUIRE(newest != records.rend());
  CHECK(newest->m_removed);
}

// Guards against a record that is dropped although the instance has registered
// again since the list was read.
TEST_CASE("an instance that restarts is not dropped by an old decision") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    InstanceFleet fleet(SmallDeployment(), seed);
    fleet.Run(kStartupTime);
    const std::string name = fleet.Names().front();
    fleet.EndProcess(name);
    // About when its record is dropped.
    fleet.Run(seconds(6) + milliseconds(100 * seed));
    fleet.Restart(name);
    fleet.Run(seconds(12));
    CheckLists(fleet);
  }
}

// Replaces each instance of the start some times by others.
void ReplaceAll(InstanceFleet& fleet, bool is_refusing) {
  constexpr int kReplacements = 12;
  std::vector<std::string> living = fleet.Names();
  for (int i = 0; i < kReplacements; ++i) {
    for (std::string& name : living) {
      const std::string added = fleet.AddBeside(name);
      if (is_refusing) {
        fleet.EndProcess(name);
      } else {
        fleet.Kill(name);
      }
      name = added;
    }
    fleet.Run(seconds(2));
  }
}

// Guards against records of streams that are given to instances which were
// removed without a planned stop, so that nobody has them when their callers
// come back (LOST, review/9).
TEST_CASE("streams are known after all instances were replaced many times") {
  constexpr std::uint64_t kStreams = 40;
  for (const bool is_refusing : {true, false}) {
    CAPTURE(is_refusing);
    InstanceFleet fleet(SmallDeployment(), 1);
    fleet.Run(kStartupTime);
    ReplaceAll(fleet, is_refusing);
    fleet.Run(seconds(4));
    std::vector<std::string> living = fleet.Names();
    std::erase_if(living,
                  [&fleet](const auto& name) { return fleet.IsDead(name); });
    for (const std::string& name : living) {
      UpdateVersions(fleet.State(name).m_streams.m_versions,
                     {{"s", "1"}, {"s", "2"}}, fleet.Time().Now());
    }
    for (std::uint64_t i = 1; i <= kStreams; ++i) {
      fleet.BeginStream(living[0], i, "1");
      fleet.Run(milliseconds(50));
    }
    fleet.Run(seconds(1));
    fleet.Kill(living[0]);
    std::uint64_t known = 0;
    for (std::uint64_t i = 1; i <= kStreams; ++i) {
      const auto answer = fleet.AskForStream(living[1], i);
      REQUIRE(answer);
      known += answer->has_version() ? 1 : 0;
    }
    MESSAGE(known, " of ", kStreams, " streams are known");
    CHECK(known > kStreams / 2);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
