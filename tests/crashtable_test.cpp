// Table of crashes and of what they are blamed on.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "crashtable.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

SuspectKey Request(std::uint64_t hash) { return {SuspectKind::kRequest, hash}; }

// Adds crashes of this many endpoints, a second apart.
void Condemn(CrashTable& table, const SuspectKey& key, int crashes) {
  for (int i = 0; i < crashes; ++i) {
    AddStrike(table, key,
              {CrashId("e" + std::to_string(i), 1), kStart + seconds(i)});
  }
}

// Failure: callers that send ever new requests to crashing endpoints exhaust
// the memory, or push the requests that are refused out of the table.
TEST_CASE("the table keeps the condemned among ever new suspects") {
  CrashTable table;
  const SuspectKey condemned = Request(0);
  Condemn(table, condemned, 3);
  const Instant now = kStart + seconds(5);
  for (std::uint64_t i = 1; i <= 3 * kMaxSuspectRows; ++i) {
    AddStrike(table, Request(i), {i, now});
  }
  CHECK(table.m_rows.size() <= kMaxSuspectRows);
  CHECK(IsCondemned(table, condemned, now));
  for (std::uint64_t i = 1; i <= 3 * kMaxStrikesPerSuspect; ++i) {
    AddStrike(table, condemned, {i, now});
  }
  CHECK(table.m_rows.at(condemned).m_strikes.size() <= kMaxStrikesPerSuspect);
}

// Failure: rows of suspects that never come back stay for good.
TEST_CASE("crashes are forgotten") {
  CrashTable table;
  Condemn(table, Request(0), 3);
  const Instant end = kStart + seconds(2) + kCrashRetention;
  CHECK(IsCondemned(table, Request(0), end - seconds(1)));
  CHECK_FALSE(IsCondemned(table, Request(0), end));
  AddStrike(table, Request(1), {1, end});
  CHECK(table.m_rows.size() == 1);
}

TEST_CASE("a crash counts once and only until the suspect is cleared") {
  CrashTable table;
  const CrashStrike crash{CrashId("e", 1), kStart};
  CHECK(AddStrike(table, Request(1), crash));
  CHECK_FALSE(AddStrike(table, Request(1), crash));
  CHECK(AddStrike(table, Request(1), {CrashId("e", 2), kStart}));
  CHECK(CountStrikes(table, Request(1)) == 2);
  CHECK(ClearSuspect(table, Request(1)));
  CHECK_FALSE(ClearSuspect(table, Request(1)));
  CHECK(CountStrikes(table, Request(1)) == 0);
  CHECK_FALSE(AddStrike(table, Request(1), crash));
  CHECK(CountStrikes(table, Request(1)) == 0);
}

}  // namespace
}  // namespace comfreypaddle
