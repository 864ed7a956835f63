#ifndef COMFREYPADDLE_ENTRYDUTIES_H_
#define COMFREYPADDLE_ENTRYDUTIES_H_

#include "controlstate.h"

namespace comfreypaddle {

// Adds usage counts from the task that serves callers.
void AddUsageCounts(ControlState& state, const schema::UsageCounts& counts);

// Epoch of all usage records. It never changes, because each process is a
// separate producer.
inline constexpr std::uint64_t kUsageEpoch = 1;

// Producer name of this process for usage records.
std::string UsageProducer(const ControlState& state);

// Records that the usage record with this sequence number is stored.
void OnUsageStored(ControlState& state, std::uint64_t sequence);

// Delay before a usage record that the store did not accept is retried. It
// grows with the number of live instances.
Duration UsageRetryDelay(const ControlState& state);

// Writes the usage counts of this instance to the store, follows the duties
// stream, claims or renews the duties and, as their holder, fixes and reports
// usage windows and orders endpoints. Called on every tick.
void RunDuties(ControlState& state);

// Whether everything that must outlive this process is stored and the duties
// are released.
bool IsHandedOver(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRYDUTIES_H_
