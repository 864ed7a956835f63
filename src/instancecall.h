#ifndef COMFREYPADDLE_INSTANCECALL_H_
#define COMFREYPADDLE_INSTANCECALL_H_

#include <functional>
#include <string>
#include <string_view>

#include "controlstate.h"

namespace comfreypaddle {

// HTTP call from one instance to another.
struct InstanceCall {
  std::string m_address;  // IP:PORT
  std::string_view m_target;
  std::string m_body;
  Duration m_connection_timeout{0};
  Duration m_call_timeout{0};  // Limit for the whole call, connecting included.
};

// Starts the call, and records what its end shows of the other instance. done
// gets the body of the answer, or null after a failure, which is logged under
// failure_event.
void CallInstance(ControlState& state, const InstanceCall& call,
                  std::string_view failure_event,
                  std::function<void(const std::string* body)> done);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_INSTANCECALL_H_
