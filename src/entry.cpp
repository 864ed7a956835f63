#include "entry.h"

#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <memory>

#include "control.h"
#include "eventlog.h"
#include "relay.h"
#include "settings.h"
#include "signals.h"

namespace comfreypaddle {

namespace {

// Time before the end of the grace time at which the requests that are still
// open are ended, and at which the process ends in any case.
constexpr Duration kFinishReserve = std::chrono::milliseconds(700);
constexpr Duration kExitReserve = std::chrono::milliseconds(300);

// Time limit for handing over duties and usage.
constexpr Duration kHandoverTimeout = std::chrono::milliseconds(1500);

// Size from which memory is mapped and goes back to the system when it is
// freed. The default grows with what was freed, and bodies would be kept.
constexpr int kMapThresholdBytes = 256 << 10;

// Unix time at the zero of the monotonic clock. It is read once, so that a step
// of the wall clock does not shift usage windows.
Duration UnixTimeAtBoot() {
  const auto unix_time = std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
  return unix_time - Now().time_since_epoch();
}

// Owns the tasks of one entry instance and shuts them down in order: callers,
// then duties and usage.
class EntryInstance {
 public:
  EntryInstance(std::string file, const schema::RelaySettings& settings)
      : m_file(std::move(file)),
        m_settings(settings),
        m_unix_at_zero(UnixTimeAtBoot()),
        m_signals(OpenSignalDescriptor()) {}

  void Run() {
    const auto incarnation = static_cast<std::uint64_t>(
        (Now().time_since_epoch() + m_unix_at_zero).count());
    LogLine("start")
        .Add("instance", m_settings.instance().name())
        .Add("zone", m_settings.instance().availability_zone())
        .Add("incarnation", static_cast<std::int64_t>(incarnation));
    m_relay = std::make_unique<Relay>(m_settings, m_unix_at_zero);
    m_control =
        std::make_unique<Control>(m_settings, incarnation, m_unix_at_zero);
    m_relay->Connect({&m_control->Inbox(), &m_mailbox});
    m_control->Connect({&m_relay->Inbox(), &m_mailbox});
    m_relay->Launch();
    m_control->Launch();
    m_loop.Watch(m_signals, [this] { OnSignal(); });
    m_loop.Watch(m_mailbox.Descriptor(), [this] {
      for (const schema::SupervisorMessage& message : m_mailbox.TakeAll()) {
        OnMessage(message);
      }
    });
    m_loop.Run();
    StopTasks();
    m_loop.Unwatch(m_signals);
    m_loop.Unwatch(m_mailbox.Descriptor());
    close(m_signals);
    LogLine("stop").Add("instance", m_settings.instance().name());
  }

 private:
  void OnSignal() {
    for (std::uint32_t signal = TakeSignal(m_signals); signal != 0;
         signal = TakeSignal(m_signals)) {
      if (signal == SIGHUP) {
        Reload();
      } else if (!m_stopping) {
        BeginStop();
      }
    }
  }

  // Validates the file and logs the result. A running instance keeps the
  // settings of its start, because its addresses and limits cannot change.
  void Reload() {
    schema::RelaySettings reloaded;
    const auto errors = LoadRelaySettings(m_file, &reloaded);
    const bool unchanged = errors.empty() && reloaded.SerializeAsString() ==
                                                 m_settings.SerializeAsString();
    LogLine("reload")
        .Add("errors", static_cast<std::int64_t>(errors.size()))
        .Add("changed", unchanged ? 0 : 1)
        .Add("first_error", errors.empty() ? "" : ToText(errors.front()));
  }

  void BeginStop() {
    m_stopping = true;
    LogLine("drain_started").Add("instance", m_settings.instance().name());
    schema::RelayMessage drain_relay;
    drain_relay.mutable_drain();
    m_relay->Inbox().Post(std::move(drain_relay));
    schema::ControlMessage drain_control;
    drain_control.mutable_drain();
    m_control->Inbox().Post(std::move(drain_control));
    const Duration grace = FromMs(m_settings.stop().grace_s() * kMsPerSecond);
    m_loop.StartTimer(grace - kFinishReserve, [this] { FinishRelay(); });
    m_loop.StartTimer(grace - kExitReserve, [this] { m_loop.Stop(); });
  }

  void FinishRelay() {
    if (m_relay_idle) return;
    LogLine("drain_timeout").Add("instance", m_settings.instance().name());
    schema::RelayMessage finish;
    finish.mutable_finish();
    m_relay->Inbox().Post(std::move(finish));
  }

  void OnMessage(const schema::SupervisorMessage& message) {
    if (message.has_control_done()) {
      m_loop.Stop();
      return;
    }
    m_relay_idle = true;
    schema::ControlMessage finish;
    finish.mutable_finish();
    m_control->Inbox().Post(std::move(finish));
    m_loop.StartTimer(kHandoverTimeout, [this] { m_loop.Stop(); });
  }

  void StopTasks() {
    schema::RelayMessage stop_relay;
    stop_relay.mutable_stop();
    m_relay->Inbox().Post(std::move(stop_relay));
    m_relay->Join();
    schema::ControlMessage stop_control;
    stop_control.mutable_stop();
    m_control->Inbox().Post(std::move(stop_control));
    m_control->Join();
  }

  std::string m_file;
  schema::RelaySettings m_settings;
  Duration m_unix_at_zero;
  int m_signals;
  EventLoop m_loop;
  Mailbox<schema::SupervisorMessage> m_mailbox;
  std::unique_ptr<Relay> m_relay;
  std::unique_ptr<Control> m_control;
  bool m_stopping = false;
  bool m_relay_idle = false;
};

}  // namespace

int RunEntry(const std::string& file, const schema::RelaySettings& settings) {
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  SetLogLimit(settings.log().lines_per_s());
  EntryInstance instance(file, settings);
  instance.Run();
  return 0;
}

}  // namespace comfreypaddle
