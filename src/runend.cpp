#include "runend.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Greatest age of the state that an endpoint reports.
constexpr Duration kReportLag = std::chrono::seconds(1);

// Whether the report names all work of the endpoint, without the attempt.
bool LacksAttempt(const WorkReport& report, const std::string& attempt) {
  if (!report.m_runs || report.m_queued > 0) return false;
  const std::vector<std::string>& runs = *report.m_runs;
  if (runs.size() < report.m_active) return false;
  return std::find(runs.begin(), runs.end(), attempt) == runs.end();
}

}  // namespace

EndProof FindEndProof(const AttemptEvidence& evidence) {
  switch (evidence.m_end) {
    case AttemptEnd::kOpen:
      return EndProof::kNone;
    case AttemptEnd::kUnsent:
      return EndProof::kUnsent;
    case AttemptEnd::kNotExecuted:
      return EndProof::kNotExecuted;
    case AttemptEnd::kAnswered:
      return EndProof::kAnswered;
    case AttemptEnd::kBroken:
    case AttemptEnd::kAborted:
      break;
  }
  if (evidence.m_is_idempotent) return EndProof::kIdempotent;
  if (evidence.m_end == AttemptEnd::kBroken && evidence.m_is_gone) {
    return EndProof::kGone;
  }
  return evidence.m_is_absent ? EndProof::kAbsent : EndProof::kNone;
}

void AddReport(AbsenceRecord& record, const WorkReport& report,
               const std::string& attempt, std::optional<Instant> began,
               const ReportTimes& times) {
  if (!LacksAttempt(report, attempt)) {
    record = {};
    return;
  }
  if (began) {
    record.m_is_proven = times.m_asked >= *began + kReportLag;
    return;
  }
  if (!record.m_first_at) {
    record.m_first_at = times.m_received;
    return;
  }
  record.m_is_proven = times.m_asked >= *record.m_first_at + kReportLag;
}

}  // namespace comfreypaddle
