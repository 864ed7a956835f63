#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "searchplan.h"

#include <doctest/doctest.h>

#include <map>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

std::vector<std::string> Others(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("zone-" + std::to_string(i));
  }
  return names;
}

// Guards against instances that all ask the same ones first and meet there.
TEST_CASE("the first questions of many instances are spread over the others") {
  constexpr int kInstances = 88;
  std::map<std::string, int> asked;
  for (int i = 0; i < kInstances; ++i) {
    SearchState state;
    const auto round = NextSearchRound(state, "self-" + std::to_string(i),
                                       Others(kInstances), {}, kStart);
    CHECK(round.size() == 3);
    for (const std::string& name : round) ++asked[name];
  }
  // Three questions each on the mean.
  for (const auto& [name, count] : asked) CHECK(count <= 12);
  CHECK(asked.size() > kInstances / 2);
}

// Guards against one that is never asked.
TEST_CASE("all others are asked in turn") {
  SearchState state;
  std::map<std::string, int> asked;
  Instant now = kStart;
  for (int round = 0; round < 4; ++round) {
    for (const std::string& name :
         NextSearchRound(state, "self", Others(12), {}, now)) {
      ++asked[name];
    }
    CHECK(NextSearchRound(state, "self", Others(12), {}, now).empty());
    now += milliseconds(250);
  }
  CHECK(asked.size() == 12);
  for (const auto& [name, count] : asked) CHECK(count == 1);
}

// Guards against whole lists of endpoints from several instances at a time,
// for as long as an outage lasts.
TEST_CASE("only the one that knew is asked again") {
  SearchState state;
  const auto first = NextSearchRound(state, "self", Others(12), {}, kStart);
  OnSearchAnswer(state, first[1], true);
  OnSearchAnswer(state, first[2], false);
  Instant now = kStart + milliseconds(250);
  CHECK(NextSearchRound(state, "self", Others(12), {}, now) ==
        std::vector<std::string>{first[1]});
  // It has lost the store too.
  OnSearchAnswer(state, first[1], false);
  now += milliseconds(250);
  CHECK(NextSearchRound(state, "self", Others(12), {}, now).size() == 3);
}

TEST_CASE("one that the store answers is asked first") {
  SearchState state;
  const auto round =
      NextSearchRound(state, "self", Others(88), {"zone-40"}, kStart);
  REQUIRE(round.size() == 3);
  CHECK(round[0] == "zone-40");
}

// Guards against an outage of the whole store that makes all instances ask
// each other all the time.
TEST_CASE("a search that finds nothing becomes slow") {
  SearchState state;
  Instant now = kStart;
  int rounds = 0;
  for (; now < kStart + seconds(20); now += milliseconds(50)) {
    if (!NextSearchRound(state, "self", Others(88), {}, now).empty()) ++rounds;
  }
  CHECK(rounds < 32);
  EndSearch(state);
  now += seconds(1);
  CHECK_FALSE(NextSearchRound(state, "self", Others(88), {}, now).empty());
  now += milliseconds(250);
  CHECK_FALSE(NextSearchRound(state, "self", Others(88), {}, now).empty());
}

TEST_CASE("an instance without others asks nobody") {
  SearchState state;
  CHECK(NextSearchRound(state, "self", {}, {}, kStart).empty());
}

}  // namespace
}  // namespace comfreypaddle
