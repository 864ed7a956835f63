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

std::vector<UpstreamCandidate> LiveCandidates() {
  return {{"a-1", "a", "127.0.0.1:1"},
          {"a-2", "a", "127.0.0.1:2"},
          {"a-3", "a", "127.0.0.1:3"},
          {"b-1", "b", "127.0.0.1:4"}};
}

TEST_CASE("one instance of a zone reads the store and the others follow it") {
  UpstreamState first = MakeState("a-1", "a");
  CHECK_FALSE(SelectUpstream(first, LiveCandidates(), kStart));
  CHECK_FALSE(HasUpstream(first));
  UpstreamState third = MakeState("a-3", "a");
  CHECK(SelectUpstream(third, LiveCandidates(), kStart));
  CHECK(third.m_selected.m_name == "a-1");
  CHECK(third.m_selected.m_address == "127.0.0.1:1");
  CHECK_FALSE(SelectUpstream(third, LiveCandidates(), kStart));
}

TEST_CASE("an instance that is not listed yet selects its upstream") {
  UpstreamState alone = MakeState("c-1", "c");
  SelectUpstream(alone, LiveCandidates(), kStart);
  CHECK_FALSE(HasUpstream(alone));
  UpstreamState late = MakeState("b-9", "b");
  SelectUpstream(late, LiveCandidates(), kStart);
  CHECK(late.m_selected.m_name == "b-1");
}

// Failure: a zone gets no updates because its reader is dead.
TEST_CASE("the backoff of a failing instance grows exponentially") {
  UpstreamState state = MakeState("a-3", "a");
  SelectUpstream(state, LiveCandidates(), kStart);
  OnUpstreamFailure(state, "a-1", kStart);
  SelectUpstream(state, LiveCandidates(), kStart);
  CHECK(state.m_selected.m_name == "a-2");
  OnUpstreamFailure(state, "a-2", kStart);
  SelectUpstream(state, LiveCandidates(), kStart);
  CHECK_FALSE(HasUpstream(state));
  SelectUpstream(state, LiveCandidates(), kStart + seconds(4));
  CHECK(state.m_selected.m_name == "a-1");
  OnUpstreamFailure(state, "a-1", kStart + seconds(4));
  SelectUpstream(state, LiveCandidates(), kStart + seconds(11));
  CHECK(state.m_selected.m_name == "a-2");
  SelectUpstream(state, LiveCandidates(), kStart + seconds(12));
  CHECK(state.m_selected.m_name == "a-1");
  OnUpstreamSuccess(state, "a-1");
  OnUpstreamFailure(state, "a-1", kStart + seconds(20));
  SelectUpstream(state, LiveCandidates(), kStart + seconds(24));
  CHECK(state.m_selected.m_name == "a-1");
}

// Failure: instances follow each other in a cycle and none reads the store. All
// combinations of failures seen by three instances are tried.
TEST_CASE("no instances follow each other") {
  const std::vector<std::string> names = {"a-1", "a-2", "a-3"};
  for (unsigned failing = 0; failing < 512; ++failing) {
    std::map<std::string, std::string> follows;
    for (std::size_t i = 0; i < names.size(); ++i) {
      UpstreamState state = MakeState(names[i], "a");
      for (std::size_t j = 0; j < names.size(); ++j) {
        if ((failing >> (3 * i + j)) % 2 == 1) {
          OnUpstreamFailure(state, names[j], kStart);
        }
      }
      SelectUpstream(state, LiveCandidates(), kStart);
      follows[names[i]] = state.m_selected.m_name;
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
