#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <set>

#include "http.pb.h"
#include "json.h"
#include "resources.pb.h"
#include "standins.pb.h"
#include "support_process.h"

namespace comfreypaddle::testing {
namespace {

// Covers lease term, clock drift, staggered claims, order time and the
// platform's lead time.
constexpr Duration kTakeoverLimit = std::chrono::seconds(25);

// The role planner acts only after its long averaging window, and an order
// waits until its endpoint is idle.
constexpr Duration kRoleChangeLimit = std::chrono::seconds(75);

template <typename Message>
Message Get(Cluster& cluster, const std::string& url) {
  HttpCall call;
  call.m_url = url;
  call.m_timeout = std::chrono::seconds(2);
  Message message;
  FromJson(cluster.Call(call).m_body, UnknownFields::kIgnore, &message);
  return message;
}

std::string EngineUrl(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port);
}

int HolderOf(Cluster& cluster, const std::vector<int>& entries,
             const std::string& duty) {
  for (const int entry : entries) {
    const auto status = Get<schema::StatusReport>(
        cluster, cluster.OperatorUrl(entry) + "/api/v1/status");
    for (const std::string& held : status.duties()) {
      if (held == duty) return entry;
    }
  }
  return 0;
}

std::vector<int> Others(int entry) {
  std::vector<int> others;
  for (int i = 1; i <= 3; ++i) {
    if (i != entry) others.push_back(i);
  }
  return others;
}

int ConfiguredEndpoints(Cluster& cluster, int entry, const std::string& fleet) {
  const auto list = Get<schema::ResourceList>(
      cluster, cluster.OperatorUrl(entry) + "/api/v1/endpoint");
  int count = 0;
  for (const schema::Resource& resource : list.items()) {
    if (resource.endpoint().fleet() == fleet) ++count;
  }
  return count;
}

// Guards against duplicate orders by two holders of the capacity duty, and
// against orders of a holder that resumes after a pause.
TEST_CASE("a pause of the capacity holder orders no endpoint twice") {
  Cluster cluster("capacity");
  std::string addresses;
  for (int i = 0; i < 6; ++i) {
    const auto port = cluster.StartEngine({"--checks_fencing"});
    addresses += addresses.empty() ? "" : ",";
    addresses += "engines/z" + std::to_string(i % 3 + 1) +
                 "/127.0.0.1:" + std::to_string(port) + "/checks";
  }
  cluster.StartPlatform({"--addresses", addresses, "--lead_time_ms", "500"});
  cluster.StartEntries(3, {{"platform.poll_ms", "200"}});
  cluster.ApplyDefaultResources({}, {});
  const std::string zones = R"(["z1","z2","z3"])";
  const auto fleet = [&zones](int replicas) {
    return R"({"name":"engines","kind":"engine","model":"m","replicas":)" +
           std::to_string(replicas) +
           R"(,"concurrency":64,"prefill_tokens_per_s":10000,)"
           R"("decode_tokens_per_s":1000,"zones":)" +
           zones + "}";
  };
  REQUIRE(cluster.Apply(1, "fleet", "engines", fleet(3)).m_status == 200);
  REQUIRE(cluster.Until(
      [&] { return ConfiguredEndpoints(cluster, 2, "engines") == 3; },
      kTakeoverLimit));
  REQUIRE(cluster.Until([&] {
    return cluster.Call(cluster.Completion(2, "a", 2, false)).m_status == 200;
  }));
  const int holder = HolderOf(cluster, {1, 2, 3}, "capacity");
  REQUIRE(holder != 0);
  cluster.Entry(holder).Signal(SIGSTOP);
  const std::vector<int> others = Others(holder);
  REQUIRE(
      cluster.Apply(others.front(), "fleet", "engines", fleet(5)).m_status ==
      200);
  REQUIRE(
      cluster.Until([&] { return HolderOf(cluster, others, "capacity") != 0; },
                    kTakeoverLimit));
  cluster.Entry(holder).Signal(SIGCONT);
  CHECK(cluster.Until(
      [&] {
        return ConfiguredEndpoints(cluster, others.front(), "engines") == 5;
      },
      kTakeoverLimit));
  const auto stats =
      Get<schema::PlatformStats>(cluster, cluster.PlatformUrl() + "/stats");
  CHECK(stats.orders() == 5);
  CHECK(stats.releases() == 0);
}

// Guards against conflicting orders of two holders at one engine, and against
// requests that a role change interrupts.
TEST_CASE("roles change by one holder at a time and cut no request") {
  Cluster cluster("roles");
  cluster.StartPlatform();
  std::vector<std::uint16_t> engines;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(cluster.StartEngine({"--checks_fencing", "--role",
                                           i == 0 ? "prefill" : "decode",
                                           "--role_ms", "300"}));
  }
  cluster.StartEntries(3);
  cluster.ApplyDefaultResources(engines, {});
  REQUIRE(cluster
              .Apply(1, "fleet", "engines",
                     R"({"name":"engines","kind":"engine","model":"m",)"
                     R"("replicas":4,"concurrency":64,"prefill_share":-1,)"
                     R"("prefill_tokens_per_s":100,)"
                     R"("decode_tokens_per_s":1000})")
              .m_status == 200);
  const std::string prompt(800, 'x');
  int sent = 0;
  int answered = 0;
  bool paused = false;
  const Instant start = Now();
  const auto orders = [&] {
    std::size_t count = 0;
    for (const auto port : engines) {
      count += static_cast<std::size_t>(
          Get<schema::EngineStats>(cluster, EngineUrl(port) + "/stats")
              .orders_size());
    }
    return count;
  };
  const bool changed = cluster.Until(
      [&] {
        const Reply reply =
            cluster.Call(cluster.Completion(2, prompt, 5, false));
        ++sent;
        if (reply.m_status == 200) ++answered;
        const int holder = HolderOf(cluster, {1, 3}, "orders/engines");
        if (!paused && holder != 0 && Now() - start > std::chrono::seconds(5)) {
          // Pause the holder for longer than its lease while it plans.
          cluster.Entry(holder).Signal(SIGSTOP);
          const bool moved = cluster.Until(
              [&] {
                return HolderOf(cluster, Others(holder), "orders/engines") != 0;
              },
              kTakeoverLimit);
          cluster.Entry(holder).Signal(SIGCONT);
          paused = moved;
        }
        return orders() > 0;
      },
      kRoleChangeLimit);
  CHECK(changed);
  CHECK(answered == sent);
  for (const auto port : engines) {
    const auto stats =
        Get<schema::EngineStats>(cluster, EngineUrl(port) + "/stats");
    std::uint64_t fencing = 0;
    std::set<std::string> ids;
    for (const schema::EngineOrderSeen& seen : stats.orders()) {
      CHECK(seen.order().fencing_number() >= fencing);
      fencing = seen.order().fencing_number();
      ids.insert(seen.order().order_id());
    }
    CHECK(ids.size() == static_cast<std::size_t>(stats.orders_size()));
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
