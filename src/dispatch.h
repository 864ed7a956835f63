#ifndef COMFREYPADDLE_DISPATCH_H_
#define COMFREYPADDLE_DISPATCH_H_

#include <string>

#include "calls.h"

namespace comfreypaddle {

// Takes a request from a caller: refuses it, claims its idempotency key or
// queues it.
void AcceptRequest(CallState& state, HttpRequest request);

// Takes the verdict on a claim. Unknown tickets are ignored.
void OnClaimVerdict(CallState& state, std::uint64_t ticket, Verdict verdict,
                    Outcome outcome);

// Ends a call whose caller left and cancels its work at the endpoint.
void OnCallerDisconnected(CallState& state, std::uint64_t id);

// Applies a change of the configuration. Requests that wait under a removed
// key are refused.
void OnTableChange(CallState& state, const TableChange& change);

// Sends waiting requests of a fleet while endpoints have room.
void DispatchQueue(CallState& state, const std::string& fleet);

// Ends expired requests, starts paused attempts that are due and runs all
// queues.
void OnTick(CallState& state);

// Refuses or ends a call with a problem and forgets it.
void RejectCall(CallState& state, OpenCall& call, ProblemCode code,
                Outcome outcome, const std::string& detail,
                Duration retry_after = Duration(0));

// Forgets a call that was answered or cancelled, charges its actual cost and
// records what became of its idempotency key.
void FinishCall(CallState& state, OpenCall& call, Outcome outcome);

// Returns whether requests that need a key may be admitted now.
bool MayAdmitKeyed(const CallState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DISPATCH_H_
