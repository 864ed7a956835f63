#ifndef COMFREYPADDLE_DISPATCH_H_
#define COMFREYPADDLE_DISPATCH_H_

#include <string>

#include "calls.h"

namespace comfreypaddle {

// Handles a request from a caller: rejects it, claims its idempotency key or
// queues it.
void AcceptRequest(CallState& state, HttpRequest request);

// Handles the verdict on a claim. Unknown tickets are ignored.
void OnClaimVerdict(CallState& state, std::uint64_t ticket, Verdict verdict,
                    Outcome outcome);

// Ends a call whose caller disconnected and cancels its work at the endpoint.
void OnCallerDisconnected(CallState& state, std::uint64_t id);

// Applies a configuration change. Queued requests of a removed key are
// rejected.
void OnTableChange(CallState& state, const TableChange& change);

// Sends queued requests of a fleet while endpoints have capacity.
void DispatchQueue(CallState& state, const std::string& fleet);

// Ends expired requests, starts due retries and dispatches all queues.
void OnTick(CallState& state);

// Rejects or ends a call with a problem response and removes it.
void RejectCall(CallState& state, OpenCall& call, ProblemCode code,
                Outcome outcome, const std::string& detail,
                Duration retry_after = Duration(0));

// Removes a call that was answered or cancelled, charges its actual cost and
// records the outcome for its idempotency key.
void FinishCall(CallState& state, OpenCall& call, Outcome outcome);

// Returns true if requests that need a key may be admitted now.
bool MayAdmitKeyed(const CallState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DISPATCH_H_
