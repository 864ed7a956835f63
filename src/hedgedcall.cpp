#include "hedgedcall.h"

#include <algorithm>
#include <utility>

#include "attemptlimits.h"
#include "crashwatch.h"
#include "eventlog.h"
#include "finish.h"
#include "relayattempt.h"
#include "responsememory.h"

namespace comfreypaddle {

namespace {

// Lowest HTTP status of a server error.
constexpr int kMinServerErrorStatus = 500;

HedgeRoute RouteOf(const RelayCall& call) {
  return {call.m_service, call.m_route->name()};
}

// Whether requests of this kind are hedged. Streams are not, even if they may
// be resumed: a second run of one would be joined with the first. Nor are
// prompts, which cost the second endpoint a prefill.
bool IsHedgeable(const RelayState& state, const RelayCall& call) {
  return state.m_hedges.m_limits.m_enabled &&
         call.m_route->kind() == schema::REPEAT_ALLOWED &&
         !call.m_route->prompt();
}

// Whether the request awaits the response to its only attempt.
bool AwaitsResponse(const RelayCall& call) {
  return call.m_stage == CallStage::kRun && call.m_attempt.m_call != 0 &&
         call.m_attempt.m_status == 0 && !call.m_hedge.m_is_sent;
}

bool IsServiceQueued(const RelayState& state, const std::string& service) {
  return std::any_of(state.m_calls.begin(), state.m_calls.end(),
                     [&service](const auto& row) {
                       return row.second->m_service == service &&
                              row.second->m_stage == CallStage::kWaiting;
                     });
}

HedgeQuestion QuestionOf(const RelayState& state, const RelayCall& call,
                         Instant now) {
  HedgeQuestion question;
  question.m_route = RouteOf(call);
  question.m_time_left = call.m_deadline - now;
  question.m_has_attempts_left = HasAttemptsLeft(call);
  question.m_is_suspect = IsSuspect(state, call);
  question.m_is_service_queued = IsServiceQueued(state, call.m_service);
  question.m_load = ServiceLoad(state.m_balance, call.m_service, now);
  question.m_retries = ResendUseOf(state.m_resends, call.m_service, now);
  question.m_instances = SharingInstances(state.m_resends, now);
  return question;
}

// Chooses another endpoint, like that of any request. One that is only a last
// resort, or that has named a limit, is not worth the extra work.
const BalanceEndpoint* ChooseHedgeEndpoint(const RelayState& state,
                                           const RelayCall& call, Instant now) {
  BalanceQuery query = call.m_query;
  query.m_excluded.push_back(call.m_attempt.m_endpoint);
  const auto choice = SelectEndpoint(state.m_balance, query, now);
  if (!choice || choice->m_reason == BalanceReason::kLastResort) return nullptr;
  const BalanceEndpoint* endpoint =
      FindEndpoint(state.m_balance, choice->m_endpoint);
  return IsLimited(endpoint->m_limit) ? nullptr : endpoint;
}

// Whether the reason lies in the state of the service.
bool IsOfService(HedgeDenial reason) {
  return reason == HedgeDenial::kQueue || reason == HedgeDenial::kLoad ||
         reason == HedgeDenial::kNoEndpoint;
}

// Counts the first denial of each request.
void CountDenial(RelayState& state, RelayCall& call, HedgeDenial reason) {
  if (IsOfService(reason)) {
    PauseHedging(state.m_hedges, RouteOf(call), state.m_clock());
  }
  if (std::exchange(call.m_hedge.m_is_denied, true)) return;
  ++state.m_hedges.m_counters.m_denied[reason];
  LogLine("hedge_denied")
      .Add("request", call.m_metadata.m_attempt)
      .Add("route", call.m_route->name())
      .Add("service", call.m_service)
      .Add("endpoint", call.m_attempt.m_endpoint)
      .Add("reason", ToName(reason))
      .AddMs("after_ms", state.m_clock() - call.m_attempt.m_sent);
}

bool IsHedgeDue(const RelayState& state, const RelayCall& call, Instant now) {
  const Duration elapsed = now - call.m_attempt.m_sent;
  if (elapsed < state.m_hedges.m_limits.m_min_delay) return false;
  const HedgeRoute route = RouteOf(call);
  if (IsHedgingPaused(state.m_hedges, route, now)) return false;
  return elapsed >=
         HedgeDelay(state.m_hedges, route, FromMs(call.m_route->target_ms()));
}

// Asks for the credit first: it is mostly what is lacking, and the state of the
// service takes longer to find.
std::optional<HedgeDenial> FindDenial(const RelayState& state,
                                      const RelayCall& call, Instant now) {
  const auto denial =
      FindCreditDenial(state.m_hedges, RouteOf(call),
                       SharingInstances(state.m_resends, now), now);
  if (denial) return denial;
  return FindHedgeDenial(state.m_hedges, QuestionOf(state, call, now), now);
}

// Response of the attempt that runs beside the current one.

void OnOtherHead(RelayState& state, RelayCall& call, int status,
                 const HttpFields& fields) {
  EndpointAttempt& other = *call.m_hedge.m_other;
  RecordHead(state, call, other, status, fields);
  // An event stream cannot take the place of a whole response.
  if (other.m_metadata.m_is_stream) CancelOther(state, call);
}

void OnOtherBody(RelayState& state, RelayCall& call, std::string_view bytes) {
  call.m_hedge.m_other->m_body.append(bytes);
  // The hedge gives way where memory is short.
  if (FindExcessCall(state, call) != nullptr) CancelOther(state, call);
}

// Callbacks of the hedge. They differ from those of any attempt as long as the
// hedge is not the current one.
HttpEvents HedgeEvents(RelayState& state, std::uint64_t key) {
  const auto find_hedged = [&state, key]() -> RelayCall* {
    RelayCall* found = FindRelayCall(state, key);
    return found != nullptr && IsHedged(*found) ? found : nullptr;
  };
  const HttpEvents run = RunEvents(state, key);
  HttpEvents events;
  events.m_on_head = [&state, find_hedged, run](int status,
                                                const HttpFields& fields) {
    RelayCall* hedged = find_hedged();
    if (hedged == nullptr) {
      run.m_on_head(status, fields);
    } else {
      OnOtherHead(state, *hedged, status, fields);
    }
  };
  events.m_on_body = [&state, find_hedged, run](std::string_view bytes) {
    RelayCall* hedged = find_hedged();
    if (hedged == nullptr) {
      run.m_on_body(bytes);
    } else {
      OnOtherBody(state, *hedged, bytes);
    }
  };
  events.m_on_end = [find_hedged, run](const HttpResult& result) {
    RelayCall* hedged = find_hedged();
    if (hedged != nullptr) {
      std::swap(hedged->m_attempt, *hedged->m_hedge.m_other);
    }
    run.m_on_end(result);
  };
  return events;
}

void SendHedge(RelayState& state, RelayCall& call,
               const BalanceEndpoint& endpoint) {
  const Instant now = state.m_clock();
  const HedgeRoute route = RouteOf(call);
  const std::uint32_t instances = SharingInstances(state.m_resends, now);
  ChargeHedge(state.m_hedges, route, instances, now);
  CountToLimit(state.m_balance, endpoint.m_id, now);
  ++state.m_counters.m_sends;
  ++state.m_counters.m_resends;
  ++call.m_sends;
  ++call.m_runs;
  const ResendUse retries = ResendUseOf(state.m_resends, call.m_service, now);
  LogLine("hedge_sent")
      .Add("request", call.m_metadata.m_attempt)
      .Add("route", call.m_route->name())
      .Add("service", call.m_service)
      .Add("first", call.m_attempt.m_endpoint)
      .Add("second", endpoint.m_id)
      .AddMs("after_ms", now - call.m_attempt.m_sent)
      .AddMs("left_ms", call.m_deadline - now)
      .Add("instances", instances)
      .Add("retries_left",
           std::to_string(retries.m_allowed - retries.m_resends));
  EndpointAttempt attempt =
      BeginAttempt(state, endpoint, 0, NeedOfRun(call.m_query));
  attempt.m_is_hedge = true;
  call.m_hedge.m_is_sent = true;
  call.m_hedge.m_other = std::move(attempt);
  HttpCall http = MakeEndpointCall(state, call, endpoint, {});
  call.m_hedge.m_other->m_call =
      state.m_endpoints->Start(std::move(http), HedgeEvents(state, call.m_id));
}

// Adds the time at the request's first endpoint to those of its route.
void LearnResponseTime(RelayState& state, const RelayCall& call) {
  const HedgeRoute route = RouteOf(call);
  CreditRequest(state.m_hedges, route, state.m_clock());
  const auto& other = call.m_hedge.m_other;
  if (call.m_attempt.m_is_hedge && !other) return;  // The first one failed.
  const EndpointAttempt& first =
      call.m_attempt.m_is_hedge ? *other : call.m_attempt;
  AddResponseTime(state.m_hedges, route, state.m_clock() - first.m_sent);
}

}  // namespace

void ConsiderHedge(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  if (!IsHedgeable(state, call) || !AwaitsResponse(call)) return;
  if (!IsHedgeDue(state, call, now)) return;
  auto denial = FindDenial(state, call, now);
  const BalanceEndpoint* endpoint = nullptr;
  if (!denial) {
    endpoint = ChooseHedgeEndpoint(state, call, now);
    if (endpoint == nullptr) denial = HedgeDenial::kNoEndpoint;
  }
  if (!denial && !ChargeRetry(state, call, endpoint->m_id)) {
    denial = HedgeDenial::kRetryBudget;
  }
  if (denial) {
    CountDenial(state, call, *denial);
    return;
  }
  SendHedge(state, call, *endpoint);
}

bool IsHedged(const RelayCall& call) {
  return call.m_hedge.m_other.has_value();
}

bool GoOnWithOther(RelayState& state, RelayCall& call) {
  if (!IsHedged(call)) return false;
  LogLine("hedge_goes_on")
      .Add("request", call.m_metadata.m_attempt)
      .Add("failed", call.m_attempt.m_endpoint)
      .Add("endpoint", call.m_hedge.m_other->m_endpoint)
      .AddMs("after_ms", state.m_clock() - call.m_attempt.m_sent);
  call.m_attempt = std::move(*call.m_hedge.m_other);
  call.m_hedge.m_other.reset();
  return true;
}

void CancelOther(RelayState& state, RelayCall& call) {
  if (!IsHedged(call)) return;
  EndpointAttempt& other = *call.m_hedge.m_other;
  CancelSend(state, other);
  LogLine("hedge_cancelled")
      .Add("request", call.m_metadata.m_attempt)
      .Add("cancelled", other.m_endpoint)
      .Add("kept", call.m_attempt.m_endpoint)
      .AddMs("after_ms", state.m_clock() - other.m_sent);
  call.m_hedge.m_other.reset();
}

void CountRun(RelayState& state, RelayCall& call) {
  HedgeProgress& hedge = call.m_hedge;
  if (hedge.m_is_sent && std::exchange(hedge.m_is_usage_counted, true)) return;
  CountUsage(state, call, call.m_attempt.m_sent);
}

void EndHedging(RelayState& state, RelayCall& call, EndReason reason) {
  if (!IsHedgeable(state, call)) return;
  const EndpointAttempt& attempt = call.m_attempt;
  const bool is_answered = reason == EndReason::kAnswered &&
                           attempt.m_status < kMinServerErrorStatus &&
                           !attempt.m_metadata.m_is_stream;
  if (is_answered) LearnResponseTime(state, call);
  if (is_answered && attempt.m_is_hedge) ++state.m_hedges.m_counters.m_won;
  CancelOther(state, call);
}

}  // namespace comfreypaddle
