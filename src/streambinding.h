#ifndef COMFREYPADDLE_STREAMBINDING_H_
#define COMFREYPADDLE_STREAMBINDING_H_

#include <string>

#include "relaystate.h"

namespace comfreypaddle {

// Binds resumable streams to the version of the endpoint that began them, and
// applies what becomes known of its lifetime (see lifetime.h): a part of the
// relay task. A stream that begins is forwarded at once; one that goes on waits
// until its endpoint is shown to have the version.

// Whether the response to the request is a stream that may be resumed.
bool IsResumable(const RelayCall& call);

// The version that the call's stream is bound to, in log lines.
std::string BoundVersionText(const RelayCall& call);

// Hash of the attempt that began the call's stream.
std::uint64_t StreamOf(const RelayCall& call);

// Judges which lifetime began a stream, by what is known now.
LifetimeVerdict JudgeStream(const RelayState& state, const BegunStream& stream);

// Binds the stream to the version of the endpoint that has sent its first
// event, and records it. A stream that goes on is held if the version of the
// endpoint is not proven. Call it before the event is forwarded.
void BindToVersion(RelayState& state, RelayCall& call);

// Applies what is known of the endpoint's lifetime to its streams. Calls may be
// deleted.
void ApplyLifetime(RelayState& state, const std::string& endpoint);

// A question for the lifetime of the endpoint, asked at that time, had no
// answer: ends the attempts and requests that waited for it. Calls may be
// deleted.
void OnLifetimeUnknown(RelayState& state, const std::string& endpoint,
                       Instant asked);

// Applies the versions of the endpoints that are listed now. Records of streams
// that began while there was only one version go to the other instances once
// more when a second one is listed: these may be others than before.
void UpdateEndpointVersions(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMBINDING_H_
