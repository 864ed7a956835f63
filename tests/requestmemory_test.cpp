#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "requestmemory.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMb = 1U << 20U;

RequestHolder Holder(std::uint64_t connection, std::size_t bytes,
                     Duration waits) {
  RequestHolder holder;
  holder.m_connection = connection;
  holder.m_bytes = bytes;
  holder.m_waits = waits;
  return holder;
}

// Guards against a bound that ignores the machine, and against one under which
// a single request of the largest size is turned away.
TEST_CASE("the bound follows the machine and lets the largest request pass") {
  CHECK(RequestBytesOf(120, 0, 4 * kMb) == 30 * kMb);
  CHECK(RequestBytesOf(512, 0, 4 * kMb) == 128 * kMb);
  CHECK(RequestBytesOf(120, 20, 4 * kMb) == 20 * kMb);
  const std::size_t largest = 100 * kMb;
  RequestMemory memory;
  memory.m_limits.m_bytes = RequestBytesOf(120, 10, largest);
  UpdateHeld(memory, 0, 2 * largest);
  CHECK_FALSE(IsMemoryExceeded(memory, 2 * largest));
}

// Guards against callers that take the descriptors which endpoints, other
// instances and the store need: each open request needs one to an endpoint.
TEST_CASE("connections of callers leave descriptors for others") {
  CHECK(ConnectionsOf(4096, 256) == 96);
  CHECK(ConnectionsOf(4096, 4100) == 1794);
  CHECK(ConnectionsOf(50, 4100) == 50);
  CHECK(ConnectionsOf(4096, 20) == 1);
}

// Guards against large bodies that leave no room for small requests.
TEST_CASE("large requests stop before small ones") {
  RequestMemory memory;
  memory.m_limits.m_bytes = 32 * kMb;
  UpdateHeld(memory, 0, 25 * kMb);
  CHECK(IsMemoryExceeded(memory, 4 * kMb));
  CHECK_FALSE(IsMemoryExceeded(memory, 4096));
  UpdateHeld(memory, 0, 8 * kMb);
  CHECK(IsMemoryExceeded(memory, 4096));
  UpdateHeld(memory, 25 * kMb, 0);
  CHECK(memory.m_held_bytes == 8 * kMb);
  CHECK(memory.m_peak_bytes == 33 * kMb);
}

// Guards against turning away a caller that has just come, or that holds
// little, or whose request runs.
TEST_CASE("the oldest of those that hold the most is turned away") {
  std::vector<RequestHolder> holders = {
      Holder(1, 1000, seconds(60)), Holder(2, 3 * kMb, seconds(2)),
      Holder(3, 4 * kMb, seconds(1)), Holder(4, 4 * kMb, seconds(9))};
  holders[3].m_runs = true;
  CHECK(ChooseForMemory(holders) == 2);
  for (RequestHolder& holder : holders) holder.m_runs = true;
  CHECK(ChooseForMemory(holders) == 0);
}

// Guards against a crowd of silent connections that drives out the callers that
// have sent requests.
TEST_CASE("connections without a request are closed first") {
  std::vector<RequestHolder> holders = {Holder(1, 1000, seconds(9)),
                                        Holder(2, 1000, seconds(2)),
                                        Holder(3, 1000, seconds(3))};
  CHECK(ChooseForConnection(holders) == 1);
  holders[1].m_is_new = true;
  holders[2].m_is_new = true;
  CHECK(ChooseForConnection(holders) == 3);
  for (RequestHolder& holder : holders) holder.m_runs = true;
  CHECK(ChooseForConnection(holders) == 0);
}

// Guards against a time limit that a long body on a slow link meets.
TEST_CASE("a body gets time for what it has brought") {
  CHECK(BodyTime(seconds(60), 0) == seconds(60));
  CHECK(BodyTime(seconds(60), 10240) == seconds(70));
}

}  // namespace
}  // namespace comfreypaddle
