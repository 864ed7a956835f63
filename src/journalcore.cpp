#include "journalcore.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "codec.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delay between an answer with entries and the next read. It limits the read
// rate while many instances append.
constexpr Duration kReadDelay = milliseconds(10);

constexpr Duration kFirstReadBackoff = milliseconds(50);
constexpr Duration kMaxReadBackoff = milliseconds(500);
constexpr Duration kMissingSnapshotRetryInterval = seconds(5);

// Interval between deadline checks while any submission has a deadline.
constexpr Duration kDeadlineCheckInterval = milliseconds(20);

// Interval between usage flushes while the log is unreachable. It is longer
// than usual because each flush stays in memory on this instance and on two
// peers until the log is available again.
constexpr Duration kOutageFlushInterval = seconds(1);

// Longest time that a graceful shutdown waits for records to be stored.
constexpr Duration kStopTimeout = seconds(3);

constexpr std::size_t kMaxRecentBytes = 4'194'304;
constexpr std::size_t kMaxRelayBytes = 1'048'576;
constexpr std::uint32_t kMaxRelayEntries = 512;

Sender ToSender(schema::TaskName task) {
  switch (task) {
    case schema::TASK_GATEWAY:
      return Sender::kGateway;
    case schema::TASK_ADMIN:
      return Sender::kAdmin;
    case schema::TASK_DUTIES:
      return Sender::kDuties;
    case schema::TASK_PEERS:
      return Sender::kPeers;
    default:
      return Sender::kNone;
  }
}

AppendStatus ToAppendStatus(const std::error_code& error) {
  if (!error) return AppendStatus::kStored;
  const bool refused = error == LogError::kNotSent ||
                       error == LogError::kRateLimited ||
                       error == LogError::kOutage;
  return refused ? AppendStatus::kNotStored : AppendStatus::kUnknown;
}

schema::RecordVerdict MakeVerdict(std::uint64_t ticket, Verdict verdict) {
  RecordResult result;
  result.m_verdict = verdict;
  return EncodeVerdict(result, ticket);
}

// Logs the error of a call when it changes, and when the calls succeed again.
void LogErrorChange(std::string_view call, const std::error_code& error,
                    std::error_code& last) {
  if (error == last || (!error && !last)) return;
  if (error) {
    LOG(WARNING) << call << " request to the log failed: " << error.message();
  } else {
    LOG(INFO) << call << " requests to the log succeed again";
  }
  last = error;
}

UsageFlush MakeFlush(const std::map<UsageKey, UsageTotals>& usage) {
  UsageFlush flush;
  flush.m_deltas.reserve(usage.size());
  for (const auto& [key, sum] : usage) {
    flush.m_deltas.push_back({key.first, key.second, sum.m_requests,
                              sum.m_prompt_tokens, sum.m_output_tokens});
  }
  return flush;
}

}  // namespace

JournalCore::JournalCore(JournalOptions options, LogStore& log,
                         JournalPorts ports, Host host)
    : m_options(std::move(options)),
      m_log(log),
      m_ports(ports),
      m_host(std::move(host)) {
  m_batcher.m_options = m_options.m_batch;
  m_reader.m_scan_window = 2 * m_options.m_snapshot_offsets;
}

void JournalCore::Start() {
  m_last_usage = m_host.m_clock();
  Tick();
}

void JournalCore::Receive(const schema::JournalMessage& message) {
  switch (message.body_case()) {
    case schema::JournalMessage::kSubmit:
      OnSubmit(message.submit());
      break;
    case schema::JournalMessage::kUsage:
      OnUsage(message.usage());
      break;
    case schema::JournalMessage::kRelayed:
      OnRelayed(message.relayed().batch());
      break;
    case schema::JournalMessage::kHeldUsage:
      OnHeldUsage(message.held_usage());
      break;
    case schema::JournalMessage::kRecordsWanted:
      OnRecordsWanted(message.records_wanted());
      break;
    case schema::JournalMessage::kWriteSnapshot:
      OnWriteSnapshot();
      break;
    case schema::JournalMessage::kStop:
      m_stopping = true;
      m_stop_deadline = m_host.m_clock() + kStopTimeout;
      break;
    case schema::JournalMessage::BODY_NOT_SET:
      break;
  }
  Tick();
}

void JournalCore::Tick() {
  const Instant now = m_host.m_clock();
  CheckDeadlines(now);
  SendUsage(now);
  const std::optional<Instant> send_at = NextSendAt(m_batcher);
  if (send_at && *send_at <= now) SendBatch(now);
  if (!m_read_open && m_next_read <= now) SendRead();
  if (m_next_status <= now) SendStatus(now);
  CheckStopped();
  ScheduleTick();
}

void JournalCore::CheckDeadlines(Instant now) {
  if (now < m_next_deadline_check) return;
  m_next_deadline_check = now + kDeadlineCheckInterval;
  for (const ExpiredSubmission& expired : ExpireSubmissions(m_batcher, now)) {
    SendVerdict(expired.m_sender,
                MakeVerdict(expired.m_ticket, expired.m_verdict));
  }
}

void JournalCore::ScheduleTick() {
  Instant next = m_next_status;
  const std::optional<Instant> send_at = NextSendAt(m_batcher);
  if (send_at) next = std::min(next, *send_at);
  if (!m_read_open) next = std::min(next, m_next_read);
  if (HasDeadlines(m_batcher)) next = std::min(next, m_next_deadline_check);
  m_host.m_schedule_tick(next);
}

void JournalCore::CheckStopped() {
  if (!m_stopping) return;
  const bool idle = IsIdle(m_batcher) && m_usage.empty();
  if (!idle && m_host.m_clock() < m_stop_deadline) return;
  m_stopping = false;
  m_host.m_on_stopped();
}

void JournalCore::OnSubmit(const schema::SubmitRecord& submit) {
  Submission submission;
  submission.m_sender = ToSender(submit.sender());
  submission.m_ticket = submit.ticket();
  submission.m_record = DecodeRecord(submit.record());
  submission.m_bytes = submit.record().ByteSizeLong();
  if (submit.timeout_ms() != 0) {
    submission.m_deadline =
        m_host.m_clock() + milliseconds(submit.timeout_ms());
  }
  const Sender sender = submission.m_sender;
  if (std::holds_alternative<std::monostate>(submission.m_record)) {
    SendVerdict(sender, MakeVerdict(submit.ticket(), Verdict::kInvalid));
  } else if (!Submit(m_batcher, std::move(submission))) {
    SendVerdict(sender, MakeVerdict(submit.ticket(), Verdict::kUnavailable));
  }
}

void JournalCore::OnUsage(const schema::UsageReady& usage) {
  for (const schema::UsageDelta& delta : usage.deltas()) {
    UsageTotals& sum = m_usage[{delta.workspace(), delta.target()}];
    sum.m_requests += delta.requests();
    sum.m_prompt_tokens += delta.prompt_tokens();
    sum.m_output_tokens += delta.output_tokens();
  }
}

void JournalCore::SendUsage(Instant now) {
  if (m_usage.empty()) return;
  if (!m_reachable && !m_stopping &&
      now < m_last_usage + kOutageFlushInterval) {
    return;
  }
  UsageFlush flush = MakeFlush(m_usage);
  flush.m_instance = m_options.m_self;
  flush.m_sequence = ++m_usage_sequence;
  m_usage.clear();
  m_last_usage = now;
  if (m_ports.m_peers != nullptr) {
    schema::PeersMessage message;
    *message.mutable_usage_pending() = EncodeUsageFlush(flush);
    m_ports.m_peers->Post(std::move(message));
  }
  QueueUsage(std::move(flush));
}

void JournalCore::QueueUsage(UsageFlush flush) {
  const UsageId id{flush.m_instance.m_name, flush.m_instance.m_incarnation,
                   flush.m_sequence};
  if (!m_queued_usage.insert(id).second) return;
  Submission submission;
  submission.m_record = std::move(flush);
  submission.m_bytes = EncodeRecord(submission.m_record).ByteSizeLong();
  // Usage must not be lost, so it goes to the unbounded background queue if the
  // main queue is full.
  if (Submit(m_batcher, submission)) return;
  SubmitInBackground(m_batcher, std::move(submission));
}

void JournalCore::OnHeldUsage(const schema::UsageFlush& message) {
  UsageFlush flush = DecodeUsageFlush(message);
  if (!IsFlushStored(m_state.m_usage, flush.m_instance, flush.m_sequence)) {
    QueueUsage(std::move(flush));
    return;
  }
  PublishEffect(UsageFlushStored{flush.m_instance, flush.m_sequence}, nullptr);
}

void JournalCore::OnRelayed(const schema::LogBatch& batch) {
  if (m_reader.m_phase != ReadPhase::kFollow) return;
  const std::uint64_t before = m_state.m_next_offset;
  for (const schema::LogEntry& entry : batch.entries()) {
    if (!ApplyEntry(entry)) break;
  }
  if (m_state.m_next_offset != before) SendStatus(m_host.m_clock());
}

void JournalCore::OnRecordsWanted(const schema::RecordsWanted& wanted) {
  if (m_ports.m_peers == nullptr) return;
  schema::PeersMessage message;
  message.mutable_records_found()->set_ticket(wanted.ticket());
  schema::LogBatch& batch = *message.mutable_records_found()->mutable_batch();
  batch.set_next_offset(m_state.m_next_offset);
  batch.set_first_retained(m_recent.empty() ? m_state.m_next_offset
                                            : m_recent.front().offset());
  const int limit =
      static_cast<int>(std::min(wanted.limit(), kMaxRelayEntries));
  std::size_t bytes = 0;
  if (wanted.from() >= batch.first_retained()) {
    for (std::size_t i = wanted.from() - batch.first_retained();
         i < m_recent.size() && batch.entries_size() < limit; ++i) {
      bytes += m_recent[i].body().size();
      if (bytes > kMaxRelayBytes && batch.entries_size() > 0) break;
      *batch.add_entries() = m_recent[i];
    }
  }
  m_ports.m_peers->Post(std::move(message));
}

void JournalCore::OnWriteSnapshot() {
  // Do not start another snapshot while records of the previous one are queued.
  if (!m_caught_up || !m_batcher.m_background.empty()) return;
  const std::string data = EncodeSnapshot(m_state, m_host.m_clock());
  for (SnapshotPart& part : SplitSnapshot(data, m_state.m_next_offset)) {
    Submission submission;
    submission.m_bytes = part.m_data.size() + sizeof(part);
    submission.m_record = std::move(part);
    SubmitInBackground(m_batcher, std::move(submission));
  }
  LOG(INFO) << "snapshot of offset " << m_state.m_next_offset << " with "
            << data.size() << " bytes queued for writing";
}

void JournalCore::SendBatch(Instant now) {
  const PendingBatch& pending = StartAppend(m_batcher, now);
  RecordBatch batch;
  batch.m_writer = m_options.m_self;
  batch.m_sequence = pending.m_sequence;
  batch.m_records.reserve(pending.m_submissions.size());
  for (const Submission& submission : pending.m_submissions) {
    batch.m_records.push_back(submission.m_record);
  }
  m_log.Append(SerializeBatch(batch),
               [this, call = m_batcher.m_append_id](std::error_code error,
                                                    std::uint64_t /*offset*/) {
                 OnAppended(call, error);
               });
}

void JournalCore::OnAppended(std::uint64_t call, const std::error_code& error) {
  LogErrorChange("append", error, m_append_error);
  FinishAppend(m_batcher, call, ToAppendStatus(error), m_host.m_clock());
  Tick();
}

void JournalCore::SendRead() {
  const ReadRequest request = NextRead(m_reader, m_state.m_next_offset);
  const Instant sent_at = m_host.m_clock();
  m_read_open = true;
  m_log.Read(
      request.m_from, request.m_max,
      request.m_wait ? m_options.m_read_wait : Duration(0),
      [this, sent_at](std::error_code error, const schema::LogBatch& batch) {
        OnRead(error, batch, sent_at);
      });
}

void JournalCore::OnRead(const std::error_code& error,
                         const schema::LogBatch& batch, Instant sent_at) {
  m_read_open = false;
  m_next_read = m_host.m_clock();
  LogErrorChange("read", error, m_read_error);
  if (error) {
    OnReadFailed(error, batch);
  } else {
    m_reachable = true;
    m_read_backoff = Duration(0);
    HandleReadAnswer(batch, sent_at);
  }
  Tick();
}

void JournalCore::OnReadFailed(const std::error_code& error,
                               const schema::LogBatch& batch) {
  const Instant now = m_host.m_clock();
  m_read_backoff =
      std::clamp(m_read_backoff * 2, kFirstReadBackoff, kMaxReadBackoff);
  m_next_read = now + m_read_backoff;
  if (error == LogError::kTrimmed) {
    RestartCatchUp(m_reader, batch.first_retained());
    return;
  }
  if (!m_reachable) return;
  m_reachable = false;
  SendStatus(now);
}

void JournalCore::HandleReadAnswer(const schema::LogBatch& batch,
                                   Instant sent_at) {
  switch (m_reader.m_phase) {
    case ReadPhase::kProbe:
      HandleProbe(m_reader, batch, m_state.m_next_offset);
      return;
    case ReadPhase::kScan:
      break;
    case ReadPhase::kFollow:
      ApplyEntries(batch, sent_at);
      return;
  }
  const CatchUpStep step = HandleScan(m_reader, batch, m_state.m_next_offset);
  if (step == CatchUpStep::kRestore) RestoreSnapshot();
  if (step != CatchUpStep::kUnrecoverable) return;
  LOG(ERROR) << "the log retains offsets from " << m_reader.m_first_retained
             << " on but no complete snapshot; offset " << m_state.m_next_offset
             << " is needed";
  RestartCatchUp(m_reader, m_reader.m_first_retained);
  m_next_read = m_host.m_clock() + kMissingSnapshotRetryInterval;
}

void JournalCore::RestoreSnapshot() {
  const std::optional<std::string> data =
      FindSnapshot(m_reader, m_state.m_next_offset);
  std::optional<LogState> restored =
      DecodeSnapshot(data.value_or(""), m_host.m_clock());
  if (!restored || restored->m_next_offset <= m_state.m_next_offset) {
    LOG(ERROR) << "cannot decode the newest snapshot in the log";
    RestartCatchUp(m_reader, m_reader.m_first_retained);
    m_next_read = m_host.m_clock() + kMissingSnapshotRetryInterval;
    return;
  }
  LOG(INFO) << "state restored from the snapshot of offset "
            << restored->m_next_offset;
  const std::vector<Effect> effects = DiffStates(m_state, *restored);
  m_state = *std::move(restored);
  m_recent.clear();
  m_recent_bytes = 0;
  AnswerRestoredBatches();
  for (const Effect& effect : effects) PublishEffect(effect, nullptr);
  RestartCatchUp(m_reader, 0);
  m_reader.m_phase = ReadPhase::kFollow;
}

void JournalCore::ApplyEntries(const schema::LogBatch& batch, Instant sent_at) {
  for (const schema::LogEntry& entry : batch.entries()) {
    if (!ApplyEntry(entry)) break;
  }
  const Instant now = m_host.m_clock();
  if (m_state.m_next_offset < batch.next_offset()) return;
  if (!batch.entries().empty()) m_next_read = now + kReadDelay;
  // The log ended at this offset at some time after the read was sent, so only
  // the send time is a safe bound for the age of the state.
  m_confirmed = std::max(m_confirmed, sent_at);
  m_caught_up = true;
  SendStatus(now);
}

// Applies an entry; earlier ones are skipped. Returns false if there is a gap
// before the entry.
bool JournalCore::ApplyEntry(const schema::LogEntry& entry) {
  if (entry.offset() < m_state.m_next_offset) return true;
  if (entry.offset() > m_state.m_next_offset) return false;
  CacheEntry(entry);
  const std::optional<RecordBatch> batch = ParseBatch(entry.body());
  if (!batch) {
    LOG(ERROR) << "log offset " << entry.offset()
               << " does not contain a valid record batch";
    SkipOffset(m_state, entry.offset());
    return true;
  }
  const std::vector<Effect> effects =
      ApplyBatch(m_state, entry.offset(), *batch, m_host.m_clock());
  std::optional<PendingBatch> own;
  if (batch->m_writer == m_options.m_self) {
    own = CompleteBatch(m_batcher, batch->m_sequence);
  }
  for (const Effect& effect : effects) {
    PublishEffect(effect, own ? &*own : nullptr);
  }
  if (own && effects.empty()) {
    LOG(ERROR) << "a process with a higher incarnation writes to the log as "
               << m_options.m_self.m_name;
    AnswerRemaining(*own, Verdict::kStale);
  }
  return true;
}

void JournalCore::CacheEntry(const schema::LogEntry& entry) {
  m_recent.push_back(entry);
  m_recent_bytes += entry.body().size();
  while (m_recent_bytes > kMaxRecentBytes && m_recent.size() > 1) {
    m_recent_bytes -= m_recent.front().body().size();
    m_recent.pop_front();
  }
}

// Answers the pending batches that the restored snapshot covers with kUnknown,
// because a snapshot does not contain the verdicts on their records.
void JournalCore::AnswerRestoredBatches() {
  const auto mark = m_state.m_writers.find(m_options.m_self.m_name);
  if (mark == m_state.m_writers.end() ||
      mark->second.m_incarnation != m_options.m_self.m_incarnation) {
    return;
  }
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, pending] : m_batcher.m_unread) {
    sequences.push_back(sequence);
  }
  if (m_batcher.m_in_flight)
    sequences.push_back(m_batcher.m_in_flight->m_sequence);
  for (const std::uint64_t sequence : sequences) {
    if (sequence > mark->second.m_sequence) continue;
    AnswerRemaining(*CompleteBatch(m_batcher, sequence), Verdict::kUnknown);
  }
}

void JournalCore::AnswerRemaining(const PendingBatch& pending,
                                  Verdict verdict) {
  for (const Submission& submission : pending.m_submissions) {
    if (submission.m_answered) continue;
    SendVerdict(submission.m_sender, MakeVerdict(submission.m_ticket, verdict));
  }
}

}  // namespace comfreypaddle
