#ifndef COMFREYPADDLE_CRASHCODEC_H_
#define COMFREYPADDLE_CRASHCODEC_H_

#include "crashtable.h"
#include "relay.pb.h"

namespace comfreypaddle {

// Conversion of the table of suspects from and to messages. Times are sent as
// ages, because the clocks of instances differ.

// Adds the row of the suspect to the list.
void AppendSuspect(const SuspectKey& key, const SuspectRow& row, Instant now,
                   schema::SuspectList* list);

SuspectKey DecodeSuspectKey(const schema::Suspect& suspect);

// Leaves out crashes that are too old or have no valid age.
SuspectRow DecodeSuspectRow(const schema::Suspect& suspect, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHCODEC_H_
