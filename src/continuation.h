#ifndef COMFREYPADDLE_CONTINUATION_H_
#define COMFREYPADDLE_CONTINUATION_H_

#include "relaystate.h"

namespace comfreypaddle {

// What becomes of a request whose attempt has ended without a response for its
// caller. All attempts beyond the first one are decided here (see runend.h).

// Tries the request at another endpoint once its attempt, whose connection has
// just ended in this way, is known to be over, or ends the request. The call
// may be deleted on return.
void OnAttemptEnded(RelayState& state, RelayCall& call, AttemptEnd end);

// Goes on with a request whose last attempt may still run at its endpoint: asks
// the endpoint from time to time, and ends the request if the answer takes too
// long. The call may be deleted on return.
void CheckEndProof(RelayState& state, RelayCall& call);

// Charges the retry that is about to be sent to the endpoint, if it is one.
// Ends the request, deletes the call and returns false if the budget is used
// up.
bool PayForRetry(RelayState& state, RelayCall& call,
                 const std::string& endpoint);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONTINUATION_H_
