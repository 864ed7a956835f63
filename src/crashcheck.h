#ifndef COMFREYPADDLE_CRASHCHECK_H_
#define COMFREYPADDLE_CRASHCHECK_H_

#include "relaystate.h"

namespace comfreypaddle {

// Finds out whether the processes of endpoints ended in crashes that come
// together, or only the connections to them (see crashtable.h): a part of the
// relay task. An endpoint is asked only if the answer can matter, so that a
// crash by itself costs no question.

// Asks the questions that are due, and confirms the crashes whose time is over.
// Call it with each tick.
void TickCrashChecks(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHCHECK_H_
