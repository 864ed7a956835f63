#ifndef COMFREYPADDLE_FRESHNESS_H_
#define COMFREYPADDLE_FRESHNESS_H_

#include "controlstate.h"

namespace comfreypaddle {

// Logs when the local copy of the store becomes stale and when it is current
// again. Call it every tick.
void LogFreshness(ControlState& state);

// Sends the age of the local copy to the relay task, which serves the metrics,
// once a second. Call it every tick.
void PublishStateAge(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FRESHNESS_H_
