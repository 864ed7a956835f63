// Table of crashes and of what they are blamed on.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "crashtable.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
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

SuspectKey Part(std::uint64_t hash) { return {SuspectKind::kPromptPart, hash}; }

// Failure: connections that break at one moment, as when a link fails, condemn
// the prompt parts that happened to be on them.
TEST_CASE("crashes at one moment do not condemn a prompt part") {
  CrashTable table;
  for (std::uint64_t crash = 1; crash <= 8; ++crash) {
    AddStrike(table, Part(1), {crash, kStart + milliseconds(20 * crash)});
  }
  CHECK_FALSE(IsCondemned(table, Part(1), kStart + seconds(1)));
  // Crashes that follow one another closely still do.
  for (std::uint64_t crash = 1; crash <= 8; ++crash) {
    AddStrike(table, Part(2), {crash, kStart + milliseconds(70 * crash)});
  }
  CHECK(IsCondemned(table, Part(2), kStart + seconds(1)));
}

// Failure: a part that was condemned wrongly stays refused, because no request
// with it runs any more that could clear it.
TEST_CASE("a condemned part is tried again by one instance at a time") {
  CrashTable table;
  const SuspectKey part = Part(5);
  Condemn(table, part, 3);
  const TrialShare here{4, 1};
  const TrialShare elsewhere{4, 2};
  Instant now = kStart + seconds(3);
  CHECK(JudgeSuspects(table, {part}, here, now) == SuspectVerdict::kRefused);
  now = NextTrial(table, {part}, now);
  CHECK(now - kStart <= seconds(8));
  CHECK(JudgeSuspects(table, {part}, here, now) == SuspectVerdict::kTrial);
  CHECK(JudgeSuspects(table, {part}, elsewhere, now) ==
        SuspectVerdict::kRefused);
  BeginTrial(table, {part}, now);
  CHECK(JudgeSuspects(table, {part}, here, now) == SuspectVerdict::kRefused);
  ClearSuspect(table, part);
  CHECK(JudgeSuspects(table, {part}, elsewhere, now) == SuspectVerdict::kSound);
}

// Failure: trials of a part that goes on crashing endpoints are as frequent as
// the first ones.
TEST_CASE("trials of a part become rare") {
  CrashTable table;
  Condemn(table, Part(0), 5);
  const Instant fifth = kStart + seconds(4);
  std::size_t trials = 0;
  for (Instant now = fifth; now < fifth + seconds(60);
       now += milliseconds(50)) {
    if (JudgeSuspects(table, {Part(0)}, {}, now) != SuspectVerdict::kTrial) {
      continue;
    }
    BeginTrial(table, {Part(0)}, now);
    AddStrike(table, Part(0), {100 + ++trials, now});
  }
  CHECK(trials >= 1);
  CHECK(trials <= 3);
}

// Failure: a request with two condemned parts tries the one that is due and
// crashes an endpoint through the other.
TEST_CASE("a request is a trial only if all its condemned parts are due") {
  CrashTable table;
  Condemn(table, Part(0), 3);
  Condemn(table, Part(1), 6);
  const Instant due = NextTrial(table, {Part(0)}, kStart + seconds(6));
  CHECK(JudgeSuspects(table, {Part(0)}, {}, due) == SuspectVerdict::kTrial);
  CHECK(JudgeSuspects(table, {Part(0), Part(1)}, {}, due) ==
        SuspectVerdict::kRefused);
}

}  // namespace
}  // namespace comfreypaddle
