// Endpoints as processes of their own, behind links: requests that go on at
// another endpoint while the one before still works on them or will.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "support_overlap.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::TwoEndpoints;

// Guards against a stream that goes on elsewhere because its endpoint is
// silent, though the endpoint works on it.
TEST_CASE("a stream of a silent endpoint is not run elsewhere") {
  TwoEndpoints f("silent", "run_on");
  f.Send("POST", "/again/");
  f.Check();
}

// Guards against an idempotent request that is sent to a second endpoint while
// the first one is still computing the response.
TEST_CASE("a plain request of a silent endpoint is not run elsewhere") {
  TwoEndpoints f("plain", "run_on");
  f.Send("GET", "/safe/");
  f.Check();
}

// Guards against a stream that goes on elsewhere because it pauses.
TEST_CASE("a stream that stalls is not run elsewhere") {
  TwoEndpoints f("stall", "stall");
  f.Send("POST", "/again/");
  f.Check();
}

// Guards against a request that a paused endpoint finds in its receive buffer
// when it continues, after the request has gone on elsewhere.
TEST_CASE("a request that a paused endpoint holds is not run elsewhere") {
  TwoEndpoints f("paused", "run_on");
  f.m_cluster.EndpointProcess(0).Signal(SIGSTOP);
  f.Send("POST", "/again/");
  f.Wait(milliseconds(2500));
  f.m_cluster.EndpointProcess(0).Signal(SIGCONT);
  f.Check();
}

// Guards against a request that a silent link delivers when it opens again,
// after the request has gone on elsewhere.
TEST_CASE("a request that a silent link holds is not run elsewhere") {
  TwoEndpoints f("link", "run_on");
  f.m_cluster.EndpointProxy(0).SetSilent(true);
  f.Send("POST", "/again/");
  f.Wait(milliseconds(2500));
  f.m_cluster.EndpointProxy(0).SetSilent(false);
  f.Check();
}

// Guards against a broken connection that is taken for the end of the work: the
// endpoint may not have seen that it broke.
TEST_CASE("a stream whose connection breaks is not run elsewhere at once") {
  TwoEndpoints f("broken", "stall,run_on");
  f.Send("POST", "/again/");
  f.Wait(milliseconds(300));
  f.m_cluster.EndpointProxy(0).BreakTowardsClients();
  f.m_cluster.EndpointProxy(1).BreakTowardsClients();
  f.Check();
}

// Guards against an instance that wakes, finds its timeouts expired and sends
// its requests elsewhere.
TEST_CASE("an instance that was paused does not send its requests elsewhere") {
  TwoEndpoints f("woken", "run_on");
  f.Send("POST", "/again/");
  f.Send("GET", "/safe/");
  f.Wait(milliseconds(200));
  f.m_cluster.Entry(1).Signal(SIGSTOP);
  f.Wait(milliseconds(2500));
  f.m_cluster.Entry(1).Signal(SIGCONT);
  f.Check();
}

}  // namespace
}  // namespace comfreypaddle
