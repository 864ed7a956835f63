#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>

namespace comfreypaddle::testing {
namespace {

// Guards against two servers of one or several test programs that get the same
// port, and against a port that an outgoing connection takes before its server
// starts: instances then reach the wrong server, or theirs cannot start.
TEST_CASE("each port is handed out once and outside the ephemeral range") {
  std::uint32_t first_ephemeral = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first_ephemeral;
  REQUIRE(first_ephemeral > 0);
  constexpr int kCount = 500;
  std::set<std::uint16_t> ports;
  for (int i = 0; i < kCount; ++i) ports.insert(FreePort());
  CHECK(ports.size() == kCount);
  CHECK(*ports.rbegin() < first_ephemeral);
}

}  // namespace
}  // namespace comfreypaddle::testing
