#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "prefixmap.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

TEST_CASE("the holders of a prefix are known for a limited time") {
  PrefixMap map;
  CHECK(RecordPrefix(map, 7, "e1", 1, kStart));
  CHECK(RecordPrefix(map, 7, "e2", 1, kStart));
  CHECK(FindHolders(map, 7, kStart).size() == 2);
  CHECK(FindHolders(map, 8, kStart).empty());
  CHECK(FindHolders(map, 7, kStart + minutes(2)).empty());
}

// Guards against a message to all instances for each request, and against
// holders that the others forget although they are in use.
TEST_CASE("a use is news only some time after the last news") {
  PrefixMap map;
  CHECK(RecordPrefix(map, 7, "e1", 1, kStart));
  CHECK_FALSE(RecordPrefix(map, 7, "e1", 1, kStart + seconds(1)));
  int news = 0;
  for (int s = 2; s <= 60; ++s) {
    if (RecordPrefix(map, 7, "e1", 1, kStart + seconds(s))) ++news;
    CHECK(FindHolders(map, 7, kStart + seconds(s)).size() == 1);
  }
  CHECK(news > 2);
  CHECK(news < 10);
}

TEST_CASE("a restarted endpoint is a new holder") {
  PrefixMap map;
  RecordPrefix(map, 7, "e1", 1, kStart);
  CHECK(RecordPrefix(map, 7, "e1", 2, kStart));
  const std::vector<PrefixHolder> holders = FindHolders(map, 7, kStart);
  REQUIRE(holders.size() == 1);
  CHECK(holders[0].m_born_ms == 2);
}

// Guards against memory that grows with the number of prefixes and endpoints.
TEST_CASE("the map is bounded") {
  PrefixMap map;
  for (std::uint64_t prefix = 1; prefix <= 20'000; ++prefix) {
    RecordPrefix(map, prefix, "e1", 1, kStart);
  }
  CHECK(map.m_holders.size() <= 4096);
  for (int i = 0; i < 100; ++i) {
    RecordPrefix(map, 1, "e" + std::to_string(i), 1, kStart);
  }
  CHECK(FindHolders(map, 1, kStart).size() <= 8);
}

}  // namespace
}  // namespace comfreypaddle
