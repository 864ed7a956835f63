// A faulty server may stop at any byte of its response and close the connection
// in order. The HTTP clients must not take what arrived for a whole response.
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

constexpr Duration kTestTimeout = std::chrono::seconds(20);

// Sends the response to the first request and stops sending.
class TruncatingServer {
 public:
  explicit TruncatingServer(std::string response)
      : m_response(std::move(response)), m_listener(ListenTcp("127.0.0.1", 0)) {
    REQUIRE(m_listener >= 0);
  }
  ~TruncatingServer() {
    if (m_descriptor >= 0) close(m_descriptor);
    close(m_listener);
  }
  TruncatingServer(const TruncatingServer&) = delete;
  TruncatingServer& operator=(const TruncatingServer&) = delete;

  std::string Url() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    return "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
  }

  // Must be called repeatedly.
  void SendPending() {
    if (m_descriptor < 0) {
      m_descriptor =
          accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    }
    if (m_descriptor < 0 || m_sent) return;
    char request[4096];
    if (recv(m_descriptor, request, sizeof(request), MSG_DONTWAIT) <= 0) return;
    m_sent = true;
    send(m_descriptor, m_response.data(), m_response.size(), MSG_NOSIGNAL);
    shutdown(m_descriptor, SHUT_WR);
  }

 private:
  std::string m_response;
  int m_listener;
  int m_descriptor = -1;
  bool m_sent = false;
};

// Calls the server and returns how the call ended.
HttpResult CallServer(EventLoop& loop, HttpPort& port,
                      const std::string& response, bool* head_reported) {
  TruncatingServer server(response);
  std::optional<HttpResult> result;
  HttpCall call;
  call.m_method = "POST";
  call.m_url = server.Url();
  call.m_force_new_connection = true;
  HttpEvents events;
  events.m_on_head = [head_reported](int /*status*/, const HttpFields&) {
    *head_reported = true;
  };
  events.m_on_end = [&result](const HttpResult& end) { result = end; };
  port.Start(std::move(call), std::move(events));
  REQUIRE(RunUntil(loop, kTestTimeout, [&] {
    server.SendPending();
    return result.has_value();
  }));
  return *result;
}

// Response, and the bytes of its body without which it is incomplete.
struct ResponseCase {
  std::string m_head;
  std::string m_body;
  std::size_t m_needed = 0;
};

std::vector<ResponseCase> ResponseCases() {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  // A chunked body is complete with its last chunk (RFC 9112, section 8), which
  // the line of the trailer follows.
  const std::string chunks = "4\r\nbody\r\n0\r\n";
  return {
      {start + "Content-Length: 4\r\n\r\n", "body", 4},
      {start + "Transfer-Encoding: chunked\r\n\r\n", chunks + "\r\n",
       chunks.size()},
      {start + "Connection: close\r\n\r\n", "body", 0},
  };
}

// Checks a client against each response that stops before its end.
void CheckTruncated(EventLoop& loop, HttpPort& port) {
  for (const ResponseCase& response : ResponseCases()) {
    const std::string whole = response.m_head + response.m_body;
    const std::size_t needed = response.m_head.size() + response.m_needed;
    for (std::size_t size = 0; size < needed; ++size) {
      CAPTURE(whole.substr(0, size));
      bool head_reported = false;
      const HttpResult result =
          CallServer(loop, port, whole.substr(0, size), &head_reported);
      CHECK(result.m_error);
      if (size < response.m_head.size()) CHECK_FALSE(head_reported);
    }
    bool head_reported = false;
    CHECK_FALSE(CallServer(loop, port, whole, &head_reported).m_error);
    CHECK(head_reported);
  }
}

// Failure: callers got a 200 with an empty or short body, framed as whole.
TEST_CASE("HttpClient does not take a truncated response for a whole one") {
  EventLoop loop;
  SocketSet sockets(loop);
  HttpClient client(sockets);
  CheckTruncated(loop, client);
}

TEST_CASE("CurlClient does not take a truncated response for a whole one") {
  EventLoop loop;
  CurlClient client(loop);
  CheckTruncated(loop, client);
}

}  // namespace
}  // namespace comfreypaddle
