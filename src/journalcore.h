#ifndef COMFREYPADDLE_JOURNALCORE_H_
#define COMFREYPADDLE_JOURNALCORE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "batch.h"
#include "catchup.h"
#include "logstore.h"
#include "messages.pb.h"
#include "state.h"
#include "task.h"

namespace comfreypaddle {

// Destinations of the journal's messages. Null ports are skipped.
struct JournalPorts {
  Port<schema::GatewayMessage>* m_gateway = nullptr;
  Port<schema::AdminMessage>* m_admin = nullptr;
  Port<schema::DutiesMessage>* m_duties = nullptr;
  Port<schema::PeersMessage>* m_peers = nullptr;
};

struct JournalOptions {
  Writer m_self;
  BatchOptions m_batch;
  Duration m_read_wait{500'000};
  // Log offsets between two snapshots. A starting instance scans twice as many
  // for the latest snapshot.
  std::uint64_t m_snapshot_offsets = 2000;
};

// Logic of the journal task: schedules appends and reads, applies log entries
// and sends the resulting messages. It has no thread, clock or timer of its
// own, so that tests can drive it with a mock log.
class JournalCore {
 public:
  // Callbacks into the owner. m_clock returns the current time,
  // m_schedule_tick requests a call of Tick at an instant and replaces the
  // previous request, and m_on_stopped is called once after a stop message.
  struct Host {
    std::function<Instant()> m_clock;
    std::function<void(Instant)> m_schedule_tick;
    std::function<void()> m_on_stopped;
  };

  JournalCore(JournalOptions options, LogStore& log, JournalPorts ports,
              Host host);

  // Starts reading the log.
  void Start();

  void Receive(const schema::JournalMessage& message);

  // Runs all actions that are due.
  void Tick();

  const LogState& State() const { return m_state; }

 private:
  using UsageId = std::tuple<std::string, std::uint64_t, std::uint64_t>;

  void OnSubmit(const schema::SubmitRecord& submit);
  void OnUsage(const schema::UsageReady& usage);
  void OnHeldUsage(const schema::UsageFlush& message);
  void OnRelayed(const schema::LogBatch& batch);
  void OnRecordsWanted(const schema::RecordsWanted& wanted);
  void OnWriteSnapshot();

  void SendUsage(Instant now);
  void QueueUsage(UsageFlush flush);
  void SendBatch(Instant now);
  void OnAppended(std::uint64_t call, const std::error_code& error);
  void SendRead();
  void OnRead(const std::error_code& error, const schema::LogBatch& batch,
              Instant sent_at);
  void OnReadFailed(const std::error_code& error,
                    const schema::LogBatch& batch);
  void HandleReadAnswer(const schema::LogBatch& batch, Instant sent_at);
  void RestoreSnapshot();
  void ApplyEntries(const schema::LogBatch& batch, Instant sent_at);
  bool ApplyEntry(const schema::LogEntry& entry);
  void CacheEntry(const schema::LogEntry& entry);

  void PublishEffect(const Effect& effect, const PendingBatch* own);
  void SendRecordVerdict(const RecordResult& result, const PendingBatch* own);
  void PublishLease(const LeaseChange& change, const PendingBatch* own);
  void PublishTable(const TableChange& change);
  void AnswerRestoredBatches();
  void AnswerRemaining(const PendingBatch& pending, Verdict verdict);
  void SendVerdict(Sender sender, const schema::RecordVerdict& verdict);
  void SendStatus(Instant now);
  void CheckDeadlines(Instant now);
  void ScheduleTick();
  void CheckStopped();

  JournalOptions m_options;
  LogStore& m_log;
  JournalPorts m_ports;
  Host m_host;

  LogState m_state;
  CatchUp m_reader;
  Batcher m_batcher;

  bool m_read_open = false;
  Instant m_next_read{};
  Duration m_read_backoff{0};
  std::error_code m_read_error;    // Of the last read.
  std::error_code m_append_error;  // Of the last append.
  bool m_reachable = false;
  bool m_caught_up = false;
  Instant m_confirmed{};
  Instant m_next_status{};
  Instant m_next_deadline_check{};

  std::map<UsageKey, UsageTotals> m_usage;  // Not yet part of a flush.
  std::uint64_t m_usage_sequence = 0;
  Instant m_last_usage{};
  std::set<UsageId> m_queued_usage;

  std::deque<schema::LogEntry> m_recent;  // Latest entries, for peers.
  std::size_t m_recent_bytes = 0;

  bool m_stopping = false;
  Instant m_stop_deadline{};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_JOURNALCORE_H_
