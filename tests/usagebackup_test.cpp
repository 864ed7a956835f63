#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "usagebackup.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

constexpr Instant kStart{std::chrono::hours(1)};

TEST_CASE("two peers are asked, and another one if a peer declines") {
  UsageBackups state;
  const FlushId id{"a1", 1, 1};
  AddOwnFlush(state, id, "x");
  const std::vector<std::string> peers{"b1", "c1", "d1"};
  CHECK(SelectBackupPeers(state.m_own_flushes.at(id), peers).size() == 2);
  CHECK(SelectBackupPeers(state.m_own_flushes.at(id), peers).empty());
  RecordBackupAnswer(state, id, "b1", true);
  RecordBackupAnswer(state, id, "c1", false);
  CHECK(SelectBackupPeers(state.m_own_flushes.at(id), {"b1", "d1"}) ==
        std::vector<std::string>{"d1"});
  // A peer that has not answered yet may keep a backup too.
  CHECK(DropFlush(state, id) == std::vector<std::string>{"b1", "d1"});
  CHECK(state.m_own_flushes.empty());
}

TEST_CASE("a backup is submitted for a dead owner until it is in the log") {
  UsageBackups state;
  const FlushId id{"a1", 5, 1};
  REQUIRE(StoreBackup(state, id, "x"));
  PeerFlush& flush = state.m_peer_flushes.at(id);
  CHECK_FALSE(ClaimOrphanedFlush(flush, id, {false, 5}, kStart));
  CHECK(ClaimOrphanedFlush(flush, id, {true, 5}, kStart));
  CHECK_FALSE(ClaimOrphanedFlush(flush, id, {true, 5}, kStart));
  CHECK(ClaimOrphanedFlush(flush, id, {false, 6},
                           kStart + std::chrono::seconds(10)));
  CHECK(DropFlush(state, id).empty());
  CHECK(state.m_peer_flushes.empty());
}

}  // namespace
}  // namespace comfreypaddle
