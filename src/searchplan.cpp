#include "searchplan.h"

#include <xxhash.h>

#include <algorithm>

namespace comfreypaddle {

namespace {

// Instances queried per round.
constexpr std::size_t kInstancesPerRound = 3;

// Interval between rounds. After kFastRounds rounds without success most likely
// no instance reaches the store, and the longer interval applies.
constexpr Duration kFastRoundInterval = std::chrono::milliseconds(250);
constexpr Duration kSlowRoundInterval = std::chrono::seconds(1);
constexpr std::uint32_t kFastRounds = 12;

// Sorts the names by the preference order of self.
std::vector<std::string> SortByRank(const std::string& self,
                                    std::vector<std::string> names) {
  std::sort(names.begin(), names.end(),
            [&self](const std::string& a, const std::string& b) {
              return PeerRank(self, a) < PeerRank(self, b);
            });
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::uint64_t PeerRank(const std::string& self, const std::string& other) {
  const std::string pair = self + "/" + other;
  return XXH64(pair.data(), pair.size(), 0);
}

std::vector<std::string> SelectSearchTargets(
    SearchState& state, const std::string& self,
    const std::vector<std::string>& others, const std::set<std::string>& served,
    Instant now) {
  if (now < state.m_due || others.empty()) return {};
  const bool fast = state.m_rounds < kFastRounds;
  state.m_due = now + (fast ? kFastRoundInterval : kSlowRoundInterval);
  ++state.m_rounds;
  if (Contains(others, state.m_source)) return {state.m_source};
  const std::vector<std::string> order = SortByRank(self, others);
  std::vector<std::string> asked;
  const auto known = std::find_if(
      order.begin(), order.end(),
      [&served](const auto& name) { return served.count(name) > 0; });
  if (known != order.end()) asked.push_back(*known);
  for (std::size_t i = 0; i < order.size() && asked.size() < kInstancesPerRound;
       ++i) {
    const std::string& name = order[state.m_next_position++ % order.size()];
    if (!Contains(asked, name)) asked.push_back(name);
  }
  return asked;
}

void OnSearchAnswer(SearchState& state, const std::string& name, bool fresh) {
  if (fresh) {
    state.m_source = name;
    state.m_rounds = 0;
  } else if (state.m_source == name) {
    state.m_source.clear();
  }
}

void EndSearch(SearchState& state) {
  state.m_rounds = 0;
  state.m_source.clear();
}

}  // namespace comfreypaddle
