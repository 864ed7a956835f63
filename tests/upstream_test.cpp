#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "upstream.h"

#include <doctest/doctest.h>

#include <set>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));

UpstreamState MakeState(const std::string& self, const std::string& zone) {
  UpstreamState state;
  state.m_self = self;
  state.m_zone = zone;
  return state;
}

std::vector<UpstreamCandidate> Live() {
  return {{"a-1", "a", "127.0.0.1:1"},
          {"a-2", "a", "127.0.0.1:2"},
          {"a-3", "a", "127.0.0.1:3"},
          {"b-1", "b", "127.0.0.1:4"}};
}

TEST_CASE("one instance of a zone reads the store and the others follow it") {
  UpstreamState first = MakeState("a-1", "a");
  CHECK_FALSE(ChooseUpstream(first, Live(), kStart));
  CHECK_FALSE(HasUpstream(first));
  UpstreamState third = MakeState("a-3", "a");
  CHECK(ChooseUpstream(third, Live(), kStart));
  CHECK(third.m_chosen.m_name == "a-1");
  CHECK(third.m_chosen.m_address == "127.0.0.1:1");
  CHECK_FALSE(ChooseUpstream(third, Live(), kStart));
}

TEST_CASE("an instance that is not in the list yet follows or reads") {
  UpstreamState alone = MakeState("c-1", "c");
  ChooseUpstream(alone, Live(), kStart);
  CHECK_FALSE(HasUpstream(alone));
  UpstreamState late = MakeState("b-9", "b");
  ChooseUpstream(late, Live(), kStart);
  CHECK(late.m_chosen.m_name == "b-1");
}

// Guards against a zone that stays without news because its reader is dead.
TEST_CASE("a failing instance is avoided for longer and longer") {
  UpstreamState state = MakeState("a-3", "a");
  ChooseUpstream(state, Live(), kStart);
  OnUpstreamFailed(state, "a-1", kStart);
  ChooseUpstream(state, Live(), kStart);
  CHECK(state.m_chosen.m_name == "a-2");
  OnUpstreamFailed(state, "a-2", kStart);
  ChooseUpstream(state, Live(), kStart);
  CHECK_FALSE(HasUpstream(state));
  ChooseUpstream(state, Live(), kStart + seconds(4));
  CHECK(state.m_chosen.m_name == "a-1");
  OnUpstreamFailed(state, "a-1", kStart + seconds(4));
  ChooseUpstream(state, Live(), kStart + seconds(11));
  CHECK(state.m_chosen.m_name == "a-2");
  ChooseUpstream(state, Live(), kStart + seconds(12));
  CHECK(state.m_chosen.m_name == "a-1");
  OnUpstreamAnswered(state, "a-1");
  OnUpstreamFailed(state, "a-1", kStart + seconds(20));
  ChooseUpstream(state, Live(), kStart + seconds(24));
  CHECK(state.m_chosen.m_name == "a-1");
}

// Guards against instances that follow each other in a circle and never read
// the store, whatever each of them has found failing.
TEST_CASE("no instances follow each other") {
  const std::vector<std::string> names = {"a-1", "a-2", "a-3"};
  for (unsigned failing = 0; failing < 512; ++failing) {
    std::map<std::string, std::string> follows;
    for (std::size_t i = 0; i < names.size(); ++i) {
      UpstreamState state = MakeState(names[i], "a");
      for (std::size_t j = 0; j < names.size(); ++j) {
        if ((failing >> (3 * i + j)) % 2 == 1) {
          OnUpstreamFailed(state, names[j], kStart);
        }
      }
      ChooseUpstream(state, Live(), kStart);
      follows[names[i]] = state.m_chosen.m_name;
    }
    for (std::string at : names) {
      std::set<std::string> seen;
      while (!at.empty()) {
        REQUIRE(seen.insert(at).second);
        at = follows[at];
      }
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
