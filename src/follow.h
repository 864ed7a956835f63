#ifndef COMFREYPADDLE_FOLLOW_H_
#define COMFREYPADDLE_FOLLOW_H_

#include "controlstate.h"

namespace comfreypaddle {

// Age of what a follower knows after which it looks for other sources.
inline constexpr Duration kFollowerStaleAge = std::chrono::milliseconds(1800);

// Whether the store has answered this instance lately.
bool IsServed(const ControlState& state);

// Whether this instance reads the store by itself: it follows no other one,
// knows nothing yet, or the followed one has lost the store or tells nothing.
// The store may turn that one away and serve this one.
bool ReadsStore(const ControlState& state);

// Whether the store does not answer this instance, which reads it only until
// the followed one has it again: it tries one stream then, and ever less
// often, so that an outage does not multiply the calls.
bool ProbesStore(const ControlState& state);

// Instant at which both configuration and endpoints were last known to be the
// store's.
Instant StateConfirmed(const ControlState& state);

// Starts the reads of configuration, endpoints and instances that are due.
void FollowStore(ControlState& state);

// Puts a configuration in force unless a newer one is. source says where it
// came from. Returns whether it was put in force.
bool AdoptCatalog(ControlState& state, const schema::Catalog& catalog,
                  std::string_view source);

// Hands the list of endpoints to the task that serves callers.
void PublishEndpoints(ControlState& state);

// Takes the record of an instance unless a newer one is known.
void TakeInstance(ControlState& state, const schema::InstanceRecord& record);

// Tells the task that serves callers how many instances there are.
void PublishInstances(ControlState& state);

// Notes how a call to the store ended. Logs when the store is lost and when it
// is back.
void NoteStoreCall(ControlState& state, StoreFault fault,
                   std::string_view detail);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FOLLOW_H_
