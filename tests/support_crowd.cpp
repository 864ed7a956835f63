#include "support_crowd.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <optional>

#include "sockets.h"

namespace comfreypaddle::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connection of a caller that the operators do not control.
class Crowd::Member {
 public:
  Member(const CrowdKind& kind, std::uint16_t port)
      : m_kind(kind), m_port(port) {
    Connect();
  }
  ~Member() { Close(); }
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Sends and reads what is possible now, and connects again if the instance
  // has closed the connection.
  void Press() {
    if (m_descriptor < 0) Connect();
    if (m_descriptor < 0) return;
    if (!Send() || !Receive()) Close();
  }

 private:
  void Connect() {
    m_descriptor = ConnectTcp("127.0.0.1", m_port);
    m_sent = 0;
  }

  void Close() {
    if (m_descriptor >= 0) close(m_descriptor);
    m_descriptor = -1;
  }

  // Returns the bytes that come after those sent so far.
  std::string NextBytes() const {
    const std::size_t prefix = m_kind.m_prefix.size();
    if (m_sent < prefix) return m_kind.m_prefix.substr(m_sent);
    const std::size_t left = prefix + m_kind.m_repeated_bytes - m_sent;
    const std::size_t size = std::min(left, m_kind.m_bytes_at_once);
    std::string bytes;
    if (m_kind.m_repeated.empty()) return bytes;
    const std::size_t begin = (m_sent - prefix) % m_kind.m_repeated.size();
    while (bytes.size() < begin + size) bytes += m_kind.m_repeated;
    return bytes.substr(begin, size);
  }

  // Returns false if the connection has broken.
  bool Send() {
    const std::string bytes = NextBytes();
    if (bytes.empty()) return true;
    const ssize_t sent = send(m_descriptor, bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) m_sent += static_cast<std::size_t>(sent);
    return sent >= 0 || errno == EAGAIN || errno == ENOTCONN;
  }

  bool Receive() const {
    if (!m_kind.m_reads) return true;
    std::array<char, 16384> buffer;
    const ssize_t count =
        recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return count > 0 || (count < 0 && errno == EAGAIN);
  }

  const CrowdKind& m_kind;
  std::uint16_t m_port;
  int m_descriptor = -1;
  std::size_t m_sent = 0;
};

Crowd::Crowd(const CrowdKind& kind, std::uint16_t port) {
  for (std::size_t i = 0; i < kind.m_connections; ++i) {
    m_members.push_back(std::make_unique<Member>(kind, port));
  }
}

Crowd::~Crowd() = default;

void Crowd::Press() {
  for (const auto& member : m_members) member->Press();
}

StoppedEndpoint::StoppedEndpoint()
    : m_port(FreePort()), m_listener(ListenTcp("127.0.0.1", m_port)) {}

StoppedEndpoint::~StoppedEndpoint() { close(m_listener); }

namespace {

// Status of a request with a body of the largest size.
int StatusOfLargestRequest(PlatformCluster& cluster) {
  HttpClient client(cluster.Sockets());
  HttpCall call;
  call.m_method = "POST";
  call.m_url = "http://127.0.0.1:" + std::to_string(cluster.CallerPort(1)) +
               "/safe/largest";
  call.m_headers = {{"Host", "h.example"},
                    {"Attempt-Id", "largest"},
                    {"Key", "k1"},
                    {"Deadline-Ms", "4000"}};
  call.m_body.assign(kBodyLimit, 'x');
  std::optional<int> status;
  HttpEvents events;
  events.m_on_end = [&](const HttpResult& result) { status = result.m_status; };
  client.Start(std::move(call), std::move(events));
  cluster.Until([&] { return status.has_value(); });
  return status.value_or(0);
}

// Repeats an action until it is true. Returns false after a generous time.
bool Eventually(PlatformCluster& cluster, const std::function<bool()>& holds) {
  for (int i = 0; i < 20; ++i) {
    if (holds()) return true;
    cluster.Until([] { return false; }, milliseconds(500));
  }
  return false;
}

}  // namespace

std::string PostHead(const std::string& fields) {
  return "POST /safe/crowd HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n" +
         fields + "\r\n";
}

void CheckCrowd(const CrowdKind& kind) {
  CAPTURE(kind.m_name);
  PlatformCluster cluster("crowd");
  cluster.Configure(1, R"(["k1"])");
  cluster.SetSlots(100);
  cluster.AddEndpoint("plain");
  cluster.LaunchEntry(1);
  cluster.Entry(1).LimitDescriptors(kDescriptorLimit);
  REQUIRE(cluster.Until([&] { return cluster.IsReady(1); }));
  const auto is_answered = [&] {
    return cluster.Call(1, "GET", "/safe/one").m_status == 200;
  };
  REQUIRE(cluster.Until(is_answered));
  const StoppedEndpoint stopped;
  if (kind.m_stopped_endpoint) {
    cluster.RegisterEndpoint("stopped", "plain", stopped.Port());
    cluster.Endpoint(0).SetOverloaded(true);
    cluster.Until([] { return false; }, seconds(2));
  }
  auto crowd = std::make_unique<Crowd>(kind, cluster.CallerPort(1));
  std::size_t descriptors = 0;
  const Instant end = Now() + kCrowdTime;
  while (Now() < end) {
    crowd->Press();
    cluster.Until([] { return false; }, kCrowdRoundTime);
    descriptors = std::max(descriptors, cluster.Entry(1).OpenDescriptors());
  }
  if (kind.m_stopped_endpoint) {
    cluster.RemoveEndpoint("stopped");
    cluster.Endpoint(0).SetOverloaded(false);
  }
  CHECK(Eventually(cluster, is_answered));
  crowd.reset();
  CHECK(Eventually(cluster,
                   [&] { return StatusOfLargestRequest(cluster) == 200; }));
  CHECK_FALSE(cluster.Entry(1).ExitCode().has_value());
  const double peak_mb = cluster.Entry(1).PeakMemoryMb();
  MESSAGE(kind.m_name, ": peak ", peak_mb, " MB, ", descriptors,
          " descriptors");
  CHECK(peak_mb > 0);
  CHECK(peak_mb < kMaxMemoryMb);
  CHECK(descriptors > 0);
  CHECK(descriptors <= kMaxDescriptors);
}

}  // namespace comfreypaddle::testing
