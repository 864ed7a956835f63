#ifndef COMFREYPADDLE_RESPONSEMEMORY_H_
#define COMFREYPADDLE_RESPONSEMEMORY_H_

#include <cstddef>

#include "relaystate.h"

namespace comfreypaddle {

// Bounds the memory that the responses of all open requests take together.
// Faulty endpoints may send without end to many calls at once, each of which
// stays within its own limit.

// Bytes of the request's response that this instance holds: the buffered body,
// the incomplete event, and what its caller has not read.
std::size_t HeldBytes(const RelayState& state, const RelayCall& call);

// Whether most of it waits for the caller to read.
bool IsHeldForCaller(const RelayState& state, const RelayCall& call);

// Returns the request that holds the most if all together hold too much, or
// null. The caller ends it. `grown` has just received data.
RelayCall* FindExcessCall(RelayState& state, const RelayCall& grown);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RESPONSEMEMORY_H_
