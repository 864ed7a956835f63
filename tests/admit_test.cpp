#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "admission.h"
#include "fairshare.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

QueuedRequest Request(std::uint64_t id, const std::string& workspace,
                      double cost = 100.0) {
  QueuedRequest request;
  request.m_id = id;
  request.m_workspace = workspace;
  request.m_key = workspace + "-key";
  request.m_fleet = "models";
  request.m_cost = cost;
  request.m_arrival = kStart;
  request.m_deadline = kStart + seconds(60);
  return request;
}

// A large workspace must not get more than its weight.
TEST_CASE("backlogged workspaces are served in proportion to their weights") {
  AdmissionQueue state;
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
    const auto taken = Dequeue(state, "models", kStart);
    REQUIRE(taken);
    (taken->m_workspace == "large" ? large : small) += taken->m_cost;
  }
  CHECK(large / small == doctest::Approx(3.0).epsilon(0.1));
}

// A full queue must not reject workspaces with few requests.
TEST_CASE("a full instance evicts from the workspace with the longest queue") {
  AdmissionQueue state;
  const QueueLimits limits{.m_instance_requests = 10,
                           .m_workspace_requests = 9};
  std::uint64_t id = 0;
  for (int i = 0; i < 9; ++i) {
    CHECK(Enqueue(state, limits, Request(++id, "large"), kStart).m_status ==
          EnqueueStatus::kQueued);
  }
  CHECK(Enqueue(state, limits, Request(++id, "large"), kStart).m_status ==
        EnqueueStatus::kWorkspaceFull);
  Enqueue(state, limits, Request(++id, "small"), kStart);
  const EnqueueResult decision =
      Enqueue(state, limits, Request(++id, "small"), kStart);
  CHECK(decision.m_status == EnqueueStatus::kQueued);
  REQUIRE(decision.m_evicted);
  CHECK(decision.m_evicted->m_id == 9);
  CHECK(QueuedRequests(state) == 10);
  for (int i = 0; i < 3; ++i) {
    CHECK(Enqueue(state, limits, Request(++id, "small"), kStart).m_evicted);
  }
  for (const char* name : {"small", "large"}) {
    CHECK(Enqueue(state, limits, Request(++id, name), kStart).m_status ==
          EnqueueStatus::kInstanceFull);
  }
}

// A request must not be queued if it would miss its deadline anyway.
TEST_CASE("a request that would miss its deadline is refused on arrival") {
  AdmissionQueue state;
  Instant now = kStart;
  std::uint64_t id = 0;
  for (int i = 0; i < 100; ++i) Enqueue(state, {}, Request(++id, "a"), now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(100);
    const auto taken = Dequeue(state, "models", now);
    ChargeActualCost(state, "models", "a", taken->m_cost, taken->m_cost);
  }
  // 80 requests are queued and 10 are dequeued each second.
  QueuedRequest late = Request(++id, "a");
  late.m_deadline = now + seconds(4);
  const EnqueueResult refused = Enqueue(state, {}, late, now);
  CHECK(refused.m_status == EnqueueStatus::kDeadline);
  CHECK(refused.m_retry_after >= seconds(3));
  CHECK(refused.m_retry_after <= seconds(6));
  late.m_deadline = now + seconds(10);
  CHECK(Enqueue(state, {}, late, now).m_status == EnqueueStatus::kQueued);
}

// Requests must leave the queue when their key is revoked, their deadline
// passes or their caller disconnects.
TEST_CASE("requests leave by key, deadline and id") {
  AdmissionQueue state;
  QueuedRequest urgent = Request(3, "b");
  urgent.m_priority = Priority::kUrgent;
  urgent.m_deadline = kStart + seconds(1);
  Enqueue(state, {}, Request(1, "a"), kStart);
  Enqueue(state, {}, Request(2, "b"), kStart);
  Enqueue(state, {}, urgent, kStart);
  CHECK(NextDeadline(state) == kStart + seconds(1));
  const auto expired = RemoveExpired(state, kStart + seconds(1));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().m_id == 3);
  CHECK(RemoveByKey(state, "b-key").size() == 1);
  CHECK(RemoveRequest(state, 1)->m_id == 1);
  CHECK_FALSE(RemoveRequest(state, 1));
  CHECK_FALSE(Dequeue(state, "models", kStart));
}

// Urgent requests must not wait behind others, and a workspace that marks all
// requests urgent must not get more than its share.
TEST_CASE("urgent requests go first but do not change the shares") {
  AdmissionQueue state;
  std::uint64_t id = 0;
  for (int i = 0; i < 200; ++i) {
    Enqueue(state, {}, Request(++id, "a"), kStart);
    QueuedRequest urgent = Request(++id, "b");
    urgent.m_priority = Priority::kUrgent;
    Enqueue(state, {}, urgent, kStart);
  }
  int urgent = 0;
  for (int i = 0; i < 100; ++i) {
    const bool of_b = Dequeue(state, "models", kStart)->m_workspace == "b";
    urgent += of_b ? 1 : 0;
    if (i < 4) CHECK(of_b);
  }
  CHECK(urgent >= 50);
  CHECK(urgent <= 54);
}

// A request must keep its position and be charged once if no endpoint had
// capacity for it.
TEST_CASE("a requeued request keeps its position and costs nothing") {
  AdmissionQueue state;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    Enqueue(state, {}, Request(id, id % 2 == 0 ? "b" : "a"), kStart);
  }
  for (int i = 0; i < 5; ++i) {
    Requeue(state, *Dequeue(state, "models", kStart), kStart);
  }
  for (const std::uint64_t id : {1U, 2U, 3U, 4U}) {
    CHECK(Dequeue(state, "models", kStart)->m_id == id);
  }
}

// A request without a suitable endpoint must not block others.
TEST_CASE("a request that does not fit does not hold up other workspaces") {
  AdmissionQueue state;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    Enqueue(state, {}, Request(id, "w" + std::to_string(id)), kStart);
  }
  const auto not_first = [](const QueuedRequest& item) {
    return item.m_id != 1;
  };
  CHECK_FALSE(DequeueFitting(state, "models", kStart, not_first, 1));
  CHECK(DequeueFitting(state, "models", kStart, not_first, 2)->m_id == 2);
  CHECK(Dequeue(state, "models", kStart)->m_id == 1);
}

// Service at other instances must be charged, but must not hold a workspace
// back indefinitely.
TEST_CASE("service at other instances counts within a bound") {
  AdmissionQueue state;
  std::uint64_t id = 0;
  for (int i = 0; i < 200; ++i) {
    Enqueue(state, {}, Request(++id, "a"), kStart);
    Enqueue(state, {}, Request(++id, "b"), kStart);
  }
  AddPeerService(state, "p", {"models", "a", 5000.0, 0.0, 0}, kStart);
  AddPeerService(state, "p", {"models", "a", 6000.0, 0.0, 0}, kStart);
  for (int i = 0; i < 10; ++i) {
    CHECK(Dequeue(state, "models", kStart)->m_workspace == "b");
  }
  AddPeerService(state, "p", {"models", "a", 1e9, 0.0, 0}, kStart);
  int others = 0;
  while (Dequeue(state, "models", kStart)->m_workspace == "b") ++others;
  CHECK(others <= 40);
}

// Peers must learn that the last request has ended, or they keep counting it.
TEST_CASE("a digest reports the end of the last request once") {
  AdmissionQueue state;
  Enqueue(state, {}, Request(1, "a"), kStart);
  CHECK(BuildServiceDigest(state).at(0).m_requests == 1);
  Dequeue(state, "models", kStart);
  CHECK(BuildServiceDigest(state).at(0).m_running == 1);
  ChargeActualCost(state, "models", "a", 100.0, 100.0);
  CHECK(BuildServiceDigest(state).at(0).m_requests == 0);
  CHECK(BuildServiceDigest(state).empty());
}

// A workspace must not earn credit while it has no requests.
TEST_CASE("an idle workspace earns no credit") {
  AdmissionQueue state;
  std::uint64_t id = 0;
  Enqueue(state, {}, Request(++id, "b"), kStart);
  for (int i = 0; i < 400; ++i) Enqueue(state, {}, Request(++id, "a"), kStart);
  for (int i = 0; i < 200; ++i) Dequeue(state, "models", kStart);
  for (int i = 0; i < 100; ++i) Enqueue(state, {}, Request(++id, "b"), kStart);
  int late = 0;
  for (int i = 0; i < 100; ++i) {
    late += Dequeue(state, "models", kStart)->m_workspace == "b" ? 1 : 0;
  }
  CHECK(late <= 51);
}

// The difference in service must stay within the bound of start-time fair
// queueing: one largest request of each of the two workspaces.
TEST_CASE("backlogged workspaces stay within one request of each other") {
  CHECK(rc::check([] {
    AdmissionQueue state;
    const int count = *rc::gen::inRange(2, 6);
    std::vector<double> weights;
    std::vector<double> largest(static_cast<std::size_t>(count), 0.0);
    std::uint64_t id = 0;
    for (int w = 0; w < count; ++w) {
      weights.push_back(*rc::gen::inRange(1, 5));
      SetWorkspace(state, std::to_string(w), weights.back(), 0);
      for (int i = 0; i < 60; ++i) {
        const double cost = *rc::gen::inRange(1, 500);
        auto& most = largest[static_cast<std::size_t>(w)];
        most = std::max(most, cost);
        Enqueue(state, {}, Request(++id, std::to_string(w), cost), kStart);
      }
    }
    std::vector<double> served(weights.size(), 0.0);
    for (int i = 0; i < 50; ++i) {
      const QueuedRequest taken = *Dequeue(state, "models", kStart);
      served[std::stoul(taken.m_workspace)] += taken.m_cost;
      for (std::size_t a = 0; a < served.size(); ++a) {
        for (std::size_t b = 0; b < served.size(); ++b) {
          RC_ASSERT(served[a] / weights[a] - served[b] / weights[b] <=
                    largest[a] / weights[a] + largest[b] / weights[b] + 1e-6);
        }
      }
    }
  }));
}

// No request may be lost, returned twice or left in an index.
TEST_CASE("each request leaves exactly once in any order of calls") {
  CHECK(rc::check([] {
    AdmissionQueue state;
    const QueueLimits limits{.m_instance_requests = 30,
                             .m_workspace_requests = 12};
    std::multiset<std::uint64_t> left;
    std::uint64_t id = 0;
    Instant now = kStart;
    const auto leave = [&](const QueuedRequest& request) {
      left.insert(request.m_id);
    };
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      const std::string name = std::to_string(*rc::gen::inRange(0, 5));
      const int action = *rc::gen::inRange(0, 10);
      if (action < 6) {
        QueuedRequest request = Request(++id, name);
        request.m_priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
        request.m_deadline = now + milliseconds(*rc::gen::inRange(1, 9000));
        const auto decision = Enqueue(state, limits, request, now);
        if (decision.m_status != EnqueueStatus::kQueued) leave(request);
        if (decision.m_evicted) leave(*decision.m_evicted);
      } else if (action < 8) {
        auto taken = Dequeue(state, "models", now);
        if (taken && action == 6) {
          Requeue(state, *taken, now);
        } else if (taken) {
          ChargeActualCost(state, "models", taken->m_workspace, taken->m_cost,
                           50);
          leave(*taken);
        }
      } else if (action == 8) {
        for (const QueuedRequest& item : RemoveExpired(state, now)) leave(item);
      } else {
        for (const QueuedRequest& item : RemoveByKey(state, name + "-key"))
          leave(item);
      }
      RC_ASSERT(QueuedRequests(state) <= limits.m_instance_requests);
      RC_ASSERT(QueuedRequests(state) + left.size() == id);
    }
    while (auto taken = Dequeue(state, "models", now)) leave(*taken);
    RC_ASSERT(left.size() == id);
    RC_ASSERT(std::set(left.begin(), left.end()).size() == id);
    RC_ASSERT(state.m_deadlines.empty() && state.m_keys.empty() &&
              state.m_workspaces_by_length.empty() &&
              state.m_locations.empty());
  }));
}

// Time per call must not grow with the number of workspaces. The bound leaves a
// wide margin: the load after two years is 17 requests/s per instance.
TEST_CASE("enqueue and dequeue with 2,000 queued requests") {
  for (const int workspaces : {8, 1500}) {
    AdmissionQueue state;
    const QueueLimits limits{.m_workspace_requests = 2000};
    std::uint64_t id = 0;
    const auto next = [&] {
      ++id;
      const double cost = static_cast<double>(1 + id % 97);
      return Request(id, "w" + std::to_string(id % workspaces), cost);
    };
    for (int i = 0; i < 1900; ++i) Enqueue(state, limits, next(), kStart);
    constexpr int kRounds = 20000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      Enqueue(state, limits, next(), kStart);
      const auto taken = Dequeue(state, "models", kStart);
      ChargeActualCost(state, "models", taken->m_workspace, taken->m_cost,
                       50.0);
    }
    const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
    MESSAGE(workspaces << " workspaces: " << kRounds / time.count()
                       << " enqueue, take and finish per second");
    CHECK(kRounds / time.count() > 5000.0);
  }
}

}  // namespace
}  // namespace comfreypaddle
