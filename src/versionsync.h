#ifndef COMFREYPADDLE_VERSIONSYNC_H_
#define COMFREYPADDLE_VERSIONSYNC_H_

#include "controlstate.h"

namespace comfreypaddle {

// Which software versions of endpoints have been listed lately, also before
// this instance started: the control task's part. Other instances know it, and
// the store does, which also outlives a kill of all instances. Until one of
// them has told, the version that is listed now is not taken for the only one.

// Records the version of an entry that was applied to the list: a later record
// of the same read may replace or remove the entry.
void NoteVersion(ControlState& state, const schema::EndpointEntry& entry);

// Applies the versions of the endpoints that are listed now.
void UpdateListedVersions(ControlState& state);

// Adds the versions that were listed lately and are not any more to the list in
// an answer to another instance, and applies those of such an answer.
void AddPassedVersions(const ControlState& state,
                       schema::InstanceState& answer);
void TakePassedVersions(ControlState& state,
                        const schema::InstanceState& other);

// Learns the versions of before from the store and from other instances, and
// records those of now in the store if this instance reads it for its zone.
// What is known is forgotten if the list of endpoints was not confirmed for
// long: versions may have come and gone. Call it with each tick.
void SyncVersions(ControlState& state);

// Whether all versions that were listed within kResumeWindow are known, up to a
// moment ago.
bool HasAllVersions(const ControlState& state);

// Adds the versions that were listed lately to an answer to another instance.
void AddVersions(const ControlState& state, schema::StreamAnswer& answer);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_VERSIONSYNC_H_
