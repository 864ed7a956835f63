#include "entryserve.h"

#include <algorithm>

#include "attemptlimits.h"
#include "entrywindow.h"
#include "eventlog.h"
#include "relayattempt.h"
#include "resumption.h"

namespace comfreypaddle {

namespace {

bool IsNew(const RelayCall& call) {
  return call.m_sends == 0 && call.m_prefills == 0 && !call.m_response_started;
}

// Whether the request would be sent or refused now.
bool CanProceed(const RelayState& state, const RelayCall& call, Instant now) {
  const auto choice = SelectEndpoint(state.m_balance, call.m_query, now);
  if (!choice) return false;
  return IsHopeless(call, *choice, now) ||
         !MustAwaitWindow(state, call, *choice, now);
}

// Prompt tokens of the request that no endpoint has in its cache.
double UncachedTokens(const RelayState& state, const BalanceQuery& query,
                      Instant now) {
  const bool is_cached =
      query.m_shared_prefix_hash != 0 &&
      !FindHolders(state.m_balance.m_prefixes, query.m_shared_prefix_hash, now)
           .empty();
  return query.m_suffix_tokens + (is_cached ? 0 : query.m_shared_prefix_tokens);
}

// Ends the wait of a request: it is sent, beyond the window too. Without a
// choice it is refused at its queue deadline and tried at each tick until then,
// as the expected wait is too uncertain for a refusal while an endpoint may
// still become free.
void EndWait(RelayState& state, RelayCall& call, Instant now) {
  if (now >= call.m_deadline) return;
  if (SelectEndpoint(state.m_balance, call.m_query, now)) {
    call.m_queue_deadline = std::min(call.m_queue_deadline, now);
  }
  DispatchCall(state, call);
}

void QueueCall(RelayState& state, RelayCall& call, HoldReason reason,
               Instant now) {
  call.m_stage = CallStage::kWaiting;
  const WaitDecision decision =
      AddWaiting(state.m_queue,
                 {call.m_id, call.m_service, call.m_workspace, call.m_urgency,
                  UncachedTokens(state, call.m_query, now), call.m_arrived,
                  call.m_queue_deadline},
                 now);
  ++state.m_counters.m_held[reason];
  LogLine("request_held")
      .Add("request", call.m_metadata.m_attempt)
      .Add("reason", ToName(reason))
      .Add("service", call.m_service)
      .Add("workspace", call.m_workspace)
      .Add("urgency", call.m_urgency)
      .Add("queued", decision.m_is_queued ? 1 : 0)
      .Add("waiting", static_cast<std::int64_t>(state.m_queue.m_waiting.size()))
      .AddMs("expected_ms", decision.m_expected_wait)
      .AddMs("backlog_ms", call.m_backlog);
  if (decision.m_is_queued) return;
  call.m_backlog = std::max(call.m_backlog, decision.m_retry_after);
  EndWait(state, call, now);
}

void ServeService(RelayState& state, const std::string& service, Instant now) {
  const auto fits = [&state, now](std::uint64_t id) {
    const RelayCall* call = FindRelayCall(state, id);
    return call == nullptr || CanProceed(state, *call, now);
  };
  while (const auto id = TakeNext(state.m_queue, service, fits, now)) {
    RelayCall* call = FindRelayCall(state, *id);
    if (call != nullptr) DispatchCall(state, *call);
  }
}

}  // namespace

void AdmitCall(RelayState& state, RelayCall& call) {
  if (!state.m_queue.m_settings.m_is_ordered) {
    DispatchCall(state, call);
    return;
  }
  const Instant now = state.m_clock();
  if (HasWaiting(state.m_queue, call.m_service)) {
    const std::string service = call.m_service;
    QueueCall(state, call, HoldReason::kOrder, now);
    ServeService(state, service, now);
    return;
  }
  const std::uint64_t id = call.m_id;
  DispatchCall(state, call);
  RelayCall* left = FindRelayCall(state, id);
  if (left == nullptr || left->m_stage != CallStage::kWaiting ||
      !IsNew(*left)) {
    return;
  }
  const bool has_choice =
      SelectEndpoint(state.m_balance, left->m_query, now).has_value();
  QueueCall(state, *left,
            has_choice ? HoldReason::kWindow : HoldReason::kNoRoom, now);
}

void ServeWaiting(RelayState& state) {
  if (state.m_queue.m_waiting.empty()) return;
  const Instant now = state.m_clock();
  for (const std::uint64_t id : TakeOverdue(state.m_queue, now)) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) EndWait(state, *call, now);
  }
  for (const std::string& service : WaitingServices(state.m_queue)) {
    ServeService(state, service, now);
  }
}

bool MustAwaitWindow(const RelayState& state, const RelayCall& call,
                     const BalanceChoice& choice, Instant now) {
  return IsNew(call) && !IsTakenUp(call) && now < call.m_queue_deadline &&
         !FitsWindow(state.m_balance, choice, now);
}

}  // namespace comfreypaddle
