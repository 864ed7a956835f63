#ifndef COMFREYPADDLE_ENTRYSERVE_H_
#define COMFREYPADDLE_ENTRYSERVE_H_

#include "relaystate.h"

namespace comfreypaddle {

// Dispatches the new requests of callers in the order of the queue of `entry`.

// Dispatches a new request, or queues it if others of its service wait or no
// endpoint may take it now. The call may be deleted on return.
void AdmitCall(RelayState& state, RelayCall& call);

// Dispatches the queued requests that an endpoint may take now, and ends the
// wait of those that are overdue: each is sent or refused.
void ServeWaiting(RelayState& state);

// Whether the request must wait because the chosen endpoint has enough work in
// flight. Only new requests do, and none beyond its queue deadline.
bool MustAwaitWindow(const RelayState& state, const RelayCall& call,
                     const BalanceChoice& choice, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRYSERVE_H_
