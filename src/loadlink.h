#ifndef COMFREYPADDLE_LOADLINK_H_
#define COMFREYPADDLE_LOADLINK_H_

#include "controlstate.h"

namespace comfreypaddle {

// Request target of load exchanges between instances.
inline constexpr std::string_view kLoadTarget = "/v1/load";

// Sends the load of this instance to the upstream, or, on the reader of a zone,
// the sum of its zone to the readers of the other zones.
void ExchangeLoad(ControlState& state, const schema::LoadList& own);

// Records the load sent by another instance. Returns the load to answer with:
// the sum of this zone for another zone, else that of all other instances.
schema::LoadList MergeLoadShare(ControlState& state,
                                const schema::LoadShare& share);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOADLINK_H_
