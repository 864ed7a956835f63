#ifndef COMFREYPADDLE_USAGEFLUSH_H_
#define COMFREYPADDLE_USAGEFLUSH_H_

#include "controlstate.h"

namespace comfreypaddle {

// Way of usage counts into the store. An instance sends its record to its
// upstream, which appends the records of its followers in one batch, so that
// the calls to the store grow with the number of availability zones. A record
// carries totals, of which the holder of the duties takes the highest
// (usageaggregate.h): a record whose fate is unknown is sent again, also on
// another way, and totals that the store has lost are sent again in a new one.

// Request target of usage handovers between instances.
inline constexpr std::string_view kHandoverTarget = "/v1/usage";

// Adds usage counts from the task that serves callers.
void AddUsageCounts(ControlState& state, const schema::UsageCounts& counts);

// Sends the counts of this instance, and the batch of its followers, when they
// are due. Call it every tick.
void FlushUsage(ControlState& state);

// Sends all totals of windows that may still be reported again, after the store
// has lost records, and has the holder read the usage stream from the start.
void OnUsageRestored(ControlState& state);

// Delay before a usage record that was not stored is sent again. It grows with
// the number of live instances.
Duration UsageRetryDelay(const ControlState& state);

// Whether the store has failed to accept usage of this instance.
bool HasPendingUsage(const ControlState& state);

// Whether all usage that this instance has is stored.
bool IsUsageStored(const ControlState& state);

// Adds the usage of another instance to the batch. Answers once it is stored or
// the append has failed.
void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   HandoverCallback respond);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGEFLUSH_H_
