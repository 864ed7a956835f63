#ifndef COMFREYPADDLE_HANDOVER_H_
#define COMFREYPADDLE_HANDOVER_H_

#include "controlstate.h"

namespace comfreypaddle {

// Target of the calls that hand usage over.
inline constexpr std::string_view kHandoverTarget = "/v1/usage";

using HandoverAnswer = std::function<void(const schema::HandoverResult&)>;

// Whether there is usage that the store has not taken from this instance.
bool UsageWaits(const ControlState& state);

// Hands the usage that waits to an instance that the store answers. The call
// is one of its own: it takes as long as the append, and nothing else may wait
// for that. Call it every tick.
void HandOverUsage(ControlState& state);

// Appends the usage of another instance, then answers.
void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   const HandoverAnswer& respond);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HANDOVER_H_
