#ifndef COMFREYPADDLE_HANDOVER_H_
#define COMFREYPADDLE_HANDOVER_H_

#include "controlstate.h"

namespace comfreypaddle {

// Request target of usage handovers between instances.
inline constexpr std::string_view kHandoverTarget = "/v1/usage";

using HandoverCallback = std::function<void(const schema::HandoverResult&)>;

// Whether the store has failed to accept usage of this instance.
bool HasPendingUsage(const ControlState& state);

// Hands pending usage over to an instance that the store answers. It is a call
// separate from state queries, because it lasts as long as the append and must
// not delay them. Call it every tick.
void HandOverUsage(ControlState& state);

// Appends the usage of another instance to the store, then answers.
void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   const HandoverCallback& respond);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HANDOVER_H_
