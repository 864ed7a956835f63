#include "peers.h"

namespace comfreypaddle {

Peers::Peers(const schema::Settings& settings, std::uint64_t /*incarnation*/)
    : m_settings(settings) {}

void Peers::Receive(schema::PeersMessage message) {
  if (message.has_log_status()) TakeLogStatus(message.log_status());
  if (message.has_stop()) Loop().Stop();
}

void Peers::TakeLogStatus(const schema::LogStatus& status) {
  schema::AdmitPermission permission;
  permission.set_open(status.caught_up());
  permission.set_writes_open(status.caught_up() && status.reachable());
  permission.set_reason(status.caught_up() ? "" : "the log is being read");
  permission.set_valid_until_us(status.confirmed_us() +
                                m_settings.admission().freshness_ms() * 1000LL);
  schema::GatewayMessage to_gateway;
  *to_gateway.mutable_permission() = permission;
  m_ports.m_gateway->Post(std::move(to_gateway));
  schema::AdminMessage to_admin;
  *to_admin.mutable_permission() = permission;
  m_ports.m_admin->Post(std::move(to_admin));
}

}  // namespace comfreypaddle
