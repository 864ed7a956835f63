#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

#include "membership.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr Duration kFreshness = milliseconds(2000);

MembershipState Make(const std::string& name, const std::string& region,
                     const std::vector<ConfiguredPeer>& all) {
  std::vector<ConfiguredPeer> peers;
  std::copy_if(all.begin(), all.end(), std::back_inserter(peers),
               [&](const ConfiguredPeer& peer) { return peer.m_name != name; });
  return MakeMembership({.m_name = name, .m_region = region}, peers);
}

// Returns instances a1, a2, b1, b2, ... in the given number of regions.
std::vector<ConfiguredPeer> Instances(int regions, int per_region) {
  std::vector<ConfiguredPeer> all;
  for (int r = 0; r < regions; ++r) {
    for (int i = 1; i <= per_region; ++i) {
      const std::string region(1, static_cast<char>('a' + r));
      all.push_back({region + std::to_string(i), region});
    }
  }
  return all;
}

PeerReport MakeReport(const std::string& name, bool reachable,
                      std::uint64_t incarnation = 1) {
  PeerReport report;
  report.m_name = name;
  report.m_region = name.substr(0, 1);
  report.m_incarnation = incarnation;
  report.m_log_reachable = reachable;
  return report;
}

// Returns the state of a1 in two regions of two instances, caught up but
// without the log.
MembershipState MakeStateWithoutLog() {
  MembershipState state = Make("a1", "a", Instances(2, 2));
  OnLocalLogStatus(state, {.m_next_offset = 5, .m_caught_up = true});
  return state;
}

TEST_CASE("an outage of the log everywhere does not stop admission") {
  MembershipState state = MakeStateWithoutLog();
  CHECK(DecideAdmission(state, kStart).m_reason ==
        AdmissionReason::kRegionSilent);
  OnPeerResponse(state, MakeReport("a2", false), kStart, kStart);
  CHECK_FALSE(DecideAdmission(state, kStart).m_open);
  OnPeerResponse(state, MakeReport("b1", false), kStart, kStart);
  CHECK(DecideAdmission(state, kStart).m_reason == AdmissionReason::kLogDown);
  CHECK(DecideAdmission(state, kStart).m_open);
  CHECK_FALSE(DecideAdmission(state, kStart + kFreshness).m_open);
  OnPeerCall(state, MakeReport("b2", true), kStart);
  CHECK(DecideAdmission(state, kStart).m_reason ==
        AdmissionReason::kLogAnswers);
}

TEST_CASE("a delayed statement counts from the send time of the request") {
  MembershipState state = MakeStateWithoutLog();
  const Instant now = kStart + kFreshness;
  OnPeerResponse(state, MakeReport("a2", false), now, now);
  OnPeerResponse(state, MakeReport("b1", false), kStart, now);
  CHECK_FALSE(DecideAdmission(state, now).m_open);
}

TEST_CASE("a statement that the log is reachable is forwarded by peers") {
  MembershipState state = MakeStateWithoutLog();
  PeerReport report = MakeReport("a2", false);
  report.m_regions.push_back({"c1", "c", 1, 1, milliseconds(100)});
  OnPeerResponse(state, report, kStart, kStart);
  OnPeerResponse(state, MakeReport("b1", false), kStart, kStart);
  CHECK(DecideAdmission(state, kStart).m_reason ==
        AdmissionReason::kLogAnswers);
  CHECK(MakePeerReport(state, 1, kStart).m_regions.at(0).m_age ==
        milliseconds(100));
  // The same statement received through another peer does not renew it.
  const Instant later = kStart + milliseconds(1900);
  report.m_name = "b2";
  OnPeerCall(state, report, later);
  OnPeerResponse(state, MakeReport("a2", false), later, later);
  OnPeerResponse(state, MakeReport("b1", false), later, later);
  CHECK(DecideAdmission(state, later).m_reason == AdmissionReason::kLogDown);
}

TEST_CASE("a relay makes an instance fresh once it has read the entries") {
  MembershipState state = MakeStateWithoutLog();
  PeerReport report = MakeReport("b1", true);
  report.m_next_offset = 9;
  report.m_log_age = milliseconds(500);
  OnPeerResponse(state, report, kStart, kStart);
  CHECK_FALSE(DecideAdmission(state, kStart).m_open);
  CHECK(RelaySource(state, kStart) == "b1");
  OnLocalLogStatus(state, {.m_next_offset = 9, .m_caught_up = true});
  const Admission admission = DecideAdmission(state, kStart);
  CHECK(admission.m_reason == AdmissionReason::kFresh);
  CHECK(admission.m_until == kStart + milliseconds(1500));
  CHECK_FALSE(RelaySource(state, kStart).has_value());
}

TEST_CASE("an outage does not hide what peers read before it") {
  MembershipState state = MakeStateWithoutLog();
  OnPeerResponse(state, MakeReport("a2", false), kStart, kStart);
  PeerReport ahead = MakeReport("b1", false);
  ahead.m_next_offset = 6;
  OnPeerResponse(state, ahead, kStart, kStart);
  CHECK(DecideAdmission(state, kStart).m_reason == AdmissionReason::kBehind);
  CHECK(RelaySource(state, kStart) == "b1");
  OnLocalLogStatus(state, {.m_next_offset = 6, .m_caught_up = true});
  CHECK(DecideAdmission(state, kStart).m_reason == AdmissionReason::kLogDown);
}

TEST_CASE("a report of an earlier incarnation is ignored") {
  MembershipState state = MakeStateWithoutLog();
  OnPeerCall(state, MakeReport("a2", false, 7), kStart);
  OnPeerResponse(state, MakeReport("a2", true, 6), kStart, kStart);
  CHECK(state.m_log_statements.empty());
}

TEST_CASE("a partitioned instance accepts no writes, a single instance does") {
  MembershipState state = MakeStateWithoutLog();
  const LocalLogStatus log{5, true, kStart, true};
  OnLocalLogStatus(state, log);
  CHECK(DecideAdmission(state, kStart).m_open);
  CHECK_FALSE(MayAcceptWrites(state, kStart));
  OnPeerCall(state, MakeReport("b1", true), kStart);
  CHECK_FALSE(MayAcceptWrites(state, kStart));
  OnPeerResponse(state, MakeReport("b1", true), kStart, kStart);
  CHECK(MayAcceptWrites(state, kStart));
  MembershipState alone = Make("a1", "a", {});
  OnLocalLogStatus(alone, log);
  CHECK(MayAcceptWrites(alone, kStart));
  CHECK(DecideAdmission(alone, kStart + kFreshness).m_open);
}

TEST_CASE("peer phases follow the received reports") {
  MembershipState state = MakeStateWithoutLog();
  CHECK(PeerPhaseOf(state, "a2", kStart) == PeerPhase::kUnknown);
  PeerReport report = MakeReport("a2", true);
  OnPeerCall(state, report, kStart);
  CHECK(PeerPhaseOf(state, "a2", kStart) == PeerPhase::kHeard);
  report.m_draining = true;
  OnPeerCall(state, report, kStart);
  CHECK(PeerPhaseOf(state, "a2", kStart) == PeerPhase::kDraining);
  CHECK(PeerPhaseOf(state, "a2", kStart + milliseconds(1000)) ==
        PeerPhase::kSilent);
}

TEST_CASE("usage is held in two regions by reachable peers") {
  MembershipState state = MakeStateWithoutLog();
  CHECK(UsageHolderTargets(state, kStart).empty());
  for (const char* name : {"a2", "b1", "b2"}) {
    OnPeerCall(state, MakeReport(name, true), kStart);
  }
  const auto holders = UsageHolderTargets(state, kStart);
  REQUIRE(holders.size() == 2);
  CHECK(holders[0] == "a2");
  CHECK(holders[1][0] == 'b');
}

TEST_CASE("at 380 instances heartbeats go to few targets and reach all") {
  const auto all = Instances(5, 76);
  std::map<std::string, std::set<std::string>> callers;
  for (const ConfiguredPeer& self : all) {
    const MembershipState state = Make(self.m_name, self.m_region, all);
    const auto targets = HeartbeatTargets(state, kStart);
    CHECK(targets.size() == 6);
    for (const auto& target : targets) callers[target].insert(self.m_name);
  }
  std::size_t most = 0;
  for (const ConfiguredPeer& instance : all) {
    // Two neighbours in the ring of the region.
    CHECK(callers[instance.m_name].size() >= 2);
    most = std::max(most, callers[instance.m_name].size());
  }
  CHECK(most <= 24);
}

TEST_CASE("a failed heartbeat target is replaced temporarily") {
  const auto all = Instances(5, 76);
  MembershipState state = Make("a1", "a", all);
  const auto before = HeartbeatTargets(state, kStart);
  OnPeerFailure(state, before.back(), kStart);
  const auto after = HeartbeatTargets(state, kStart);
  CHECK(after.size() == before.size());
  CHECK(std::count(after.begin(), after.end(), before.back()) == 0);
  CHECK(HeartbeatTargets(state, kStart + std::chrono::seconds(10)) == before);
}

// Simulates six instances in three regions. The log is reachable or not per
// region, links between regions fail, instances are suspended, and responses
// are delayed.
struct Simulation {
  static constexpr Duration kStep = milliseconds(100);

  struct Delivery {
    std::size_t m_to = 0;
    PeerReport m_report;
    Instant m_sent;
    Instant m_due;
  };

  explicit Simulation(std::uint64_t seed) : m_random(seed) {
    m_all = Instances(3, 2);
    for (const ConfiguredPeer& self : m_all) {
      m_states.push_back(Make(self.m_name, self.m_region, m_all));
    }
  }

  int Random(int below) {
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
  }

  bool Linked(std::size_t a, std::size_t b) const {
    return a / 2 == b / 2 || !m_cut[a / 2 + b / 2 - 1];
  }

  bool LogUp(std::size_t region) const {
    return !m_log_down[region] && !m_outage;
  }

  // Returns the time of the first record that the instance has not read.
  Instant FirstUnread(std::size_t i) const {
    const std::size_t read = m_states[i].m_next_offset;
    return read < m_appended.size() ? m_appended[read] : Instant::max();
  }

  void StepInstance(std::size_t i) {
    MembershipState& state = m_states[i];
    const bool up = LogUp(i / 2);
    if (up) {
      OnLocalLogStatus(state, {m_appended.size(), true, m_now, true});
    } else {
      OnLocalLogStatus(state,
                       {state.m_next_offset, false, {}, state.m_caught_up});
    }
    for (auto& delivery : m_deliveries) {
      if (delivery.m_to != i || delivery.m_due > m_now) continue;
      OnPeerResponse(state, delivery.m_report, delivery.m_sent, m_now);
      delivery.m_due = Instant::max();
    }
    m_deliveries.erase(std::remove_if(m_deliveries.begin(), m_deliveries.end(),
                                      [](const Delivery& delivery) {
                                        return delivery.m_due == Instant::max();
                                      }),
                       m_deliveries.end());
    if (const auto source = RelaySource(state, m_now)) {
      const std::size_t from = static_cast<std::size_t>(
          std::find_if(m_all.begin(), m_all.end(),
                       [&](const auto& p) { return p.m_name == *source; }) -
          m_all.begin());
      if (Linked(i, from) && !m_paused[from]) {
        state.m_next_offset =
            std::max(state.m_next_offset, m_states[from].m_next_offset);
      }
    }
  }

  void SendHeartbeat(std::size_t from, std::size_t to, Duration delay) {
    if (from == to || m_paused[from] || m_paused[to] || !Linked(from, to)) {
      return;
    }
    OnPeerCall(m_states[to], MakePeerReport(m_states[from], 1, m_now), m_now);
    m_deliveries.push_back(
        {from, MakePeerReport(m_states[to], 1, m_now), m_now, m_now + delay});
  }

  std::mt19937_64 m_random;
  std::vector<ConfiguredPeer> m_all;
  std::vector<MembershipState> m_states;
  std::vector<Delivery> m_deliveries;
  std::vector<Instant> m_appended;  // Times of all records.
  bool m_outage = false;            // The log is unreachable everywhere.
  std::array<bool, 3> m_log_down{};
  std::array<bool, 3> m_cut{};
  std::array<bool, 6> m_paused{};
  Instant m_now = kStart;
};

void InjectFaults(Simulation& world) {
  // Faults are rarer than repairs, so that all states occur.
  const auto change = [&world](bool& fault) {
    fault = world.Random(fault ? 25 : 80) == 0 ? !fault : fault;
  };
  if (world.Random(world.m_outage ? 100 : 40) == 0) {
    world.m_outage = !world.m_outage;
  }
  for (bool& down : world.m_log_down) change(down);
  for (bool& cut : world.m_cut) change(cut);
  // One instance of each region is never suspended: if the only instance that
  // read a record is lost together with the log, no other can know of the
  // record.
  for (std::size_t i = 0; i < 6; i += 2) change(world.m_paused[i]);
  const bool any_up = world.LogUp(0) || world.LogUp(1) || world.LogUp(2);
  if (any_up && world.Random(4) == 0) world.m_appended.push_back(world.m_now);
}

struct AdmissionCounts {
  int m_all = 0;
  int m_without_log = 0;
};

// Checks the admission decisions of all running instances.
void CheckAdmissions(Simulation& world, AdmissionCounts& counts) {
  for (std::size_t i = 0; i < 6; ++i) {
    if (world.m_paused[i]) continue;
    world.StepInstance(i);
    const MembershipState& state = world.m_states[i];
    const Admission admission = DecideAdmission(state, world.m_now);
    if (!admission.m_open) continue;
    ++counts.m_all;
    if (admission.m_reason == AdmissionReason::kLogDown) ++counts.m_without_log;
    RC_ASSERT(world.FirstUnread(i) >=
              world.m_now - kFreshness - Simulation::kStep);
    RC_ASSERT(admission.m_until > world.m_now);
    RC_ASSERT(DecideAdmission(state, admission.m_until).m_reason !=
              admission.m_reason);
  }
}

TEST_CASE("an instance admits only with all changes older than 2 s read") {
  AdmissionCounts counts;
  CHECK(rc::check("revocations stop admission in time", [&counts] {
    Simulation world(*rc::gen::resize(rc::kNominalSize,
                                      rc::gen::arbitrary<std::uint64_t>()));
    for (int step = 0; step < 600; ++step) {
      world.m_now += Simulation::kStep;
      InjectFaults(world);
      CheckAdmissions(world, counts);
      for (std::size_t i = 0; step % 5 == 0 && i < 36; ++i) {
        world.SendHeartbeat(i / 6, i % 6,
                            milliseconds(world.Random(3) == 0 ? 3000 : 0));
      }
    }
  }));
  // Ensures that the property is exercised during outages.
  CHECK(counts.m_all > 100000);
  CHECK(counts.m_without_log > 20000);
}

}  // namespace
}  // namespace comfreypaddle
