#include "listener.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "problem.h"

namespace comfreypaddle {

namespace {

// Idle timeout of persistent connections.
constexpr Duration kKeepAliveTimeout = std::chrono::seconds(75);

constexpr Duration kTurnedAwayLogPeriod = std::chrono::seconds(1);

// Bytes that may be written to all streams between two checks of what their
// callers have not read. The check visits each stream.
constexpr std::size_t kCheckBytes = 64U << 10U;

constexpr Duration kStallCheckPeriod = std::chrono::seconds(1);

// Maximum number of unread bytes of one stream.
constexpr std::size_t kMaxUnreadBytes = 16U << 20U;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

// Problem of a request that was rejected with this status before it was passed
// on.
ProblemCode CodeOfRejection(int status) {
  for (const ProblemCode code :
       {ProblemCode::kSlowRequest, ProblemCode::kBodyTooLarge,
        ProblemCode::kTooLarge, ProblemCode::kMemoryFull}) {
    if (StatusOf(code) == status) return code;
  }
  return ProblemCode::kBadRequest;
}

RejectionBody DescribeRejection(int status) {
  ProblemResponse problem = MakeProblem({.m_code = CodeOfRejection(status)});
  return {"application/problem+json", std::move(problem.m_body)};
}

}  // namespace

Listener::Listener(EventLoop& loop, ListenerOptions options,
                   OnRequest on_request, OnDisconnect on_disconnect)
    : m_loop(loop),
      m_sockets(loop),
      m_options(std::move(options)),
      m_on_request(std::move(on_request)),
      m_on_disconnect(std::move(on_disconnect)),
      m_server(m_sockets, MakeEvents()) {
  RequestLimits limits;
  limits.m_head_bytes = m_options.m_max_head_bytes;
  limits.m_body_bytes = m_options.m_max_body_bytes;
  limits.m_head_time = m_options.m_request_timeout;
  limits.m_body_time = m_options.m_request_timeout;
  limits.m_idle_time = kKeepAliveTimeout;
  m_server.SetLimits(limits);
  m_server.SetMemoryLimits({m_options.m_request_bytes,
                            m_options.m_max_connections,
                            m_options.m_body_copies});
}

Listener::~Listener() {
  if (m_report_timer != 0) m_loop.CancelTimer(m_report_timer);
}

std::error_code Listener::Open() {
  m_stall_check = std::make_unique<PeriodicTimer>(m_loop, kStallCheckPeriod,
                                                  [this] { CutOffStalled(); });
  return m_server.Listen(m_options.m_address, m_options.m_port);
}

HttpServerEvents Listener::MakeEvents() {
  HttpServerEvents events;
  events.m_on_request = [this](HttpRequest request) {
    DecodeTarget(request);
    for (HttpField& field : request.m_headers) {
      field.m_name = ToLower(field.m_name);
    }
    m_on_request(std::move(request));
  };
  events.m_on_disconnect = [this](std::uint64_t id) {
    m_streams.erase(id);
    m_on_disconnect(id);
  };
  events.m_on_rejected = [this](int status, ParseError error) {
    VLOG(1) << "request rejected listener=" << m_options.m_address << ":"
            << m_options.m_port << " status=" << status
            << " error=" << ToName(error);
  };
  events.m_on_turned_away = [this](TurnedAway reason) {
    LogTurnedAway(reason);
  };
  events.m_describe_rejection = DescribeRejection;
  return events;
}

void Listener::Respond(std::uint64_t id, int status, HttpFields headers,
                       std::string body) {
  m_server.Respond(id, status, std::move(headers), std::move(body));
}

void Listener::StartStream(std::uint64_t id, int status, HttpFields headers) {
  m_streams[id].m_last_read = Now();
  m_server.StartStream(id, status, std::move(headers));
}

void Listener::Write(std::uint64_t id, std::string_view bytes) {
  const auto stream = m_streams.find(id);
  if (stream == m_streams.end()) return;
  m_server.Write(id, bytes);
  stream->second.m_written += bytes.size();
  m_unchecked_bytes += bytes.size();
  if (m_unchecked_bytes >= kCheckBytes) LimitUnread();
}

void Listener::FinishStream(std::uint64_t id) {
  if (m_streams.erase(id) != 0) m_server.FinishStream(id);
}

void Listener::Abort(std::uint64_t id) {
  m_streams.erase(id);
  m_server.Abort(id);
}

// Endpoints may send faster than callers read. Cuts off the caller that has
// left the most unread if it or all of them have left too much.
void Listener::LimitUnread() {
  m_unchecked_bytes = 0;
  std::uint64_t slowest = 0;
  std::size_t most = 0;
  std::size_t sum = 0;
  for (const auto& [id, stream] : m_streams) {
    const std::size_t unread = m_server.UnsentBytes(id);
    sum += unread;
    if (unread <= most) continue;
    most = unread;
    slowest = id;
  }
  if (most > kMaxUnreadBytes || sum > m_options.m_unread_bytes) CutOff(slowest);
}

// A caller that reads nothing would keep its stream, and its place among the
// connections, for as long as the owner writes.
void Listener::CutOffStalled() {
  const Instant now = Now();
  std::vector<std::uint64_t> stalled;
  for (auto& [id, stream] : m_streams) {
    const std::size_t unread = m_server.UnsentBytes(id);
    const auto read = static_cast<std::int64_t>(stream.m_written) -
                      static_cast<std::int64_t>(unread);
    if (unread == 0 || read > stream.m_read) {
      stream.m_read = read;
      stream.m_last_read = now;
    } else if (now - stream.m_last_read > m_options.m_unread_timeout) {
      stalled.push_back(id);
    }
  }
  for (const std::uint64_t id : stalled) CutOff(id);
}

// The owner may be writing to the stream, so it is told later.
void Listener::CutOff(std::uint64_t id) {
  LOG(WARNING) << "closing a connection whose caller reads its response too "
                  "slowly request="
               << id << " unread_bytes=" << m_server.UnsentBytes(id);
  Abort(id);
  m_cut_off.push_back(id);
  if (m_report_timer != 0) return;
  m_report_timer = m_loop.StartTimer(Duration(0), [this] { ReportCutOff(); });
}

void Listener::ReportCutOff() {
  m_report_timer = 0;
  for (const std::uint64_t id : std::exchange(m_cut_off, {})) {
    m_on_disconnect(id);
  }
}

// A crowd is turned away often; the line gives the sums since the start.
void Listener::LogTurnedAway(TurnedAway reason) {
  const Instant now = Now();
  if (now - m_turned_away_logged < kTurnedAwayLogPeriod) return;
  m_turned_away_logged = now;
  const RequestMemory& memory = m_server.Memory();
  LOG(WARNING) << "callers turned away listener=" << m_options.m_address << ":"
               << m_options.m_port << " reason=" << ToName(reason)
               << " total=" << memory.m_turned_away.at(reason)
               << " held_bytes=" << memory.m_held_bytes
               << " limit_bytes=" << memory.m_limits.m_bytes
               << " connections=" << m_server.Connections()
               << " connection_limit=" << memory.m_connection_limit;
}

}  // namespace comfreypaddle
