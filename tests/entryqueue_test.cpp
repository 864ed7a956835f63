#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "entryqueue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "refusal.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kWorkspaces = 85;

// A service with a fixed number of places behind one queue. Every request holds
// a place for 20 ms; time advances in steps of 5 ms.
struct LoadedService {
  explicit LoadedService(std::size_t places) : m_places(places) {
    m_queue.m_settings = {true, milliseconds(25)};
  }

  // Returns whether the request waits. Otherwise it is refused.
  bool Arrive(std::uint32_t workspace, std::uint32_t urgency, Duration patience,
              double cost = 1) {
    const std::uint64_t id = ++m_last_id;
    const WaitDecision decision =
        AddWaiting(m_queue,
                   {id, "s", "w" + std::to_string(workspace), urgency, cost,
                    m_now, m_now + patience},
                   m_now);
    m_retry_after = decision.m_retry_after;
    if (decision.m_is_queued) m_open[id] = {workspace, urgency, m_now};
    return decision.m_is_queued;
  }

  void Step() {
    m_now += milliseconds(5);
    m_busy.erase(std::remove_if(m_busy.begin(), m_busy.end(),
                                [this](Instant end) { return end <= m_now; }),
                 m_busy.end());
    for (const std::uint64_t id : TakeOverdue(m_queue, m_now)) {
      ++m_overdue;
      m_open.erase(id);
    }
    while (m_busy.size() < m_places) {
      const auto id = TakeNext(
          m_queue, "s", [](std::uint64_t) { return true; }, m_now);
      if (!id) break;
      const Open& open = m_open.at(*id);
      m_waits[open.m_urgency].push_back(m_now - open.m_arrived);
      ++m_served[open.m_workspace];
      m_busy.push_back(m_now + milliseconds(20));
      m_open.erase(*id);
    }
  }

  Duration WorstWait(std::uint32_t urgency, double quantile) {
    std::vector<Duration>& waits = m_waits[urgency];
    if (waits.empty()) return Duration{0};
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<std::size_t>(
        quantile * static_cast<double>(waits.size() - 1))];
  }

  struct Open {
    std::uint32_t m_workspace = 0;
    std::uint32_t m_urgency = 0;
    Instant m_arrived{};
  };

  EntryQueue m_queue;
  std::size_t m_places;
  Instant m_now{seconds(1000)};
  std::uint64_t m_last_id = 0;
  std::uint64_t m_overdue = 0;
  Duration m_retry_after{0};
  std::vector<Instant> m_busy;
  std::map<std::uint64_t, Open> m_open;
  std::map<std::uint32_t, std::vector<Duration>> m_waits;  // By urgency.
  std::map<std::uint32_t, std::uint64_t> m_served;         // By workspace.
};

// Guards against urgent requests that queue behind less urgent ones that came
// before them. Load: 200 requests at once on 10 places, a tenth of them urgent.
TEST_CASE("in a burst the most urgent are served first and nobody is lost") {
  LoadedService service(10);
  for (std::uint32_t i = 0; i < 200; ++i) {
    CHECK(service.Arrive(i % kWorkspaces, i % 10 == 9 ? 0 : 5, seconds(2)));
  }
  for (int i = 0; i < 100; ++i) service.Step();
  CHECK(service.WorstWait(0, 0.99) <= milliseconds(30));
  CHECK(service.m_waits[0].size() == 20);
  CHECK(service.m_waits[5].size() == 180);
  CHECK(service.m_overdue == 0);
}

// Guards against requests of little urgency that are never served while urgent
// ones keep coming. Load: urgent requests at the capacity of 4 places.
TEST_CASE("a request that has waited is served like an urgent one") {
  LoadedService service(4);
  service.Arrive(84, 9, seconds(5));
  for (int i = 0; i < 200; ++i) {
    service.Arrive(static_cast<std::uint32_t>(i) % kWorkspaces, 0, seconds(5));
    service.Arrive(static_cast<std::uint32_t>(i) % kWorkspaces, 0, seconds(5));
    service.Step();
  }
  REQUIRE(service.m_waits[9].size() == 1);
  CHECK(service.m_waits[9].front() <= milliseconds(600));
}

// Guards against a workspace that crowds out the others. Load: 1.8 times the
// capacity; one of 85 workspaces sends ten times its share.
TEST_CASE("a workspace at ten times its share does not slow the others") {
  LoadedService service(4);
  std::uint32_t next = 0;
  for (int i = 0; i < 2000; ++i) {
    if (i % 2 == 0)
      service.Arrive(1 + next++ % (kWorkspaces - 1), 5, seconds(2));
    for (int j = 0; j < 2; ++j) service.Arrive(0, 5, seconds(2));
    service.Step();
  }
  std::uint64_t fewest = service.m_served[1];
  for (std::uint32_t w = 1; w < kWorkspaces; ++w) {
    fewest = std::min(fewest, service.m_served[w]);
  }
  // Each of the others asks 11 or 12 times in the ten seconds.
  CHECK(fewest >= 11);
}

// Guards against workspaces that starve under skewed demand. Load: twice the
// capacity, drawn with a Zipf exponent of 1.2.
TEST_CASE("no workspace starves under skewed demand") {
  LoadedService service(4);
  std::vector<double> weights;
  for (std::uint32_t w = 1; w <= kWorkspaces; ++w) {
    weights.push_back(std::pow(w, -1.2));
  }
  std::mt19937 random(7);
  std::discrete_distribution<std::uint32_t> draw(weights.begin(),
                                                 weights.end());
  std::map<std::uint32_t, std::uint64_t> asked;
  for (int i = 0; i < 4000; ++i) {
    for (int j = 0; j < 2; ++j) {
      const std::uint32_t w = draw(random);
      ++asked[w];
      service.Arrive(w, 5, milliseconds(500));
    }
    service.Step();
  }
  for (std::uint32_t w = 10; w < kWorkspaces; ++w) {
    CHECK(4 * service.m_served[w] >= 3 * asked[w]);
  }
  CHECK(2 * service.m_served[0] < asked[0]);
}

// Guards against refused callers that are turned away again when they return,
// and against refusals that come late. Load: 400 requests at once on 10 places
// after a second of contention, patience 300 ms.
TEST_CASE("callers refused for the backlog are served when they return") {
  LoadedService service(10);
  for (int i = 0; i < 240; ++i) {
    for (int j = 0; j < 3; ++j) {
      service.Arrive(static_cast<std::uint32_t>(i + j) % kWorkspaces, 0,
                     seconds(5));
    }
    service.Step();
  }
  for (int i = 0; i < 60; ++i) service.Step();
  std::vector<Instant> returns;
  for (std::uint64_t i = 0; i < 400; ++i) {
    const auto workspace = static_cast<std::uint32_t>(i % kWorkspaces);
    if (service.Arrive(workspace, 0, milliseconds(300))) continue;
    returns.push_back(service.m_now + ChooseRetryAfter(service.m_retry_after,
                                                       seconds(6), i * 37));
  }
  CHECK(returns.size() > 100);
  std::size_t refused_again = 0;
  std::uint32_t next = 0;
  while (!returns.empty()) {
    service.Step();
    const auto due =
        std::partition(returns.begin(), returns.end(),
                       [&service](Instant at) { return at > service.m_now; });
    for (auto it = due; it != returns.end(); ++it) {
      if (!service.Arrive(next++ % kWorkspaces, 0, milliseconds(300))) {
        ++refused_again;
      }
    }
    returns.erase(due, returns.end());
  }
  CHECK(refused_again == 0);
  for (int i = 0; i < 100; ++i) service.Step();
  CHECK(service.m_overdue == 0);
}

// Guards against calls that are dispatched after their end.
TEST_CASE("a removed request is not taken") {
  LoadedService service(1);
  service.Arrive(0, 5, seconds(1));
  CHECK(HasWaiting(service.m_queue, "s"));
  RemoveWaiting(service.m_queue, service.m_last_id);
  CHECK_FALSE(HasWaiting(service.m_queue, "s"));
  service.Step();
  CHECK(service.m_busy.empty());
}

// Guards against a request that no endpoint can take and that holds up others.
TEST_CASE("a request that does not fit lets others pass") {
  LoadedService service(1);
  service.Arrive(0, 0, seconds(1));
  service.Arrive(1, 5, seconds(1));
  const auto taken = TakeNext(
      service.m_queue, "s", [](std::uint64_t id) { return id != 1; },
      service.m_now);
  CHECK(taken == 2);
  CHECK(IsWaiting(service.m_queue, 1));
}

}  // namespace
}  // namespace comfreypaddle
