#ifndef COMFREYPADDLE_FINISH_H_
#define COMFREYPADDLE_FINISH_H_

#include "allotmentcheck.h"
#include "relaystate.h"

namespace comfreypaddle {

// The Finish functions end a request: they respond to the caller, log the
// outcome and delete the call, which must not be used afterwards.

// Forwards an endpoint's response that was received as a whole.
void FinishBufferedResponse(RelayState& state, RelayCall& call);

// Completes a streamed response.
void FinishStreamedResponse(RelayState& state, RelayCall& call);

// Responds with an error. A request that cannot have been executed gets a
// status that says so and a Retry-After field. If the head of a stream was
// already sent, the connection is closed instead.
void FinishFailed(RelayState& state, RelayCall& call, EndReason reason);

// Ends a request whose caller disconnected.
void FinishDisconnected(RelayState& state, RelayCall& call);

// Removes an attempt that has ended from the load of its endpoint.
void ReleaseLoad(RelayState& state, EndpointAttempt& attempt);

// Cancels an attempt if it is under way: its connection is closed.
void CancelSend(RelayState& state, EndpointAttempt& attempt);

// Cancels the request's attempts and releases its prefilled KV cache.
void CancelAttempt(RelayState& state, RelayCall& call);

// Responds to a request that was not accepted.
void RefuseRequest(RelayState& state, const HttpRequest& request,
                   const RequestMetadata& terms, EndReason reason);

// Responds to a request that was refused for the allotment of its workspace.
void RefuseOverAllotment(RelayState& state, const HttpRequest& request,
                         const RequestMetadata& terms,
                         const AllotmentRefusal& refusal);

// Releases a prefilled KV cache that no endpoint will fetch.
void ReleaseKvCache(RelayState& state, RelayCall& call);

// Counts an execution that began at this time for the usage report.
void CountUsage(RelayState& state, const RelayCall& call, Instant began);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FINISH_H_
