#ifndef COMFREYPADDLE_STATEMERGE_H_
#define COMFREYPADDLE_STATEMERGE_H_

#include "controlstate.h"

namespace comfreypaddle {

// Merges newer state from another instance's answer. sent_at must not be later
// than the sending of the query.
AnswerEffect MergePeerState(ControlState& state,
                            const schema::InstanceState& other,
                            Instant sent_at);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STATEMERGE_H_
