#ifndef COMFREYPADDLE_NEIGHBOURS_H_
#define COMFREYPADDLE_NEIGHBOURS_H_

#include "controlstate.h"

namespace comfreypaddle {

// Target of the calls between instances.
inline constexpr std::string_view kNeighbourTarget = "/v1/state";

// Writes the address of this instance to the store, once.
void RegisterInstance(ControlState& state);

// Instances that have not left.
std::vector<UpstreamCandidate> LiveInstances(const ControlState& state);

// Keeps a question open at the instance that this one follows. Call it every
// tick.
void FollowUpstream(ControlState& state);

// Asks other instances for configuration and endpoints while neither the store
// nor the followed instance tells this one. Call it every tick.
void QueryNeighbours(ControlState& state);

// Tells all instances that an endpoint crashed while it ran a request.
void SpreadCrash(ControlState& state, const schema::CrashReport& crash);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_NEIGHBOURS_H_
