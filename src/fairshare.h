#ifndef COMFREYPADDLE_FAIRSHARE_H_
#define COMFREYPADDLE_FAIRSHARE_H_

#include <string_view>
#include <vector>

#include "admit.h"
#include "types.h"

namespace comfreypaddle {

// Division of the fleets among the entry instances. Each instance sees a part
// of the requests. Without a division the instance at which a request ends
// would be the first to use the free place, whoever waits elsewhere.

// Returns the digest for the next heartbeat: flows with waiting or running
// requests, and flows served since the last digest.
std::vector<ServiceDigest> MakeServiceDigest(AdmitState& state);

// Forgets a peer that left or restarted.
void RemovePeer(AdmitState& state, std::string_view peer);

// Computes for each fleet the share of its slots that this instance may use.
// To be called once each heartbeat period.
void UpdateShares(AdmitState& state, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FAIRSHARE_H_
