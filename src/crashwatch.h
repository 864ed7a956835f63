#ifndef COMFREYPADDLE_CRASHWATCH_H_
#define COMFREYPADDLE_CRASHWATCH_H_

#include "relaystate.h"

namespace comfreypaddle {

// Reports that an endpoint crashed while it ran the request.
void ReportCrash(RelayState& state, const RelayCall& call);

// Adds a crash that this or another instance reported to the table.
void RecordCrash(RelayState& state, const schema::CrashReport& crash);

// Whether the request has crashed too many endpoints to be run.
bool IsRefusedSuspect(const RelayState& state, const RelayCall& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHWATCH_H_
