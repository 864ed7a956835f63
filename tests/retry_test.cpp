#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "retry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

FailureFacts Facts(FailureKind kind) {
  FailureFacts facts;
  facts.m_kind = kind;
  facts.m_workspace = "a";
  facts.m_attempts = 1;
  facts.m_deadline = kStart + seconds(60);
  return facts;
}

// Guards against a call that runs twice.
TEST_CASE("a call that may have run and must not repeat is given up") {
  RetryState state;
  FailureFacts facts = Facts(FailureKind::kConnectionLost);
  facts.m_may_have_run = true;
  const RetryDecision decision = DecideRetry(state, facts, kStart);
  CHECK(decision.m_action == RetryAction::kGiveUp);
  CHECK(decision.m_outcome == Outcome::kUnknown);
  CHECK(
      DecideRetry(state, Facts(FailureKind::kRefusedNotRun), kStart).m_action ==
      RetryAction::kStartAgain);
}

}  // namespace
}  // namespace comfreypaddle
