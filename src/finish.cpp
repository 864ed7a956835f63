#include "finish.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "attemptlog.h"
#include "eventlog.h"
#include "hedgedcall.h"
#include "refusal.h"
#include "silencewatch.h"

namespace comfreypaddle {

namespace {

constexpr int kTooManyRequests = 429;  // Not executed.
constexpr int kUnavailable = 503;      // Not executed.
constexpr int kBadGateway = 502;       // May have been executed.
constexpr int kGatewayTimeout = 504;

// Timeout of the call that releases a KV cache.
constexpr Duration kReleaseTimeout = std::chrono::seconds(1);

std::string SecondsText(Duration time) {
  std::array<char, 32> text;
  const int size = std::snprintf(text.data(), text.size(), "%.2f",
                                 std::chrono::duration<double>(time).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

int StatusOf(EndReason reason, bool may_have_run) {
  if (reason == EndReason::kNoRoute) return 404;
  if (reason == EndReason::kBadKey) return 401;
  if (reason == EndReason::kAllotment ||
      reason == EndReason::kAllotmentTooSmall) {
    return kTooManyRequests;
  }
  if (!may_have_run) return kUnavailable;
  return reason == EndReason::kDeadline ? kGatewayTimeout : kBadGateway;
}

HttpFields ErrorFields(const RelayState& state, int status,
                       const std::string& attempt,
                       std::optional<Duration> retry_after) {
  HttpFields fields = state.m_format->LocalResponseFields(attempt);
  const bool may_return = status == kUnavailable || status == kTooManyRequests;
  if (may_return && retry_after) {
    fields.push_back({"Retry-After", SecondsText(*retry_after)});
  }
  return fields;
}

// Delay that the caller of a refused request is told. Where no backlog is
// known, that of the settings.
Duration RetryAfterOf(const RelayState& state, const RelayCall& call) {
  const Duration backlog =
      std::max(call.m_backlog, state.m_options.m_retry_after);
  return ChooseRetryAfter(backlog, call.m_deadline - state.m_clock(),
                          call.m_query.m_tie_break_seed);
}

// Logs the end of a request and deletes it.
void CloseCall(RelayState& state, RelayCall& call, EndReason reason,
               int status) {
  const Instant now = state.m_clock();
  RefundAllotment(state, call);
  EndHedging(state, call, reason);
  ++state.m_counters.m_ends[reason];
  state.m_counters.m_total.Add(now - call.m_arrived);
  LogLine line("request_end");
  line.Add("request", call.m_metadata.m_attempt)
      .Add("reason", ToName(reason))
      .Add("status", status)
      .Add("stage", ToName(call.m_stage))
      .Add("route", call.m_route->name())
      .Add("workspace", call.m_workspace)
      .Add("endpoint", call.m_attempt.m_endpoint)
      .Add("prefills", call.m_prefills)
      .Add("sends", call.m_sends)
      .Add("may_have_run", call.m_runs)
      .Add("events", call.m_events)
      .AddMs("total_ms", now - call.m_arrived)
      .AddMs("left_ms", call.m_deadline - now)
      .Add("catalog",
           static_cast<std::int64_t>(call.m_catalog->Message().version()));
  if (!call.m_metadata.m_resumed_attempt.empty()) {
    line.Add("resumes", call.m_metadata.m_resumed_attempt);
  }
  AddConnection(call.m_attempt, &line);
  if (call.m_events > 0) {
    line.AddMs("first_ms", call.m_first_event - call.m_arrived);
  }
  RemoveWaiting(state.m_queue, call.m_id);
  state.m_calls.erase(call.m_id);
}

// Responds to a request that was not accepted, and logs it.
void Refuse(RelayState& state, const HttpRequest& request,
            const RequestMetadata& terms, EndReason reason,
            std::optional<Duration> retry_after) {
  const int status = StatusOf(reason, false);
  ++state.m_counters.m_ends[reason];
  LogLine("request_refused")
      .Add("request", terms.m_attempt)
      .Add("reason", ToName(reason))
      .Add("status", status)
      .Add("host", terms.m_host)
      .Add("target", std::string_view(request.m_target).substr(0, 80))
      .Add("catalog", state.m_catalog == nullptr
                          ? -1
                          : static_cast<std::int64_t>(
                                state.m_catalog->Message().version()));
  state.m_callers->Respond(
      request.m_id, status,
      ErrorFields(state, status, terms.m_attempt, retry_after), "");
}

}  // namespace

RelayCall* FindRelayCall(RelayState& state, std::uint64_t id) {
  const auto found = state.m_calls.find(id);
  return found == state.m_calls.end() ? nullptr : found->second.get();
}

void FinishBufferedResponse(RelayState& state, RelayCall& call) {
  EndpointAttempt& attempt = call.m_attempt;
  state.m_counters.m_first_answer.Add(state.m_clock() - call.m_arrived);
  state.m_callers->Respond(call.m_id, attempt.m_status,
                           state.m_format->CallerFields(attempt.m_fields),
                           std::move(attempt.m_body));
  CloseCall(state, call, EndReason::kAnswered, attempt.m_status);
}

void FinishStreamedResponse(RelayState& state, RelayCall& call) {
  state.m_callers->FinishStream(call.m_id);
  CloseCall(state, call, EndReason::kAnswered, call.m_attempt.m_status);
}

void FinishFailed(RelayState& state, RelayCall& call, EndReason reason) {
  CancelAttempt(state, call);
  const int status = StatusOf(reason, call.m_runs > 0);
  if (call.m_response_started) {
    state.m_callers->Abort(call.m_id);
  } else {
    state.m_callers->Respond(
        call.m_id, status,
        ErrorFields(state, status, call.m_metadata.m_attempt,
                    RetryAfterOf(state, call)),
        "");
  }
  CloseCall(state, call, reason, call.m_response_started ? 0 : status);
}

void FinishDisconnected(RelayState& state, RelayCall& call) {
  CancelAttempt(state, call);
  CloseCall(state, call, EndReason::kCallerLeft, 0);
}

void ReleaseLoad(RelayState& state, EndpointAttempt& attempt) {
  attempt.m_call = 0;
  OnRequestCompleted(state.m_balance, attempt.m_endpoint, attempt.m_born_ms,
                     std::exchange(attempt.m_work_ms, 0));
  ReleaseEndpointMemory(state.m_balance, attempt.m_endpoint, attempt.m_born_ms,
                        attempt.m_need);
}

void CancelSend(RelayState& state, EndpointAttempt& attempt) {
  if (attempt.m_call == 0) return;
  state.m_endpoints->Cancel(attempt.m_call);
  ReleaseLoad(state, attempt);
}

void CancelAttempt(RelayState& state, RelayCall& call) {
  RecordSilentAttempts(state, call);
  CancelSend(state, call.m_attempt);
  CancelOther(state, call);
  ReleaseKvCache(state, call);
}

void RefuseRequest(RelayState& state, const HttpRequest& request,
                   const RequestMetadata& terms, EndReason reason) {
  Refuse(state, request, terms, reason, state.m_options.m_retry_after);
}

void RefuseOverAllotment(RelayState& state, const HttpRequest& request,
                         const RequestMetadata& terms,
                         const AllotmentRefusal& refusal) {
  Refuse(state, request, terms, refusal.m_reason, refusal.m_retry_after);
}

void ReleaseKvCache(RelayState& state, RelayCall& call) {
  if (!call.m_source) return;
  const BalanceEndpoint* owner =
      FindEndpoint(state.m_balance, call.m_source->m_endpoint);
  // A paused endpoint discards the KV cache by itself when it expires.
  if (owner != nullptr && state.m_clock() < owner->m_full_until) {
    LogLine("cache_release_skipped")
        .Add("request", call.m_metadata.m_attempt)
        .Add("endpoint", call.m_source->m_endpoint);
    call.m_source.reset();
    return;
  }
  HttpCall release;
  release.m_method = "DELETE";
  release.m_url = "http://" + call.m_source->m_address +
                  state.m_format->CacheReleaseTarget(call.m_source->m_handle);
  release.m_connect_timeout = state.m_options.m_connect_timeout;
  release.m_timeout = kReleaseTimeout;
  // It has no id, so that a response with one belongs to another call.
  release.m_match_response = [format =
                                  state.m_format](const HttpFields& fields) {
    return format->MatchAttempt(fields, "");
  };
  HttpEvents events;
  events.m_on_end = [attempt =
                         call.m_metadata.m_attempt](const HttpResult& result) {
    if (!result.m_error) return;
    LogLine("cache_release_failed")
        .Add("request", attempt)
        .Add("error", result.m_error.message());
  };
  state.m_endpoints->Start(std::move(release), std::move(events));
  call.m_source.reset();
}

void CountUsage(RelayState& state, const RelayCall& call, Instant began) {
  if (call.m_workspace.empty()) return;
  const Duration unix_time = began.time_since_epoch() + state.m_unix_at_zero;
  const auto window =
      static_cast<std::uint64_t>(unix_time / state.m_options.m_usage_window);
  ++state.m_usage[{window, call.m_workspace}];
}

}  // namespace comfreypaddle
