#ifndef COMFREYPADDLE_LIFETIMECHECK_H_
#define COMFREYPADDLE_LIFETIMECHECK_H_

#include <string>

#include "endpointreport.h"
#include "relaystate.h"

namespace comfreypaddle {

// Asks endpoints for the lifetimes that serve streams (see lifetime.h): a part
// of the relay task. One question serves all streams whose connections were
// established before it.

enum class CheckUrgency {
  kSoon,  // With others, so that a burst of new connections takes few
          // questions.
  kNow,   // A caller waits.
};

// Asks the endpoint at this address for its lifetime, also if it has left the
// list: it may go on serving.
void CheckLifetime(RelayState& state, const std::string& endpoint,
                   const std::string& address, CheckUrgency urgency);

// Asks the endpoint for its lifetime if no connection to it is open: it may
// have begun another one. Call it before a stream is sent there.
void CheckNewContact(RelayState& state, const BalanceEndpoint& endpoint);

// Asks the questions that are due. Call it with each tick.
void TickLifetimeChecks(RelayState& state);

// Records the lifetime that a report names, whatever it was asked for, and
// applies it to the streams that wait for it. Returns false if it names none.
bool LearnLifetime(RelayState& state, const std::string& endpoint,
                   const EndpointReport& report);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LIFETIMECHECK_H_
