#ifndef COMFREYPADDLE_ENDPOINTREPORT_H_
#define COMFREYPADDLE_ENDPOINTREPORT_H_

#include <functional>
#include <optional>
#include <string>

#include "relaystate.h"

namespace comfreypaddle {

// Calls that ask an endpoint for its report: a part of the relay task.

// What an endpoint said when it was asked.
struct EndpointReport {
  std::optional<WorkReport> m_report;  // Unset after a failure.
  // Nothing listens, or another endpoint. A connection that is reset or not
  // made in time proves nothing: the endpoint may lack room for it and work on.
  bool m_is_gone = false;
  bool m_is_leaving = false;  // It said that it leaves.
  // A kept connection was closed before the response.
  bool m_is_connection_lost = false;
  std::string m_address;  // At which it was asked.
  ReportTimes m_times;
  Instant m_connected{};  // When its connection was established, at the latest.
};

// Asks the endpoint with this id at this address, over a new connection or one
// that may be kept.
HttpPort::CallId AskForReport(
    RelayState& state, const std::string& endpoint, const std::string& address,
    bool needs_new_connection,
    std::function<void(const EndpointReport& report)> done);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTREPORT_H_
