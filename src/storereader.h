#ifndef COMFREYPADDLE_STOREREADER_H_
#define COMFREYPADDLE_STOREREADER_H_

#include <set>
#include <string>

#include "controlstate.h"

namespace comfreypaddle {

// Age of a follower's state after which it uses other sources.
inline constexpr Duration kFollowerStaleAfter = std::chrono::milliseconds(1800);

// Whether the store has answered this instance recently.
bool IsServedByStore(const ControlState& state);

// Whether this instance reads the store itself: it has no upstream, it has no
// state yet, the upstream has lost the store, or the upstream's answers no
// longer refresh the state. The store may refuse the upstream but serve this
// instance.
bool ShouldReadStore(const ControlState& state);

// Whether this instance reads the store only in place of its upstream and gets
// no answer. It then reads a single stream with exponential backoff, so that an
// outage does not multiply the load on the store.
bool IsProbingStore(const ControlState& state);

// Latest time at which both configuration and endpoint list are known to have
// matched the store.
Instant StateConfirmedAt(const ControlState& state);

// Starts the due reads of configuration, endpoints and instances.
void PollStore(ControlState& state);

// Reads the list of endpoints at once, unless a read is under way, also if an
// upstream provides it.
void ReadEndpointsNow(ControlState& state);

// Applies a configuration if its version is newer than the current one. source
// is the origin for the log. Returns whether it was applied.
bool ApplyCatalog(ControlState& state, const schema::Catalog& catalog,
                  std::string_view source);

// Stores an instance record unless one of a newer incarnation is known. An
// instance that has left stays so until its next incarnation.
void ApplyInstanceRecord(ControlState& state,
                         const schema::InstanceRecord& record);

// Removes an instance from the list. If it is this one, it was taken for gone,
// and registers again.
void RemoveInstance(ControlState& state, const std::string& name);

// Removes all instances from the list but these.
void KeepInstances(ControlState& state, const std::set<std::string>& names);

// Sends the number of live instances to the relay task.
void PublishInstances(ControlState& state);

// Records the outcome of a store call and the era of the store that answered.
// Logs when the store becomes unreachable and when it is reachable again.
// Returns the fault of the call, which is kEraChanged if the answer is from
// before the store was replaced: it says nothing of the store as it is now.
StoreFault RecordStoreCall(ControlState& state, const StoreAnswer& answer);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STOREREADER_H_
