#ifndef COMFREYPADDLE_DEMAND_H_
#define COMFREYPADDLE_DEMAND_H_

#include <string>

#include "duty.h"

namespace comfreypaddle {

// Processes the counters of arrived work that one instance reports for a fleet.
void OnDemand(DutyState& state, const Writer& instance,
              const schema::FleetDemand& demand);

// Demand for a fleet summed over all instances that reported recently, in
// endpoint-seconds of work per second. Zero for fleets whose engine speed is
// not configured.
PhaseDemand FleetDemand(const DutyState& state, const Fleet& fleet);

// Whether the speed of the fleet's engines is configured, which planning of
// roles and capacity requires.
bool HasKnownSpeed(const Fleet& fleet);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DEMAND_H_
