#ifndef COMFREYPADDLE_PEERS_H_
#define COMFREYPADDLE_PEERS_H_

#include "messages.pb.h"
#include "settings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Tasks that the peers task talks to. None is owned.
struct PeersPorts {
  Port<schema::JournalMessage>* m_journal = nullptr;
  Port<schema::GatewayMessage>* m_gateway = nullptr;
  Port<schema::AdminMessage>* m_admin = nullptr;
  Port<schema::DutiesMessage>* m_duties = nullptr;
};

// Task of the other entry instances. This version hears no peer: it permits
// requests while the log's end is confirmed.
class Peers : public Task<schema::PeersMessage> {
 public:
  Peers(const schema::Settings& settings, std::uint64_t incarnation);

  // Names the tasks to talk to. Call before Launch.
  void Connect(const PeersPorts& ports) { m_ports = ports; }

 private:
  void Start() override {}
  void Receive(schema::PeersMessage message) override;
  void Finish() override {}

  void TakeLogStatus(const schema::LogStatus& status);

  schema::Settings m_settings;
  PeersPorts m_ports;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PEERS_H_
