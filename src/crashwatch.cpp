#include "crashwatch.h"

#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Events of a stream after which a request counts as past its start. An
// endpoint may still send the first one as it crashes.
constexpr std::uint32_t kEventsPastStart = 2;

}  // namespace

bool IsAtStart(const RelayCall& call) {
  return call.m_attempt.m_events < kEventsPastStart;
}

void OnAttemptSurvived(RelayState& state, const RelayCall& call) {
  const SuspectKey key{SuspectKind::kRequest, call.m_fingerprint};
  if (!ClearSuspect(state.m_crashes, key)) return;
  LogLine("suspect_cleared")
      .Add("request", call.m_metadata.m_attempt)
      .Add("fingerprint", std::to_string(call.m_fingerprint))
      .Add("endpoint", call.m_attempt.m_endpoint);
}

void ReportCrash(RelayState& state, const RelayCall& call) {
  schema::CrashReport report;
  report.set_fingerprint(call.m_fingerprint);
  report.set_endpoint(call.m_attempt.m_endpoint);
  report.set_born_ms(call.m_attempt.m_born_ms);
  RecordCrash(state, report);
  if (state.m_on_crash) state.m_on_crash(report);
}

void RecordCrash(RelayState& state, const schema::CrashReport& crash) {
  const SuspectKey key{SuspectKind::kRequest, crash.fingerprint()};
  const CrashStrike strike{CrashId(crash.endpoint(), crash.born_ms()),
                           state.m_clock()};
  if (!AddStrike(state.m_crashes, key, strike)) return;
  LogLine("endpoint_crashed")
      .Add("fingerprint", std::to_string(crash.fingerprint()))
      .Add("endpoint", crash.endpoint())
      .Add("crashes",
           static_cast<std::int64_t>(CountStrikes(state.m_crashes, key)));
}

bool IsRefusedSuspect(const RelayState& state, const RelayCall& call) {
  if (call.m_events >= kEventsPastStart) return false;
  return IsCondemned(state.m_crashes,
                     {SuspectKind::kRequest, call.m_fingerprint},
                     state.m_clock());
}

}  // namespace comfreypaddle
