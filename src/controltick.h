#ifndef COMFREYPADDLE_CONTROLTICK_H_
#define COMFREYPADDLE_CONTROLTICK_H_

#include "controlstate.h"

namespace comfreypaddle {

// Period at which the task that follows the platform checks what is due.
inline constexpr Duration kControlTick = std::chrono::milliseconds(100);

// Starts what is due: reads of the store, questions to other instances,
// answers to them, and duties.
void TickControl(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONTROLTICK_H_
