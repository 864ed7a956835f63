// Knowledge of the versions that were listed lately, in virtual time. Only the
// ports are simulated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "versionsync.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "streamsync.h"
#include "support_instances.h"

namespace comfreypaddle::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for all instances to discover each other.
constexpr Duration kStartupTime = seconds(12);

// Time after the end of a disturbance within which all versions are known.
constexpr Duration kRecoveryTime = seconds(2);

// Instances of a deployment, and a store that lists an endpoint of version 1.
struct ReleaseFleet {
  explicit ReleaseFleet(const std::vector<SimulatedZone>& zones)
      : m_fleet(zones, 1) {
    List("e1", "1");
    m_fleet.Run(kStartupTime);
  }

  void List(const std::string& id, const std::string& version) {
    schema::EndpointEntry entry;
    entry.set_id(id);
    entry.set_service("s");
    entry.set_address(id + ":1");
    entry.set_born_ms(1);
    entry.set_sequence(1);
    entry.set_version(version);
    m_fleet.Store().Write(Stream::kEndpoints, id, entry.SerializeAsString());
  }

  // Version 2 is listed beside version 1 for so long that all instances that
  // reach the store have seen it and recorded it.
  void ReleaseAndWithdraw(const std::string& id) {
    List(id, "2");
    m_fleet.Run(seconds(3));
    m_fleet.RemoveEndpoint(id);
    m_fleet.Run(seconds(1));
  }

  // What the instance tells another one that has just started.
  schema::StreamAnswer AnswerOf(const std::string& name) {
    schema::StreamExchange exchange;
    exchange.set_wants_versions(true);
    return AnswerStreamExchange(m_fleet.State(name), exchange);
  }

  bool ClaimsAll(const std::string& name) {
    return AnswerOf(name).has_all_versions();
  }

  int CountClaims() {
    const std::vector<std::string> names = m_fleet.Names();
    return static_cast<int>(std::count_if(
        names.begin(), names.end(),
        [this](const std::string& name) { return ClaimsAll(name); }));
  }

  bool IsMixedAt(const std::string& name) {
    const ControlState& state = m_fleet.State(name);
    return IsMixed(state.m_streams.m_versions, "s", state.m_clock());
  }

  // Cuts the instance off from the store and from the other instances.
  void CutOff(const std::string& name) {
    m_fleet.Cut(name);
    m_fleet.Store().Deny({name}, StoreDenial::kSilent);
  }
  void Reconnect(const std::string& name) {
    m_fleet.Heal(name);
    m_fleet.Store().ServeAll();
  }

  InstanceFleet m_fleet;
};

// Guards against an instance that takes the word of one whose list is as old as
// its own, because both were cut off together, for all versions (ORDER).
TEST_CASE("an instance with an old list does not vouch for all versions") {
  ReleaseFleet release(SmallDeployment());
  const std::string name = release.m_fleet.Names().back();
  CHECK(release.ClaimsAll(name));
  release.CutOff(name);
  release.m_fleet.Run(seconds(3));
  CHECK_FALSE(release.ClaimsAll(name));
  release.Reconnect(name);
  release.m_fleet.Run(kRecoveryTime);
  CHECK(release.ClaimsAll(name));
}

// Guards against the same by an instance that answers as soon as it runs again,
// before it has read the list (ORDER).
TEST_CASE("an instance that has just woken does not vouch for all versions") {
  ReleaseFleet release(SmallDeployment());
  const std::string name = release.m_fleet.Names().back();
  release.m_fleet.Freeze(name);
  release.m_fleet.Run(seconds(3));
  release.m_fleet.Thaw(name);
  CHECK_FALSE(release.ClaimsAll(name));
  release.m_fleet.Run(kRecoveryTime);
  CHECK(release.ClaimsAll(name));
}

// Guards against an instance that was cut off while a version came and went,
// and takes the one that is listed for the only one afterwards (ORDER).
TEST_CASE("an instance that was cut off learns the versions of before again") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    ReleaseFleet release(zones);
    const std::vector<std::string> names = release.m_fleet.Names();
    for (const std::string& name : {names.front(), names.back()}) {
      CAPTURE(name);
      release.m_fleet.Run(kResumeWindow + seconds(2));
      release.CutOff(name);
      release.m_fleet.Run(seconds(4));
      release.ReleaseAndWithdraw("endpoint-of-" + name);
      release.Reconnect(name);
      const Instant end = release.m_fleet.Time().Now() + kRecoveryTime;
      while (release.m_fleet.Time().Now() < end) {
        release.m_fleet.Run(milliseconds(50));
        if (release.ClaimsAll(name)) CHECK(release.IsMixedAt(name));
      }
      CHECK(release.ClaimsAll(name));
      CHECK(release.IsMixedAt(name));
    }
  }
}

// Guards against counting time without a confirmed list as time in which no
// other version was listed (ORDER).
TEST_CASE("time in which the list is not confirmed does not count as watched") {
  ReleaseFleet release(SmallDeployment());
  const std::string name = release.m_fleet.Names().back();
  release.CutOff(name);
  release.m_fleet.Run(kResumeWindow + seconds(10));
  CHECK_FALSE(release.m_fleet.State(name).m_streams.m_has_all_versions);
  release.Reconnect(name);
  release.m_fleet.Run(kRecoveryTime);
  CHECK(release.ClaimsAll(name));
}

// Guards against an instance that takes the listed version for the only one,
// although another instance has seen a second one in between (ORDER).
TEST_CASE("a version that comes and goes within one read is known") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    for (const bool is_replaced : {true, false}) {
      CAPTURE(is_replaced);
      ReleaseFleet release(zones);
      const std::string id = is_replaced ? "e1" : "e2";
      release.List(id, "2");
      if (is_replaced) release.List(id, "1");
      if (!is_replaced) release.m_fleet.RemoveEndpoint(id);
      release.m_fleet.Run(kRecoveryTime);
      for (const std::string& name : release.m_fleet.Names()) {
        CAPTURE(name);
        CHECK(release.ClaimsAll(name));
        CHECK(release.IsMixedAt(name));
      }
    }
  }
}

// Guards against streams of unknown version that are refused for 30 s after an
// outage of the store, because no instance can tell the others (LOST).
TEST_CASE("a single version is known for one again after a store outage") {
  for (const auto& zones : {SmallDeployment(), GrownDeployment()}) {
    ReleaseFleet release(zones);
    const std::vector<std::string> names = release.m_fleet.Names();
    release.m_fleet.Store().Deny({names.begin(), names.end()},
                                 StoreDenial::kSilent);
    release.m_fleet.Run(seconds(8));
    CHECK(release.CountClaims() == 0);
    for (const std::string& name : names) {
      CHECK_FALSE(release.m_fleet.State(name).m_streams.m_has_all_versions);
    }
    release.m_fleet.Store().ServeAll();
    int passed_ms = 0;
    const int all = static_cast<int>(names.size());
    while (release.CountClaims() < all && passed_ms < 10'000) {
      release.m_fleet.Run(milliseconds(50));
      passed_ms += 50;
    }
    MESSAGE(all, " instances know all versions after ", passed_ms, " ms");
    CHECK(passed_ms <= 2'000);
    for (const std::string& name : names) {
      CHECK_FALSE(release.IsMixedAt(name));
    }
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
