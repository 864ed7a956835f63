#ifndef COMFREYPADDLE_PROBE_H_
#define COMFREYPADDLE_PROBE_H_

#include <string>

#include "calls.h"

namespace comfreypaddle {

// Polls the load of all engines that have no probe under way.
void PollLoads(CallState& state);

// Checks whether the endpoint of a call whose connection broke has crashed, and
// calls HandleAttemptFailure with the result.
void ProbeEndpoint(CallState& state, OpenCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PROBE_H_
