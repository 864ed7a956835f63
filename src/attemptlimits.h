#ifndef COMFREYPADDLE_ATTEMPTLIMITS_H_
#define COMFREYPADDLE_ATTEMPTLIMITS_H_

#include "relaystate.h"

namespace comfreypaddle {

// Decides which attempts a request may still make, and for how long one may go
// unanswered.

// Whether the response to the request is an event stream.
bool IsStream(const RelayCall& call);

// Charges one retry of the request to the retry budget of its service. Returns
// false if the budget is used up.
bool ChargeRetry(RelayState& state, const RelayCall& call);

// Whether a request that may have been executed may be retried. Charges the
// retry budget if so.
bool MayRetryExecuted(RelayState& state, const RelayCall& call);

// Whether a request that its endpoint did not execute may be retried. Charges
// the retry budget if so.
bool MayRetryNotExecuted(RelayState& state, const RelayCall& call);

// Whether a request that reached no endpoint may be tried elsewhere. It is not
// charged to the retry budget, which bounds what arrives at the service.
bool MayRetryUnsent(const RelayState& state, const RelayCall& call);

// Whether the attempt has exceeded its timeout for the response head.
bool HasTimedOut(RelayState& state, const RelayCall& call, Instant now);

// Whether the caller of a prompt that was not sent yet leaves before its first
// event, at the endpoint that serves it first.
bool IsHopeless(const RelayCall& call, const BalanceChoice& choice,
                Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ATTEMPTLIMITS_H_
