#ifndef COMFREYPADDLE_FRESHNESS_H_
#define COMFREYPADDLE_FRESHNESS_H_

#include "controlstate.h"

namespace comfreypaddle {

// Logs when what this instance knows of the store becomes old, and when it is
// not any more. Call it every tick.
void LogFreshness(ControlState& state);

// Hands the age of what this instance knows to the task that serves metrics,
// once a second. Call it every tick.
void TellKnowledge(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FRESHNESS_H_
