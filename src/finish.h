#ifndef COMFREYPADDLE_FINISH_H_
#define COMFREYPADDLE_FINISH_H_

#include "relaystate.h"

namespace comfreypaddle {

// Each function ends the request: it answers the caller, logs the outcome and
// forgets the call. The call must not be used afterwards.

// Passes on an endpoint's answer that was received as a whole.
void FinishAnswer(RelayState& state, RelayCall& call);

// Ends a stream as complete.
void FinishEvents(RelayState& state, RelayCall& call);

// Answers with an error of the system's own. A request that cannot have run
// gets a status that says so and a time to come back; the head of a stream
// that was passed on leaves only the closing of the connection.
void FinishFailed(RelayState& state, RelayCall& call, EndReason reason);

// Ends a request whose caller has left.
void FinishLeft(RelayState& state, RelayCall& call);

// Cancels what runs for the request at an endpoint, and frees its KV cache.
void CancelAttempt(RelayState& state, RelayCall& call);

// Answers a request that was not accepted.
void RefuseRequest(RelayState& state, const HttpRequest& request,
                   const RequestMetadata& terms, EndReason reason);

// Frees a KV cache that is not going to be taken.
void ReleaseSource(RelayState& state, RelayCall& call);

// Counts a run that began at the instant for the usage report.
void CountUsage(RelayState& state, const RelayCall& call, Instant began);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FINISH_H_
