#include "attempt.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "dispatch.h"
#include "forward.h"
#include "http.pb.h"
#include "json.h"
#include "probe.h"

namespace comfreypaddle {

namespace {

// Tokens after which the isolation of a suspected request ends: it has passed
// the position at which the last endpoint crashed, and the next suspect may be
// dispatched. The crash counts against the request until it completes.
constexpr std::uint64_t kIsolationTokens = 3;

// Maximum number of bytes kept of an endpoint's error response.
constexpr std::size_t kMaxErrorBytes = 4096;

// Timeout of the call that cancels a stream at an endpoint.
constexpr Duration kCancelTimeout = std::chrono::seconds(2);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

std::string BaseUrl(const CallState& state, std::string_view endpoint) {
  const auto found = state.m_tables.m_endpoints.find(endpoint);
  if (found == state.m_tables.m_endpoints.end()) return "http://0.0.0.0:1";
  return "http://" + found->second.m_value.m_address;
}

FailureKind ToFailure(const HttpResult& result) {
  if (!result.m_sent) return FailureKind::kConnectFailed;
  if (result.m_error == HttpError::kInactivityTimeout)
    return FailureKind::kSilent;
  if (result.m_error == HttpError::kTimeout) return FailureKind::kTimeout;
  return FailureKind::kConnectionLost;
}

// Whether the endpoint's error response states that the request was not
// executed.
bool StatesNotExecuted(const OpenCall& call) {
  if (FindField(call.m_response_headers, "x-outcome") ==
      ToName(Outcome::kNotRun)) {
    return true;
  }
  schema::Problem problem;
  if (FromJson(call.m_error_body, UnknownFields::kIgnore, &problem)) {
    return false;
  }
  return problem.outcome() == ToName(Outcome::kNotRun);
}

// Cancels the call's stream at its engine.
void CancelStream(CallState& state, const OpenCall& call) {
  if (call.m_validated_request.m_kind != FleetKind::kEngine) return;
  HttpCall http;
  http.m_method = "DELETE";
  http.m_url = BaseUrl(state, call.m_choice.m_endpoint) + "/v1/streams/" +
               PercentEncode(call.m_endpoint_id);
  http.m_connect_timeout = state.m_options.m_connect_timeout;
  http.m_timeout = kCancelTimeout;
  state.m_endpoints->Start(std::move(http), {});
}

// Ends the isolation of a suspected request, so that its endpoint accepts other
// requests again.
void StopIsolation(CallState& state, OpenCall& call) {
  if (!call.m_isolated) return;
  call.m_isolated = false;
  EndIsolation(state.m_route, call.m_choice.m_endpoint);
}

// Removes a failed attempt from the load of its endpoint.
void ReleaseEndpoint(CallState& state, OpenCall& call, FailureKind kind) {
  if (!call.m_counted_at_endpoint) return;
  call.m_counted_at_endpoint = false;
  StopIsolation(state, call);
  OnFailed(state.m_route, call.m_choice.m_endpoint, call.m_choice.m_work, kind,
           state.m_clock());
}

// Whether only a probe can tell if the endpoint has crashed. An engine that
// crashes may answer a probe before it stops listening, so that a resume that
// finds it gone or restarted asks again.
bool NeedsProbe(const OpenCall& call, FailureKind kind) {
  if (call.m_validated_request.m_kind != FleetKind::kEngine) return false;
  if (kind == FailureKind::kConnectionLost) return true;
  return call.m_exchange.m_attempt.m_resume &&
         (kind == FailureKind::kConnectFailed ||
          kind == FailureKind::kStaleStream);
}

void FailAttempt(CallState& state, OpenCall& call, FailureKind kind) {
  state.m_endpoints->Cancel(call.m_http);
  call.m_http = 0;
  call.m_failure = kind;
  LOG(INFO) << "attempt failed request="
            << call.m_validated_request.m_request_id
            << " endpoint=" << call.m_choice.m_endpoint
            << " attempt=" << call.m_attempt << " failure=" << ToName(kind)
            << " position=" << call.m_exchange.m_position;
  if (NeedsProbe(call, kind)) {
    ProbeEndpoint(state, call);
    return;
  }
  HandleAttemptFailure(state, call, false);
}

// Sends the response head to the caller unless it was sent before.
void StartResponse(CallState& state, OpenCall& call, HttpFields headers,
                   int status) {
  if (call.m_response_started) return;
  call.m_response_started = true;
  headers.push_back({"X-Request-Id", call.m_validated_request.m_request_id});
  state.m_callers->StartStream(call.m_id, status, std::move(headers));
}

// Ends a call whose response is complete.
void CompleteCall(CallState& state, OpenCall& call) {
  ++state.m_counters.m_completed;
  const ValidatedRequest& intake = call.m_validated_request;
  if (call.m_counted_at_endpoint) {
    call.m_counted_at_endpoint = false;
    StopIsolation(state, call);
    OnFinished(state.m_route, call.m_choice.m_endpoint, call.m_choice.m_work,
               state.m_clock());
  }
  if (const auto usage = ExtractUsage(call.m_exchange)) {
    PendingUsage& pending = state.m_usage[{intake.m_workspace, intake.m_route}];
    ++pending.m_requests;
    pending.m_prompt_tokens += usage->m_prompt_tokens;
    pending.m_output_tokens += usage->m_output_tokens;
  }
  if (state.m_suspects.m_suspects.count(intake.m_fingerprint) != 0) {
    state.m_records->ReportSuspect(
        {intake.m_fingerprint, call.m_choice.m_endpoint, "", true});
  }
  const std::string fleet = intake.m_fleet;
  FinishCall(state, call, Outcome::kRan);
  DispatchQueue(state, fleet);
}

void CountToken(CallState& state, OpenCall& call) {
  ++state.m_counters.m_tokens;
  const Instant now = state.m_clock();
  if (call.m_exchange.m_position == 1) {
    state.m_timings.m_first_token.Add(now - call.m_exchange.m_accepted);
  } else {
    state.m_timings.m_token_gap.Add(now - call.m_last_token);
  }
  call.m_last_token = now;
}

void HandleToken(CallState& state, OpenCall& call, const SseEvent& event) {
  const auto text = TokenText(event.m_data);
  if (!text) {
    call.m_break_kind = FailureKind::kBadAnswer;
    return;
  }
  const EventVerdict verdict = OnToken(call.m_exchange, call.m_attempt,
                                       event.m_id, *text, state.m_clock());
  if (verdict == EventVerdict::kBroken)
    call.m_break_kind = FailureKind::kBadAnswer;
  if (verdict != EventVerdict::kPass) return;
  CountToken(state, call);
  if (!call.m_validated_request.m_completion.m_stream) return;
  StartResponse(
      state, call,
      {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}},
      kOk);
  state.m_callers->Write(
      call.m_id, CompletionChunk(call.m_validated_request.m_request_id,
                                 call.m_validated_request.m_completion.m_model,
                                 event.m_id, *text));
}

void HandleDone(CallState& state, OpenCall& call, const SseEvent& event) {
  const auto end = ParseGenerationEnd(event.m_data);
  if (!end) {
    call.m_break_kind = FailureKind::kBadAnswer;
    return;
  }
  TokenUsage usage;
  usage.m_prompt_tokens = end->m_tokens.m_prompt;
  usage.m_cached_tokens = end->m_tokens.m_cached;
  usage.m_output_tokens = end->m_tokens.m_output;
  usage.m_finish_reason = end->m_finish_reason;
  const EventVerdict verdict =
      OnDone(call.m_exchange, call.m_attempt, usage, state.m_clock());
  if (verdict == EventVerdict::kBroken)
    call.m_break_kind = FailureKind::kBadAnswer;
}

// Sends the caller the end of its stream, or the whole response, after the done
// event of the engine.
void RespondToCompletion(CallState& state, OpenCall& call) {
  const TokenUsage& usage = call.m_exchange.m_usage;
  GenerationEnd end;
  end.m_tokens.m_prompt = static_cast<std::uint32_t>(usage.m_prompt_tokens);
  end.m_tokens.m_cached = static_cast<std::uint32_t>(usage.m_cached_tokens);
  end.m_tokens.m_output = static_cast<std::uint32_t>(usage.m_output_tokens);
  end.m_finish_reason = usage.m_finish_reason;
  const std::string& id = call.m_validated_request.m_request_id;
  const std::string& model = call.m_validated_request.m_completion.m_model;
  if (call.m_validated_request.m_completion.m_stream) {
    StartResponse(
        state, call,
        {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}},
        kOk);
    state.m_callers->Write(call.m_id, CompletionStreamEnd(id, model, end));
    state.m_callers->FinishStream(call.m_id);
    return;
  }
  state.m_callers->Respond(
      call.m_id, kOk,
      {{"Content-Type", "application/json"}, {"X-Request-Id", id}},
      CompletionBody(id, model, call.m_exchange.m_text, end));
}

// Feeds an engine's bytes to the event parser. The call may be deleted on
// return.
void HandleStreamBytes(CallState& state, OpenCall& call,
                       std::string_view bytes) {
  const std::uint32_t attempt = call.m_attempt;
  OnActivity(call.m_exchange, attempt, state.m_clock());
  call.m_break_kind = FailureKind::kConnectionLost;
  if (!call.m_sse_parser->Feed(bytes))
    call.m_break_kind = FailureKind::kBadAnswer;
  if (call.m_isolated &&
      call.m_exchange.m_attempt.m_tokens >= kIsolationTokens) {
    StopIsolation(state, call);
    DispatchQueue(state, std::string(call.m_validated_request.m_fleet));
  }
  if (IsComplete(call.m_exchange)) {
    state.m_endpoints->Cancel(call.m_http);
    if (!call.m_exchange.m_streamed && !call.m_exchange.m_text_complete) {
      RejectCall(state, call, ProblemCode::kTooLarge, Outcome::kRan,
                 "The answer is too large to be sent whole; ask for a stream.");
      return;
    }
    RespondToCompletion(state, call);
    CompleteCall(state, call);
    return;
  }
  if (call.m_break_kind == FailureKind::kBadAnswer) {
    FailAttempt(state, call, FailureKind::kBadAnswer);
  }
}

void HandleHead(CallState& state, OpenCall& call, int status,
                const HttpFields& headers) {
  call.m_status = status;
  call.m_response_headers = headers;
  OnResponseHeader(call.m_exchange, call.m_attempt, {}, state.m_clock());
  if (call.m_validated_request.m_kind == FleetKind::kService &&
      status != kServiceUnavailable) {
    StartResponse(state, call, CallerHeaders(headers), status);
  }
}

void HandleBody(CallState& state, OpenCall& call, std::string_view bytes) {
  const bool engine = call.m_validated_request.m_kind == FleetKind::kEngine;
  if (engine && call.m_status == kOk) {
    HandleStreamBytes(state, call, bytes);
    return;
  }
  if (call.m_response_started && !engine) {
    OnBody(call.m_exchange, call.m_attempt, state.m_clock());
    state.m_callers->Write(call.m_id, bytes);
    return;
  }
  const std::size_t room = kMaxErrorBytes - call.m_error_body.size();
  call.m_error_body.append(bytes.substr(0, room));
}

// Classifies a complete response that is not a stream.
void HandleErrorResponse(CallState& state, OpenCall& call) {
  if (call.m_status == kNotFound && call.m_exchange.m_attempt.m_resume) {
    FailAttempt(state, call, FailureKind::kStaleStream);
  } else if (StatesNotExecuted(call)) {
    FailAttempt(state, call, FailureKind::kRefusedNotRun);
  } else {
    FailAttempt(state, call, FailureKind::kAnsweredError);
  }
}

void HandleEnd(CallState& state, OpenCall& call, const HttpResult& result) {
  call.m_http = 0;
  const bool engine = call.m_validated_request.m_kind == FleetKind::kEngine;
  if (result.m_error) {
    FailAttempt(state, call, ToFailure(result));
    return;
  }
  if (engine && call.m_status == kOk) {
    FailAttempt(state, call, FailureKind::kConnectionLost);
    return;
  }
  if (engine || !call.m_response_started) {
    HandleErrorResponse(state, call);
    return;
  }
  OnBodyEnd(call.m_exchange, call.m_attempt, state.m_clock());
  state.m_callers->FinishStream(call.m_id);
  CompleteCall(state, call);
}

// Callbacks look the call up again, because it may have ended, and ignore
// events of earlier attempts.
HttpEvents EventsOf(CallState& state, std::uint64_t id, std::uint32_t attempt) {
  const auto find = [&state, id, attempt]() -> OpenCall* {
    OpenCall* call = FindCall(state, id);
    return call != nullptr && call->m_attempt == attempt ? call : nullptr;
  };
  HttpEvents events;
  events.m_on_head = [&state, find](int status, const HttpFields& headers) {
    if (OpenCall* call = find()) HandleHead(state, *call, status, headers);
  };
  events.m_on_body = [&state, find](std::string_view bytes) {
    if (OpenCall* call = find()) HandleBody(state, *call, bytes);
  };
  events.m_on_end = [&state, find](const HttpResult& result) {
    if (OpenCall* call = find()) HandleEnd(state, *call, result);
  };
  return events;
}

// Starts an attempt at the chosen endpoint with this HTTP call.
void Send(CallState& state, OpenCall& call, HttpCall http, bool resume) {
  const Instant now = state.m_clock();
  call.m_phase = CallPhase::kRunning;
  call.m_attempt =
      StartAttempt(call.m_exchange, call.m_choice.m_endpoint, resume, now);
  call.m_status = 0;
  call.m_response_headers.clear();
  call.m_error_body.clear();
  const std::uint64_t id = call.m_id;
  call.m_sse_parser =
      std::make_unique<SseParser>([&state, id](const SseEvent& event) {
        OpenCall& owner = *FindCall(state, id);
        if (event.m_event == "done") {
          HandleDone(state, owner, event);
        } else if (event.m_event.empty() &&
                   owner.m_break_kind != FailureKind::kBadAnswer) {
          HandleToken(state, owner, event);
        }
      });
  http.m_connect_timeout = state.m_options.m_connect_timeout;
  http.m_timeout = std::max(call.m_deadline - now, Duration(1000));
  // A connection that carried an earlier attempt may bring a copy of its
  // response.
  if (call.m_attempt > 1) http.m_force_new_connection = true;
  OnSending(call.m_exchange, call.m_attempt);
  call.m_http = state.m_endpoints->Start(std::move(http),
                                         EventsOf(state, id, call.m_attempt));
}

HttpCall EngineCall(const CallState& state, const OpenCall& call) {
  const Exchange& exchange = call.m_exchange;
  HttpCall http;
  http.m_method = "POST";
  http.m_url = BaseUrl(state, call.m_choice.m_endpoint) + "/v1/generate";
  http.m_headers = {{"content-type", "application/json"},
                    {"accept", "text/event-stream"}};
  http.m_body = GenerateBody(
      call.m_validated_request.m_completion,
      call.m_validated_request.m_engine_model, call.m_endpoint_id,
      call.m_validated_request.m_priority,
      static_cast<std::uint32_t>(exchange.m_position), exchange.m_text);
  http.m_inactivity_timeout = state.m_options.m_inactivity_timeout;
  return http;
}

HttpCall ServiceCall(const CallState& state, const OpenCall& call) {
  HttpCall http;
  http.m_method = call.m_request.m_method;
  http.m_url =
      BaseUrl(state, call.m_choice.m_endpoint) + EndpointTarget(call.m_request);
  http.m_headers = EndpointHeaders(call.m_request, call.m_endpoint_id);
  http.m_shared_body = call.m_body;
  http.m_max_body_bytes = 0;  // Not limited: it is forwarded as it arrives.
  http.m_force_new_connection = !call.m_validated_request.m_repeatable;
  return http;
}

// Forwards the error response of an endpoint.
void ForwardErrorResponse(CallState& state, OpenCall& call, Outcome outcome) {
  HttpFields headers = CallerHeaders(call.m_response_headers);
  headers.push_back({"X-Request-Id", call.m_validated_request.m_request_id});
  state.m_callers->Respond(call.m_id, call.m_status, std::move(headers),
                           call.m_error_body);
  FinishCall(state, call, outcome);
}

void GiveUp(CallState& state, OpenCall& call, const RetryDecision& decision) {
  ++state.m_counters.m_failed;
  if (call.m_failure == FailureKind::kAnsweredError &&
      !call.m_response_started) {
    const std::string fleet = call.m_validated_request.m_fleet;
    ForwardErrorResponse(state, call, decision.m_outcome);
    DispatchQueue(state, fleet);
    return;
  }
  ProblemCode code = ProblemCode::kEndpointFailed;
  if (decision.m_reason == RetryReason::kDeadline) {
    code = ProblemCode::kTimeout;
  } else if (decision.m_reason == RetryReason::kPoison) {
    code = ProblemCode::kSuspect;
  } else if (decision.m_reason == RetryReason::kWorkspaceBudget ||
             decision.m_reason == RetryReason::kInstanceBudget) {
    code = ProblemCode::kRetryBudget;
  } else if (call.m_failure == FailureKind::kRefusedNotRun ||
             call.m_failure == FailureKind::kAnsweredError) {
    code = ProblemCode::kEndpointRefused;
  }
  const std::string fleet = call.m_validated_request.m_fleet;
  RejectCall(state, call, code, decision.m_outcome,
             std::string("The endpoint failed: ") +
                 std::string(ToName(call.m_failure)) + ", " +
                 std::string(ToName(decision.m_reason)) + ".");
  DispatchQueue(state, fleet);
}

}  // namespace

void LaunchAttempt(CallState& state, OpenCall& call,
                   const RouteChoice& choice) {
  if (call.m_exchange.m_attempts == 0) {
    state.m_timings.m_queue.Add(state.m_clock() - call.m_exchange.m_accepted);
  }
  call.m_choice = choice;
  call.m_counted_at_endpoint = true;
  call.m_endpoint_id =
      call.m_stream_id + "." + std::to_string(call.m_exchange.m_attempts + 1);
  OnSent(state.m_route, choice.m_endpoint, choice.m_work, call.m_isolated,
         state.m_clock());
  LOG(INFO) << "routed request=" << call.m_validated_request.m_request_id
            << " stream=" << call.m_stream_id
            << " workspace=" << call.m_validated_request.m_workspace
            << " route=" << call.m_validated_request.m_route
            << " endpoint=" << choice.m_endpoint
            << " reason=" << ToName(choice.m_reason)
            << " work=" << choice.m_work
            << " endpoint_work=" << choice.m_endpoint_work
            << " attempt=" << call.m_exchange.m_attempts + 1
            << " position=" << call.m_exchange.m_position;
  const bool engine = call.m_validated_request.m_kind == FleetKind::kEngine;
  Send(state, call, engine ? EngineCall(state, call) : ServiceCall(state, call),
       false);
}

// Never uses a pooled connection, which may be dead in the same way as the
// silent one.
void LaunchResume(CallState& state, OpenCall& call) {
  ++state.m_counters.m_resumes;
  HttpCall http;
  http.m_method = "POST";
  http.m_url = BaseUrl(state, call.m_choice.m_endpoint) + "/v1/streams/" +
               PercentEncode(call.m_endpoint_id) +
               "/resume?from=" + std::to_string(call.m_exchange.m_position);
  http.m_inactivity_timeout = state.m_options.m_inactivity_timeout;
  http.m_force_new_connection = true;
  LOG(INFO) << "resuming request=" << call.m_validated_request.m_request_id
            << " endpoint=" << call.m_choice.m_endpoint
            << " position=" << call.m_exchange.m_position;
  Send(state, call, std::move(http), true);
}

void HandleAttemptFailure(CallState& state, OpenCall& call,
                          bool endpoint_crashed) {
  if (endpoint_crashed) call.m_failure = FailureKind::kCrashed;
  const Instant now = state.m_clock();
  auto failure =
      OnAttemptFailed(call.m_exchange, call.m_attempt, call.m_failure);
  if (!failure) return;
  const EndpointView* endpoint =
      FindEndpoint(state.m_route, call.m_choice.m_endpoint);
  failure->m_endpoint_leaving = endpoint == nullptr || IsLeaving(*endpoint);
  failure->m_poison =
      ChooseSuspectAction(state.m_suspects,
                          call.m_validated_request.m_fingerprint,
                          now) == SuspectAction::kRefuse;
  const RetryDecision decision = DecideRetry(state.m_retry, *failure, now);
  LOG(INFO) << "retry decision request="
            << call.m_validated_request.m_request_id
            << " failure=" << ToName(call.m_failure)
            << " action=" << ToName(decision.m_action)
            << " reason=" << ToName(decision.m_reason);
  if (decision.m_action == RetryAction::kGiveUp) {
    ReleaseEndpoint(state, call, call.m_failure);
    GiveUp(state, call, decision);
    return;
  }
  call.m_phase = CallPhase::kPausing;
  call.m_resume_at = now + decision.m_wait;
  call.m_resume = decision.m_action == RetryAction::kResume;
  if (!call.m_resume) {
    ++state.m_counters.m_retries;
    ReleaseEndpoint(state, call, call.m_failure);
    if (call.m_failure == FailureKind::kSilent ||
        call.m_failure == FailureKind::kBadAnswer) {
      CancelStream(state, call);
    }
    call.m_excluded.push_back(call.m_choice.m_endpoint);
  }
  if (decision.m_wait.count() == 0) OnTick(state);
}

void CancelAttempt(CallState& state, OpenCall& call) {
  if (call.m_http != 0) state.m_endpoints->Cancel(call.m_http);
  call.m_http = 0;
  if (!call.m_counted_at_endpoint) return;
  call.m_counted_at_endpoint = false;
  StopIsolation(state, call);
  OnCancelled(state.m_route, call.m_choice.m_endpoint, call.m_choice.m_work,
              state.m_clock());
  CancelStream(state, call);
}

}  // namespace comfreypaddle
