// Crowds of callers that the operators do not control, at the listeners of
// `serve`: for callers, for operators and for other instances. The instance
// must stay within the memory of the smallest machines and within its
// descriptors, and go on serving others. Runs real processes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "support_crowd.h"
#include "support_process.h"

namespace comfreypaddle {
namespace {

using std::chrono::seconds;
using testing::Cluster;
using testing::Crowd;
using testing::CrowdKind;
using testing::kBodyLimit;
using testing::kCrowdRoundTime;
using testing::kCrowdTime;
using testing::kDescriptorLimit;
using testing::kMaxDescriptors;
using testing::kMaxMemoryMb;
using testing::StoppedEndpoint;

constexpr std::size_t kWithoutEnd = 1U << 30U;

// Limit of a response to an ordinary request, which may be turned away and sent
// again while the crowd is connected.
constexpr Duration kOrdinaryTime = seconds(3);

enum class ListenerRole { kCallers, kOperators, kInstances };

std::string Head(const std::string& start, const std::string& fields) {
  return start +
         " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret-1\r\n"
         "Content-Type: application/json\r\n" +
         fields + "\r\n";
}

std::string LengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::uint16_t PortOf(const Cluster& cluster, ListenerRole role) {
  switch (role) {
    case ListenerRole::kCallers:
      return cluster.Ports(1).m_callers;
    case ListenerRole::kOperators:
      return cluster.Ports(1).m_operators;
    case ListenerRole::kInstances:
      return cluster.Ports(1).m_peers;
  }
  return 0;
}

// An ordinary request at the listener of the crowd, and its status.
HttpCall OrdinaryCall(const Cluster& cluster, ListenerRole role) {
  HttpCall call;
  switch (role) {
    case ListenerRole::kCallers:
      return cluster.Desk(1, "/desk/one", "");
    case ListenerRole::kOperators:
      call.m_url = cluster.OperatorUrl(1) + "/api/v1/route/desk";
      return call;
    case ListenerRole::kInstances:
      call.m_method = "POST";
      call.m_url =
          "http://127.0.0.1:" + std::to_string(cluster.Ports(1).m_peers) +
          "/peers/v1/rpc";
      call.m_body = R"([{"jsonrpc":"2.0","id":1,"method":"none"}])";
      return call;
  }
  return call;
}

bool EventuallyAnswered(Cluster& cluster, const HttpCall& call) {
  for (int i = 0; i < 8; ++i) {
    if (cluster.Call(call, kOrdinaryTime).m_status == 200) return true;
    cluster.Until([] { return false; }, std::chrono::milliseconds(500));
  }
  return false;
}

// Lets a crowd press on one listener of an instance. Checks that the instance
// lives and stays within its bounds, and that ordinary requests, and afterwards
// one at the limit, are answered.
void CheckServeCrowd(const CrowdKind& kind, ListenerRole role) {
  CAPTURE(kind.m_name);
  Cluster cluster("servecrowd");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  const auto service = cluster.StartService();
  const StoppedEndpoint stopped;
  cluster.StartEntries(1,
                       {{"callers.max_body_bytes", std::to_string(kBodyLimit)},
                        {"callers.machine_mb", "128"}});
  cluster.Entry(1).LimitDescriptors(kDescriptorLimit);
  const bool stops = kind.m_stopped_endpoint;
  cluster.ApplyDefaultResources({stops ? stopped.Port() : engine}, {service});
  const HttpCall ordinary = OrdinaryCall(cluster, role);
  REQUIRE(EventuallyAnswered(cluster, ordinary));

  auto crowd = std::make_unique<Crowd>(kind, PortOf(cluster, role));
  std::size_t descriptors = 0;
  const Instant end = Now() + kCrowdTime;
  while (Now() < end) {
    crowd->Press();
    cluster.Until([] { return false; }, kCrowdRoundTime);
    descriptors = std::max(descriptors, cluster.Entry(1).OpenDescriptors());
  }
  CHECK(EventuallyAnswered(cluster, ordinary));
  crowd.reset();
  HttpCall largest = cluster.Desk(1, "/desk/largest", "");
  largest.m_body.assign(kBodyLimit, 'x');
  CHECK(EventuallyAnswered(cluster, largest));
  CHECK_FALSE(cluster.Entry(1).ExitCode().has_value());
  const double peak_mb = cluster.Entry(1).PeakMemoryMb();
  MESSAGE(kind.m_name, ": peak ", peak_mb, " MB, ", descriptors,
          " descriptors");
  CHECK(peak_mb > 0);
  CHECK(peak_mb < kMaxMemoryMb);
  CHECK(descriptors > 0);
  CHECK(descriptors <= kMaxDescriptors);
}

// Guards against a sum of bodies that has no bound, as each is within the limit
// and waits for its last byte.
TEST_CASE("bodies of callers that never end") {
  CheckServeCrowd({.m_name = "callers, never ended",
                   .m_prefix = Head("POST /desk/x", LengthField(kBodyLimit)),
                   .m_repeated = "x",
                   .m_repeated_bytes = kBodyLimit - 1},
                  ListenerRole::kCallers);
}

// Guards against bodies that are kept after the limit has been passed, and
// whose callers connect again.
TEST_CASE("bodies of callers that are not announced and far over the limit") {
  CheckServeCrowd(
      {.m_name = "callers, not announced over",
       .m_connections = 120,
       .m_prefix = Head("POST /desk/x", "Transfer-Encoding: chunked\r\n"),
       .m_repeated = "8000\r\n" + std::string(0x8000, 'x') + "\r\n",
       .m_repeated_bytes = kWithoutEnd,
       .m_bytes_at_once = 1U << 20U},
      ListenerRole::kCallers);
}

// Guards against copies of a prompt that are kept while its request waits or
// runs: the body, the parsed request and the call to the engine.
TEST_CASE("complete prompts for an engine that has stopped") {
  const std::string begin = R"({"model":"m","max_tokens":4,"prompt":")";
  const std::string end = R"("})";
  const std::string rest =
      std::string(kBodyLimit - begin.size() - end.size(), 'x') + end;
  CheckServeCrowd(
      {.m_name = "callers, complete",
       .m_prefix =
           Head("POST /v1/completions", LengthField(kBodyLimit)) + begin,
       .m_repeated = rest,
       .m_repeated_bytes = rest.size(),
       .m_stopped_endpoint = true},
      ListenerRole::kCallers);
}

// Guards against callers' connections that take the descriptors which
// endpoints, other instances and the log need.
TEST_CASE("many connections of callers") {
  CheckServeCrowd({.m_name = "callers, many connections", .m_connections = 400},
                  ListenerRole::kCallers);
}

// Guards against what `serve` may do otherwise than `entry` with the same
// server: heads, interim responses, and responses that nobody reads.
TEST_CASE("other requests of callers without end") {
  const std::string get = Head("GET /desk/x", "") + Head("GET /readyz", "");
  CrowdKind kind;
  SUBCASE("announced far over the limit") {
    kind = {.m_name = "callers, announced over",
            .m_prefix = Head("POST /desk/x", LengthField(400'000'000)),
            .m_repeated = "x",
            .m_repeated_bytes = kWithoutEnd};
  }
  SUBCASE("one byte at a time") {
    kind = {.m_name = "callers, one byte at a time",
            .m_prefix = Head("POST /desk/x", LengthField(kBodyLimit)),
            .m_repeated = "x",
            .m_repeated_bytes = kBodyLimit,
            .m_bytes_at_once = 1};
  }
  SUBCASE("after an interim response") {
    kind = {.m_name = "callers, expect",
            .m_prefix = Head("POST /desk/x", LengthField(kBodyLimit) +
                                                 "Expect: 100-continue\r\n"),
            .m_repeated = "x",
            .m_repeated_bytes = kBodyLimit - 1};
  }
  SUBCASE("heads") {
    kind = {.m_name = "callers, heads",
            .m_prefix = "GET /desk/x HTTP/1.1\r\n",
            .m_repeated = "A: b\r\n",
            .m_repeated_bytes = kWithoutEnd};
  }
  SUBCASE("pipelined, with responses that nobody reads") {
    kind = {.m_name = "callers, pipelined, no reading",
            .m_repeated = get,
            .m_repeated_bytes = kWithoutEnd,
            .m_reads = false};
  }
  CheckServeCrowd(kind, ListenerRole::kCallers);
}

// Guards against lists of resources that are kept for operators who do not read
// them.
TEST_CASE("responses to operators that nobody reads") {
  CheckServeCrowd({.m_name = "operators, no reading",
                   .m_repeated = Head("GET /api/v1/endpoint", "") +
                                 Head("GET /metrics", ""),
                   .m_repeated_bytes = kWithoutEnd,
                   .m_reads = false},
                  ListenerRole::kOperators);
}

// Guards against writes of resources whose sum has no bound.
TEST_CASE("bodies of operators that never end") {
  CheckServeCrowd(
      {.m_name = "operators, never ended",
       .m_prefix = Head("PUT /api/v1/model/x", LengthField(8 << 20)),
       .m_repeated = "x",
       .m_repeated_bytes = (8U << 20U) - 1},
      ListenerRole::kOperators);
}

// Guards against messages of other instances whose sum has no bound.
TEST_CASE("bodies of other instances that never end") {
  CheckServeCrowd(
      {.m_name = "instances, never ended",
       .m_prefix = Head("POST /peers/v1/rpc", LengthField(kBodyLimit)),
       .m_repeated = "x",
       .m_repeated_bytes = kBodyLimit - 1},
      ListenerRole::kInstances);
}

}  // namespace
}  // namespace comfreypaddle
