#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "admit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

Waiting Request(std::uint64_t id, const std::string& workspace,
                double cost = 100.0) {
  Waiting request;
  request.m_id = id;
  request.m_workspace = workspace;
  request.m_key = workspace + "-key";
  request.m_fleet = "models";
  request.m_cost = cost;
  request.m_arrival = kStart;
  request.m_deadline = kStart + seconds(60);
  return request;
}

// Guards against a large workspace taking more than its weight.
TEST_CASE("backlogged workspaces are served in proportion to their weights") {
  AdmitState state;
  SetWorkspace(state, "large", 3.0, 0);
  SetWorkspace(state, "small", 1.0, 0);
  std::uint64_t id = 0;
  for (int i = 0; i < 400; ++i) {
    Enqueue(state, {}, Request(++id, "large", 50.0), kStart);
    Enqueue(state, {}, Request(++id, "small", 200.0), kStart);
  }
  double large = 0.0;
  double small = 0.0;
  while (large + small < 20000.0) {
    const auto taken = TakeNext(state, "models", kStart);
    REQUIRE(taken);
    (taken->m_workspace == "large" ? large : small) += taken->m_cost;
  }
  CHECK(large / small == doctest::Approx(3.0).epsilon(0.1));
}

// Guards against full queues that refuse workspaces with few requests.
TEST_CASE("a full instance displaces the workspace with the longest queue") {
  AdmitState state;
  const AdmitLimits limits{.m_instance_requests = 10,
                           .m_workspace_requests = 9};
  std::uint64_t id = 0;
  for (int i = 0; i < 9; ++i) {
    CHECK(Enqueue(state, limits, Request(++id, "large"), kStart).m_verdict ==
          AdmitVerdict::kQueued);
  }
  CHECK(Enqueue(state, limits, Request(++id, "large"), kStart).m_verdict ==
        AdmitVerdict::kWorkspaceFull);
  Enqueue(state, limits, Request(++id, "small"), kStart);
  const AdmitDecision decision =
      Enqueue(state, limits, Request(++id, "small"), kStart);
  CHECK(decision.m_verdict == AdmitVerdict::kQueued);
  REQUIRE(decision.m_displaced);
  CHECK(decision.m_displaced->m_id == 9);
  CHECK(QueuedRequests(state) == 10);
}

// Guards against requests that wait only to miss their deadline.
TEST_CASE("a request that would miss its deadline is refused on arrival") {
  AdmitState state;
  Instant now = kStart;
  std::uint64_t id = 0;
  for (int i = 0; i < 100; ++i) Enqueue(state, {}, Request(++id, "a"), now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(100);
    const auto taken = TakeNext(state, "models", now);
    CorrectCost(state, "models", "a", taken->m_cost, taken->m_cost);
  }
  // 80 requests wait and 10 are taken each second.
  Waiting late = Request(++id, "a");
  late.m_deadline = now + seconds(4);
  const AdmitDecision refused = Enqueue(state, {}, late, now);
  CHECK(refused.m_verdict == AdmitVerdict::kDeadline);
  CHECK(refused.m_retry_after >= seconds(3));
  CHECK(refused.m_retry_after <= seconds(6));
  late.m_deadline = now + seconds(10);
  CHECK(Enqueue(state, {}, late, now).m_verdict == AdmitVerdict::kQueued);
}

// Guards against requests that stay queued after their key was revoked, their
// deadline passed or their caller left.
TEST_CASE("requests leave by key, deadline and id") {
  AdmitState state;
  Waiting urgent = Request(3, "b");
  urgent.m_priority = Priority::kUrgent;
  urgent.m_deadline = kStart + seconds(1);
  Enqueue(state, {}, Request(1, "a"), kStart);
  Enqueue(state, {}, Request(2, "b"), kStart);
  Enqueue(state, {}, urgent, kStart);
  CHECK(NextDeadline(state) == kStart + seconds(1));
  const auto expired = TakeExpired(state, kStart + seconds(1));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().m_id == 3);
  CHECK(TakeOfKey(state, "b-key").size() == 1);
  CHECK(Remove(state, 1)->m_id == 1);
  CHECK_FALSE(Remove(state, 1));
  CHECK_FALSE(TakeNext(state, "models", kStart));
}

}  // namespace
}  // namespace comfreypaddle
