#include "crashwatch.h"

#include <algorithm>

#include "crashcodec.h"
#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Events of a stream after which a request counts as past its start. An
// endpoint may still send the first one as it crashes.
constexpr std::uint32_t kEventsPastStart = 2;

// What a crash under the request may be blamed on.
std::vector<SuspectKey> SuspectsOf(const RelayCall& call) {
  std::vector<SuspectKey> keys{{SuspectKind::kRequest, call.m_fingerprint}};
  for (const std::uint64_t part : call.m_shared_parts) {
    keys.push_back({SuspectKind::kPromptPart, part});
  }
  return keys;
}

// Whether the endpoint had begun to answer. Requests in its queue have not read
// their prompts and say nothing of the parts.
bool HasBegunToAnswer(const RelayCall& call) {
  return call.m_attempt.m_status != 0;
}

// Logs a change of what is known of a suspect.
void LogSuspect(const RelayState& state, std::string_view event,
                const SuspectKey& key, std::string_view endpoint) {
  LogLine(event)
      .Add("kind", ToName(key.m_kind))
      .Add("suspect", std::to_string(key.m_hash))
      .Add("endpoint", endpoint)
      .Add("crashes",
           static_cast<std::int64_t>(CountCrashes(state.m_crashes, key)))
      .Add("refused",
           IsQuarantined(state.m_crashes, key, state.m_clock()) ? 1 : 0);
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
  if (state.m_crashes.m_rows.empty()) return;
  for (const SuspectKey& key : SuspectsOf(call)) {
    if (!ClearSuspect(state.m_crashes, key)) continue;
    LogSuspect(state, "suspect_cleared", key, call.m_attempt.m_endpoint);
    PublishSuspect(state, key);
  }
}

void OnAttemptCrashed(RelayState& state, RelayCall& call) {
  call.m_is_probe = false;
  const EndpointAttempt& attempt = call.m_attempt;
  const CrashRecord crash{CrashId(attempt.m_endpoint, attempt.m_born_ms),
                          state.m_clock()};
  for (const SuspectKey& key : SuspectsOf(call)) {
    const bool is_part = key.m_kind == SuspectKind::kPromptPart;
    if (is_part && !HasBegunToAnswer(call)) continue;
    if (!AddCrash(state.m_crashes, key, crash)) continue;
    LogSuspect(state, "endpoint_crashed", key, attempt.m_endpoint);
    PublishSuspect(state, key);
  }
}

void MergeSuspects(RelayState& state, const schema::SuspectList& suspects) {
  const Instant now = state.m_clock();
  for (const schema::Suspect& suspect : suspects.suspects()) {
    const SuspectKey key = DecodeSuspectKey(suspect);
    const bool was_refused = IsQuarantined(state.m_crashes, key, now);
    MergeSuspect(state.m_crashes, key, DecodeSuspectRow(suspect, now));
    if (IsQuarantined(state.m_crashes, key, now) != was_refused) {
      LogSuspect(state, "suspect_reported", key, "");
    }
  }
}

bool MayRun(RelayState& state, RelayCall& call) {
  if (state.m_crashes.m_rows.empty()) return true;
  if (call.m_events >= kEventsPastStart || call.m_is_probe) return true;
  const Instant now = state.m_clock();
  const std::vector<SuspectKey> keys = SuspectsOf(call);
  const SuspectDecision decision =
      CheckSuspects(state.m_crashes, keys, state.m_probes, now);
  if (decision != SuspectDecision::kProbe) {
    return decision == SuspectDecision::kSound;
  }
  BeginProbe(state.m_crashes, keys, now);
  call.m_is_probe = true;
  LogLine("suspect_probe").Add("request", call.m_metadata.m_attempt);
  return true;
}

bool IsSuspect(const RelayState& state, const RelayCall& call) {
  if (call.m_is_probe) return true;
  const std::vector<SuspectKey> keys = SuspectsOf(call);
  return std::any_of(keys.begin(), keys.end(), [&state](const SuspectKey& key) {
    return CountCrashes(state.m_crashes, key) > 0;
  });
}

Duration SuspectRetryAfter(const RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  return NextProbe(state.m_crashes, SuspectsOf(call), now) - now;
}

}  // namespace comfreypaddle
