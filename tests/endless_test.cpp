// A faulty server may send invalid or unlimited data until the connection is
// closed. The HTTP clients must end such a call and bound the data they take.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "curlclient.h"
#include "httpclient.h"
#include "sockets.h"
#include "support.h"

namespace comfreypaddle {
namespace {

using testing::RunUntil;

constexpr Duration kInactivityTimeout = std::chrono::seconds(2);
constexpr Duration kTestTimeout = std::chrono::seconds(20);

// Maximum number of bytes that a call may take before it closes the connection:
// the smallest machine has 160 MB of memory.
constexpr std::size_t kMaxBytes = 32U << 20U;

// Sends a prefix and then repeats the same bytes without end.
class EndlessServer {
 public:
  EndlessServer(std::string prefix, const std::string& repeated)
      : m_prefix(std::move(prefix)), m_listener(ListenTcp("127.0.0.1", 0)) {
    constexpr std::size_t kRepeatedBytes = 64U << 10U;
    while (m_repeated.size() < kRepeatedBytes) m_repeated += repeated;
  }
  ~EndlessServer() {
    if (m_descriptor >= 0) close(m_descriptor);
    close(m_listener);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string Url() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    return "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
  }

  // Sends until the socket would block. Must be called repeatedly.
  void SendPending() {
    if (m_descriptor < 0) {
      m_descriptor =
          accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (m_descriptor < 0) return;
      Send(m_prefix);
    }
    while (!m_closed && m_sent < 2 * kMaxBytes && Send(m_repeated)) {
    }
    char request[4096];
    if (recv(m_descriptor, request, sizeof(request), MSG_DONTWAIT) == 0) {
      m_closed = true;
    }
  }

  bool Closed() const { return m_closed; }
  std::size_t Sent() const { return m_sent; }

 private:
  // Returns whether the socket accepted all bytes.
  bool Send(std::string_view bytes) {
    if (bytes.empty()) return true;
    const ssize_t count =
        send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      m_sent += static_cast<std::size_t>(count);
      return static_cast<std::size_t>(count) == bytes.size();
    }
    m_closed = errno != EAGAIN && errno != EWOULDBLOCK;
    return false;
  }

  std::string m_prefix;
  std::string m_repeated;
  int m_listener;
  int m_descriptor = -1;
  bool m_closed = false;
  std::size_t m_sent = 0;
};

// Starts a call and checks that the client ends it with an error and closes the
// connection.
void CheckCallFails(EventLoop& loop, HttpPort& port, EndlessServer& server,
                    std::uint64_t max_body) {
  std::optional<HttpResult> result;
  std::size_t body = 0;
  HttpCall call;
  call.m_url = server.Url();
  call.m_inactivity_timeout = kInactivityTimeout;
  if (max_body > 0) call.m_max_body_bytes = max_body;
  call.m_match_response = [](const HttpFields& fields) {
    return FindFieldIgnoreCase(fields, "stray") == nullptr
               ? ResponseMatch::kOwn
               : ResponseMatch::kOther;
  };
  HttpEvents events;
  events.m_on_body = [&body](std::string_view bytes) { body += bytes.size(); };
  events.m_on_end = [&result](const HttpResult& end) { result = end; };
  port.Start(std::move(call), std::move(events));
  CHECK(RunUntil(loop, kTestTimeout, [&] {
    server.SendPending();
    return result.has_value() && server.Closed();
  }));
  REQUIRE(result.has_value());
  CHECK(result->m_error);
  CHECK(result->m_sent);
  if (max_body > 0) CHECK(body <= max_body);
}

constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::uint64_t kBodyLimit = 1U << 20U;

struct EndlessCase {
  std::string m_name;
  std::string m_prefix;
  std::string m_repeated;
  std::uint64_t m_max_body_bytes = 0;
};

std::vector<EndlessCase> EndlessCases() {
  return {
      {"no line ends", "", "x"},
      {"bytes that are not HTTP", "", "garbage\r\n"},
      {"a head of one field", std::string(kHead) + "A: ", "x"},
      {"a head of many fields", std::string(kHead), "A: b\r\n"},
      {"a body without length", std::string(kHead) + "\r\n", "x", kBodyLimit},
      {"many chunks", std::string(kChunkedHead), "1\r\nx\r\n", kBodyLimit},
  };
}

// Checks that HttpClient, which the entry instances use, bounds its input.
void CheckHttpClient(const EndlessCase& endless) {
  CAPTURE(endless.m_name);
  EventLoop loop;
  SocketSet sockets(loop);
  HttpClient client(sockets);
  EndlessServer server(endless.m_prefix, endless.m_repeated);
  CheckCallFails(loop, client, server, endless.m_max_body_bytes);
  CHECK(server.Sent() < kMaxBytes);
}

// Guards against memory exhaustion by a response that never ends.
TEST_CASE("HttpClient aborts a response that never ends") {
  for (const EndlessCase& endless : EndlessCases()) CheckHttpClient(endless);
}

TEST_CASE("HttpClient limits the data that it skips before a response") {
  const std::vector<EndlessCase> cases = {
      {"the extension of a chunk", std::string(kChunkedHead) + "1;a=", "x"},
      {"trailer fields", std::string(kChunkedHead) + "0\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"responses to other calls", "",
       "HTTP/1.1 200 OK\r\nstray: 1\r\nContent-Length: 2\r\n\r\nxx"},
      {"the body of a response to another call",
       "HTTP/1.1 200 OK\r\nstray: 1\r\n\r\n", "x"},
  };
  for (const EndlessCase& endless : cases) CheckHttpClient(endless);
}

TEST_CASE("Client aborts a response that never ends") {
  for (const EndlessCase& endless : EndlessCases()) {
    CAPTURE(endless.m_name);
    EventLoop loop;
    CurlClient client(loop);
    EndlessServer server(endless.m_prefix, endless.m_repeated);
    CheckCallFails(loop, client, server, endless.m_max_body_bytes);
    CHECK(server.Sent() < kMaxBytes);
  }
}

// libcurl discards a chunk extension while it arrives, so it takes no memory
// and the inactivity timeout ends the call.
TEST_CASE("an endless chunk extension counts as inactivity in Client") {
  EventLoop loop;
  CurlClient client(loop);
  EndlessServer server(std::string(kChunkedHead) + "1;a=", "x");
  CheckCallFails(loop, client, server, 0);
}

}  // namespace
}  // namespace comfreypaddle
