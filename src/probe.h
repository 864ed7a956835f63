#ifndef COMFREYPADDLE_PROBE_H_
#define COMFREYPADDLE_PROBE_H_

#include <string>

#include "calls.h"

namespace comfreypaddle {

// Asks all engines for their load, but those still busy with the last call.
void PollLoads(CallState& state);

// Finds out whether the endpoint crashed under the call, whose connection to
// it broke. HandleAttemptFailure is called with the result.
void ProbeEndpoint(CallState& state, OpenCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PROBE_H_
