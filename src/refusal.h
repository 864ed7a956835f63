#ifndef COMFREYPADDLE_REFUSAL_H_
#define COMFREYPADDLE_REFUSAL_H_

#include <cstdint>

#include "types.h"

namespace comfreypaddle {

// Decides which requests are refused because they cannot be served, and when
// their callers may return.

// Whether a request can be answered before its caller leaves, given the time
// since its arrival, the time to the first event after which the caller leaves,
// and the estimated time to the first event if it is sent now.
bool IsServable(Duration waited, Duration patience, Duration estimate);

// Time to the first event after which the caller of a stream gives up, given
// the targets of its route for the first event and for the gaps.
Duration CallerPatience(Duration target, Duration gap, Duration time_left);

// Delay that a refused caller is told: the backlog drains in it, callers do not
// return at the same moment, and time is left to serve them. `seed` differs
// between requests.
Duration ChooseRetryAfter(Duration backlog, Duration time_left,
                          std::uint64_t seed);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_REFUSAL_H_
