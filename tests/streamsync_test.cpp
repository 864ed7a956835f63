// Records of begun streams, kept by many instances in virtual time. Only the
// ports are simulated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "streamsync.h"

#include <doctest/doctest.h>

#include "support_instances.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for all instances to discover each other.
constexpr Duration kStartupTime = seconds(12);

// Time between the begin of the streams and the failure of instances: the
// longest way between regions, twice.
constexpr Duration kRecordTime = milliseconds(50);

constexpr std::uint64_t kStreams = 40;

// Begins streams at an instance, kills it and each second other one, and
// returns how many streams a survivor knows.
int CountKnown(const std::vector<SimulatedZone>& zones, std::uint64_t seed) {
  InstanceFleet fleet(zones, seed);
  fleet.Run(kStartupTime);
  const std::vector<std::string> names = fleet.Names();
  for (std::uint64_t i = 0; i < kStreams; ++i) {
    fleet.BeginStream(names[0], seed * 1000 + i, i % 2 == 0 ? "1" : "2");
  }
  fleet.Run(kRecordTime);
  for (std::size_t i = 0; i < names.size(); i += 2) fleet.Kill(names[i]);
  int known = 0;
  for (std::uint64_t i = 0; i < kStreams; ++i) {
    const auto answer = fleet.AskForStream(names[1], seed * 1000 + i);
    REQUIRE(answer);
    if (!answer->has_version()) continue;
    CHECK(answer->version() == (i % 2 == 0 ? "1" : "2"));
    ++known;
  }
  return known;
}

// Guards against streams that nobody can take up because the instances that
// knew their version were killed together (LOST).
TEST_CASE("most streams are known after half of the instances were killed") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(seed);
      const int known = CountKnown(zones, seed);
      MESSAGE(known, " of ", kStreams, " streams are known");
      CHECK(known > static_cast<int>(kStreams) / 2);
    }
  }
}

// Guards against questions whose cost grows with the number of instances.
TEST_CASE("a record and a question take a few calls at any size") {
  InstanceFleet fleet(GrownDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::string name = fleet.Names().front();
  std::uint64_t before = fleet.PeerCalls();
  fleet.BeginStream(name, 7, "1");
  CHECK(fleet.PeerCalls() - before <= 3);
  fleet.Run(kRecordTime);
  const std::string other = fleet.Names().back();
  fleet.Kill(name);
  CHECK(fleet.AskForStream(other, 7)->version() == "1");
}

// Guards against an answer that never comes, or that claims knowledge, where no
// other instance can be reached.
TEST_CASE("a question of an instance that is cut off is answered as unknown") {
  InstanceFleet fleet(GrownDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::string cut = fleet.Names().back();
  fleet.Cut(cut);
  int unanswered = 0;
  for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
    const auto answer = fleet.AskForStream(cut, attempt);
    REQUIRE(answer);
    CHECK_FALSE(answer->has_version());
    unanswered += answer->is_answered() ? 0 : 1;
  }
  CHECK(unanswered > 0);
}

// Guards against an instance that is cut off, has an old list and holds the
// records of a stream: it has not received any for a while, so that its own
// answer shows nothing about the versions there are (ORDER).
TEST_CASE("an instance that is cut off does not count its own answer") {
  InstanceFleet fleet(SmallDeployment(), 1);
  fleet.Run(kStartupTime);
  const std::string cut = fleet.Names().back();
  fleet.Cut(cut);
  fleet.Run(seconds(5));
  for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
    CAPTURE(attempt);
    const auto answer = fleet.AskForStream(cut, attempt);
    REQUIRE(answer);
    CHECK_FALSE(answer->is_answered());
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
