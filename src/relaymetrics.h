#ifndef COMFREYPADDLE_RELAYMETRICS_H_
#define COMFREYPADDLE_RELAYMETRICS_H_

#include <string>

#include "httpclient.h"
#include "httpserver.h"
#include "relaystate.h"

namespace comfreypaddle {

// Returns the counters and latencies of the relay task in the Prometheus text
// format.
std::string RelayMetrics(const RelayState& state, const HttpServer& callers,
                         const HttpClient& endpoints);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAYMETRICS_H_
