#ifndef COMFREYPADDLE_ATTEMPTLOG_H_
#define COMFREYPADDLE_ATTEMPTLOG_H_

#include <string_view>

#include "eventlog.h"
#include "relaystate.h"

namespace comfreypaddle {

// Adds on which connection the attempt ended and how many calls that connection
// had carried, if the call has ended.
void AddConnection(const EndpointAttempt& attempt, LogLine* line);

// Logs that the current attempt of the call failed, or that its endpoint is
// silent.
void LogFailure(const RelayState& state, const RelayCall& call,
                std::string_view reason, const HttpResult& result);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ATTEMPTLOG_H_
