#ifndef COMFREYPADDLE_LOADLINK_H_
#define COMFREYPADDLE_LOADLINK_H_

#include "controlstate.h"

namespace comfreypaddle {

// Target of the calls that share load between instances.
inline constexpr std::string_view kLoadTarget = "/v1/load";

// Takes the load of this instance and shares it: with the followed instance,
// or, if this one reads the store for its zone, with the other zones.
void ShareLoad(ControlState& state, const schema::LoadList& own);

// Answers an instance that shares its load.
schema::LoadList AnswerLoad(ControlState& state,
                            const schema::LoadShare& share);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOADLINK_H_
