// Order of the steps of a planned stop.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "drain.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kBegin{seconds(1000)};
constexpr OpenWork kNothing{};
constexpr OpenWork kOneRequest{1, 1};
constexpr OpenWork kOneConnection{1, 0};

DrainState Begun() {
  DrainState drain;
  BeginDrain(drain, {milliseconds(2200), seconds(8)}, kBegin);
  return drain;
}

// Failure (LOST): an instance that had no request for a moment ended although
// it still accepted connections; what it had accepted meanwhile was cut.
TEST_CASE("an instance is idle only after it has closed its listener") {
  DrainState drain = Begun();
  CHECK_FALSE(AdvanceDrain(drain, kNothing, kBegin + milliseconds(2199)));
  REQUIRE(AdvanceDrain(drain, kNothing, kBegin + milliseconds(2200)));
  CHECK(drain.m_phase == DrainPhase::kClosing);
  // The queue of the listener had a connection.
  CHECK_FALSE(AdvanceDrain(drain, kOneRequest, kBegin + milliseconds(2201)));
  CHECK_FALSE(AdvanceDrain(drain, kOneConnection, kBegin + milliseconds(2400)));
  REQUIRE(AdvanceDrain(drain, kNothing, kBegin + milliseconds(2401)));
  CHECK(drain.m_phase == DrainPhase::kIdle);
  CHECK_FALSE(AdvanceDrain(drain, kNothing, kBegin + seconds(3)));
}

// Failure: callers that the load balancer still sends cannot connect, although
// the instance runs on for the requests that it has accepted.
TEST_CASE("the listener stays open while requests are accepted and open") {
  DrainState drain = Begun();
  CHECK_FALSE(AdvanceDrain(drain, kOneRequest, kBegin + milliseconds(2990)));
  CHECK_FALSE(AdvanceDrain(drain, kOneConnection, kBegin + milliseconds(2990)));
  CHECK_FALSE(AdvanceDrain(drain, kOneRequest, kBegin + seconds(4)));
  // New connections carry refused requests only.
  CHECK(AdvanceDrain(drain, kOneConnection, kBegin + seconds(4)));
  CHECK(drain.m_phase == DrainPhase::kClosing);
}

// Failure: a stop with a short grace time accepts requests until its end.
TEST_CASE("requests are refused from half of a short grace time on") {
  DrainState drain;
  BeginDrain(drain, {milliseconds(2200), seconds(3)}, kBegin);
  CHECK(drain.m_refuse_from == kBegin + milliseconds(1500));
  CHECK(Begun().m_refuse_from == kBegin + seconds(3));
  // They are refused with a response until the load balancer sends no more.
  CHECK_FALSE(AdvanceDrain(drain, kNothing, kBegin + milliseconds(2199)));
  CHECK(AdvanceDrain(drain, kNothing, kBegin + milliseconds(2200)));
}

// Failure (LOST): requests that arrived after the last responses were passed on
// and never answered.
TEST_CASE("after the open requests were ended all others are refused") {
  DrainState drain = Begun();
  const Instant cut = kBegin + milliseconds(2500);
  CutDrain(drain, cut);
  CHECK(drain.m_refuse_from == cut);
  CHECK(AdvanceDrain(drain, kOneConnection, cut));
  CHECK_FALSE(AdvanceDrain(drain, kOneConnection, cut + milliseconds(49)));
  CHECK(AdvanceDrain(drain, kOneConnection, cut + milliseconds(50)));
  CHECK(drain.m_phase == DrainPhase::kIdle);
}

// Failure: connections are closed while the load balancer still uses them.
TEST_CASE("idle connections are closed after the notice period") {
  CHECK_FALSE(ClosesIdleConnections(DrainState{}, kBegin + seconds(9)));
  const DrainState drain = Begun();
  CHECK_FALSE(ClosesIdleConnections(drain, kBegin + milliseconds(2199)));
  CHECK(ClosesIdleConnections(drain, kBegin + milliseconds(2200)));
}

}  // namespace
}  // namespace comfreypaddle
