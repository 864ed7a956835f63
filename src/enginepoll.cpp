#include "enginepoll.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "dutylease.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr int kOk = 200;

void OnLoadResponse(DutyState& state, EngineView& engine,
                    const HttpResult& result, const std::string& body) {
  engine.m_call = 0;
  schema::EndpointLoad load;
  engine.m_known = !result.m_error && result.m_status == kOk &&
                   !FromJson(body, UnknownFields::kIgnore, &load);
  if (!engine.m_known) return;
  engine.m_role =
      FromName<EndpointRole>(load.role()).value_or(EndpointRole::kMixed);
  engine.m_idle = load.running() == 0 && load.queued() == 0;
  engine.m_draining = load.draining();
  engine.m_read_at = state.m_clock() - std::chrono::milliseconds(load.age_ms());
}

}  // namespace

void PollEngine(DutyState& state, const Endpoint& endpoint) {
  EngineView& view = state.m_engines[endpoint.m_name];
  if (view.m_call != 0) return;
  HttpCall call;
  call.m_url = "http://" + endpoint.m_address + "/v1/load";
  call.m_timeout = state.m_options.m_order_timeout;
  const std::string name = endpoint.m_name;
  view.m_call = state.m_http->Start(
      std::move(call), CollectBody([&state, name](const HttpResult& result,
                                                  const std::string& body) {
        OnLoadResponse(state, state.m_engines[name], result, body);
      }));
}

bool IsIdleSince(const DutyState& state, std::string_view endpoint,
                 Instant record_read_at) {
  const auto view = state.m_engines.find(endpoint);
  return view != state.m_engines.end() && view->second.m_known &&
         view->second.m_idle &&
         view->second.m_read_at >= record_read_at + kRecordPropagationTime;
}

HttpCall MakeDutyCall(const DutyState& state, std::string_view duty,
                      std::string url) {
  HttpCall call;
  call.m_url = std::move(url);
  call.m_timeout =
      std::min<Duration>(ActDeadline(state, duty) - state.m_clock(),
                         state.m_options.m_order_timeout);
  call.m_force_new_connection = true;
  return call;
}

HttpEvents CollectBody(
    std::function<void(const HttpResult& result, const std::string& body)>
        on_end) {
  auto body = std::make_shared<std::string>();
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) { body->append(bytes); };
  events.m_on_end = [body, on_end = std::move(on_end)](
                        const HttpResult& result) { on_end(result, *body); };
  return events;
}

}  // namespace comfreypaddle
