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

const std::string full_stream =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
    "id: 4\ndata: x\n\nid: 5\ndata: x\n\n";

std::string ReadLog(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Covers the whole path with real processes: three kinds of requests,
// authentication by key, and usage reports.
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
  CHECK(FindFieldIgnoreCase(safe.m_headers, "Server-Stamp") != nullptr);
  CHECK(cluster.Call(2, "POST", "/once/x").m_status == 200);
  const Reply stream = cluster.Call(1, "POST", "/stream/x");
  CHECK(stream.m_body == full_stream);
  CHECK(cluster.Call(1, "GET", "/none/x").m_status == 404);
  CHECK(cluster.Call(2, "GET", "/safe/x", "wrong").m_status == 401);
  for (std::size_t i = 0; i < 2; ++i) {
    for (const HttpRequest& request : cluster.Endpoint(i).Requests()) {
      CHECK(FindFieldIgnoreCase(request.m_headers, "Key") == nullptr);
      CHECK(*FindFieldIgnoreCase(request.m_headers, "Tenant") == "w");
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
  CHECK_FALSE(cluster.Duties().HasConflictingReports());
  const std::string log = ReadLog(cluster.LogPath(1));
  CHECK(log.find("event=request_end request=a1 reason=answered") !=
        std::string::npos);
}

// Guards against a removed key or route that remains in effect.
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
  // An older version that arrives late must not replace the newer one.
  cluster.Configure(2, R"(["k1","k2"])");
  cluster.Until([] { return false; }, seconds(1));
  CHECK(cluster.Call(1, "GET", "/safe/x", "k2").m_status == 401);
  CHECK(cluster.Call(1, "GET", "/safe/x", "k1").m_status == 200);
}

// Guards against a resumed stream that loses, merges or repeats events, and
// against running a non-resumable stream a second time.
TEST_CASE("a broken stream is resumed elsewhere only where that is allowed") {
  PlatformCluster cluster("resume");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.Endpoint(0).AbortStreamsAfter(2);
  const Reply cut = cluster.Call(1, "POST", "/stream/x");
  CHECK(cut.m_error == HttpError::kConnectionLost);
  CHECK(cluster.Endpoint(0).Requests().size() == 1);
  // A new process retries only what its own requests back.
  constexpr std::size_t kBackingRequests = 20;
  for (std::size_t i = 0; i < kBackingRequests; ++i) {
    CHECK(cluster.Call(1, "GET", "/safe/x").m_status == 200);
  }
  const auto resumed = cluster.Start(1, "POST", "/again/x");
  REQUIRE(cluster.Until([&] {
    return cluster.Endpoint(0).Requests().size() == 2 + kBackingRequests;
  }));
  cluster.AddEndpoint("plain");
  REQUIRE(cluster.Until([&] { return resumed->m_ended; }));
  CHECK_FALSE(resumed->m_error);
  CHECK(resumed->m_body == full_stream);
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
  CHECK(stream->m_body == full_stream);
  REQUIRE(
      cluster.Until([&] { return cluster.Entry(1).ExitCode().has_value(); }));
  CHECK(*cluster.Entry(1).ExitCode() == 0);
  CHECK(cluster.Until(
      [&] { return cluster.Duties().Calls().back().m_holder == "entry-2"; }));
}

// Guards against a fencing token that decreases, and against two different
// reports of one window, after the holder is killed.
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
  std::uint64_t highest_token = 0;
  for (const testing::DutyCall& call : cluster.Duties().Calls()) {
    CHECK(call.m_fencing_token >= highest_token);
    highest_token = call.m_fencing_token;
  }
  CHECK_FALSE(cluster.Duties().HasConflictingReports());
}

// Guards against a revoked key that remains valid while the store rejects the
// instances that the others follow (incident CONFIG).
TEST_CASE("a change is in force while the first instances lose the store") {
  constexpr int kEntries = 8;
  PlatformCluster cluster("lost-readers");
  cluster.UseProxies();
  cluster.Configure(1, R"(["k1","k2"])");
  cluster.AddEndpoint("plain");
  for (int i = 1; i <= kEntries; ++i) cluster.StartEntry(i);
  // Wait until every instance has read the list of instances.
  cluster.Until([] { return false; }, seconds(6));
  // Only the last instance can still reach the store.
  for (int i = 1; i < kEntries; ++i) cluster.StoreProxy(i).SetPartitioned(true);
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

// Guards against an instance that stops serving while the store is down.
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

// Guards against new requests to an endpoint that said that it leaves while the
// store still lists it as ready.
TEST_CASE("a leaving endpoint gets no new request from the same instance") {
  PlatformCluster cluster("leaving");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.Endpoint(0).SetLeaving(true);
  CHECK(cluster.Call(1, "GET", "/safe/x").m_status == 200);
  cluster.AddEndpoint("plain");
  REQUIRE(cluster.Until(
      [&] { return cluster.Call(1, "GET", "/safe/x").m_status == 200; }));
  const std::size_t before = cluster.Endpoint(0).Requests().size();
  for (int i = 0; i < 20; ++i) {
    CHECK(cluster.Call(1, "GET", "/safe/x").m_status == 200);
  }
  CHECK(before == 1);
  CHECK(cluster.Endpoint(0).Requests().size() == before);
}

// Guards against requests to a full endpoint within the pause that it asked
// for.
TEST_CASE("an endpoint gets no request during the pause that it asked for") {
  PlatformCluster cluster("pause");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  cluster.StartEntry(1);
  cluster.Endpoint(0).SetOverloaded(true, "1.5");
  const Reply refused = cluster.Call(1, "GET", "/safe/x");
  CHECK(refused.m_status == 503);
  CHECK(FindFieldIgnoreCase(refused.m_headers, "Retry-After") != nullptr);
  const Instant paused = Now();
  const int rejections = cluster.Endpoint(0).Rejections();
  CHECK(rejections == 1);
  while (Now() - paused < std::chrono::milliseconds(1200)) {
    CHECK(cluster.Call(1, "GET", "/safe/x").m_status == 503);
  }
  CHECK(cluster.Endpoint(0).Rejections() == rejections);
  cluster.Endpoint(0).SetOverloaded(false);
  CHECK(cluster.Until(
      [&] { return cluster.Call(1, "GET", "/safe/x").m_status == 200; },
      seconds(3)));
}

// Guards against instances that end, or stop following the list, because of one
// entry of another writer: names that no message can carry, deep nesting,
// absurd numbers.
TEST_CASE("odd entries among the endpoints disturb no instance") {
  constexpr int kEntries = 3;
  PlatformCluster cluster("odd-entries");
  cluster.Configure(1, R"(["k1"])");
  cluster.AddEndpoint("plain");
  for (int i = 1; i <= kEntries; ++i) cluster.StartEntry(i);
  const std::string sound_tail =
      R"(","zone":"z1","version":"v1","slots":4,"state":"ready",)"
      R"("coldRemainingMs":0,"sequence":1})";
  const std::string address = R"(,"address":"127.0.0.1:1)";
  cluster.Store().Put("keyed.servers", "odd-utf8",
                      "{\"service\":\"\xff\xfe\"" + address + sound_tail);
  cluster.Store().Put(
      "keyed.servers", "odd-port",
      R"({"service":"plain","address":"127.0.0.1:65536)" + sound_tail);
  cluster.Store().Put("keyed.servers", "odd-nesting",
                      std::string(100'000, '['));
  cluster.Store().Put("keyed.servers", "odd-number",
                      R"({"service":"plain","slots":1e308})");
  cluster.Endpoint(0).SetOverloaded(true, "60");
  cluster.AddEndpoint("plain");
  for (int i = 1; i <= kEntries; ++i) {
    CAPTURE(i);
    // Each instance learns of the sound entry behind the odd ones.
    CHECK(cluster.Until(
        [&] { return cluster.Call(i, "GET", "/safe/x").m_status == 200; },
        seconds(4)));
    CHECK_FALSE(cluster.Entry(i).ExitCode().has_value());
  }
  cluster.Configure(2, R"(["k2"])");
  for (int i = 1; i <= kEntries; ++i) {
    CAPTURE(i);
    CHECK(cluster.Until(
        [&] { return cluster.Call(i, "GET", "/safe/x", "k2").m_status == 200; },
        seconds(4)));
  }
}

}  // namespace
}  // namespace comfreypaddle
