#include "common_engineserver.h"

#include <glog/logging.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "json.h"
#include "sse.h"

namespace comfreypaddle::standins {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

constexpr Duration kHeartbeatCheckInterval = std::chrono::milliseconds(100);

constexpr Duration kLoadSampleInterval = std::chrono::milliseconds(50);

constexpr std::string_view kStreamsPrefix = "/v1/streams/";

constexpr std::string_view kOrdersPath = "/v1/orders";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

int RefusalStatus(SubmitResult result) {
  return result == SubmitResult::kInvalid || result == SubmitResult::kTooLarge
             ? 400
             : 503;
}

}  // namespace

EngineServer::EngineServer(EventLoop& loop, ResponsePort& port,
                           EngineModel model, EngineOrders orders,
                           EngineServerOptions options, OnExit on_exit)
    : m_loop(loop),
      m_port(port),
      m_model(std::move(model)),
      m_orders(std::move(orders)),
      m_options(std::move(options)),
      m_on_exit(std::move(on_exit)),
      m_started(Now()),
      m_heartbeat(loop, kHeartbeatCheckInterval, [this] { SendHeartbeats(); }),
      m_load_timer(loop, kLoadSampleInterval, [this] { RecordLoad(); }) {
  m_incarnation = std::to_string(getpid()) + "-" +
                  std::to_string(m_started.time_since_epoch().count());
}

// /faults and /stats respond even on connections under the silence fault.
void EngineServer::Handle(const HttpRequest& request) {
  if (request.m_path == "/faults" && request.m_method == "POST") {
    HandleFaults(request);
    return;
  }
  if (request.m_path == "/stats") {
    HandleStats(request.m_id);
    return;
  }
  if (Contains(request, m_options.m_forbidden_secret)) {
    m_stats.set_secret_seen(m_stats.secret_seen() + 1);
    LOG(ERROR) << "request contains the forbidden secret: " << request.m_path;
  }
  m_highest_connection = std::max(m_highest_connection, request.m_connection);
  if (request.m_connection > m_silent_connection) Route(request);
}

void EngineServer::Route(const HttpRequest& request) {
  const std::string_view path = request.m_path;
  const bool post = request.m_method == "POST";
  if (path == "/v1/generate" && post) {
    HandleGenerate(request);
  } else if (path == "/v1/load") {
    HandleLoad(request.m_id);
  } else if (StartsWith(path, kStreamsPrefix)) {
    RouteStream(request);
  } else if (path == kOrdersPath && post) {
    HandleOrder(request);
  } else if (StartsWith(path, kOrdersPath)) {
    HandleOrderStatus(request);
  } else if (path == "/v1/cache_events") {
    HandleCacheEvents(request);
  } else if ((path == "/v1/kv/export" || path == "/v1/kv/import") && post) {
    HandleKvTransfer(request);
  } else {
    Refuse(request.m_id, 404, "not_found", Outcome::kNotRun);
  }
}

void EngineServer::RouteStream(const HttpRequest& request) {
  constexpr std::string_view kResume = "/resume";
  std::string stream = request.m_path.substr(kStreamsPrefix.size());
  const bool resume = stream.size() > kResume.size() &&
                      stream.compare(stream.size() - kResume.size(),
                                     kResume.size(), kResume) == 0;
  if (resume && request.m_method == "POST") {
    stream.resize(stream.size() - kResume.size());
    HandleResume(request, stream);
  } else if (request.m_method == "DELETE") {
    HandleCancel(request, stream);
  } else {
    Refuse(request.m_id, 405, "method_not_allowed", Outcome::kNotRun);
  }
}

void EngineServer::HandleGenerate(const HttpRequest& request) {
  schema::GenerateRequest generate;
  if (const auto mistake =
          FromJson(request.m_body, UnknownFields::kIgnore, &generate)) {
    LOG(WARNING) << "invalid request: " << *mistake;
    Refuse(request.m_id, 400, "invalid_request", Outcome::kNotRun);
    return;
  }
  if (m_faults.refuse()) {
    Refuse(request.m_id, 503, "refused", Outcome::kNotRun);
    return;
  }
  const std::string& stream_id = generate.request_id();
  const SubmitResult result = Submit(m_model, generate, Now());
  if (result != SubmitResult::kAccepted) {
    Refuse(request.m_id, RefusalStatus(result), ToName(result),
           Outcome::kNotRun);
    return;
  }
  if (schema::EngineRequestSeen* seen = Record(stream_id)) {
    seen->set_starts(seen->starts() + 1);
  }
  Detach(stream_id);
  EngineStream& stream = *FindStream(m_model, stream_id);
  if (m_faults.lose_answers() > 0) {
    m_faults.set_lose_answers(m_faults.lose_answers() - 1);
    m_port.Abort(request.m_id);
  } else {
    Attach(stream, request, generate.from_position());
  }
  ScheduleStep();
}

void EngineServer::HandleResume(const HttpRequest& request,
                                const std::string& stream_id) {
  EngineStream* stream = FindStream(m_model, stream_id);
  if (stream == nullptr) {
    Refuse(request.m_id, 404, "unknown_stream", Outcome::kUnknown);
    return;
  }
  if (schema::EngineRequestSeen* seen = Record(stream_id)) {
    seen->set_resumes(seen->resumes() + 1);
  }
  Detach(stream_id);
  const std::uint64_t from = NumberField(request.m_query, "from", 0);
  Attach(*stream, request, static_cast<std::uint32_t>(from));
  Send(*stream);
}

void EngineServer::HandleCancel(const HttpRequest& request,
                                const std::string& stream_id) {
  if (!CancelStream(m_model, stream_id, Now())) {
    Refuse(request.m_id, 404, "unknown_stream", Outcome::kUnknown);
    return;
  }
  if (schema::EngineRequestSeen* seen = Record(stream_id)) {
    seen->set_cancelled(true);
  }
  Detach(stream_id);
  m_port.Respond(request.m_id, 200, {}, "");
}

// Attaches the stream to the connection of the request.
void EngineServer::Attach(EngineStream& stream, const HttpRequest& request,
                          std::uint32_t from) {
  Attachment& attachment = m_attachments[stream.m_request_id];
  attachment.m_caller = request.m_id;
  attachment.m_connection = request.m_connection;
  attachment.m_sent = from;
  attachment.m_last_write = Now();
  m_stream_of_caller[request.m_id] = stream.m_request_id;
  stream.m_attached = true;
  m_port.StartStream(
      request.m_id, 200,
      {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
}

// Detaches the stream and closes its connection. A connection under the
// silence fault stays open and receives no further data.
void EngineServer::Detach(const std::string& stream_id) {
  const auto found = m_attachments.find(stream_id);
  if (found == m_attachments.end()) return;
  const Attachment attachment = found->second;
  m_attachments.erase(found);
  m_stream_of_caller.erase(attachment.m_caller);
  if (EngineStream* stream = FindStream(m_model, stream_id)) {
    stream->m_attached = false;
    stream->m_detached_at = Now();
  }
  if (!IsSilent(attachment)) m_port.Abort(attachment.m_caller);
}

void EngineServer::HandleDisconnect(std::uint64_t id) {
  const auto found = m_stream_of_caller.find(id);
  if (found == m_stream_of_caller.end()) return;
  const std::string stream_id = found->second;
  Detach(stream_id);
}

bool EngineServer::IsSilent(const Attachment& attachment) const {
  return attachment.m_connection <= m_silent_connection;
}

void EngineServer::ScheduleStep() {
  if (m_step_scheduled || !HasWork(m_model)) return;
  const Instant now = Now();
  const Duration step = std::chrono::duration_cast<Duration>(
      m_model.m_settings.m_step * m_model.m_slow_factor);
  // Idle time does not count as prefill time. While there is work, steps keep
  // a fixed period.
  if (std::exchange(m_idle, false)) m_last_step = now;
  m_step_due = std::max(m_step_due + step, now);
  m_step_scheduled = true;
  m_loop.StartTimer(m_step_due - now, [this] {
    m_step_scheduled = false;
    RunStep();
  });
}

void EngineServer::RunStep() {
  const Instant now = Now();
  const std::vector<EngineStream*> changed =
      Step(m_model, now - m_last_step, now);
  m_last_step = now;
  for (EngineStream* stream : changed) {
    if (stream->m_crashes) {
      LOG(ERROR) << "simulating a crash: request " << stream->m_request_id
                 << " contains the crash marker";
      m_on_exit(kAbortStatus);
      return;
    }
    Send(*stream);
    if (stream->m_phase == StreamPhase::kFinished) RecordEnd(*stream);
  }
  m_idle = !HasWork(m_model);
  if (m_orders.m_stop && m_idle) m_on_exit(0);
  ScheduleStep();
}

// Sends the pending tokens to the attached caller, and the final event once
// the stream has finished.
void EngineServer::Send(EngineStream& stream) {
  const auto found = m_attachments.find(stream.m_request_id);
  if (found == m_attachments.end()) return;
  Attachment& attachment = found->second;
  if (IsSilent(attachment)) return;
  m_buffer.clear();
  bool dropped = false;
  while (attachment.m_sent < stream.m_position && !dropped) {
    AppendToken(stream, attachment, ++attachment.m_sent);
    dropped = ShouldDrop(attachment);
  }
  const bool finished = stream.m_phase == StreamPhase::kFinished && !dropped;
  if (finished) {
    schema::GenerateDone done;
    done.set_prompt_tokens(stream.m_prompt_tokens);
    done.set_cached_tokens(stream.m_cached_tokens);
    done.set_output_tokens(stream.m_position);
    done.set_finish_reason("length");
    m_buffer += FormatSseEvent("done", 0, ToJson(done));
  }
  const std::uint64_t caller = attachment.m_caller;
  if (!m_buffer.empty()) {
    attachment.m_last_write = m_last_step;
    m_port.Write(caller, m_buffer);
  }
  if (dropped) {
    Detach(stream.m_request_id);
  } else if (finished) {
    m_port.FinishStream(caller);
    m_stream_of_caller.erase(caller);
    m_attachments.erase(found);
    stream.m_attached = false;
  }
}

// Appends the event of a token to the buffer. Applies the faults that
// duplicate and reorder tokens.
void EngineServer::AppendToken(const EngineStream& stream,
                               Attachment& attachment, std::uint32_t position) {
  ++attachment.m_written;
  const auto append = [this, &stream](std::uint32_t which) {
    m_buffer.append("id: ").append(std::to_string(which));
    m_buffer.append("\ndata: {\"token\":\"");
    m_buffer.append(TokenText(stream.m_prompt_hash, which));
    m_buffer.append("\"}\n\n");
  };
  const std::uint32_t reorder = m_faults.reorder_every();
  if (reorder != 0 && position % reorder == 0 &&
      attachment.m_delayed_position == 0 && position < stream.m_max_tokens) {
    attachment.m_delayed_position = position;
    return;
  }
  append(position);
  if (attachment.m_delayed_position != 0)
    append(std::exchange(attachment.m_delayed_position, 0));
  const std::uint32_t duplicate = m_faults.duplicate_every();
  if (duplicate != 0 && position % duplicate == 0) append(position);
}

bool EngineServer::ShouldDrop(const Attachment& attachment) {
  const std::uint32_t limit = m_faults.drop_after_tokens();
  if (limit == 0 || attachment.m_written < limit) return false;
  const std::uint32_t streams = m_faults.drop_streams();
  if (streams != 0 && m_dropped >= streams) return false;
  ++m_dropped;
  return true;
}

void EngineServer::SendHeartbeats() {
  const Instant now = Now();
  for (auto& [stream_id, attachment] : m_attachments) {
    if (IsSilent(attachment) ||
        now - attachment.m_last_write < kHeartbeatInterval) {
      continue;
    }
    attachment.m_last_write = now;
    m_port.Write(attachment.m_caller, ": heartbeat\n\n");
  }
  RemoveExpiredStreams(m_model, now);
  if (m_orders.m_stop && !HasWork(m_model)) m_on_exit(0);
}

}  // namespace comfreypaddle::standins
