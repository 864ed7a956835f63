#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "retry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

FailureContext MakeFailure(FailureKind kind) {
  FailureContext failure;
  failure.m_kind = kind;
  failure.m_workspace = "a";
  failure.m_attempts = 1;
  failure.m_deadline = kStart + seconds(60);
  return failure;
}

// Guards against executing a call twice.
TEST_CASE("a call that may have run and must not repeat is given up") {
  RetryState state;
  FailureContext failure = MakeFailure(FailureKind::kConnectionLost);
  failure.m_may_have_run = true;
  const RetryDecision decision = DecideRetry(state, failure, kStart);
  CHECK(decision.m_action == RetryAction::kGiveUp);
  CHECK(decision.m_outcome == Outcome::kUnknown);
  CHECK(DecideRetry(state, MakeFailure(FailureKind::kRefusedNotRun), kStart)
            .m_action == RetryAction::kStartAgain);
}

// Guards against losing finished work when a connection breaks.
TEST_CASE("a stream is resumed once, then continued, then started again") {
  RetryState state;
  FailureContext failure = MakeFailure(FailureKind::kSilent);
  failure.m_repeatable = true;
  failure.m_resumable = true;
  failure.m_sent = true;
  failure.m_may_have_run = true;
  failure.m_prefix_available = true;
  CHECK(DecideRetry(state, failure, kStart).m_action == RetryAction::kResume);
  failure.m_resumes = 1;
  CHECK(DecideRetry(state, failure, kStart).m_action == RetryAction::kContinue);
  failure.m_prefix_available = false;
  CHECK(DecideRetry(state, failure, kStart).m_action ==
        RetryAction::kStartAgain);
  // The caller has a part after which no other endpoint can continue.
  failure.m_partly_delivered = true;
  CHECK(DecideRetry(state, failure, kStart).m_reason == RetryReason::kTextLost);
}

// Guards against retries that multiply the load in an outage, and against one
// workspace using up the budget of the others.
TEST_CASE("retries are bounded for a workspace and do not touch others") {
  RetryState state;
  FailureContext failure = MakeFailure(FailureKind::kConnectFailed);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    CreditRetryBudgets(state, "a");
    const RetryDecision decision = DecideRetry(state, failure, kStart);
    if (decision.m_action != RetryAction::kGiveUp) ++retries;
    CHECK(decision.m_outcome == Outcome::kNotRun);
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
  failure.m_workspace = "b";
  retries = 0;
  while (DecideRetry(state, failure, kStart).m_charged > 0.0) ++retries;
  CHECK(retries == 10);
  // Moving off an endpoint that stops as planned is free.
  failure.m_workspace = "a";
  failure.m_endpoint_leaving = true;
  for (int i = 0; i < 100; ++i) {
    CHECK(DecideRetry(state, failure, kStart).m_charged == 0.0);
  }
}

// Guards against executing a call twice that must not be repeated, a false
// not_run, attempts after the deadline, and overdrawn budgets.
TEST_CASE("decisions keep the rules for any facts") {
  CHECK(rc::check([] {
    RetryState state;
    double charged = 0.0;
    for (int i = 0; i < 60; ++i) {
      FailureContext failure =
          MakeFailure(static_cast<FailureKind>(*rc::gen::inRange(0, 9)));
      failure.m_repeatable = *rc::gen::arbitrary<bool>();
      failure.m_sent = *rc::gen::arbitrary<bool>();
      failure.m_may_have_run = *rc::gen::arbitrary<bool>();
      failure.m_answer_seen = *rc::gen::arbitrary<bool>();
      failure.m_resumable = *rc::gen::arbitrary<bool>();
      failure.m_partly_delivered = *rc::gen::arbitrary<bool>();
      failure.m_prefix_available = *rc::gen::arbitrary<bool>();
      failure.m_made_progress = *rc::gen::arbitrary<bool>();
      failure.m_poison = *rc::gen::arbitrary<bool>();
      failure.m_attempts = *rc::gen::inRange(1, 8);
      failure.m_resumes = *rc::gen::inRange(0, 3);
      failure.m_deadline = kStart + seconds(*rc::gen::inRange(-1, 3));
      const RetryDecision decision = DecideRetry(state, failure, kStart);
      charged += decision.m_charged;
      const bool second_send = decision.m_action == RetryAction::kContinue ||
                               decision.m_action == RetryAction::kStartAgain;
      RC_ASSERT(!second_send || failure.m_repeatable ||
                !failure.m_may_have_run);
      RC_ASSERT(!second_send || !failure.m_poison);
      RC_ASSERT(!second_send || !failure.m_partly_delivered ||
                failure.m_prefix_available);
      RC_ASSERT((decision.m_outcome == Outcome::kNotRun) ==
                (!failure.m_may_have_run && !failure.m_answer_seen));
      if (failure.m_deadline <= kStart) {
        RC_ASSERT(decision.m_action == RetryAction::kGiveUp);
      } else {
        RC_ASSERT(kStart + decision.m_wait < failure.m_deadline);
      }
      RC_ASSERT(charged <= state.m_limits.m_burst + 1e-9);
    }
  }));
}

// Guards against a second attempt after the first one used up the time: the
// time limit of an attempt ends up to a millisecond before the deadline.
TEST_CASE("no attempt is made a moment before the deadline") {
  RetryState state;
  FailureContext failure = MakeFailure(FailureKind::kRefusedNotRun);
  failure.m_deadline = kStart + std::chrono::milliseconds(1);
  const RetryDecision decision = DecideRetry(state, failure, kStart);
  CHECK(decision.m_action == RetryAction::kGiveUp);
  CHECK(decision.m_reason == RetryReason::kDeadline);
}

}  // namespace
}  // namespace comfreypaddle
