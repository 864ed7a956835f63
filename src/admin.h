#ifndef COMFREYPADDLE_ADMIN_H_
#define COMFREYPADDLE_ADMIN_H_

#include <memory>
#include <optional>
#include <string>

#include "api.h"
#include "listener.h"
#include "messages.pb.h"
#include "settings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Task that serves the operators' API, health checks and metrics. It owns the
// operators' listener and a copy of the resources.
class Admin : public Task<schema::AdminMessage> {
 public:
  Admin(const schema::Settings& settings, std::uint64_t incarnation);

  // Sets the journal that receives writes. Call before Launch.
  void Connect(Port<schema::JournalMessage>* journal) {
    m_state.m_journal = journal;
  }

 private:
  void Start() override;
  void Receive(schema::AdminMessage message) override;
  void Finish() override;

  schema::Settings m_settings;
  ApiState m_state;
  std::string m_gateway_metrics;
  std::optional<Listener> m_listener;
  std::unique_ptr<PeriodicTimer> m_heartbeat;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ADMIN_H_
