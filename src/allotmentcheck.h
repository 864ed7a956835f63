#ifndef COMFREYPADDLE_ALLOTMENTCHECK_H_
#define COMFREYPADDLE_ALLOTMENTCHECK_H_

#include "metrics.h"
#include "relaystate.h"

namespace comfreypaddle {

// Applies the allotments of workspaces to the requests of the relay task. Each
// request that a caller sends is counted once, whatever attempts follow.

// Why a request is refused for its allotment, and when its caller may return;
// no time if it never may.
struct AllotmentRefusal {
  EndReason m_reason = EndReason::kAllotment;
  std::optional<Duration> m_retry_after;
};

// Counts the request to the allotment of its workspace, or refuses it.
std::optional<AllotmentRefusal> ChargeAllotment(RelayState& state,
                                                RelayCall& call, Instant now);

// Returns the cost of a request that ends without having run.
void RefundAllotment(RelayState& state, const RelayCall& call);

// Forgets workspaces that have had no limit and no requests for a while. To be
// called with each new configuration.
void ForgetAllotments(RelayState& state);

// Adds what workspaces use of their allotments.
void AddAllotments(const RelayState& state, MetricsText* text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ALLOTMENTCHECK_H_
