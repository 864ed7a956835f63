#ifndef COMFREYPADDLE_STATEQUERY_H_
#define COMFREYPADDLE_STATEQUERY_H_

#include "controlstate.h"

namespace comfreypaddle {

// Answers a state query of another instance through the callback. A long-poll
// query without news is held and answered later by AnswerPendingQueries.
void AnswerStateQuery(ControlState& state, const schema::InstanceQuery& query,
                      const StateQueryCallback& respond);

// Answers the held queries for which there is news or whose wait has expired.
// Call it every tick.
void AnswerPendingQueries(ControlState& state);

// Position up to which a stream has been read, or zero if not at all.
StreamPosition ReadPosition(const StreamCursor& cursor);

// Age of configuration and endpoint list: time since both are known to have
// matched the store.
double StateAgeMs(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STATEQUERY_H_
