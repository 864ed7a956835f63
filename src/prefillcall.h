#ifndef COMFREYPADDLE_PREFILLCALL_H_
#define COMFREYPADDLE_PREFILLCALL_H_

#include "relaystate.h"

namespace comfreypaddle {

// The prefill of a request at an endpoint of its own, and the run that follows
// it at another one.

// Sends the request to the endpoint chosen for its prefill.
void SendPrefill(RelayState& state, RelayCall& call,
                 const BalanceChoice& choice);

// Runs the request at a decode endpoint with the prefilled KV cache. If none
// has room, the request waits for a short time. The call may be deleted on
// return.
void RunWithPrefilledCache(RelayState& state, RelayCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PREFILLCALL_H_
