#ifndef COMFREYPADDLE_BENCHPLAN_H_
#define COMFREYPADDLE_BENCHPLAN_H_

#include "benchworld.h"

namespace comfreypaddle {

// The part of the fleet-wide duties in a run: roles and capacity.

// Creates the fleet that every policy starts with: four engines in each zone,
// half of them cheap, with the roles that the policy starts from.
void CreateFleet(World& world, Instant now);

// Takes the demand since the last call into the planners.
void ObserveArrivals(World& world, Duration elapsed, Instant now);

// Changes roles according to the policy, unless the log is down.
void PlanFleetRoles(World& world, Instant now);

// Orders and drains engines according to the policy, unless the log is down.
// Policies other than `current` keep the number of engines.
void PlanFleetCapacity(World& world, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHPLAN_H_
