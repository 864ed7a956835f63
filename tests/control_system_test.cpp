#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <map>
#include <set>

#include "http.pb.h"
#include "json.h"
#include "resources.pb.h"
#include "standins.pb.h"
#include "support_process.h"

namespace comfreypaddle::testing {
namespace {

// Time limit for a change to take effect everywhere (G14) and for a revoked key
// to be rejected (G6).
constexpr Duration kPropagationLimit = std::chrono::seconds(3);

// Covers lease term, clock drift, staggered claims and restart, with a reserve
// for a busy machine.
constexpr Duration kTakeoverLimit = std::chrono::seconds(15);

Reply Get(Cluster& cluster, const std::string& url) {
  HttpCall call;
  call.m_url = url;
  call.m_timeout = std::chrono::seconds(2);
  return cluster.Call(call);
}

void SetFaults(Cluster& cluster, const std::string& url,
               const std::string& body) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = url + "/faults";
  call.m_body = body;
  CHECK(cluster.Call(call).m_status == 200);
}

std::string Workspace(const std::string& name, int weight) {
  return R"({"name":")" + name + R"(","weight":)" + std::to_string(weight) +
         "}";
}

bool HasWeight(Cluster& cluster, int entry, const std::string& name,
               int weight) {
  const Reply reply =
      Get(cluster, cluster.OperatorUrl(entry) + "/api/v1/workspace/" + name);
  schema::Resource resource;
  return reply.m_status == 200 &&
         !FromJson(reply.m_body, UnknownFields::kIgnore, &resource) &&
         resource.workspace().weight() == weight;
}

schema::StatusReport StatusOf(Cluster& cluster, int entry) {
  schema::StatusReport status;
  FromJson(Get(cluster, cluster.OperatorUrl(entry) + "/api/v1/status").m_body,
           UnknownFields::kIgnore, &status);
  return status;
}

// Returns the instance that reports holding the duty, or zero.
int HolderOf(Cluster& cluster, const std::vector<int>& entries,
             const std::string& duty) {
  for (const int entry : entries) {
    const schema::StatusReport status = StatusOf(cluster, entry);
    for (const std::string& held : status.duties()) {
      if (held == duty) return entry;
    }
  }
  return 0;
}

schema::UsageReportList Reports(Cluster& cluster) {
  schema::UsageReportList list;
  FromJson(Get(cluster, cluster.PlatformUrl() + "/platform/v1/usage").m_body,
           UnknownFields::kIgnore, &list);
  return list;
}

schema::PlatformStats Stats(Cluster& cluster) {
  schema::PlatformStats stats;
  FromJson(Get(cluster, cluster.PlatformUrl() + "/stats").m_body,
           UnknownFields::kIgnore, &stats);
  return stats;
}

std::uint64_t ReportedRequests(const schema::UsageReportList& list) {
  std::map<std::uint64_t, std::uint64_t> by_window;
  for (const schema::UsageReport& report : list.reports()) {
    std::uint64_t sum = 0;
    for (const schema::UsageFigure& figure : report.figures()) {
      sum += figure.requests();
    }
    by_window[report.window()] = sum;
  }
  std::uint64_t total = 0;
  for (const auto& [window, sum] : by_window) total += sum;
  return total;
}

// Guards against a write that takes effect late or only on some instances, and
// against accepting two concurrent writes to one version.
TEST_CASE(
    "an accepted write is in force everywhere and a race has one winner") {
  Cluster cluster("config");
  cluster.StartPlatform();
  cluster.StartEntries(6);
  CHECK(cluster.Apply(1, "workspace", "w", Workspace("w", 1)).m_status == 200);
  for (int entry = 1; entry <= 6; ++entry) {
    CHECK(cluster.Until([&] { return HasWeight(cluster, entry, "w", 1); },
                        kPropagationLimit));
  }
  schema::Resource current;
  FromJson(Get(cluster, cluster.OperatorUrl(2) + "/api/v1/workspace/w").m_body,
           UnknownFields::kIgnore, &current);
  std::vector<std::shared_ptr<Reply>> replies;
  for (int entry = 1; entry <= 6; ++entry) {
    HttpCall put;
    put.m_method = "PUT";
    put.m_url = cluster.OperatorUrl(entry) + "/api/v1/workspace/w";
    put.m_body = R"({"resource_version":")" +
                 std::to_string(current.resource_version()) +
                 R"(","workspace":)" + Workspace("w", entry + 10) + "}";
    replies.push_back(cluster.StartCall(put));
  }
  int winner = 0;
  for (int entry = 1; entry <= 6; ++entry) {
    const auto& reply = replies.at(static_cast<std::size_t>(entry - 1));
    REQUIRE(cluster.Until([&] { return reply->m_ended; }));
    if (reply->m_status == 200) {
      CHECK(winner == 0);
      winner = entry;
    } else {
      CHECK(reply->m_status == 409);
    }
  }
  REQUIRE(winner != 0);
  for (int entry = 1; entry <= 6; ++entry) {
    CHECK(cluster.Until(
        [&] { return HasWeight(cluster, entry, "w", winner + 10); },
        kPropagationLimit));
  }
}

// Guards against a lost answer that makes a write apply twice or look refused.
TEST_CASE("a write whose answer was lost is asked for again by its token") {
  Cluster cluster("token");
  cluster.StartPlatform();
  cluster.StartEntries(2);
  SetFaults(cluster, cluster.PlatformUrl(), R"({"lose_append_answers":3})");
  HttpCall put;
  put.m_method = "PUT";
  put.m_headers = {{"x-request-token", "token-1"}};
  put.m_body =
      R"({"resource_version":"0","workspace":)" + Workspace("w", 1) + "}";
  put.m_url = cluster.OperatorUrl(1) + "/api/v1/workspace/w";
  const Reply first = cluster.Call(put);
  put.m_url = cluster.OperatorUrl(2) + "/api/v1/workspace/w";
  const Reply second = cluster.Call(put);
  CHECK(second.m_status == 200);
  if (first.m_status == 200) CHECK(first.m_body == second.m_body);
}

// Guards against accepting a revoked key: on any instance, on an open
// connection, and on an instance cut off from the log and its peers.
TEST_CASE("a revoked key stops working everywhere within seconds") {
  Cluster cluster("revoke");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  cluster.StartEntries(3);
  cluster.ApplyDefaultResources({engine}, {});
  for (int entry = 1; entry <= 3; ++entry) {
    REQUIRE(cluster.Until([&] {
      return cluster.Call(cluster.Completion(entry, "a", 1, false)).m_status ==
             200;
    }));
  }
  cluster.Entry(3).Signal(SIGSTOP);
  HttpCall remove;
  remove.m_method = "DELETE";
  schema::Resource key;
  FromJson(Get(cluster, cluster.OperatorUrl(1) + "/api/v1/key/k1").m_body,
           UnknownFields::kIgnore, &key);
  remove.m_url = cluster.OperatorUrl(1) + "/api/v1/key/k1?resource_version=" +
                 std::to_string(key.resource_version());
  REQUIRE(cluster.Call(remove).m_status == 200);
  const Instant revoked = Now();
  for (int entry = 1; entry <= 2; ++entry) {
    CHECK(cluster.Until(
        [&] {
          return cluster.Call(cluster.Completion(entry, "a", 1, false))
                     .m_status == 401;
        },
        kPropagationLimit));
  }
  // The paused instance still has the key. It resumes after the time limit and
  // must not run a request with it.
  cluster.Until([&] { return Now() - revoked > kPropagationLimit; });
  const auto late = cluster.StartCall(cluster.Completion(3, "late", 1, false));
  cluster.Entry(3).Signal(SIGCONT);
  REQUIRE(cluster.Until([&] { return late->m_ended; }));
  CHECK(late->m_status != 200);
  CHECK(cluster.Until([&] {
    return cluster.Call(cluster.Completion(3, "a", 1, false)).m_status == 401;
  }));
}

// Guards against a log outage that stops requests or makes a configuration
// write look accepted.
TEST_CASE("while the log is down requests are served and writes are refused") {
  Cluster cluster("logdown");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  const auto desk = cluster.StartService();
  cluster.StartEntries(3);
  cluster.ApplyDefaultResources({engine}, {desk});
  REQUIRE(cluster.Until([&] {
    return cluster.Call(cluster.Completion(3, "a", 1, false)).m_status == 200;
  }));
  SetFaults(cluster, cluster.PlatformUrl(), R"({"log_outage":"refuse"})");
  REQUIRE(cluster.Until([&] {
    return StatusOf(cluster, 1).admit_reason() == "log_down" &&
           StatusOf(cluster, 2).admit_reason() == "log_down" &&
           StatusOf(cluster, 3).admit_reason() == "log_down";
  }));
  for (int entry = 1; entry <= 3; ++entry) {
    CHECK(cluster.Call(cluster.Completion(entry, "b", 1, false)).m_status ==
          200);
  }
  const Reply write =
      cluster.Apply(1, "workspace", "late", Workspace("late", 1), 0);
  CHECK(write.m_status == 503);
  CHECK(write.m_body.find("not_run") != std::string::npos);
  const Reply claim = cluster.Call(cluster.Desk(1, "/desk/x", "key-1"));
  CHECK(claim.m_status == 503);
  CHECK(claim.m_body.find("not_run") != std::string::npos);
  SetFaults(cluster, cluster.PlatformUrl(), R"({"log_outage":"none"})");
  CHECK(cluster.Until([&] {
    return cluster.Apply(1, "workspace", "late", Workspace("late", 1), 0)
               .m_status == 200;
  }));
}

// Guards against two holders of a duty after a pause, contradictory reports of
// one window, and losing the usage of a killed instance.
TEST_CASE("usage is reported once and exactly through kills and pauses") {
  Cluster cluster("usage");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  cluster.StartEntries(3, {{"usage.window_s", "2"}});
  cluster.ApplyDefaultResources({engine}, {});
  REQUIRE(cluster.Until(
      [&] {
        return HolderOf(cluster, {1, 2, 3}, "usage") != 0;
      },
      kTakeoverLimit));
  const int holder = HolderOf(cluster, {1, 2, 3}, "usage");
  const int other = holder % 3 + 1;
  std::uint64_t answered = 0;
  const auto send = [&](int entry, int count) {
    for (int i = 0; i < count; ++i) {
      const Reply reply =
          cluster.Call(cluster.Completion(entry, "a", 2, false));
      if (reply.m_status == 200) ++answered;
    }
  };
  for (int entry = 1; entry <= 3; ++entry) send(entry, 5);
  cluster.Entry(holder).Signal(SIGSTOP);
  send(other, 5);
  std::vector<int> others;
  for (int entry = 1; entry <= 3; ++entry) {
    if (entry != holder) others.push_back(entry);
  }
  REQUIRE(cluster.Until([&] { return HolderOf(cluster, others, "usage") != 0; },
                        kTakeoverLimit));
  cluster.Entry(holder).Signal(SIGCONT);
  SetFaults(cluster, cluster.PlatformUrl(), R"({"lose_platform_answers":2})");
  send(other, 5);
  CHECK(cluster.Until(
      [&] { return ReportedRequests(Reports(cluster)) == answered; },
      kTakeoverLimit));
  CHECK(Stats(cluster).usage_contradictions() == 0);
  CHECK(Stats(cluster).usage_stale() == 0);
}

// Guards against losing the usage of answered requests when the instance dies
// before appending it.
TEST_CASE("usage of a killed instance is appended by its peers") {
  Cluster cluster("held");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  cluster.StartEntries(3, {{"usage.window_s", "2"}});
  cluster.ApplyDefaultResources({engine}, {});
  REQUIRE(cluster.Until([&] {
    return cluster.Call(cluster.Completion(3, "a", 1, false)).m_status == 200;
  }));
  REQUIRE(cluster.Until([&] { return ReportedRequests(Reports(cluster)) == 1; },
                        kTakeoverLimit));
  SetFaults(cluster, cluster.PlatformUrl(), R"({"log_outage":"refuse"})");
  std::uint64_t answered = 1;
  REQUIRE(cluster.Until([&] {
    const Reply reply = cluster.Call(cluster.Completion(3, "b", 1, false));
    if (reply.m_status == 200) ++answered;
    return answered == 4;
  }));
  // Two flush periods and a heartbeat: the peers have a backup of the usage.
  const Instant held = Now();
  cluster.Until([&] { return Now() - held > std::chrono::milliseconds(2500); });
  cluster.Entry(3).Signal(SIGKILL);
  REQUIRE(
      cluster.Until([&] { return cluster.Entry(3).ExitCode().has_value(); }));
  SetFaults(cluster, cluster.PlatformUrl(), R"({"log_outage":"none"})");
  CHECK(cluster.Until(
      [&] { return ReportedRequests(Reports(cluster)) == answered; },
      std::chrono::seconds(25)));
}

// Guards against losing the configuration when all instances are replaced after
// the start of the log was trimmed.
TEST_CASE("a new set of instances starts from snapshot and tail") {
  Cluster cluster("snapshot");
  cluster.StartPlatform({"--retain_records", "400"});
  cluster.StartEntries(2, {{"log.snapshot_records", "60"}});
  REQUIRE(cluster.Apply(1, "workspace", "w", Workspace("w", 7)).m_status ==
          200);
  REQUIRE(cluster.Until(
      [&] {
        cluster.Apply(2, "workspace", "v", Workspace("v", 1));
        const auto stats = Stats(cluster);
        return stats.streams_size() > 0 &&
               stats.streams(0).first_retained() > 50;
      },
      std::chrono::seconds(60)));
  for (int entry = 1; entry <= 2; ++entry) {
    cluster.Entry(entry).Signal(SIGKILL);
    REQUIRE(cluster.Until(
        [&] { return cluster.Entry(entry).ExitCode().has_value(); }));
  }
  cluster.RestartEntry(1);
  CHECK(cluster.Until([&] { return HasWeight(cluster, 1, "w", 7); }));
}

}  // namespace
}  // namespace comfreypaddle::testing
