#ifndef COMFREYPADDLE_ACCEPT_H_
#define COMFREYPADDLE_ACCEPT_H_

#include "relaystate.h"

namespace comfreypaddle {

// Resolves the route, workspace, deadline and service of a caller's request,
// then dispatches it or responds with the reason for refusing it.
void AcceptRequest(RelayState& state, HttpRequest request);

// Cancels the request of a caller that closed its connection.
void OnCallerDisconnected(RelayState& state, std::uint64_t id);

// Ends requests past their deadline, dispatches waiting requests and checks
// running attempts for timeouts.
void TickCalls(RelayState& state);

// Ends all open requests at the end of a planned stop, each with a response
// that says whether it may have been executed.
void EndAllCalls(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ACCEPT_H_
