#ifndef COMFREYPADDLE_CONTROLTICK_H_
#define COMFREYPADDLE_CONTROLTICK_H_

#include "controlstate.h"

namespace comfreypaddle {

// Interval between two runs of the control-plane tick.
inline constexpr Duration kControlTick = std::chrono::milliseconds(100);

// Performs the work that is due: store reads, queries to other instances,
// answers to pending queries, and duties.
void TickControl(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONTROLTICK_H_
