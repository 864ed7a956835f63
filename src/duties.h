#ifndef COMFREYPADDLE_DUTIES_H_
#define COMFREYPADDLE_DUTIES_H_

#include <memory>
#include <optional>

#include "curlclient.h"
#include "duty.h"
#include "messages.pb.h"
#include "settings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Ports of the tasks that the duties task sends messages to. Not owned.
struct DutiesPorts {
  Port<schema::JournalMessage>* m_journal = nullptr;
  Port<schema::GatewayMessage>* m_gateway = nullptr;
  Port<schema::ServeMessage>* m_serve = nullptr;
};

// Runs the duties that one instance at a time performs for all: orders to
// endpoints and to the platform, usage reports and snapshots. It owns the
// connections for orders.
class Duties : public Task<schema::DutiesMessage> {
 public:
  Duties(const schema::Settings& settings, std::uint64_t incarnation);

  // Sets the ports of the other tasks. Must be called before Launch.
  void Connect(const DutiesPorts& ports);

 private:
  void Start() override;
  void Receive(schema::DutiesMessage message) override;
  void Finish() override;

  void OnTick();
  void OnRecordVerdict(const schema::RecordVerdict& verdict);
  void OnLogStatus(const schema::LogStatus& status);
  void MaintainSnapshots();
  void CheckReleased();

  DutiesPorts m_ports;
  DutyState m_state;
  std::optional<CurlClient> m_client;
  std::unique_ptr<PeriodicTimer> m_tick;
  bool m_drained = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DUTIES_H_
