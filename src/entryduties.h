#ifndef COMFREYPADDLE_ENTRYDUTIES_H_
#define COMFREYPADDLE_ENTRYDUTIES_H_

#include "controlstate.h"

namespace comfreypaddle {

// Follows the duties stream, claims or renews the duties and, as their holder,
// fixes and reports usage windows and orders endpoints. Called on every tick.
void RunDuties(ControlState& state);

// Whether everything that must outlive this process is stored and the duties
// are released.
bool IsHandedOver(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRYDUTIES_H_
