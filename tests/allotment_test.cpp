// Allotments of workspaces: what all instances admit in any window, how much of
// an allotment is used, and what is refused below it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "allotment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));
constexpr std::uint32_t kWorkspace = 5;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kShareInterval = milliseconds(100);
constexpr Duration kWindow = seconds(8);
constexpr int kZones = 6;
// Usual demand, as a part of the rate.
constexpr double kUsual = 0.55;

struct Case {
  int m_instances = 62;
  double m_rate = 600'000;
  double m_cost = 9'000;
  Duration m_delay = milliseconds(250);  // Of news between instances.
};

struct Member {
  AllotmentState m_state;
  bool m_is_live = true;
  bool m_is_cut = false;     // Hears nothing and is not heard.
  bool m_is_frozen = false;  // Does nothing.
  double m_weight = 1;       // Of its part of the demand.
  InstanceUses m_told;       // What the others hear of it.
  Instant m_told_at{};
};

// What was admitted in one step.
struct StepUse {
  Instant m_at{};
  double m_cost = 0;
};

// Instances that admit requests of one workspace. News of each instance arrive
// at all others after the delay.
class Fleet {
 public:
  explicit Fleet(const Case& parameters)
      : m_case(parameters), m_members(parameters.m_instances) {
    for (Member& member : m_members) Start(member);
  }

  void Start(Member& member) {
    member.m_state = AllotmentState{};
    member.m_state.m_tolerance = {kWindow, 0.1, 190'000};
    member.m_state.m_instances = m_members.size();
    member.m_state.m_is_listed = true;
    member.m_is_live = true;
  }

  // Runs with a demand that is a multiple of the rate.
  void Run(Duration time, double demand) {
    const Instant end = m_now + time;
    for (; m_now < end; m_now += kStep) {
      if (m_now >= m_share_at) Share();
      Ask(demand);
      CheckWindow();
    }
  }

  double m_asked = 0;
  double m_admitted = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_refused = 0;
  double m_worst_window = 0;  // Relative to what the rule allows.
  std::vector<Member>& Members() { return m_members; }
  const Case& Parameters() const { return m_case; }

  // Forgets what was asked for and admitted.
  void ResetCounts() {
    m_asked = 0;
    m_admitted = 0;
    m_requests = 0;
    m_refused = 0;
  }

 private:
  // Delivers the news that was sent the delay ago, and sends new ones.
  void Share() {
    m_share_at = m_now + kShareInterval;
    std::vector<InstanceUses> sent(m_members.size());
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      const Member& member = m_members[i];
      if (!member.m_is_live || member.m_is_cut || member.m_is_frozen) continue;
      sent[i] = UsesToShare(member.m_state, m_now);
    }
    m_in_flight.push_back({m_now, std::move(sent)});
    while (!m_in_flight.empty() &&
           m_now - m_in_flight.front().first >= m_case.m_delay) {
      Deliver(m_in_flight.front().second);
      m_in_flight.pop_front();
    }
  }

  void Deliver(const std::vector<InstanceUses>& sent) {
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      if (sent[i].m_instances == 0) continue;
      m_members[i].m_told = sent[i];
      m_members[i].m_told_at = m_now;
    }
    InstanceUses sum;
    for (const Member& member : m_members) Add(member, 1, &sum);
    for (Member& member : m_members) {
      if (!member.m_is_live || member.m_is_cut || member.m_is_frozen) continue;
      InstanceUses others = sum;
      Add(member, -1, &others);
      SetOtherUses(member.m_state, others, m_now);
    }
  }

  // Adds or subtracts what an instance has told.
  void Add(const Member& member, int sign, InstanceUses* sum) const {
    if (member.m_told_at == Instant{} ||
        m_now - member.m_told_at >= milliseconds(1200)) {
      return;
    }
    sum->m_instances += sign;
    for (const auto& [workspace, use] : member.m_told.m_uses) {
      sum->m_uses[workspace].m_recent += sign * use.m_recent;
      sum->m_uses[workspace].m_demand += sign * use.m_demand;
    }
  }

  void Ask(double demand) {
    double weights = 0;
    for (const Member& member : m_members) weights += member.m_weight;
    const double requests = demand * m_case.m_rate / m_case.m_cost *
                            std::chrono::duration<double>(kStep).count();
    double admitted = 0;
    for (Member& member : m_members) {
      std::poisson_distribution<int> arrivals(
          std::max(requests * member.m_weight / weights, 1e-12));
      for (int n = arrivals(m_random); n > 0; --n) {
        if (member.m_is_live && !member.m_is_frozen) admitted += AskOne(member);
      }
    }
    m_admitted += admitted;
    m_window.push_back({m_now, admitted});
    m_window_sum += admitted;
  }

  double AskOne(Member& member) {
    ++m_requests;
    m_asked += m_case.m_cost;
    const AllotmentDecision decision = RequestAllotment(
        member.m_state,
        {kWorkspace, {m_case.m_rate, m_case.m_rate}, m_case.m_cost, m_random()},
        m_now);
    if (decision.m_outcome == AllotmentOutcome::kAdmitted) return m_case.m_cost;
    ++m_refused;
    CHECK(decision.m_retry_after > Duration(0));
    return 0;
  }

  void CheckWindow() {
    while (m_window.front().m_at <= m_now - kWindow) {
      m_window_sum -= m_window.front().m_cost;
      m_window.pop_front();
    }
    const double allowed = m_case.m_rate * 9 * 1.1 + 190'000;
    m_worst_window = std::max(m_worst_window, m_window_sum / allowed);
  }

  Case m_case;
  std::vector<Member> m_members;
  std::mt19937_64 m_random{7};
  Instant m_now = kStart;
  Instant m_share_at = kStart;
  std::deque<std::pair<Instant, std::vector<InstanceUses>>> m_in_flight;
  std::deque<StepUse> m_window;
  double m_window_sum = 0;
};

std::vector<Case> Cases() {
  std::vector<Case> cases;
  for (const int instances : {6, 62, 88, 380}) {
    for (const double rate : {110'000.0, 640'000.0, 3'100'000.0}) {
      cases.push_back({instances, rate, 9'000, milliseconds(250)});
    }
  }
  return cases;
}

void ForEachCase(const std::function<void(Fleet&)>& run) {
  for (const Case& parameters : Cases()) {
    CAPTURE(parameters.m_instances);
    CAPTURE(parameters.m_rate);
    Fleet fleet(parameters);
    run(fleet);
    CHECK(fleet.m_worst_window <= 1);
  }
}

double Utilisation(const Fleet& fleet, Duration time) {
  return fleet.m_admitted / (fleet.Parameters().m_rate *
                             std::chrono::duration<double>(time).count());
}

// Failure: all instances together run more than the allotment when demand
// rises at once, or use only a part of it under a steady excess.
TEST_CASE("a steady excess uses the allotment and no window exceeds it") {
  ForEachCase([](Fleet& fleet) {
    fleet.Run(seconds(10), kUsual);
    fleet.Run(seconds(3), 4.2);
    fleet.ResetCounts();
    fleet.Run(seconds(10), 4.2);
    CHECK(Utilisation(fleet, seconds(10)) >= 0.9);
  });
}

// Failure: requests below the allotment are refused because an instance has
// used its own part of it.
TEST_CASE("nothing is refused below the allotment") {
  ForEachCase([](Fleet& fleet) {
    fleet.Run(seconds(2), 0);  // No news has arrived yet.
    fleet.Run(seconds(60), kUsual);
    CHECK(static_cast<double>(fleet.m_refused) <=
          0.005 * static_cast<double>(fleet.m_requests));
  });
}

// Failure: the allotment stays where the demand was.
TEST_CASE("the allotment follows the demand to another zone within a second") {
  ForEachCase([](Fleet& fleet) {
    const std::size_t per_zone =
        std::max<std::size_t>(fleet.Members().size() / kZones, 1);
    const auto select = [&](std::size_t zone) {
      for (std::size_t i = 0; i < fleet.Members().size(); ++i) {
        fleet.Members()[i].m_weight = i / per_zone == zone ? 1 : 0;
      }
    };
    select(0);
    fleet.Run(seconds(10), 3);
    select(2);
    fleet.Run(seconds(1), 3);
    fleet.ResetCounts();
    fleet.Run(seconds(10), 3);
    CHECK(Utilisation(fleet, seconds(10)) >= 0.9);
    fleet.Run(seconds(5), 0);
    fleet.ResetCounts();
    select(4);
    fleet.Run(seconds(10), kUsual);
    CHECK(static_cast<double>(fleet.m_refused) <=
          0.01 * static_cast<double>(fleet.m_requests));
  });
}

// Failure: an instance that starts again, or all of them, has a new allotment.
TEST_CASE("killed and restarted instances do not add to the allotment") {
  ForEachCase([](Fleet& fleet) {
    std::vector<Member>& members = fleet.Members();
    fleet.Run(seconds(10), 3);
    for (std::size_t i = 0; i < members.size(); i += 2) {
      members[i].m_is_live = false;
    }
    fleet.Run(seconds(1), 3);
    for (std::size_t i = 0; i < members.size(); i += 2) fleet.Start(members[i]);
    fleet.Run(seconds(4), 3);
    for (Member& member : members) fleet.Start(member);
    fleet.Run(seconds(10), 3);
  });
}

// Failure: instances without news of each other use the whole allotment each,
// and go on with it when they wake or come back.
TEST_CASE("cut and frozen instances keep to their part") {
  ForEachCase([](Fleet& fleet) {
    std::vector<Member>& members = fleet.Members();
    fleet.Run(seconds(10), kUsual);
    for (std::size_t i = 0; i < members.size(); ++i) {
      members[i].m_is_cut = i % 3 == 0;
      members[i].m_is_frozen = i % 3 == 1;
    }
    fleet.Run(seconds(10), 3);
    for (Member& member : members) member.m_is_frozen = false;
    fleet.Run(seconds(5), 3);
    for (Member& member : members) member.m_is_cut = false;
    fleet.Run(seconds(10), 3);
  });
}

// Failure: news that is late lets the instances exceed the allotment, or counts
// as no news.
TEST_CASE("late messages do not raise or lower what is admitted") {
  Case parameters;
  parameters.m_delay = milliseconds(600);
  Fleet fleet(parameters);
  fleet.Run(seconds(2), 0);  // No news has arrived yet.
  fleet.Run(seconds(10), kUsual);
  CHECK(fleet.m_refused <= fleet.m_requests / 200);
  fleet.Run(seconds(5), 2);
  fleet.ResetCounts();
  fleet.Run(seconds(10), 2);
  CHECK(Utilisation(fleet, seconds(10)) >= 0.9);
  CHECK(fleet.m_worst_window <= 1);
}

AllotmentState SingleInstance() {
  AllotmentState state;
  state.m_tolerance = {kWindow, 0.1, 0};
  state.m_instances = 1;
  state.m_is_listed = true;
  return state;
}

// Failure: a request that no window covers is refused again and again.
TEST_CASE("a request that can never be covered is told apart") {
  AllotmentState state = SingleInstance();
  CHECK(RequestAllotment(state, {kWorkspace, {10, 10}, 1000, 1}, kStart)
            .m_outcome == AllotmentOutcome::kNeverCovered);
  CHECK(
      RequestAllotment(state, {kWorkspace, {10, 10}, 5, 1}, kStart).m_outcome ==
      AllotmentOutcome::kAdmitted);
}

// Failure: requests that do not run use the allotment up.
TEST_CASE("what did not run is returned") {
  AllotmentState state = SingleInstance();
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const AllotmentDecision decision =
        RequestAllotment(state, {kWorkspace, {10, 10}, 1, i}, kStart);
    if (decision.m_outcome != AllotmentOutcome::kAdmitted) continue;
    ReturnAllotment(state, kWorkspace, 1, kStart, kStart);
  }
  // A process starts as if half of its part were used.
  const AllotmentView view = ViewAllotment(state, kWorkspace, kStart);
  CHECK(view.m_recent <= view.m_target / 2);
}

// Failure: a lowered limit lets the old use through, or a limit without a burst
// divides by zero.
TEST_CASE("a limit that is lowered binds at once, also without a burst") {
  AllotmentState state = SingleInstance();
  double admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    const AllotmentLimit limit =
        i < 1000 ? AllotmentLimit{100, 100} : AllotmentLimit{1, 0};
    const bool is_admitted =
        RequestAllotment(state,
                         {kWorkspace, limit, 1, static_cast<std::uint64_t>(i)},
                         kStart + milliseconds(10) * i)
            .m_outcome == AllotmentOutcome::kAdmitted;
    if (i >= 1000 && is_admitted) ++admitted;
  }
  CHECK(admitted <= 10);
}

// Failure: a caller returns after a lowered limit while the old use still
// refuses it.
TEST_CASE(
    "a refusal after a lowered limit tells when the old use has decayed") {
  AllotmentState state = SingleInstance();
  for (std::uint64_t i = 0; i < 200; ++i) {
    RequestAllotment(state, {kWorkspace, {100, 100}, 1, i}, kStart);
  }
  const AllotmentRequest request{kWorkspace, {10, 10}, 1, 1};
  const AllotmentDecision refusal = RequestAllotment(state, request, kStart);
  REQUIRE(refusal.m_outcome == AllotmentOutcome::kRefused);
  CHECK(refusal.m_retry_after > seconds(1));
  CHECK(RequestAllotment(state, request, kStart + refusal.m_retry_after)
            .m_outcome == AllotmentOutcome::kAdmitted);
}

// Failure: workspaces that come and go fill the memory, or a configuration that
// is restored at once gives an allotment anew.
TEST_CASE("a workspace without a limit is forgotten after some minutes") {
  AllotmentState state = SingleInstance();
  RequestAllotment(state, {kWorkspace, {100, 100}, 1, 1}, kStart);
  RequestAllotment(state, {kWorkspace + 1, {100, 100}, 1, 1}, kStart);
  ForgetUnlimited(state, {kWorkspace}, kStart + seconds(10));
  CHECK(state.m_uses.size() == 2);
  ForgetUnlimited(state, {kWorkspace}, kStart + seconds(600));
  CHECK(state.m_uses.size() == 1);
  CHECK(state.m_uses.contains(kWorkspace));
}

// Failure: a process that does not know the others yet takes the whole.
TEST_CASE("a process that is not listed has a small part") {
  AllotmentState state;
  RequestAllotment(state, {kWorkspace, {100, 100}, 1, 1}, kStart);
  CHECK(ViewAllotment(state, kWorkspace, kStart).m_part <= 0.01);
}

}  // namespace
}  // namespace comfreypaddle
