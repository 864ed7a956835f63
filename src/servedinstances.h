#ifndef COMFREYPADDLE_SERVEDINSTANCES_H_
#define COMFREYPADDLE_SERVEDINSTANCES_H_

#include <set>
#include <string>

#include "controlstate.h"

namespace comfreypaddle {

// Tracks the instances that the store answers, as reported by themselves and by
// others. An instance that the store does not answer queries these first and
// hands its usage over to them.

// Records that the store answered the instance at that time.
void RecordServed(ControlState& state, const std::string& name, Instant at);

// Merges the served instances listed in another instance's answer.
void MergeServed(ControlState& state, const schema::InstanceState& other);

// Removes the instance from the served ones.
void RemoveServed(ControlState& state, const std::string& name);

// Adds the served instances to an answer, this one included.
void AddServed(const ControlState& state, schema::InstanceState* answer);

// Live instances that the store answered recently.
std::set<std::string> ServedInstances(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SERVEDINSTANCES_H_
