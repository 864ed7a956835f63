#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "refusal.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that are held, and computed, although their callers
// will have left before the first event.
TEST_CASE("a request is refused when its first event would come too late") {
  const Duration patience = seconds(3);
  CHECK(IsServable(Duration(0), patience, milliseconds(500)));
  CHECK(IsServable(milliseconds(2000), patience, milliseconds(500)));
  CHECK_FALSE(IsServable(milliseconds(2900), patience, milliseconds(500)));
  CHECK_FALSE(IsServable(Duration(0), patience, seconds(10)));
  // An estimate is not exact: a request that may just be served is tried.
  CHECK(IsServable(Duration(0), patience, milliseconds(3500)));
}

TEST_CASE("a caller's patience follows its route and its deadline") {
  const Duration long_deadline = seconds(60);
  CHECK(CallerPatience(milliseconds(300), milliseconds(100), long_deadline) ==
        seconds(2));
  CHECK(CallerPatience(seconds(1), milliseconds(100), long_deadline) ==
        seconds(4));
  CHECK(CallerPatience(milliseconds(300), seconds(1), long_deadline) ==
        seconds(8));
  CHECK(CallerPatience(seconds(1), seconds(1), milliseconds(700)) ==
        milliseconds(700));
}

// Guards against callers that all return at the same moment, before the backlog
// has drained, or too late to be served.
TEST_CASE("refused callers return spread and in time") {
  const Duration backlog = milliseconds(800);
  std::set<Duration> delays;
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    const Duration delay = ChooseRetryAfter(backlog, seconds(60), seed);
    CHECK(delay >= backlog);
    CHECK(delay <= 2 * backlog);
    delays.insert(delay);
  }
  CHECK(delays.size() > 100);
  rc::check("a caller has two thirds of its time left when it returns", [] {
    const auto left = milliseconds(*rc::gen::inRange(1000, 60'000));
    const auto any = milliseconds(*rc::gen::inRange(0, 1'000'000));
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const Duration delay = ChooseRetryAfter(any, left, seed);
    RC_ASSERT(delay > Duration(0));
    RC_ASSERT(delay <= left / 3);
  });
}

}  // namespace
}  // namespace comfreypaddle
