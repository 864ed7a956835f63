#include "silencewatch.h"

#include <vector>

#include "attemptlimits.h"
#include "crashwatch.h"
#include "eventlog.h"
#include "hedgedcall.h"
#include "lifetimecheck.h"

namespace comfreypaddle {

namespace {

// Whether the endpoint has said that it leaves, or is listed so, or was when it
// vanished from the list.
bool IsLeavingAsPlanned(const RelayState& state, const std::string& id) {
  const BalanceEndpoint* endpoint = FindEndpoint(state.m_balance, id);
  if (endpoint == nullptr) {
    const auto vanished = state.m_balance.m_vanished.find(id);
    if (vanished == state.m_balance.m_vanished.end()) return false;
    endpoint = &vanished->second.m_last;
  }
  return endpoint->m_draining || endpoint->m_leaving;
}

// Whether attempts at the endpoint wait for a proof that it has crashed.
// Forgets them if it leaves as planned.
bool IsWatched(RelayState& state, const std::string& endpoint) {
  SilentAttempts& table = state.m_silent_attempts;
  if (table.m_by_endpoint.count(endpoint) == 0) return false;
  if (!IsLeavingAsPlanned(state, endpoint)) return true;
  ForgetEndpoint(table, endpoint);
  return false;
}

void Blame(RelayState& state, const std::string& endpoint,
           const std::vector<SilentAttempt>& crashed) {
  for (const SilentAttempt& attempt : crashed) {
    BlameRequest(state, attempt.m_request, endpoint, attempt.m_born_ms);
  }
}

void OnLifetimeShown(RelayState& state, const std::string& endpoint,
                     std::uint64_t born_ms) {
  Blame(state, endpoint,
        TakeEndedLifetimes(state.m_silent_attempts, endpoint, born_ms,
                           state.m_clock()));
}

void ReviewEndpoint(RelayState& state, const std::string& id) {
  if (!IsWatched(state, id)) return;
  const BalanceEndpoint* listed = FindEndpoint(state.m_balance, id);
  if (listed != nullptr) {
    OnLifetimeShown(state, id, listed->m_born_ms);
    return;
  }
  const std::string address =
      state.m_silent_attempts.m_by_endpoint.at(id).back().m_address;
  CheckLifetime(state, id, address, CheckUrgency::kSoon);
}

// An attempt whose request the endpoint's machine has not acknowledged cannot
// have begun to run.
bool IsSilentEnd(const RelayState& state, const RelayCall& call,
                 const EndpointAttempt& attempt) {
  return attempt.m_call != 0 && !attempt.m_is_prefill &&
         attempt.m_status == 0 &&
         IsSilent(state, call, attempt, state.m_clock()) &&
         state.m_endpoints->IsDelivered(attempt.m_call) &&
         !IsLeavingAsPlanned(state, attempt.m_endpoint);
}

void RecordIfSilent(RelayState& state, const RelayCall& call,
                    const EndpointAttempt& attempt) {
  if (!IsSilentEnd(state, call, attempt)) return;
  const Instant now = state.m_clock();
  const std::uint64_t born_ms = LifetimeOf(state, attempt);
  const bool added =
      AddSilentAttempt(state.m_silent_attempts, attempt.m_endpoint,
                       {call.m_fingerprint, born_ms, attempt.m_address, now});
  LogLine("silent_attempt")
      .Add("request", call.m_metadata.m_attempt)
      .Add("endpoint", attempt.m_endpoint)
      .Add("born_ms", static_cast<std::int64_t>(born_ms))
      .Add("suspect", std::to_string(call.m_fingerprint))
      .Add("recorded", added ? 1 : 0)
      .AddMs("after_ms", now - attempt.m_sent);
  ReviewEndpoint(state, attempt.m_endpoint);
}

}  // namespace

void RecordSilentAttempts(RelayState& state, const RelayCall& call) {
  RecordIfSilent(state, call, call.m_attempt);
  if (IsHedged(call)) RecordIfSilent(state, call, *call.m_hedge.m_other);
}

void OnAttemptHead(RelayState& state, const EndpointAttempt& attempt) {
  if (attempt.m_metadata.m_wrong_endpoint) {
    OnEndpointUnreachable(state, attempt.m_endpoint, attempt.m_address);
    return;
  }
  // A connection belongs to one lifetime. A later one may lead to the next
  // lifetime before the list shows that.
  const auto connected = state.m_endpoints->ConnectedAt(attempt.m_call);
  if (!connected) return;
  ForgetAnswered(state.m_silent_attempts, attempt.m_endpoint,
                 LifetimeOf(state, attempt), *connected);
}

void OnEndpointUnreachable(RelayState& state, const std::string& endpoint,
                           const std::string& address) {
  if (!IsWatched(state, endpoint)) return;
  Blame(state, endpoint,
        TakeUnreachable(state.m_silent_attempts, endpoint, address,
                        state.m_clock()));
}

void OnEndpointReport(RelayState& state, const std::string& endpoint,
                      const EndpointReport& report) {
  if (report.m_is_gone) {
    OnEndpointUnreachable(state, endpoint, report.m_address);
    return;
  }
  if (!report.m_report || !report.m_report->m_born_ms) return;
  if (!IsWatched(state, endpoint)) return;
  const std::uint64_t born_ms = *report.m_report->m_born_ms;
  ForgetAnswered(state.m_silent_attempts, endpoint, born_ms, Instant{});
  OnLifetimeShown(state, endpoint, born_ms);
}

void ReviewSilentAttempts(RelayState& state) {
  ExpireSilentAttempts(state.m_silent_attempts, state.m_clock());
  std::vector<std::string> endpoints;
  for (const auto& [id, attempts] : state.m_silent_attempts.m_by_endpoint) {
    endpoints.push_back(id);
  }
  for (const std::string& id : endpoints) ReviewEndpoint(state, id);
}

}  // namespace comfreypaddle
