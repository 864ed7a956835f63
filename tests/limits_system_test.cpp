// Limits that endpoints name for all instances together, over real processes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndpointArrival;
using testing::PlatformCluster;
using testing::Reply;

constexpr int kEntries = 3;
constexpr Duration kCallPeriod = milliseconds(10);

// Time after the first response with a limit from which it holds, and the span
// in which requests are counted.
constexpr Duration kContactTime = seconds(4);
constexpr Duration kSpan = seconds(4);

// Requests allowed in a span: one and a half times the limit, and five.
double Allowed(double limit) {
  return 1.5 * limit * std::chrono::duration<double>(kSpan).count() + 5;
}

// Most arrivals in any span between the two times.
int MostInSpan(const std::vector<EndpointArrival>& arrivals, Instant from,
               Instant to) {
  std::vector<Instant> times;
  for (const EndpointArrival& arrival : arrivals) {
    if (arrival.m_at >= from && arrival.m_at < to)
      times.push_back(arrival.m_at);
  }
  int most = 0;
  for (auto begin = times.begin(); begin != times.end(); ++begin) {
    const auto end = std::lower_bound(begin, times.end(), *begin + kSpan);
    most = std::max(most, static_cast<int>(end - begin));
  }
  return most;
}

// Three instances before two endpoints. Each instance gets requests in turn.
struct LimitedEndpoints {
  explicit LimitedEndpoints(const std::string& name)
      : m_cluster("limits-" + name) {
    constexpr int kSlots = 50;
    m_cluster.SetSlots(kSlots);
    m_cluster.Configure(1, R"(["k1"])");
    m_cluster.AddEndpoint("plain");
    m_cluster.AddEndpoint("plain");
    for (int entry = 1; entry <= kEntries; ++entry) m_cluster.StartEntry(entry);
    // Longer than the instances need to find each other.
    Run(seconds(5));
  }

  void Run(Duration time) {
    PeriodicTimer calls(m_cluster.Loop(), kCallPeriod, [this] {
      const int entry = 1 + static_cast<int>(m_replies.size()) % kEntries;
      m_replies.push_back(m_cluster.Start(
          entry, "GET", "/safe/" + std::to_string(m_replies.size())));
    });
    m_cluster.Until([] { return false; }, time);
  }

  // Checks the arrivals at the endpoint from when its limit holds to now.
  void CheckLimit(std::size_t endpoint, double limit, Instant named) {
    CAPTURE(endpoint);
    const int most = MostInSpan(m_cluster.Endpoint(endpoint).Arrivals(),
                                named + kContactTime, Now());
    MESSAGE(most, " requests in 4 s, ", Allowed(limit), " allowed");
    CHECK(most <= Allowed(limit));
    // The endpoint stays in use.
    CHECK(most >= limit);
  }

  std::size_t ArrivalsAt(std::size_t endpoint) {
    return m_cluster.Endpoint(endpoint).Arrivals().size();
  }

  PlatformCluster m_cluster;
  std::vector<std::shared_ptr<Reply>> m_replies;
};

// Failure (LIMIT): no instance read the limit that an endpoint names.
TEST_CASE("an endpoint gets no more than the limit that it names") {
  LimitedEndpoints f("one");
  const Instant named = Now();
  f.m_cluster.Endpoint(0).SetLimit("2");
  f.Run(seconds(12));
  f.CheckLimit(0, 2, named);
  // Failure: an endpoint that names no limit any more stays restricted.
  f.m_cluster.Endpoint(0).SetLimit("");
  f.Run(seconds(3));
  const std::size_t before = f.ArrivalsAt(0);
  f.Run(seconds(2));
  CHECK(f.ArrivalsAt(0) - before > 40);
}

// Failure (LIMIT): a restarted instance spends a share that others spend too.
TEST_CASE("the limit holds while an instance stops and starts") {
  LimitedEndpoints f("restart");
  const Instant named = Now();
  f.m_cluster.Endpoint(0).SetLimit("2");
  f.Run(seconds(6));
  f.m_cluster.Entry(2).Signal(SIGTERM);
  f.Run(seconds(5));
  f.m_cluster.LaunchEntry(2);
  f.Run(seconds(6));
  f.CheckLimit(0, 2, named);
}

// Failure: requests that no endpoint may take wait, or are refused without a
// time to come back.
TEST_CASE("requests beyond the limits of all endpoints are refused at once") {
  LimitedEndpoints f("all");
  const Instant named = Now();
  f.m_cluster.Endpoint(0).SetLimit("2");
  f.m_cluster.Endpoint(1).SetLimit("3.5");
  f.Run(seconds(10));
  f.CheckLimit(0, 2, named);
  f.CheckLimit(1, 3.5, named);
  const Instant sent = Now();
  std::vector<std::shared_ptr<Reply>> replies;
  for (int i = 0; i < 60; ++i) {
    replies.push_back(f.m_cluster.Start(1 + i % kEntries, "GET",
                                        "/safe/late" + std::to_string(i)));
  }
  REQUIRE(f.m_cluster.Until([&] {
    return std::all_of(replies.begin(), replies.end(),
                       [](const auto& reply) { return reply->m_ended; });
  }));
  CHECK(Now() - sent < seconds(1));
  int refused = 0;
  for (const auto& reply : replies) {
    if (reply->m_status != 503) continue;
    ++refused;
    CHECK(FindFieldIgnoreCase(reply->m_headers, "Retry-After") != nullptr);
  }
  CHECK(refused >= 40);
}

}  // namespace
}  // namespace comfreypaddle
