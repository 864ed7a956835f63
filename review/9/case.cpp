// Machines have been removed for good and replaced by others, one after the
// other, while replicas of two software versions serve side by side. Then one
// more machine is killed: most of its streams, which clients take up again at
// the other machines, are refused.
#include "../standins-2/stage.h"

namespace {

using namespace stage;

constexpr double kContactS = 4;
constexpr int kLeastTakenUp = 12;  // Of the rule.
constexpr int kReplicas = 3;       // Of each software version.
constexpr double kWarmUpS = 6;
constexpr double kDeadlineS = 8;
constexpr int kTries = 6;
constexpr double kRetryPauseS = 0.7;
constexpr int kEvents = 50;
constexpr double kEventPeriodS = 0.06;
constexpr double kStreamPeriodS = 0.02;
constexpr double kTrafficS = 12;
constexpr int kMachinesPerZone = 2;
constexpr int kReplacements = 12;     // In each zone.
constexpr double kReplacementS = 10;  // Longest start of a new machine.

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

// Replacements alone can be left out, to see what they change.
bool HasReplacements() {
  return HasTrouble() && std::getenv("NO_REPLACEMENTS") == nullptr;
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
      replicas.back()->Start(i < kReplicas ? "v1" : "v2", 0);
    }
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<int> started(zones.size(), 0);
    const auto make = [&](std::size_t zone) {
      auto made = std::make_unique<Instance>(
          "edge-" + zones[zone] + "-" + std::to_string(++started[zone]),
          zones[zone], "r", "za/r,zb/r,zc/r", "127.0.0.1", platform);
      made->Start();
      return made;
    };
    const auto list_all = [&instances] {
      AllInstances().clear();
      for (const auto& instance : instances) {
        AllInstances().push_back(instance.get());
      }
    };
    for (int i = 0; i < kMachinesPerZone; ++i) {
      for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        instances.push_back(make(zone));
      }
    }
    list_all();
    for (const auto& instance : instances) {
      if (!instance->AwaitReady(10)) GiveUp("an instance is not ready");
    }
    Sleep(1);
    // The oldest machine of each zone ends without SIGTERM, and another one
    // with a name and address of its own comes.
    for (int i = 0; HasReplacements() && i < kReplacements; ++i) {
      std::vector<std::unique_ptr<Instance>> removed;
      for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        instances.front()->End(SIGKILL);
        removed.push_back(std::move(instances.front()));
        instances.erase(instances.begin());
        instances.push_back(make(zone));
        list_all();
      }
      for (const auto& instance : instances) {
        if (!instance->AwaitReady(Seconds() + kReplacementS)) {
          GiveUp("an instance is not ready");
        }
      }
      Sleep(0.5);
    }
    Sleep(kContactS);
    std::vector<Instance*> machines;
    for (const auto& instance : instances) machines.push_back(instance.get());
    Ingress ingress(machines);
    std::mutex mutex;
    std::vector<Stream> streams;
    std::thread traffic([&] {
      std::vector<std::thread> asks;
      const double end = Seconds() + kTrafficS;
      for (int i = 0; Seconds() < end; ++i) {
        asks.emplace_back([&, i] {
          const Stream stream = AskForStream(ingress, i, Request, kDeadlineS,
                                             kTries, kRetryPauseS);
          Log()->Line(
              "client got a stream: complete=%d events=%zu versions=%s "
              "tries=%s",
              stream.m_complete ? 1 : 0, stream.m_events.size(),
              DataOf(stream.m_events).c_str(), stream.m_log.c_str());
          const std::lock_guard<std::mutex> lock(mutex);
          streams.push_back(stream);
        });
        Sleep(kStreamPeriodS);
      }
      for (std::thread& ask : asks) ask.join();
    });
    Sleep(kWarmUpS);
    const double killed_at = Seconds();
    if (HasTrouble()) instances.front()->End(SIGKILL);
    traffic.join();
    // The rule holds for machines in touch: here all but the one that was
    // killed.
    std::set<const Instance*> left(machines.begin() + 1, machines.end());
    bool has_died = false;
    for (const auto& instance : instances) has_died |= instance->HasDied();
    int taken_up = 0;
    int went_on = 0;
    int fresh = 0;
    int begun = 0;
    for (const Stream& stream : streams) {
      bool is_taken_up = false;
      bool goes_on = false;
      for (const Try& one : stream.m_all) {
        if (left.count(one.m_instance) == 0) continue;
        if (one.m_takes_up) {
          is_taken_up = true;
          goes_on |= one.m_events > 0;
        } else if (one.m_at > killed_at) {
          ++fresh;
          begun += one.m_events > 0 ? 1 : 0;
        }
      }
      taken_up += is_taken_up ? 1 : 0;
      went_on += goes_on ? 1 : 0;
    }
    const bool is_judged = taken_up >= kLeastTakenUp && fresh > 0;
    if (is_judged && 2.0 * went_on / taken_up < 1.0 * begun / fresh)
      code = kBroken;
    Log()->Line("streams=%zu taken_up=%d went_on=%d new=%d begun=%d died=%d",
                streams.size(), taken_up, went_on, fresh, begun,
                has_died ? 1 : 0);
    std::printf("taken_up=%d went_on=%d new=%d begun=%d\n", taken_up, went_on,
                fresh, begun);
    if (streams.empty() || begun == 0) code = kCouldNotRun;
    if (HasTrouble() && taken_up < kLeastTakenUp) code = kCouldNotRun;
    for (const auto& instance : instances) instance->End(SIGKILL);
    replicas.clear();
  }
  End(code);
}
