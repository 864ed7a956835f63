#include "probe.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "attempt.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);

// Probes of one failure whose connection breaks before the answer. The endpoint
// may be about to stop listening.
constexpr std::uint32_t kMaxBrokenProbes = 3;

constexpr int kOk = 200;

// Applies a load report and returns whether the endpoint restarted since the
// previous one.
ProbeResult ApplyLoadReport(CallState& state, const std::string& name,
                            EndpointProbe& probe, const std::string& body) {
  schema::EndpointLoad load;
  if (FromJson(body, UnknownFields::kIgnore, &load)) return ProbeResult::kAlive;
  const Instant now = state.m_clock();
  LoadReport report;
  report.m_measured_at = now - std::chrono::milliseconds(load.age_ms());
  report.m_queued = load.queued();
  report.m_running = load.running();
  report.m_queued_tokens = load.queued_tokens();
  report.m_kv_used_pieces = load.kv_used_pieces();
  report.m_kv_total_pieces = load.kv_total_pieces();
  report.m_draining = load.draining();
  report.m_incarnation = load.incarnation();
  OnLoadReport(state.m_route, name, report, now);
  if (const auto role = FromName<EndpointRole>(load.role())) {
    SetRole(state.m_route, name, *role);
  }
  const bool restarted =
      !probe.m_incarnation.empty() && probe.m_incarnation != load.incarnation();
  probe.m_incarnation = load.incarnation();
  return restarted ? ProbeResult::kRestarted : ProbeResult::kAlive;
}

// Returns the id under which a crash counts against the call. A crash under
// several requests has the id of the endpoint and counts once, because several
// instances may report it. A crash under an isolated request has an id of its
// own. Otherwise, a fleet of one endpoint would restart and crash under the
// same request forever.
std::string CrashId(const OpenCall& call, const std::string& endpoint) {
  return call.m_isolated ? endpoint + "/" + call.m_endpoint_id : endpoint;
}

// Whether the endpoint stopped as planned, which does not count as a crash.
// Otherwise, its streams would be isolated and continue only one at a time.
bool StoppedAsPlanned(const CallState& state, const std::string& name) {
  const EndpointView* endpoint = FindEndpoint(state.m_route, name);
  return endpoint != nullptr && IsLeaving(*endpoint);
}

// Whether one of the calls was isolated on its endpoint. The crash is then
// attributed to it alone, because the others had run together before.
bool AnyIsolated(CallState& state, const std::vector<std::uint64_t>& ids) {
  return std::any_of(ids.begin(), ids.end(), [&state](std::uint64_t id) {
    const OpenCall* call = FindCall(state, id);
    return call != nullptr && call->m_isolated;
  });
}

// Reports the requests that were running when the endpoint crashed, then
// continues the calls that waited for the probe. The reports are applied to the
// local table at once, so that the retry decisions for these calls count them.
void FinishProbe(CallState& state, const std::string& name,
                 EndpointProbe& probe, ProbeResult result) {
  const std::vector<std::uint64_t> waiting =
      std::exchange(probe.m_waiting_calls, {});
  const bool crashed = result != ProbeResult::kAlive;
  const bool suspicious = crashed && !StoppedAsPlanned(state, name);
  const bool any_isolated = AnyIsolated(state, waiting);
  const Instant now = state.m_clock();
  for (const std::uint64_t id : waiting) {
    OpenCall* call = FindCall(state, id);
    if (call == nullptr || !suspicious) continue;
    if (any_isolated && !call->m_isolated) continue;
    const SuspectReport report{call->m_validated_request.m_fingerprint, name,
                               CrashId(*call, name), false};
    ReportCrash(state.m_suspects, report, now);
    state.m_records->ReportSuspect(report);
    LOG(WARNING) << "endpoint crashed endpoint=" << name
                 << " request=" << call->m_validated_request.m_request_id;
  }
  for (const std::uint64_t id : waiting) {
    OpenCall* call = FindCall(state, id);
    if (call == nullptr || call->m_phase != CallPhase::kProbing) continue;
    HandleAttemptFailure(state, *call, crashed);
  }
}

void StartProbe(CallState& state, const std::string& name,
                const std::string& address);

// Probes again if the connection of a probe for a failed call broke. Returns
// whether it did.
bool RepeatBrokenProbe(CallState& state, const std::string& name,
                       EndpointProbe& probe, const HttpResult& result) {
  const auto endpoint = state.m_tables.m_endpoints.find(name);
  const bool repeat = result.m_error == HttpError::kConnectionLost &&
                      !probe.m_waiting_calls.empty() &&
                      endpoint != state.m_tables.m_endpoints.end() &&
                      ++probe.m_broken < kMaxBrokenProbes;
  if (repeat) StartProbe(state, name, endpoint->second.m_value.m_address);
  return repeat;
}

void OnProbeEnd(CallState& state, const std::string& name,
                const std::string& body, const HttpResult& result) {
  const auto found = state.m_probes.find(name);
  if (found == state.m_probes.end()) return;
  EndpointProbe& probe = found->second;
  probe.m_call = 0;
  if (RepeatBrokenProbe(state, name, probe, result)) return;
  probe.m_broken = 0;
  ProbeResult probe_result = ProbeResult::kAlive;
  if (result.m_error == HttpError::kConnectFailed) {
    probe_result = ProbeResult::kUnreachable;
  } else if (!result.m_error && result.m_status == kOk) {
    probe_result = ApplyLoadReport(state, name, probe, body);
  }
  FinishProbe(state, name, probe, probe_result);
}

// Starts a probe. One that is under way is cancelled, because it may have begun
// before the failure.
void StartProbe(CallState& state, const std::string& name,
                const std::string& address) {
  EndpointProbe& probe = state.m_probes[name];
  if (probe.m_call != 0) state.m_endpoints->Cancel(probe.m_call);
  probe.m_started = state.m_clock();
  HttpCall call;
  call.m_url = "http://" + address + "/v1/load";
  call.m_connect_timeout = state.m_options.m_connect_timeout;
  call.m_timeout = kProbeTimeout;
  // A pooled connection to a process that is gone would only fail as well.
  call.m_force_new_connection = !probe.m_waiting_calls.empty();
  auto body = std::make_shared<std::string>();
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) { body->append(bytes); };
  events.m_on_end = [&state, name, body](const HttpResult& result) {
    OnProbeEnd(state, name, *body, result);
  };
  probe.m_call = state.m_endpoints->Start(std::move(call), std::move(events));
}

bool IsEngine(const CallState& state, const Endpoint& endpoint) {
  const auto fleet = state.m_tables.m_fleets.find(endpoint.m_fleet);
  return fleet != state.m_tables.m_fleets.end() &&
         fleet->second.m_value.m_kind == FleetKind::kEngine;
}

}  // namespace

void PollLoads(CallState& state) {
  for (const auto& [name, endpoint] : state.m_tables.m_endpoints) {
    if (!IsEngine(state, endpoint.m_value)) continue;
    const EndpointProbe& probe = state.m_probes[name];
    if (probe.m_call != 0) continue;
    StartProbe(state, name, endpoint.m_value.m_address);
  }
}

void ProbeEndpoint(CallState& state, OpenCall& call) {
  const std::string& name = call.m_choice.m_endpoint;
  const auto endpoint = state.m_tables.m_endpoints.find(name);
  if (endpoint == state.m_tables.m_endpoints.end()) {
    HandleAttemptFailure(state, call, false);
    return;
  }
  call.m_phase = CallPhase::kProbing;
  state.m_probes[name].m_waiting_calls.push_back(call.m_id);
  StartProbe(state, name, endpoint->second.m_value.m_address);
}

}  // namespace comfreypaddle
