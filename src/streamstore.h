#ifndef COMFREYPADDLE_STREAMSTORE_H_
#define COMFREYPADDLE_STREAMSTORE_H_

#include <functional>

#include "controlstate.h"

namespace comfreypaddle {

// Records of begun streams in the store: the control task's part. Instances
// hold them for each other (see streamsync.h), but may all be killed at once.
// While a service is mixed its streams are written to the store as well, by the
// reader of each zone for its instances, and read again by an instance that is
// asked for a stream which none of the others knows.

// Writes the streams with the next record.
void StoreStreams(ControlState& state, const schema::StreamBeginList& begun);

// Reads what was stored since the last read into the table of streams, and
// calls done. It also does so if the store does not answer.
void ReadStoredStreams(ControlState& state, std::function<void()> done);

// Starts the calls that are due. Call it with each tick.
void SyncStreamStore(ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMSTORE_H_
