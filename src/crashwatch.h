#ifndef COMFREYPADDLE_CRASHWATCH_H_
#define COMFREYPADDLE_CRASHWATCH_H_

#include "relaystate.h"

namespace comfreypaddle {

// What the attempts of this instance say about crashes of endpoints, and which
// requests are refused for it. The table of suspects is shared with the other
// instances (crashsync.h).

// Whether the current attempt has not got past the start of its response. Only
// then is the loss of its connection blamed on the request: one that crashes
// endpoints does so as they begin to answer, while the others on the same
// endpoint may have run for long.
bool IsAtStart(const RelayCall& call);

// Clears the request and its prompt parts of the crashes known so far. To be
// called when an attempt gets past the start of its response and when it ends
// with a whole response.
void OnAttemptSurvived(RelayState& state, const RelayCall& call);

// Blames the request for the crash of the endpoint of its attempt, and the
// shared parts of its prompt if the endpoint had begun to answer. Whether the
// process ended is then to be found out (crashcheck.h).
void OnAttemptCrashed(RelayState& state, RelayCall& call);

// Start of the latest lifetime of the endpoint that is known to have begun
// before the attempt ended: according to the list, or to the endpoint itself,
// as a restart is listed seconds later. A lifetime that the endpoint has named
// later may have begun after the crash.
std::uint64_t LifetimeOf(const RelayState& state,
                         const EndpointAttempt& attempt);

// Blames the request with this fingerprint, and nothing else, for the end of
// this lifetime of the endpoint.
void BlameRequest(RelayState& state, std::uint64_t request,
                  const std::string& endpoint, std::uint64_t born_ms);

// Counts a crash by itself for the prompt parts that it may be confirmed for:
// the process of its endpoint has ended.
void OnCrashConfirmed(RelayState& state, const CrashCheck& check);

// Merges the suspects of other instances.
void MergeSuspects(RelayState& state, const schema::SuspectList& suspects);

// Whether the request may run: neither it nor a part of its prompt has crashed
// too many endpoints, or it is chosen to try such a part again. To be asked
// before each attempt, because crashes are reported while a request waits, is
// prefilled or runs. A request past the start of its response is not at fault.
bool MayRun(RelayState& state, RelayCall& call);

// Whether an endpoint has crashed under the request or a part of its prompt, or
// the request tries such a part again.
bool IsSuspect(const RelayState& state, const RelayCall& call);

// Time after which a request that may not run is worth sending again.
Duration SuspectRetryAfter(const RelayState& state, const RelayCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHWATCH_H_
