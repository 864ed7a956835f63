#ifndef COMFREYPADDLE_ATTEMPTLIMITS_H_
#define COMFREYPADDLE_ATTEMPTLIMITS_H_

#include "relaystate.h"

namespace comfreypaddle {

// Decides which attempts a request may still make, and for how long one may go
// unanswered.

// Whether the response to the request is an event stream.
bool IsStream(const RelayCall& call);

// Whether the request may be executed more than once, at one time or after
// another.
bool IsRepeatable(const RelayCall& call);

// Whether the retry budget of the request's service allows another retry.
bool HasRetryBudget(RelayState& state, const RelayCall& call);

// Charges one retry of the request, which is about to be sent to the endpoint,
// to the retry budget of its service. Returns false if the budget is used up.
bool ChargeRetry(RelayState& state, const RelayCall& call,
                 const std::string& endpoint);

// Whether a request that may be repeated has attempts of its route left.
bool HasAttemptsLeft(const RelayCall& call);

// Whether the request may be tried again after its last attempt, by its kind,
// the number of attempts and the time left.
bool MayTryAgain(const RelayState& state, const RelayCall& call);

// Whether the attempt has gone unanswered for so long that its endpoint should
// get no other request meanwhile.
bool IsSilent(const RelayState& state, const RelayCall& call,
              const EndpointAttempt& attempt, Instant now);

// Whether the caller of a prompt that was not sent yet leaves before its first
// event, at the endpoint that serves it first.
bool IsHopeless(const RelayCall& call, const BalanceChoice& choice,
                Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ATTEMPTLIMITS_H_
