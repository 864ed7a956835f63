#ifndef COMFREYPADDLE_CRASHSYNC_H_
#define COMFREYPADDLE_CRASHSYNC_H_

#include <vector>

#include "controlstate.h"

namespace comfreypaddle {

// Keeps the tables of suspects of all instances alike. A change is pushed to
// all other instances at once. Pushes may be lost, and instances start late or
// are cut off, so each instance also compares its table with that of another
// one, in turn, and merges where they differ.

// Request target of the exchange between instances.
inline constexpr std::string_view kSuspectTarget = "/v1/suspects";

// Adds crashes that neither this instance nor another one has told of, and
// tells the relay task and the other instances.
void LearnCrashes(ControlState& state, const std::vector<CrashEntry>& crashes);

// Adds changes made by the requests of this instance.
void AddSuspects(ControlState& state, const schema::SuspectList& changed);

// Pushes changes, and compares the table with another instance's when it is
// due. Call it every tick.
void SyncSuspects(ControlState& state);

// Merges the call of another instance and returns the response.
schema::SuspectExchange AnswerSuspects(ControlState& state,
                                       const schema::SuspectExchange& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHSYNC_H_
