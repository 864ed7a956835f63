#ifndef COMFREYPADDLE_SUSPECTSTORE_H_
#define COMFREYPADDLE_SUSPECTSTORE_H_

#include "controlstate.h"

namespace comfreypaddle {

// Records in the store of what is refused because it crashes endpoints: the
// control task's part. Instances share their tables (see crashsync.h), but may
// all be killed at once, and the request that crashes endpoints comes again.

// Learns what the store has, and keeps its records as the table of this
// instance is. Call it with each tick.
void SyncSuspectRecords(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SUSPECTSTORE_H_
