#ifndef COMFREYPADDLE_STATEMERGE_H_
#define COMFREYPADDLE_STATEMERGE_H_

#include "controlstate.h"

namespace comfreypaddle {

// Merges newer state from another instance's answer. asked is a time not after
// the query was sent.
AnswerEffect MergePeerState(ControlState& state,
                            const schema::InstanceState& other, Instant asked);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STATEMERGE_H_
