#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "freshness.h"

#include <doctest/doctest.h>

#include "statemerge.h"
#include "support_control.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using testing::Instance;

// Failure: a store outage is not visible in the metrics, which must show the
// age of an instance's state and the effect of other instances' answers.
TEST_CASE("the age of the state is sent to the metrics") {
  Instance a("a");
  a.m_now += milliseconds(2500);
  a.m_state.m_endpoints_cursor.m_confirmed = a.m_now - milliseconds(300);
  a.m_state.m_counters.m_answers[AnswerEffect::kStale] = 4;
  PublishStateAge(a.m_state);
  PublishStateAge(a.m_state);
  REQUIRE(a.m_inbox.m_messages.size() == 1);
  const schema::KnowledgeStatus& known = a.m_inbox.m_messages[0].knowledge();
  CHECK(known.catalog_age_ms() == doctest::Approx(2500));
  CHECK(known.endpoints_age_ms() == doctest::Approx(300));
  CHECK(known.store_silent_ms() == doctest::Approx(2500));
  CHECK(known.answers_stale() == 4);
  a.m_now += milliseconds(1000);
  PublishStateAge(a.m_state);
  CHECK(a.m_inbox.m_messages.size() == 2);
}

// Failure: an answer without effect is not counted as such.
TEST_CASE("the effect of an answer is returned") {
  Instance a("a");
  schema::InstanceState other;
  other.set_name("b");
  other.set_catalog_age_ms(100);
  other.set_endpoints_age_ms(100);
  CHECK(MergePeerState(a.m_state, other, a.m_now) == AnswerEffect::kStale);
  a.m_now += milliseconds(500);
  other.mutable_catalog()->set_version(3);
  other.set_catalog_offset(4);
  CHECK(MergePeerState(a.m_state, other, a.m_now) == AnswerEffect::kApplied);
  CHECK(MergePeerState(a.m_state, other, a.m_now) == AnswerEffect::kStale);
}

}  // namespace
}  // namespace comfreypaddle
