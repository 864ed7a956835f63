#include "serve.h"

#include <glog/logging.h>
#include <signal.h>
#include <unistd.h>

#include <memory>

#include "admin.h"
#include "duties.h"
#include "gateway.h"
#include "journal.h"
#include "peers.h"
#include "signals.h"

namespace comfreypaddle {

namespace {

// Returns the incarnation number of this process. It increases with each start
// of the instance unless the wall clock steps back across a restart.
std::uint64_t MakeIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Owns the tasks of one entry instance and shuts them down in order: callers,
// then duties, then the log.
class Instance {
 public:
  explicit Instance(const schema::Settings& settings)
      : m_settings(settings),
        m_incarnation(MakeIncarnation()),
        m_signals(OpenSignalDescriptor()) {}

  void Run() {
    LOG(INFO) << "starting instance=" << m_settings.instance().name()
              << " zone=" << m_settings.instance().availability_zone()
              << " incarnation=" << m_incarnation;
    MakeTasks();
    m_journal->Launch();
    m_admin->Launch();
    m_duties->Launch();
    m_peers->Launch();
    m_gateway->Launch();
    m_loop.Watch(m_signals, [this] { OnSignal(); });
    m_loop.Watch(m_mailbox.Descriptor(), [this] {
      for (const schema::ServeMessage& message : m_mailbox.TakeAll()) {
        OnDrained(message.drained().task());
      }
    });
    m_loop.Run();
    StopTasks();
    m_loop.Unwatch(m_signals);
    m_loop.Unwatch(m_mailbox.Descriptor());
    close(m_signals);
    LOG(INFO) << "stopped instance=" << m_settings.instance().name();
  }

 private:
  // Tasks refer to each other's mailboxes, so all are constructed before any
  // thread is launched.
  void MakeTasks() {
    m_gateway = std::make_unique<Gateway>(m_settings, m_incarnation);
    m_admin = std::make_unique<Admin>(m_settings, m_incarnation);
    m_duties = std::make_unique<Duties>(m_settings, m_incarnation);
    m_peers = std::make_unique<Peers>(m_settings, m_incarnation);
    JournalPorts ports;
    ports.m_gateway = &m_gateway->Inbox();
    ports.m_admin = &m_admin->Inbox();
    ports.m_duties = &m_duties->Inbox();
    ports.m_peers = &m_peers->Inbox();
    m_journal = std::make_unique<Journal>(m_settings, m_incarnation, ports);
    m_gateway->Connect({&m_journal->Inbox(), &m_admin->Inbox(),
                        &m_peers->Inbox(), &m_duties->Inbox(), &m_mailbox});
    m_admin->Connect(&m_journal->Inbox());
    m_duties->Connect({&m_journal->Inbox(), &m_gateway->Inbox(), &m_mailbox});
    m_peers->Connect({&m_journal->Inbox(), &m_gateway->Inbox(),
                      &m_admin->Inbox(), &m_duties->Inbox()});
  }

  void OnSignal() {
    for (std::uint32_t signal = TakeSignal(m_signals); signal != 0;
         signal = TakeSignal(m_signals)) {
      // A second signal does not shorten the shutdown.
      if (signal == SIGHUP || m_stopping) continue;
      m_stopping = true;
      LOG(INFO) << "graceful shutdown started signal=" << signal;
      m_gateway->Inbox().Post(MakeDrain<schema::GatewayMessage>());
      m_admin->Inbox().Post(MakeDrain<schema::AdminMessage>());
      m_peers->Inbox().Post(MakeDrain<schema::PeersMessage>());
      m_loop.StartTimer(
          std::chrono::seconds(m_settings.admission().drain_limit_s()), [this] {
            LOG(WARNING) << "graceful shutdown reached its time limit";
            m_loop.Stop();
          });
    }
  }

  template <typename Message>
  static Message MakeDrain() {
    Message message;
    message.mutable_drain();
    return message;
  }

  template <typename Message>
  static Message MakeStop() {
    Message message;
    message.mutable_stop();
    return message;
  }

  // Duties are released after the last request is answered, so that the work of
  // the duty holder continues until then.
  void OnDrained(schema::TaskName task) {
    if (task == schema::TASK_GATEWAY) {
      m_duties->Inbox().Post(MakeDrain<schema::DutiesMessage>());
    } else if (task == schema::TASK_DUTIES) {
      m_loop.Stop();
    }
  }

  // The journal stops once all submissions are in the log. The peers task runs
  // until then, because it backs up the journal's usage and drops the backups.
  void StopTasks() {
    m_gateway->Inbox().Post(MakeStop<schema::GatewayMessage>());
    m_gateway->Join();
    m_duties->Inbox().Post(MakeStop<schema::DutiesMessage>());
    m_duties->Join();
    m_journal->Inbox().Post(MakeStop<schema::JournalMessage>());
    m_journal->Join();
    m_peers->Inbox().Post(MakeStop<schema::PeersMessage>());
    m_peers->Join();
    m_admin->Inbox().Post(MakeStop<schema::AdminMessage>());
    m_admin->Join();
  }

  schema::Settings m_settings;
  std::uint64_t m_incarnation;
  int m_signals;
  EventLoop m_loop;
  Mailbox<schema::ServeMessage> m_mailbox;
  std::unique_ptr<Journal> m_journal;
  std::unique_ptr<Peers> m_peers;
  std::unique_ptr<Admin> m_admin;
  std::unique_ptr<Duties> m_duties;
  std::unique_ptr<Gateway> m_gateway;
  bool m_stopping = false;
};

}  // namespace

int Serve(const schema::Settings& settings) {
  Instance instance(settings);
  instance.Run();
  return 0;
}

}  // namespace comfreypaddle
