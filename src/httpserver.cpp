#include "httpserver.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>
#include <vector>

#include "freestring.h"

namespace comfreypaddle {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;

// Interval between the checks for idle and slow callers.
constexpr Duration kExpiryCheckPeriod = std::chrono::milliseconds(250);

// Lingering close: how long a connection waits for the caller to close after
// its last response. Closing with unread input sends a reset, which can discard
// the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

// Time for which a new connection may wait for its first request before it
// counts as idle.
constexpr Duration kFirstRequestTime = std::chrono::milliseconds(250);

// Size of pipelined input from which no more is read while a request is open,
// and maximum number of bytes read at once meanwhile.
constexpr std::size_t kMaxPipelinedBytes = 4U << 10U;

// Memory of a connection itself, bytes.
constexpr std::size_t kConnectionBytes = 2U << 10U;

// Copies of a head in memory: as received and as parsed.
constexpr std::size_t kHeadCopies = 2;

// Pause that a caller is told whose request does not fit into the memory.
constexpr const char* kRetryAfterSeconds = "1";

// Maximum number of connections that are checked for unread input before one is
// closed; each check takes a system call.
constexpr int kMaxChoices = 8;

// Maximum number of connections accepted per event.
constexpr int kAcceptBatch = 32;

std::string FormatHead(int status, const HttpFields& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     StatusReason(status) + "\r\n";
  for (const HttpField& field : headers) {
    text += field.m_name;
    text += ": ";
    text += field.m_value;
    text += "\r\n";
  }
  return text;
}

// Responses with status 204 and 304 have no body (RFC 9110, section 6.4.1).
bool HasBody(int status) { return status != 204 && status != 304; }

// Whether a socket call failed because this machine has none left.
bool IsOutOfResources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM;
}

int ToStatus(ParseError error) {
  switch (error) {
    case ParseError::kHeadTooLarge:
      return 431;
    case ParseError::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

// Connection of a caller, with at most one open request.
class HttpServer::Connection : public ChannelOwner, public HttpMessageHandler {
 public:
  Connection(HttpServer& server, std::uint64_t id, int descriptor)
      : m_server(server),
        m_id(id),
        m_parser(HttpMessageKind::kRequest, Limits(), *this),
        m_last_activity(Now()),
        m_waits_since(m_last_activity),
        m_channel(server.m_sockets, descriptor, Channel::State::kOpen, *this) {}

  ~Connection() override {
    if (m_request != 0) m_server.m_requests.erase(m_request);
    UpdateHeld(m_server.m_memory, m_held_bytes, 0);
  }

  void OnConnected(Channel& /*channel*/) override {}
  void OnDrained(Channel& /*channel*/) override {}

  void OnBytes(Channel& /*channel*/, std::string_view bytes) override {
    if (m_lingering) return;
    m_last_activity = Now();
    m_input.append(bytes);
    if (m_request == 0) {
      ParseInput();
      return;
    }
    if (m_input.size() >= kMaxPipelinedBytes) m_channel.SetReading(false);
    UpdateHeldBytes();
  }

  void OnEnd(Channel& /*channel*/, ChannelEnd /*end*/) override {
    const std::uint64_t request = m_request;
    HttpServer& server = m_server;
    server.CloseConnection(m_id);
    if (request != 0) server.m_events.m_on_disconnect(request);
  }

  void OnHead(HttpHead head) override {
    m_head = std::move(head);
    m_head_done = true;
    const std::string* expect = FindFieldIgnoreCase(m_head.m_fields, "Expect");
    if (expect != nullptr && EqualsIgnoreCase(*expect, "100-continue")) {
      m_channel.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void OnBody(std::string_view bytes) override { m_body.append(bytes); }

  // Sends a complete response and continues with the next request.
  void Respond(int status, const HttpFields& headers, std::string_view body) {
    const bool persistent = ShouldKeepAlive();
    std::string text = FormatHead(status, headers);
    if (HasBody(status)) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!persistent) text += "Connection: close\r\n";
    text += "\r\n";
    if (m_head.m_method != "HEAD") text += body;
    m_channel.Write(text);
    EndRequest(persistent);
  }

  void StartStream(int status, const HttpFields& headers) {
    m_bodyless = m_head.m_method == "HEAD" || !HasBody(status);
    m_chunked = !m_bodyless && m_head.m_version == 11;
    m_persistent = (m_chunked || m_bodyless) && ShouldKeepAlive();
    std::string text = FormatHead(status, headers);
    if (m_chunked) text += "Transfer-Encoding: chunked\r\n";
    if (!m_persistent) text += "Connection: close\r\n";
    text += "\r\n";
    m_channel.Write(text);
  }

  void WriteStream(std::string_view bytes) {
    if (bytes.empty() || m_bodyless) return;
    if (!m_chunked) {
      m_channel.Write(bytes);
      return;
    }
    std::array<char, 20> size;
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string text(size.data(), end.ptr);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    m_channel.Write(text);
  }

  void FinishStream() {
    if (m_chunked) m_channel.Write("0\r\n\r\n");
    EndRequest(m_persistent);
  }

  // Makes the close of the connection send a reset.
  void PrepareAbort() { m_channel.ResetOnClose(); }

  // Returns whether the connection must be closed. Rejects a request that takes
  // too long to arrive.
  bool IsExpired(Instant now) {
    UpdateHeldBytes();
    if (m_request != 0) return false;
    if (UnsentBytes() > 0) return IsWriteStalled(now);
    if (m_lingering) return now > m_linger_deadline;
    if (!m_parser.Started())
      return now - m_last_activity > m_server.m_limits.m_idle_time;
    const bool slow_head =
        !m_head_done && now - m_request_start > m_server.m_limits.m_head_time;
    if (slow_head || now - m_last_activity > m_server.m_limits.m_idle_time) {
      Reject(kRequestTimeout, ParseError::kNone);
    } else if (m_head_done &&
               now - m_request_start >
                   BodyTime(m_server.m_limits.m_body_time, m_body.size())) {
      Reject(kRequestTimeout, ParseError::kNone);
      m_server.CountTurnedAway(TurnedAway::kSlowBody);
    }
    return false;
  }

  RequestHolder Holder(Instant now) const {
    RequestHolder holder;
    holder.m_connection = m_id;
    holder.m_runs = m_request != 0;
    holder.m_is_new = m_is_new && now - m_waits_since >= kFirstRequestTime;
    holder.m_bytes = m_held_bytes;
    Instant since = m_parser.Started() ? m_request_start : m_waits_since;
    // A caller that reads its response slowly is not cut off for that.
    if (m_request == 0 && UnsentBytes() > 0) since = m_last_activity;
    holder.m_waits = now - since;
    return holder;
  }

  // Rejects the request that arrives, which is then not run. Returns false if
  // none arrives; the connection is to be closed then.
  bool RejectForMemory() {
    if (m_lingering || !m_parser.Started()) return false;
    SendRejection(kUnavailable, {{"Retry-After", kRetryAfterSeconds}});
    return true;
  }

  // Adds what this connection holds to the sum of the server.
  void UpdateHeldBytes() {
    std::size_t bytes = kConnectionBytes + kHeadCopies * m_head_bytes +
                        m_input.size() + m_running_bytes;
    bytes += (m_parser.IsDone() ? BodyCopies() : 1) * m_body.size();
    // The responses to open requests are bounded by their owner.
    if (m_request == 0) bytes += UnsentBytes();
    UpdateHeld(m_server.m_memory, m_held_bytes, bytes);
    m_held_bytes = bytes;
  }

  std::size_t HeldBytes() const { return m_held_bytes; }
  bool IsLingering() const { return m_lingering; }
  bool HasUnreadInput() const { return m_channel.HasUnreadInput(); }

  // Whether closing the connection now loses no request that the caller has
  // sent, as far as this side can know.
  bool IsIdle(Instant now) const {
    if (m_request != 0 || m_parser.Started() || !m_input.empty()) return false;
    if (UnsentBytes() > 0) return false;
    if (m_is_new && now - m_last_activity < kFirstRequestTime) return false;
    return !m_channel.HasUnreadInput();
  }
  // Whether a request is open or arrives, or a response is not sent in full.
  bool IsBusy() const {
    if (m_request != 0 || UnsentBytes() > 0) return true;
    return !m_lingering && (m_parser.Started() || !m_input.empty());
  }
  std::uint64_t Id() const { return m_id; }
  std::size_t UnsentBytes() const { return m_channel.Pending(); }

 private:
  std::size_t BodyCopies() const {
    return m_server.m_memory.m_limits.m_body_copies;
  }

  ParseLimits Limits() const {
    return {m_server.m_limits.m_head_bytes, m_server.m_limits.m_body_bytes};
  }

  // Returns whether the caller has read nothing of its response for the idle
  // time. The times for idle and lingering connections begin after the last
  // byte was written.
  bool IsWriteStalled(Instant now) {
    if (UnsentBytes() == m_unsent_before) {
      return now - m_last_activity > m_server.m_limits.m_idle_time;
    }
    m_unsent_before = UnsentBytes();
    m_last_activity = now;
    m_linger_deadline = now + kLingerTimeout;
    return false;
  }

  // A request that the caller has already sent behind this one is answered
  // before the connection is closed.
  bool ShouldKeepAlive() const {
    const bool closes = m_server.m_announce_close && m_input.empty();
    return m_head.m_keep_alive && !closes;
  }

  // Parses buffered input up to the end of the next request.
  void ParseInput() {
    if (m_input.empty()) return;
    if (!m_parser.Started()) m_request_start = m_last_activity;
    std::string input = std::move(m_input);
    m_input.clear();
    const bool had_head = m_head_done;
    const std::size_t body_before = m_body.size();
    const std::size_t used = m_parser.Feed(input);
    if (!had_head) m_head_bytes += used - (m_body.size() - body_before);
    if (m_parser.Error() != ParseError::kNone) {
      Reject(ToStatus(m_parser.Error()), m_parser.Error());
      return;
    }
    if (m_parser.IsDone()) m_input.assign(input, used);
    UpdateHeldBytes();
    m_server.FreeMemory(*this);
    if (m_parser.IsDone() && !m_lingering) DispatchRequest();
  }

  void DispatchRequest() {
    m_is_new = false;
    HttpRequest request;
    m_request = m_server.m_next_id++;
    m_server.m_requests[m_request] = this;
    request.m_id = m_request;
    request.m_connection = m_id;
    request.m_method = m_head.m_method;
    request.m_target = m_head.m_target;
    request.m_headers = m_head.m_fields;
    m_running_bytes = BodyCopies() * m_body.size();
    request.m_body = std::move(m_body);
    FreeString(m_body);
    m_channel.SetReadLimit(kMaxPipelinedBytes);
    if (m_input.size() >= kMaxPipelinedBytes) m_channel.SetReading(false);
    m_server.m_events.m_on_request(std::move(request));
  }

  // Rejects a request that has not been passed to the owner.
  void Reject(int status, ParseError error) {
    SendRejection(status, {});
    m_server.m_events.m_on_rejected(status, error);
  }

  // Answers a request that has not been passed to the owner, frees what it
  // holds, and discards what the caller still sends.
  void SendRejection(int status, const HttpFields& fields) {
    m_head = HttpHead();
    m_head.m_keep_alive = false;
    m_head_bytes = 0;
    FreeString(m_body);
    FreeString(m_input);
    RejectionBody body;
    if (m_server.m_events.m_describe_rejection) {
      body = m_server.m_events.m_describe_rejection(status);
    }
    std::string text = FormatHead(status, fields);
    if (!body.m_text.empty()) {
      text += "Content-Type: " + body.m_content_type + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.m_text.size()) +
            "\r\nConnection: close\r\n\r\n" + body.m_text;
    m_channel.Write(text);
    Linger();
    UpdateHeldBytes();
  }

  void EndRequest(bool persistent) {
    m_server.m_requests.erase(m_request);
    m_request = 0;
    m_last_activity = Now();
    m_waits_since = m_last_activity;
    m_head_bytes = 0;
    m_running_bytes = 0;
    if (!persistent) {
      FreeString(m_input);
      Linger();
      UpdateHeldBytes();
      return;
    }
    m_parser.Reset(Limits());
    m_head_done = false;
    m_channel.SetReadLimit(kMaxReadBytes);
    m_channel.SetReading(true);
    UpdateHeldBytes();
    if (m_input.empty()) return;
    // The next request is parsed in a later iteration of the event loop,
    // because its handler may respond immediately, which would recurse.
    m_server.m_sockets.Loop().StartTimer(
        Duration(0), [&server = m_server, id = m_id] {
          const auto found = server.m_connections.find(id);
          if (found == server.m_connections.end()) return;
          if (found->second->m_request == 0) found->second->ParseInput();
        });
  }

  void Linger() {
    m_lingering = true;
    m_linger_deadline = Now() + kLingerTimeout;
    m_channel.SetReadLimit(kMaxReadBytes);
    m_channel.FinishWriting();
    m_channel.SetReading(true);
  }

  HttpServer& m_server;
  std::uint64_t m_id;
  HttpParser m_parser;
  HttpHead m_head;
  bool m_head_done = false;
  std::string m_body;
  std::string m_input;
  std::uint64_t m_request = 0;  // Zero: no open request.
  Instant m_last_activity;      // Time of the last input or response.
  Instant m_request_start{};    // Arrival of the request's first byte.
  Instant m_linger_deadline{};
  Instant m_waits_since;            // Opened, or end of the last request.
  std::size_t m_head_bytes = 0;     // Of the current request.
  std::size_t m_running_bytes = 0;  // Bodies of the open request.
  std::size_t m_held_bytes = 0;     // As added to the sum of the server.
  std::size_t m_unsent_before = 0;  // At the last check for expiry.
  bool m_chunked = false;
  bool m_bodyless = false;  // The streamed response has no body.
  bool m_persistent = false;
  bool m_lingering = false;
  bool m_is_new = true;  // No request has arrived.
  Channel m_channel;
};

HttpServer::HttpServer(SocketSet& sockets, HttpServerEvents events)
    : m_sockets(sockets), m_events(std::move(events)) {}

HttpServer::~HttpServer() {
  m_expiry_check.reset();
  CloseListener();
  m_connections.clear();
}

std::error_code HttpServer::Listen(const std::string& ip, std::uint16_t port) {
  m_listener = ListenTcp(ip, port);
  if (m_listener < 0) return HttpError::kListenFailed;
  m_listener_watch_id = m_sockets.Add(m_listener, EPOLLIN,
                                      [this](std::uint32_t) { AcceptBatch(); });
  m_expiry_check = std::make_unique<PeriodicTimer>(
      m_sockets.Loop(), kExpiryCheckPeriod, [this] { CloseExpired(); });
  return HttpError::kOk;
}

void HttpServer::SetMemoryLimits(const RequestMemoryLimits& limits) {
  m_memory.m_limits = limits;
  UpdateConnectionLimit();
}

// The descriptor limit may be changed while the process runs.
void HttpServer::UpdateConnectionLimit() {
  m_memory.m_connection_limit =
      ConnectionsOf(m_memory.m_limits.m_connections, DescriptorLimit());
}

void HttpServer::StopListening() {
  if (m_listener < 0) return;
  // Closing the socket would reset the connections in its queue.
  while (AcceptOne()) {
  }
  CloseListener();
}

void HttpServer::CloseListener() {
  if (m_listener < 0) return;
  m_sockets.Remove(m_listener_watch_id);
  close(m_listener);
  m_listener = -1;
}

// Accepts one connection. Returns whether there was one.
bool HttpServer::AcceptOne() {
  const int descriptor =
      accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    if (IsOutOfResources(errno)) PauseAccepting();
    return false;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const std::uint64_t id = m_next_id++;
  const auto& connection = m_connections[id] =
      std::make_unique<Connection>(*this, id, descriptor);
  connection->UpdateHeldBytes();
  LimitConnections(id);
  return true;
}

// Frees a descriptor if possible, and accepts nothing until the next check for
// expiry. The waiting connection would otherwise wake the loop without pause.
void HttpServer::PauseAccepting() {
  const std::uint64_t chosen = ChooseToClose(0);
  if (chosen != 0) CloseConnection(chosen);
  CountTurnedAway(TurnedAway::kDescriptors);
  m_accepting_paused = true;
  m_sockets.SetEvents(m_listener_watch_id, 0);
}

// Closes a connection if there are too many: another one than the newest unless
// all others have open requests.
void HttpServer::LimitConnections(std::uint64_t newest) {
  if (m_connections.size() <= m_memory.m_connection_limit) return;
  const std::uint64_t chosen = ChooseToClose(newest);
  CloseConnection(chosen != 0 ? chosen : newest);
  CountTurnedAway(TurnedAway::kConnections);
}

// Closes connections that a lowered limit no longer allows, but none with an
// open request.
void HttpServer::CloseExcess() {
  while (m_connections.size() > m_memory.m_connection_limit) {
    const std::uint64_t chosen = ChooseToClose(0);
    if (chosen == 0) return;
    CloseConnection(chosen);
    CountTurnedAway(TurnedAway::kConnections);
  }
}

// Returns a connection to close in favour of others, if possible one whose
// caller has sent nothing that is still to be read.
std::uint64_t HttpServer::ChooseToClose(std::uint64_t without) const {
  std::vector<RequestHolder> holders = Holders(without);
  std::uint64_t chosen = 0;
  for (int i = 0; i < kMaxChoices; ++i) {
    const std::uint64_t next = ChooseForConnection(holders);
    if (next == 0) break;
    chosen = next;
    if (!m_connections.at(chosen)->HasUnreadInput()) break;
    std::erase_if(holders, [chosen](const RequestHolder& holder) {
      return holder.m_connection == chosen;
    });
  }
  return chosen;
}

// Turns callers away until the connection that has grown may go on.
void HttpServer::FreeMemory(Connection& grown) {
  while (!grown.IsLingering() &&
         IsMemoryExceeded(m_memory, grown.HeldBytes())) {
    const std::uint64_t chosen = ChooseForMemory(Holders(0));
    if (chosen == 0) return;
    CountTurnedAway(TurnedAway::kMemory);
    Connection& connection = *m_connections.at(chosen);
    if (!connection.RejectForMemory()) CloseConnection(chosen);
  }
}

std::vector<RequestHolder> HttpServer::Holders(std::uint64_t without) const {
  const Instant now = Now();
  std::vector<RequestHolder> holders;
  holders.reserve(m_connections.size());
  for (const auto& [id, connection] : m_connections) {
    if (id != without) holders.push_back(connection->Holder(now));
  }
  return holders;
}

void HttpServer::CountTurnedAway(TurnedAway reason) {
  ++m_memory.m_turned_away[reason];
  if (m_events.m_on_turned_away) m_events.m_on_turned_away(reason);
}

void HttpServer::AcceptBatch() {
  UpdateConnectionLimit();
  for (int i = 0; i < kAcceptBatch && AcceptOne(); ++i) {
  }
}

void HttpServer::CloseExpired() {
  const Instant now = Now();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, connection] : m_connections) {
    if (connection->IsExpired(now)) expired.push_back(id);
  }
  for (const std::uint64_t id : expired) CloseConnection(id);
  UpdateConnectionLimit();
  CloseExcess();
  if (!m_accepting_paused || m_listener < 0) return;
  m_accepting_paused = false;
  m_sockets.SetEvents(m_listener_watch_id, EPOLLIN);
}

void HttpServer::CloseIdle() {
  const Instant now = Now();
  std::vector<std::uint64_t> idle;
  for (const auto& [id, connection] : m_connections) {
    if (connection->IsIdle(now)) idle.push_back(id);
  }
  for (const std::uint64_t id : idle) CloseConnection(id);
}

std::size_t HttpServer::BusyConnections() const {
  std::size_t busy = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection->IsBusy()) ++busy;
  }
  return busy;
}

void HttpServer::Respond(std::uint64_t id, int status, HttpFields headers,
                         std::string body) {
  Connection* connection = FindRequest(id);
  if (connection != nullptr) {
    connection->Respond(status, headers, body);
  }
}

void HttpServer::StartStream(std::uint64_t id, int status, HttpFields headers) {
  Connection* connection = FindRequest(id);
  if (connection != nullptr) connection->StartStream(status, headers);
}

void HttpServer::Write(std::uint64_t id, std::string_view bytes) {
  Connection* connection = FindRequest(id);
  if (connection != nullptr) connection->WriteStream(bytes);
}

void HttpServer::FinishStream(std::uint64_t id) {
  Connection* connection = FindRequest(id);
  if (connection != nullptr) connection->FinishStream();
}

void HttpServer::Abort(std::uint64_t id) {
  Connection* connection = FindRequest(id);
  if (connection == nullptr) return;
  connection->PrepareAbort();
  CloseConnection(connection->Id());
}

std::size_t HttpServer::UnsentBytes(std::uint64_t id) const {
  const Connection* connection = FindRequest(id);
  return connection == nullptr ? 0 : connection->UnsentBytes();
}

HttpServer::Connection* HttpServer::FindRequest(std::uint64_t id) const {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : found->second;
}

void HttpServer::CloseConnection(std::uint64_t connection) {
  m_connections.erase(connection);
}

}  // namespace comfreypaddle
