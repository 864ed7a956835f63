#include "common_logserver.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "records.pb.h"

namespace comfreypaddle::standins {

namespace {

constexpr std::string_view kPrefix = "/log/v1/streams/";

constexpr std::uint64_t kDefaultMaxEntries = 1000;

// Upper limit of wait_ms in a read.
constexpr std::uint64_t kMaxWaitMs = 60'000;

// A batch ends with the entry that reaches this size.
constexpr std::size_t kMaxReadBytes = 4U << 20U;

}  // namespace

LogServer::LogServer(EventLoop& loop, ResponsePort& port, LogModel log)
    : m_loop(loop), m_port(port), m_log(std::move(log)) {}

void LogServer::Handle(HttpRequest request) {
  if (m_outage == OutageMode::kHang) return;
  if (m_outage == OutageMode::kRefuse) {
    m_stats.set_appends_refused(m_stats.appends_refused() + 1);
    RespondProblem(m_port, request.m_id, 503, "log_outage", Outcome::kNotRun,
                   "The log is unavailable.");
    return;
  }
  const std::string_view path =
      std::string_view(request.m_path).substr(kPrefix.size());
  const std::size_t slash = path.rfind('/');
  const std::string stream(path.substr(0, slash));
  const std::string_view verb =
      slash == std::string_view::npos ? "" : path.substr(slash + 1);
  if (verb == "append" && request.m_method == "POST") {
    HandleAppend(request.m_id, stream, std::move(request.m_body));
  } else if (verb == "records" && request.m_method == "GET") {
    HandleRead(request, stream);
  } else {
    RespondProblem(m_port, request.m_id, 404, "not_found", Outcome::kNotRun,
                   "The log has no resource at this path.");
  }
}

void LogServer::HandleAppend(std::uint64_t id, const std::string& stream,
                             std::string body) {
  RunAfter(m_effect_delay,
           [this, id, stream, bytes = std::move(body)]() mutable {
             ApplyAppend(id, stream, std::move(bytes));
           });
}

void LogServer::ApplyAppend(std::uint64_t id, const std::string& stream,
                            std::string body) {
  const std::uint64_t offset = Append(m_log, stream, std::move(body), Now());
  if (offset == 0) {
    m_stats.set_appends_limited(m_stats.appends_limited() + 1);
    RespondProblem(m_port, id, 429, "rate_limited", Outcome::kNotRun,
                   "The append rate limit of the log is exceeded.");
    return;
  }
  m_stats.set_appends(m_stats.appends() + 1);
  const bool lost = m_lose_answers > 0;
  if (lost) {
    --m_lose_answers;
    m_stats.set_answers_lost(m_stats.answers_lost() + 1);
  }
  RunAfter(m_answer_delay, [this, id, offset, lost] {
    if (lost) {
      m_port.Abort(id);
    } else {
      m_port.Respond(id, 200, {{"Content-Type", "application/json"}},
                     "{\"offset\":" + std::to_string(offset) + "}");
    }
  });
  WakeReaders(stream);
}

void LogServer::HandleRead(const HttpRequest& request,
                           const std::string& stream) {
  const std::uint64_t from = NumberField(request.m_query, "from", 1);
  const std::uint64_t max = std::max<std::uint64_t>(
      1, NumberField(request.m_query, "max", kDefaultMaxEntries));
  const std::uint64_t wait_ms =
      std::min(kMaxWaitMs, NumberField(request.m_query, "wait_ms", 0));
  LogStream& found = FindStream(m_log, stream);
  ApplyRetention(m_log, found, Now());
  if (wait_ms == 0 || from < NextOffset(found)) {
    SendReadResponse(request.m_id, stream, from, max);
    return;
  }
  const std::uint64_t id = request.m_id;
  const auto timer =
      m_loop.StartTimer(std::chrono::milliseconds(wait_ms), [this, id] {
        const auto waiter = m_pending_reads.extract(id);
        if (waiter.empty()) return;
        SendReadResponse(id, waiter.mapped().m_stream, waiter.mapped().m_from,
                         waiter.mapped().m_max);
      });
  m_pending_reads[id] = {stream, from, max, timer};
}

void LogServer::SendReadResponse(std::uint64_t id, const std::string& stream,
                                 std::uint64_t from, std::uint64_t max) {
  const Instant now = Now();
  LogStream& found = FindStream(m_log, stream);
  ApplyRetention(m_log, found, now);
  m_stats.set_reads(m_stats.reads() + 1);
  if (from < found.m_first) {
    m_stats.set_reads_gone(m_stats.reads_gone() + 1);
    const std::string body =
        "{\"first_retained\":" + std::to_string(found.m_first) + "}";
    RunAfter(m_answer_delay, [this, id, body] {
      m_port.Respond(id, 410, {{"Content-Type", "application/json"}}, body);
    });
    return;
  }
  schema::LogBatch batch;
  batch.set_first_retained(found.m_first);
  batch.set_next_offset(NextOffset(found));
  std::size_t bytes = 0;
  const std::uint64_t end = std::min(NextOffset(found), from + max);
  for (std::uint64_t offset = from; offset < end && bytes < kMaxReadBytes;
       ++offset) {
    const LogModelEntry& source = found.m_entries[offset - found.m_first];
    schema::LogEntry* entry = batch.add_entries();
    entry->set_offset(offset);
    entry->set_body(source.m_body);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - source.m_appended);
    entry->set_age_ms(static_cast<std::uint64_t>(age.count()));
    bytes += source.m_body.size();
  }
  RunAfter(m_answer_delay, [this, id, body = batch.SerializeAsString()] {
    m_port.Respond(id, 200, {{"Content-Type", "application/x-protobuf"}}, body);
  });
}

void LogServer::WakeReaders(const std::string& stream) {
  const std::uint64_t next = NextOffset(FindStream(m_log, stream));
  for (auto it = m_pending_reads.begin(); it != m_pending_reads.end();) {
    const auto current = it++;
    if (current->second.m_stream != stream || current->second.m_from >= next) {
      continue;
    }
    const auto waiter = m_pending_reads.extract(current);
    m_loop.CancelTimer(waiter.mapped().m_timer);
    SendReadResponse(waiter.key(), stream, waiter.mapped().m_from,
                     waiter.mapped().m_max);
  }
}

void LogServer::HandleDisconnect(std::uint64_t id) {
  const auto waiter = m_pending_reads.extract(id);
  if (!waiter.empty()) m_loop.CancelTimer(waiter.mapped().m_timer);
}

// Ends all pending reads at the start of an outage: they get a 503 response in
// refuse mode and no response in hang mode.
void LogServer::EndPendingReads() {
  for (const auto& [id, waiter] : std::exchange(m_pending_reads, {})) {
    m_loop.CancelTimer(waiter.m_timer);
    if (m_outage == OutageMode::kRefuse) {
      RespondProblem(m_port, id, 503, "log_outage", Outcome::kNotRun,
                     "The log is unavailable.");
    }
  }
}

bool LogServer::Apply(const schema::PlatformFaults& faults) {
  if (faults.has_log_outage()) {
    const auto mode = FromName<OutageMode>(faults.log_outage());
    if (!mode) return false;
    m_outage = *mode;
    if (m_outage != OutageMode::kNone) EndPendingReads();
  }
  if (faults.has_lose_append_answers()) {
    m_lose_answers = faults.lose_append_answers();
  }
  if (faults.has_log_answer_delay_ms()) {
    m_answer_delay = std::chrono::milliseconds(faults.log_answer_delay_ms());
  }
  if (faults.has_log_effect_delay_ms()) {
    m_effect_delay = std::chrono::milliseconds(faults.log_effect_delay_ms());
  }
  if (faults.has_append_rate()) {
    m_log.m_appends.m_rate = faults.append_rate();
  }
  if (faults.has_retain_records()) {
    m_log.m_retain_records = faults.retain_records();
  }
  if (faults.has_retain_ms()) {
    m_log.m_retain_time = std::chrono::milliseconds(faults.retain_ms());
  }
  return true;
}

void LogServer::AddStats(schema::PlatformStats* stats) const {
  stats->MergeFrom(m_stats);
  for (const auto& [name, stream] : m_log.m_streams) {
    schema::LogStreamStats* row = stats->add_streams();
    row->set_name(name);
    row->set_first_retained(stream.m_first);
    row->set_next_offset(NextOffset(stream));
    row->set_bytes(stream.m_bytes);
  }
}

void LogServer::RunAfter(Duration delay, EventLoop::Callback action) {
  if (delay.count() <= 0) {
    action();
  } else {
    m_loop.StartTimer(delay, std::move(action));
  }
}

}  // namespace comfreypaddle::standins
