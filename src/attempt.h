#ifndef COMFREYPADDLE_ATTEMPT_H_
#define COMFREYPADDLE_ATTEMPT_H_

#include "calls.h"

namespace comfreypaddle {

// Sends the call to the chosen endpoint.
void LaunchAttempt(CallState& state, OpenCall& call, const RouteChoice& choice);

// Asks the endpoint of the last attempt to go on with its stream over a new
// connection.
void LaunchResume(CallState& state, OpenCall& call);

// Decides how a call goes on after its attempt failed, and does it.
// endpoint_crashed is what a probe found out about the endpoint.
void HandleAttemptFailure(CallState& state, OpenCall& call,
                          bool endpoint_crashed);

// Tells the endpoint that the answer is no longer wanted.
void CancelAttempt(CallState& state, OpenCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ATTEMPT_H_
