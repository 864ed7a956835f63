#ifndef COMFREYPADDLE_RELAYATTEMPT_H_
#define COMFREYPADDLE_RELAYATTEMPT_H_

#include "relaystate.h"

namespace comfreypaddle {

// Chooses an endpoint for the request and sends it there. Without one the
// request waits, or ends when it has waited long enough. The call may be gone
// afterwards.
void DispatchCall(RelayState& state, RelayCall& call);

// Gives an attempt up that has shown no sign for too long, if the request may
// run elsewhere. The call may be gone afterwards.
void CheckAttemptTimeout(RelayState& state, RelayCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYATTEMPT_H_
