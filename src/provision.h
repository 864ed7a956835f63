#ifndef COMFREYPADDLE_PROVISION_H_
#define COMFREYPADDLE_PROVISION_H_

#include "duty.h"

namespace comfreypaddle {

// Creates and releases endpoints through the platform API for fleets with
// configured availability zones, while this process holds the capacity duty.
// Endpoints that the platform lists are adopted into the configuration before
// any are created. An endpoint is released only after draining: the drain has
// been read back from the log, every instance has stopped sending requests to
// it, and the endpoint reports that it is idle.
void MaintainCapacity(DutyState& state);

// Handles the verdict on a configuration write of this duty. Returns false if
// the ticket is not for one.
bool OnCapacityVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PROVISION_H_
