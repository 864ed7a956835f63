#ifndef COMFREYPADDLE_RELAYATTEMPT_H_
#define COMFREYPADDLE_RELAYATTEMPT_H_

#include <string_view>

#include "relaystate.h"

namespace comfreypaddle {

// Chooses an endpoint for the request and sends it there. If none is available,
// the request waits until its queue deadline and then ends. The call may be
// deleted on return.
void DispatchCall(RelayState& state, RelayCall& call);

// Lets other requests avoid an endpoint that leaves the request unanswered for
// long. The request itself goes on waiting: the response may still arrive, and
// the endpoint may be at work on it.
void NoteSilence(RelayState& state, RelayCall& call);

// Logs the limit of an endpoint after a change, with its source.
void LogEndpointLimit(const BalanceEndpoint& endpoint, std::string_view source);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYATTEMPT_H_
