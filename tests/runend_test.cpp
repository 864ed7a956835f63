// Proofs that an attempt has ended.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "runend.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};

ReportTimes After(int asked_ms, int received_ms) {
  return {kStart + milliseconds(asked_ms), kStart + milliseconds(received_ms)};
}

WorkReport Runs(std::vector<std::string> attempts) {
  WorkReport report;
  report.m_active = static_cast<std::uint32_t>(attempts.size());
  report.m_runs = std::move(attempts);
  return report;
}

// Guards against a rule that takes silence or a closed connection for the end
// of the work.
TEST_CASE("only a proof allows another attempt") {
  AttemptEvidence evidence;
  // An open connection outweighs everything else that is known.
  evidence.m_is_gone = true;
  evidence.m_is_absent = true;
  evidence.m_is_idempotent = true;
  CHECK(FindEndProof(evidence) == EndProof::kNone);
  CHECK(FindEndProof({AttemptEnd::kUnsent}) == EndProof::kUnsent);
  CHECK(FindEndProof({AttemptEnd::kNotExecuted}) == EndProof::kNotExecuted);
  CHECK(FindEndProof({AttemptEnd::kAnswered}) == EndProof::kAnswered);
  for (const AttemptEnd end : {AttemptEnd::kBroken, AttemptEnd::kAborted}) {
    CAPTURE(ToName(end));
    CHECK(FindEndProof({end}) == EndProof::kNone);
    CHECK(FindEndProof({end, true, false, false}) == EndProof::kIdempotent);
    CHECK(FindEndProof({end, false, false, true}) == EndProof::kAbsent);
  }
  CHECK(FindEndProof({AttemptEnd::kBroken, false, true, false}) ==
        EndProof::kGone);
  // The instance closed the connection itself, so that the endpoint may work on
  // although it accepts no other.
  CHECK(FindEndProof({AttemptEnd::kAborted, false, true, false}) ==
        EndProof::kNone);
}

// Guards against a report that is older than the begin of the run.
TEST_CASE("a report proves the end of a run that was seen before") {
  AbsenceRecord record;
  AddReport(record, Runs({"b"}), "a", kStart, After(900, 910));
  CHECK_FALSE(record.m_is_proven);
  AddReport(record, Runs({"b"}), "a", kStart, After(1000, 1010));
  CHECK(record.m_is_proven);
}

// Guards against a request that waits in the receive buffer of an endpoint
// which was paused: its first report may come before it reads the request.
TEST_CASE("one report does not prove the end of an attempt that was not seen") {
  AbsenceRecord record;
  AddReport(record, Runs({}), "a", std::nullopt, After(900, 1000));
  CHECK_FALSE(record.m_is_proven);
  AddReport(record, Runs({}), "a", std::nullopt, After(1900, 1910));
  CHECK_FALSE(record.m_is_proven);
  AddReport(record, Runs({}), "a", std::nullopt, After(2000, 2010));
  CHECK(record.m_is_proven);
}

// Guards against reports that leave out what waits, was preempted or is not
// named.
TEST_CASE("a report that does not name all work proves nothing") {
  AbsenceRecord record;
  WorkReport report;
  SUBCASE("the attempt runs") { report = Runs({"b", "a"}); }
  SUBCASE("a request waits") {
    report = Runs({"b"});
    report.m_queued = 1;
  }
  SUBCASE("one of the runs is not named") {
    report = Runs({"b"});
    report.m_active = 2;
  }
  SUBCASE("runs are not named") { report.m_active = 0; }
  AddReport(record, report, "a", kStart, After(1900, 1910));
  CHECK_FALSE(record.m_is_proven);
}

// Guards against a first report that still counts after the attempt was seen to
// run.
TEST_CASE("an attempt that appears again has to be absent twice again") {
  AbsenceRecord record;
  AddReport(record, Runs({}), "a", std::nullopt, After(0, 10));
  AddReport(record, Runs({"a"}), "a", std::nullopt, After(300, 310));
  AddReport(record, Runs({}), "a", std::nullopt, After(600, 610));
  CHECK_FALSE(record.m_is_proven);
  AddReport(record, Runs({}), "a", std::nullopt, After(1700, 1710));
  CHECK(record.m_is_proven);
}

}  // namespace
}  // namespace comfreypaddle
