#ifndef COMFREYPADDLE_ENDPOINTLIST_H_
#define COMFREYPADDLE_ENDPOINTLIST_H_

#include <string_view>

#include "controlstate.h"

namespace comfreypaddle {

// Changes the endpoint list of an instance by what it reads from the store or
// learns from other instances, and logs each change with its source.

// Source of what this instance has read itself. Other sources are the names of
// instances.
inline constexpr std::string_view kStoreSource = "store";

// Applies records of the store. If they are a snapshot, entries that are
// missing from it are removed. Sends the list to the relay task if it changed.
void ApplyEndpointRecords(ControlState& state, const ReadResult& result,
                          bool is_snapshot);

// Applies the list, or the changes of it, in the answer of another instance
// that has read at least as far as this one. The order of the store's records
// decides: an entry that this instance does not have, although it has read past
// the entry's record, has been removed since and is not taken. Sends the list
// to the relay task if it changed.
void ApplyPeerEndpoints(ControlState& state,
                        const schema::InstanceState& other);

// Records that the list matched the store at this time.
void ConfirmEndpointList(ControlState& state, Instant confirmed,
                         std::string_view source);

// Removes lapsed entries whose grace period has ended.
void ExpireEndpoints(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTLIST_H_
