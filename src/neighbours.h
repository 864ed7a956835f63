#ifndef COMFREYPADDLE_NEIGHBOURS_H_
#define COMFREYPADDLE_NEIGHBOURS_H_

#include "controlstate.h"

namespace comfreypaddle {

// Target of the calls between instances.
inline constexpr std::string_view kNeighbourTarget = "/v1/state";

// Writes the address of this instance to the store, once.
void RegisterInstance(ControlState& state);

// Asks another instance for configuration and endpoints while the store does
// not answer this one. Call it every tick.
void QueryNeighbours(ControlState& state);

// Answers such a question through the callback, which may be called later:
// usage that was handed over is appended first.
void AnswerNeighbour(
    ControlState& state, const schema::InstanceQuery& query,
    const std::function<void(const schema::InstanceState&)>& respond);

// Tells all instances that an endpoint crashed while it ran a request.
void SpreadCrash(ControlState& state, const schema::CrashReport& crash);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_NEIGHBOURS_H_
