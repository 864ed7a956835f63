#ifndef COMFREYPADDLE_SEARCHPLAN_H_
#define COMFREYPADDLE_SEARCHPLAN_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Selects the instances to query while the local state is stale. Several are
// queried per round, in an order that differs between instances: the time to
// find one with current state must not grow with the number of stale ones, and
// the queries must not concentrate on a few. Every instance that became current
// can serve others, so their number grows exponentially with the rounds.

struct SearchState {
  Instant m_due{};
  std::uint32_t m_rounds = 0;       // Rounds of the current search.
  std::size_t m_next_position = 0;  // Next position in the query order.
  std::string m_source;             // Last one with current state, or empty.
};

// Rendezvous hash: rank of another instance in the preference order of self.
std::uint64_t PeerRank(const std::string& self, const std::string& other);

// Returns the instances to query now; none if the next round is not due. others
// are the live instances except this one, served those among them that the
// store is known to answer.
std::vector<std::string> SelectSearchTargets(
    SearchState& state, const std::string& self,
    const std::vector<std::string>& others, const std::set<std::string>& served,
    Instant now);

// Records whether the queried instance answered with current state.
void OnSearchAnswer(SearchState& state, const std::string& name, bool fresh);

// Ends the search. The position in the query order is kept.
void EndSearch(SearchState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SEARCHPLAN_H_
