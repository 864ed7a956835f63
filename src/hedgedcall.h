#ifndef COMFREYPADDLE_HEDGEDCALL_H_
#define COMFREYPADDLE_HEDGEDCALL_H_

#include "relaystate.h"

namespace comfreypaddle {

// Runs a hedged request at two endpoints. RelayCall::m_attempt is the current
// attempt, and HedgeProgress::m_other the one beside it. An attempt that ends
// becomes the current one and is handled like any other; if it has failed, the
// request goes on with the one beside it. hedge.h decides.

// Sends the request to a second endpoint as well if that is due and allowed.
void ConsiderHedge(RelayState& state, RelayCall& call);

// Whether another attempt runs beside the current one.
bool IsHedged(const RelayCall& call);

// Makes the other attempt the current one after the current one has failed.
// Returns false if there is none.
bool GoOnWithOther(RelayState& state, RelayCall& call);

// Cancels the other attempt, if there is one.
void CancelOther(RelayState& state, RelayCall& call);

// Counts an execution for the usage report. Both attempts of a hedged request
// count as one.
void CountRun(RelayState& state, RelayCall& call);

// Ends the hedging of a request that ends, and learns from its response time.
void EndHedging(RelayState& state, RelayCall& call, EndReason reason);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HEDGEDCALL_H_
