#include "continuation.h"

#include <algorithm>

#include "attemptlimits.h"
#include "endpointreport.h"
#include "eventlog.h"
#include "finish.h"
#include "hedgedcall.h"
#include "lifetimecheck.h"
#include "relayattempt.h"
#include "streambinding.h"

namespace comfreypaddle {

namespace {

// Time for which a request waits for the proof that its attempt has ended.
// Callers give up a stream that pauses for longer, and can resume it themselves
// once they are told.
constexpr Duration kMaxProofTime = std::chrono::milliseconds(1500);

// Time between two questions to one endpoint.
constexpr Duration kInquiryPeriod = std::chrono::milliseconds(250);

EndReason ReasonOfNoRetry(const RelayCall& call) {
  return call.m_runs > 0 ? EndReason::kEndpointFailed : EndReason::kRejected;
}

AttemptEvidence EvidenceOf(const RelayCall& call) {
  AttemptEvidence evidence;
  evidence.m_end = call.m_attempt.m_end;
  // A prefill does not execute the request.
  evidence.m_is_idempotent = call.m_attempt.m_is_prefill ||
                             call.m_route->kind() == schema::REPEAT_ALLOWED;
  evidence.m_is_gone = call.m_attempt.m_is_gone;
  evidence.m_is_absent = call.m_attempt.m_absence.m_is_proven;
  return evidence;
}

// Whether a stream that has begun may go on at the version that it is bound to.
bool IsVersionUsable(const RelayCall& call) {
  return !call.m_query.m_version || IsSettled(*call.m_query.m_version);
}

// Ends a stream that has begun at an unproven version if its endpoint is gone:
// nothing shows the version any more. Returns whether it did.
bool EndIfUnprovable(RelayState& state, RelayCall& call) {
  if (!call.m_attempt.m_is_gone) return false;
  LogLine("stream_version_unknown")
      .Add("request", call.m_metadata.m_attempt)
      .Add("endpoint", call.m_attempt.m_endpoint)
      .Add("version", TextOf(call.m_attempt.m_version))
      .Add("events", call.m_attempt.m_events);
  FinishFailed(state, call, EndReason::kVersionUnknown);
  return true;
}

// Sends the request elsewhere if its attempt is known to be over. Returns
// whether it is; the call may then be deleted.
bool ContinueIfOver(RelayState& state, RelayCall& call) {
  const EndProof proof = FindEndProof(EvidenceOf(call));
  if (proof == EndProof::kNone) return false;
  if (!IsVersionUsable(call)) return EndIfUnprovable(state, call);
  const EndpointAttempt& attempt = call.m_attempt;
  ++state.m_counters.m_continued[proof];
  if (call.m_response_started) ++state.m_counters.m_resumed;
  LogLine("request_continued")
      .Add("request", call.m_metadata.m_attempt)
      .Add("endpoint", attempt.m_endpoint)
      .Add("stage", attempt.m_is_prefill ? "prefill" : "run")
      .Add("end", ToName(attempt.m_end))
      .Add("proof", ToName(proof))
      .Add("events", attempt.m_events)
      .Add("version", TextOf(attempt.m_version))
      .Add("bound_to", BoundVersionText(call))
      .AddMs("after_ms", state.m_clock() - attempt.m_ended_at);
  DispatchCall(state, call);
  return true;
}

std::optional<Instant> ResponseBegin(const EndpointAttempt& attempt) {
  if (attempt.m_status == 0) return std::nullopt;
  return attempt.m_head_at;
}

// Applies the answer to a request that waits for it.
void ApplyInquiry(RelayState& state, RelayCall& call,
                  const EndpointReport& result) {
  EndpointAttempt& attempt = call.m_attempt;
  attempt.m_is_gone = result.m_is_gone;
  if (result.m_report && result.m_times.m_asked >= attempt.m_ended_at) {
    AddReport(attempt.m_absence, *result.m_report, call.m_metadata.m_attempt,
              ResponseBegin(attempt), result.m_times);
  }
  ContinueIfOver(state, call);
}

EndpointPlace PlaceOf(const EndpointAttempt& attempt) {
  return {attempt.m_endpoint, attempt.m_address};
}

void OnInquiryEnd(RelayState& state, const EndpointPlace& place,
                  const EndpointReport& report) {
  state.m_inquiries[place].m_call = 0;
  LearnLifetime(state, place.first, report);
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, call] : state.m_calls) {
    if (call->m_stage == CallStage::kProving &&
        PlaceOf(call->m_attempt) == place) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const std::uint64_t id : waiting) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) ApplyInquiry(state, *call, report);
  }
}

// Asks the endpoint of the request's last attempt what it works on, over a new
// connection. One question at a time serves all requests.
void AskEndpoint(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  const EndpointAttempt& attempt = call.m_attempt;
  const BalanceEndpoint* known =
      FindEndpoint(state.m_balance, attempt.m_endpoint);
  // It wants nothing from this instance.
  if (known != nullptr && now < known->m_full_until) return;
  std::erase_if(state.m_inquiries, [now](const auto& entry) {
    return entry.second.m_call == 0 &&
           now - entry.second.m_asked > kInquiryPeriod;
  });
  const EndpointPlace place = PlaceOf(attempt);
  EndpointInquiry& inquiry = state.m_inquiries[place];
  if (inquiry.m_call != 0) return;
  const bool was_asked_since = inquiry.m_asked >= attempt.m_ended_at;
  if (was_asked_since && now - inquiry.m_asked < kInquiryPeriod) return;
  inquiry.m_asked = now;
  ++state.m_counters.m_reports_asked;
  inquiry.m_call =
      AskForReport(state, attempt.m_endpoint, attempt.m_address, true,
                   [&state, place](const EndpointReport& report) {
                     OnInquiryEnd(state, place, report);
                   });
}

// Adjusts what is counted of the request's attempts to how the last one ended.
void CountEnd(RelayCall& call, AttemptEnd end) {
  const bool is_run = !call.m_attempt.m_is_prefill;
  const bool was_sent = end != AttemptEnd::kUnsent;
  const bool may_have_run = was_sent && end != AttemptEnd::kNotExecuted;
  if (is_run) call.m_query.m_excluded.push_back(call.m_attempt.m_endpoint);
  if (is_run && !may_have_run && call.m_runs > 0) --call.m_runs;
  if (is_run && !was_sent && call.m_sends > 0) --call.m_sends;
  // An endpoint that was not reached has not fetched the prefilled KV cache.
  if (was_sent) call.m_source.reset();
  if (was_sent) call.m_is_retry_due = true;
}

}  // namespace

void OnAttemptEnded(RelayState& state, RelayCall& call, AttemptEnd end) {
  call.m_attempt.m_end = end;
  call.m_attempt.m_ended_at = state.m_clock();
  // A response has released all retries to the endpoint before.
  const bool is_retry = call.m_is_retry || call.m_attempt.m_is_hedge;
  if (is_retry && call.m_attempt.m_status == 0) {
    OnResendEnded(state.m_resends, call.m_service, call.m_attempt.m_endpoint,
                  state.m_clock());
  }
  CountEnd(call, end);
  if (GoOnWithOther(state, call)) return;
  if (!MayTryAgain(state, call) ||
      (call.m_is_retry_due && !HasRetryBudget(state, call))) {
    FinishFailed(state, call, ReasonOfNoRetry(call));
    return;
  }
  if (ContinueIfOver(state, call)) return;
  call.m_stage = CallStage::kProving;
  AskEndpoint(state, call);
}

void CheckEndProof(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  if (now - call.m_attempt.m_ended_at < kMaxProofTime) {
    AskEndpoint(state, call);
    return;
  }
  FinishFailed(state, call, EndReason::kMayStillRun);
}

bool PayForRetry(RelayState& state, RelayCall& call,
                 const std::string& endpoint) {
  call.m_is_retry = call.m_is_retry_due;
  if (!call.m_is_retry_due) return true;
  call.m_is_retry_due = false;
  if (ChargeRetry(state, call, endpoint)) {
    ++state.m_counters.m_resends;
    return true;
  }
  FinishFailed(state, call, ReasonOfNoRetry(call));
  return false;
}

}  // namespace comfreypaddle
