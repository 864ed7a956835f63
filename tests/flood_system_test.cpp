// An endpoint that sends without end to dozens of calls at once. The instance
// must stay within the memory of the smallest machines and go on serving.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>

#include "sockets.h"
#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlatformCluster;
using testing::Reply;

constexpr double kMachineMemoryMb = 160;
constexpr std::size_t kCalls = 48;

// Answers each connection with a prefix and then repeats bytes until the caller
// closes.
class FloodServer {
 public:
  FloodServer(SocketSet& sockets, std::string prefix,
              const std::string& repeated)
      : m_sockets(sockets),
        m_prefix(std::move(prefix)),
        m_port(testing::FreePort()),
        m_listener(ListenTcp("127.0.0.1", m_port)) {
    constexpr std::size_t kRepeatedBytes = 256U << 10U;
    while (m_repeated.size() < kRepeatedBytes) m_repeated += repeated;
    m_listener_watch =
        sockets.Add(m_listener, EPOLLIN, [this](std::uint32_t) { Accept(); });
  }
  ~FloodServer() {
    while (!m_connections.empty()) Close(m_connections.begin()->first);
    m_sockets.Remove(m_listener_watch);
    close(m_listener);
  }
  FloodServer(const FloodServer&) = delete;
  FloodServer& operator=(const FloodServer&) = delete;

  std::uint16_t Port() const { return m_port; }
  std::size_t Accepted() const { return m_accepted; }

 private:
  struct Connection {
    std::uint64_t m_watch = 0;
    bool m_began = false;
    std::string m_output;
  };

  void Accept() {
    const int descriptor =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    ++m_accepted;
    m_connections[descriptor].m_watch =
        m_sockets.Add(descriptor, EPOLLIN,
                      [this, descriptor](std::uint32_t) { Serve(descriptor); });
  }

  // Starts to send when the request arrives.
  void Serve(int descriptor) {
    Connection& connection = m_connections.at(descriptor);
    char request[16384];
    const ssize_t count =
        recv(descriptor, request, sizeof(request), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
      Close(descriptor);
      return;
    }
    if (!connection.m_began) {
      connection.m_began = true;
      connection.m_output = m_prefix;
      m_sockets.SetEvents(connection.m_watch, EPOLLIN | EPOLLOUT);
    }
    if (connection.m_output.empty()) connection.m_output = m_repeated;
    const ssize_t sent =
        send(descriptor, connection.m_output.data(), connection.m_output.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) connection.m_output.erase(0, sent);
    if (sent < 0 && errno != EAGAIN) Close(descriptor);
  }

  void Close(int descriptor) {
    m_sockets.Remove(m_connections.at(descriptor).m_watch);
    m_connections.erase(descriptor);
    close(descriptor);
  }

  SocketSet& m_sockets;
  std::string m_prefix;
  std::string m_repeated;
  std::uint16_t m_port;
  int m_listener;
  std::uint64_t m_listener_watch = 0;
  std::map<int, Connection> m_connections;
  std::size_t m_accepted = 0;
};

struct FloodCase {
  std::string m_name;
  std::string m_target;  // Prefix of the requests.
  std::string m_prefix;
  std::string m_repeated;
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string event_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::vector<FloodCase> FloodCases() {
  return {
      {"a head", "/once/", head, "A: b\r\n"},
      {"bytes that are not HTTP", "/once/", "", "x"},
      {"a body without length", "/once/", head + "\r\n", "x"},
      {"a body of huge length", "/once/",
       head + "Content-Length: 99999999999\r\n\r\n", "x"},
      {"chunks", "/once/", head + "Transfer-Encoding: chunked\r\n\r\n",
       "10\r\nxxxxxxxxxxxxxxxx\r\n"},
      {"an error in place of a stream", "/stream/",
       "HTTP/1.1 500 Error\r\n\r\n", "x"},
      {"a stream of another type", "/stream/", head + "\r\n", "x"},
      {"one event", "/stream/", event_head, "data: x\n"},
      {"events that repeat", "/stream/", event_head, "id: 1\ndata: x\n\n"},
      {"interim responses", "/stream/", "", "HTTP/1.1 102 P\r\n\r\n"},
  };
}

// A caller that sends a request and reads nothing.
class SilentCaller {
 public:
  SilentCaller(std::uint16_t port, const std::string& target)
      : m_descriptor(ConnectTcp("127.0.0.1", port)),
        m_request("POST " + target +
                  " HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n"
                  "Attempt-Id: silent\r\nDeadline-Ms: 9000\r\n"
                  "Content-Length: 0\r\n\r\n") {}
  ~SilentCaller() { close(m_descriptor); }
  SilentCaller(const SilentCaller&) = delete;
  SilentCaller& operator=(const SilentCaller&) = delete;

  // Returns whether the request has been sent.
  bool Send() {
    if (m_request.empty()) return true;
    const ssize_t sent = send(m_descriptor, m_request.data(), m_request.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) m_request.erase(0, sent);
    return m_request.empty();
  }

 private:
  int m_descriptor;
  std::string m_request;
};

// One instance, a sound endpoint and a flooding one.
void CheckFlood(const FloodCase& flood) {
  CAPTURE(flood.m_name);
  PlatformCluster cluster("flood");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  FloodServer server(cluster.Sockets(), flood.m_prefix, flood.m_repeated);
  cluster.StartEntry(1);
  REQUIRE(cluster.Until(
      [&] { return cluster.Call(1, "GET", "/safe/first").m_status == 200; }));
  for (int i = 0; i < 4; ++i) {
    cluster.RegisterEndpoint("flood-" + std::to_string(i), "plain",
                             server.Port());
  }
  cluster.Endpoint(0).SetOverloaded(true);
  std::vector<std::shared_ptr<Reply>> calls;
  REQUIRE(cluster.Until([&] {
    for (std::size_t i = 0; i < kCalls / 8; ++i) {
      calls.push_back(cluster.Start(
          1, "POST", flood.m_target + std::to_string(calls.size())));
    }
    cluster.Until([] { return false; }, milliseconds(50));
    return server.Accepted() >= kCalls || calls.size() > 40 * kCalls;
  }));
  CHECK(server.Accepted() >= kCalls);
  cluster.Endpoint(0).SetOverloaded(false);
  std::vector<std::shared_ptr<Reply>> others;
  for (int i = 0; i < 40; ++i) {
    others.push_back(cluster.Start(1, "GET", "/safe/" + std::to_string(i)));
    cluster.Until([] { return false; }, milliseconds(50));
  }
  const auto ended = [](const std::vector<std::shared_ptr<Reply>>& replies) {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->m_ended; });
  };
  CHECK(cluster.Until([&] { return ended(calls) && ended(others); },
                      seconds(12)));
  const auto answered =
      std::count_if(others.begin(), others.end(), [](const auto& reply) {
        return reply->m_status == 200 && !reply->m_error;
      });
  CHECK(answered >= 36);
  CHECK_FALSE(cluster.Entry(1).ExitCode().has_value());
  const double peak_mb = cluster.Entry(1).PeakMemoryMb();
  MESSAGE(flood.m_name, ": ", server.Accepted(), " calls, peak ", peak_mb,
          " MB, others answered ", answered);
  CHECK(peak_mb > 0);
  CHECK(peak_mb < kMachineMemoryMb);
}

// Guards against an instance that keeps all that faulty endpoints send to many
// calls, and runs out of memory.
TEST_CASE("endpoints that send without end do not exhaust the memory") {
  for (const FloodCase& flood : FloodCases()) CheckFlood(flood);
}

// Guards against streams without end whose callers do not read: each stays
// within the limit of its own backlog, and all together fill the memory.
TEST_CASE("streams without end that nobody reads do not exhaust the memory") {
  PlatformCluster cluster("flood");
  cluster.Configure(1, R"(["k1"])");
  FloodServer server(cluster.Sockets(), event_head, "data: xxxxxxxxxxxx\n\n");
  for (int i = 0; i < 4; ++i) {
    cluster.RegisterEndpoint("flood-" + std::to_string(i), "plain",
                             server.Port());
  }
  cluster.StartEntry(1);
  std::vector<std::unique_ptr<SilentCaller>> callers;
  for (std::size_t i = 0; i < 2 * kCalls; ++i) {
    callers.push_back(std::make_unique<SilentCaller>(
        cluster.CallerPort(1), "/stream/" + std::to_string(i)));
  }
  const auto all_sent = [&callers] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->Send(); });
  };
  CHECK(cluster.Until(all_sent));
  cluster.Until([] { return false; }, seconds(6));
  CHECK(server.Accepted() > 0);
  CHECK_FALSE(cluster.Entry(1).ExitCode().has_value());
  const double peak_mb = cluster.Entry(1).PeakMemoryMb();
  MESSAGE(server.Accepted(), " calls, peak ", peak_mb, " MB");
  CHECK(peak_mb > 0);
  CHECK(peak_mb < kMachineMemoryMb);
}

}  // namespace
}  // namespace comfreypaddle
