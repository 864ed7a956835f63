#ifndef COMFREYPADDLE_MEMBERWATCH_H_
#define COMFREYPADDLE_MEMBERWATCH_H_

#include "controlstate.h"

namespace comfreypaddle {

// Keeps the list of instances to those that live (see instancewatch.h): the
// control task's part.

// Request target of the calls by which an instance finds out whether another
// one lives. Request and response have no body.
inline constexpr std::string_view kProbeTarget = "/v1/instance";

// Records that another instance has called this one.
void HeardFrom(ControlState& state, const std::string& name);

// Probes silent instances, and drops the records of those that are gone, if
// this instance reads the store for its zone. Call it with each tick.
void WatchInstances(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_MEMBERWATCH_H_
