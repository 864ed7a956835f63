#ifndef COMFREYPADDLE_RELAYATTEMPT_H_
#define COMFREYPADDLE_RELAYATTEMPT_H_

#include <string_view>

#include "relaystate.h"

namespace comfreypaddle {

// Chooses an endpoint for the request and sends it there. If none is available,
// the request waits until its queue deadline and then ends. The call may be
// deleted on return.
void DispatchCall(RelayState& state, RelayCall& call);

// The steps of an attempt that runs the request, from which the first and the
// second one of a hedged request are built.

// Builds the HTTP call that sends the request to the endpoint.
HttpCall MakeEndpointCall(const RelayState& state, const RelayCall& call,
                          const BalanceEndpoint& endpoint,
                          UpstreamMetadata terms);

// Adds an attempt with this prefill work and need of memory to the load of the
// endpoint.
EndpointAttempt BeginAttempt(RelayState& state, const BalanceEndpoint& endpoint,
                             double work_ms, const MemoryNeed& need);

// Records the head of the response to an attempt, and what it tells of the
// endpoint.
void RecordHead(RelayState& state, const RelayCall& call,
                EndpointAttempt& attempt, int status, const HttpFields& fields);

// Records the head of the response to the current attempt of the request. A
// hedged request keeps only the attempt whose stream begins first.
void OnRunHead(RelayState& state, RelayCall& call, int status,
               const HttpFields& fields);

// Records on which connection the call of the attempt ended.
void RecordConnection(EndpointAttempt& attempt, const HttpResult& result);

// Records at the endpoint why it did not accept the request.
void RecordRejection(RelayState& state, const EndpointAttempt& attempt,
                     const HttpResult& result);

// How the connection of an attempt ended that brought no usable response.
AttemptEnd EndOf(const EndpointAttempt& attempt, const HttpResult& result);

// Sends the request to the endpoint `id`, which runs it with prefill work of
// `work_ms` and fetches its KV cache from `fetch_address` unless that is empty.
void SendRun(RelayState& state, RelayCall& call, const std::string& id,
             double work_ms, const std::string& fetch_address);

// Refuses a request that may crash endpoints. The call is deleted.
void RefuseSuspect(RelayState& state, RelayCall& call);

// Callbacks of the current attempt of the request with this id.
HttpEvents RunEvents(RelayState& state, std::uint64_t key);

// Forwards the events of an attempt that was held, and handles its end if that
// has come. The call may be deleted.
void ReleaseHeldAttempt(RelayState& state, RelayCall& call);

// Ends an attempt that was held: its endpoint is not shown to have the version
// of the stream. The call may be deleted.
void AbandonHeldAttempt(RelayState& state, RelayCall& call);

// Lets other requests avoid an endpoint that leaves the request unanswered for
// long. The request itself goes on waiting: the response may still arrive, and
// the endpoint may be at work on it.
void NoteSilence(RelayState& state, RelayCall& call);

// Logs the limit of an endpoint after a change, with its source.
void LogEndpointLimit(const BalanceEndpoint& endpoint, std::string_view source);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYATTEMPT_H_
