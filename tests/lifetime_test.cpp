// Which lifetime of an endpoint began a stream.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lifetime.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

// Lifetime of an endpoint that ends when the next one begins, or earlier.
struct TrueLifetime {
  int m_begins_ms = 0;
  int m_ends_ms = 0;
  std::string m_version;
};

constexpr std::uint64_t kUnixAtZeroMs = 1'000'000'000;
constexpr int kHorizonMs = 20'000;
constexpr int kDraws = 20'000;

// Time from the begin of a lifetime to its first entry.
constexpr int kHeartbeatMs = 1200;

Instant At(int ms) { return Instant(milliseconds(ms)); }

// An endpoint that restarts in place.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) {
    int at = 0;
    while (at < kHorizonMs) {
      const int ends = at + Draw(50, 6000);
      m_lifetimes.push_back({at, ends, Draw(0, 1) == 0 ? "1" : "2"});
      at = ends + Draw(50, 1500);
    }
  }

  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_random);
  }

  // The lifetime that lives at this time, or null.
  const TrueLifetime* LivesAt(int ms) const {
    const auto found = std::find_if(
        m_lifetimes.begin(), m_lifetimes.end(), [ms](const TrueLifetime& life) {
          return life.m_begins_ms <= ms && ms < life.m_ends_ms;
        });
    return found == m_lifetimes.end() ? nullptr : &*found;
  }

  // What the list names at this time: it is up to some seconds old, and
  // lifetimes that were short are not in it.
  ListedLifetime ListedBy(int ms) {
    const int written = ms - Draw(0, 4000);
    const TrueLifetime* listed = &m_lifetimes.front();
    for (const TrueLifetime& life : m_lifetimes) {
      const bool is_written = life.m_begins_ms + kHeartbeatMs <= written &&
                              life.m_ends_ms - life.m_begins_ms > kHeartbeatMs;
      if (is_written) listed = &life;
    }
    return {BornMs(*listed), listed->m_version};
  }

  // A report that is asked for at about this time, over a connection that may
  // have been there for a while.
  void Ask(LifetimeTable& table, int ms) {
    const TrueLifetime* seen = LivesAt(ms);
    if (seen == nullptr) return;
    const int first = Draw(std::max(seen->m_begins_ms, ms - 1000), ms);
    NoteLifetime(table, "e", {BornMs(*seen), At(first), At(ms)});
  }

  std::uint64_t BornMs(const TrueLifetime& life) const {
    return kUnixAtZeroMs + static_cast<std::uint64_t>(life.m_begins_ms);
  }

 private:
  std::mt19937_64 m_random;
  std::vector<TrueLifetime> m_lifetimes;
};

// Guards against a stream that counts as of a version that it did not begin at,
// whatever restarts, old list entries and reports come together (ORDER). At
// least a third of the verdicts must name a version, or streams are refused.
TEST_CASE("a proven version is the one that began the stream") {
  int named = 0;
  int judged = 0;
  for (std::uint64_t seed = 1; seed <= kDraws; ++seed) {
    CAPTURE(seed);
    History history(seed);
    const int connected = history.Draw(100, kHorizonMs / 2);
    const TrueLifetime* truth = history.LivesAt(connected);
    if (truth == nullptr) continue;
    LifetimeTable table;
    for (int i = 0; i < 3; ++i) {
      history.Ask(table, connected + history.Draw(-1000, 1000));
    }
    const ListedLifetime with = history.ListedBy(connected);
    BegunStream stream;
    stream.m_version.m_name = with.m_version;
    stream.m_origin = {"e", with.m_born_ms, At(connected), At(connected)};
    if (history.Draw(0, 1) == 0) stream.m_origin.m_connected.reset();
    ListedLifetime now = history.ListedBy(kHorizonMs);
    if (now.m_born_ms < with.m_born_ms) now = with;
    const LifetimeVerdict verdict = JudgeLifetime(table, stream, now);
    ++judged;
    if (!IsVersionKnown(verdict)) continue;
    ++named;
    REQUIRE(verdict.m_version.m_name == truth->m_version);
    REQUIRE(verdict.m_born_ms == history.BornMs(*truth));
  }
  MESSAGE(named, " of ", judged, " streams have a version");
  CHECK(named > judged / 3);
}

// Guards against a stream that is bound to a lifetime of unknown version, and
// goes on at the version of a later one (ORDER).
TEST_CASE("a lifetime that was never listed has no version") {
  BegunStream stream;
  stream.m_version.m_certainty = VersionCertainty::kUnlisted;
  stream.m_origin.m_endpoint = "e";
  stream.m_origin.m_born_ms = 5;
  const auto judge = [&stream](const std::optional<ListedLifetime>& listed) {
    return JudgeLifetime({}, stream, listed);
  };
  const StreamVersion unlisted{"", VersionCertainty::kUnlisted};
  CHECK(judge(ListedLifetime{4, "1"}).m_version == unlisted);
  CHECK_FALSE(IsVersionKnown(judge(std::nullopt)));
  const StreamVersion second{"2", VersionCertainty::kProven};
  CHECK(judge(ListedLifetime{5, "2"}).m_version == second);
  const StreamVersion either{"", VersionCertainty::kEither};
  CHECK(judge(ListedLifetime{6, "2"}).m_version == either);
}

}  // namespace
}  // namespace comfreypaddle
