#ifndef COMFREYPADDLE_PEERSYNC_H_
#define COMFREYPADDLE_PEERSYNC_H_

#include "controlstate.h"

namespace comfreypaddle {

// Request target of state queries between instances.
inline constexpr std::string_view kStateQueryTarget = "/v1/state";

// Appends the record of this instance to the store, with its address: once
// after the start and once, marked as left, when it stops. A failed append is
// retried. Call it every tick.
void RegisterInstance(ControlState& state);

// Instances that have not deregistered and are not known to be gone, including
// this one.
std::vector<UpstreamCandidate> LiveInstances(const ControlState& state);

// Those of them that are worth a call, including this one.
std::vector<UpstreamCandidate> ResponsiveInstances(const ControlState& state);

// Keeps a long-poll query open at the upstream instance. Call it every tick.
void PollUpstream(ControlState& state);

// Queries other instances for configuration and endpoints while neither the
// store nor the upstream keeps this instance current. Call it every tick.
void SearchPeers(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PEERSYNC_H_
