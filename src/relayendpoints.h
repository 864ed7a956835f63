#ifndef COMFREYPADDLE_RELAYENDPOINTS_H_
#define COMFREYPADDLE_RELAYENDPOINTS_H_

#include <functional>
#include <string>
#include <vector>

#include "relaystate.h"

namespace comfreypaddle {

// Applies the list of endpoints that the control task has sent. `region_of`
// returns the region of an availability zone. Returns the addresses to which
// idle connections must be closed: another endpoint, or another lifetime of the
// same one, may be there now.
std::vector<std::string> SetEndpointList(
    RelayState& state, const schema::EndpointList& list,
    const std::function<std::string(const std::string& zone)>& region_of);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYENDPOINTS_H_
