#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "searchplan.h"

#include <doctest/doctest.h>

#include <map>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

std::vector<std::string> MakeNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("zone-" + std::to_string(i));
  }
  return names;
}

// Failure: all instances query the same ones first and overload them.
TEST_CASE("the first queries of many instances are spread over the others") {
  constexpr int kInstances = 88;
  std::map<std::string, int> queried;
  for (int i = 0; i < kInstances; ++i) {
    SearchState state;
    const auto round = SelectSearchTargets(state, "self-" + std::to_string(i),
                                           MakeNames(kInstances), {}, kStart);
    CHECK(round.size() == 3);
    for (const std::string& name : round) ++queried[name];
  }
  // The mean is three queries each.
  for (const auto& [name, count] : queried) CHECK(count <= 12);
  CHECK(queried.size() > kInstances / 2);
}

// Failure: an instance is never queried.
TEST_CASE("all other instances are queried in turn") {
  SearchState state;
  std::map<std::string, int> queried;
  Instant now = kStart;
  for (int round = 0; round < 4; ++round) {
    for (const std::string& name :
         SelectSearchTargets(state, "self", MakeNames(12), {}, now)) {
      ++queried[name];
    }
    CHECK(SelectSearchTargets(state, "self", MakeNames(12), {}, now).empty());
    now += milliseconds(250);
  }
  CHECK(queried.size() == 12);
  for (const auto& [name, count] : queried) CHECK(count == 1);
}

// Failure: several instances send complete endpoint lists in each round, for
// the duration of an outage.
TEST_CASE("only the instance with current state is queried again") {
  SearchState state;
  const auto first =
      SelectSearchTargets(state, "self", MakeNames(12), {}, kStart);
  OnSearchAnswer(state, first[1], true);
  OnSearchAnswer(state, first[2], false);
  Instant now = kStart + milliseconds(250);
  CHECK(SelectSearchTargets(state, "self", MakeNames(12), {}, now) ==
        std::vector<std::string>{first[1]});
  // That instance has lost the store too.
  OnSearchAnswer(state, first[1], false);
  now += milliseconds(250);
  CHECK(SelectSearchTargets(state, "self", MakeNames(12), {}, now).size() == 3);
}

TEST_CASE("an instance that the store answers is queried first") {
  SearchState state;
  const auto round =
      SelectSearchTargets(state, "self", MakeNames(88), {"zone-40"}, kStart);
  REQUIRE(round.size() == 3);
  CHECK(round[0] == "zone-40");
}

// Failure: in a complete outage of the store all instances query each other at
// the full rate.
TEST_CASE("a search without success slows down") {
  SearchState state;
  Instant now = kStart;
  int rounds = 0;
  for (; now < kStart + seconds(20); now += milliseconds(50)) {
    if (!SelectSearchTargets(state, "self", MakeNames(88), {}, now).empty())
      ++rounds;
  }
  CHECK(rounds < 32);
  EndSearch(state);
  now += seconds(1);
  CHECK_FALSE(
      SelectSearchTargets(state, "self", MakeNames(88), {}, now).empty());
  now += milliseconds(250);
  CHECK_FALSE(
      SelectSearchTargets(state, "self", MakeNames(88), {}, now).empty());
}

TEST_CASE("an instance without others queries none") {
  SearchState state;
  CHECK(SelectSearchTargets(state, "self", {}, {}, kStart).empty());
}

}  // namespace
}  // namespace comfreypaddle
