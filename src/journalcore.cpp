#include "journalcore.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "codec.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time between an answer with entries and the next read. It bounds the rate of
// reads while many instances append.
constexpr Duration kReadSpacing = milliseconds(10);

constexpr Duration kFirstReadBackoff = milliseconds(50);
constexpr Duration kMaxReadBackoff = milliseconds(500);
constexpr Duration kStuckPeriod = seconds(5);

// How often the deadlines of submissions are checked while there are any.
constexpr Duration kDeadlinePeriod = milliseconds(20);

// Usage is flushed less often while the log does not answer, because each
// flush stays in memory here and at two peers until the log is back.
constexpr Duration kOutageUsagePeriod = seconds(1);

// Longest time that a planned stop waits for records to be stored.
constexpr Duration kStopLimit = seconds(3);

constexpr std::size_t kRecentBytes = 4'194'304;
constexpr std::size_t kRelayBytes = 1'048'576;
constexpr std::uint32_t kRelayEntries = 512;

Sender SenderOf(schema::TaskName task) {
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

AppendEnd EndOf(const std::error_code& error) {
  if (!error) return AppendEnd::kStored;
  const bool refused = error == LogError::kNotSent ||
                       error == LogError::kRateLimited ||
                       error == LogError::kOutage;
  return refused ? AppendEnd::kNotStored : AppendEnd::kUnknown;
}

schema::RecordVerdict MakeVerdict(std::uint64_t ticket, Verdict verdict) {
  RecordResult fate;
  fate.m_verdict = verdict;
  return EncodeFate(fate, ticket);
}

// Logs an error once when it begins and once when it has ended.
void LogErrorChange(std::string_view call, const std::error_code& error,
                    std::error_code& last) {
  if (error == last || (!error && !last)) return;
  if (error) {
    LOG(WARNING) << call << " of the log failed: " << error.message();
  } else {
    LOG(INFO) << call << " of the log succeeds again";
  }
  last = error;
}

UsageFlush MakeFlush(const std::map<UsageKey, UsageFigures>& usage) {
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
  m_reader.m_window = 2 * m_options.m_snapshot_offsets;
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
      m_stop_limit = m_host.m_clock() + kStopLimit;
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
  SetAlarm();
}

void JournalCore::CheckDeadlines(Instant now) {
  if (now < m_next_deadline_check) return;
  m_next_deadline_check = now + kDeadlinePeriod;
  for (const GivenUp& given_up : GiveUp(m_batcher, now)) {
    SendVerdict(given_up.m_sender,
                MakeVerdict(given_up.m_ticket, given_up.m_verdict));
  }
}

void JournalCore::SetAlarm() {
  Instant next = m_next_status;
  const std::optional<Instant> send_at = NextSendAt(m_batcher);
  if (send_at) next = std::min(next, *send_at);
  if (!m_read_open) next = std::min(next, m_next_read);
  if (HasDeadlines(m_batcher)) next = std::min(next, m_next_deadline_check);
  m_host.m_set_alarm(next);
}

void JournalCore::CheckStopped() {
  if (!m_stopping) return;
  const bool idle = IsIdle(m_batcher) && m_usage.empty();
  if (!idle && m_host.m_clock() < m_stop_limit) return;
  m_stopping = false;
  m_host.m_on_stopped();
}

void JournalCore::OnSubmit(const schema::SubmitRecord& submit) {
  Submission submission;
  submission.m_sender = SenderOf(submit.sender());
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
    UsageFigures& sum = m_usage[{delta.workspace(), delta.target()}];
    sum.m_requests += delta.requests();
    sum.m_prompt_tokens += delta.prompt_tokens();
    sum.m_output_tokens += delta.output_tokens();
  }
}

void JournalCore::SendUsage(Instant now) {
  if (m_usage.empty()) return;
  if (!m_reachable && !m_stopping && now < m_last_usage + kOutageUsagePeriod) {
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
  // Usage must not be lost, so a full queue does not refuse it.
  if (Submit(m_batcher, submission)) return;
  SubmitInBackground(m_batcher, std::move(submission));
}

void JournalCore::OnHeldUsage(const schema::UsageFlush& message) {
  UsageFlush flush = DecodeUsageFlush(message);
  if (!IsFlushStored(m_state.m_usage, flush.m_instance, flush.m_sequence)) {
    QueueUsage(std::move(flush));
    return;
  }
  SendEffect(UsageFlushStored{flush.m_instance, flush.m_sequence}, nullptr);
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
  const int limit = static_cast<int>(std::min(wanted.limit(), kRelayEntries));
  std::size_t bytes = 0;
  if (wanted.from() >= batch.first_retained()) {
    for (std::size_t i = wanted.from() - batch.first_retained();
         i < m_recent.size() && batch.entries_size() < limit; ++i) {
      bytes += m_recent[i].body().size();
      if (bytes > kRelayBytes && batch.entries_size() > 0) break;
      *batch.add_entries() = m_recent[i];
    }
  }
  m_ports.m_peers->Post(std::move(message));
}

void JournalCore::OnWriteSnapshot() {
  // A snapshot that is still being written is not overtaken by another one.
  if (!m_caught_up || !m_batcher.m_background.empty()) return;
  const std::string data = EncodeSnapshot(m_state, m_host.m_clock());
  for (SnapshotPart& part : SplitSnapshot(data, m_state.m_next_offset)) {
    Submission submission;
    submission.m_bytes = part.m_data.size() + sizeof(part);
    submission.m_record = std::move(part);
    SubmitInBackground(m_batcher, std::move(submission));
  }
  LOG(INFO) << "snapshot of offset " << m_state.m_next_offset << " with "
            << data.size() << " bytes is being written";
}

void JournalCore::SendBatch(Instant now) {
  const Flight& flight = BeginSend(m_batcher, now);
  RecordBatch batch;
  batch.m_writer = m_options.m_self;
  batch.m_sequence = flight.m_sequence;
  batch.m_records.reserve(flight.m_submissions.size());
  for (const Submission& submission : flight.m_submissions) {
    batch.m_records.push_back(submission.m_record);
  }
  m_log.Append(SerializeBatch(batch),
               [this, call = m_batcher.m_call](std::error_code error,
                                               std::uint64_t /*offset*/) {
                 OnAppended(call, error);
               });
}

void JournalCore::OnAppended(std::uint64_t call, const std::error_code& error) {
  LogErrorChange("append", error, m_append_error);
  EndSend(m_batcher, call, EndOf(error), m_host.m_clock());
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
    TakeAnswer(batch, sent_at);
  }
  Tick();
}

void JournalCore::OnReadFailed(const std::error_code& error,
                               const schema::LogBatch& batch) {
  const Instant now = m_host.m_clock();
  m_read_backoff =
      std::clamp(m_read_backoff * 2, kFirstReadBackoff, kMaxReadBackoff);
  m_next_read = now + m_read_backoff;
  if (error == LogError::kNotKept) {
    Restart(m_reader, batch.first_retained());
    return;
  }
  if (!m_reachable) return;
  m_reachable = false;
  SendStatus(now);
}

void JournalCore::TakeAnswer(const schema::LogBatch& batch, Instant sent_at) {
  switch (m_reader.m_phase) {
    case ReadPhase::kProbe:
      TakeProbe(m_reader, batch, m_state.m_next_offset);
      return;
    case ReadPhase::kScan:
      break;
    case ReadPhase::kFollow:
      Follow(batch, sent_at);
      return;
  }
  const CatchUpStep step = TakeScan(m_reader, batch, m_state.m_next_offset);
  if (step == CatchUpStep::kRestore) Restore();
  if (step != CatchUpStep::kStuck) return;
  LOG(ERROR) << "the log keeps offsets from " << m_reader.m_first_retained
             << " on and no complete snapshot; offset " << m_state.m_next_offset
             << " is needed";
  Restart(m_reader, m_reader.m_first_retained);
  m_next_read = m_host.m_clock() + kStuckPeriod;
}

void JournalCore::Restore() {
  const std::optional<std::string> data =
      FoundSnapshot(m_reader, m_state.m_next_offset);
  std::optional<LogState> restored =
      DecodeSnapshot(data.value_or(""), m_host.m_clock());
  if (!restored || restored->m_next_offset <= m_state.m_next_offset) {
    LOG(ERROR) << "the newest snapshot in the log does not decode";
    Restart(m_reader, m_reader.m_first_retained);
    m_next_read = m_host.m_clock() + kStuckPeriod;
    return;
  }
  LOG(INFO) << "state taken from the snapshot of offset "
            << restored->m_next_offset;
  const std::vector<Effect> effects = DiffStates(m_state, *restored);
  m_state = *std::move(restored);
  m_recent.clear();
  m_recent_bytes = 0;
  AnswerLostFlights();
  for (const Effect& effect : effects) SendEffect(effect, nullptr);
  Restart(m_reader, 0);
  m_reader.m_phase = ReadPhase::kFollow;
}

void JournalCore::Follow(const schema::LogBatch& batch, Instant sent_at) {
  for (const schema::LogEntry& entry : batch.entries()) {
    if (!ApplyEntry(entry)) break;
  }
  const Instant now = m_host.m_clock();
  if (m_state.m_next_offset < batch.next_offset()) return;
  if (!batch.entries().empty()) m_next_read = now + kReadSpacing;
  // The log was at this end at some time after the read was sent.
  m_confirmed = std::max(m_confirmed, sent_at);
  m_caught_up = true;
  SendStatus(now);
}

// Returns false if the entry lies beyond the next offset.
bool JournalCore::ApplyEntry(const schema::LogEntry& entry) {
  if (entry.offset() < m_state.m_next_offset) return true;
  if (entry.offset() > m_state.m_next_offset) return false;
  CacheEntry(entry);
  const std::optional<RecordBatch> batch = ParseBatch(entry.body());
  if (!batch) {
    LOG(ERROR) << "log offset " << entry.offset() << " holds no record batch";
    SkipOffset(m_state, entry.offset());
    return true;
  }
  const std::vector<Effect> effects =
      ApplyBatch(m_state, entry.offset(), *batch, m_host.m_clock());
  std::optional<Flight> own;
  if (batch->m_writer == m_options.m_self) {
    own = TakeRead(m_batcher, batch->m_sequence);
  }
  for (const Effect& effect : effects) {
    SendEffect(effect, own ? &*own : nullptr);
  }
  if (own && effects.empty()) {
    LOG(ERROR) << "another process with a higher incarnation writes as "
               << m_options.m_self.m_name;
    AnswerRemaining(*own, Verdict::kStale);
  }
  return true;
}

void JournalCore::CacheEntry(const schema::LogEntry& entry) {
  m_recent.push_back(entry);
  m_recent_bytes += entry.body().size();
  while (m_recent_bytes > kRecentBytes && m_recent.size() > 1) {
    m_recent_bytes -= m_recent.front().body().size();
    m_recent.pop_front();
  }
}

// After a restore the fates of batches that the snapshot covers are lost.
void JournalCore::AnswerLostFlights() {
  const auto mark = m_state.m_writers.find(m_options.m_self.m_name);
  if (mark == m_state.m_writers.end() ||
      mark->second.m_incarnation != m_options.m_self.m_incarnation) {
    return;
  }
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, flight] : m_batcher.m_stored) {
    sequences.push_back(sequence);
  }
  if (m_batcher.m_open) sequences.push_back(m_batcher.m_open->m_sequence);
  for (const std::uint64_t sequence : sequences) {
    if (sequence > mark->second.m_sequence) continue;
    AnswerRemaining(*TakeRead(m_batcher, sequence), Verdict::kUnknown);
  }
}

void JournalCore::AnswerRemaining(const Flight& flight, Verdict verdict) {
  for (const Submission& submission : flight.m_submissions) {
    if (submission.m_answered) continue;
    SendVerdict(submission.m_sender, MakeVerdict(submission.m_ticket, verdict));
  }
}

}  // namespace comfreypaddle
