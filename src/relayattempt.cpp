#include "relayattempt.h"

#include <algorithm>
#include <utility>

#include "attemptlimits.h"
#include "attemptlog.h"
#include "continuation.h"
#include "crashwatch.h"
#include "entryserve.h"
#include "eventlog.h"
#include "finish.h"
#include "freestring.h"
#include "hedgedcall.h"
#include "lifetimecheck.h"
#include "prefillcall.h"
#include "responsememory.h"
#include "resumption.h"
#include "silencewatch.h"
#include "streambinding.h"

namespace comfreypaddle {

namespace {

// Maximum size of a response that is not streamed.
constexpr std::size_t kMaxResponseBytes = 8U << 20U;

// Unsent bytes of a stream above which a slow caller is disconnected.
constexpr std::size_t kMaxBacklogBytes = 4U << 20U;

// Lowest HTTP status of a server error.
constexpr int kMinServerErrorStatus = 500;

}  // namespace

void RecordConnection(EndpointAttempt& attempt, const HttpResult& result) {
  attempt.m_connection = result.m_connection;
  attempt.m_connection_calls = result.m_connection_calls;
}

HttpCall MakeEndpointCall(const RelayState& state, const RelayCall& call,
                          const BalanceEndpoint& endpoint,
                          UpstreamMetadata terms) {
  terms.m_endpoint = endpoint.m_id;
  terms.m_workspace = call.m_workspace;
  terms.m_time_left = call.m_deadline - state.m_clock();
  terms.m_urgency = call.m_urgency;
  HttpCall http;
  http.m_method = call.m_request.m_method;
  http.m_url = "http://" + endpoint.m_address + call.m_request.m_target;
  http.m_headers = state.m_format->EndpointFields(call.m_request, terms);
  http.m_shared_body = call.m_body;
  http.m_connect_timeout = state.m_options.m_connect_timeout;
  http.m_max_body_bytes = IsStream(call) ? 0 : kMaxResponseBytes;
  http.m_request_id = call.m_metadata.m_attempt;
  // Without an id, its response cannot be told from a late one to a request
  // before it on the connection.
  http.m_force_new_connection = call.m_metadata.m_attempt.empty();
  http.m_match_response =
      [format = state.m_format,
       attempt = call.m_metadata.m_attempt](const HttpFields& fields) {
        return format->MatchAttempt(fields, attempt);
      };
  return http;
}

EndpointAttempt BeginAttempt(RelayState& state, const BalanceEndpoint& endpoint,
                             double work_ms, const MemoryNeed& need) {
  EndpointAttempt attempt;
  attempt.m_endpoint = endpoint.m_id;
  attempt.m_address = endpoint.m_address;
  attempt.m_born_ms = endpoint.m_born_ms;
  attempt.m_judged_born_ms = endpoint.m_born_ms;
  attempt.m_version = {endpoint.m_version, VersionCertainty::kUnproven};
  attempt.m_sent = state.m_clock();
  attempt.m_work_ms = work_ms;
  attempt.m_need = need;
  OnRequestDispatched(state.m_balance, endpoint.m_id, work_ms);
  HoldEndpointMemory(state.m_balance, endpoint.m_id, need);
  return attempt;
}

namespace {

// Counts the attempt to the limit of its endpoint, unless this was done when
// the prefill was sent.
void CountAttemptToLimit(RelayState& state, RelayCall& call,
                         const std::string& endpoint) {
  const bool counted = std::exchange(call.m_is_decode_counted, false) &&
                       endpoint == call.m_planned_decode;
  if (!counted) CountToLimit(state.m_balance, endpoint, state.m_clock());
}

// Whether the response is of the endpoint's listed lifetime, or of one that is
// not listed yet. A connection belongs to one lifetime.
bool IsOfListedLifetime(const RelayState& state, const EndpointAttempt& attempt,
                        const BalanceEndpoint& endpoint) {
  if (endpoint.m_born_ms == attempt.m_born_ms) return true;
  const std::optional<Instant> connected =
      state.m_endpoints->ConnectedAt(attempt.m_call);
  return connected && endpoint.m_born_at != Instant{} &&
         !IsOfFormerLifetime(endpoint, *connected);
}

// Records what a response says of the limit of its endpoint.
void RecordLimit(RelayState& state, const EndpointAttempt& attempt) {
  const BalanceEndpoint* endpoint =
      FindEndpoint(state.m_balance, attempt.m_endpoint);
  if (endpoint == nullptr || attempt.m_metadata.m_wrong_endpoint ||
      !IsOfListedLifetime(state, attempt, *endpoint)) {
    return;
  }
  const std::optional<double> rate = attempt.m_metadata.m_limit_rate;
  if (rate && !IsReadableRate(*rate)) {
    LogLine("endpoint_limit_unreadable")
        .Add("endpoint", attempt.m_endpoint)
        .Add("rate", std::to_string(*rate));
    return;
  }
  const LimitStatement statement = StatementOf(rate, attempt.m_head_at);
  if (OnLimitStatement(state.m_balance, attempt.m_endpoint, statement,
                       attempt.m_head_at)) {
    LogEndpointLimit(*endpoint, "response");
  }
}

// Records that the endpoint of the attempt said that it leaves. If it may have
// started again since the list was written, its report tells which lifetime
// leaves.
void NoteLeaving(RelayState& state, const RelayCall& call,
                 const EndpointAttempt& attempt) {
  const BalanceEndpoint* endpoint =
      FindEndpoint(state.m_balance, attempt.m_endpoint);
  if (endpoint == nullptr || endpoint->m_leaving) return;
  const bool is_listed = endpoint->m_born_ms == attempt.m_born_ms;
  CheckLifetime(state, attempt.m_endpoint, endpoint->m_address,
                CheckUrgency::kSoon);
  if (!is_listed) return;
  OnEndpointLeaving(state.m_balance, attempt.m_endpoint);
  ++state.m_counters.m_leaving;
  LogLine("endpoint_leaving")
      .Add("request", call.m_metadata.m_attempt)
      .Add("endpoint", attempt.m_endpoint)
      .Add("status", attempt.m_status);
}

// Forwards an event to the caller. Returns false if events are missing.
bool ForwardEvent(RelayState& state, RelayCall& call,
                  const RawSseEvent& event) {
  const bool is_continued = call.m_events > 0 || IsTakenUp(call);
  if (event.m_id && call.m_last_event && is_continued) {
    if (*event.m_id <= *call.m_last_event) return true;  // Duplicate.
    if (*event.m_id != *call.m_last_event + 1) return false;
  }
  if (!call.m_response_started) {
    call.m_response_started = true;
    call.m_first_event = state.m_clock();
    state.m_counters.m_first_answer.Add(call.m_first_event - call.m_arrived);
    state.m_callers->StartStream(
        call.m_id, call.m_attempt.m_status,
        state.m_format->CallerFields(call.m_attempt.m_fields));
  }
  if (event.m_id) call.m_last_event = event.m_id;
  ++call.m_events;
  state.m_callers->Write(call.m_id, event.m_bytes);
  return true;
}

// Updates load, prefill time and usage at the first event of an attempt.
void OnFirstEvent(RelayState& state, RelayCall& call) {
  EndpointAttempt& attempt = call.m_attempt;
  OnPrefillDone(state.m_balance, attempt.m_endpoint, attempt.m_work_ms);
  if (!call.m_source) {
    const std::chrono::duration<double, std::milli> took =
        state.m_clock() - attempt.m_sent;
    OnPrefillTimed(state.m_balance, attempt.m_endpoint,
                   {0, attempt.m_work_ms, took.count()}, state.m_clock());
  }
  attempt.m_work_ms = 0;
  OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
  OnPrefixCached(state.m_balance, attempt.m_endpoint,
                 call.m_query.m_shared_prefix_hash,
                 call.m_query.m_shared_prefix_tokens, state.m_clock());
  call.m_source.reset();  // The endpoint has fetched it.
  BindToVersion(state, call);
  CountUsage(state, call, state.m_clock());
}

bool IsEventStream(const EndpointAttempt& attempt) {
  constexpr int kOk = 200;
  return attempt.m_status == kOk && attempt.m_metadata.m_is_stream;
}

}  // namespace

void RecordHead(RelayState& state, const RelayCall& call,
                EndpointAttempt& attempt, int status,
                const HttpFields& fields) {
  attempt.m_status = status;
  attempt.m_head_at = state.m_clock();
  attempt.m_fields = fields;
  attempt.m_metadata = state.m_format->ParseResponseMetadata(status, fields);
  OnResendsRead(state.m_resends, call.m_service, attempt.m_endpoint,
                attempt.m_head_at);
  OnAttemptHead(state, attempt);
  RecordLimit(state, attempt);
  if (attempt.m_metadata.m_leaving) NoteLeaving(state, call, attempt);
}

void OnRunHead(RelayState& state, RelayCall& call, int status,
               const HttpFields& fields) {
  RecordHead(state, call, call.m_attempt, status, fields);
  // Its events reach the caller as they arrive.
  if (IsEventStream(call.m_attempt)) CancelOther(state, call);
}

namespace {

void OnRunEnd(RelayState& state, RelayCall& call, const HttpResult& result);

// Ends an attempt whose endpoint exceeds a size limit.
void AbortOversized(RelayState& state, RelayCall& call) {
  if (call.m_attempt.m_is_held) {
    AbandonHeldAttempt(state, call);
    return;
  }
  CancelOther(state, call);
  state.m_endpoints->Cancel(call.m_attempt.m_call);
  OnRunEnd(state, call, {HttpError::kTooLarge, call.m_attempt.m_status, true});
}

// Ends the request that holds the most response data if all together hold too
// much. A hedged request loses only its second attempt.
void LimitHeldBytes(RelayState& state, const RelayCall& grown) {
  RelayCall* excess = FindExcessCall(state, grown);
  if (excess == nullptr) return;
  LogLine("response_memory_exceeded")
      .Add("request", excess->m_metadata.m_attempt)
      .Add("endpoint", excess->m_attempt.m_endpoint)
      .Add("bytes", static_cast<std::int64_t>(HeldBytes(state, *excess)));
  if (IsHedged(*excess)) {
    CancelOther(state, *excess);
    return;
  }
  if (IsHeldForCaller(state, *excess)) {
    FinishFailed(state, *excess, EndReason::kSlowCaller);
  } else {
    AbortOversized(state, *excess);
  }
}

void OnRunBody(RelayState& state, RelayCall& call, std::string_view bytes) {
  EndpointAttempt& attempt = call.m_attempt;
  if (!IsEventStream(attempt)) {
    attempt.m_body.append(bytes);
    if (attempt.m_body.size() > kMaxResponseBytes) {
      AbortOversized(state, call);
      return;
    }
    LimitHeldBytes(state, call);
    return;
  }
  for (const RawSseEvent& event : attempt.m_splitter.Feed(bytes)) {
    if (attempt.m_events == 0) OnFirstEvent(state, call);
    const bool was_at_start = IsAtStart(call);
    ++attempt.m_events;
    if (was_at_start && !IsAtStart(call)) OnAttemptSurvived(state, call);
    if (attempt.m_is_held) {
      attempt.m_held_events.push_back(event);
    } else if (!ForwardEvent(state, call, event)) {
      FinishFailed(state, call, EndReason::kEndpointFailed);
      return;
    }
  }
  if (attempt.m_splitter.IsTooLarge()) {
    AbortOversized(state, call);
    return;
  }
  if (state.m_unsent_bytes &&
      state.m_unsent_bytes(call.m_id) > kMaxBacklogBytes) {
    FinishFailed(state, call, EndReason::kSlowCaller);
    return;
  }
  LimitHeldBytes(state, call);
}

}  // namespace

void RecordRejection(RelayState& state, const EndpointAttempt& attempt,
                     const HttpResult& result) {
  const Instant now = state.m_clock();
  if (!result.m_error && attempt.m_metadata.m_wrong_endpoint) {
    OnEndpointReplaced(state.m_balance, attempt.m_endpoint, now);
  } else if (!result.m_error && attempt.m_metadata.m_not_run) {
    const std::optional<double> pause_s = attempt.m_metadata.m_retry_after_s;
    OnEndpointFull(state.m_balance, attempt.m_endpoint, pause_s, now);
    if (pause_s) {
      ++state.m_counters.m_pauses;
      LogLine("endpoint_paused")
          .Add("endpoint", attempt.m_endpoint)
          .Add("requested_s", std::to_string(*pause_s));
    }
  } else {
    OnEndpointFailed(state.m_balance, attempt.m_endpoint, now);
  }
}

namespace {

// Handles a response that says that the request was not executed.
void OnRejected(RelayState& state, RelayCall& call, const HttpResult& result) {
  ++state.m_counters.m_not_run;
  LogFailure(state, call, "rejected", result);
  RecordRejection(state, call.m_attempt, result);
  OnAttemptEnded(state, call, AttemptEnd::kNotExecuted);
}

void OnStreamComplete(RelayState& state, RelayCall& call) {
  OnAttemptSurvived(state, call);
  if (!call.m_response_started) {
    call.m_response_started = true;
    state.m_callers->StartStream(
        call.m_id, call.m_attempt.m_status,
        state.m_format->CallerFields(call.m_attempt.m_fields));
  }
  FinishStreamedResponse(state, call);
}

void OnBufferedResponse(RelayState& state, RelayCall& call,
                        const HttpResult& result) {
  const EndpointAttempt& attempt = call.m_attempt;
  OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
  OnAttemptSurvived(state, call);
  CountRun(state, call);
  call.m_attempt.m_end = AttemptEnd::kAnswered;
  if (attempt.m_status >= kMinServerErrorStatus &&
      (IsHedged(call) ||
       (MayTryAgain(state, call) && HasRetryBudget(state, call)))) {
    LogFailure(state, call, "server_error", result);
    OnAttemptEnded(state, call, AttemptEnd::kAnswered);
    return;
  }
  if (call.m_response_started) {
    FinishFailed(state, call, EndReason::kEndpointFailed);
  } else {
    FinishBufferedResponse(state, call);
  }
}

}  // namespace

AttemptEnd EndOf(const EndpointAttempt& attempt, const HttpResult& result) {
  // A response without a length ends with its connection, whoever closes it.
  if (attempt.m_splitter.HasPartial() && !result.m_error) {
    return AttemptEnd::kBroken;
  }
  if (!result.m_error) return AttemptEnd::kAnswered;
  if (!result.m_sent) return AttemptEnd::kUnsent;
  return result.m_error == HttpError::kConnectionLost ? AttemptEnd::kBroken
                                                      : AttemptEnd::kAborted;
}

namespace {

void OnRunFailed(RelayState& state, RelayCall& call, const HttpResult& result) {
  FreeString(call.m_attempt.m_body);
  LogFailure(state, call, "broken", result);
  OnEndpointFailed(state.m_balance, call.m_attempt.m_endpoint, state.m_clock());
  const AttemptEnd end = EndOf(call.m_attempt, result);
  if (end == AttemptEnd::kUnsent) {
    OnAttemptEnded(state, call, end);
    return;
  }
  const bool lost = result.m_error == HttpError::kConnectionLost;
  if (lost && IsAtStart(call)) OnAttemptCrashed(state, call);
  // An attempt whose response is lost counts as usage, because most have begun
  // to run. Only those still in prefill at a crashed endpoint have not.
  if (call.m_attempt.m_events == 0) CountRun(state, call);
  ++state.m_counters.m_failures;
  OnAttemptEnded(state, call, end);
}

// Handles the end of a run whose events have all been forwarded.
void CloseRun(RelayState& state, RelayCall& call, const HttpResult& result) {
  const EndpointAttempt& attempt = call.m_attempt;
  if (result.m_error || attempt.m_splitter.HasPartial()) {
    OnRunFailed(state, call, result);
  } else if (attempt.m_metadata.m_not_run) {
    OnRejected(state, call, result);
  } else if (!IsEventStream(attempt)) {
    OnBufferedResponse(state, call, result);
  } else {
    OnStreamComplete(state, call);
  }
}

void OnRunEnd(RelayState& state, RelayCall& call, const HttpResult& result) {
  ReleaseLoad(state, call.m_attempt);
  RecordConnection(call.m_attempt, result);
  if (result.m_error == HttpError::kConnectRefused) {
    OnEndpointUnreachable(state, call.m_attempt.m_endpoint,
                          call.m_attempt.m_address);
  }
  if (call.m_attempt.m_is_held) {
    call.m_attempt.m_held_end = result;
  } else {
    CloseRun(state, call, result);
  }
}

// Handles the end of a run. The endpoint may have room for another request.
void EndRunCall(RelayState& state, std::uint64_t key,
                const HttpResult& result) {
  RelayCall* call = FindRelayCall(state, key);
  if (call != nullptr) OnRunEnd(state, *call, result);
  ServeWaiting(state);
}

}  // namespace

void ReleaseHeldAttempt(RelayState& state, RelayCall& call) {
  EndpointAttempt& attempt = call.m_attempt;
  attempt.m_is_held = false;
  for (const RawSseEvent& event : std::exchange(attempt.m_held_events, {})) {
    if (!ForwardEvent(state, call, event)) {
      FinishFailed(state, call, EndReason::kEndpointFailed);
      return;
    }
  }
  if (attempt.m_held_end) CloseRun(state, call, *attempt.m_held_end);
}

void AbandonHeldAttempt(RelayState& state, RelayCall& call) {
  EndpointAttempt& attempt = call.m_attempt;
  CancelSend(state, attempt);
  attempt.m_is_held = false;
  attempt.m_held_events.clear();
  const std::optional<HttpResult> end =
      std::exchange(attempt.m_held_end, std::nullopt);
  LogLine("stream_not_continued")
      .Add("request", call.m_metadata.m_attempt)
      .Add("endpoint", attempt.m_endpoint)
      .Add("bound_to", BoundVersionText(call))
      .Add("version", TextOf(attempt.m_version))
      .Add("proof", ToName(attempt.m_version.m_certainty))
      .Add("events", attempt.m_events)
      .Add("ended", end ? 1 : 0);
  if (end && end->m_error) {
    OnRunFailed(state, call, *end);
  } else {
    OnAttemptEnded(state, call,
                   end ? AttemptEnd::kAnswered : AttemptEnd::kAborted);
  }
}

HttpEvents RunEvents(RelayState& state, std::uint64_t key) {
  HttpEvents events;
  events.m_on_head = [&state, key](int status, const HttpFields& fields) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunHead(state, *found, status, fields);
  };
  events.m_on_body = [&state, key](std::string_view bytes) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunBody(state, *found, bytes);
  };
  events.m_on_end = [&state, key](const HttpResult& result) {
    EndRunCall(state, key, result);
  };
  return events;
}

void SendRun(RelayState& state, RelayCall& call, const std::string& id,
             double work_ms, const std::string& fetch_address) {
  const BalanceEndpoint& endpoint = *FindEndpoint(state.m_balance, id);
  CountAttemptToLimit(state, call, id);
  call.m_attempt =
      BeginAttempt(state, endpoint, work_ms, NeedOfRun(call.m_query));
  call.m_stage = CallStage::kRun;
  ++call.m_sends;
  ++call.m_runs;
  ++state.m_counters.m_sends;
  UpstreamMetadata terms;
  terms.m_source = call.m_source;
  terms.m_fetch_address = fetch_address;
  if (call.m_response_started) terms.m_resume_after = call.m_last_event;
  HttpCall http = MakeEndpointCall(state, call, endpoint, std::move(terms));
  // Asked first, so that the connection of the answer is the older one.
  if (IsResumable(call)) CheckNewContact(state, endpoint);
  call.m_attempt.m_call =
      state.m_endpoints->Start(std::move(http), RunEvents(state, call.m_id));
}

void RefuseSuspect(RelayState& state, RelayCall& call) {
  call.m_backlog = SuspectRetryAfter(state, call);
  FinishFailed(state, call, EndReason::kCrashesEndpoints);
}

namespace {

// Refuses a request that no endpoint has memory for: at once if none ever has,
// otherwise when it may wait no longer. Returns whether it did.
bool RefuseForMemory(RelayState& state, RelayCall& call, Instant now) {
  if (!call.m_query.m_is_prompt) return false;
  const MemoryVerdict verdict = JudgeMemory(state.m_balance, call.m_query, now);
  if (verdict == MemoryVerdict::kFits) return false;
  const bool may_wait = verdict == MemoryVerdict::kShort;
  if (may_wait && now < call.m_queue_deadline) return false;
  FinishFailed(state, call, EndReason::kNoMemory);
  return true;
}

// Refuses a request that only limits keep from every endpoint if none of them
// lets it through in time. Returns whether it did.
bool RefuseLimited(RelayState& state, RelayCall& call, Instant now) {
  const auto time = TimeToLimitedEndpoint(state.m_balance, call.m_query, now);
  if (!time || now + *time <= call.m_queue_deadline) return false;
  call.m_backlog = *time;
  FinishFailed(state, call, EndReason::kLimited);
  return true;
}

}  // namespace

void LogEndpointLimit(const BalanceEndpoint& endpoint,
                      std::string_view source) {
  const EndpointLimit& limit = endpoint.m_limit;
  LogLine("endpoint_limit")
      .Add("endpoint", endpoint.m_id)
      .Add("source", source)
      .Add("rate", std::to_string(limit.m_statement->m_rate))
      .Add("holder", IsHolder(limit) ? 1 : 0)
      .Add("holders", limit.m_holders);
}

void DispatchCall(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  if (call.m_source) {
    RunWithPrefilledCache(state, call);
    return;
  }
  if (!MayRun(state, call)) {
    RefuseSuspect(state, call);
    return;
  }
  if (IsVersionGone(state.m_balance, call.m_query)) {
    FinishFailed(state, call, EndReason::kVersionGone);
    return;
  }
  // A resumed stream needs the KV cache of its prompt and its output so far, so
  // that a separate prefill of the prompt does not pay.
  if (call.m_response_started) call.m_query.m_allow_split = false;
  const auto choice = SelectEndpoint(state.m_balance, call.m_query, now);
  if (!choice) {
    call.m_stage = CallStage::kWaiting;
    const bool resumes = call.m_response_started;
    if (!resumes && RefuseLimited(state, call, now)) return;
    if (!resumes && RefuseForMemory(state, call, now)) return;
    if (!resumes && now >= call.m_queue_deadline) {
      FinishFailed(state, call, EndReason::kNoEndpoint);
    }
    return;
  }
  call.m_expected = FromMs(choice->m_estimate_ms);
  call.m_backlog = FromMs(choice->m_wait_ms);
  if (IsHopeless(call, *choice, now)) {
    FinishFailed(state, call, EndReason::kTooLate);
    return;
  }
  if (MustAwaitWindow(state, call, *choice, now)) {
    call.m_stage = CallStage::kWaiting;
    return;
  }
  const bool is_split = !choice->m_prefill.empty();
  if (!PayForRetry(state, call,
                   is_split ? choice->m_prefill : choice->m_endpoint)) {
    return;
  }
  const BalanceEndpoint& endpoint =
      *FindEndpoint(state.m_balance, choice->m_endpoint);
  LogLine("endpoint_selected")
      .Add("request", call.m_metadata.m_attempt)
      .Add("service", call.m_service)
      .Add("endpoint", choice->m_endpoint)
      .Add("prefill", choice->m_prefill)
      .Add("version", endpoint.m_version)
      .Add("born_ms", static_cast<std::int64_t>(endpoint.m_born_ms))
      .Add("reason", ToName(choice->m_reason))
      .Add("fetch", choice->m_fetch_address)
      .Add("prefix", std::to_string(call.m_query.m_shared_prefix_hash))
      .Add("estimate_ms", static_cast<std::int64_t>(choice->m_estimate_ms))
      .Add("shared_prefix_tokens",
           static_cast<std::int64_t>(call.m_query.m_shared_prefix_tokens))
      .Add("suffix_tokens",
           static_cast<std::int64_t>(call.m_query.m_suffix_tokens))
      .Add("send", call.m_sends + 1)
      .AddMs("waited_ms", now - call.m_arrived);
  if (is_split) {
    SendPrefill(state, call, *choice);
  } else {
    SendRun(state, call, choice->m_endpoint, choice->m_work_ms,
            choice->m_fetch_address);
  }
}

void NoteSilence(RelayState& state, RelayCall& call) {
  EndpointAttempt& attempt = call.m_attempt;
  if (attempt.m_call == 0 || attempt.m_status != 0 || attempt.m_is_silent) {
    return;
  }
  const bool is_watched = attempt.m_is_prefill || IsRepeatable(call);
  const Instant now = state.m_clock();
  if (!is_watched || !IsSilent(state, call, attempt, now)) return;
  attempt.m_is_silent = true;
  LogFailure(state, call, "silent", {HttpError::kInactivityTimeout, 0, true});
  OnEndpointFailed(state.m_balance, attempt.m_endpoint, now);
}

}  // namespace comfreypaddle
