// Endpoints whose responses no server may send, with a real process.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using testing::FreePort;
using testing::PlatformCluster;
using testing::Reply;

// Sends the same bytes in response to each request and keeps its connections
// open until the client closes them.
class OddEndpoint {
 public:
  explicit OddEndpoint(std::string response)
      : m_response(std::move(response)),
        m_port(FreePort()),
        m_listener(ListenTcp("127.0.0.1", m_port)) {
    REQUIRE(m_listener >= 0);
    REQUIRE(pipe(m_stop) == 0);
    m_thread = std::thread([this] { Serve(); });
  }
  ~OddEndpoint() {
    close(m_stop[1]);
    m_thread.join();
    close(m_stop[0]);
    close(m_listener);
  }
  OddEndpoint(const OddEndpoint&) = delete;
  OddEndpoint& operator=(const OddEndpoint&) = delete;

  std::uint16_t Port() const { return m_port; }

 private:
  void Serve() {
    std::vector<pollfd> sockets = {{m_stop[0], POLLIN, 0},
                                   {m_listener, POLLIN, 0}};
    while (poll(sockets.data(), sockets.size(), -1) >= 0 &&
           sockets[0].revents == 0) {
      for (std::size_t i = sockets.size(); i-- > 2;) {
        if (sockets[i].revents == 0 || Answer(sockets[i].fd)) continue;
        close(sockets[i].fd);
        sockets.erase(sockets.begin() + static_cast<std::ptrdiff_t>(i));
      }
      if (sockets[1].revents == 0) continue;
      const int accepted = accept(m_listener, nullptr, nullptr);
      if (accepted >= 0) sockets.push_back({accepted, POLLIN, 0});
    }
    for (std::size_t i = 2; i < sockets.size(); ++i) close(sockets[i].fd);
  }

  // Answers what was received. Returns false if the client has closed.
  bool Answer(int connection) const {
    char request[16384];
    if (recv(connection, request, sizeof(request), 0) <= 0) return false;
    send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL);
    return true;
  }

  std::string m_response;
  std::uint16_t m_port;
  int m_listener;
  int m_stop[2] = {-1, -1};
  std::thread m_thread;
};

// Guards against a request that waits to its deadline after status 000, and
// against an endpoint that gets further requests although it sends no valid
// response.
TEST_CASE("a status that is none ends the attempt, and its endpoint fails") {
  for (const char* status : {"000", "101", "600"}) {
    CAPTURE(status);
    OddEndpoint odd("HTTP/1.1 " + std::string(status) +
                    " x\r\nContent-Length: 2\r\n\r\nok");
    PlatformCluster cluster("odd-" + std::string(status));
    cluster.Configure(1, R"(["k1"])");
    cluster.SetRetry("budget_ratio = 10\n");
    cluster.RegisterEndpoint("odd", "plain", odd.Port());
    cluster.StartEntry(1);
    const Instant start = Now();
    const Reply once = cluster.Call(1, "POST", "/once/1");
    CHECK(once.m_status == 502);
    CHECK(Now() - start < std::chrono::seconds(2));
    CHECK(cluster.CountLogLines(1, "event=attempt_failed", "endpoint=odd") > 0);
    cluster.AddEndpoint("plain");
    CHECK(cluster.Until(
        [&] { return cluster.Call(1, "POST", "/safe/1").m_status == 200; }));
    CHECK(cluster.Call(1, "POST", "/once/2").m_status == 200);
  }
}

}  // namespace
}  // namespace comfreypaddle
