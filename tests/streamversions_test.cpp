// Which version began a stream, and who knows it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "streamversions.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

// Guards against streams whose version is inferred although endpoints of
// another version served a moment ago.
TEST_CASE("a service stays mixed while callers may take up older streams") {
  VersionHistory history;
  CHECK(UpdateVersions(history, {{"s", "1"}, {"other", "2"}}, kStart).empty());
  CHECK_FALSE(IsMixed(history, "s", kStart));
  CHECK(OnlyVersion(history, "s") == "1");
  const Instant release = kStart + seconds(60);
  const std::vector<std::string> mixed{"s"};
  CHECK(UpdateVersions(history, {{"s", "1"}, {"s", "2"}}, release) == mixed);
  CHECK_FALSE(OnlyVersion(history, "s"));
  // A second list with the same versions tells nothing new.
  CHECK(UpdateVersions(history, {{"s", "1"}, {"s", "2"}}, release).empty());
  const Instant end = release + seconds(100);
  CHECK(UpdateVersions(history, {{"s", "2"}}, end).empty());
  CHECK(OnlyVersion(history, "s") == "2");
  CHECK(IsMixed(history, "s", end + kResumeWindow - seconds(1)));
  CHECK_FALSE(IsMixed(history, "s", end + kResumeWindow));
  CHECK_FALSE(IsMixed(history, "other", end));
}

// Guards against a service that is taken for unmixed by an instance that has
// started a moment ago (ORDER), and for mixed longer than it is.
TEST_CASE("versions that another instance has seen count until they are old") {
  VersionHistory old;
  UpdateVersions(old, {{"s", "1"}, {"s", "2"}, {"t", "3"}}, kStart);
  UpdateVersions(old, {{"s", "2"}}, kStart + seconds(5));
  const Instant now = kStart + seconds(25);
  VersionHistory started;
  UpdateVersions(started, {{"s", "2"}}, now);
  CHECK_FALSE(IsMixed(started, "s", now));
  const auto recent = RecentVersions(old, now);
  REQUIRE(recent.size() == 3);
  for (const SeenVersion& seen : recent) AddSeenVersion(started, seen);
  CHECK(IsMixed(started, "s", now));
  CHECK(OnlyVersion(started, "s") == "2");
  const Instant end = kStart + seconds(5) + kResumeWindow;
  CHECK_FALSE(IsMixed(started, "s", end));
  CHECK(RecentVersions(old, end).size() == 1);
}

// Guards against records that are lost too early, kept for good, or changed by
// a later attempt.
TEST_CASE("a stream is known until its caller no longer takes it up") {
  StreamTable table;
  CHECK(AddStream(table, 7, {"s", {"1"}, kStart + seconds(5)}, kStart));
  CHECK(AddStream(table, 7, {"s", {"2"}, kStart + seconds(9)}, kStart));
  const BegunStream* stream = FindStream(table, 7, "s", kStart + seconds(8));
  REQUIRE(stream != nullptr);
  CHECK(stream->m_version.m_name == "1");
  CHECK(FindStream(table, 7, "other", kStart) == nullptr);
  CHECK(FindStream(table, 7, "s", kStart + seconds(9)) == nullptr);
  CHECK(AddStream(table, 8, {"s", {"1"}, kStart + seconds(20)},
                  kStart + seconds(10)));
  CHECK(table.m_streams.size() == 1);
}

// Guards against records that are all lost with one availability zone, or that
// another instance looks for elsewhere because its list has another order.
TEST_CASE("the holders of a record lie in different availability zones") {
  std::vector<RecordHolder> instances;
  for (std::uint64_t i = 0; i < 300; ++i) {
    instances.push_back({i * 7919, "z" + std::to_string(i % 6)});
  }
  std::vector<RecordHolder> reversed(instances.rbegin(), instances.rend());
  for (std::uint64_t attempt = 1; attempt <= 100; ++attempt) {
    const auto holders = ChooseHolders(instances, attempt);
    REQUIRE(holders.size() == 3);
    std::set<std::string> zones;
    std::set<std::uint64_t> hashes;
    for (const std::size_t i : holders) {
      zones.insert(instances[i].m_zone);
      hashes.insert(instances[i].m_hash);
    }
    CHECK(zones.size() == 3);
    for (const std::size_t i : ChooseHolders(reversed, attempt)) {
      CHECK(hashes.count(reversed[i].m_hash) == 1);
    }
  }
  CHECK(ChooseHolders({{1, "z"}, {2, "z"}}, 5).size() == 2);
}

}  // namespace
}  // namespace comfreypaddle
