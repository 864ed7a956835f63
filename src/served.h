#ifndef COMFREYPADDLE_SERVED_H_
#define COMFREYPADDLE_SERVED_H_

#include <set>
#include <string>

#include "controlstate.h"

namespace comfreypaddle {

// Which other instances the store answers, as they and others tell. One that
// is turned away asks these and hands its usage to them.

// Notes that the store answered the instance at that time.
void NoteServed(ControlState& state, const std::string& name, Instant at);

// Notes which instances the store answers, as another one tells.
void TakeServed(ControlState& state, const schema::InstanceState& other);

// Forgets that the store answers the instance.
void ForgetServed(ControlState& state, const std::string& name);

// Tells another instance which ones the store answers.
void AddServed(const ControlState& state, schema::InstanceState* answer);

// Live instances that the store answered lately.
std::set<std::string> ServedInstances(const ControlState& state);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SERVED_H_
