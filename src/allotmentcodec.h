#ifndef COMFREYPADDLE_ALLOTMENTCODEC_H_
#define COMFREYPADDLE_ALLOTMENTCODEC_H_

#include "allotment.h"
#include "relay.pb.h"

namespace comfreypaddle {

// Convert the use of allotments from and to messages. Figures that are negative
// or no numbers are read as zero.
schema::WorkspaceUseList ToMessage(const InstanceUses& uses);
InstanceUses FromMessage(const schema::WorkspaceUseList& message);

// Limit of a workspace that has one.
AllotmentLimit LimitOf(const schema::Allotment& allotment);

// Cost of a request with this number of tokens; zero if it names none.
double CostOf(const schema::Allotment& allotment, double tokens);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ALLOTMENTCODEC_H_
