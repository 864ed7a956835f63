#ifndef COMFREYPADDLE_RESUMPTION_H_
#define COMFREYPADDLE_RESUMPTION_H_

#include "relaystate.h"

namespace comfreypaddle {

// Streams that their callers take up: the relay task's part. It records the
// version at which each resumable stream begins, and finds out the version that
// began a stream before it goes on (see streamversions.h).

// Whether the caller takes up a stream of an earlier attempt.
bool IsTakenUp(const RelayCall& call);

// Sends a request that takes up a stream once the version that began it is
// known. The call may be deleted on return.
void TakeUpStream(RelayState& state, RelayCall& call);

// Goes on with the request that waits for this answer, or refuses it.
void OnStreamAnswer(RelayState& state, const schema::StreamAnswer& answer);

// Binds the stream to the version of the endpoint that has sent its first
// event, and records it. Call it before the event is forwarded.
void BindToVersion(RelayState& state, RelayCall& call);

// Applies the versions of the endpoints that are listed now. Records of streams
// that began while there was only one version go to the other instances once
// more when a second one is listed: these may be others than before.
void UpdateEndpointVersions(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RESUMPTION_H_
