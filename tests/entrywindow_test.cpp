#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "entrywindow.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <vector>

#include "support_relay.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::RelayFixture;

// Guards against capacity that is left idle: an idle endpoint takes a request
// whatever is known of the others.
TEST_CASE("an idle endpoint is always in its window") {
  rc::check([] {
    const WorkInFlight idle{0, 0, 0, 0, *rc::gen::arbitrary<bool>()};
    const double slots = *rc::gen::inRange(0, 1000);
    const auto instances = *rc::gen::inRange<std::size_t>(0, 400);
    RC_ASSERT(IsInWindow(idle, slots, 1, instances));
  });
}

TEST_CASE("the work of all instances together fills the window") {
  CHECK(IsInWindow({1, 100, 2, 150, true}, 64, 300, 6));
  CHECK_FALSE(IsInWindow({1, 100, 2, 200, true}, 64, 300, 6));
  CHECK_FALSE(IsInWindow({2, 0, 4, 0, true}, 6, 300, 6));
}

// Guards against instances that together overload an endpoint when they hear
// nothing of each other. Load: all instances send to one endpoint as much as
// its window allows, without figures of the others.
TEST_CASE("with stale figures instances stay near the slots together") {
  for (const std::size_t instances : {6U, 85U}) {
    double total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
      double own = 0;
      while (IsInWindow({own, 0, 1000, 1e6, false}, 64, 300, instances)) ++own;
      CHECK(own >= 1);
      total += own;
    }
    CHECK(total >= 64);
    CHECK(total <= 2 * (64 + static_cast<double>(instances)));
  }
}

// Guards against windows that are exceeded by the delay of the reports alone.
// Load: 6 and 85 instances with one request each per 40 ms for 4 endpoints with
// a window of 300 ms, each of 20 ms of work; figures are 100 ms old.
TEST_CASE("old figures of others exceed a window by their age at most") {
  for (const std::size_t instances : {6U, 85U}) {
    std::vector<std::vector<double>> own(instances, std::vector<double>(4));
    std::vector<double> told(4);
    std::vector<std::vector<double>> told_own = own;
    double highest = 0;
    for (int ms = 0; ms < 4000; ms += 10) {
      if (ms % 100 == 0) {
        told_own = own;
        for (std::size_t e = 0; e < 4; ++e) {
          told[e] = 0;
          for (const auto& work : own) told[e] += work[e];
        }
      }
      for (std::size_t i = 0; i < instances; ++i) {
        const std::size_t turn = i + static_cast<std::size_t>(ms) / 10;
        if (turn % 4 != 0) continue;
        const std::size_t e = (i + turn / 4) % 4;
        const WorkInFlight work{0, own[i][e], 0, told[e] - told_own[i][e],
                                true};
        if (IsInWindow(work, 64, 300, instances)) own[i][e] += 20;
      }
      for (std::size_t e = 0; e < 4; ++e) {
        double sum = 0;
        for (auto& work : own) sum += work[e];
        highest = std::max(highest, sum);
        // The endpoint does 10 ms of work in 10 ms.
        const double left = sum > 0 ? std::max(0.0, 1 - 10 / sum) : 0;
        for (auto& work : own) work[e] *= left;
      }
    }
    const double arriving_in_100_ms =
        static_cast<double>(instances) * 100 / 40 * 20 / 4;
    CHECK(highest <= 300 + 1.5 * arriving_in_100_ms);
  }
}

// One instance with three endpoints of 4 slots, ordered waits and a window.
struct WindowFixture : RelayFixture {
  WindowFixture() {
    m_state.m_queue.m_settings = {true, milliseconds(25)};
    m_state.m_balance.m_window_ms = 300;
  }
  void SetRemote(std::uint32_t running) {
    for (auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
      endpoint.m_remote_running = running;
      endpoint.m_remote_reported_at = m_now;
    }
  }
};

// Guards against requests that are pressed upon endpoints which others fill,
// and against refusals while an endpoint still has a place.
TEST_CASE("a request waits for the window, then goes on") {
  WindowFixture fixture;
  fixture.SetRemote(4);
  fixture.Ask(1, "/safe/x");
  CHECK(fixture.m_endpoints.m_calls.empty());
  CHECK(IsWaiting(fixture.m_state.m_queue, 1));
  fixture.m_now += milliseconds(20);
  fixture.SetRemote(0);
  TickCalls(fixture.m_state);
  CHECK(fixture.m_endpoints.m_calls.size() == 1);
  CHECK(fixture.m_state.m_queue.m_waiting.empty());
}

// Guards against requests that are held beyond an eighth of their target.
TEST_CASE("a request leaves a full window at its queue deadline") {
  WindowFixture fixture;
  fixture.SetRemote(4);
  fixture.Ask(1, "/safe/x");
  fixture.m_now += milliseconds(49);
  fixture.SetRemote(4);
  TickCalls(fixture.m_state);
  CHECK(fixture.m_endpoints.m_calls.empty());
  fixture.m_now += milliseconds(1);
  fixture.SetRemote(4);
  TickCalls(fixture.m_state);
  CHECK(fixture.m_endpoints.m_calls.size() == 1);
}

// Guards against a break in a stream that its caller sees as a long pause.
TEST_CASE("a stream that is taken up does not wait for the window") {
  WindowFixture fixture;
  ALLOW_CALL(fixture.m_callers,
             StartStream(trompeloeil::_, 200, trompeloeil::_));
  ALLOW_CALL(fixture.m_callers, Write(trompeloeil::_, trompeloeil::_));
  fixture.Ask(1, "/again/x");
  fixture.m_endpoints.m_events.at(0).m_on_head(200, {{"stream", "1"}});
  fixture.m_endpoints.m_events.at(0).m_on_body("id: 1\ndata: a\n\n");
  fixture.SetRemote(4);
  fixture.TakeUp(2, "t1");
  CHECK(fixture.m_endpoints.m_calls.size() == 2);
}

// Guards against a freed place that stays empty until the next tick, and
// against arrivals that overtake those that wait.
TEST_CASE("a freed place goes to the request that waits") {
  WindowFixture fixture;
  for (std::uint64_t id = 1; id <= 12; ++id) fixture.Ask(id, "/safe/x");
  CHECK(fixture.m_endpoints.m_calls.size() == 12);
  fixture.Ask(13, "/safe/waits");
  fixture.Ask(14, "/safe/later");
  CHECK(fixture.m_endpoints.m_calls.size() == 12);
  ALLOW_CALL(fixture.m_callers,
             Respond(trompeloeil::_, 200, trompeloeil::_, trompeloeil::_));
  fixture.Answer(0, 200, {});
  REQUIRE(fixture.m_endpoints.m_calls.size() == 13);
  CHECK(fixture.m_endpoints.m_calls.back().m_url.find("waits") !=
        std::string::npos);
}

// Guards against refusals of requests that a place becomes free for in time,
// and against waits without end where none does. Load: 12 places taken, 3
// callers.
TEST_CASE(
    "without a free place requests are refused at the end of their wait") {
  WindowFixture fixture;
  for (std::uint64_t id = 1; id <= 15; ++id) fixture.Ask(id, "/safe/x");
  fixture.m_now += milliseconds(49);
  TickCalls(fixture.m_state);
  CHECK(fixture.m_state.m_calls.size() == 15);
  fixture.m_now += milliseconds(1);
  REQUIRE_CALL(fixture.m_callers,
               Respond(trompeloeil::_, 503, trompeloeil::_, trompeloeil::_))
      .WITH(testing::HasField(_3, "Retry-After"))
      .TIMES(3);
  TickCalls(fixture.m_state);
  CHECK(fixture.m_state.m_calls.size() == 12);
}

// Guards against queued requests that outlive their callers.
TEST_CASE("a caller that leaves frees its place in the queue") {
  WindowFixture fixture;
  fixture.SetRemote(4);
  fixture.Ask(1, "/safe/x");
  OnCallerDisconnected(fixture.m_state, 1);
  CHECK(fixture.m_state.m_queue.m_waiting.empty());
}

// Guards against a change for deployments that set nothing.
TEST_CASE("without the settings nothing waits for a window") {
  RelayFixture fixture;
  for (auto& [id, endpoint] : fixture.m_state.m_balance.m_endpoints) {
    endpoint.m_remote_running = 4;
    endpoint.m_remote_reported_at = fixture.m_now;
  }
  fixture.Ask(1, "/safe/x");
  CHECK(fixture.m_endpoints.m_calls.size() == 1);
}

}  // namespace
}  // namespace comfreypaddle
