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

PeerSign SignOf(const HttpResult& result) {
  if (!result.m_error) return PeerSign::kAnswered;
  return result.m_error == HttpError::kConnectRefused ? PeerSign::kRefused
                                                      : PeerSign::kSilent;
}

}  // namespace

void CallInstance(ControlState& state, const InstanceCall& call,
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
  events.m_on_end = [&state, body, address = call.m_address,
                     event = std::string(failure_event),
                     done = std::move(done)](const HttpResult& result) {
    NoteSign(state.m_member_watch.m_watch, address, SignOf(result),
             state.m_clock());
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
  state.m_peers->Start(std::move(http), std::move(events));
}

}  // namespace comfreypaddle
