#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_platform.h"

// Entry processes whose store is replaced by a copy of itself.

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlatformCluster;

constexpr int kEntries = 3;

// Limit for a confirmed change to be applied everywhere.
constexpr Duration kApplyLimit = milliseconds(2500);

void StartAll(PlatformCluster& cluster) {
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  for (int i = 1; i <= kEntries; ++i) cluster.StartEntry(i);
}

// Loses the newest records that the instances, the operator and the endpoints
// have written.
void LoseNewest(PlatformCluster& cluster, std::size_t records) {
  cluster.Store().Restore({{"keyed.op", records},
                           {"keyed.servers", records},
                           {"keyed.instances", records},
                           {"duties", records},
                           {"usage", records}});
}

// Guards against instances that take a restored store for outdated: a withdrawn
// key stays valid, or a new one is refused (CONFIG, DENIED).
TEST_CASE("a change after a restore of the store is in force in time") {
  PlatformCluster cluster("restore-change");
  StartAll(cluster);
  for (int version = 2; version <= 6; ++version) {
    cluster.Configure(version, R"(["k1"])");
  }
  cluster.Until([] { return false; }, seconds(2));
  LoseNewest(cluster, 4);
  cluster.Configure(7, R"(["k2"])");
  const Instant changed = Now();
  const auto is_in_force = [&cluster](int entry) {
    return cluster.Call(entry, "GET", "/safe/x", "k1").m_status == 401 &&
           cluster.Call(entry, "GET", "/safe/x", "k2").m_status == 200;
  };
  for (int i = 1; i <= kEntries; ++i) {
    CAPTURE(i);
    CHECK(cluster.Until([&] { return is_in_force(i); }, seconds(10)));
  }
  CHECK(Now() - changed < kApplyLimit);
}

// Guards against a confirmed configuration that becomes older while the
// operator's records are not written again, and against endpoints out of use
// meanwhile.
TEST_CASE("what was confirmed before a restore stays in force") {
  PlatformCluster cluster("restore-stay");
  StartAll(cluster);
  cluster.Configure(2, R"(["k2"])");
  cluster.Until([&] {
    return cluster.Call(kEntries, "GET", "/safe/x", "k2").m_status == 200;
  });
  cluster.Until([] { return false; }, seconds(1));
  LoseNewest(cluster, 1);
  for (int round = 0; round < 10; ++round) {
    cluster.Until([] { return false; }, milliseconds(150));
    for (int i = 1; i <= kEntries; ++i) {
      CAPTURE(i);
      CHECK(cluster.Call(i, "GET", "/safe/x", "k1").m_status == 401);
      CHECK(cluster.Call(i, "GET", "/safe/x", "k2").m_status == 200);
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
