#ifndef COMFREYPADDLE_GATEWAY_H_
#define COMFREYPADDLE_GATEWAY_H_

#include <memory>
#include <optional>

#include "calls.h"
#include "curlclient.h"
#include "listener.h"
#include "messages.pb.h"
#include "settings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Mailboxes of the tasks that the gateway sends to. Not owned; null ports are
// skipped.
struct GatewayPorts {
  Port<schema::JournalMessage>* m_journal = nullptr;
  Port<schema::AdminMessage>* m_admin = nullptr;
  Port<schema::PeersMessage>* m_peers = nullptr;
  Port<schema::DutiesMessage>* m_duties = nullptr;
  Port<schema::ServeMessage>* m_serve = nullptr;
};

// Forwards requests from callers to endpoints. The task owns the callers'
// listener, the connections to endpoints, the queues and the routing state.
class Gateway : public Task<schema::GatewayMessage>, private RecordPort {
 public:
  Gateway(const schema::Settings& settings, std::uint64_t incarnation);

  // Sets the peer tasks. Call before Launch.
  void Connect(const GatewayPorts& ports) { m_ports = ports; }

 private:
  void Start() override;
  void Receive(schema::GatewayMessage message) override;
  void Finish() override;

  void ClaimRequest(std::uint64_t ticket, const RequestClaim& claim) override;
  void RecordOutcome(const RequestOutcome& outcome) override;
  void ReportSuspect(const SuspectReport& report) override;

  void Submit(std::uint64_t ticket, Duration timeout, schema::Record record);
  void OnPeerState(const schema::PeerState& peer);
  void StartDrain();
  void CheckDrained();
  void FlushUsage();
  void SendStatus();

  schema::Settings m_settings;
  GatewayPorts m_ports;
  CallState m_state;
  std::optional<Listener> m_listener;
  std::optional<CurlClient> m_client;
  std::vector<std::unique_ptr<PeriodicTimer>> m_timers;
  bool m_accepting = true;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_GATEWAY_H_
