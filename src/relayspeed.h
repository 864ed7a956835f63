#ifndef COMFREYPADDLE_RELAYSPEED_H_
#define COMFREYPADDLE_RELAYSPEED_H_

#include "relaystate.h"

namespace comfreypaddle {

// Take the times of responses as samples of the speed of their endpoints: of a
// stream that is complete, and of a response that was not streamed.
void RecordStreamSpeed(RelayState& state, const EndpointAttempt& attempt);
void RecordRunSpeed(RelayState& state, const EndpointAttempt& attempt);

// Updates the speeds of all endpoints for the age of their samples, and logs
// those that changed much.
void RefreshSpeeds(RelayState& state);

// Adds what this instance has learnt of the endpoint's speed to its load.
void AddSpeed(const SpeedReport& report, schema::SharedLoad* load);

// Applies the speeds that other instances have told, if the list has any.
void ApplyPeerSpeeds(RelayState& state, const schema::LoadList& list);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYSPEED_H_
