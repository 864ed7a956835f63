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

// Guards against the outcome "unknown", a useless resume or a refused retry
// when an endpoint only refused the connection.
TEST_CASE("a refused connection is not taken for a run of the request") {
  Exchange exchange;
  std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
  OnSending(exchange, attempt);
  auto facts = OnAttemptFailed(exchange, attempt, FailureKind::kConnectFailed);
  REQUIRE(facts.has_value());
  CHECK_FALSE(facts->m_may_have_run);
  CHECK(OutcomeOf(exchange) == Outcome::kNotRun);
  attempt = StartAttempt(exchange, "e1", false, kStart);
  OnSending(exchange, attempt);
  OnAttemptFailed(exchange, attempt, FailureKind::kConnectionLost);
  attempt = StartAttempt(exchange, "e1", true, kStart);
  OnSending(exchange, attempt);
  facts = OnAttemptFailed(exchange, attempt, FailureKind::kConnectFailed);
  // The attempt before this one may still have run.
  CHECK(facts->m_may_have_run);
  CHECK(OutcomeOf(exchange) == Outcome::kUnknown);
}

}  // namespace
}  // namespace comfreypaddle
