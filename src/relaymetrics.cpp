#include "relaymetrics.h"

#include <map>
#include <string>

#include "allotmentcheck.h"
#include "eventlog.h"
#include "metrics.h"

namespace comfreypaddle {

namespace {

// Adds the age of the data replicated from the store and the results of reading
// it from other instances.
void AddStoreFreshness(const RelayState& state, MetricsText* text) {
  const schema::KnowledgeStatus& known = state.m_knowledge;
  if (state.m_knowledge_at == Instant{}) return;
  const double since =
      std::chrono::duration<double>(state.m_clock() - state.m_knowledge_at)
          .count();
  const auto seconds = [since](double milliseconds) {
    return milliseconds / kMsPerSecond + since;
  };
  text->Gauge("relay_catalog_age_seconds",
              "time since the configuration was last known to be the store's",
              seconds(known.catalog_age_ms()));
  text->Gauge("relay_endpoint_list_age_seconds",
              "time since the endpoints were last known to be the store's",
              seconds(known.endpoints_age_ms()));
  text->Gauge("relay_store_silent_seconds",
              "time since the store last answered this instance",
              seconds(known.store_silent_ms()));
  text->Counter("relay_neighbour_answers_taken_total",
                "answers of other instances that brought something",
                known.answers_taken());
  text->Counter("relay_neighbour_answers_confirmed_total",
                "answers of other instances that confirmed what is known",
                known.answers_confirmed());
  text->Counter("relay_neighbour_answers_stale_total",
                "answers of other instances that told nothing",
                known.answers_stale());
  text->Counter("relay_neighbour_failures_total",
                "questions to other instances without an answer",
                known.questions_failed());
}

// Adds this instance's share of the retry budget and what it has used of it.
void AddRetryBudget(const RelayState& state, MetricsText* text) {
  const ResendState& resends = state.m_resends;
  const Instant now = state.m_clock();
  text->Counter("relay_retries_denied_total",
                "retries that the budget did not allow",
                state.m_counters.m_retries_denied);
  text->Gauge("relay_retry_budget_instances",
              "instances that share the slack of the retry budget",
              SharingInstances(resends, now));
  text->Gauge("relay_retry_budget_slack_share",
              "retries of the slack that this instance may use",
              SlackShare(resends, now));
  std::map<std::string, double> spent;
  std::map<std::string, double> allowed;
  for (const auto& [service, counts] : resends.m_services) {
    const ResendUse use = ResendUseOf(resends, service, now);
    spent[service] = use.m_resends;
    allowed[service] = use.m_allowed;
  }
  text->Gauges("relay_retry_budget_spent", "retries in the current window",
               "service", spent);
  text->Gauges("relay_retry_budget_allowed",
               "retries allowed in the current window", "service", allowed);
}

// Adds the memory that requests of all instances hold at the endpoints.
void AddEndpointMemory(const BalanceState& balance, MetricsText* text) {
  std::map<std::string, double> held;
  for (const auto& [id, endpoint] : balance.m_endpoints) {
    const double tokens = HeldTokens(endpoint.m_memory);
    if (tokens > 0) held[id] = tokens;
  }
  text->Gauges("relay_endpoint_held_tokens",
               "KV cache that requests of all instances hold, tokens",
               "endpoint", held);
}

// Adds what the requests of callers hold, and who was turned away for it.
void AddRequestMemory(const RequestMemory& memory, MetricsText* text) {
  text->Gauge("relay_request_memory_bytes",
              "bytes that requests of callers hold",
              static_cast<double>(memory.m_held_bytes));
  text->Gauge("relay_request_memory_peak_bytes",
              "most bytes that requests of callers have held",
              static_cast<double>(memory.m_peak_bytes));
  text->Gauge("relay_request_memory_limit_bytes",
              "bytes that requests of callers may hold",
              static_cast<double>(memory.m_limits.m_bytes));
  text->Gauge("relay_caller_connection_limit",
              "connections that callers may open",
              static_cast<double>(memory.m_connection_limit));
  std::map<std::string, double> turned_away;
  for (const EnumName<TurnedAway>& row : EnumNames<TurnedAway>::kTable) {
    const auto found = memory.m_turned_away.find(row.m_value);
    const std::uint64_t count =
        found == memory.m_turned_away.end() ? 0 : found->second;
    turned_away[std::string(row.m_name)] = static_cast<double>(count);
  }
  text->Gauges("relay_callers_turned_away",
               "callers turned away to stay within the bounds of the machine",
               "reason", turned_away);
}

// Adds why requests could go on at another endpoint.
void AddContinuations(const RelayCounters& counters, MetricsText* text) {
  std::map<std::string, double> continued;
  for (const EnumName<EndProof>& row : EnumNames<EndProof>::kTable) {
    if (row.m_value == EndProof::kNone) continue;
    const auto found = counters.m_continued.find(row.m_value);
    const std::uint64_t count =
        found == counters.m_continued.end() ? 0 : found->second;
    continued[std::string(row.m_name)] = static_cast<double>(count);
  }
  text->Gauges("relay_continued",
               "requests that went on at another endpoint, by the proof that "
               "their attempt had ended",
               "proof", continued);
  text->Counter("relay_reports_asked_total",
                "questions to endpoints about attempts that broke off",
                counters.m_reports_asked);
}

// Adds records of begun streams, and what became of requests that take one up.
void AddTakenUp(const RelayCounters& counters, MetricsText* text) {
  std::map<std::string, double> taken_up;
  for (const EnumName<TakeUpOutcome>& row : EnumNames<TakeUpOutcome>::kTable) {
    const auto found = counters.m_taken_up.find(row.m_value);
    const std::uint64_t count =
        found == counters.m_taken_up.end() ? 0 : found->second;
    taken_up[std::string(row.m_name)] = static_cast<double>(count);
  }
  text->Counter("relay_lifetimes_asked_total",
                "questions to endpoints for their lifetimes",
                counters.m_lifetimes_asked);
  text->Counter("relay_streams_unproven_total",
                "streams whose endpoint's lifetime was not proven at once",
                counters.m_streams_unproven);
  text->Counter("relay_streams_recorded_total",
                "begun streams whose version other instances were told",
                counters.m_streams_recorded);
  text->Gauges("relay_streams_taken_up",
               "requests that take up a stream, by what became of them",
               "outcome", taken_up);
}

// Adds which requests wait, for how long and why.
void AddQueue(const RelayState& state, MetricsText* text) {
  std::map<std::string, double> waiting;
  for (const auto& [urgency, count] : WaitingByUrgency(state.m_queue)) {
    waiting[std::to_string(urgency)] = static_cast<double>(count);
  }
  text->Gauges("relay_waiting", "queued requests by urgency", "urgency",
               waiting);
  text->Gauge(
      "relay_longest_wait_seconds",
      "time since the arrival of the oldest queued request",
      std::chrono::duration<double>(LongestWait(state.m_queue, state.m_clock()))
          .count());
  for (const auto& [reason, count] : state.m_counters.m_held) {
    text->Counter("relay_held_" + std::string(ToName(reason)) + "_total",
                  "requests that were queued for this reason", count);
  }
}

// Adds the second sends of slow requests, and when each route's are due.
void AddHedges(const RelayState& state, MetricsText* text) {
  const HedgeState& hedges = state.m_hedges;
  text->Counter("relay_hedges_sent_total",
                "slow requests sent to a second endpoint as well",
                hedges.m_counters.m_sent);
  text->Counter("relay_hedges_won_total",
                "requests that the second endpoint answered",
                hedges.m_counters.m_won);
  std::map<std::string, double> denied;
  for (const auto& [reason, count] : hedges.m_counters.m_denied) {
    denied[std::string(ToName(reason))] = static_cast<double>(count);
  }
  text->Gauges("relay_hedges_denied",
               "slow requests not sent to a second endpoint, by reason",
               "reason", denied);
  std::map<std::string, double> delays;
  for (const auto& [route, hedging] : hedges.m_routes) {
    if (!hedging.m_usual) continue;
    delays[route.m_route + "/" + route.m_service] =
        ToMs(*hedging.m_usual) / kMsPerSecond;
  }
  text->Gauges("relay_hedge_quantile_seconds",
               "response time after which requests of a route count as slow",
               "route", delays);
}

}  // namespace

std::string RelayMetrics(const RelayState& state, const HttpServer& callers,
                         const HttpClient& endpoints) {
  const RelayCounters& counters = state.m_counters;
  MetricsText text;
  text.Counter("relay_requests_total", "requests of callers",
               counters.m_requests);
  text.Counter("relay_sends_total", "requests sent to endpoints",
               counters.m_sends);
  text.Counter("relay_prefills_total", "prompts read on endpoints of their own",
               counters.m_prefills);
  text.Counter("relay_resends_total", "requests sent once more",
               counters.m_resends);
  text.Counter("relay_resumed_total", "streams resumed elsewhere",
               counters.m_resumed);
  text.Counter("relay_rejected_total", "rejections by endpoints",
               counters.m_not_run);
  text.Counter("relay_endpoints_leaving_total",
               "endpoints whose answers said that they leave",
               counters.m_leaving);
  text.Counter("relay_endpoint_pauses_total",
               "rejections that asked for a pause", counters.m_pauses);
  text.Counter("relay_failures_total", "attempts that broke off",
               counters.m_failures);
  AddContinuations(counters, &text);
  AddTakenUp(counters, &text);
  for (const auto& [reason, count] : counters.m_ends) {
    text.Counter("relay_ends_" + std::string(ToName(reason)) + "_total",
                 "requests that ended for this reason", count);
  }
  text.Summary("relay_first_answer_seconds",
               "time to the first byte of the answer", counters.m_first_answer);
  text.Summary("relay_request_seconds", "time of a request", counters.m_total);
  text.Gauge("relay_open_requests", "requests that are not answered",
             static_cast<double>(state.m_calls.size()));
  text.Gauge("relay_caller_connections", "open connections of callers",
             static_cast<double>(callers.Connections()));
  AddRequestMemory(callers.Memory(), &text);
  text.Counter("relay_endpoint_connections_total",
               "connections opened to endpoints",
               endpoints.Counters().m_opened);
  text.Counter("relay_endpoint_reused_total", "calls on kept connections",
               endpoints.Counters().m_reused);
  text.Counter("relay_endpoint_passed_over_total",
               "kept connections not used as they had carried the request",
               endpoints.Counters().m_passed_over);
  text.Counter("relay_stray_answers_total", "answers that belong to no call",
               endpoints.Counters().m_unmatched_responses);
  text.Gauge("relay_endpoints", "known endpoints",
             static_cast<double>(state.m_balance.m_endpoints.size()));
  text.Gauge("relay_crash_suspects",
             "suspects of crashes of endpoints, also those cleared since",
             static_cast<double>(state.m_crashes.m_rows.size()));
  text.Gauge("relay_catalog_version", "version of the configuration",
             state.m_catalog == nullptr
                 ? 0
                 : static_cast<double>(state.m_catalog->Message().version()));
  AddQueue(state, &text);
  AddRetryBudget(state, &text);
  AddEndpointMemory(state.m_balance, &text);
  AddAllotments(state, &text);
  AddHedges(state, &text);
  AddStoreFreshness(state, &text);
  text.Counter("relay_log_lines_lost_total", "log lines left out",
               DroppedLogLines());
  return text.Text();
}

}  // namespace comfreypaddle
