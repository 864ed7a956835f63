#ifndef COMFREYPADDLE_SILENCEWATCH_H_
#define COMFREYPADDLE_SILENCEWATCH_H_

#include <string>

#include "endpointreport.h"
#include "relaystate.h"

namespace comfreypaddle {

// Crashes of endpoints that go dark (see silentattempts.h): a part of the relay
// task. A request is blamed for them as for those that break its connection
// (crashwatch.h).

// Records the attempts of the request that have gone unanswered for long. Call
// it before they are cancelled.
void RecordSilentAttempts(RelayState& state, const RelayCall& call);

// Applies what the head of a response to the attempt shows of its endpoint.
void OnAttemptHead(RelayState& state, const EndpointAttempt& attempt);

// Applies that nothing listens at the address of the endpoint.
void OnEndpointUnreachable(RelayState& state, const std::string& endpoint,
                           const std::string& address);

// Applies the report of an endpoint, or that it is gone.
void OnEndpointReport(RelayState& state, const std::string& endpoint,
                      const EndpointReport& report);

// Applies the list of endpoints. Asks the endpoints that have vanished from it
// whether they are alive: an entry may lapse while its endpoint serves. Call it
// when the list has changed.
void ReviewSilentAttempts(RelayState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SILENCEWATCH_H_
