#ifndef COMFREYPADDLE_SEARCHPLAN_H_
#define COMFREYPADDLE_SEARCHPLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Which other instances one asks that has lost the store, or whose knowledge is
// old. It asks several at once, in an order of its own: the time until it finds
// one that knows must not grow with the number of those that do not, and not
// all may meet at the same one. What one learns the others can learn from it,
// so the number of those that know multiplies with each round.

struct SearchState {
  Instant m_due{};
  std::uint32_t m_rounds = 0;  // Of this search.
  std::size_t m_turn = 0;      // Place in the own order.
  std::string m_source;        // Last answered with fresh knowledge, or empty.
};

// Rank of another instance in the own order of an instance; different for
// different instances.
std::uint64_t OwnRank(const std::string& self, const std::string& other);

// Returns whom to ask now; nobody if the next round is not due. others are the
// live instances without oneself, served those of them that the store answers
// as far as is known.
std::vector<std::string> NextSearchRound(SearchState& state,
                                         const std::string& self,
                                         const std::vector<std::string>& others,
                                         const std::set<std::string>& served,
                                         Instant now);

// Notes how one that was asked answered: with what the store had a moment ago,
// or not.
void OnSearchAnswer(SearchState& state, const std::string& name, bool fresh);

// Ends the search.
void EndSearch(SearchState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SEARCHPLAN_H_
