#include "crashwatch.h"

#include <algorithm>
#include <utility>

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

// Suspects of one change that are logged.
constexpr std::size_t kMaxLoggedSuspects = 16;

// Logs the suspects of a change that have the most crashes, and how many others
// there are: a prompt may have thousands of parts.
void LogSuspects(const RelayState& state, std::string_view event,
                 std::vector<SuspectKey> keys, std::string_view endpoint) {
  std::stable_sort(keys.begin(), keys.end(),
                   [&state](const SuspectKey& a, const SuspectKey& b) {
                     return CountCrashes(state.m_crashes, a) >
                            CountCrashes(state.m_crashes, b);
                   });
  const std::size_t logged = std::min(keys.size(), kMaxLoggedSuspects);
  for (std::size_t i = 0; i < logged; ++i) {
    LogSuspect(state, event, keys[i], endpoint);
  }
  if (logged == keys.size()) return;
  LogLine("suspects_not_logged")
      .Add("event", event)
      .Add("endpoint", endpoint)
      .Add("suspects", static_cast<std::int64_t>(keys.size() - logged));
}

// Logs crashes that were blamed or cleared, and tells the other instances.
void Report(const RelayState& state, std::string_view event,
            const std::vector<CrashEntry>& changed, std::string_view endpoint) {
  if (changed.empty()) return;
  std::vector<SuspectKey> keys;
  for (const CrashEntry& crash : changed) {
    if (keys.empty() || keys.back() < crash.m_key ||
        crash.m_key < keys.back()) {
      keys.push_back(crash.m_key);
    }
  }
  LogSuspects(state, event, std::move(keys), endpoint);
  if (state.m_on_suspects) {
    state.m_on_suspects(EncodeCrashes(changed, state.m_clock()));
  }
}

// Keeps the crash until it is known whether the process ended.
void AddCheck(RelayState& state, const EndpointAttempt& attempt,
              const CrashRecord& crash, std::uint64_t born_ms,
              const std::vector<SuspectKey>& parts) {
  const auto [place, is_first] =
      state.m_crash_checks.try_emplace(crash.m_id, CrashCheck{crash});
  CrashCheck& check = place->second;
  check.m_parts.insert(check.m_parts.end(), parts.begin(), parts.end());
  if (!is_first) return;
  check.m_endpoint = attempt.m_endpoint;
  check.m_address = attempt.m_address;
  check.m_born_ms = born_ms;
}

}  // namespace

std::uint64_t LifetimeOf(const RelayState& state,
                         const EndpointAttempt& attempt) {
  const std::uint64_t listed = attempt.m_judged_born_ms;
  const auto seen = state.m_lifetimes.m_sightings.find(attempt.m_endpoint);
  if (seen == state.m_lifetimes.m_sightings.end()) return listed;
  const Instant lived =
      attempt.m_status != 0 ? attempt.m_head_at : attempt.m_sent;
  return seen->second.m_first_seen <= lived
             ? std::max(listed, seen->second.m_born_ms)
             : listed;
}

bool IsAtStart(const RelayCall& call) {
  return call.m_attempt.m_events < kEventsPastStart;
}

void OnAttemptSurvived(RelayState& state, const RelayCall& call) {
  ForgetRequest(state.m_silent_attempts, call.m_fingerprint);
  if (state.m_crashes.m_rows.empty()) return;
  std::vector<CrashEntry> cleared;
  for (const SuspectKey& key : SuspectsOf(call)) {
    for (CrashRecord crash : BlamedCrashes(state.m_crashes, key)) {
      crash.m_cleared = true;
      cleared.push_back({key, crash});
    }
    ClearSuspect(state.m_crashes, key);
  }
  Report(state, "suspect_cleared", cleared, call.m_attempt.m_endpoint);
}

void OnAttemptCrashed(RelayState& state, RelayCall& call) {
  call.m_is_probe = false;
  const EndpointAttempt& attempt = call.m_attempt;
  const std::uint64_t born_ms = LifetimeOf(state, attempt);
  const CrashRecord crash{CrashId(attempt.m_endpoint, born_ms),
                          state.m_clock()};
  std::vector<CrashEntry> blamed;
  std::vector<SuspectKey> parts;
  for (const SuspectKey& key : SuspectsOf(call)) {
    const bool is_part = key.m_kind == SuspectKind::kPromptPart;
    if (is_part && !HasBegunToAnswer(call)) continue;
    if (!AddCrash(state.m_crashes, key, crash)) continue;
    blamed.push_back({key, crash});
    if (is_part) parts.push_back(key);
  }
  Report(state, "endpoint_crashed", blamed, attempt.m_endpoint);
  if (!parts.empty()) AddCheck(state, attempt, crash, born_ms, parts);
}

void OnCrashConfirmed(RelayState& state, const CrashCheck& check) {
  CrashRecord crash = check.m_crash;
  crash.m_confirmed = true;
  std::vector<CrashEntry> confirmed;
  for (const SuspectKey& part :
       FindConfirmable(state.m_crashes, crash, check.m_parts)) {
    ConfirmCrash(state.m_crashes, part, crash.m_id);
    confirmed.push_back({part, crash});
  }
  Report(state, "crash_confirmed", confirmed, check.m_endpoint);
}

void BlameRequest(RelayState& state, std::uint64_t request,
                  const std::string& endpoint, std::uint64_t born_ms) {
  const CrashEntry crash{{SuspectKind::kRequest, request},
                         {CrashId(endpoint, born_ms), state.m_clock()}};
  if (!AddCrash(state.m_crashes, crash.m_key, crash.m_crash)) return;
  Report(state, "endpoint_crashed", {crash}, endpoint);
}

void MergeSuspects(RelayState& state, const schema::SuspectList& suspects) {
  const Instant now = state.m_clock();
  for (const CrashEntry& crash : DecodeCrashes(suspects, now)) {
    const SuspectKey& key = crash.m_key;
    const bool was_refused = IsQuarantined(state.m_crashes, key, now);
    MergeCrash(state.m_crashes, crash);
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
  if (state.m_crashes.m_rows.empty()) return false;
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
