#ifndef COMFREYPADDLE_BENCHPLAN_H_
#define COMFREYPADDLE_BENCHPLAN_H_

#include "benchstate.h"

namespace comfreypaddle {

// Simulated fleet-wide duties: role planning and capacity planning.

// Creates the initial fleet: four engines in each zone, half of them cheap,
// with the initial roles of the policy.
void CreateFleet(BenchState& state, Instant now);

// Passes the demand since the last call to the planners.
void ObserveArrivals(BenchState& state, Duration elapsed, Instant now);

// Changes roles according to the policy, unless the log is unavailable.
void PlanFleetRoles(BenchState& state, Instant now);

// Orders and drains engines according to the policy, unless the log is
// unavailable. Policies other than `current` keep the fleet size constant.
void PlanFleetCapacity(BenchState& state, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHPLAN_H_
