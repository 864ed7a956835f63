// Randomized soak of the entry instances as separate processes: faults from
// outside come in series and overlap while callers go on, and the guarantees
// are checked from what callers, endpoints and the platform see.
//
// SOAK_FIRST and SOAK_SEEDS choose the seeds; without them the short run of CI
// is made.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <cstdlib>
#include <random>
#include <set>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlatformCluster;
using testing::Reply;

constexpr int kEntries = 3;
constexpr int kEndpoints = 3;
constexpr Duration kCallPeriod = milliseconds(15);
constexpr Duration kFaultPeriod = milliseconds(450);
constexpr Duration kSoakTime = seconds(8);

// Time after the last fault in which all instances serve again: the longest
// pause of an endpoint that failed, and a changed configuration in force.
constexpr Duration kRecovery = seconds(12);

// Time in which a request has its final answer: the time limit of its route.
constexpr Duration kRouteLimit = seconds(5);

const std::string whole_stream =
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
    "id: 4\ndata: x\n\nid: 5\ndata: x\n\n";

enum class Fault {
  kKill,
  kTerminate,
  kPause,
  kStoreDown,
  kStoreCut,
  kStoreSilent,
  kEndpointSilent,
  kEndpointCut,
  kEndpointBreaks,
  kEndpointFull,
  kConfigure,
};
constexpr int kFaults = 11;

struct SoakCall {
  std::string m_attempt;
  std::string m_target;
  std::shared_ptr<Reply> m_reply;
};

class Soak {
 public:
  explicit Soak(unsigned seed)
      : m_random(seed), m_cluster("soak-" + std::to_string(seed)) {
    m_cluster.UseLinks();
    Configure();
    for (int i = 0; i < kEndpoints; ++i) m_cluster.AddEndpoint("plain");
    for (int i = 1; i <= kEntries; ++i) m_cluster.StartEntry(i);
  }

  void Run() {
    m_calls_timer = std::make_unique<PeriodicTimer>(
        m_cluster.Loop(), kCallPeriod, [this] { StartCall(); });
    m_faults_timer = std::make_unique<PeriodicTimer>(
        m_cluster.Loop(), kFaultPeriod, [this] { Inject(); });
    const Instant begin = Now();
    m_cluster.Until([&] { return Now() - begin > kSoakTime; }, kSoakTime * 2);
    m_faults_timer.reset();
    CHECK(m_cluster.Until([this] { return m_open_faults == 0; }, seconds(20)));
    CheckRecovery();
    m_calls_timer.reset();
    CHECK(m_cluster.Until([this] { return AllEnded(); },
                          kRouteLimit + seconds(2)));
    CheckCalls();
    CheckPlatform();
  }

 private:
  int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(m_random);
  }

  Duration DrawTime() { return milliseconds(200 + Draw(1800)); }

  void Configure() {
    ++m_version;
    m_key = "key-" + std::to_string(m_version);
    // The key before stays for one version, so that callers have time.
    m_cluster.Configure(m_version, R"([")" + m_key + R"(","key-)" +
                                       std::to_string(m_version - 1) + R"("])");
  }

  void StartCall() {
    static const std::vector<std::string> kinds = {"safe", "once", "stream",
                                                   "again"};
    const std::string& kind = kinds.at(m_started % kinds.size());
    SoakCall call;
    call.m_target = "/" + kind + "/" + std::to_string(++m_started);
    call.m_attempt = "a" + std::to_string(m_started);
    call.m_reply =
        m_cluster.Start(1 + Draw(kEntries), kind == "safe" ? "GET" : "POST",
                        call.m_target, m_key);
    m_calls.push_back(std::move(call));
  }

  // Ends a fault after a random time.
  void Later(std::function<void()> end) {
    ++m_open_faults;
    m_cluster.Loop().StartTimer(DrawTime(), [this, end = std::move(end)] {
      end();
      --m_open_faults;
    });
  }

  // Starts an instance again once its process has ended.
  void Restart(int entry) {
    if (!m_cluster.Entry(entry).ExitCode()) {
      m_cluster.Loop().StartTimer(milliseconds(50),
                                  [this, entry] { Restart(entry); });
      return;
    }
    m_cluster.LaunchEntry(entry);
    m_busy.erase(entry);
    --m_open_faults;
  }

  void Stop(int entry, int signal) {
    ++m_open_faults;
    m_cluster.Entry(entry).Signal(signal);
    Restart(entry);
  }

  void Inject() {
    const auto fault = static_cast<Fault>(Draw(kFaults));
    const int entry = 1 + Draw(kEntries);
    const auto endpoint = static_cast<std::size_t>(Draw(kEndpoints));
    const bool of_process = fault == Fault::kKill ||
                            fault == Fault::kTerminate ||
                            fault == Fault::kPause;
    if (of_process && !m_busy.insert(entry).second) return;
    MESSAGE("fault ", static_cast<int>(fault), " entry ", entry, " endpoint ",
            endpoint);
    Begin(fault, entry, endpoint);
  }

  void Begin(Fault fault, int entry, std::size_t endpoint) {
    switch (fault) {
      case Fault::kKill:
        Stop(entry, SIGKILL);
        break;
      case Fault::kTerminate:
        Stop(entry, SIGTERM);
        break;
      case Fault::kPause:
        m_cluster.Entry(entry).Signal(SIGSTOP);
        Later([this, entry] {
          m_cluster.Entry(entry).Signal(SIGCONT);
          m_busy.erase(entry);
        });
        break;
      case Fault::kStoreDown:
        m_cluster.Store().SetDown(true);
        Later([this] { m_cluster.Store().SetDown(false); });
        break;
      case Fault::kStoreCut:
        m_cluster.StoreLink(entry).SetPartitioned(true);
        Later([this, entry] {
          m_cluster.StoreLink(entry).SetPartitioned(false);
        });
        break;
      case Fault::kStoreSilent:
        m_cluster.StoreLink(entry).StallOpenConnections();
        break;
      case Fault::kEndpointSilent:
        m_cluster.EndpointLink(endpoint).StallOpenConnections();
        break;
      case Fault::kEndpointCut:
        m_cluster.EndpointLink(endpoint).SetPartitioned(true);
        Later([this, endpoint] {
          m_cluster.EndpointLink(endpoint).SetPartitioned(false);
        });
        break;
      case Fault::kEndpointBreaks:
        m_cluster.Endpoint(endpoint).BreakAfter(1 + Draw(4));
        Later([this, endpoint] { m_cluster.Endpoint(endpoint).BreakAfter(0); });
        break;
      case Fault::kEndpointFull:
        m_cluster.Endpoint(endpoint).SetFull(true);
        Later(
            [this, endpoint] { m_cluster.Endpoint(endpoint).SetFull(false); });
        break;
      case Fault::kConfigure:
        Configure();
        break;
    }
  }

  bool AllEnded() const {
    for (const SoakCall& call : m_calls) {
      if (!call.m_reply->m_ended) return false;
    }
    return true;
  }

  // Every instance serves again under the newest configuration, and the key
  // that it withdrew is refused.
  void CheckRecovery() {
    Configure();
    Configure();
    const Instant begin = Now();
    for (int entry = 1; entry <= kEntries; ++entry) {
      CAPTURE(entry);
      CHECK(m_cluster.Until([&] { return Serves(entry); },
                            kRecovery - (Now() - begin)));
      const std::string old = "key-" + std::to_string(m_version - 2);
      CHECK(m_cluster.Call(entry, "GET", Target("/safe/"), old).m_status ==
            401);
    }
  }

  std::string Target(const std::string& prefix) {
    return prefix + std::to_string(++m_started);
  }

  bool Serves(int entry) {
    if (!m_cluster.IsReady(entry)) return false;
    return m_cluster.Call(entry, "GET", Target("/safe/"), m_key).m_status ==
           200;
  }

  void CheckCalls() {
    std::map<std::string, int> runs;  // By target, which is unique.
    for (int i = 0; i < kEndpoints; ++i) {
      for (const HttpRequest& request : m_cluster.Endpoint(i).Requests()) {
        ++runs[request.m_target];
        CHECK(FindFieldAnyCase(request.m_headers, "Key") == nullptr);
        const std::string* workspace =
            FindFieldAnyCase(request.m_headers, "Tenant");
        CHECK((workspace != nullptr && *workspace == "w"));
      }
    }
    std::size_t answered = 0;
    for (const SoakCall& call : m_calls) {
      CheckCall(call, runs);
      if (call.m_reply->m_status == 200 && !call.m_reply->m_error) ++answered;
    }
    MESSAGE(answered, " of ", m_calls.size(), " requests were answered");
    // A run in which little is served proves little.
    CHECK(answered * 4 > m_calls.size());
  }

  void CheckCall(const SoakCall& call, const std::map<std::string, int>& runs) {
    const Reply& reply = *call.m_reply;
    const std::string& target = call.m_target;
    CAPTURE(target);
    CAPTURE(reply.m_status);
    CAPTURE(reply.m_error.message());
    const auto found = runs.find(target);
    const int count = found == runs.end() ? 0 : found->second;
    const bool may_repeat =
        target.rfind("/safe/", 0) == 0 || target.rfind("/again/", 0) == 0;
    CHECK((may_repeat || count <= 1));
    const bool promised = reply.m_status == 429 || reply.m_status == 503;
    CHECK((may_repeat || !promised || count == 0));
    CHECK(reply.m_status != 404);
    if (reply.m_status != 200) return;
    const bool plain =
        target.rfind("/safe/", 0) == 0 || target.rfind("/once/", 0) == 0;
    const std::string whole = plain ? "ran " + target : whole_stream;
    if (reply.m_error) {
      CHECK(whole.rfind(reply.m_body, 0) == 0);
    } else {
      CHECK(reply.m_body == whole);
    }
  }

  void CheckPlatform() {
    CHECK_FALSE(m_cluster.Duties().Contradicted());
    std::map<std::uint64_t, std::string> holders;  // By fencing number.
    for (const testing::DutyCall& call : m_cluster.Duties().Calls()) {
      const auto [place, fresh] = holders.emplace(call.m_fence, call.m_holder);
      CHECK(place->second == call.m_holder);
    }
  }

  std::mt19937 m_random;
  PlatformCluster m_cluster;
  int m_version = 0;
  std::string m_key;
  std::size_t m_started = 0;
  int m_open_faults = 0;
  std::set<int> m_busy;  // Instances that are stopped or paused.
  std::vector<SoakCall> m_calls;
  std::unique_ptr<PeriodicTimer> m_calls_timer;
  std::unique_ptr<PeriodicTimer> m_faults_timer;
};

unsigned FromEnvironment(const char* name, unsigned otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : static_cast<unsigned>(std::stoul(text));
}

TEST_CASE("the guarantees hold while faults come in series and overlap") {
  const unsigned first = FromEnvironment("SOAK_FIRST", 1);
  const unsigned count = FromEnvironment("SOAK_SEEDS", 3);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    MESSAGE("seed ", seed);
    Soak soak(seed);
    soak.Run();
  }
}

}  // namespace
}  // namespace comfreypaddle
