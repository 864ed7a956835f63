#ifndef COMFREYPADDLE_FAIRSHARE_H_
#define COMFREYPADDLE_FAIRSHARE_H_

#include <string_view>
#include <vector>

#include "admission.h"
#include "types.h"

namespace comfreypaddle {

// Divides the fleets' capacity among the entry instances. Each instance sees
// only some of the requests. Without the division, the instance at which a
// request ends would take the free slot first, even if other workspaces wait
// elsewhere.

// Returns the digest for the next heartbeat: flows with queued or running
// requests, and flows served since the last digest.
std::vector<ServiceDigest> BuildServiceDigest(AdmissionQueue& state);

// Removes the reports of a peer that left or restarted.
void RemovePeer(AdmissionQueue& state, std::string_view peer);

// Computes the share of each fleet's slots that this instance may use. Call
// once per heartbeat period.
void UpdateShares(AdmissionQueue& state, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FAIRSHARE_H_
