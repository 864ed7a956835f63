#ifndef COMFREYPADDLE_REPORTER_H_
#define COMFREYPADDLE_REPORTER_H_

#include "controlstate.h"

namespace comfreypaddle {

// Takes counts of the task that serves callers.
void TakeUsage(ControlState& state, const schema::UsageCounts& counts);

// Epoch of all usage records: a process is a producer of its own.
inline constexpr std::uint64_t kUsageEpoch = 1;

// Name of this process as a producer of usage records.
std::string UsageProducer(const ControlState& state);

// Notes that the record with this sequence number is in the store.
void OnUsageStored(ControlState& state, std::uint64_t sequence);

// Pause before a usage record that the store did not take is tried again. Many
// instances try less often.
Duration UsageRetryPause(const ControlState& state);

// Writes the counts of this instance to the store, follows the duties, claims
// or renews them, and as their holder fixes and reports usage windows. Call it
// every tick.
void RunDuties(ControlState& state);

// Whether everything that must outlive this process is in the store.
bool IsHandedOver(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_REPORTER_H_
