// An endpoint that has no room for connections: it resets each new one while it
// works on.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_overlap.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::TwoEndpoints;

// Guards against a stream that goes on at another endpoint while the one before
// works on it, because a connection that was reset as it was made is taken for
// an endpoint that is gone (TWICE).
TEST_CASE(
    "a stream is not run elsewhere after its endpoint reset connections") {
  constexpr int kStreams = 16;
  TwoEndpoints f("resets", "stall", 2 * kStreams);
  f.Send("POST", "/again/", kStreams);
  f.Wait(milliseconds(300));
  f.m_cluster.EndpointProxy(0).ResetClients();
  f.Check();
  CHECK(f.m_cluster.CountLogLines(1, "event=endpoint_report ", "error=") > 0);
}

}  // namespace
}  // namespace comfreypaddle
