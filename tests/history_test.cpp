#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_history.h"

namespace comfreypaddle::testing {
namespace {

Instant At(int millis) { return Instant(std::chrono::milliseconds(millis)); }

// Guards against a lease checker that misses violations.
TEST_CASE("the checker reports two holders at once") {
  const LeaseInterval a{{"a", 1}, "usage", 10, At(0), At(100)};
  const LeaseInterval next{{"b", 1}, "usage", 20, At(100), At(200)};
  CHECK(CheckLeaseHistory({a, next}).empty());
  const LeaseInterval early{{"b", 1}, "usage", 20, At(99), At(200)};
  CHECK(CheckLeaseHistory({a, early}).size() == 1);
  const LeaseInterval restarted{{"a", 2}, "usage", 20, At(99), At(200)};
  CHECK(CheckLeaseHistory({a, restarted}).size() == 1);
  const LeaseInterval lower{{"b", 1}, "usage", 9, At(100), At(200)};
  CHECK(CheckLeaseHistory({a, lower}).size() == 1);
  const LeaseInterval other_duty{{"b", 1}, "capacity", 20, At(0), At(200)};
  CHECK(CheckLeaseHistory({a, other_duty}).empty());
}

TEST_CASE("the checker reports figures and reporters that differ") {
  const ReportedUsage first{{"a", 1}, 7, 100, 10, {{"w", "r", 1, 2, 3}}};
  ReportedUsage again = first;
  again.m_reporter = {"b", 1};
  again.m_fencing_number = 50;
  CHECK(CheckUsageHistory({first, again}).empty());
  ReportedUsage other = again;
  other.m_figures[0].m_requests = 2;
  CHECK(CheckUsageHistory({first, other}).size() == 1);
  ReportedUsage same_number = again;
  same_number.m_fencing_number = 10;
  CHECK(CheckUsageHistory({first, same_number}).size() == 1);
}

// Guards against a request checker that misses violations.
TEST_CASE("the checker reports calls that break a guarantee") {
  CallerEvent complete;
  complete.m_request = "a";
  complete.m_positions = {1, 2, 3};
  complete.m_tokens = 3;
  CHECK(CheckRequestHistory({complete}, {{"a", 1}}).empty());
  CHECK(CheckRequestHistory({complete}, {{"a", 1}, {"a", 1}}).empty());
  CHECK(CheckRequestHistory({complete}, {}).size() == 1);
  CallerEvent bad = complete;
  SUBCASE("ran twice") {
    bad.m_repeatable = false;
    CHECK(CheckRequestHistory({bad}, {{"a", 1}}).empty());
    CHECK(CheckRequestHistory({bad}, {{"a", 1}, {"a", 1}}).size() == 1);
    CHECK(CheckRequestHistory({bad, bad}, {{"a", 1}}).size() == 1);
  }
  SUBCASE("answers that are not whole") {
    for (const std::vector<std::uint64_t>& positions :
         {std::vector<std::uint64_t>{1, 2},
          {1, 3, 2},
          {1, 2, 2},
          {1, 2, 3, 3}}) {
      bad.m_positions = positions;
      CHECK(CheckRequestHistory({bad}, {{"a", 1}}).size() == 1);
    }
    bad = complete;
    bad.m_text_matches = false;
    CHECK(CheckRequestHistory({bad}, {{"a", 1}}).size() == 1);
    bad.m_end = CallerEnd::kInterrupted;
    CHECK(CheckRequestHistory({bad}, {{"a", 1}}).empty());
  }
  SUBCASE("a false refusal") {
    bad.m_end = CallerEnd::kRefused;
    bad.m_outcome = Outcome::kUnknown;
    CHECK(CheckRequestHistory({bad}, {{"a", 1}}).empty());
    bad.m_outcome = Outcome::kNotRun;
    CHECK(CheckRequestHistory({bad}, {{"a", 1}}).size() == 1);
    CHECK(CheckRequestHistory({bad}, {}).empty());
    CHECK(CheckRequestHistory({bad, complete}, {{"a", 1}}).empty());
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
