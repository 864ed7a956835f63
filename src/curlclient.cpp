#include "curlclient.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <utility>

#include "httpparse.h"
#include "sockets.h"

namespace comfreypaddle {

namespace {

// Resolution of the limit on response silence.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(100);

// Idle connections older than this are not reused, because a middlebox may have
// dropped their state.
constexpr std::int64_t kMaxIdleSeconds = 30;

constexpr std::int64_t kMaxPooledConnections = 4096;

// Maximum size of a response header. libcurl limits the length of each line,
// but not their number.
constexpr std::size_t kMaxHeadBytes = 256U << 10U;

// TCP_USER_TIMEOUT: unacknowledged data closes the connection after this time.
// Otherwise the kernel would retransmit a request long after its deadline.
constexpr int kUserTimeoutMs = 3000;

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::int64_t ToMilliseconds(Duration duration) {
  return std::max<std::int64_t>(1, duration.count() / 1000);
}

HttpError ToHttpError(CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return HttpError::kOk;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return HttpError::kConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
      return HttpError::kTimeout;
    default:
      return HttpError::kConnectionLost;
  }
}

}  // namespace

struct CurlClient::Transfer {
  CurlClient* m_client = nullptr;
  CallId m_id = 0;
  HttpCall m_call;
  HttpEvents m_events;
  CURL* m_easy = nullptr;
  curl_slist* m_header_list = nullptr;
  HttpFields m_response_headers;
  Instant m_last_activity;
  bool m_head_reported = false;
  bool m_head_open = false;  // Between a status line and the end of its head.
  bool m_head_complete = false;
  int m_interim_responses = 0;
  // The end of the connection delimits the body.
  bool m_body_until_close = false;
  // The socket failed, or the server had not got the whole request when the
  // transfer ended.
  bool m_undelivered = false;
  bool m_malformed = false;
  std::size_t m_head_bytes = 0;
  std::uint64_t m_body_bytes = 0;
  bool m_too_large = false;
  bool m_cancelled = false;

  ~Transfer() {
    if (m_easy != nullptr) curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_header_list);
  }

  // Reports the header once, before the first byte of the body or the end.
  void ReportHead() {
    if (m_head_reported) return;
    m_head_reported = true;
    if (m_events.m_on_head) m_events.m_on_head(Status(), m_response_headers);
  }

  int Status() const {
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  // Reads the line that starts a response. Returns whether it is valid.
  bool StartHead(std::string_view line) {
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
      line.remove_suffix(1);
    }
    const std::optional<int> status = ParseStatusLine(line);
    if (m_head_open || m_head_complete || !status ||
        !IsResponseStatus(*status)) {
      return false;
    }
    m_response_headers.clear();
    m_head_open = true;
    return *status >= kFirstFinalStatus ||
           ++m_interim_responses <= kMaxInterimResponses;
  }

  // Ends a head. Returns whether its body has an unambiguous length.
  bool EndHead() {
    if (!m_head_open) return m_head_complete;  // End of the trailer fields.
    m_head_open = false;
    const int status = Status();
    if (status < kFirstFinalStatus) return true;
    if (!HasUnambiguousLength(m_response_headers)) return false;
    m_head_complete = true;
    const bool bodyless = m_call.m_method == "HEAD" || status == kNoContent ||
                          status == kNotModified;
    m_body_until_close =
        !bodyless && FindField(m_response_headers, "content-length").empty() &&
        !EqualsIgnoreCase(FindField(m_response_headers, "transfer-encoding"),
                          "chunked");
    return true;
  }

  // Whether a response that libcurl reports as complete is so. libcurl takes
  // the end of a connection for the end of the body also while the request is
  // being written, after a failed write that consumed the error of the socket,
  // and after a reset that follows an orderly close.
  bool IsWhole() const {
    if (!m_head_complete) return false;  // Closed within the head.
    if (!m_body_until_close) return true;
    curl_off_t written = 0;
    curl_easy_getinfo(m_easy, CURLINFO_SIZE_UPLOAD_T, &written);
    return !m_undelivered &&
           written == static_cast<curl_off_t>(BodyOf(m_call).size());
  }

  bool Sent() const {
    long bytes = 0;  // NOLINT(google-runtime-int): libcurl's type
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0;
  }
};

// Callbacks invoked by libcurl.
struct CurlClient::Callbacks {
  static std::size_t Body(char* data, std::size_t size, std::size_t count,
                          void* context) {
    auto& transfer = *static_cast<Transfer*>(context);
    if (transfer.m_cancelled) return CURL_WRITEFUNC_ERROR;
    transfer.m_last_activity = Now();
    transfer.ReportHead();
    if (transfer.m_cancelled) return CURL_WRITEFUNC_ERROR;
    transfer.m_body_bytes += size * count;
    const std::uint64_t limit = transfer.m_call.m_max_body_bytes;
    if (limit > 0 && transfer.m_body_bytes > limit) {
      transfer.m_too_large = true;
      return CURL_WRITEFUNC_ERROR;
    }
    if (transfer.m_events.m_on_body) {
      transfer.m_events.m_on_body({data, size * count});
    }
    return transfer.m_cancelled ? CURL_WRITEFUNC_ERROR : size * count;
  }

  static std::size_t Header(char* data, std::size_t size, std::size_t count,
                            void* context) {
    auto& transfer = *static_cast<Transfer*>(context);
    transfer.m_last_activity = Now();
    const std::string_view line(data, size * count);
    transfer.m_head_bytes += line.size();
    if (transfer.m_head_bytes > kMaxHeadBytes) {
      transfer.m_too_large = true;
      return CURL_WRITEFUNC_ERROR;
    }
    const bool starts_head = line.substr(0, 5) == "HTTP/";
    if (starts_head || line == "\r\n" || line == "\n") {
      const bool valid =
          starts_head ? transfer.StartHead(line) : transfer.EndHead();
      transfer.m_malformed = !valid;
      return valid ? line.size() : CURL_WRITEFUNC_ERROR;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return line.size();
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() &&
           std::isspace(static_cast<unsigned char>(value.front())) != 0) {
      value.remove_prefix(1);
    }
    while (!value.empty() &&
           std::isspace(static_cast<unsigned char>(value.back())) != 0) {
      value.remove_suffix(1);
    }
    transfer.m_response_headers.push_back(
        {std::move(name), std::string(value)});
    return line.size();
  }

  static int Socket(CURL* easy, curl_socket_t socket, int what, void* context,
                    void* known) {
    auto* client = static_cast<CurlClient*>(context);
    if (what == CURL_POLL_REMOVE) {
      CheckDelivery(easy, socket);
      epoll_ctl(client->m_descriptor, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    if ((static_cast<unsigned int>(what) & CURL_POLL_IN) != 0) {
      event.events |= EPOLLIN;
    }
    if ((static_cast<unsigned int>(what) & CURL_POLL_OUT) != 0) {
      event.events |= EPOLLOUT;
    }
    const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(client->m_descriptor, operation, socket, &event);
    curl_multi_assign(client->m_multi, socket, client);
    return 0;
  }

  // Called before libcurl closes the socket of a transfer or pools it.
  static void CheckDelivery(CURL* easy, curl_socket_t socket) {
    Transfer* transfer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
    if (transfer == nullptr || !transfer->m_body_until_close) return;
    transfer->m_undelivered |= !IsSocketDelivered(socket);
  }

  // NOLINTNEXTLINE(google-runtime-int): libcurl's type
  static int Timer(CURLM* /*multi*/, long timeout_ms, void* context) {
    static_cast<CurlClient*>(context)->SetTimer(timeout_ms);
    return 0;
  }

  static int PrepareSocket(void* /*context*/, curl_socket_t socket,
                           curlsocktype /*purpose*/) {
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
    return CURL_SOCKOPT_OK;
  }
};

CurlClient::CurlClient(EventLoop& loop)
    : m_loop(loop),
      m_multi(curl_multi_init()),
      m_descriptor(epoll_create1(EPOLL_CLOEXEC)) {
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Callbacks::Socket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Callbacks::Timer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxPooledConnections);
  m_loop.Watch(m_descriptor, [this] { HandleSockets(); });
}

CurlClient::~CurlClient() {
  if (m_silence_timer != 0) m_loop.CancelTimer(m_silence_timer);
  for (auto& [id, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, transfer->m_easy);
  }
  m_transfers.clear();
  curl_multi_cleanup(m_multi);
  if (m_timer != 0) m_loop.CancelTimer(m_timer);
  m_loop.Unwatch(m_descriptor);
  close(m_descriptor);
}

HttpPort::CallId CurlClient::Start(HttpCall call, HttpEvents events) {
  auto transfer = std::make_unique<Transfer>();
  transfer->m_client = this;
  transfer->m_id = m_next_id++;
  transfer->m_call = std::move(call);
  transfer->m_events = std::move(events);
  transfer->m_easy = curl_easy_init();
  transfer->m_last_activity = Now();
  Configure(*transfer);
  const CallId id = transfer->m_id;
  const bool limited = transfer->m_call.m_inactivity_timeout.count() > 0;
  m_transfers[id] = std::move(transfer);
  if (limited) ScheduleSilenceCheck();
  m_started.push_back(id);
  if (!m_in_curl) AddStarted();
  return id;
}

void CurlClient::AddStarted() {
  for (const CallId id : std::exchange(m_started, {})) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) continue;
    curl_multi_add_handle(m_multi, found->second->m_easy);
  }
}

void CurlClient::Configure(Transfer& transfer) {
  CURL* easy = transfer.m_easy;
  const HttpCall& call = transfer.m_call;
  curl_easy_setopt(easy, CURLOPT_URL, call.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  // Ignore proxies from the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Callbacks::PrepareSocket);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Callbacks::Body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Callbacks::Header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMilliseconds(call.m_connect_timeout));
  if (call.m_timeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(call.m_timeout));
  }
  if (call.m_force_new_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (call.m_method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  const std::string_view body = BodyOf(call);
  if (!body.empty() || call.m_method == "POST" || call.m_method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  // Otherwise libcurl waits for "100 Continue" before sending larger bodies.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const HttpField& field : call.m_headers) {
    const std::string line = field.m_name + ": " + field.m_value;
    list = curl_slist_append(list, line.c_str());
  }
  transfer.m_header_list = list;
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
}

// The transfer may be the one whose callback is running, so it is removed in
// the next iteration of the event loop.
void CurlClient::Cancel(CallId id) {
  const auto found = m_transfers.find(id);
  if (found == m_transfers.end() || found->second->m_cancelled) return;
  found->second->m_cancelled = true;
  found->second->m_events = {};
  m_cancelled.push_back(id);
  if (m_cancelled.size() == 1) {
    m_loop.StartTimer(Duration(0), [this] { RemoveCancelled(); });
  }
}

void CurlClient::RemoveCancelled() {
  for (const CallId id : std::exchange(m_cancelled, {})) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) continue;
    curl_multi_remove_handle(m_multi, found->second->m_easy);
    m_transfers.erase(found);
  }
}

void CurlClient::HandleSockets() {
  std::array<epoll_event, 128> events{};
  const int count = epoll_wait(m_descriptor, events.data(), events.size(), 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    int mask = 0;
    if ((event.events & EPOLLIN) != 0) mask |= CURL_CSELECT_IN;
    if ((event.events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
    if ((event.events & (EPOLLERR | EPOLLHUP)) != 0) mask |= CURL_CSELECT_ERR;
    int running = 0;
    m_in_curl = true;
    curl_multi_socket_action(m_multi, event.data.fd, mask, &running);
    m_in_curl = false;
  }
  ProcessFinished();
  AddStarted();
}

void CurlClient::HandleTimeout() {
  m_timer = 0;
  int running = 0;
  m_in_curl = true;
  curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
  m_in_curl = false;
  ProcessFinished();
  AddStarted();
}

// NOLINTNEXTLINE(google-runtime-int): libcurl's type
void CurlClient::SetTimer(long timeout_ms) {
  if (m_timer != 0) m_loop.CancelTimer(m_timer);
  m_timer = 0;
  if (timeout_ms < 0) return;
  m_timer = m_loop.StartTimer(std::chrono::milliseconds(timeout_ms),
                              [this] { HandleTimeout(); });
}

void CurlClient::ProcessFinished() {
  std::vector<std::pair<CallId, CURLcode>> finished;
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    finished.emplace_back(transfer->m_id, message->data.result);
  }
  for (const auto& [id, code] : finished) Finish(id, code);
}

void CurlClient::Finish(CallId id, CURLcode code) {
  const auto found = m_transfers.find(id);
  if (found == m_transfers.end() || found->second->m_cancelled) return;
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  m_transfers.erase(found);
  HttpResult result;
  if (transfer->m_head_complete) result.m_status = transfer->Status();
  result.m_sent = transfer->Sent();
  HttpError error = ToHttpError(code);
  if (transfer->m_too_large) error = HttpError::kTooLarge;
  if (transfer->m_malformed) error = HttpError::kMalformedResponse;
  if (error == HttpError::kOk && !transfer->IsWhole()) {
    error = HttpError::kConnectionLost;
  }
  if (error == HttpError::kTimeout && !result.m_sent) {
    error = HttpError::kConnectFailed;
  }
  if (error != HttpError::kOk) result.m_error = error;
  if (result.m_status != 0) transfer->ReportHead();
  curl_multi_remove_handle(m_multi, transfer->m_easy);
  if (transfer->m_events.m_on_end) transfer->m_events.m_on_end(result);
}

// Scheduled only while a call has a silence limit, so that idle clients cause
// no wake-ups.
void CurlClient::ScheduleSilenceCheck() {
  if (m_silence_timer != 0) return;
  m_silence_timer = m_loop.StartTimer(kSweepPeriod, [this] {
    m_silence_timer = 0;
    CancelSilentCalls();
  });
}

void CurlClient::CancelSilentCalls() {
  const Instant now = Now();
  std::vector<CallId> silent;
  for (const auto& [id, transfer] : m_transfers) {
    const Duration limit = transfer->m_call.m_inactivity_timeout;
    if (limit.count() == 0 || transfer->m_cancelled) continue;
    ScheduleSilenceCheck();
    if (now - transfer->m_last_activity > limit) silent.push_back(id);
  }
  for (const CallId id : silent) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) continue;
    const HttpResult result{HttpError::kInactivityTimeout,
                            found->second->Status(), found->second->Sent()};
    const auto on_end = found->second->m_events.m_on_end;
    Cancel(id);
    if (on_end) on_end(result);
  }
}

}  // namespace comfreypaddle
