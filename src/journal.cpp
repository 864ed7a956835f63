#include "journal.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

HttpLogStoreOptions MakeLogOptions(const schema::Settings& settings) {
  HttpLogStoreOptions options;
  options.m_url = settings.log().url();
  options.m_stream = LogStreamName(settings);
  options.m_append_timeout = milliseconds(settings.log().append_timeout_ms());
  return options;
}

}  // namespace

JournalOptions MakeJournalOptions(const schema::Settings& settings,
                                  std::uint64_t incarnation) {
  JournalOptions options;
  options.m_self = {settings.instance().name(), incarnation};
  options.m_batch.m_min_interval = milliseconds(settings.log().batch_ms());
  options.m_read_wait = milliseconds(settings.log().read_wait_ms());
  options.m_snapshot_offsets = settings.log().snapshot_records();
  return options;
}

std::string LogStreamName(const schema::Settings& settings) {
  return "comfreypaddle-" + settings.instance().deployment();
}

Journal::Journal(schema::Settings settings, std::uint64_t incarnation,
                 JournalPorts ports)
    : m_settings(std::move(settings)),
      m_incarnation(incarnation),
      m_ports(ports) {}

void Journal::Start() {
  m_client = std::make_unique<CurlClient>(Loop());
  m_log = std::make_unique<HttpLogStore>(*m_client, MakeLogOptions(m_settings));
  m_core = std::make_unique<JournalCore>(
      MakeJournalOptions(m_settings, m_incarnation), *m_log, m_ports,
      JournalCore::Host{[] { return Now(); },
                        [this](Instant at) { ScheduleTick(at); },
                        [this] { Loop().Stop(); }});
  m_core->Start();
}

void Journal::Receive(schema::JournalMessage message) {
  m_core->Receive(message);
}

void Journal::Finish() {
  Loop().CancelTimer(m_tick_timer);
  m_core.reset();
  m_log.reset();
  m_client.reset();
}

void Journal::ScheduleTick(Instant at) {
  Loop().CancelTimer(m_tick_timer);
  m_tick_timer = Loop().StartTimer(std::max(at - Now(), Duration(0)),
                                   [this] { m_core->Tick(); });
}

}  // namespace comfreypaddle
