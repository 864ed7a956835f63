#ifndef COMFREYPADDLE_RELAY_H_
#define COMFREYPADDLE_RELAY_H_

#include <memory>

#include "httpclient.h"
#include "httpserver.h"
#include "relaysettings.pb.h"
#include "relaystate.h"
#include "task.h"

namespace comfreypaddle {

// Mailboxes of the tasks to which the relay task sends messages.
struct RelayPorts {
  Port<schema::ControlMessage>* m_control = nullptr;
  Port<schema::SupervisorMessage>* m_supervisor = nullptr;
};

// Task that relays requests of callers to endpoints. It owns the connections of
// both and the listeners for readiness checks and metrics.
class Relay : public Task<schema::RelayMessage> {
 public:
  Relay(const schema::RelaySettings& settings, Duration unix_at_zero);
  ~Relay() override;

  void Connect(const RelayPorts& ports) { m_ports = ports; }

 private:
  void Start() override;
  void Receive(schema::RelayMessage message) override;
  void Finish() override;

  void OpenListeners();
  void SetCatalog(const schema::Catalog& catalog);
  void SetPeers(const schema::PeerCount& peers);
  void SetKnowledge(const schema::KnowledgeStatus& status);
  void SetEndpoints(const schema::EndpointList& list);
  void StartDrain();
  void Tick();
  void TickDrain();
  void ReportIdle();
  void PublishLoad();
  void ApplyPeerLoad(const schema::LoadList& list);
  void ApplyPeerPrefixes(const schema::LoadList& list, Instant now);
  void HandOverUsage();
  bool IsReady() const;
  void AnswerReady(const HttpRequest& request);
  std::string RegionOf(const std::string& zone) const;

  schema::RelaySettings m_settings;
  RelayPorts m_ports;
  std::map<std::string, std::string> m_regions;  // By availability zone.
  std::unique_ptr<SocketSet> m_sockets;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_ready;
  std::unique_ptr<HttpServer> m_metrics;
  std::unique_ptr<PeriodicTimer> m_tick;
  std::unique_ptr<PeriodicTimer> m_load_tick;
  std::unique_ptr<PeriodicTimer> m_usage_tick;
  RelayState m_state;
  Instant m_speeds_due{};  // When the speeds of endpoints are shared next.
  bool m_was_ready = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELAY_H_
