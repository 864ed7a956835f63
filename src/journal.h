#ifndef COMFREYPADDLE_JOURNAL_H_
#define COMFREYPADDLE_JOURNAL_H_

#include <memory>

#include "curlclient.h"
#include "journalcore.h"
#include "logstore.h"
#include "messages.pb.h"
#include "settings.pb.h"
#include "task.h"

namespace comfreypaddle {

// Builds the journal options from the settings. The incarnation must be higher
// than that of every earlier process with the same instance name.
JournalOptions MakeJournalOptions(const schema::Settings& settings,
                                  std::uint64_t incarnation);

// Returns the name of the deployment's stream in the log service.
std::string LogStreamName(const schema::Settings& settings);

// Task that owns the access to the log. It appends the records that other tasks
// submit, applies the entries it reads to the replicated state, and sends the
// resulting changes to the other tasks in log order.
//
// On JournalMessage.stop the task exits once all submitted records are stored,
// or after three seconds.
class Journal : public Task<schema::JournalMessage> {
 public:
  Journal(schema::Settings settings, std::uint64_t incarnation,
          JournalPorts ports);

 protected:
  void Start() override;
  void Receive(schema::JournalMessage message) override;
  void Finish() override;

 private:
  void ScheduleTick(Instant at);

  schema::Settings m_settings;
  std::uint64_t m_incarnation;
  JournalPorts m_ports;
  std::unique_ptr<CurlClient> m_client;
  std::unique_ptr<HttpLogStore> m_log;
  std::unique_ptr<JournalCore> m_core;
  EventLoop::TimerId m_tick_timer = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_JOURNAL_H_
