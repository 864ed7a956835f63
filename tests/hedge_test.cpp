// When slow requests are sent to a second endpoint, and how many. The endpoints
// of the second part run in virtual time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hedge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "hashmix.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Duration kTarget = milliseconds(150);
const HedgeRoute route{"s", "r"};

HedgeState MakeState(std::uint64_t seed = 0) {
  HedgeState state;
  state.m_limits.m_enabled = true;
  state.m_seed = seed;
  return state;
}

// A question to which nothing stands in the way.
HedgeQuestion MakeQuestion() {
  HedgeQuestion question;
  question.m_route = route;
  question.m_time_left = seconds(1);
  question.m_has_attempts_left = true;
  question.m_retries = {100, 0, 10};
  return question;
}

// Fills both credits.
void FillCredit(HedgeState& state) {
  for (int i = 0; i < 100; ++i) CreditRequest(state, route, kStart);
}

// Failure: a route without a target time has all its requests hedged.
TEST_CASE("without a target time the delay is the quantile only") {
  HedgeState state = MakeState();
  CHECK(HedgeDelay(state, route, Duration::zero()) == Duration::max());
  for (int i = 0; i < 100; ++i) {
    AddResponseTime(state, route, milliseconds(100));
  }
  CHECK(HedgeDelay(state, route, Duration::zero()) >= milliseconds(100));
}

TEST_CASE("the delay is a quantile of the response times of the route") {
  HedgeState state = MakeState();
  CHECK(HedgeDelay(state, route, kTarget) == milliseconds(75));
  for (int ms = 1; ms <= 100; ++ms) {
    AddResponseTime(state, route, milliseconds(ms));
  }
  const Duration delay = HedgeDelay(state, route, seconds(1));
  CHECK(delay >= milliseconds(95));
  CHECK(delay <= milliseconds(110));
  CHECK(HedgeDelay(state, route, kTarget) == milliseconds(75));
  CHECK(HedgeDelay(state, {"s", "other"}, kTarget) == milliseconds(75));
  // Response times that change replace the earlier ones.
  for (int i = 0; i < 4000; ++i) AddResponseTime(state, route, milliseconds(5));
  CHECK(HedgeDelay(state, route, kTarget) == state.m_limits.m_min_delay);
  AddResponseTime(state, route, std::chrono::hours(10));
  AddResponseTime(state, route, Duration(0));
}

// Guards against a hedge for each reason for which there must be none.
TEST_CASE("a hedge is denied for each reason") {
  HedgeState state = MakeState();
  HedgeQuestion question = MakeQuestion();
  const Instant now = kStart + seconds(100);
  FillCredit(state);
  REQUIRE_FALSE(FindHedgeDenial(state, question, now));
  HedgeDenial reason{};
  SUBCASE("attempts") {
    question.m_has_attempts_left = false;
    reason = HedgeDenial::kAttempts;
  }
  SUBCASE("suspect") {
    question.m_is_suspect = true;
    reason = HedgeDenial::kSuspect;
  }
  SUBCASE("deadline") {
    question.m_time_left = milliseconds(20);
    reason = HedgeDenial::kTooLate;
  }
  SUBCASE("queue") {
    question.m_is_service_queued = true;
    reason = HedgeDenial::kQueue;
  }
  SUBCASE("load") {
    question.m_load = 0.6;
    reason = HedgeDenial::kLoad;
  }
  SUBCASE("share of the route") {
    ChargeHedge(state, route, 1, now - seconds(50));
    reason = HedgeDenial::kRatio;
  }
  SUBCASE("rate") {
    ChargeHedge(state, route, 1, now);
    FillCredit(state);
    reason = HedgeDenial::kRate;
  }
  SUBCASE("half of the retry budget") {
    question.m_retries = {100, 5, 10};
    reason = HedgeDenial::kRetryBudget;
  }
  CHECK(FindHedgeDenial(state, question, now) == reason);
}

// Sum of the hedges that the instances send in the time if every request is due
// for one. The requests are spread evenly at random.
double CountHedges(std::size_t instances, const HedgeLimits& limits,
                   int requests_per_s, int time_s) {
  std::vector<HedgeState> states;
  for (std::size_t i = 0; i < instances; ++i) {
    states.push_back(MakeState(MixHashes(i, 7)));
    states.back().m_limits = limits;
  }
  std::mt19937 random(5);
  HedgeQuestion question = MakeQuestion();
  question.m_instances = static_cast<std::uint32_t>(instances);
  double sent = 0;
  for (int i = 0; i < requests_per_s * time_s; ++i) {
    const Instant now = kStart + seconds(1) * i / requests_per_s;
    HedgeState& state = states[random() % instances];
    CreditRequest(state, route, now);
    if (FindHedgeDenial(state, question, now)) continue;
    ChargeHedge(state, route, question.m_instances, now);
    ++sent;
  }
  return sent;
}

// Failure: limits that hold for each instance multiply the extra work by the
// number of instances, and whole hedges that few of them earn leave it unused.
TEST_CASE("all instances together keep to the share and use it") {
  HedgeLimits limits;
  limits.m_ratio = 0.05;
  limits.m_rate = 10000;
  for (const std::size_t instances : {6U, 380U}) {
    CAPTURE(instances);
    // At 380 instances each one has 10 requests, which earn half a hedge.
    const double sent = CountHedges(instances, limits, 100, 38);
    CHECK(sent <= 0.05 * 3800 + 0.1 * static_cast<double>(instances));
    CHECK(sent >= 0.05 * 3800 * 0.8);
  }
}

TEST_CASE("all instances together keep to the rate and use it") {
  HedgeLimits limits;
  limits.m_ratio = 0.5;
  limits.m_rate = 4;
  for (const std::size_t instances : {6U, 380U}) {
    CAPTURE(instances);
    const double sent = CountHedges(instances, limits, 200, 300);
    CHECK(sent <= 4 * 300 + static_cast<double>(instances));
    CHECK(sent >= 4 * 300 * 0.6);
  }
}

// A copy of a request at an endpoint.
struct Copy {
  std::size_t m_request = 0;
  double m_left_ms = 0;  // Of its work.
};

struct ModelRequest {
  Instant m_arrived{};
  std::size_t m_instance = 0;
  std::size_t m_endpoint = 0;
  bool m_is_hedged = false;
  bool m_is_answered = false;
};

// Endpoints with slots and a queue, and instances that send them requests of
// 15 ms of work on average.
class Model {
 public:
  Model(std::vector<double> slowness, double ratio)
      : m_slowness(std::move(slowness)), m_endpoints(m_slowness.size()) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_states.push_back(MakeState(MixHashes(i, 3)));
      m_states.back().m_limits.m_ratio = ratio;
      m_states.back().m_limits.m_rate = 100;
    }
  }

  void Run(int time_s, int requests_per_s) {
    const int steps = time_s * 1000;
    for (int step = 0; step < steps; ++step) {
      m_now = kStart + milliseconds(step);
      m_due += requests_per_s / 1000.0;
      for (; m_due >= 1; --m_due) Arrive();
      for (std::size_t e = 0; e < m_endpoints.size(); ++e) Work(e);
      Hedge();
    }
  }

  double Percentile(double share) {
    std::sort(m_times_ms.begin(), m_times_ms.end());
    return m_times_ms.at(static_cast<std::size_t>(
        share * static_cast<double>(m_times_ms.size())));
  }
  double Requests() const { return static_cast<double>(m_requests.size()); }
  double Sent() const {
    double sent = 0;
    for (const HedgeState& state : m_states) {
      sent += static_cast<double>(state.m_counters.m_sent);
    }
    return sent;
  }

  static constexpr std::size_t kInstances = 6;

 private:
  static constexpr std::size_t kSlots = 6;

  // Every copy draws work of its own.
  void Send(std::size_t request, std::size_t endpoint) {
    std::lognormal_distribution<double> work(2.6, 0.5);
    m_endpoints[endpoint].push_back({request, work(m_random)});
  }

  void Arrive() {
    ModelRequest request;
    request.m_arrived = m_now;
    request.m_instance = m_random() % kInstances;
    request.m_endpoint = m_random() % m_endpoints.size();
    m_requests.push_back(request);
    m_open.push_back(m_requests.size() - 1);
    Send(m_requests.size() - 1, request.m_endpoint);
  }

  void Work(std::size_t endpoint) {
    std::vector<Copy>& copies = m_endpoints[endpoint];
    std::erase_if(copies, [this](const Copy& copy) {
      return m_requests[copy.m_request].m_is_answered;
    });
    const std::size_t running = std::min(copies.size(), kSlots);
    for (std::size_t i = 0; i < running; ++i) {
      copies[i].m_left_ms -= 1 / m_slowness[endpoint];
      if (copies[i].m_left_ms <= 0) Answer(copies[i].m_request);
    }
  }

  void Answer(std::size_t index) {
    ModelRequest& request = m_requests[index];
    if (std::exchange(request.m_is_answered, true)) return;
    m_times_ms.push_back(ToMs(m_now - request.m_arrived));
    HedgeState& state = m_states[request.m_instance];
    CreditRequest(state, route, m_now);
    AddResponseTime(state, route, m_now - request.m_arrived);
  }

  double Load() const {
    double running = 0;
    for (const auto& copies : m_endpoints) {
      running += static_cast<double>(copies.size());
    }
    return running / static_cast<double>(kSlots * m_endpoints.size());
  }

  void Hedge() {
    std::erase_if(
        m_open, [this](std::size_t i) { return m_requests[i].m_is_answered; });
    HedgeQuestion question = MakeQuestion();
    question.m_instances = kInstances;
    for (const std::size_t index : m_open) {
      ModelRequest& request = m_requests[index];
      HedgeState& state = m_states[request.m_instance];
      question.m_load = Load();
      if (request.m_is_hedged ||
          m_now - request.m_arrived < HedgeDelay(state, route, kTarget) ||
          FindHedgeDenial(state, question, m_now)) {
        continue;
      }
      request.m_is_hedged = true;
      ChargeHedge(state, route, kInstances, m_now);
      const std::size_t others = m_endpoints.size() - 1;
      Send(index,
           (request.m_endpoint + 1 + m_random() % others) % m_endpoints.size());
    }
  }

  std::vector<double> m_slowness;
  std::vector<std::vector<Copy>> m_endpoints;
  std::vector<HedgeState> m_states;
  std::vector<ModelRequest> m_requests;
  std::vector<std::size_t> m_open;
  std::vector<double> m_times_ms;
  std::mt19937 m_random{11};
  Instant m_now = kStart;
  double m_due = 0;
};

TEST_CASE("one slow endpoint of six no longer makes the slowest responses") {
  const std::vector<double> one_slow{1, 1, 1, 1, 1, 8};
  constexpr double kRatio = 0.2;
  Model off(one_slow, 0);
  off.Run(60, 100);
  Model on(one_slow, kRatio);
  on.Run(60, 100);
  MESSAGE("p50 ", off.Percentile(0.5), " to ", on.Percentile(0.5), ", p95 ",
          off.Percentile(0.95), " to ", on.Percentile(0.95), ", p99 ",
          off.Percentile(0.99), " to ", on.Percentile(0.99), ", hedges ",
          on.Sent(), " of ", on.Requests());
  CHECK(on.Percentile(0.99) < 0.7 * off.Percentile(0.99));
  CHECK(on.Percentile(0.5) <= off.Percentile(0.5));
  CHECK(on.Sent() <= kRatio * on.Requests() + Model::kInstances);
}

// Failure: hedges feed an overload, because every request is slow in it.
TEST_CASE("where all endpoints are slow, hedges do not add to the overload") {
  constexpr double kRatio = 0.2;
  // All slots are in use and requests queue, or half of them are in use.
  for (const double slowness : {30.0, 12.0}) {
    CAPTURE(slowness);
    const std::vector<double> all_slow(6, slowness);
    Model off(all_slow, 0);
    off.Run(20, 100);
    Model on(all_slow, kRatio);
    on.Run(20, 100);
    MESSAGE("p50 ", off.Percentile(0.5), " to ", on.Percentile(0.5),
            ", hedges ", on.Sent(), " of ", on.Requests());
    CHECK(on.Sent() <= kRatio * on.Requests() + Model::kInstances);
    CHECK(on.Percentile(0.5) <= 1.05 * off.Percentile(0.5));
  }
}

}  // namespace
}  // namespace comfreypaddle
