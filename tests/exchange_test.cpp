#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "exchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// Guards against answers with missing, repeated or foreign parts.
TEST_CASE("only tokens in order of the current attempt pass") {
  Exchange exchange;
  const std::uint32_t first = StartAttempt(exchange, "e0", false, kStart);
  OnSending(exchange, first);
  CHECK(OnToken(exchange, first, 1, "a", kStart) == EventVerdict::kPass);
  const std::uint32_t second = StartAttempt(exchange, "e0", true, kStart);
  CHECK(OnToken(exchange, first, 2, "b", kStart) == EventVerdict::kStale);
  CHECK(OnToken(exchange, second, 1, "a", kStart) == EventVerdict::kDuplicate);
  CHECK(OnToken(exchange, second, 3, "c", kStart) == EventVerdict::kBroken);
  CHECK(OnToken(exchange, second, 2, "b", kStart) == EventVerdict::kPass);
  CHECK(exchange.m_text == "ab");
}

}  // namespace
}  // namespace comfreypaddle
