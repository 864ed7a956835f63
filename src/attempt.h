#ifndef COMFREYPADDLE_ATTEMPT_H_
#define COMFREYPADDLE_ATTEMPT_H_

#include "calls.h"

namespace comfreypaddle {

// Sends the call to the chosen endpoint.
void LaunchAttempt(CallState& state, OpenCall& call, const RouteChoice& choice);

// Resumes the stream of the last attempt at the same endpoint over a new
// connection.
void LaunchResume(CallState& state, OpenCall& call);

// Decides whether to resume, retry or end a call after a failed attempt, and
// applies the decision. endpoint_crashed is the result of probing the endpoint.
void HandleAttemptFailure(CallState& state, OpenCall& call,
                          bool endpoint_crashed);

// Cancels the call's attempt and its stream at the endpoint.
void CancelAttempt(CallState& state, OpenCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ATTEMPT_H_
