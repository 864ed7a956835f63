#ifndef COMFREYPADDLE_RELAYATTEMPT_H_
#define COMFREYPADDLE_RELAYATTEMPT_H_

#include "relaystate.h"

namespace comfreypaddle {

// Chooses an endpoint for the request and sends it there. If none is available,
// the request waits until its queue deadline and then ends. The call may be
// deleted on return.
void DispatchCall(RelayState& state, RelayCall& call);

// Abandons an attempt without a response head within its timeout and retries
// the request at another endpoint if that is allowed. The call may be deleted
// on return.
void CheckAttemptTimeout(RelayState& state, RelayCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYATTEMPT_H_
