// The retry budget of a service over all instances and their earlier processes,
// in virtual time. Every request fails and asks for one retry.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "resend.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(100);
constexpr ResendLimits kLimits{0.2, seconds(10), 52};
const std::string service = "s";
const std::string endpoint = "e";

ResendState StartProcess(Instant now) {
  ResendState state;
  state.m_list_confirmed_at = now;
  state.m_limits = kLimits;
  return state;
}

void TellInstances(ResendState& state, std::size_t instances, Instant now) {
  SetInstances(state, {static_cast<std::uint32_t>(instances), true}, now);
}

void BeginStop(ResendState& state) { state.m_stopping = true; }

// One place for a process, which serves callers or is down.
struct Place {
  std::optional<ResendState> m_process;
  bool m_is_cut_off = false;
};

// Instances that serve the same callers, and what they send.
class Fleet {
 public:
  Fleet(std::size_t instances, int requests_per_step)
      : m_places(instances), m_requests_per_step(requests_per_step) {
    for (std::size_t i = 0; i < m_places.size(); ++i) Start(i);
    TellAll(instances);
  }

  // Starts a process that has no memory of the one before.
  void Start(std::size_t place) {
    m_places[place].m_process = StartProcess(m_now);
  }
  void Kill(std::size_t place) { m_places[place].m_process.reset(); }
  void Stop(std::size_t place) { BeginStop(*m_places[place].m_process); }
  void Add() { m_places.emplace_back(); }

  // The process gets no news from now on.
  void CutOff(std::size_t place) { m_places[place].m_is_cut_off = true; }

  void Tell(std::size_t place, std::size_t instances) {
    if (!m_places[place].m_process || m_places[place].m_is_cut_off) return;
    TellInstances(*m_places[place].m_process, instances, m_now);
  }
  void TellAll(std::size_t instances) {
    for (std::size_t i = 0; i < m_places.size(); ++i) Tell(i, instances);
  }

  // While held, retries do not arrive; they arrive together afterwards.
  void Hold(bool held) {
    m_is_held = held;
    if (held) return;
    m_retries.back() += std::exchange(m_held, 0);
    for (Place& place : m_places) {
      if (place.m_process) {
        OnResendsRead(*place.m_process, service, endpoint, m_now);
      }
    }
  }

  // Spreads the requests of one step over the instances that serve.
  void Step() {
    m_now += kStep;
    m_requests.push_back(m_requests_per_step);
    m_retries.push_back(0);
    std::vector<ResendState*> serving;
    for (Place& place : m_places) {
      if (!place.m_process) continue;
      if (!place.m_is_cut_off) place.m_process->m_list_confirmed_at = m_now;
      serving.push_back(&*place.m_process);
    }
    for (int i = 0; i < m_requests_per_step && !serving.empty(); ++i) {
      ResendState& state = *serving[m_next++ % serving.size()];
      CountRequest(state, service, m_now);
      if (!TryConsumeResend(state, service, endpoint, m_now)) continue;
      if (m_is_held) {
        ++m_held;
        continue;
      }
      ++m_retries.back();
      OnResendsRead(state, service, endpoint, m_now);
    }
  }
  void Run(Duration time) {
    for (Duration passed{0}; passed < time; passed += kStep) Step();
  }

  // Largest use of the budget in any window, as a part of what is allowed
  // there.
  double LargestUse() const {
    double largest = 0;
    for (std::size_t i = 0; i < m_retries.size(); ++i) {
      const double retries = SumFrom(m_retries, i);
      const double requests = std::max(
          {SumFrom(m_requests, i), SumFrom(m_requests, Before(i, kWindow)),
           SumFrom(m_requests, Before(i, kWindow / 2))});
      const double allowed = kLimits.m_ratio * requests + kLimits.m_slack;
      largest = std::max(largest, retries / allowed);
    }
    return largest;
  }

  // Retries of the last full window.
  double LastRetries() const {
    return SumFrom(m_retries, Before(m_retries.size(), kWindow));
  }

 private:
  static constexpr std::size_t kWindow = seconds(10) / kStep;

  static std::size_t Before(std::size_t index, std::size_t steps) {
    return index < steps ? 0 : index - steps;
  }
  static double SumFrom(const std::vector<int>& counts, std::size_t first) {
    double sum = 0;
    for (std::size_t i = first; i < std::min(first + kWindow, counts.size());
         ++i) {
      sum += counts[i];
    }
    return sum;
  }

  std::vector<Place> m_places;
  int m_requests_per_step;
  std::size_t m_next = 0;
  Instant m_now = kStart;
  bool m_is_held = false;
  int m_held = 0;               // Retries that have not arrived.
  std::vector<int> m_requests;  // By step.
  std::vector<int> m_retries;
};

constexpr std::size_t kInstances = 6;
constexpr int kRequestsPerStep = 3;

// Guards against a fix that spends nothing: calm instances use most of the
// budget.
TEST_CASE("a calm fleet uses most of its retry budget and no more") {
  for (const std::size_t instances : {1U, 6U, 88U}) {
    CAPTURE(instances);
    Fleet fleet(instances, kRequestsPerStep * 10);
    fleet.Run(seconds(40));
    CHECK(fleet.LargestUse() <= 1);
    const double allowed =
        kLimits.m_ratio * kRequestsPerStep * 10 * 100 + kLimits.m_slack;
    CHECK(fleet.LastRetries() > 0.6 * allowed);
  }
}

// Guards against large fleets whose instances see too few requests to retry
// any.
TEST_CASE("300 instances with four requests a second each still retry") {
  constexpr int kPerStep = 120;
  Fleet fleet(300, kPerStep);
  fleet.Run(seconds(40));
  CHECK(fleet.LargestUse() <= 1);
  CHECK(fleet.LastRetries() > 0.5 * kLimits.m_ratio * kPerStep * 100);
}

// Guards against processes that start again with a fresh share of the budget
// while the retries of their predecessors still count.
TEST_CASE("processes that are killed and start again stay in the budget") {
  Fleet fleet(kInstances, kRequestsPerStep);
  fleet.Run(seconds(20));
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      fleet.Kill(i);
      fleet.Start(i);
      fleet.Tell(i, kInstances);
    }
    fleet.Run(seconds(3));
  }
  CHECK(fleet.LargestUse() <= 1);
}

// Guards against instances that take the whole budget for themselves as long as
// they know no other.
TEST_CASE("processes that know no other instance stay in the budget") {
  Fleet fleet(kInstances, kRequestsPerStep);
  fleet.Run(seconds(20));
  for (std::size_t i = 0; i < kInstances; ++i) {
    fleet.Kill(i);
    fleet.Start(i);
  }
  fleet.Run(seconds(30));
  CHECK(fleet.LargestUse() <= 1);
}

// Guards against instances that take over the share of those that stop, while
// the retries of these still count.
TEST_CASE("instances that leave one after the other stay in the budget") {
  Fleet fleet(kInstances, kRequestsPerStep);
  fleet.Run(seconds(20));
  for (std::size_t left = 1; left < kInstances; ++left) {
    fleet.Stop(left);
    for (std::size_t i = 0; i < kInstances; ++i) {
      fleet.Tell(i, kInstances - left);
    }
    fleet.Run(seconds(1));
  }
  fleet.Run(seconds(3));
  for (std::size_t i = 1; i < kInstances; ++i) fleet.Kill(i);
  fleet.Run(seconds(20));
  CHECK(fleet.LargestUse() <= 1);
  // The one that remains has the whole budget in the end.
  const double allowed =
      kLimits.m_ratio * kRequestsPerStep * 100 + kLimits.m_slack;
  CHECK(fleet.LastRetries() > 0.6 * allowed);
}

// Guards against new instances that spend before the others know of them.
TEST_CASE("instances that join stay in the budget") {
  Fleet fleet(kInstances, kRequestsPerStep);
  fleet.Run(seconds(20));
  for (std::size_t i = kInstances; i < 2 * kInstances; ++i) {
    fleet.Add();
    fleet.Start(i);
    fleet.Tell(i, 2 * kInstances);
  }
  fleet.Run(seconds(4));
  fleet.TellAll(2 * kInstances);
  fleet.Run(seconds(20));
  CHECK(fleet.LargestUse() <= 1);
}

// Guards against instances that go on with their old share when they cannot
// learn that others have joined.
TEST_CASE("instances that are cut off while others join stay in the budget") {
  Fleet fleet(kInstances, kRequestsPerStep);
  fleet.Run(seconds(20));
  for (std::size_t i = 0; i < kInstances; ++i) fleet.CutOff(i);
  for (std::size_t i = kInstances; i < 2 * kInstances; ++i) {
    fleet.Add();
    fleet.Start(i);
  }
  fleet.TellAll(kInstances + 1);
  fleet.Run(seconds(40));
  CHECK(fleet.LargestUse() <= 1);
}

// Guards against retries that a paused endpoint or a silent link holds: charged
// in several windows, they arrive in one.
TEST_CASE("retries that are held and arrive together stay in the budget") {
  for (const Duration held :
       {seconds(2), seconds(5), seconds(9), seconds(15), seconds(25)}) {
    CAPTURE(ToMs(held));
    Fleet fleet(kInstances, kRequestsPerStep);
    fleet.Run(seconds(20));
    for (int round = 0; round < 3; ++round) {
      fleet.Hold(true);
      fleet.Run(held);
      fleet.Hold(false);
      fleet.Run(seconds(7));
    }
    CHECK(fleet.LargestUse() <= 1);
    fleet.Run(seconds(20));
    const double allowed =
        kLimits.m_ratio * kRequestsPerStep * 100 + kLimits.m_slack;
    CHECK(fleet.LastRetries() > 0.6 * allowed);
  }
}

// Guards against mixtures of the cases above.
TEST_CASE("random stops, kills, starts and late news stay in the budget") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&random](std::size_t limit) {
      return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    Fleet fleet(kInstances, kRequestsPerStep);
    fleet.Run(seconds(20));
    std::vector<bool> stopping(kInstances, false);
    for (int round = 0; round < 60; ++round) {
      const std::size_t place = below(kInstances);
      if (stopping[place] || below(2) == 0) {
        fleet.Kill(place);
        fleet.Start(place);
        stopping[place] = false;
      } else {
        fleet.Stop(place);
        stopping[place] = true;
      }
      const auto live = static_cast<std::size_t>(
          std::count(stopping.begin(), stopping.end(), false));
      for (std::size_t i = 0; i < kInstances; ++i) {
        if (below(3) > 0) fleet.Tell(i, std::max<std::size_t>(live, 1));
      }
      fleet.Run(milliseconds(200 + below(2000)));
    }
    CHECK(fleet.LargestUse() <= 1);
  }
}

}  // namespace
}  // namespace comfreypaddle
