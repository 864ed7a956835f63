// Limits that endpoints name for all instances together: which instances use
// them, and what all of them send in any four seconds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpointlimit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <string>

#include "balance.h"
#include "loadshare.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1000));
constexpr std::uint64_t kEndpointHash = 77;
constexpr Duration kSpan = seconds(4);

// Time that a statement takes from one instance to the others.
constexpr Duration kNewsDelay = milliseconds(200);

std::uint64_t HashOf(int instance) {
  return InstanceHash("edge-" + std::to_string(instance));
}

// Instances that all have more requests than the endpoint takes.
class Fleet {
 public:
  Fleet(int instances, std::uint64_t seed) : m_random(seed) {
    for (int i = 0; i < instances; ++i) m_live.push_back(i);
    m_limits.resize(instances);
    m_peers.resize(instances);
    TellAll();
  }

  void SetRate(double rate) { m_rate = rate; }
  void SetIdle(int instance, bool idle) { m_is_idle[instance] = idle; }

  // Removes the instance, or adds a new process of it.
  void Stop(int instance) {
    std::erase(m_live, instance);
    TellAll();
  }
  void Restart(int instance) {
    m_limits[instance] = EndpointLimit{};
    m_live.push_back(instance);
    TellAll();
  }

  void Run(Duration time) {
    const Instant end = m_now + time;
    for (; m_now < end; m_now += milliseconds(10)) Step();
  }

  // Most requests in any span from this time on.
  int MostInSpan(Instant from) const {
    int most = 0;
    for (std::size_t i = 0; i < m_sent.size(); ++i) {
      if (m_sent[i] < from) continue;
      const auto end =
          std::lower_bound(m_sent.begin(), m_sent.end(), m_sent[i] + kSpan);
      most = std::max(most, static_cast<int>(end - m_sent.begin() -
                                             static_cast<std::ptrdiff_t>(i)));
    }
    return most;
  }
  std::size_t SentSince(Instant from) const {
    return static_cast<std::size_t>(
        std::count_if(m_sent.begin(), m_sent.end(),
                      [from](Instant at) { return at >= from; }));
  }
  Instant Time() const { return m_now; }
  const EndpointLimit& LimitOf(int instance) const {
    return m_limits[instance];
  }

 private:
  void TellAll() {
    for (const int self : m_live) {
      LimitPeers& peers = m_peers[self];
      peers.m_instances.clear();
      for (const int i : m_live) peers.m_instances.push_back(HashOf(i));
      peers.m_self = HashOf(self);
      SelectHolders(m_limits[self], kEndpointHash, peers, m_now);
    }
  }

  void Step() {
    std::shuffle(m_live.begin(), m_live.end(), m_random);
    for (const int i : m_live) {
      if (m_is_idle[i] || !MaySendWithin(m_limits[i], m_peers[i], m_now))
        continue;
      CountSent(m_limits[i], m_now);
      m_sent.push_back(m_now);
      m_said.push_back({m_rate, m_now});
      Apply(i, m_said.back());
    }
    while (m_told < m_said.size() &&
           m_said[m_told].m_said_at + kNewsDelay <= m_now) {
      for (const int i : m_live) Apply(i, m_said[m_told]);
      ++m_told;
    }
  }

  void Apply(int instance, const LimitStatement& statement) {
    ApplyStatement(m_limits[instance], statement, kEndpointHash,
                   m_peers[instance], m_now);
  }

  std::mt19937_64 m_random;
  Instant m_now = kStart;
  double m_rate = 0;
  std::vector<int> m_live;
  std::map<int, bool> m_is_idle;
  std::vector<EndpointLimit> m_limits;
  std::vector<LimitPeers> m_peers;
  std::vector<Instant> m_sent;
  std::vector<LimitStatement> m_said;
  std::size_t m_told = 0;
};

double Allowed(double rate) { return 1.5 * rate * 4 + 5; }

// Failure (LIMIT): each of many instances sends a request at the same moment,
// or a limit is left unused because its parts are too small.
TEST_CASE("all instances together keep a limit and use it") {
  for (const int instances : {1, 2, 6, 88, 300}) {
    for (const double rate : {0.5, 1.0, 2.2, 5.0, 9.7, 40.0}) {
      CAPTURE(instances);
      CAPTURE(rate);
      Fleet fleet(instances, 1);
      fleet.SetRate(rate);
      fleet.Run(seconds(30));
      const Instant from = kStart + seconds(4);
      CHECK(fleet.MostInSpan(from) <= Allowed(rate));
      const auto sent = static_cast<double>(fleet.SentSince(from));
      const double in_limit = 26 * rate;  // In the seconds that are left.
      // A holder may have saved up one request before.
      CHECK(sent <= in_limit + fleet.LimitOf(0).m_holders);
      CHECK(sent >= 0.8 * in_limit);
    }
  }
}

// Failure (LIMIT): holders that leave and join have each just sent a request.
TEST_CASE("a limit is kept while instances stop and start") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const int instances = seed % 2 == 0 ? 6 : 88;
    Fleet fleet(instances, seed);
    fleet.SetRate(1 + static_cast<double>(seed % 9));
    fleet.Run(seconds(5));
    for (int round = 0; round < 10; ++round) {
      const int instance = static_cast<int>(random() % instances);
      fleet.Stop(instance);
      fleet.Run(milliseconds(500 + random() % 4000));
      fleet.Restart(instance);
      fleet.Run(milliseconds(2000 + random() % 3000));
    }
    CHECK(fleet.MostInSpan(kStart + seconds(4)) <=
          Allowed(1 + static_cast<double>(seed % 9)));
  }
}

// Failure: an endpoint that names another limit, or none any more, is sent as
// many requests as before.
TEST_CASE("the newest statement counts, at every instance") {
  Fleet fleet(6, 3);
  fleet.SetRate(8);
  fleet.Run(seconds(10));
  fleet.SetRate(2);
  const Instant lowered = fleet.Time();
  fleet.Run(seconds(12));
  CHECK(fleet.MostInSpan(lowered + seconds(4)) <= Allowed(2));
  fleet.SetRate(0);
  fleet.Run(seconds(3));
  for (int i = 0; i < 6; ++i) CHECK_FALSE(IsLimited(fleet.LimitOf(i)));
}

// Failure: holders without requests for the endpoint never learn that its limit
// has ended, and nobody uses it again.
TEST_CASE("other instances ask in turn when the holders are idle") {
  constexpr int kInstances = 88;
  Fleet fleet(kInstances, 5);
  fleet.SetRate(1);
  fleet.Run(seconds(5));
  for (int i = 0; i < kInstances; ++i) {
    fleet.SetIdle(i, IsHolder(fleet.LimitOf(i)));
  }
  fleet.Run(seconds(30));
  CHECK(fleet.MostInSpan(kStart + seconds(4)) <= Allowed(1));
  fleet.SetRate(0);
  fleet.Run(seconds(20));
  for (int i = 0; i < kInstances; ++i) {
    CHECK_FALSE(IsLimited(fleet.LimitOf(i)));
  }
}

// Failure: an unreadable limit of a faulty endpoint is applied, or ends one
// that holds.
TEST_CASE("an unreadable limit changes nothing") {
  LimitPeers peers{{HashOf(0)}, HashOf(0), false};
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double rate : {kNan, kInfinity, -1.0}) {
    EndpointLimit limit;
    CHECK_FALSE(ApplyStatement(limit, StatementOf(rate, kStart), kEndpointHash,
                               peers, kStart));
    CHECK_FALSE(IsLimited(limit));
    ApplyStatement(limit, StatementOf(2, kStart), kEndpointHash, peers, kStart);
    ApplyStatement(limit, StatementOf(rate, kStart + seconds(1)), kEndpointHash,
                   peers, kStart + seconds(1));
    REQUIRE(IsLimited(limit));
    CHECK(limit.m_statement->m_rate == 2);
  }
}

// Failure: an endpoint that takes nothing for now is never asked again.
TEST_CASE("a limit of zero lets single requests through") {
  LimitPeers peers{{HashOf(0)}, HashOf(0), false};
  EndpointLimit limit;
  ApplyStatement(limit, StatementOf(0, kStart), kEndpointHash, peers, kStart);
  CHECK(IsLimited(limit));
  CHECK_FALSE(MaySendWithin(limit, peers, kStart + seconds(5)));
  CHECK(MaySendWithin(limit, peers, kStart + seconds(15)));
}

// Failure (LIMIT): an instance in a planned stop spends what the others have
// divided without it; one that is not listed spends what they do not count.
TEST_CASE("a stopping or unlisted instance has no part of a limit") {
  LimitPeers peers{{HashOf(0)}, HashOf(0), false};
  EndpointLimit limit;
  ApplyStatement(limit, StatementOf(5, kStart), kEndpointHash, peers, kStart);
  const Instant later = kStart + seconds(3);
  CHECK(MaySendWithin(limit, peers, later));
  peers.m_stopping = true;
  CHECK_FALSE(MaySendWithin(limit, peers, later));
  LimitPeers unlisted{{HashOf(1)}, HashOf(0), false};
  SelectHolders(limit, kEndpointHash, unlisted, later);
  CHECK_FALSE(MaySendWithin(limit, unlisted, later));
}

BalanceEndpoint Endpoint(const std::string& id) {
  BalanceEndpoint endpoint;
  endpoint.m_id = id;
  endpoint.m_service = "s";
  endpoint.m_address = id + ":1";
  endpoint.m_slots = 4;
  endpoint.m_born_ms = 1;
  return endpoint;
}

// Failure: a limit is forgotten when the list is updated or the entry lapses,
// or is kept by an endpoint that has started again.
TEST_CASE("a limit belongs to one lifetime of the endpoint") {
  BalanceState state;
  SetLimitPeers(state, {{HashOf(0)}, HashOf(0), false}, kStart);
  UpdateEndpoints(state, {Endpoint("e1")}, kStart);
  CHECK(OnLimitStatement(state, "e1", StatementOf(2, kStart), kStart));
  UpdateEndpoints(state, {Endpoint("e1")}, kStart);
  CHECK_FALSE(MaySend(state, *FindEndpoint(state, "e1"), kStart));
  UpdateEndpoints(state, {}, kStart);
  UpdateEndpoints(state, {Endpoint("e1")}, kStart);
  CHECK_FALSE(MaySend(state, *FindEndpoint(state, "e1"), kStart));
  BalanceEndpoint reborn = Endpoint("e1");
  reborn.m_born_ms = 2;
  UpdateEndpoints(state, {reborn}, kStart);
  CHECK(MaySend(state, *FindEndpoint(state, "e1"), kStart));
}

// Failure: requests go to an endpoint over its limit although another one takes
// them, or wait although none will.
TEST_CASE("requests go elsewhere, or are refused with the time of the limit") {
  BalanceState state;
  SetLimitPeers(state, {{HashOf(0)}, HashOf(0), false}, kStart);
  UpdateEndpoints(state, {Endpoint("e1"), Endpoint("e2")}, kStart);
  OnLimitStatement(state, "e1", StatementOf(2, kStart), kStart);
  BalanceQuery query;
  query.m_service = "s";
  const auto choice = SelectEndpoint(state, query, kStart);
  REQUIRE(choice);
  CHECK(choice->m_endpoint == "e2");
  CHECK_FALSE(TimeToLimitedEndpoint(state, query, kStart));
  OnLimitStatement(state, "e2", StatementOf(1, kStart), kStart);
  CHECK_FALSE(SelectEndpoint(state, query, kStart));
  const auto time = TimeToLimitedEndpoint(state, query, kStart);
  REQUIRE(time);
  CHECK(*time > milliseconds(400));
  CHECK(*time < milliseconds(700));
  REQUIRE(SelectEndpoint(state, query, kStart + *time));
  CountToLimit(state, "e1", kStart + *time);
  CHECK_FALSE(SelectEndpoint(state, query, kStart + *time));
}

// Failure: an older statement of one instance hides a newer one of another.
TEST_CASE("the newest statement of several instances is told") {
  LoadShareState state;
  const auto load = [](double rate, Instant at) {
    EndpointLoad entry;
    entry.m_running = 1;
    entry.m_limit = LimitStatement{rate, at};
    return LoadTable{{1, entry}};
  };
  SetMemberLoad(state, "a", load(3, kStart), kStart);
  SetMemberLoad(state, "b", load(0, kStart + milliseconds(50)), kStart);
  SetZoneLoad(state, "z", load(3, kStart + milliseconds(20)), kStart);
  const LoadTable sum = SumOtherLoad(state, "c", kStart);
  REQUIRE(sum.at(1).m_limit);
  CHECK(sum.at(1).m_limit->m_rate == 0);
  CHECK(sum.at(1).m_running == 3);
}

}  // namespace
}  // namespace comfreypaddle
