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

// Options of the journal of the instance with these settings. The incarnation
// must be higher than that of any earlier process with the instance's name.
JournalOptions MakeJournalOptions(const schema::Settings& settings,
                                  std::uint64_t incarnation);

// Name of the deployment's stream in the log service.
std::string LogStreamName(const schema::Settings& settings);

// Task that owns the log: appends what the other tasks submit, folds what it
// reads and tells the other tasks what changed, in log order.
//
// JournalMessage.stop ends the task once everything submitted is stored, or
// after three seconds.
class Journal : public Task<schema::JournalMessage> {
 public:
  Journal(schema::Settings settings, std::uint64_t incarnation,
          JournalPorts ports);

 protected:
  void Start() override;
  void Receive(schema::JournalMessage message) override;
  void Finish() override;

 private:
  void SetAlarm(Instant at);

  schema::Settings m_settings;
  std::uint64_t m_incarnation;
  JournalPorts m_ports;
  std::unique_ptr<CurlClient> m_client;
  std::unique_ptr<HttpLogStore> m_log;
  std::unique_ptr<JournalCore> m_core;
  EventLoop::TimerId m_alarm = 0;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_JOURNAL_H_
