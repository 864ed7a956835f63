#include "run.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "finish.h"

namespace comfreypaddle {

namespace {

// Endpoints to which one request is sent at most, those included that reject
// it or cannot be reached.
constexpr std::uint32_t kMaxSends = 4;

// Answers that are passed on as a whole are no longer than this.
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;

// Largest answer to a read of a prompt: where the KV cache is.
constexpr std::uint64_t kMaxPrefillAnswer = 64U << 10U;

// Bytes that a caller may leave unread before its stream is ended.
constexpr std::size_t kMaxBacklogBytes = 4U << 20U;

// An endpoint that has sent nothing to any request for this long while one of
// them waits there is taken for dead. One that still answers others is only
// busy, and a repeat elsewhere would add to the load.
constexpr Duration kDeadSilence = std::chrono::milliseconds(1000);

// Time after which a request is tried elsewhere although its endpoint answers
// others.
constexpr Duration kLongPatience = std::chrono::milliseconds(2500);

// Part of the target time after which a plain idempotent request that shows no
// sign is tried elsewhere.
constexpr double kPlainPatience = 0.6;

// Least time that must be left for a further attempt.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(40);

// First status of an endpoint's own failures.
constexpr int kServerError = 500;

bool IsStream(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_STREAM;
}

bool IsRepeatable(const RelayCall& call) {
  return call.m_route->kind() == schema::REPEAT_ALLOWED ||
         (IsStream(call) && call.m_route->resumable());
}

BalanceEndpoint* FindEndpoint(RelayState& state, const std::string& id) {
  const auto found = state.m_balance.m_endpoints.find(id);
  return found == state.m_balance.m_endpoints.end() ? nullptr : &found->second;
}

// Whether a request that may have run may run once more.
bool MayRunAgain(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  return IsRepeatable(call) && call.m_runs < call.m_route->max_attempts() &&
         call.m_sends < kMaxSends && call.m_deadline - now > kMinTimeLeft &&
         TakeResend(state.m_resends, call.m_service, now);
}

// Whether a request that an endpoint rejected may be sent once more.
bool MaySendAgain(RelayState& state, const RelayCall& call) {
  const Instant now = state.m_clock();
  return call.m_sends + call.m_prefills <= kMaxSends &&
         call.m_deadline - now > kMinTimeLeft &&
         TakeResend(state.m_resends, call.m_service, now);
}

// Ends the accounting of the current attempt and leaves it without a call.
void SettleAttempt(RelayState& state, RelayCall& call) {
  RunAttempt& attempt = call.m_attempt;
  attempt.m_call = 0;
  OnPrefillDone(state.m_balance, attempt.m_endpoint, attempt.m_work_ms);
  attempt.m_work_ms = 0;
  OnRunEnded(state.m_balance, attempt.m_endpoint);
}

void LogFailure(const RelayState& state, const RelayCall& call,
                std::string_view what, const HttpResult& result) {
  LogLine("attempt_failed")
      .Add("request", call.m_terms.m_attempt)
      .Add("stage", ToName(call.m_stage))
      .Add("endpoint", call.m_attempt.m_endpoint)
      .Add("what", what)
      .Add("status", call.m_attempt.m_status)
      .Add("error", result.m_error ? result.m_error.message() : "none")
      .Add("sent", result.m_sent ? 1 : 0)
      .AddMs("after_ms", state.m_clock() - call.m_attempt.m_sent);
}

// Notes that an endpoint broke off while it ran the request.
void NoteCrash(RelayState& state, const RelayCall& call) {
  const BalanceEndpoint* endpoint =
      FindEndpoint(state, call.m_attempt.m_endpoint);
  schema::CrashReport report;
  report.set_fingerprint(call.m_fingerprint);
  report.set_endpoint(call.m_attempt.m_endpoint);
  if (endpoint != nullptr) report.set_born_ms(endpoint->m_born_ms);
  if (state.m_on_crash) state.m_on_crash(report);
}

// Fills in the call to an endpoint.
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
  http.m_body = call.m_request.m_body;
  http.m_connect_timeout = state.m_options.m_connect_time;
  http.m_max_body = IsStream(call) ? 0 : kMaxAnswerBytes;
  http.m_belongs = [format = state.m_format, attempt = call.m_terms.m_attempt](
                       const HttpFields& fields) {
    return format->MatchesAttempt(fields, attempt);
  };
  return http;
}

void BeginAttempt(RelayState& state, RelayCall& call,
                  const BalanceEndpoint& endpoint, double work_ms) {
  call.m_attempt = RunAttempt{};
  call.m_attempt.m_endpoint = endpoint.m_id;
  call.m_attempt.m_address = endpoint.m_address;
  call.m_attempt.m_sent = state.m_clock();
  call.m_attempt.m_work_ms = work_ms;
  OnRunSent(state.m_balance, endpoint.m_id, work_ms);
}

void SendRun(RelayState& state, RelayCall& call, const std::string& id,
             double work_ms);

// The attempt is over and the request did not run there.
void OnNotRun(RelayState& state, RelayCall& call) {
  call.m_query.m_excluded.push_back(call.m_attempt.m_endpoint);
  if (call.m_stage == CallStage::kRun && call.m_runs > 0) --call.m_runs;
  call.m_source.reset();
  if (MaySendAgain(state, call)) {
    ++state.m_counters.m_resends;
    StartCall(state, call);
  } else {
    FinishFailed(state, call, EndReason::kRejected);
  }
}

// The attempt is over and the request may have run there.
void OnMayHaveRun(RelayState& state, RelayCall& call) {
  ++state.m_counters.m_failures;
  call.m_query.m_excluded.push_back(call.m_attempt.m_endpoint);
  call.m_source.reset();
  if (MayRunAgain(state, call)) {
    ++state.m_counters.m_resends;
    if (call.m_started) ++state.m_counters.m_resumed;
    StartCall(state, call);
  } else {
    FinishFailed(state, call, EndReason::kEndpointFailed);
  }
}

// Passes an event on. Returns false if the stream cannot go on.
bool DeliverEvent(RelayState& state, RelayCall& call, const CutEvent& event) {
  if (event.m_id && call.m_last_event && call.m_events > 0) {
    if (*event.m_id <= *call.m_last_event) return true;  // A repeat.
    if (*event.m_id != *call.m_last_event + 1) return false;
  }
  if (!call.m_started) {
    call.m_started = true;
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

// Notes the first event of an attempt.
void OnFirstSign(RelayState& state, RelayCall& call) {
  RunAttempt& attempt = call.m_attempt;
  OnPrefillDone(state.m_balance, attempt.m_endpoint, attempt.m_work_ms);
  if (!call.m_source) {
    const std::chrono::duration<double, std::milli> took =
        state.m_clock() - attempt.m_sent;
    OnPrefillTimed(state.m_balance, attempt.m_endpoint,
                   {0, attempt.m_work_ms, took.count()}, state.m_clock());
  }
  attempt.m_work_ms = 0;
  OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
  call.m_source.reset();  // It has been taken.
  CountUsage(state, call, state.m_clock());
}

bool PassesEvents(const RunAttempt& attempt) {
  constexpr int kOk = 200;
  return attempt.m_status == kOk && attempt.m_terms.m_is_stream;
}

void OnRunHead(RelayState& state, RelayCall& call, int status,
               const HttpFields& fields) {
  RunAttempt& attempt = call.m_attempt;
  attempt.m_status = status;
  attempt.m_fields = fields;
  attempt.m_terms = state.m_format->ParseResponseMetadata(status, fields);
}

void OnRunEnd(RelayState& state, RelayCall& call, const HttpResult& result,
              bool signalled);

// Ends an attempt whose endpoint sends more than an answer can hold.
void BreakRun(RelayState& state, RelayCall& call, bool signalled) {
  state.m_endpoints->Cancel(call.m_attempt.m_call);
  OnRunEnd(state, call, {HttpError::kTooLarge, call.m_attempt.m_status, true},
           signalled);
}

void OnRunBody(RelayState& state, RelayCall& call, std::string_view bytes,
               bool* signalled) {
  RunAttempt& attempt = call.m_attempt;
  if (!PassesEvents(attempt)) {
    attempt.m_body.append(bytes);
    if (attempt.m_body.size() > kMaxAnswerBytes) {
      BreakRun(state, call, *signalled);
    }
    return;
  }
  for (const CutEvent& event : attempt.m_cutter.Feed(bytes)) {
    if (!*signalled) OnFirstSign(state, call);
    *signalled = true;
    if (!DeliverEvent(state, call, event)) {
      FinishFailed(state, call, EndReason::kEndpointFailed);
      return;
    }
  }
  if (attempt.m_cutter.IsTooLarge()) {
    BreakRun(state, call, *signalled);
    return;
  }
  if (state.m_backlog && state.m_backlog(call.m_id) > kMaxBacklogBytes) {
    FinishFailed(state, call, EndReason::kSlowCaller);
  }
}

// Notes at the endpoint why it did not take the request.
void NoteRejection(RelayState& state, const RunAttempt& attempt,
                   const HttpResult& result) {
  const Instant now = state.m_clock();
  if (!result.m_error && attempt.m_terms.m_wrong_endpoint) {
    OnEndpointReplaced(state.m_balance, attempt.m_endpoint, now);
  } else if (!result.m_error && attempt.m_terms.m_not_run) {
    OnEndpointFull(state.m_balance, attempt.m_endpoint, now);
  } else {
    OnEndpointFailed(state.m_balance, attempt.m_endpoint, now);
  }
}

// An endpoint rejected the request before it ran.
void OnRejected(RelayState& state, RelayCall& call, const HttpResult& result) {
  ++state.m_counters.m_not_run;
  LogFailure(state, call, "rejected", result);
  NoteRejection(state, call.m_attempt, result);
  OnNotRun(state, call);
}

void OnStreamComplete(RelayState& state, RelayCall& call) {
  if (!call.m_started) {
    call.m_started = true;
    state.m_callers->StartStream(
        call.m_id, call.m_attempt.m_status,
        state.m_format->CallerFields(call.m_attempt.m_fields));
  }
  FinishEvents(state, call);
}

void OnWholeAnswer(RelayState& state, RelayCall& call,
                   const HttpResult& result) {
  const RunAttempt& attempt = call.m_attempt;
  OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
  CountUsage(state, call, attempt.m_sent);
  if (attempt.m_status >= kServerError && MayRunAgain(state, call)) {
    LogFailure(state, call, "server_error", result);
    call.m_query.m_excluded.push_back(attempt.m_endpoint);
    ++state.m_counters.m_resends;
    StartCall(state, call);
    return;
  }
  if (call.m_started) {
    FinishFailed(state, call, EndReason::kEndpointFailed);
  } else {
    FinishAnswer(state, call);
  }
}

void OnRunBroken(RelayState& state, RelayCall& call, const HttpResult& result,
                 bool signalled) {
  LogFailure(state, call, "broken", result);
  OnEndpointFailed(state.m_balance, call.m_attempt.m_endpoint, state.m_clock());
  if (!result.m_sent) {
    OnNotRun(state, call);
    return;
  }
  const bool crashed = call.m_attempt.m_status == 0 &&
                       result.m_error == HttpError::kConnectionLost;
  if (crashed) NoteCrash(state, call);
  // Most runs whose answer is lost have begun; only those of a crashed endpoint
  // that still read their prompt have not.
  if (!signalled) CountUsage(state, call, call.m_attempt.m_sent);
  OnMayHaveRun(state, call);
}

void OnRunEnd(RelayState& state, RelayCall& call, const HttpResult& result,
              bool signalled) {
  SettleAttempt(state, call);
  const RunAttempt& attempt = call.m_attempt;
  if (result.m_error || attempt.m_cutter.HasPartial()) {
    OnRunBroken(state, call, result, signalled);
  } else if (attempt.m_terms.m_not_run) {
    OnRejected(state, call, result);
  } else if (!PassesEvents(attempt)) {
    OnWholeAnswer(state, call, result);
  } else {
    OnStreamComplete(state, call);
  }
}

void SendRun(RelayState& state, RelayCall& call, const std::string& id,
             double work_ms) {
  const BalanceEndpoint& endpoint = *FindEndpoint(state, id);
  BeginAttempt(state, call, endpoint, work_ms);
  call.m_stage = CallStage::kRun;
  ++call.m_sends;
  ++call.m_runs;
  ++state.m_counters.m_sends;
  UpstreamMetadata terms;
  terms.m_source = call.m_source;
  if (call.m_started) terms.m_resume_after = call.m_last_event;
  HttpCall http = MakeEndpointCall(state, call, endpoint, std::move(terms));
  const std::uint64_t key = call.m_id;
  auto signalled = std::make_shared<bool>(false);
  HttpEvents events;
  events.m_on_head = [&state, key](int status, const HttpFields& fields) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunHead(state, *found, status, fields);
  };
  events.m_on_body = [&state, key, signalled](std::string_view bytes) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunBody(state, *found, bytes, signalled.get());
  };
  events.m_on_end = [&state, key, signalled](const HttpResult& result) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunEnd(state, *found, result, *signalled);
  };
  call.m_attempt.m_call =
      state.m_endpoints->Start(std::move(http), std::move(events));
}

// Runs the request at a decode endpoint, with the KV cache that was read.
void RunFromCache(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  std::string decode = call.m_planned_decode;
  const BalanceEndpoint* planned = FindEndpoint(state, decode);
  const bool usable = planned != nullptr && !planned->m_draining &&
                      now >= planned->m_avoid_until &&
                      now >= planned->m_full_until;
  if (!usable) {
    const auto other = ChooseDecode(state.m_balance, call.m_query, now);
    if (!other) {
      ReleaseSource(state, call);
      FinishFailed(state, call, EndReason::kNoEndpoint);
      return;
    }
    decode = *other;
  }
  SendRun(state, call, decode, 0);
}

void OnPrefillEnd(RelayState& state, RelayCall& call, const HttpResult& result,
                  double work_tokens) {
  RunAttempt& attempt = call.m_attempt;
  const double work_ms = attempt.m_work_ms;
  SettleAttempt(state, call);
  constexpr int kOk = 200;
  const auto read = !result.m_error && attempt.m_status == kOk
                        ? state.m_format->ParsePrefillResult(attempt.m_body)
                        : std::nullopt;
  call.m_query.m_allow_split = false;
  if (read) {
    OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
    const std::chrono::duration<double, std::milli> took =
        state.m_clock() - attempt.m_sent;
    OnPrefillTimed(state.m_balance, attempt.m_endpoint,
                   {work_tokens, work_ms, took.count()}, state.m_clock());
    call.m_source = CacheSource{attempt.m_address, read->m_handle};
    RunFromCache(state, call);
    return;
  }
  LogFailure(state, call, "prefill", result);
  NoteRejection(state, attempt, result);
  // Reading a prompt is no run: the request goes on without it. A call that
  // arrived and brought nothing counts as a repeated send.
  if (result.m_sent &&
      !TakeResend(state.m_resends, call.m_service, state.m_clock())) {
    FinishFailed(state, call, EndReason::kRejected);
    return;
  }
  StartCall(state, call);
}

void SendPrefill(RelayState& state, RelayCall& call,
                 const BalanceChoice& choice) {
  const BalanceEndpoint& endpoint = *FindEndpoint(state, choice.m_prefill);
  BeginAttempt(state, call, endpoint, choice.m_work_ms);
  call.m_stage = CallStage::kPrefill;
  call.m_planned_decode = choice.m_endpoint;
  ++call.m_prefills;
  ++state.m_counters.m_prefills;
  UpstreamMetadata terms;
  terms.m_prefill_only = true;
  HttpCall http = MakeEndpointCall(state, call, endpoint, std::move(terms));
  http.m_max_body = kMaxPrefillAnswer;
  const std::uint64_t key = call.m_id;
  const double tokens = choice.m_reason == BalanceReason::kAffinity
                            ? call.m_query.m_own_tokens
                            : 0;
  HttpEvents events;
  events.m_on_head = [&state, key](int status, const HttpFields& fields) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnRunHead(state, *found, status, fields);
  };
  events.m_on_body = [&state, key](std::string_view bytes) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) found->m_attempt.m_body.append(bytes);
  };
  events.m_on_end = [&state, key, tokens](const HttpResult& result) {
    RelayCall* found = FindRelayCall(state, key);
    if (found != nullptr) OnPrefillEnd(state, *found, result, tokens);
  };
  call.m_attempt.m_call =
      state.m_endpoints->Start(std::move(http), std::move(events));
}

// Whether the attempt has been silent for so long that it is given up.
bool IsLost(RelayState& state, const RelayCall& call, Instant now) {
  const Duration silent = now - call.m_attempt.m_sent;
  if (!IsStream(call)) {
    constexpr double kMicrosPerMs = 1000;
    return silent >
           Duration(static_cast<std::int64_t>(call.m_route->target_ms() *
                                              kPlainPatience * kMicrosPerMs));
  }
  if (silent > kLongPatience) return true;
  const BalanceEndpoint* endpoint =
      FindEndpoint(state, call.m_attempt.m_endpoint);
  if (endpoint == nullptr) return silent > kDeadSilence;
  return silent > kDeadSilence && now - endpoint->m_last_sign > kDeadSilence;
}

}  // namespace

void StartCall(RelayState& state, RelayCall& call) {
  const Instant now = state.m_clock();
  // A resumed stream needs its prompt and what it has produced; a read of the
  // prompt alone is not worth a second move.
  if (call.m_started) call.m_query.m_allow_split = false;
  const auto choice = ChooseRun(state.m_balance, call.m_query, now);
  if (!choice) {
    call.m_stage = CallStage::kWaiting;
    const bool resumes = call.m_started;
    if (!resumes && now >= call.m_wait_until) {
      FinishFailed(state, call, EndReason::kNoEndpoint);
    }
    return;
  }
  LogLine("endpoint_chosen")
      .Add("request", call.m_terms.m_attempt)
      .Add("service", call.m_service)
      .Add("endpoint", choice->m_endpoint)
      .Add("prefill", choice->m_prefill)
      .Add("reason", ToName(choice->m_reason))
      .Add("estimate_ms", static_cast<std::int64_t>(choice->m_estimate_ms))
      .Add("shared", static_cast<std::int64_t>(call.m_query.m_shared_tokens))
      .Add("own", static_cast<std::int64_t>(call.m_query.m_own_tokens))
      .Add("send", call.m_sends + 1)
      .AddMs("waited_ms", now - call.m_arrived);
  if (choice->m_prefill.empty()) {
    SendRun(state, call, choice->m_endpoint, choice->m_work_ms);
  } else {
    SendPrefill(state, call, *choice);
  }
}

void CheckSilence(RelayState& state, RelayCall& call) {
  RunAttempt& attempt = call.m_attempt;
  if (attempt.m_call == 0 || attempt.m_status != 0) return;
  const Instant now = state.m_clock();
  if (!IsLost(state, call, now)) return;
  const HttpResult result{HttpError::kSilent, 0, true};
  if (call.m_stage == CallStage::kPrefill) {
    state.m_endpoints->Cancel(attempt.m_call);
    OnPrefillEnd(state, call, result, 0);
    return;
  }
  if (!MayRunAgain(state, call)) return;
  LogFailure(state, call, "silent", result);
  state.m_endpoints->Cancel(attempt.m_call);
  SettleAttempt(state, call);
  OnEndpointFailed(state.m_balance, attempt.m_endpoint, now);
  call.m_query.m_excluded.push_back(attempt.m_endpoint);
  call.m_source.reset();
  ++state.m_counters.m_resends;
  StartCall(state, call);
}

}  // namespace comfreypaddle
