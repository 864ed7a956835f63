#include "instancecall.h"

#include <memory>
#include <utility>

#include "eventlog.h"

namespace comfreypaddle {

namespace {

constexpr int kOk = 200;

// Largest accepted answer. Configuration and endpoint list of the largest
// planned deployment take less than 1 MB.
constexpr std::uint64_t kMaxBodyBytes = 4U << 20U;

}  // namespace

void CallInstance(HttpPort& port, const InstanceCall& call,
                  std::string_view failure_event,
                  std::function<void(const std::string* body)> done) {
  HttpCall http;
  http.m_method = "POST";
  http.m_url = "http://" + call.m_address + std::string(call.m_target);
  http.m_body = call.m_body;
  http.m_connect_timeout = call.m_connection_timeout;
  http.m_timeout = call.m_call_timeout;
  http.m_max_body_bytes = kMaxBodyBytes;
  auto body = std::make_shared<std::string>();
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) { body->append(bytes); };
  events.m_on_end = [body, address = call.m_address,
                     event = std::string(failure_event),
                     done = std::move(done)](const HttpResult& result) {
    if (!result.m_error && result.m_status == kOk) {
      done(body.get());
      return;
    }
    LogLine(event)
        .Add("address", address)
        .Add("status", result.m_status)
        .Add("error", result.m_error ? result.m_error.message() : "none");
    done(nullptr);
  };
  port.Start(std::move(http), std::move(events));
}

}  // namespace comfreypaddle
