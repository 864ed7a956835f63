#include "crashwatch.h"

#include "crashcodec.h"
#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Events of a stream after which a request counts as past its start. An
// endpoint may still send the first one as it crashes.
constexpr std::uint32_t kEventsPastStart = 2;

SuspectKey RequestKey(const RelayCall& call) {
  return {SuspectKind::kRequest, call.m_fingerprint};
}

// Logs a change of what is known of a suspect.
void LogSuspect(const RelayState& state, std::string_view event,
                const SuspectKey& key, std::string_view endpoint) {
  LogLine(event)
      .Add("kind", ToName(key.m_kind))
      .Add("suspect", std::to_string(key.m_hash))
      .Add("endpoint", endpoint)
      .Add("crashes",
           static_cast<std::int64_t>(CountStrikes(state.m_crashes, key)))
      .Add("refused",
           IsCondemned(state.m_crashes, key, state.m_clock()) ? 1 : 0);
}

// Tells the other instances what is known of the suspect.
void PublishSuspect(const RelayState& state, const SuspectKey& key) {
  if (!state.m_on_suspects) return;
  schema::SuspectList changed;
  AppendSuspect(key, state.m_crashes.m_rows.at(key), state.m_clock(), &changed);
  state.m_on_suspects(changed);
}

}  // namespace

bool IsAtStart(const RelayCall& call) {
  return call.m_attempt.m_events < kEventsPastStart;
}

void OnAttemptSurvived(RelayState& state, const RelayCall& call) {
  const SuspectKey key = RequestKey(call);
  if (!ClearSuspect(state.m_crashes, key)) return;
  LogSuspect(state, "suspect_cleared", key, call.m_attempt.m_endpoint);
  PublishSuspect(state, key);
}

void OnAttemptCrashed(RelayState& state, const RelayCall& call) {
  const EndpointAttempt& attempt = call.m_attempt;
  const SuspectKey key = RequestKey(call);
  const CrashStrike strike{CrashId(attempt.m_endpoint, attempt.m_born_ms),
                           state.m_clock()};
  if (!AddStrike(state.m_crashes, key, strike)) return;
  LogSuspect(state, "endpoint_crashed", key, attempt.m_endpoint);
  PublishSuspect(state, key);
}

void MergeSuspects(RelayState& state, const schema::SuspectList& suspects) {
  const Instant now = state.m_clock();
  for (const schema::Suspect& suspect : suspects.suspects()) {
    const SuspectKey key = DecodeSuspectKey(suspect);
    const bool was_refused = IsCondemned(state.m_crashes, key, now);
    MergeSuspect(state.m_crashes, key, DecodeSuspectRow(suspect, now));
    if (IsCondemned(state.m_crashes, key, now) != was_refused) {
      LogSuspect(state, "suspect_reported", key, "");
    }
  }
}

bool IsRefusedSuspect(const RelayState& state, const RelayCall& call) {
  if (call.m_events >= kEventsPastStart) return false;
  return IsCondemned(state.m_crashes, RequestKey(call), state.m_clock());
}

}  // namespace comfreypaddle
