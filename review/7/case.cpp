// All processes of the system are killed at the same moment, just after the
// last replicas of the older software have left the list: streams that began at
// the older software go on at the newer one.
#include "../standins-2/stage.h"

namespace {

using namespace stage;

constexpr double kContactS = 4;
constexpr int kMostMixed = 2;  // Of the rule.
constexpr int kReplicas = 3;   // Of each software version.
constexpr int kInstances = 6;
constexpr double kWarmUpS = 6;
constexpr double kReleaseGapS = 0.3;
constexpr double kKillAfterS = 0.8;  // After the last entry was removed.
constexpr double kRestartS = 0.5;
constexpr double kDeadlineS = 8;
constexpr int kTries = 4;
constexpr double kRetryPauseS = 0.7;
constexpr int kEvents = 50;
constexpr double kEventPeriodS = 0.06;
constexpr double kStreamPeriodS = 0.08;
constexpr double kTrafficS = 18;

bool RunRequest(Replica& replica, Conn& conn, const Message& request) {
  const std::string attempt = request.Get("Attempt-Id");
  const std::string version = replica.Version();
  const int lifetime = replica.Lifetime();
  const std::string after = request.Get("Last-Event-Id");
  const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
  Log()->Line("replica %s %s runs %s from event %d", replica.Id().c_str(),
              version.c_str(), attempt.c_str(), first);
  replica.AddRun(attempt);
  Sleep(0.03);
  bool is_open = conn.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " +
      attempt + "\r\nServer-Stamp: 1.1." + attempt +
      "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = first; i <= kEvents && is_open; ++i) {
    is_open = replica.IsUp() && replica.Lifetime() == lifetime &&
              conn.Write(Chunk("id: " + std::to_string(i) +
                               "\ndata: " + version + "\n\n"));
    Sleep(kEventPeriodS);
  }
  is_open = is_open && conn.Write("0\r\n\r\n");
  replica.RemoveRun(attempt);
  return is_open;
}

std::string Request(const std::string& attempt, int deadline_ms,
                    const Fields& more) {
  Fields fields{
      {"Host", "a.example"},
      {"Attempt-Id", attempt},
      {"Model", "m"},
      {"Token-Count", "400,40"},
      {"Prompt-Prefix", "5c1e07a2:100," + attempt.substr(0, 8) + ":300"},
      {"Deadline-Ms", std::to_string(deadline_ms)},
      {"Key", "key-one"}};
  fields.insert(fields.end(), more.begin(), more.end());
  return FormatRequest("POST", "/chat/2f", fields, "prompt");
}

}  // namespace

int main(int argument_count, char** arguments) {
  Begin(argument_count, arguments);
  int code = kHeld;
  {
    Platform platform("127.0.0.1");
    platform.Start();
    platform.Put(
        "keyed.op", "config",
        R"({"version":7,"routeTable":[{"name":"chat","hostname":"a.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"models","maxAttempts":2,"public":false,"sessionAffinity":true,"resumable":true,"targetGapMs":200}],"serviceTable":[{"name":"models","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":500000,"kvTokenBytes":18432,"linkMbps":370000.0,"kvRetentionS":5.0,"roleSwitchS":3.0,"modelList":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]})");
    const std::vector<std::string> zones{"za", "zb", "zc"};
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 2 * kReplicas; ++i) {
      replicas.push_back(std::make_unique<Replica>(
          platform, "i-" + std::to_string(i), "models", zones[i % 3],
          "127.0.0.1", 64, true, RunRequest));
      if (i < kReplicas) replicas.back()->Start("v1", 0);
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < kInstances; ++i) {
      instances.push_back(std::make_unique<Instance>(
          "edge-" + zones[i % 3] + "-" + std::to_string(i / 3), zones[i % 3],
          "r", "za/r,zb/r,zc/r", "127.0.0.1", platform));
      AllInstances().push_back(instances.back().get());
      instances.back()->Start();
    }
    for (const auto& instance : instances) {
      if (!instance->AwaitReady(10)) GiveUp("an instance is not ready");
    }
    Sleep(kContactS);
    std::atomic<int> sent{0};
    std::atomic<int> complete{0};
    std::atomic<int> mixed{0};
    std::atomic<int> newer{0};
    std::vector<Instance*> machines;
    for (const auto& instance : instances) machines.push_back(instance.get());
    Ingress ingress(machines);
    std::thread traffic([&] {
      std::vector<std::thread> asks;
      const double end = Seconds() + kTrafficS;
      for (int i = 0; Seconds() < end; ++i) {
        asks.emplace_back([&, i] {
          ++sent;
          const Stream stream = AskForStream(ingress, i, Request, kDeadlineS,
                                             kTries, kRetryPauseS);
          const std::string versions = DataOf(stream.m_events);
          if (stream.m_complete) ++complete;
          if (versions.find('>') != std::string::npos) ++mixed;
          if (versions.find("v2") != std::string::npos) ++newer;
          Log()->Line(
              "client got a stream: complete=%d events=%zu versions=%s "
              "tries=%s",
              stream.m_complete ? 1 : 0, stream.m_events.size(),
              versions.c_str(), stream.m_log.c_str());
        });
        Sleep(kStreamPeriodS);
      }
      for (std::thread& ask : asks) ask.join();
    });
    Sleep(kWarmUpS);
    // The release: the new replicas start first. The old ones do not report
    // that they drain: their entries are removed, and they go on serving.
    for (int i = 0; i < kReplicas; ++i) replicas[kReplicas + i]->Start("v2", 0);
    Sleep(2);
    for (int i = 0; i < kReplicas; ++i) {
      Sleep(kReleaseGapS);
      replicas[i]->LeaveList();
      Log()->Line("entry of replica %s is removed", replicas[i]->Id().c_str());
    }
    if (HasTrouble()) {
      Sleep(kKillAfterS);
      for (const auto& instance : instances) instance->Kill();
      for (const auto& instance : instances) instance->End(SIGKILL);
      Sleep(kRestartS);
      for (const auto& instance : instances) instance->Start();
    }
    traffic.join();
    if (mixed > kMostMixed) code = kBroken;
    bool has_died = false;
    for (const auto& instance : instances) has_died |= instance->HasDied();
    Log()->Line(
        "streams sent=%d complete=%d with_v2=%d mixed=%d allowed=%d died=%d",
        sent.load(), complete.load(), newer.load(), mixed.load(), kMostMixed,
        has_died ? 1 : 0);
    std::printf("sent=%d complete=%d with_v2=%d mixed=%d allowed=%d\n",
                sent.load(), complete.load(), newer.load(), mixed.load(),
                kMostMixed);
    if (complete == 0) code = kCouldNotRun;
    for (const auto& instance : instances) instance->End(SIGKILL);
    replicas.clear();
  }
  End(code);
}
