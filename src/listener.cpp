#include "listener.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace comfreypaddle {

namespace {

// Idle timeout of persistent connections.
constexpr Duration kKeepAliveTimeout = std::chrono::seconds(75);

constexpr Duration kSlowCheckPeriod = std::chrono::seconds(1);

// Maximum size of the buffered response of a caller that reads too slowly.
constexpr std::size_t kMaxPendingBytes = 16U << 20U;

constexpr std::size_t kStreamBlockBytes = 16U << 10U;

constexpr int kServiceUnavailable = 503;

// Memory per connection in addition to the request head.
constexpr std::size_t kConnectionMemoryBytes = 16U << 10U;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

MHD_Result CollectField(void* target, MHD_ValueKind kind, const char* key,
                        const char* value) {
  auto* fields = static_cast<HttpFields*>(target);
  const bool header = kind == MHD_HEADER_KIND;
  fields->push_back({header ? ToLower(key) : std::string(key),
                     value == nullptr ? "" : value});
  return MHD_YES;
}

}  // namespace

enum class ResponseState { kNone, kComplete, kStreaming, kFinished, kAborted };

// One request and its response.
struct Listener::Exchange {
  Listener* m_listener = nullptr;
  MHD_Connection* m_connection = nullptr;
  HttpRequest m_request;
  int m_socket = -1;
  bool m_dispatched = false;
  bool m_suspended = false;
  bool m_response_queued = false;
  bool m_disconnected = false;
  bool m_discard_body = false;
  ResponseState m_state = ResponseState::kNone;
  int m_status = 0;
  HttpFields m_headers;
  std::string m_body;            // Complete response, or buffered stream data.
  std::size_t m_sent_bytes = 0;  // Bytes of m_body already sent.
};

// Open connection and the deadline for receiving its next request.
struct Listener::Connection {
  int m_socket = -1;
  bool m_reading = true;
  Instant m_close_after;
  std::uint64_t m_number = 0;
};

// Callbacks registered with libmicrohttpd.
struct Listener::Callbacks {
  static MHD_Result Access(void* listener, MHD_Connection* connection,
                           const char* url, const char* method,
                           const char* /*version*/, const char* data,
                           std::size_t* size, void** context) {
    auto* self = static_cast<Listener*>(listener);
    if (*context == nullptr) {
      *context = Accept(*self, connection, url, method);
      return MHD_YES;
    }
    auto& exchange = *static_cast<Exchange*>(*context);
    if (*size != 0) {
      return static_cast<MHD_Result>(self->HandleUpload(exchange, data, size));
    }
    if (!exchange.m_dispatched) {
      return static_cast<MHD_Result>(self->Dispatch(exchange));
    }
    return static_cast<MHD_Result>(self->QueueResponse(exchange));
  }

  static Exchange* Accept(Listener& self, MHD_Connection* connection,
                          const char* url, const char* method) {
    auto exchange = std::make_unique<Exchange>();
    exchange->m_listener = &self;
    exchange->m_connection = connection;
    exchange->m_socket =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    HttpRequest& request = exchange->m_request;
    request.m_id = self.m_next_id++;
    request.m_connection = self.m_connections[connection].m_number;
    request.m_method = method;
    request.m_path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectField,
                              &request.m_headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectField,
                              &request.m_query);
    Exchange* raw = exchange.get();
    self.m_exchanges[request.m_id] = std::move(exchange);
    return raw;
  }

  static ssize_t Reader(void* exchange, std::uint64_t /*position*/,
                        char* buffer, std::size_t size) {
    auto& self = *static_cast<Exchange*>(exchange);
    return self.m_listener->Read(self, buffer, size);
  }

  static void Completed(void* listener, MHD_Connection* /*connection*/,
                        void** context, MHD_RequestTerminationCode code) {
    if (*context == nullptr) return;
    auto& exchange = *static_cast<Exchange*>(*context);
    *context = nullptr;
    static_cast<Listener*>(listener)->Completed(
        exchange, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }

  static void ConnectionChanged(void* listener, MHD_Connection* connection,
                                void** /*context*/,
                                MHD_ConnectionNotificationCode code) {
    auto* self = static_cast<Listener*>(listener);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      self->m_connections.erase(connection);
      return;
    }
    const int socket =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    self->m_connections[connection] = {
        socket, true, Now() + self->m_options.m_request_timeout,
        self->m_next_connection++};
  }
};

Listener::Listener(EventLoop& loop, ListenerOptions options,
                   OnRequest on_request, OnDisconnect on_disconnect)
    : m_loop(loop),
      m_options(std::move(options)),
      m_on_request(std::move(on_request)),
      m_on_disconnect(std::move(on_disconnect)) {}

// libmicrohttpd requires that suspended connections are resumed before the
// daemon is stopped. Requests that arrive in the last run are rejected, so that
// none is suspended again.
Listener::~Listener() {
  m_slow_check.reset();
  if (m_run_timer != 0) m_loop.CancelTimer(m_run_timer);
  if (m_daemon != nullptr) {
    m_on_disconnect = nullptr;
    m_is_closing = true;
    for (auto& [id, exchange] : m_exchanges) {
      exchange->m_state = ResponseState::kAborted;
      Resume(*exchange);
    }
    m_running_daemon = true;
    MHD_run(m_daemon);
    m_loop.Unwatch(m_daemon_descriptor);
    MHD_stop_daemon(m_daemon);
  }
  if (m_hangup_descriptor >= 0) {
    m_loop.Unwatch(m_hangup_descriptor);
    close(m_hangup_descriptor);
  }
}

std::error_code Listener::Open() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_options.m_port);
  if (inet_pton(AF_INET, m_options.m_address.c_str(), &address.sin_addr) != 1) {
    return HttpError::kListenFailed;
  }
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, m_options.m_port, nullptr,
      nullptr, &Callbacks::Access, this, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, m_options.m_max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::size_t>(m_options.m_max_head_bytes) +
          kConnectionMemoryBytes,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(
          std::chrono::duration_cast<std::chrono::seconds>(kKeepAliveTimeout)
              .count()),
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &Callbacks::Completed, this, MHD_OPTION_NOTIFY_CONNECTION,
      &Callbacks::ConnectionChanged, this, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      1024U, MHD_OPTION_END);
  if (m_daemon == nullptr) return HttpError::kListenFailed;
  m_daemon_descriptor =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  m_loop.Watch(m_daemon_descriptor, [this] { RunDaemon(); });
  m_hangup_descriptor = epoll_create1(EPOLL_CLOEXEC);
  m_loop.Watch(m_hangup_descriptor, [this] { HandleHangups(); });
  m_slow_check = std::make_unique<PeriodicTimer>(
      m_loop, kSlowCheckPeriod, [this] { CloseSlowConnections(); });
  return {};
}

void Listener::StopAccepting() {
  if (m_daemon == nullptr) return;
  const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
  if (socket != MHD_INVALID_SOCKET) close(socket);
}

Listener::Exchange* Listener::Find(std::uint64_t id) {
  const auto found = m_exchanges.find(id);
  return found == m_exchanges.end() ? nullptr : found->second.get();
}

int Listener::HandleUpload(Exchange& exchange, const char* data,
                           std::size_t* size) {
  std::string& body = exchange.m_request.m_body;
  if (body.size() + *size > m_options.m_max_body_bytes) {
    exchange.m_discard_body = true;
    body.clear();
  }
  if (!exchange.m_discard_body) body.append(data, *size);
  *size = 0;
  return MHD_YES;
}

void Listener::Reject(Exchange& exchange, int status, const char* code,
                      const char* detail) {
  exchange.m_state = ResponseState::kComplete;
  exchange.m_status = status;
  exchange.m_headers = {{"Content-Type", "application/problem+json"},
                        {"Connection", "close"}};
  exchange.m_body = std::string(R"({"type":"about:blank","title":")") + detail +
                    R"(","status":)" + std::to_string(status) + R"(,"code":")" +
                    code + R"(","outcome":"not_run"})";
}

// Passes the complete request to the owner and suspends the connection until
// there is a response.
int Listener::Dispatch(Exchange& exchange) {
  exchange.m_dispatched = true;
  const auto connection = m_connections.find(exchange.m_connection);
  if (connection != m_connections.end()) connection->second.m_reading = false;
  if (exchange.m_discard_body) {
    Reject(exchange, 413, "body_too_large", "The request body is too large.");
    return QueueResponse(exchange);
  }
  if (m_is_closing) {
    Reject(exchange, kServiceUnavailable, "stopping",
           "The instance is stopping.");
    return QueueResponse(exchange);
  }
  WatchForHangup(exchange);
  m_on_request(std::move(exchange.m_request));
  if (exchange.m_state != ResponseState::kNone) return QueueResponse(exchange);
  Suspend(exchange);
  return MHD_YES;
}

int Listener::QueueResponse(Exchange& exchange) {
  if (exchange.m_response_queued) return MHD_YES;
  if (exchange.m_state == ResponseState::kNone) {
    Suspend(exchange);
    return MHD_YES;
  }
  if (exchange.m_state == ResponseState::kAborted) return MHD_NO;
  exchange.m_response_queued = true;
  MHD_Response* response =
      exchange.m_state == ResponseState::kComplete
          ? MHD_create_response_from_buffer(exchange.m_body.size(),
                                            exchange.m_body.data(),
                                            MHD_RESPMEM_MUST_COPY)
          : MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, kStreamBlockBytes, &Callbacks::Reader,
                &exchange, nullptr);
  for (const HttpField& field : exchange.m_headers) {
    MHD_add_response_header(response, field.m_name.c_str(),
                            field.m_value.c_str());
  }
  if (m_announce_close)
    MHD_add_response_header(response, "Connection", "close");
  const MHD_Result result = MHD_queue_response(
      exchange.m_connection, static_cast<unsigned int>(exchange.m_status),
      response);
  MHD_destroy_response(response);
  return result;
}

std::int64_t Listener::Read(Exchange& exchange, char* buffer,
                            std::size_t size) {
  const std::size_t waiting = exchange.m_body.size() - exchange.m_sent_bytes;
  if (exchange.m_state == ResponseState::kAborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (waiting == 0 && exchange.m_state == ResponseState::kFinished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (waiting == 0) {
    Suspend(exchange);
    return 0;
  }
  const std::size_t count = std::min(size, waiting);
  exchange.m_body.copy(buffer, count, exchange.m_sent_bytes);
  exchange.m_sent_bytes += count;
  if (exchange.m_sent_bytes == exchange.m_body.size()) {
    exchange.m_body.clear();
    exchange.m_sent_bytes = 0;
  }
  return static_cast<std::int64_t>(count);
}

void Listener::Suspend(Exchange& exchange) {
  if (exchange.m_suspended || m_is_closing) return;
  exchange.m_suspended = true;
  MHD_suspend_connection(exchange.m_connection);
}

void Listener::Resume(Exchange& exchange) {
  if (!exchange.m_suspended) return;
  exchange.m_suspended = false;
  MHD_resume_connection(exchange.m_connection);
  ScheduleRun(Duration(0));
}

void Listener::Respond(std::uint64_t id, int status, HttpFields headers,
                       std::string body) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->m_state != ResponseState::kNone) return;
  exchange->m_state = ResponseState::kComplete;
  exchange->m_status = status;
  exchange->m_headers = std::move(headers);
  exchange->m_body = std::move(body);
  Resume(*exchange);
}

void Listener::StartStream(std::uint64_t id, int status, HttpFields headers) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->m_state != ResponseState::kNone) return;
  exchange->m_state = ResponseState::kStreaming;
  exchange->m_status = status;
  exchange->m_headers = std::move(headers);
  Resume(*exchange);
}

void Listener::Write(std::uint64_t id, std::string_view bytes) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->m_state != ResponseState::kStreaming) {
    return;
  }
  exchange->m_body.append(bytes);
  if (exchange->m_body.size() - exchange->m_sent_bytes > kMaxPendingBytes) {
    LOG(WARNING)
        << "closing a connection whose caller reads its response too slowly";
    exchange->m_state = ResponseState::kAborted;
  }
  Resume(*exchange);
}

void Listener::FinishStream(std::uint64_t id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->m_state != ResponseState::kStreaming) {
    return;
  }
  exchange->m_state = ResponseState::kFinished;
  Resume(*exchange);
}

void Listener::Abort(std::uint64_t id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  exchange->m_state = ResponseState::kAborted;
  Resume(*exchange);
}

void Listener::Completed(Exchange& exchange, bool answered) {
  UnwatchHangup(exchange);
  const auto connection = m_connections.find(exchange.m_connection);
  if (connection != m_connections.end()) {
    connection->second.m_reading = true;
    connection->second.m_close_after = Now() + kKeepAliveTimeout;
  }
  const std::uint64_t id = m_exchanges.empty() ? 0 : exchange.m_request.m_id;
  const bool report =
      !answered && exchange.m_dispatched && !exchange.m_disconnected;
  m_exchanges.erase(id);
  if (report && m_on_disconnect) m_on_disconnect(id);
}

// libmicrohttpd does not poll the socket of a suspended connection, so
// disconnects of waiting callers are detected here.
void Listener::WatchForHangup(const Exchange& exchange) {
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLET;
  event.data.u64 = exchange.m_request.m_id;
  if (epoll_ctl(m_hangup_descriptor, EPOLL_CTL_ADD, exchange.m_socket,
                &event) != 0) {
    epoll_ctl(m_hangup_descriptor, EPOLL_CTL_MOD, exchange.m_socket, &event);
  }
}

void Listener::UnwatchHangup(const Exchange& exchange) {
  epoll_ctl(m_hangup_descriptor, EPOLL_CTL_DEL, exchange.m_socket, nullptr);
}

void Listener::HandleHangups() {
  std::array<epoll_event, 64> events{};
  const int count =
      epoll_wait(m_hangup_descriptor, events.data(), events.size(), 0);
  for (int i = 0; i < count; ++i) {
    const std::uint64_t id = events.at(static_cast<std::size_t>(i)).data.u64;
    Exchange* exchange = Find(id);
    if (exchange == nullptr || exchange->m_disconnected) continue;
    if (exchange->m_state == ResponseState::kComplete ||
        exchange->m_state == ResponseState::kFinished) {
      continue;
    }
    exchange->m_disconnected = true;
    exchange->m_state = ResponseState::kAborted;
    Resume(*exchange);
    if (m_on_disconnect) m_on_disconnect(id);
  }
}

// A caller that sends a request byte by byte never reaches the inactivity
// timeout of the library, so the time limit of a request is enforced here.
void Listener::CloseSlowConnections() {
  const Instant now = Now();
  for (const auto& [connection, state] : m_connections) {
    if (state.m_reading && now > state.m_close_after) {
      shutdown(state.m_socket, SHUT_RDWR);
    }
  }
}

void Listener::RunDaemon() {
  if (m_running_daemon) return;
  m_running_daemon = true;
  MHD_run(m_daemon);
  m_running_daemon = false;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(m_daemon, &timeout_ms) == MHD_YES) {
    ScheduleRun(std::chrono::milliseconds(timeout_ms));
  }
}

// Keeps a single timer, for the earliest time at which the daemon must run.
void Listener::ScheduleRun(Duration delay) {
  const Instant due = Now() + delay;
  if (m_run_timer != 0) {
    if (m_run_due <= due) return;
    m_loop.CancelTimer(m_run_timer);
  }
  m_run_due = due;
  m_run_timer = m_loop.StartTimer(delay, [this] {
    m_run_timer = 0;
    RunDaemon();
  });
}

}  // namespace comfreypaddle
