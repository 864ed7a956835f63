#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <fstream>
#include <set>
#include <sstream>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::seconds;
using testing::PlatformCluster;
using testing::Reply;

const std::string whole_stream =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
    "id: 4\ndata: x\n\nid: 5\ndata: x\n\n";

std::string ReadLog(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The whole path in real processes: three kinds of requests, keys, usage.
TEST_CASE("requests of each kind are served and reported as usage") {
  PlatformCluster cluster("serve");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.StartEntry(2);
  const Reply safe = cluster.Call(1, "GET", "/safe/a%2Fb?x=%20");
  CHECK(safe.m_status == 200);
  CHECK(safe.m_body == "ran /safe/a%2Fb?x=%20");
  CHECK(FindFieldAnyCase(safe.m_headers, "Server-Stamp") != nullptr);
  CHECK(cluster.Call(2, "POST", "/once/x").m_status == 200);
  const Reply stream = cluster.Call(1, "POST", "/stream/x");
  CHECK(stream.m_body == whole_stream);
  CHECK(cluster.Call(1, "GET", "/none/x").m_status == 404);
  CHECK(cluster.Call(2, "GET", "/safe/x", "wrong").m_status == 401);
  for (std::size_t i = 0; i < 2; ++i) {
    for (const HttpRequest& request : cluster.Endpoint(i).Requests()) {
      CHECK(FindFieldAnyCase(request.m_headers, "Key") == nullptr);
      CHECK(*FindFieldAnyCase(request.m_headers, "Tenant") == "w");
    }
  }
  std::uint64_t reported = 0;
  CHECK(cluster.Until([&] {
    reported = 0;
    for (const auto& [window, body] : cluster.Duties().Reports()) {
      const std::size_t at = body.find("\"w\" : ");
      if (at != std::string::npos) reported += std::stoull(body.substr(at + 6));
    }
    return reported == 3;
  }));
  CHECK(reported == 3);
  CHECK_FALSE(cluster.Duties().Contradicted());
  const std::string log = ReadLog(cluster.LogPath(1));
  CHECK(log.find("event=request_end request=a1 reason=answered") !=
        std::string::npos);
}

// Guards against an old key or route that stays in force.
TEST_CASE("a new configuration is in force and a withdrawn key is refused") {
  PlatformCluster cluster("configure");
  cluster.Configure(1, R"(["k1","k2"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  CHECK(cluster.Call(1, "GET", "/safe/x", "k2").m_status == 200);
  cluster.Configure(3, R"(["k1"])");
  CHECK(cluster.Until(
      [&] { return cluster.Call(1, "GET", "/safe/x", "k2").m_status == 401; },
      seconds(3)));
  // An older version that arrives late does not come back into force.
  cluster.Configure(2, R"(["k1","k2"])");
  cluster.Until([] { return false; }, seconds(1));
  CHECK(cluster.Call(1, "GET", "/safe/x", "k2").m_status == 401);
  CHECK(cluster.Call(1, "GET", "/safe/x", "k1").m_status == 200);
}

// Guards against a stream that is cut, joined or repeated by a resumption, and
// against a second run of one that may not be resumed.
TEST_CASE("a broken stream is resumed elsewhere only where that is allowed") {
  PlatformCluster cluster("resume");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.Endpoint(0).BreakAfter(2);
  const Reply cut = cluster.Call(1, "POST", "/stream/x");
  CHECK(cut.m_error == HttpError::kConnectionLost);
  CHECK(cluster.Endpoint(0).Requests().size() == 1);
  const auto resumed = cluster.Start(1, "POST", "/again/x");
  REQUIRE(cluster.Until(
      [&] { return cluster.Endpoint(0).Requests().size() == 2; }));
  cluster.AddEndpoint("plain");
  REQUIRE(cluster.Until([&] { return resumed->m_ended; }));
  CHECK_FALSE(resumed->m_error);
  CHECK(resumed->m_body == whole_stream);
  CHECK(cluster.Endpoint(1).Requests().size() == 1);
}

TEST_CASE("a planned stop cuts no request and hands the duties over") {
  PlatformCluster cluster("stop");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  REQUIRE(cluster.Until([&] { return !cluster.Duties().Calls().empty(); }));
  cluster.StartEntry(2);
  const auto stream = cluster.Start(1, "POST", "/stream/x");
  REQUIRE(
      cluster.Until([&] { return !cluster.Endpoint(0).Requests().empty(); }));
  cluster.Entry(1).Signal(SIGTERM);
  REQUIRE(cluster.Until([&] { return stream->m_ended; }));
  CHECK(stream->m_body == whole_stream);
  REQUIRE(
      cluster.Until([&] { return cluster.Entry(1).ExitCode().has_value(); }));
  CHECK(*cluster.Entry(1).ExitCode() == 0);
  CHECK(cluster.Until(
      [&] { return cluster.Duties().Calls().back().m_holder == "entry-2"; }));
}

// Guards against two fencing numbers in the wrong order and against a window
// with two figures when its holder dies.
TEST_CASE("the duties of a killed holder are taken over") {
  PlatformCluster cluster("kill");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  REQUIRE(cluster.Until([&] { return !cluster.Duties().Calls().empty(); }));
  cluster.StartEntry(2);
  cluster.Call(2, "GET", "/safe/x");
  cluster.Entry(1).Signal(SIGKILL);
  REQUIRE(cluster.Until(
      [&] { return cluster.Duties().Calls().back().m_holder == "entry-2"; }));
  std::uint64_t fence = 0;
  for (const testing::DutyCall& call : cluster.Duties().Calls()) {
    CHECK(call.m_fence >= fence);
    fence = call.m_fence;
  }
  CHECK_FALSE(cluster.Duties().Contradicted());
}

// Guards against a withdrawn key that goes on working while the store turns
// away the instances that the others follow (incident CONFIG).
TEST_CASE("a change is in force while the first instances lose the store") {
  constexpr int kEntries = 8;
  PlatformCluster cluster("lost-readers");
  cluster.UseLinks();
  cluster.Configure(1, R"(["k1","k2"])");
  cluster.AddEndpoint("plain");
  for (int i = 1; i <= kEntries; ++i) cluster.StartEntry(i);
  // All have read the list of instances by then.
  cluster.Until([] { return false; }, seconds(6));
  // The store goes on serving the last one only.
  for (int i = 1; i < kEntries; ++i) cluster.StoreLink(i).SetPartitioned(true);
  cluster.Until([] { return false; }, seconds(1));
  cluster.Configure(2, R"(["k1"])");
  const Instant changed = Now();
  const auto refuses = [&cluster](int entry) {
    return cluster.Call(entry, "GET", "/safe/x", "k2").m_status == 401;
  };
  for (int i = 1; i <= kEntries; ++i) {
    CAPTURE(i);
    CHECK(cluster.Until([&] { return refuses(i); }, seconds(10)));
  }
  CHECK(Now() - changed < std::chrono::milliseconds(2500));
  CHECK(cluster.Call(1, "GET", "/safe/x", "k1").m_status == 200);
}

// Guards against an instance that stops serving because the store is away.
TEST_CASE("requests are served while the store is down") {
  PlatformCluster cluster("down");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.Store().SetDown(true);
  cluster.Until([] { return false; }, seconds(3));
  CHECK(cluster.Call(1, "GET", "/safe/x").m_status == 200);
  cluster.Store().SetDown(false);
  cluster.Configure(2, R"(["k9"])");
  CHECK(cluster.Until(
      [&] { return cluster.Call(1, "GET", "/safe/x", "k9").m_status == 200; },
      seconds(3)));
}

}  // namespace
}  // namespace comfreypaddle
