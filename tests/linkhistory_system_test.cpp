// History of real processes on links that fail: endpoints are processes of
// their own that fail in every way and are paused, the links to them become
// silent, hold what was sent and break on one side, and instances are stopped,
// killed and paused. Checks how often requests run and what arrives in the
// windows of the retry budget.
//
// HISTORY_FIRST is the first seed, HISTORY_SEEDS the number of seeds and
// HISTORY_SECONDS the time of each. The defaults give the short CI run.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <cstdlib>
#include <random>
#include <set>

#include "support_history.h"
#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndpointHistory;
using testing::PlatformCluster;
using testing::Reply;
using testing::TimedRequest;
using testing::WorkInterval;

constexpr int kEntries = 3;
constexpr int kEndpoints = 3;

// Time after which an endpoint must no longer work on a request that goes on at
// another one.
constexpr Duration kMaxOverlap = milliseconds(400);

constexpr testing::BudgetRule kBudget = {0.2, seconds(10), 20};

// Time for which an id that an endpoint had before stays listed.
constexpr Duration kListPeriod = seconds(1);

enum class LinkFault {
  kEntryStops,
  kEntryKilled,
  kEntryPaused,
  kEndpointPaused,
  kLinkSilent,
  kLinkBreaks
};

struct LinkPlan {
  std::string m_acts;  // Of the endpoints.
  Duration m_call_period{0};
  Duration m_fault_period{0};
  std::vector<LinkFault> m_faults;  // Chosen from at random.
  int m_slots = 4;                  // Of an endpoint.
  // Compares what arrives with what instances charge to the budget. Killed ones
  // leave incomplete logs.
  bool m_counts_charges = false;
  // Further ids listed at each address, which change each second. Endpoints
  // then send copies of their refusals.
  int m_former_ids = 0;
};

struct SentCall {
  std::string m_target;
  Instant m_at{};
  std::shared_ptr<Reply> m_reply;
};

unsigned FromEnvironment(const char* name, unsigned default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value
                         : static_cast<unsigned>(std::stoul(text));
}

class LinkHistory {
 public:
  LinkHistory(unsigned seed, LinkPlan plan)
      : m_random(seed),
        m_plan(std::move(plan)),
        m_cluster("linkhistory-" + std::to_string(seed)) {
    m_cluster.UseProxies();
    m_cluster.SetSlots(m_plan.m_slots);
    m_cluster.SetCopies(m_plan.m_former_ids > 0);
    m_cluster.Configure(1, R"(["k1"])");
    m_cluster.SetRetry("budget_ratio = 0.2\nwindow_s = 10\nslack = 20\n");
    for (int i = 0; i < kEndpoints; ++i) {
      m_cluster.AddEndpointProcess("plain", m_plan.m_acts, seed);
    }
    for (int i = 1; i <= kEntries; ++i) m_cluster.StartEntry(i);
  }

  void Run(Duration time) {
    PeriodicTimer calls(m_cluster.Loop(), m_plan.m_call_period,
                        [this] { StartCall(); });
    PeriodicTimer faults(m_cluster.Loop(), m_plan.m_fault_period,
                         [this] { InjectFault(); });
    PeriodicTimer lists(m_cluster.Loop(), kListPeriod,
                        [this] { ReplaceFormerIds(); });
    const Instant begin = Now();
    m_cluster.Until([&] { return Now() - begin > time; }, 2 * time);
  }

  void Check() {
    CHECK(m_cluster.Until([this] { return AllEnded(); }, seconds(12)));
    m_cluster.Until([this] { return m_disturbed.empty(); }, seconds(12));
    m_cluster.Until([] { return false; }, seconds(5));
    std::vector<TimedRequest> arrived;
    std::vector<WorkInterval> streams;
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const EndpointHistory history = m_cluster.HistoryOf(i);
      for (const auto& arrival : history.m_arrivals) {
        arrived.push_back({arrival.m_target, arrival.m_at});
      }
      for (const auto& run : history.m_runs) {
        ++runs[run.m_target];
        if (run.m_target.rfind("/again/", 0) != 0) continue;
        streams.push_back(
            {run.m_target, run.m_began, run.m_ended.value_or(Instant::max())});
      }
    }
    for (const std::string& overlap :
         testing::CheckOverlaps(streams, kMaxOverlap)) {
      FAIL_CHECK(overlap);
    }
    std::vector<TimedRequest> sent;
    for (const SentCall& call : m_calls) {
      sent.push_back({call.m_target, call.m_at});
      CheckCall(call, runs[call.m_target]);
    }
    const testing::BudgetUse use =
        testing::MeasureRetryBudget(sent, arrived, kBudget);
    MESSAGE(m_calls.size(), " requests, ", Served(), " served, ",
            arrived.size(), " arrivals, ", m_faults, " faults; ",
            use.m_repeated, " repeated arrivals in a window of ",
            use.m_requests, " requests");
    CHECK(static_cast<double>(use.m_repeated) <= use.m_allowed);
    if (m_plan.m_counts_charges) CheckCharges(arrived);
  }

 private:
  int RandomBelow(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
  }

  void StartCall() {
    static const std::vector<std::string> kinds = {"safe", "once", "stream",
                                                   "again"};
    const std::string& kind = kinds.at(m_calls.size() % kinds.size());
    const std::string target =
        "/" + kind + "/" + std::to_string(m_calls.size());
    m_calls.push_back(
        {target, Now(),
         m_cluster.Start(1 + RandomBelow(kEntries),
                         kind == "safe" ? "GET" : "POST", target)});
  }

  // Endpoints restart under new ids all the time: those that they had stay
  // listed for a moment.
  void ReplaceFormerIds() {
    for (const std::string& id : m_former_ids) m_cluster.RemoveEndpoint(id);
    m_former_ids.clear();
    for (int i = 0; i < kEndpoints * m_plan.m_former_ids; ++i) {
      m_former_ids.push_back("former-" + std::to_string(m_next_former_id++));
      m_cluster.RegisterEndpoint(m_former_ids.back(), "plain",
                                 m_cluster.EndpointProcessPort(i % kEndpoints));
    }
  }

  // Marks something as disturbed and ends that after a time. Returns false if
  // it was disturbed already.
  bool Disturb(const std::string& name, Duration time,
               const std::function<void()>& end) {
    if (!m_disturbed.insert(name).second) return false;
    ++m_faults;
    m_cluster.Loop().StartTimer(time, [this, name, end] {
      end();
      m_disturbed.erase(name);
    });
    return true;
  }

  void Restart(int entry) {
    if (!m_cluster.Entry(entry).ExitCode()) {
      m_cluster.Loop().StartTimer(milliseconds(50),
                                  [this, entry] { Restart(entry); });
      return;
    }
    m_cluster.LaunchEntry(entry);
    m_disturbed.erase("entry " + std::to_string(entry));
  }

  void EndEntry(int signal) {
    const int entry = 1 + RandomBelow(kEntries);
    if (!m_disturbed.insert("entry " + std::to_string(entry)).second) return;
    ++m_faults;
    m_cluster.Entry(entry).Signal(signal);
    Restart(entry);
  }

  void PauseEntry() {
    const int entry = 1 + RandomBelow(kEntries);
    const Duration time = milliseconds(100 + RandomBelow(3000));
    if (Disturb("entry " + std::to_string(entry), time,
                [this, entry] { m_cluster.Entry(entry).Signal(SIGCONT); })) {
      m_cluster.Entry(entry).Signal(SIGSTOP);
    }
  }

  void PauseEndpoint() {
    const int endpoint = RandomBelow(kEndpoints);
    const Duration time = milliseconds(500 + RandomBelow(5500));
    if (Disturb("endpoint " + std::to_string(endpoint), time, [this, endpoint] {
          m_cluster.EndpointProcess(endpoint).Signal(SIGCONT);
        })) {
      m_cluster.EndpointProcess(endpoint).Signal(SIGSTOP);
    }
  }

  void SilenceLink() {
    const int link = RandomBelow(kEndpoints);
    const Duration time = milliseconds(1000 + RandomBelow(7000));
    if (Disturb("link " + std::to_string(link), time, [this, link] {
          m_cluster.EndpointProxy(link).SetSilent(false);
        })) {
      m_cluster.EndpointProxy(link).SetSilent(true);
    }
  }

  void InjectFault() {
    switch (m_plan.m_faults.at(
        RandomBelow(static_cast<int>(m_plan.m_faults.size())))) {
      case LinkFault::kEntryStops:
        return EndEntry(SIGTERM);
      case LinkFault::kEntryKilled:
        return EndEntry(SIGKILL);
      case LinkFault::kEntryPaused:
        return PauseEntry();
      case LinkFault::kEndpointPaused:
        return PauseEndpoint();
      case LinkFault::kLinkSilent:
        return SilenceLink();
      case LinkFault::kLinkBreaks:
        ++m_faults;
        m_cluster.EndpointProxy(RandomBelow(kEndpoints)).BreakTowardsClients();
    }
  }

  bool AllEnded() const {
    return std::all_of(m_calls.begin(), m_calls.end(),
                       [](const SentCall& c) { return c.m_reply->m_ended; });
  }

  int Served() const {
    return static_cast<int>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const SentCall& c) {
          return c.m_reply->m_status == 200 && !c.m_reply->m_error;
        }));
  }

  // Each arrival beyond the first of its request needs a charge.
  void CheckCharges(const std::vector<TimedRequest>& arrived) const {
    std::set<std::string> requests;
    for (const TimedRequest& arrival : arrived) {
      requests.insert(arrival.m_request);
    }
    std::size_t charges = 0;
    for (int i = 1; i <= kEntries; ++i) {
      charges += m_cluster.CountLogLines(i, "retry_budget ", "charged");
    }
    CHECK(arrived.size() - requests.size() <= charges);
  }

  static void CheckCall(const SentCall& call, int runs) {
    const bool may_repeat = call.m_target.rfind("/safe/", 0) == 0 ||
                            call.m_target.rfind("/again/", 0) == 0;
    if (may_repeat) return;
    CAPTURE(call.m_target);
    const int status = call.m_reply->m_status;
    CHECK(runs <= 1);
    CHECK((runs == 0 || (status != 429 && status != 503)));
  }

  std::mt19937 m_random;
  LinkPlan m_plan;
  std::vector<SentCall> m_calls;
  std::set<std::string> m_disturbed;
  std::vector<std::string> m_former_ids;
  int m_next_former_id = 0;
  int m_faults = 0;
  PlatformCluster m_cluster;
};

void RunSeeds(const LinkPlan& plan) {
  const unsigned first = FromEnvironment("HISTORY_FIRST", 1);
  const unsigned count = FromEnvironment("HISTORY_SEEDS", 1);
  const Duration time = seconds(FromEnvironment("HISTORY_SECONDS", 8));
  for (unsigned seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    LinkHistory history(seed, plan);
    history.Run(time);
    history.Check();
  }
}

// Guards against a request that must run once and runs twice, a stream that
// goes on elsewhere while its endpoint still works on it, and more repeated
// arrivals than the retry budget allows, where runs are slow to end.
TEST_CASE("requests run as often as they may while links fail") {
  RunSeeds(
      {"answer,answer,answer,answer,answer,answer,answer_late,hang,run_on,"
       "stall,lose_answer,break_stream,fail,refuse,close_unread",
       milliseconds(20),
       milliseconds(700),
       {LinkFault::kEntryStops, LinkFault::kEntryKilled,
        LinkFault::kEntryPaused, LinkFault::kEndpointPaused,
        LinkFault::kLinkSilent, LinkFault::kLinkBreaks}});
}

// Guards against more repeated arrivals than the retry budget allows, where
// most attempts fail and retries wait at paused endpoints and on silent links.
TEST_CASE("the retry budget holds while retries are held and released") {
  RunSeeds({"answer,answer,fail,refuse,lose_answer",
            milliseconds(10),
            milliseconds(1200),
            {LinkFault::kEndpointPaused, LinkFault::kLinkSilent,
             LinkFault::kEndpointPaused, LinkFault::kLinkSilent,
             LinkFault::kEntryStops, LinkFault::kEntryPaused},
            24,
            true});
}

// Guards against more repeated arrivals than the retry budget allows, and
// against requests that run twice or run though they were refused, where
// several ids of an address refuse a request in a row and copies of these
// refusals follow.
TEST_CASE("the retry budget holds while refusals are copied") {
  RunSeeds({"answer,answer,answer,fail,refuse",
            milliseconds(10),
            milliseconds(1500),
            {LinkFault::kEntryStops, LinkFault::kEntryPaused},
            24,
            true,
            3});
}

}  // namespace
}  // namespace comfreypaddle
