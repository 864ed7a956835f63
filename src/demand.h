#ifndef COMFREYPADDLE_DEMAND_H_
#define COMFREYPADDLE_DEMAND_H_

#include <string>

#include "duty.h"

namespace comfreypaddle {

// Takes the counters of arrived work of one instance for one fleet.
void OnDemand(DutyState& state, const Writer& instance,
              const schema::FleetDemand& demand);

// Demand for a fleet over all instances heard of late, in replica-seconds of
// work that arrive per second. Zero for fleets whose speed is not known.
PhaseDemand FleetDemand(const DutyState& state, const Fleet& fleet);

// Whether the speed of the fleet's replicas is configured, so that its roles
// and capacity can be planned.
bool HasKnownSpeed(const Fleet& fleet);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DEMAND_H_
