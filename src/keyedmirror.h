#ifndef COMFREYPADDLE_KEYEDMIRROR_H_
#define COMFREYPADDLE_KEYEDMIRROR_H_

#include <functional>
#include <map>
#include <string>

#include "controlstate.h"

namespace comfreypaddle {

// Keeps the records of a keyed stream as the readers of the zones want them:
// knowledge that must outlive a kill of all instances, and that changes rarely.
// Each reader writes on its own what differs from its own knowledge, so that
// the last thing that each writes of a key agrees with what it knows.

// Keys and values that the stream is to have. Only the keys are compared: the
// value of a key does not change.
using MirrorRecords = std::map<std::string, std::string>;

// Reads the records once, and whenever the store has been replaced, and calls
// on_read; later writes the next difference to what `wanted` returns. One call
// to the store at a time. Call it with each tick.
void SyncMirror(ControlState& state, KeyedMirror& mirror,
                const std::function<void()>& on_read,
                const std::function<MirrorRecords()>& wanted);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_KEYEDMIRROR_H_
