#include "relayspeed.h"

#include <cmath>
#include <unordered_map>

#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Events of a stream below which their mean gap says little.
constexpr std::uint32_t kMinEvents = 3;

constexpr int kOk = 200;
constexpr int kMinRedirectStatus = 300;

void LogSpeed(const BalanceEndpoint& endpoint, Instant now) {
  const EndpointSpeed& speed = endpoint.m_speed;
  const auto own = Aged(speed.m_own, now - speed.m_own_at);
  const auto others = Aged(speed.m_others, now - speed.m_others_at);
  LogLine("endpoint_speed_changed")
      .Add("endpoint", endpoint.m_id)
      .Add("service", endpoint.m_service)
      .Add("ratio", std::to_string(speed.m_ratio))
      .Add("own_samples", std::to_string(own.m_weight))
      .Add("other_samples", std::to_string(others.m_weight));
}

}  // namespace

void RecordStreamSpeed(RelayState& state, const EndpointAttempt& attempt) {
  if (attempt.m_events < kMinEvents) return;
  const double took_ms =
      ToMs(attempt.m_last_event_at - attempt.m_first_event_at);
  OnDecodeTimed(state.m_balance, attempt.m_endpoint, attempt.m_terms,
                took_ms / (attempt.m_events - 1), state.m_clock());
}

void RecordRunSpeed(RelayState& state, const EndpointAttempt& attempt) {
  if (attempt.m_status < kOk || attempt.m_status >= kMinRedirectStatus) return;
  const Instant now = state.m_clock();
  OnRunTimed(state.m_balance, attempt.m_endpoint, attempt.m_terms,
             ToMs(now - attempt.m_sent), now);
}

void RefreshSpeeds(RelayState& state) {
  const Instant now = state.m_clock();
  UpdateSpeeds(state.m_balance, now);
  for (auto& [id, endpoint] : state.m_balance.m_endpoints) {
    if (TakeChange(endpoint.m_speed, now)) LogSpeed(endpoint, now);
  }
}

void AddSpeed(const SpeedReport& report, schema::SharedLoad* load) {
  load->set_speed_ratio(static_cast<float>(std::exp(report.m_log_ratio)));
  load->set_speed_weight(static_cast<float>(report.m_weight));
}

void ApplyPeerSpeeds(RelayState& state, const schema::LoadList& list) {
  std::unordered_map<std::uint32_t, SpeedReport> speeds;
  for (const schema::SharedLoad& load : list.loads()) {
    if (load.speed_weight() <= 0 || load.speed_ratio() <= 0) continue;
    speeds[load.endpoint()] = {std::log(load.speed_ratio()),
                               load.speed_weight()};
  }
  if (speeds.empty()) return;
  const Instant now = state.m_clock();
  for (auto& [id, endpoint] : state.m_balance.m_endpoints) {
    const auto found = speeds.find(static_cast<std::uint32_t>(endpoint.m_hash));
    SetOthers(state.m_balance.m_typical_speeds[endpoint.m_service],
              endpoint.m_speed,
              found == speeds.end() ? SpeedReport{} : found->second, now);
  }
}

}  // namespace comfreypaddle
