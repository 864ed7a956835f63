#ifndef COMFREYPADDLE_PROVISION_H_
#define COMFREYPADDLE_PROVISION_H_

#include "duty.h"

namespace comfreypaddle {

// Orders and releases endpoints at the platform for fleets that name
// availability zones, if this process holds the capacity duty. What the
// platform lists is adopted into the configuration before anything is
// ordered. An endpoint is released only after it was drained: the drain is
// read back from the log, every instance stops sending work, and the endpoint
// reports that it is idle.
void MaintainCapacity(DutyState& state);

// Takes the verdict on a configuration write of this duty. Returns false for
// other tickets.
bool OnCapacityVerdict(DutyState& state, const schema::RecordVerdict& verdict);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PROVISION_H_
