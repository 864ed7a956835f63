// Randomized soak test with entry instances as separate processes. External
// faults are injected in sequence and overlap while callers keep sending
// requests. The guarantees are checked against what callers, endpoints and the
// platform observe.
//
// SOAK_FIRST is the first seed and SOAK_SEEDS the number of seeds. The defaults
// give the short CI run.
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
constexpr Duration kSoakDuration = seconds(8);

// Time limit for all instances to serve again after the last fault. It covers
// the longest backoff of a failed endpoint and the propagation of a new
// configuration.
constexpr Duration kRecoveryTimeout = seconds(12);

// Time limit for the final response to a request: the timeout of its route.
constexpr Duration kRouteTimeout = seconds(5);

const std::string full_stream =
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
    m_cluster.UseProxies();
    Configure();
    for (int i = 0; i < kEndpoints; ++i) m_cluster.AddEndpoint("plain");
    for (int i = 1; i <= kEntries; ++i) m_cluster.StartEntry(i);
  }

  void Run() {
    m_calls_timer = std::make_unique<PeriodicTimer>(
        m_cluster.Loop(), kCallPeriod, [this] { StartCall(); });
    m_faults_timer = std::make_unique<PeriodicTimer>(
        m_cluster.Loop(), kFaultPeriod, [this] { InjectFault(); });
    const Instant begin = Now();
    m_cluster.Until([&] { return Now() - begin > kSoakDuration; },
                    kSoakDuration * 2);
    m_faults_timer.reset();
    CHECK(
        m_cluster.Until([this] { return m_active_faults == 0; }, seconds(20)));
    CheckRecovery();
    m_calls_timer.reset();
    CHECK(m_cluster.Until([this] { return AllCallsEnded(); },
                          kRouteTimeout + seconds(2)));
    CheckCalls();
    CheckPlatform();
  }

 private:
  int RandomBelow(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
  }

  Duration RandomDuration() { return milliseconds(200 + RandomBelow(1800)); }

  void Configure() {
    ++m_version;
    m_key = "key-" + std::to_string(m_version);
    // The previous key stays valid for one version, so that callers have time
    // to switch.
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
        m_cluster.Start(1 + RandomBelow(kEntries),
                        kind == "safe" ? "GET" : "POST", call.m_target, m_key);
    m_calls.push_back(std::move(call));
  }

  // Calls end after a random time to end a fault.
  void EndLater(std::function<void()> end) {
    ++m_active_faults;
    m_cluster.Loop().StartTimer(RandomDuration(), [this, end = std::move(end)] {
      end();
      --m_active_faults;
    });
  }

  // Restarts an instance after its process has exited.
  void Restart(int entry) {
    if (!m_cluster.Entry(entry).ExitCode()) {
      m_cluster.Loop().StartTimer(milliseconds(50),
                                  [this, entry] { Restart(entry); });
      return;
    }
    m_cluster.LaunchEntry(entry);
    m_stopped_entries.erase(entry);
    --m_active_faults;
  }

  void Stop(int entry, int signal) {
    ++m_active_faults;
    m_cluster.Entry(entry).Signal(signal);
    Restart(entry);
  }

  void InjectFault() {
    const auto fault = static_cast<Fault>(RandomBelow(kFaults));
    const int entry = 1 + RandomBelow(kEntries);
    const auto endpoint = static_cast<std::size_t>(RandomBelow(kEndpoints));
    const bool affects_process = fault == Fault::kKill ||
                                 fault == Fault::kTerminate ||
                                 fault == Fault::kPause;
    if (affects_process && !m_stopped_entries.insert(entry).second) return;
    MESSAGE("fault ", static_cast<int>(fault), " entry ", entry, " endpoint ",
            endpoint);
    StartFault(fault, entry, endpoint);
  }

  void StartFault(Fault fault, int entry, std::size_t endpoint) {
    switch (fault) {
      case Fault::kKill:
        Stop(entry, SIGKILL);
        break;
      case Fault::kTerminate:
        Stop(entry, SIGTERM);
        break;
      case Fault::kPause:
        m_cluster.Entry(entry).Signal(SIGSTOP);
        EndLater([this, entry] {
          m_cluster.Entry(entry).Signal(SIGCONT);
          m_stopped_entries.erase(entry);
        });
        break;
      case Fault::kStoreDown:
        m_cluster.Store().SetDown(true);
        EndLater([this] { m_cluster.Store().SetDown(false); });
        break;
      case Fault::kStoreCut:
        m_cluster.StoreProxy(entry).SetPartitioned(true);
        EndLater([this, entry] {
          m_cluster.StoreProxy(entry).SetPartitioned(false);
        });
        break;
      case Fault::kStoreSilent:
        m_cluster.StoreProxy(entry).StallOpenConnections();
        break;
      case Fault::kEndpointSilent:
        m_cluster.EndpointProxy(endpoint).StallOpenConnections();
        break;
      case Fault::kEndpointCut:
        m_cluster.EndpointProxy(endpoint).SetPartitioned(true);
        EndLater([this, endpoint] {
          m_cluster.EndpointProxy(endpoint).SetPartitioned(false);
        });
        break;
      case Fault::kEndpointBreaks:
        m_cluster.Endpoint(endpoint).AbortStreamsAfter(1 + RandomBelow(4));
        EndLater([this, endpoint] {
          m_cluster.Endpoint(endpoint).AbortStreamsAfter(0);
        });
        break;
      case Fault::kEndpointFull:
        m_cluster.Endpoint(endpoint).SetOverloaded(true);
        EndLater([this, endpoint] {
          m_cluster.Endpoint(endpoint).SetOverloaded(false);
        });
        break;
      case Fault::kConfigure:
        Configure();
        break;
    }
  }

  bool AllCallsEnded() const {
    for (const SoakCall& call : m_calls) {
      if (!call.m_reply->m_ended) return false;
    }
    return true;
  }

  // Checks that every instance serves again with the newest configuration and
  // rejects the key that it revoked.
  void CheckRecovery() {
    Configure();
    Configure();
    const Instant begin = Now();
    for (int entry = 1; entry <= kEntries; ++entry) {
      CAPTURE(entry);
      CHECK(m_cluster.Until([&] { return Serves(entry); },
                            kRecoveryTimeout - (Now() - begin)));
      const std::string old = "key-" + std::to_string(m_version - 2);
      CHECK(
          m_cluster.Call(entry, "GET", UniqueTarget("/safe/"), old).m_status ==
          401);
    }
  }

  std::string UniqueTarget(const std::string& prefix) {
    return prefix + std::to_string(++m_started);
  }

  bool Serves(int entry) {
    if (!m_cluster.IsReady(entry)) return false;
    return m_cluster.Call(entry, "GET", UniqueTarget("/safe/"), m_key)
               .m_status == 200;
  }

  void CheckCalls() {
    std::map<std::string, int> runs;  // By target, which is unique.
    for (int i = 0; i < kEndpoints; ++i) {
      for (const HttpRequest& request : m_cluster.Endpoint(i).Requests()) {
        ++runs[request.m_target];
        CHECK(FindFieldIgnoreCase(request.m_headers, "Key") == nullptr);
        const std::string* workspace =
            FindFieldIgnoreCase(request.m_headers, "Tenant");
        CHECK((workspace != nullptr && *workspace == "w"));
      }
    }
    std::size_t answered = 0;
    for (const SoakCall& call : m_calls) {
      CheckCall(call, runs);
      if (call.m_reply->m_status == 200 && !call.m_reply->m_error) ++answered;
    }
    MESSAGE(answered, " of ", m_calls.size(), " requests were answered");
    // Fails the run if too few requests were answered to test the guarantees.
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
    const bool reported_not_run =
        reply.m_status == 429 || reply.m_status == 503;
    CHECK((may_repeat || !reported_not_run || count == 0));
    CHECK(reply.m_status != 404);
    if (reply.m_status != 200) return;
    const bool not_streamed =
        target.rfind("/safe/", 0) == 0 || target.rfind("/once/", 0) == 0;
    const std::string expected = not_streamed ? "ran " + target : full_stream;
    if (reply.m_error) {
      CHECK(expected.rfind(reply.m_body, 0) == 0);
    } else {
      CHECK(reply.m_body == expected);
    }
  }

  void CheckPlatform() {
    CHECK_FALSE(m_cluster.Duties().HasConflictingReports());
    std::map<std::uint64_t, std::string> holders;  // By fencing token.
    for (const testing::DutyCall& call : m_cluster.Duties().Calls()) {
      const auto [first, inserted] =
          holders.emplace(call.m_fencing_token, call.m_holder);
      CHECK(first->second == call.m_holder);
    }
  }

  std::mt19937 m_random;
  PlatformCluster m_cluster;
  int m_version = 0;
  std::string m_key;
  std::size_t m_started = 0;
  int m_active_faults = 0;
  std::set<int> m_stopped_entries;  // Stopped or paused.
  std::vector<SoakCall> m_calls;
  std::unique_ptr<PeriodicTimer> m_calls_timer;
  std::unique_ptr<PeriodicTimer> m_faults_timer;
};

unsigned FromEnvironment(const char* name, unsigned default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value
                         : static_cast<unsigned>(std::stoul(text));
}

TEST_CASE("the guarantees hold under sequential and overlapping faults") {
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
