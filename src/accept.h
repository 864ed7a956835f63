#ifndef COMFREYPADDLE_ACCEPT_H_
#define COMFREYPADDLE_ACCEPT_H_

#include "relaystate.h"

namespace comfreypaddle {

// Takes a request of a caller: finds its route, workspace, deadline and
// service, and starts it or answers why not.
void AcceptRequest(RelayState& state, HttpRequest request);

// The caller closed its connection: what runs for it is cancelled.
void OnCallerDisconnected(RelayState& state, std::uint64_t id);

// Ends requests whose deadline has passed, and tries waiting ones again.
void TickCalls(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ACCEPT_H_
