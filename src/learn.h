#ifndef COMFREYPADDLE_LEARN_H_
#define COMFREYPADDLE_LEARN_H_

#include "controlstate.h"

namespace comfreypaddle {

// Takes over what another instance told and this one does not know yet.
AnswerUse TakeAnswer(ControlState& state, const schema::InstanceState& other);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LEARN_H_
