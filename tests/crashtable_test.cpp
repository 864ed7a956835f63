// Table of crashes and of what they are blamed on.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "crashtable.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// The only instance.
constexpr ProbeShare kAlone{1, 0};

SuspectKey Request(std::uint64_t hash) { return {SuspectKind::kRequest, hash}; }

// Adds crashes of this many endpoints, a second apart.
void Quarantine(CrashTable& table, const SuspectKey& key, int crashes) {
  for (int i = 0; i < crashes; ++i) {
    AddCrash(table, key,
             {CrashId("e" + std::to_string(i), 1), kStart + seconds(i)});
  }
}

// Failure: callers that send ever new requests to crashing endpoints exhaust
// the memory, or push the requests that are refused out of the table.
TEST_CASE("the table keeps the quarantined among ever new suspects") {
  CrashTable table;
  const SuspectKey quarantined = Request(0);
  Quarantine(table, quarantined, 3);
  const Instant now = kStart + seconds(5);
  for (std::uint64_t i = 1; i <= 3 * kMaxSuspectRows; ++i) {
    AddCrash(table, Request(i), {i, now});
  }
  CHECK(table.m_rows.size() <= kMaxSuspectRows);
  CHECK(IsQuarantined(table, quarantined, now));
  for (std::uint64_t i = 1; i <= 3 * kMaxCrashesPerSuspect; ++i) {
    AddCrash(table, quarantined, {i, now});
  }
  CHECK(table.m_rows.at(quarantined).m_crashes.size() <= kMaxCrashesPerSuspect);
}

// Parts of the longest prompt that a head of 16 KB can name.
constexpr std::uint64_t kLongestPrompt = 2700;

// Failure: parts of long prompts, no two of which are alike, push the part that
// crashes endpoints out of the table before it has crashed enough of them.
TEST_CASE("the table keeps a crashing part among those of long prompts") {
  CrashTable table;
  const SuspectKey crashing{SuspectKind::kPromptPart, 0};
  std::uint64_t fresh = 1;
  Instant now = kStart;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    now += seconds(1);
    AddCrash(table, crashing, {crash, now});
    // The request and two others that the endpoint had begun to answer.
    for (std::uint64_t i = 0; i < 3 * kLongestPrompt; ++i) {
      AddCrash(table, {SuspectKind::kPromptPart, fresh++}, {crash, now});
    }
  }
  CHECK(table.m_rows.size() <= kMaxSuspectRows);
  CHECK(IsQuarantined(table, crashing, now));
}

// Failure: rows of suspects that never come back stay for good.
TEST_CASE("crashes are forgotten") {
  CrashTable table;
  Quarantine(table, Request(0), 3);
  const Instant end = kStart + seconds(2) + kCrashRetention;
  CHECK(IsQuarantined(table, Request(0), end - seconds(1)));
  CHECK_FALSE(IsQuarantined(table, Request(0), end));
  AddCrash(table, Request(1), {1, end});
  CHECK(table.m_rows.size() == 1);
}

TEST_CASE("a crash counts once and only until the suspect is cleared") {
  CrashTable table;
  const CrashRecord crash{CrashId("e", 1), kStart};
  CHECK(AddCrash(table, Request(1), crash));
  CHECK_FALSE(AddCrash(table, Request(1), crash));
  CHECK(AddCrash(table, Request(1), {CrashId("e", 2), kStart}));
  CHECK(CountCrashes(table, Request(1)) == 2);
  CHECK(ClearSuspect(table, Request(1)));
  CHECK_FALSE(ClearSuspect(table, Request(1)));
  CHECK(CountCrashes(table, Request(1)) == 0);
  CHECK_FALSE(AddCrash(table, Request(1), crash));
  CHECK(CountCrashes(table, Request(1)) == 0);
}

SuspectKey Part(std::uint64_t hash) { return {SuspectKind::kPromptPart, hash}; }

// Failure: connections that break at one moment, as when a link fails,
// quarantine the prompt parts that happened to be on them.
TEST_CASE("crashes at one moment do not quarantine a prompt part") {
  CrashTable table;
  for (std::uint64_t crash = 1; crash <= 8; ++crash) {
    AddCrash(table, Part(1), {crash, kStart + milliseconds(20 * crash)});
  }
  CHECK_FALSE(IsQuarantined(table, Part(1), kStart + seconds(1)));
  // Crashes that follow one another closely still do.
  for (std::uint64_t crash = 1; crash <= 8; ++crash) {
    AddCrash(table, Part(2), {crash, kStart + milliseconds(70 * crash)});
  }
  CHECK(IsQuarantined(table, Part(2), kStart + seconds(1)));
}

// Failure: crashes of endpoints whose processes have ended count as one because
// they come together (review/13), or count without a proof beside others.
TEST_CASE("confirmed crashes at one moment count one by one") {
  const Instant now = kStart + seconds(1);
  for (const std::size_t confirmed : {2, 3}) {
    CrashTable table;
    for (std::uint64_t crash = 1; crash <= 8; ++crash) {
      AddCrash(table, Part(1), {crash, kStart});
    }
    for (std::size_t crash = 1; crash <= confirmed; ++crash) {
      CHECK(ConfirmCrash(table, Part(1), crash));
      CHECK_FALSE(ConfirmCrash(table, Part(1), crash));
    }
    CHECK(IsQuarantined(table, Part(1), now) == (confirmed == 3));
    // An answer counts for more.
    ClearSuspect(table, Part(1));
    CHECK_FALSE(IsQuarantined(table, Part(1), now));
    CHECK_FALSE(ConfirmCrash(table, Part(1), 8));
  }
}

// Failure: a part that a part of the endpoints had that ended at one moment, as
// when a rack fails, is taken for the cause.
TEST_CASE("a crash is confirmed only for parts at each crash of the moment") {
  CrashTable table;
  const std::vector<CrashRecord> crashes{
      {1, kStart}, {2, kStart + milliseconds(90)}, {3, kStart + seconds(1)}};
  for (const CrashRecord& crash : crashes) {
    AddCrash(table, Part(1), crash);
    AddCrash(table, Request(crash.m_id), crash);
  }
  AddCrash(table, Part(2), crashes[0]);
  const std::vector<SuspectKey> parts{Part(1), Part(2)};
  CHECK(FindConfirmable(table, crashes[0], parts).size() == 1);
  CHECK(FindConfirmable(table, crashes[2], parts).empty());  // It is alone.
  AddCrash(table, Request(9), {9, kStart});
  CHECK(FindConfirmable(table, crashes[0], parts).empty());
}

// Failure: a part that was quarantined wrongly stays refused, because no
// request with it runs any more that could clear it.
TEST_CASE("a quarantined part is tried again by one instance at a time") {
  CrashTable table;
  const SuspectKey part = Part(5);
  Quarantine(table, part, 3);
  const ProbeShare here{4, 1};
  const ProbeShare elsewhere{4, 2};
  Instant now = kStart + seconds(3);
  CHECK(CheckSuspects(table, {part}, here, now) == SuspectDecision::kRefused);
  now = NextProbe(table, {part}, now);
  CHECK(now - kStart <= seconds(8));
  CHECK(CheckSuspects(table, {part}, here, now) == SuspectDecision::kProbe);
  CHECK(CheckSuspects(table, {part}, elsewhere, now) ==
        SuspectDecision::kRefused);
  BeginProbe(table, {part}, now);
  CHECK(CheckSuspects(table, {part}, here, now) == SuspectDecision::kRefused);
  ClearSuspect(table, part);
  CHECK(CheckSuspects(table, {part}, elsewhere, now) ==
        SuspectDecision::kSound);
}

// Failure: each process that has just started probes every part, because it
// takes itself for the only instance.
TEST_CASE("an instance that knows no list of instances probes nothing") {
  CrashTable table;
  Quarantine(table, Part(5), 3);
  const Instant due = NextProbe(table, {Part(5)}, kStart + seconds(3));
  CHECK(CheckSuspects(table, {Part(5)}, kAlone, due) ==
        SuspectDecision::kProbe);
  CHECK(CheckSuspects(table, {Part(5)}, ProbeShare{}, due) ==
        SuspectDecision::kRefused);
}

// Failure: probes of a part that goes on crashing endpoints are as frequent as
// the first ones.
TEST_CASE("probes of a part become rare") {
  CrashTable table;
  Quarantine(table, Part(0), 5);
  const Instant fifth = kStart + seconds(4);
  std::size_t probes = 0;
  for (Instant now = fifth; now < fifth + seconds(60);
       now += milliseconds(50)) {
    if (CheckSuspects(table, {Part(0)}, kAlone, now) !=
        SuspectDecision::kProbe) {
      continue;
    }
    BeginProbe(table, {Part(0)}, now);
    AddCrash(table, Part(0), {100 + ++probes, now});
  }
  CHECK(probes >= 1);
  CHECK(probes <= 3);
}

// Failure: a request with two quarantined parts tries the one that is due and
// crashes an endpoint through the other.
TEST_CASE("a request is a probe only if all its quarantined parts are due") {
  CrashTable table;
  Quarantine(table, Part(0), 3);
  Quarantine(table, Part(1), 6);
  const Instant due = NextProbe(table, {Part(0)}, kStart + seconds(6));
  CHECK(CheckSuspects(table, {Part(0)}, kAlone, due) ==
        SuspectDecision::kProbe);
  CHECK(CheckSuspects(table, {Part(0), Part(1)}, kAlone, due) ==
        SuspectDecision::kRefused);
}

}  // namespace
}  // namespace comfreypaddle
