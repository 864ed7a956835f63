// Suspects of crashes, shared by many instances in virtual time. Only the ports
// are simulated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "crashsync.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "support_instances.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time after which an instance that runs and is connected must know of a crash.
constexpr Duration kContactTime = milliseconds(4000);

// Time for all instances to discover each other.
constexpr Duration kStartupTime = seconds(12);

constexpr std::uint64_t kSeeds = 5;
constexpr std::uint64_t kRequest = 77;

std::vector<SimulatedZone> SmallDeployment() {
  return {{"uppsala-a", "svealand", 2},
          {"lulea-a", "norrland", 2},
          {"malmo-a", "gotaland", 2}};
}

// 300 instances in 6 zones of 3 regions.
std::vector<SimulatedZone> LargeDeployment() {
  std::vector<SimulatedZone> zones;
  for (int i = 0; i < 6; ++i) {
    zones.push_back({"zone-" + std::string(1, static_cast<char>('a' + i)),
                     "region-" + std::to_string(i % 3), 50});
  }
  return zones;
}

// Crashes three endpoints under the request, each at another instance.
void CrashThree(InstanceFleet& fleet) {
  const std::vector<std::string> names = fleet.Names();
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.CrashEndpoint(names[i], kRequest, "e" + std::to_string(i));
    fleet.Run(milliseconds(300));
  }
}

std::size_t CountRefusing(InstanceFleet& fleet) {
  const std::vector<std::string> names = fleet.Names();
  return std::count_if(names.begin(), names.end(),
                       [&fleet](const std::string& name) {
                         return fleet.Refuses(name, kRequest);
                       });
}

TEST_CASE("a request that crashed three endpoints is refused everywhere") {
  for (const auto& zones : {SmallDeployment(), LargeDeployment()}) {
    InstanceFleet fleet(zones, 1);
    fleet.Run(kStartupTime);
    CrashThree(fleet);
    CHECK(CountRefusing(fleet) == fleet.Names().size());
  }
}

// Failure: a report that did not reach an instance was not sent again, so that
// the request crashed further endpoints through it.
TEST_CASE("an instance that was cut off learns of crashes in time") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    InstanceFleet fleet(SmallDeployment(), seed);
    fleet.Run(kStartupTime);
    const std::string cut = fleet.Names().back();
    fleet.Cut(cut);
    // From the store too, which has a record of what is refused.
    fleet.Store().Deny({cut}, StoreDenial::kSilent);
    CrashThree(fleet);
    fleet.Run(seconds(2));
    CHECK_FALSE(fleet.Refuses(cut, kRequest));
    fleet.Heal(cut);
    fleet.Store().ServeAll();
    fleet.Run(kContactTime);
    CHECK(fleet.Refuses(cut, kRequest));
  }
}

// Failure: crashes that only the instance itself saw stayed there when its
// reports were lost.
TEST_CASE("crashes seen by an instance that was cut off reach the others") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    InstanceFleet fleet(SmallDeployment(), seed);
    fleet.Run(kStartupTime);
    const std::string cut = fleet.Names().front();
    fleet.Cut(cut);
    for (const char* endpoint : {"e1", "e2", "e3"}) {
      fleet.CrashEndpoint(cut, kRequest, endpoint);
      fleet.Run(milliseconds(300));
    }
    CHECK(CountRefusing(fleet) == 1);
    fleet.Heal(cut);
    fleet.Run(kContactTime);
    CHECK(CountRefusing(fleet) == fleet.Names().size());
  }
}

// Failure: an instance that started later let the request crash three more
// endpoints.
TEST_CASE("an instance that starts later learns of crashes in time") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const bool small : {true, false}) {
      if (!small && seed > 1) continue;
      CAPTURE(seed);
      CAPTURE(small);
      InstanceFleet fleet(small ? SmallDeployment() : LargeDeployment(), seed);
      fleet.Run(kStartupTime);
      CrashThree(fleet);
      const std::string name = fleet.Names().back();
      fleet.Restart(name);
      CHECK_FALSE(fleet.Refuses(name, kRequest));
      fleet.Run(kContactTime);
      CHECK(fleet.Refuses(name, kRequest));
    }
  }
}

// Failure: after a kill of all instances nobody knew of the crashes, and the
// request crashed three endpoints more (review/5).
TEST_CASE("a request is refused after all instances were killed twice") {
  for (const auto& zones : {SmallDeployment(), LargeDeployment()}) {
    InstanceFleet fleet(zones, 1);
    fleet.Run(kStartupTime);
    CrashThree(fleet);
    fleet.Run(seconds(1));
    for (int i = 0; i < 2; ++i) {
      for (const std::string& name : fleet.Names()) fleet.Restart(name);
      fleet.Run(kContactTime);
      CHECK(CountRefusing(fleet) == fleet.Names().size());
    }
  }
}

// Failure: a request that was answered since is refused after a kill of all
// instances, because its record stayed in the store.
TEST_CASE("a cleared request is sound after all instances were killed") {
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  CrashThree(fleet);
  fleet.Run(seconds(1));
  fleet.Answer(fleet.Names().front(), kRequest);
  fleet.Run(seconds(2));
  for (const std::string& name : fleet.Names()) fleet.Restart(name);
  fleet.Run(kContactTime);
  CHECK(CountRefusing(fleet) == 0);
}

// Failure: an instance that starts later learns of some parts of long prompts
// only, and lets the one that crashes endpoints do so again.
TEST_CASE("an instance that starts later learns of a part among many") {
  constexpr std::uint64_t kCrashingPart = 5;
  constexpr std::uint64_t kOtherParts = 500;
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::vector<std::string> names = fleet.Names();
  std::uint64_t fresh = 1000;
  for (std::size_t i = 0; i < 3; ++i) {
    std::vector<std::uint64_t> parts{kCrashingPart};
    while (parts.size() <= kOtherParts) parts.push_back(fresh++);
    fleet.CrashEndpoint(names[i], parts, "e" + std::to_string(i));
    fleet.Run(milliseconds(300));
  }
  fleet.Restart(names.back());
  fleet.Run(kContactTime);
  for (const std::string& name : names) {
    CAPTURE(name);
    CHECK(fleet.RefusesPart(name, kCrashingPart));
    CHECK_FALSE(fleet.RefusesPart(name, fresh - 1));
  }
}

// Failure: that crashes at one moment are confirmed is known only to the
// instance that saw them, or is forgotten in a kill of all.
TEST_CASE("a confirmation of crashes reaches all instances") {
  constexpr std::uint64_t kPart = 5;
  const SuspectKey part{SuspectKind::kPromptPart, kPart};
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::vector<std::string> names = fleet.Names();
  const auto refusing = [&fleet, &names] {
    return std::count_if(names.begin(), names.end(),
                         [&fleet](const std::string& name) {
                           return fleet.RefusesPart(name, kPart);
                         });
  };
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.CrashEndpoint(names[i], std::vector<std::uint64_t>{kPart},
                        "e" + std::to_string(i));
  }
  fleet.Run(seconds(1));
  CHECK(refusing() == 0);
  fleet.Cut(names.back());
  ControlState& first = fleet.State(names.front());
  std::vector<CrashEntry> confirmed;
  for (CrashRecord crash : BlamedCrashes(first.m_suspects.m_table, part)) {
    crash.m_confirmed = true;
    confirmed.push_back({part, crash});
  }
  LearnCrashes(first, confirmed);
  fleet.Run(seconds(1));
  CHECK(refusing() == static_cast<std::ptrdiff_t>(names.size()) - 1);
  fleet.Heal(names.back());
  fleet.Run(kContactTime);
  CHECK(refusing() == static_cast<std::ptrdiff_t>(names.size()));
  for (const std::string& name : names) fleet.Restart(name);
  fleet.Run(kContactTime);
  CHECK(refusing() == static_cast<std::ptrdiff_t>(names.size()));
}

// Failure: a suspect stays refused at the instances that did not answer it
// themselves, or is refused again when a late report arrives.
TEST_CASE("an answer anywhere clears the request everywhere") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    InstanceFleet fleet(SmallDeployment(), seed);
    fleet.Run(kStartupTime);
    const std::string cut = fleet.Names().back();
    CrashThree(fleet);
    fleet.Cut(cut);
    fleet.Answer(fleet.Names().front(), kRequest);
    fleet.Run(seconds(1));
    CHECK(CountRefusing(fleet) == 1);  // The one that is cut off.
    fleet.Heal(cut);
    fleet.Run(kContactTime);
    CHECK(CountRefusing(fleet) == 0);
    // A crash after the answer counts anew.
    CrashThree(fleet);
    CHECK(CountRefusing(fleet) == 0);
  }
}

// The exchange must not grow with the number of instances: a daemon may spend
// 16 KB a second for control.
TEST_CASE("without crashes an instance compares once a second") {
  InstanceFleet fleet(LargeDeployment(), 1);
  fleet.Run(kStartupTime);
  const auto compared = [&fleet] {
    std::uint64_t sum = 0;
    for (const std::string& name : fleet.Names()) {
      sum += fleet.State(name).m_suspects.m_comparisons;
    }
    return sum;
  };
  const std::uint64_t before = compared();
  fleet.Run(seconds(10));
  CHECK(compared() - before <= 10 * fleet.Names().size());
}

}  // namespace
}  // namespace comfreypaddle::testing
