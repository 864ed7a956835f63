#ifndef COMFREYPADDLE_RESUMPTION_H_
#define COMFREYPADDLE_RESUMPTION_H_

#include <string>

#include "relaystate.h"

namespace comfreypaddle {

// Streams that their callers take up: the relay task's part. It finds out the
// version that began a stream before the stream goes on (see streamversions.h).

// Whether the caller takes up a stream of an earlier attempt.
bool IsTakenUp(const RelayCall& call);

// Sends a request that takes up a stream once the version that began it is
// known. The call may be deleted on return.
void TakeUpStream(RelayState& state, RelayCall& call);

// Goes on with the request that waits for this answer, or refuses it.
void OnStreamAnswer(RelayState& state, const schema::StreamAnswer& answer);

// Goes on with the requests whose streams have become known, and refuses those
// that have waited for long enough. Call it with each tick.
void ResolveTakenUp(RelayState& state);

// Refuses the requests whose streams depend on the lifetime of the endpoint,
// which was asked for at this time and is not known.
void RefuseTakenUp(RelayState& state, const std::string& endpoint,
                   Instant asked);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RESUMPTION_H_
