#include "httpclient.h"

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

#include "settings.h"

namespace comfreypaddle {

namespace {

// Interval between timeout checks.
constexpr Duration kTimeoutCheckPeriod = std::chrono::milliseconds(50);

// Safety margin before the idle timeout announced by the server. Within it an
// idle connection is not reused, because the server may close it while the
// request is in flight.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(700);

// Idle timeout of a connection whose server announces none.
constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(300);

// Upper bound of the idle timeout, whatever the server announces.
constexpr Duration kMaxIdleTimeout = std::chrono::seconds(20);

// Maximum number of bytes of interim (1xx) and mismatched responses that a call
// skips while waiting for its own response.
constexpr std::size_t kMaxSkippedBytes = 1U << 20U;

// Maximum number of idle connections per address.
constexpr std::size_t kMaxIdlePerAddress = 32;

// Calls after which a connection is closed. Bounds its record of the requests
// that it has carried.
constexpr std::uint32_t kMaxCallsPerConnection = 256;

// Size up to which a body is copied behind the head, to send both with one
// system call.
constexpr std::size_t kMaxCopiedBodyBytes = 16U << 10U;

// Splits "http://IP:PORT/TARGET" at the target.
std::pair<std::string, std::string> SplitUrl(const std::string& url) {
  constexpr std::size_t kSchemeSize = 7;
  const std::size_t slash = url.find('/', kSchemeSize);
  if (slash == std::string::npos) return {url.substr(kSchemeSize), "/"};
  return {url.substr(kSchemeSize, slash - kSchemeSize), url.substr(slash)};
}

// Hash of the id of the request that the call carries, if it has one.
std::optional<std::uint64_t> RequestHash(const HttpCall& call) {
  if (!call.m_request_id) return std::nullopt;
  return XXH64(call.m_request_id->data(), call.m_request_id->size(), 0);
}

// Error of a call for which no connection could be begun.
HttpError ConnectError(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return HttpError::kNoSocket;
    case ECONNREFUSED:
      return HttpError::kConnectRefused;
    default:
      return HttpError::kConnectFailed;
  }
}

// Returns how long the connection may stay idle and be reused after a response
// with this head.
Duration IdleTimeout(const HttpHead& head) {
  if (!head.m_keep_alive) return Duration(0);
  const std::string* value = FindFieldIgnoreCase(head.m_fields, "Keep-Alive");
  if (value == nullptr) return kDefaultIdleTimeout;
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = value->find(kTimeout);
  if (at == std::string::npos) return kDefaultIdleTimeout;
  std::int64_t seconds = 0;
  const char* begin = value->data() + at + kTimeout.size();
  std::from_chars(begin, value->data() + value->size(), seconds);
  const Duration limit = std::chrono::seconds(seconds) - kIdleTimeoutMargin;
  return std::clamp(limit, kDefaultIdleTimeout, kMaxIdleTimeout);
}

// Whether the server may send a body after a head that ends the response. On a
// reused connection it would be taken for the next response.
bool HasUnexpectedBody(const HttpHead& head) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (head.m_status != kNoContent && head.m_status != kNotModified) {
    return false;
  }
  const std::string* length =
      FindFieldIgnoreCase(head.m_fields, "Content-Length");
  return (length != nullptr && *length != "0") ||
         FindFieldIgnoreCase(head.m_fields, "Transfer-Encoding") != nullptr;
}

}  // namespace

// One connection and the call that uses it, if any.
class HttpClient::Connection : public ChannelOwner, public HttpMessageHandler {
 public:
  Connection(HttpClient& client, std::string address, int descriptor)
      : m_client(client),
        m_number(client.m_next_connection++),
        m_address(std::move(address)),
        m_parser(HttpMessageKind::kResponse, ParseLimits{}, *this) {
    m_channel.emplace(client.m_sockets, descriptor, Channel::State::kConnecting,
                      *this);
  }

  void DispatchCall(CallId id, HttpCall call, const std::string& target,
                    HttpEvents events) {
    m_id = id;
    m_events = std::make_shared<HttpEvents>(std::move(events));
    m_match_response = call.m_match_response;
    ++m_calls;
    if (const auto request = RequestHash(call)) m_requests.push_back(*request);
    m_start_time = Now();
    m_last_input_time = m_start_time;
    m_connect_limit = call.m_connect_timeout;
    m_total_timeout = call.m_timeout;
    m_inactivity_timeout = call.m_inactivity_timeout;
    m_max_body_bytes = call.m_max_body_bytes;
    m_body_bytes = 0;
    m_skipped_bytes = 0;
    m_interim_responses = 0;
    m_parser.Reset(ParseLimits{});
    m_status = 0;
    m_head_received = false;
    m_skipping = false;
    m_body_until_close = false;
    m_at_message_end = false;
    m_channel->Write(FormatRequest(call, target));
    if (BodyOf(call).size() > kMaxCopiedBodyBytes) {
      m_channel->Write(
          call.m_shared_body != nullptr
              ? std::move(call.m_shared_body)
              : std::make_shared<const std::string>(std::move(call.m_body)));
    }
    // Sent() may return true only after the request has been written.
    m_request_written = true;
  }

  void OnConnected(Channel& /*channel*/) override {
    m_connected = true;
    m_last_input_time = Now();
    m_connected_at = m_last_input_time;
  }

  void OnDrained(Channel& /*channel*/) override {}

  void OnBytes(Channel& /*channel*/, std::string_view bytes) override {
    if (m_id == 0) {  // Unsolicited bytes on an idle connection.
      m_client.RemoveIdle(this);
      return;
    }
    m_last_input_time = Now();
    HttpClient& client = m_client;
    const CallId id = m_id;
    while (!bytes.empty()) {
      const std::size_t used = m_parser.Feed(bytes);
      bytes.remove_prefix(used);
      // A callback may have cancelled the call.
      if (client.m_active.count(id) == 0) return;
      if (m_parser.Error() != ParseError::kNone ||
          m_interim_responses > kMaxInterimResponses) {
        client.FailCall(id, HttpError::kMalformedResponse);
        return;
      }
      if (m_skipping) m_skipped_bytes += used;
      if (m_skipped_bytes > kMaxSkippedBytes || IsBodyTooLarge()) {
        client.FailCall(id, HttpError::kTooLarge);
        return;
      }
      if (!m_parser.IsDone()) continue;
      if (!m_skipping) {
        m_at_message_end = bytes.empty() && m_channel->Pending() == 0;
        client.CompleteCall(id);
        return;
      }
      m_parser.Reset(ParseLimits{});
      m_skipping = false;
    }
  }

  void OnEnd(Channel& /*channel*/, ChannelEnd end) override {
    if (m_id == 0) {
      m_client.RemoveIdle(this);
      return;
    }
    if (end == ChannelEnd::kClosed && IsWholeAtClose()) {
      m_at_message_end = false;
      m_client.CompleteCall(m_id);
      return;
    }
    m_client.FailCall(m_id, ErrorOf(end));
  }

  void OnHead(HttpHead head) override {
    const bool interim = head.m_status < 200;
    m_interim_responses += interim ? 1 : 0;
    const bool unmatched = !interim && !IsResponseToCall(head.m_fields);
    m_skipping = interim || unmatched;
    if (unmatched) {
      ++m_client.m_counters.m_unmatched_responses;
      m_saw_unmatched = true;
    }
    if (m_skipping) return;
    m_head_received = true;
    m_idle_timeout = HasUnexpectedBody(head) ? Duration(0) : IdleTimeout(head);
    m_body_until_close = head.m_body_until_close;
    m_status = head.m_status;
    const auto events = m_events;
    if (events->m_on_head) events->m_on_head(head.m_status, head.m_fields);
  }

  void OnBody(std::string_view bytes) override {
    const auto events = m_events;
    if (m_skipping || m_closed) return;
    m_body_bytes += bytes.size();
    if (IsBodyTooLarge()) return;
    if (events->m_on_body) events->m_on_body(bytes);
  }

  // Detaches the call from the connection and returns the call's callbacks.
  std::shared_ptr<HttpEvents> DetachCall() {
    m_id = 0;
    m_idle_since = Now();
    return std::exchange(m_events, nullptr);
  }

  // Returns the error of the timeout that has expired, or kOk.
  HttpError ExpiredTimeout(Instant now) const {
    if (!m_connected && now - m_start_time > m_connect_limit) {
      return HttpError::kConnectTimeout;
    }
    if (m_total_timeout > Duration(0) && now - m_start_time > m_total_timeout) {
      return HttpError::kTimeout;
    }
    if (m_inactivity_timeout > Duration(0) &&
        now - m_last_input_time > m_inactivity_timeout) {
      return HttpError::kInactivityTimeout;
    }
    return HttpError::kOk;
  }

  bool IsReusable(Instant now) const {
    return m_at_message_end && m_idle_timeout > Duration(0) &&
           now - m_idle_since < m_idle_timeout && !m_channel->HasUnreadInput();
  }

  bool IsIdleExpired(Instant now) const {
    return now - m_idle_since >= m_idle_timeout;
  }

  // A server that sent a response to another call may send more of them.
  bool IsPersistent() const {
    return m_at_message_end && !m_saw_unmatched &&
           m_idle_timeout > Duration(0) && m_calls < kMaxCallsPerConnection;
  }

  // Whether a call on this connection carried the request with this hash.
  bool HasCarried(std::uint64_t request) const {
    return std::find(m_requests.begin(), m_requests.end(), request) !=
           m_requests.end();
  }

  HttpResult ResultOf(std::error_code error, bool sent) const {
    return {error, m_status, sent, m_number, m_calls};
  }

  std::optional<Instant> ConnectedAt() const { return m_connected_at; }

  bool IsDelivered() const { return m_connected && m_channel->IsDelivered(); }
  bool Sent() const { return m_request_written && m_channel->AnySent(); }
  const std::string& Address() const { return m_address; }

  // Discards what the kernel has not sent yet when the socket is closed. It
  // would otherwise go on sending a request that the caller has given up.
  void ResetOnClose() { m_channel->ResetOnClose(); }

  // Closes the socket immediately, so that the server sees the disconnect.
  void Close() {
    m_closed = true;
    m_channel.reset();
  }

 private:
  // An unidentified response is trusted only if no earlier call on this
  // connection can have caused it.
  bool IsResponseToCall(const HttpFields& fields) const {
    if (!m_match_response) return true;
    const ResponseMatch match = m_match_response(fields);
    return match == ResponseMatch::kOwn ||
           (match == ResponseMatch::kUnidentified && m_calls == 1);
  }

  // Error of a call whose connection ended in this way.
  HttpError ErrorOf(ChannelEnd end) const {
    if (m_connected) return HttpError::kConnectionLost;
    return end == ChannelEnd::kRefused ? HttpError::kConnectRefused
                                       : HttpError::kConnectFailed;
  }

  // Whether the orderly close that was read completes the response. The body
  // must be one that ends with its connection; and the server must have got the
  // whole request, which guards against a close during the upload: by a half
  // close, or by a reset that a failed write saw before the read (Channel
  // reports it as kReset) or that arrived between the close and this read.
  bool IsWholeAtClose() {
    return m_head_received && m_body_until_close && m_channel->IsDelivered() &&
           m_parser.PutEof();
  }

  bool IsBodyTooLarge() const {
    return m_max_body_bytes > 0 && m_body_bytes > m_max_body_bytes;
  }

  // Returns the head, and the body unless that is written by itself.
  std::string FormatRequest(const HttpCall& call,
                            const std::string& target) const {
    std::string text = call.m_method + " " + target + " HTTP/1.1\r\n";
    if (FindFieldIgnoreCase(call.m_headers, "Host") == nullptr) {
      text += "Host: " + m_address + "\r\n";
    }
    for (const HttpField& field : call.m_headers) {
      text += field.m_name;
      text += ": ";
      text += field.m_value;
      text += "\r\n";
    }
    const bool bodyless = call.m_method == "GET" || call.m_method == "HEAD" ||
                          call.m_method == "DELETE";
    const std::string_view body = BodyOf(call);
    if (!body.empty() || !bodyless) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    if (body.size() <= kMaxCopiedBodyBytes) text += body;
    return text;
  }

  HttpClient& m_client;
  std::uint64_t m_number;
  std::string m_address;
  CallId m_id = 0;  // Zero: the connection is idle.
  std::shared_ptr<HttpEvents> m_events;
  std::function<ResponseMatch(const HttpFields&)> m_match_response;
  std::uint32_t m_calls = 0;              // Dispatched on this connection.
  std::vector<std::uint64_t> m_requests;  // Hashes of the ids carried.
  HttpParser m_parser;
  int m_status = 0;
  bool m_connected = false;
  std::optional<Instant> m_connected_at;
  bool m_request_written = false;
  bool m_head_received = false;
  bool m_skipping = false;
  bool m_saw_unmatched = false;  // A response to another call was received.
  bool m_body_until_close = false;
  bool m_at_message_end = false;
  Instant m_start_time{};
  Instant m_last_input_time{};
  Instant m_idle_since{};
  Duration m_connect_limit{0};
  Duration m_total_timeout{0};
  Duration m_inactivity_timeout{0};
  Duration m_idle_timeout{0};
  std::uint64_t m_max_body_bytes = 0;
  std::uint64_t m_body_bytes = 0;
  std::size_t m_skipped_bytes = 0;
  int m_interim_responses = 0;
  bool m_closed = false;
  std::optional<Channel> m_channel;
};

HttpClient::HttpClient(SocketSet& sockets)
    : m_sockets(sockets),
      m_timeout_check(std::make_unique<PeriodicTimer>(
          sockets.Loop(), kTimeoutCheckPeriod, [this] { CheckTimeouts(); })) {}

HttpClient::~HttpClient() = default;

HttpPort::CallId HttpClient::Start(HttpCall call, HttpEvents events) {
  const CallId id = m_next_id++;
  const auto [address, target] = SplitUrl(call.m_url);
  std::unique_ptr<Connection> connection;
  if (!call.m_force_new_connection) {
    connection = TakeIdle(address, RequestHash(call));
  }
  if (connection != nullptr) {
    ++m_counters.m_reused;
  } else {
    const auto socket_address = ParseSocketAddress(address);
    const int descriptor = socket_address ? ConnectTcp(socket_address->m_ip,
                                                       socket_address->m_port)
                                          : -1;
    if (descriptor < 0) {
      const HttpError error = ConnectError(errno);
      m_sockets.Loop().StartTimer(Duration(0),
                                  [error, events = std::move(events)] {
                                    events.m_on_end({error, 0, false});
                                  });
      return id;
    }
    ++m_counters.m_opened;
    connection = std::make_unique<Connection>(*this, address, descriptor);
  }
  connection->DispatchCall(id, std::move(call), target, std::move(events));
  m_active[id] = std::move(connection);
  return id;
}

void HttpClient::Cancel(CallId id) {
  const auto found = m_active.find(id);
  if (found == m_active.end()) return;
  std::unique_ptr<Connection> connection = std::move(found->second);
  m_active.erase(found);
  connection->DetachCall();
  connection->ResetOnClose();
  Retire(std::move(connection));
}

std::optional<Instant> HttpClient::ConnectedAt(CallId id) const {
  const auto found = m_active.find(id);
  if (found == m_active.end()) return std::nullopt;
  return found->second->ConnectedAt();
}

bool HttpClient::IsDelivered(CallId id) const {
  const auto found = m_active.find(id);
  return found != m_active.end() && found->second->IsDelivered();
}

bool HttpClient::HasConnection(const std::string& address) const {
  const auto idle = m_idle.find(address);
  if (idle != m_idle.end() && !idle->second.empty()) return true;
  return std::any_of(
      m_active.begin(), m_active.end(), [&address](const auto& entry) {
        const Connection& connection = *entry.second;
        return connection.ConnectedAt() && connection.Address() == address;
      });
}

void HttpClient::CloseIdleConnections(const std::string& address) {
  m_idle.erase(address);
}

// Takes the connection that was used last of those that have not carried the
// request.
std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdle(
    const std::string& address, std::optional<std::uint64_t> request) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) return nullptr;
  const Instant now = Now();
  auto& idle = found->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (request && idle[i]->HasCarried(*request)) {
      ++m_counters.m_passed_over;
      continue;
    }
    std::unique_ptr<Connection> connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->IsReusable(now)) return connection;
  }
  return nullptr;
}

// Ends a call whose response is complete, and keeps the connection if it is
// reusable.
void HttpClient::CompleteCall(CallId id) {
  const auto found = m_active.find(id);
  std::unique_ptr<Connection> connection = std::move(found->second);
  m_active.erase(found);
  const HttpResult result = connection->ResultOf(HttpError::kOk, true);
  const std::shared_ptr<HttpEvents> events = connection->DetachCall();
  auto& idle = m_idle[connection->Address()];
  if (connection->IsPersistent() && idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(connection));
  } else {
    Retire(std::move(connection));
  }
  events->m_on_end(result);
}

void HttpClient::FailCall(CallId id, HttpError error) {
  const auto found = m_active.find(id);
  if (found == m_active.end()) return;
  std::unique_ptr<Connection> connection = std::move(found->second);
  m_active.erase(found);
  const HttpResult result = connection->ResultOf(error, connection->Sent());
  const std::shared_ptr<HttpEvents> events = connection->DetachCall();
  connection->ResetOnClose();
  Retire(std::move(connection));
  events->m_on_end(result);
}

void HttpClient::RemoveIdle(Connection* connection) {
  const auto found = m_idle.find(connection->Address());
  if (found == m_idle.end()) return;
  auto& idle = found->second;
  for (auto at = idle.begin(); at != idle.end(); ++at) {
    if (at->get() != connection) continue;
    Retire(std::move(*at));
    idle.erase(at);
    return;
  }
}

// Closes the connection now and destroys it in the next iteration of the loop,
// because one of its callbacks may be running.
void HttpClient::Retire(std::unique_ptr<Connection> connection) {
  connection->Close();
  if (m_retired.empty()) {
    m_sockets.Loop().StartTimer(Duration(0), [this] { m_retired.clear(); });
  }
  m_retired.push_back(std::move(connection));
}

void HttpClient::CheckTimeouts() {
  const Instant now = Now();
  std::vector<std::pair<CallId, HttpError>> expired;
  for (const auto& [id, connection] : m_active) {
    const HttpError error = connection->ExpiredTimeout(now);
    if (error != HttpError::kOk) expired.emplace_back(id, error);
  }
  for (const auto& [id, error] : expired) FailCall(id, error);
  for (auto at = m_idle.begin(); at != m_idle.end();) {
    auto& idle = at->second;
    while (!idle.empty() && idle.front()->IsIdleExpired(now)) {
      Retire(std::move(idle.front()));
      idle.pop_front();
    }
    at = idle.empty() ? m_idle.erase(at) : std::next(at);
  }
}

}  // namespace comfreypaddle
