#include "admin.h"

#include <glog/logging.h>

#include <utility>

#include "metrics.h"

namespace comfreypaddle {

namespace {

constexpr Duration kWatchHeartbeat = std::chrono::seconds(5);

// Bounds of the operators' connections: dozens of watches, which read little.
constexpr std::uint32_t kMaxConnections = 256;
constexpr std::size_t kMaxUnreadBytes = 16U << 20U;

}  // namespace

Admin::Admin(const schema::Settings& settings, std::uint64_t incarnation)
    : m_settings(settings) {
  m_state.m_settings.m_token_sha256 = settings.operators().token_sha256();
  m_state.m_metrics = [this] {
    MetricsText text;
    text.Gauge("comfreypaddle_log_next_offset", "Next log offset to be read.",
               static_cast<double>(m_state.m_status.next_offset()));
    text.Gauge("comfreypaddle_log_reachable", "Whether the log answers.",
               m_state.m_status.log_reachable() ? 1.0 : 0.0);
    text.Gauge("comfreypaddle_duties_held", "Duties whose lease is held here.",
               static_cast<double>(CountHeldDuties(m_state, Now())));
    return m_gateway_metrics + text.Text();
  };
  schema::StatusReport& status = m_state.m_status;
  status.set_name(settings.instance().name());
  status.set_availability_zone(settings.instance().availability_zone());
  status.set_region(settings.instance().region());
  status.set_incarnation(incarnation);
  status.set_admit_reason("starting");
}

void Admin::Start() {
  ListenerOptions options;
  options.m_address = m_settings.operators().address();
  options.m_port = static_cast<std::uint16_t>(m_settings.operators().port());
  options.m_max_connections = kMaxConnections;
  options.m_request_bytes =
      RequestBytesOf(0, 0, options.m_max_head_bytes + options.m_max_body_bytes);
  options.m_unread_bytes = kMaxUnreadBytes;
  m_listener.emplace(
      Loop(), options,
      [this](const HttpRequest& request) {
        HandleApiRequest(m_state, request);
      },
      [this](std::uint64_t id) { OnApiCallerDisconnected(m_state, id); });
  const std::error_code error = m_listener->Open();
  if (error) {
    LOG(FATAL) << "cannot listen for operators on " << options.m_address << ":"
               << options.m_port << ": " << error.message();
  }
  m_state.m_callers = &*m_listener;
  m_heartbeat = std::make_unique<PeriodicTimer>(
      Loop(), kWatchHeartbeat, [this] { SendWatchHeartbeats(m_state); });
}

void Admin::Receive(schema::AdminMessage message) {
  schema::StatusReport& status = m_state.m_status;
  switch (message.body_case()) {
    case schema::AdminMessage::kTableChange:
      OnApiTableChange(m_state, message.table_change());
      return;
    case schema::AdminMessage::kVerdict:
      OnApiVerdict(m_state, message.verdict());
      return;
    case schema::AdminMessage::kLogStatus:
      status.set_next_offset(message.log_status().next_offset());
      status.set_log_reachable(message.log_status().reachable());
      if (message.log_status().caught_up()) m_state.m_caught_up = true;
      return;
    case schema::AdminMessage::kPermission:
      status.set_admits(message.permission().open());
      status.set_admit_reason(message.permission().reason());
      m_state.m_admit_until_us = message.permission().valid_until_us();
      m_state.m_writes_open = message.permission().writes_open();
      return;
    case schema::AdminMessage::kGatewayStatus:
      status.set_open_requests(message.gateway_status().open_requests());
      status.set_queued_requests(message.gateway_status().queued_requests());
      m_gateway_metrics =
          std::move(*message.mutable_gateway_status()->mutable_metrics_text());
      return;
    case schema::AdminMessage::kLeaseChange:
      OnApiLeaseChange(m_state, message.lease_change());
      return;
    case schema::AdminMessage::kDrain:
      status.set_draining(true);
      m_listener->AnnounceClose();
      EndWatches(m_state);
      return;
    case schema::AdminMessage::kStop:
      Loop().Stop();
      return;
    case schema::AdminMessage::kPeer:
    case schema::AdminMessage::BODY_NOT_SET:
      return;
  }
}

void Admin::Finish() {
  m_heartbeat.reset();
  m_listener.reset();
}

}  // namespace comfreypaddle
