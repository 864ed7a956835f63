#include "freshness.h"

#include <utility>

#include "eventlog.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// Interval between updates of the metrics.
constexpr Duration kStatusInterval = std::chrono::seconds(1);

}  // namespace

void LogFreshness(ControlState& state) {
  const Instant now = state.m_clock();
  const Instant confirmed = StateConfirmedAt(state);
  // No state yet. Its arrival is logged by catalog_applied and endpoint_list.
  if (confirmed == Instant{}) return;
  const bool stale = now - confirmed >= kFollowerStaleAfter;
  if (stale == state.m_was_stale) return;
  state.m_was_stale = stale;
  if (stale) state.m_stale_since = now;
  LogLine line(stale ? "state_stale" : "state_fresh");
  line.Add("version", state.m_catalog ? static_cast<std::int64_t>(
                                            state.m_catalog->version())
                                      : -1)
      .AddMs("catalog_age_ms", now - state.m_catalog_cursor.m_confirmed)
      .AddMs("endpoints_age_ms", now - state.m_endpoints_cursor.m_confirmed)
      .AddMs("store_silent_ms", now - state.m_store_answered)
      .Add("upstream", HasUpstream(state.m_upstream)
                           ? state.m_upstream.m_selected.m_name
                           : "store");
  if (!stale) line.AddMs("lasted_ms", now - state.m_stale_since);
}

void PublishStateAge(ControlState& state) {
  const Instant now = state.m_clock();
  if (now < state.m_status_due) return;
  state.m_status_due = now + kStatusInterval;
  ControlCounters& counters = state.m_counters;
  schema::RelayMessage message;
  schema::KnowledgeStatus* status = message.mutable_knowledge();
  status->set_catalog_age_ms(ToMs(now - state.m_catalog_cursor.m_confirmed));
  status->set_endpoints_age_ms(
      ToMs(now - state.m_endpoints_cursor.m_confirmed));
  status->set_store_silent_ms(ToMs(now - state.m_store_answered));
  status->set_answers_taken(counters.m_answers[AnswerEffect::kApplied]);
  status->set_answers_confirmed(counters.m_answers[AnswerEffect::kConfirmed]);
  status->set_answers_stale(counters.m_answers[AnswerEffect::kStale]);
  status->set_questions_failed(counters.m_peer_failures);
  state.m_relay->Post(std::move(message));
}

}  // namespace comfreypaddle
