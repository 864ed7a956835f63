#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "exchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

// Output must not contain missing, repeated or foreign parts.
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

// A refused connection must not lead to the outcome "unknown", a useless resume
// or a rejected retry.
TEST_CASE("a refused connection does not count as a run of the request") {
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

TokenUsage Usage(std::uint64_t output) {
  TokenUsage usage;
  usage.m_prompt_tokens = 10;
  usage.m_output_tokens = output;
  return usage;
}

// A response must not be reported complete without its last tokens, and usage
// must not be counted twice.
TEST_CASE("a done event passes only after the last token") {
  Exchange exchange;
  const std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
  OnToken(exchange, attempt, 1, "a", kStart);
  CHECK(OnDone(exchange, attempt, Usage(2), kStart) == EventVerdict::kBroken);
  CHECK_FALSE(IsComplete(exchange));
  CHECK_FALSE(ExtractUsage(exchange));
  OnToken(exchange, attempt, 2, "b", kStart);
  CHECK(OnDone(exchange, attempt, Usage(2), kStart) == EventVerdict::kPass);
  CHECK(OnDone(exchange, attempt, Usage(2), kStart) == EventVerdict::kStale);
  CHECK(IsComplete(exchange));
  CHECK(ExtractUsage(exchange)->m_output_tokens == 2);
  CHECK_FALSE(ExtractUsage(exchange));
}

// A response that belongs to another request must be rejected.
TEST_CASE("an answer with another request's id is broken") {
  Exchange exchange;
  exchange.m_id = "r1";
  const std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
  CHECK(OnResponseHeader(exchange, attempt, "r2", kStart) ==
        EventVerdict::kBroken);
  CHECK(OnResponseHeader(exchange, attempt, "r1", kStart) ==
        EventVerdict::kPass);
}

// The outcome must not be not_run if an earlier attempt may have run.
TEST_CASE("the outcome covers all attempts") {
  Exchange exchange;
  std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
  CHECK(OutcomeOf(exchange) == Outcome::kNotRun);
  OnSending(exchange, attempt);
  CHECK(OutcomeOf(exchange) == Outcome::kUnknown);
  OnAttemptFailed(exchange, attempt, FailureKind::kRefusedNotRun);
  CHECK(OutcomeOf(exchange) == Outcome::kNotRun);
  attempt = StartAttempt(exchange, "e1", false, kStart);
  OnSending(exchange, attempt);
  CHECK(OnAttemptFailed(exchange, attempt, FailureKind::kConnectionLost)
            ->m_may_have_run);
  attempt = StartAttempt(exchange, "e2", false, kStart);
  CHECK_FALSE(OnAttemptFailed(exchange, 1, FailureKind::kSilent));
  OnSending(exchange, attempt);
  OnAttemptFailed(exchange, attempt, FailureKind::kRefusedNotRun);
  CHECK(OutcomeOf(exchange) == Outcome::kUnknown);
}

// Retained text must be bounded, and text that was not retained completely must
// not be continued.
TEST_CASE("text beyond the limit is dropped and cannot be continued") {
  Exchange exchange;
  const std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
  const std::string half(kMaxRetainedTextBytes / 2 + 1, 'x');
  OnToken(exchange, attempt, 1, half, kStart);
  OnToken(exchange, attempt, 2, half, kStart);
  CHECK(exchange.m_text.empty());
  const auto facts =
      OnAttemptFailed(exchange, attempt, FailureKind::kConnectionLost);
  CHECK(facts->m_partly_delivered);
  CHECK_FALSE(facts->m_prefix_available);
}

// No mix of repeated, lost, late and foreign events may change the output.
// Attempts resume or continue elsewhere; the text of position n is its number.
TEST_CASE("the caller gets the answer once and in order for any events") {
  CHECK(rc::check([] {
    const auto length = *rc::gen::inRange<std::uint64_t>(0, 12);
    Exchange exchange;
    std::string passed;
    std::string whole;
    for (std::uint64_t n = 1; n <= length; ++n) whole += std::to_string(n);
    std::uint32_t attempt = StartAttempt(exchange, "e0", false, kStart);
    for (int step = 0; step < 80; ++step) {
      const int action = *rc::gen::inRange(0, 20);
      const std::uint32_t number =
          action % 4 == 3 && attempt > 1 ? attempt - 1 : attempt;
      EventVerdict verdict = EventVerdict::kPass;
      if (action < 14) {
        const auto skip = *rc::gen::inRange<std::uint64_t>(0, 4);
        const std::uint64_t position =
            exchange.m_position + skip / 3 + skip % 2;
        if (position > length) continue;
        const std::string text = std::to_string(position);
        verdict = OnToken(exchange, number, position, text, kStart);
        if (verdict == EventVerdict::kPass) passed += text;
      } else if (action < 17) {
        verdict = OnDone(exchange, number, Usage(length), kStart);
      } else {
        verdict = EventVerdict::kBroken;
      }
      if (verdict == EventVerdict::kBroken && !exchange.m_done) {
        const bool lost =
            OnAttemptFailed(exchange, attempt, FailureKind::kBadAnswer)
                .has_value();
        RC_ASSERT(lost);
        attempt = StartAttempt(exchange, "e", action % 2 == 0, kStart);
      }
      RC_ASSERT(whole.compare(0, passed.size(), passed) == 0);
      RC_ASSERT(exchange.m_text == passed);
      RC_ASSERT(!IsComplete(exchange) || passed == whole);
    }
  }));
}

}  // namespace
}  // namespace comfreypaddle
