#ifndef COMFREYPADDLE_LEARN_H_
#define COMFREYPADDLE_LEARN_H_

#include "controlstate.h"

namespace comfreypaddle {

// Takes over what another instance told and this one does not know yet. asked
// is the instant before the question was sent.
AnswerUse TakeAnswer(ControlState& state, const schema::InstanceState& other,
                     Instant asked);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LEARN_H_
