#include "searchplan.h"

#include <xxhash.h>

#include <algorithm>

namespace comfreypaddle {

namespace {

// Instances that are asked in one round.
constexpr std::size_t kFanout = 3;

// Time between two rounds, at first and after rounds that found nothing: then
// most likely nobody has the store.
constexpr Duration kPeriod = std::chrono::milliseconds(250);
constexpr Duration kSlowPeriod = std::chrono::seconds(1);
constexpr std::uint32_t kQuickRounds = 12;

// Others in the own order.
std::vector<std::string> InOwnOrder(const std::string& self,
                                    std::vector<std::string> names) {
  std::sort(names.begin(), names.end(),
            [&self](const std::string& a, const std::string& b) {
              return OwnRank(self, a) < OwnRank(self, b);
            });
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::uint64_t OwnRank(const std::string& self, const std::string& other) {
  const std::string pair = self + "/" + other;
  return XXH64(pair.data(), pair.size(), 0);
}

std::vector<std::string> NextSearchRound(SearchState& state,
                                         const std::string& self,
                                         const std::vector<std::string>& others,
                                         const std::set<std::string>& served,
                                         Instant now) {
  if (now < state.m_due || others.empty()) return {};
  const bool quick = state.m_rounds < kQuickRounds;
  state.m_due = now + (quick ? kPeriod : kSlowPeriod);
  ++state.m_rounds;
  if (Contains(others, state.m_source)) return {state.m_source};
  const std::vector<std::string> order = InOwnOrder(self, others);
  std::vector<std::string> asked;
  const auto known = std::find_if(
      order.begin(), order.end(),
      [&served](const auto& name) { return served.count(name) > 0; });
  if (known != order.end()) asked.push_back(*known);
  for (std::size_t i = 0; i < order.size() && asked.size() < kFanout; ++i) {
    const std::string& name = order[state.m_turn++ % order.size()];
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
