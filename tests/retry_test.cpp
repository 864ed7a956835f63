#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "retry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

FailureContext Facts(FailureKind kind) {
  FailureContext facts;
  facts.m_kind = kind;
  facts.m_workspace = "a";
  facts.m_attempts = 1;
  facts.m_deadline = kStart + seconds(60);
  return facts;
}

// Guards against a call that runs twice.
TEST_CASE("a call that may have run and must not repeat is given up") {
  RetryState state;
  FailureContext facts = Facts(FailureKind::kConnectionLost);
  facts.m_may_have_run = true;
  const RetryDecision decision = DecideRetry(state, facts, kStart);
  CHECK(decision.m_action == RetryAction::kGiveUp);
  CHECK(decision.m_outcome == Outcome::kUnknown);
  CHECK(
      DecideRetry(state, Facts(FailureKind::kRefusedNotRun), kStart).m_action ==
      RetryAction::kStartAgain);
}

// Guards against a broken connection that costs the work done so far.
TEST_CASE("a stream is resumed once, then continued, then started again") {
  RetryState state;
  FailureContext facts = Facts(FailureKind::kSilent);
  facts.m_repeatable = true;
  facts.m_resumable = true;
  facts.m_sent = true;
  facts.m_may_have_run = true;
  facts.m_prefix_available = true;
  CHECK(DecideRetry(state, facts, kStart).m_action == RetryAction::kResume);
  facts.m_resumes = 1;
  CHECK(DecideRetry(state, facts, kStart).m_action == RetryAction::kContinue);
  facts.m_prefix_available = false;
  CHECK(DecideRetry(state, facts, kStart).m_action == RetryAction::kStartAgain);
  // The caller has a part that no other endpoint can go on behind.
  facts.m_partly_delivered = true;
  CHECK(DecideRetry(state, facts, kStart).m_reason == RetryReason::kTextLost);
}

// Guards against retries that multiply the load of an outage, and against
// budgets that one workspace uses up for all.
TEST_CASE("retries are bounded for a workspace and do not touch others") {
  RetryState state;
  FailureContext facts = Facts(FailureKind::kConnectFailed);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    CreditRetryBudgets(state, "a");
    const RetryDecision decision = DecideRetry(state, facts, kStart);
    if (decision.m_action != RetryAction::kGiveUp) ++retries;
    CHECK(decision.m_outcome == Outcome::kNotRun);
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
  facts.m_workspace = "b";
  retries = 0;
  while (DecideRetry(state, facts, kStart).m_charged > 0.0) ++retries;
  CHECK(retries == 10);
  // A planned move is free.
  facts.m_workspace = "a";
  facts.m_endpoint_leaving = true;
  for (int i = 0; i < 100; ++i) {
    CHECK(DecideRetry(state, facts, kStart).m_charged == 0.0);
  }
}

// Guards against a second run of a call that must not repeat, a false
// not_run, work after the deadline, and budgets that are overdrawn.
TEST_CASE("decisions keep the rules for any facts") {
  CHECK(rc::check([] {
    RetryState state;
    double charged = 0.0;
    for (int i = 0; i < 60; ++i) {
      FailureContext facts =
          Facts(static_cast<FailureKind>(*rc::gen::inRange(0, 9)));
      facts.m_repeatable = *rc::gen::arbitrary<bool>();
      facts.m_sent = *rc::gen::arbitrary<bool>();
      facts.m_may_have_run = *rc::gen::arbitrary<bool>();
      facts.m_answer_seen = *rc::gen::arbitrary<bool>();
      facts.m_resumable = *rc::gen::arbitrary<bool>();
      facts.m_partly_delivered = *rc::gen::arbitrary<bool>();
      facts.m_prefix_available = *rc::gen::arbitrary<bool>();
      facts.m_made_progress = *rc::gen::arbitrary<bool>();
      facts.m_poison = *rc::gen::arbitrary<bool>();
      facts.m_attempts = *rc::gen::inRange(1, 8);
      facts.m_resumes = *rc::gen::inRange(0, 3);
      facts.m_deadline = kStart + seconds(*rc::gen::inRange(-1, 3));
      const RetryDecision decision = DecideRetry(state, facts, kStart);
      charged += decision.m_charged;
      const bool second_send = decision.m_action == RetryAction::kContinue ||
                               decision.m_action == RetryAction::kStartAgain;
      RC_ASSERT(!second_send || facts.m_repeatable || !facts.m_may_have_run);
      RC_ASSERT(!second_send || !facts.m_poison);
      RC_ASSERT(!second_send || !facts.m_partly_delivered ||
                facts.m_prefix_available);
      RC_ASSERT((decision.m_outcome == Outcome::kNotRun) ==
                (!facts.m_may_have_run && !facts.m_answer_seen));
      if (facts.m_deadline <= kStart) {
        RC_ASSERT(decision.m_action == RetryAction::kGiveUp);
      } else {
        RC_ASSERT(kStart + decision.m_wait < facts.m_deadline);
      }
      RC_ASSERT(charged <= state.m_limits.m_burst + 1e-9);
    }
  }));
}

// Guards against an attempt that is sent to a second endpoint although the one
// before used up the time: its limit ends a moment before the deadline.
TEST_CASE("no attempt is made a moment before the deadline") {
  RetryState state;
  FailureContext facts = Facts(FailureKind::kRefusedNotRun);
  facts.m_deadline = kStart + std::chrono::milliseconds(1);
  const RetryDecision decision = DecideRetry(state, facts, kStart);
  CHECK(decision.m_action == RetryAction::kGiveUp);
  CHECK(decision.m_reason == RetryReason::kDeadline);
}

}  // namespace
}  // namespace comfreypaddle
