#ifndef COMFREYPADDLE_CONTROL_H_
#define COMFREYPADDLE_CONTROL_H_

#include <memory>

#include "controlstate.h"
#include "httpclient.h"
#include "httpserver.h"
#include "platform/adapter.h"
#include "relaysettings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Message ports to the other tasks.
struct ControlPorts {
  Port<schema::RelayMessage>* m_relay = nullptr;
  Port<schema::SupervisorMessage>* m_supervisor = nullptr;
};

// Control-plane task: keeps the state read from the platform's store current,
// serves requests of other instances and performs the duties that are leased
// to this instance.
class Control : public Task<schema::ControlMessage> {
 public:
  // unix_at_zero is the Unix time at which the clock since boot read zero.
  Control(const schema::RelaySettings& settings, std::uint64_t incarnation,
          Duration unix_at_zero);
  ~Control() override;

  void Connect(const ControlPorts& ports) { m_ports = ports; }

 private:
  void Start() override;
  void Receive(schema::ControlMessage message) override;
  void Finish() override;

  void Tick();
  // Dispatches a request of another instance by its target.
  void HandlePeerRequest(const HttpRequest& request);
  // Return false if the body cannot be parsed.
  bool HandleLoadShare(const HttpRequest& request);
  bool HandleUsageHandover(const HttpRequest& request);
  bool HandleStateQuery(const HttpRequest& request);
  bool HandleSuspectExchange(const HttpRequest& request);
  bool HandleStreamExchange(const HttpRequest& request);
  bool HandleProbe(const HttpRequest& request);

  schema::RelaySettings m_settings;
  std::uint64_t m_incarnation;
  Duration m_unix_at_zero;
  ControlPorts m_ports;
  std::unique_ptr<SocketSet> m_sockets;
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpServer> m_peers;
  std::unique_ptr<platform::Adapter> m_adapter;
  std::unique_ptr<ControlState> m_state;
  std::unique_ptr<PeriodicTimer> m_tick;
  bool m_finishing = false;  // The end of the handover is to be reported.
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONTROL_H_
