// History of real processes: each run of a request at an endpoint is recorded
// with its begin and end while endpoints fail in every way and instances are
// stopped, killed and paused by signals. Checks how often each request ran.
//
// HISTORY_FIRST is the first seed and HISTORY_SEEDS the number of seeds. The
// defaults give the short CI run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndpointAct;
using testing::EndpointRun;
using testing::PlatformCluster;
using testing::Reply;

constexpr int kEntries = 3;
constexpr int kEndpoints = 3;
constexpr Duration kFaultPeriod = milliseconds(700);
constexpr Duration kRunTime = seconds(8);

// Time for which two runs of one stream may overlap at most: the endpoint that
// loses it must notice that its connection was closed.
constexpr Duration kMaxOverlap = milliseconds(400);

struct SentCall {
  std::string m_target;
  std::shared_ptr<Reply> m_reply;
};

bool MayRepeat(const std::string& target) {
  return target.rfind("/safe/", 0) == 0 || target.rfind("/again/", 0) == 0;
}

struct HistoryPlan {
  std::vector<int> m_signals;  // Sent to instances, chosen at random.
  Duration m_call_period{0};
};

class RunHistory {
 public:
  explicit RunHistory(unsigned seed, HistoryPlan plan)
      : m_random(seed),
        m_plan(std::move(plan)),
        m_cluster("history-" + std::to_string(seed)) {
    m_cluster.Configure(1, R"(["k1"])");
    for (int i = 0; i < kEndpoints; ++i) {
      m_cluster.AddEndpoint("plain");
      m_cluster.Endpoint(i).SetActs([this] { return ChooseAct(); });
    }
    for (int i = 1; i <= kEntries; ++i) m_cluster.StartEntry(i);
  }

  void Run() {
    PeriodicTimer calls(m_cluster.Loop(), m_plan.m_call_period,
                        [this] { StartCall(); });
    PeriodicTimer faults(m_cluster.Loop(), kFaultPeriod,
                         [this] { SignalEntry(); });
    const Instant begin = Now();
    m_cluster.Until([&] { return Now() - begin > kRunTime; }, 2 * kRunTime);
  }

  void Check() {
    m_cluster.Until([this] { return AllEnded(); }, seconds(12));
    std::map<std::string, std::vector<EndpointRun>> runs;
    for (int i = 0; i < kEndpoints; ++i) {
      for (const EndpointRun& run : m_cluster.Endpoint(i).Runs()) {
        runs[run.m_target].push_back(run);
      }
    }
    for (const SentCall& call : m_calls) CheckCall(call, runs[call.m_target]);
    MESSAGE(m_calls.size(), " requests, ", m_signals, " signals");
  }

 private:
  int RandomBelow(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
  }

  // Half of the requests are answered.
  EndpointAct ChooseAct() {
    if (RandomBelow(2) == 0) return EndpointAct::kAnswer;
    constexpr auto& kActs = EnumNames<EndpointAct>::kTable;
    return kActs.at(RandomBelow(static_cast<int>(kActs.size()))).m_value;
  }

  void StartCall() {
    static const std::vector<std::string> kinds = {"safe", "once", "stream",
                                                   "again"};
    const std::string& kind = kinds.at(m_calls.size() % kinds.size());
    const std::string target =
        "/" + kind + "/" + std::to_string(m_calls.size());
    m_calls.push_back(
        {target, m_cluster.Start(1 + RandomBelow(kEntries),
                                 kind == "safe" ? "GET" : "POST", target)});
  }

  void Restart(int entry) {
    if (!m_cluster.Entry(entry).ExitCode()) {
      m_cluster.Loop().StartTimer(milliseconds(50),
                                  [this, entry] { Restart(entry); });
      return;
    }
    m_cluster.LaunchEntry(entry);
    m_disturbed.erase(entry);
  }

  void SignalEntry() {
    const int entry = 1 + RandomBelow(kEntries);
    if (!m_disturbed.insert(entry).second) return;
    ++m_signals;
    const int signal = m_plan.m_signals.at(
        RandomBelow(static_cast<int>(m_plan.m_signals.size())));
    m_cluster.Entry(entry).Signal(signal);
    if (signal != SIGSTOP) {
      Restart(entry);
      return;
    }
    m_cluster.Loop().StartTimer(milliseconds(100 + RandomBelow(3000)),
                                [this, entry] {
                                  m_cluster.Entry(entry).Signal(SIGCONT);
                                  m_disturbed.erase(entry);
                                });
  }

  bool AllEnded() const {
    for (const SentCall& call : m_calls) {
      if (!call.m_reply->m_ended) return false;
    }
    return true;
  }

  // Whether instances end without notice, so that callers lose responses.
  bool AreKilled() const {
    return std::count(m_plan.m_signals.begin(), m_plan.m_signals.end(),
                      SIGKILL) > 0;
  }

  void CheckCall(const SentCall& call,
                 const std::vector<EndpointRun>& runs) const {
    const std::string& target = call.m_target;
    CAPTURE(target);
    CAPTURE(call.m_reply->m_status);
    CHECK(call.m_reply->m_ended);
    const int status = call.m_reply->m_status;
    if (!MayRepeat(target)) {
      CHECK(runs.size() <= 1);
      CHECK((runs.empty() || (status != 429 && status != 503)));
      // A caller takes a connection that closes without a response for a
      // request that was not read, and sends it again.
      const bool unanswered = status == 0;
      CHECK((AreKilled() || runs.empty() || !unanswered));
    }
    if (target.rfind("/again/", 0) != 0) return;
    for (const EndpointRun& run : runs) {
      for (const EndpointRun& later : runs) {
        if (later.m_began <= run.m_began) continue;
        const Instant ended = run.m_ended.value_or(Instant::max());
        CHECK(ended <= later.m_began + kMaxOverlap);
      }
    }
  }

  std::mt19937 m_random;
  HistoryPlan m_plan;
  std::vector<SentCall> m_calls;
  std::set<int> m_disturbed;  // Entry instances.
  int m_signals = 0;
  PlatformCluster m_cluster;
};

unsigned FromEnvironment(const char* name, unsigned default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value
                         : static_cast<unsigned>(std::stoul(text));
}

void RunSeeds(const HistoryPlan& plan) {
  const unsigned first = FromEnvironment("HISTORY_FIRST", 1);
  const unsigned count = FromEnvironment("HISTORY_SEEDS", 1);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    RunHistory history(seed, plan);
    history.Run();
    history.Check();
  }
}

// Guards against a request that must run once and runs twice, one that is
// refused as not run though it ran, and a stream that goes on at another
// endpoint while the one before still works on it.
TEST_CASE("requests run as often as they may while everything fails") {
  RunSeeds({{SIGSTOP, SIGTERM, SIGKILL}, milliseconds(10)});
}

// Guards against requests that ran and whose callers send them again, because
// the instance that they were sent to stopped without a response. The traffic
// is light, so that stopping instances are idle for moments.
TEST_CASE("requests that run have a response while instances stop") {
  RunSeeds({{SIGTERM}, milliseconds(60)});
}

}  // namespace
}  // namespace comfreypaddle
