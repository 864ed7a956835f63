#include "prefillcall.h"

#include <algorithm>
#include <utility>

#include "attemptlog.h"
#include "continuation.h"
#include "crashwatch.h"
#include "entryserve.h"
#include "finish.h"
#include "relayattempt.h"

namespace comfreypaddle {

namespace {

// Maximum size of a prefill response, which holds a handle of the KV cache.
constexpr std::uint64_t kMaxPrefillResponseBytes = 64U << 10U;

// Time for which a prefilled request waits for a decode endpoint. The endpoint
// that holds its KV cache keeps it for longer.
constexpr Duration kDecodeWait = std::chrono::milliseconds(300);

// Keeps a prefilled request until a decode endpoint has room: its prefill would
// have been in vain.
void AwaitDecode(RelayState& state, RelayCall& call, Instant now) {
  const bool first = call.m_stage != CallStage::kWaiting;
  call.m_stage = CallStage::kWaiting;
  if (first) {
    call.m_queue_deadline = std::min(now + kDecodeWait, call.m_deadline);
  }
  if (now < call.m_queue_deadline) return;
  FinishFailed(state, call, EndReason::kNoEndpoint);
}

}  // namespace

void RunWithPrefilledCache(RelayState& state, RelayCall& call) {
  if (!MayRun(state, call)) {
    RefuseSuspect(state, call);
    return;
  }
  const Instant now = state.m_clock();
  std::string decode = call.m_planned_decode;
  const BalanceEndpoint* planned = FindEndpoint(state.m_balance, decode);
  const bool usable =
      planned != nullptr && HasVersion(call.m_query, *planned) &&
      now >= planned->m_avoid_until &&
      (call.m_is_decode_counted ? AcceptsRequests(*planned, now)
                                : MaySend(state.m_balance, *planned, now));
  if (!usable) {
    const auto other = ChooseDecode(state.m_balance, call.m_query, now);
    if (!other) {
      AwaitDecode(state, call, now);
      return;
    }
    decode = *other;
  }
  if (!PayForRetry(state, call, decode)) return;
  SendRun(state, call, decode, 0, "");
}

namespace {

AttemptEnd PrefillEndOf(const EndpointAttempt& attempt,
                        const HttpResult& result) {
  const bool was_rejected = !result.m_error && attempt.m_metadata.m_not_run;
  return was_rejected ? AttemptEnd::kNotExecuted : EndOf(attempt, result);
}

void OnPrefillEnd(RelayState& state, RelayCall& call, const HttpResult& result,
                  double work_tokens) {
  EndpointAttempt& attempt = call.m_attempt;
  const double work_ms = attempt.m_work_ms;
  ReleaseLoad(state, call.m_attempt);
  RecordConnection(attempt, result);
  constexpr int kOk = 200;
  const auto read = !result.m_error && attempt.m_status == kOk
                        ? state.m_format->ParsePrefillResult(attempt.m_body)
                        : std::nullopt;
  call.m_query.m_allow_split = false;
  if (read) {
    OnEndpointAnswered(state.m_balance, attempt.m_endpoint, state.m_clock());
    OnPrefixCached(state.m_balance, attempt.m_endpoint,
                   call.m_query.m_shared_prefix_hash,
                   call.m_query.m_shared_prefix_tokens, state.m_clock());
    const std::chrono::duration<double, std::milli> took =
        state.m_clock() - attempt.m_sent;
    OnPrefillTimed(state.m_balance, attempt.m_endpoint,
                   {work_tokens, work_ms, took.count()}, state.m_clock());
    call.m_source =
        CacheSource{attempt.m_endpoint, attempt.m_address, read->m_handle};
    RunWithPrefilledCache(state, call);
    return;
  }
  LogFailure(state, call, "prefill", result);
  RecordRejection(state, attempt, result);
  OnAttemptEnded(state, call, PrefillEndOf(attempt, result));
}

// Handles the end of a prefill. The endpoint may have room for another one.
void EndPrefillCall(RelayState& state, std::uint64_t key,
                    const HttpResult& result, double work_tokens) {
  RelayCall* call = FindRelayCall(state, key);
  if (call != nullptr) OnPrefillEnd(state, *call, result, work_tokens);
  ServeWaiting(state);
}

}  // namespace

void SendPrefill(RelayState& state, RelayCall& call,
                 const BalanceChoice& choice) {
  const BalanceEndpoint& endpoint =
      *FindEndpoint(state.m_balance, choice.m_prefill);
  CountToLimit(state.m_balance, choice.m_prefill, state.m_clock());
  // The run is bound to follow, and its place must not be taken meanwhile: the
  // prefill would be in vain.
  CountToLimit(state.m_balance, choice.m_endpoint, state.m_clock());
  call.m_is_decode_counted =
      IsLimited(FindEndpoint(state.m_balance, choice.m_endpoint)->m_limit);
  call.m_attempt = BeginAttempt(state, endpoint, choice.m_work_ms,
                                NeedOfPrefill(call.m_query));
  call.m_stage = CallStage::kPrefill;
  call.m_attempt.m_is_prefill = true;
  call.m_planned_decode = choice.m_endpoint;
  ++call.m_prefills;
  ++state.m_counters.m_prefills;
  UpstreamMetadata terms;
  terms.m_prefill_only = true;
  terms.m_fetch_address = choice.m_fetch_address;
  HttpCall http = MakeEndpointCall(state, call, endpoint, std::move(terms));
  http.m_max_body_bytes = kMaxPrefillResponseBytes;
  const std::uint64_t key = call.m_id;
  const double tokens = choice.m_reason == BalanceReason::kAffinity
                            ? call.m_query.m_suffix_tokens
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
    EndPrefillCall(state, key, result, tokens);
  };
  call.m_attempt.m_call =
      state.m_endpoints->Start(std::move(http), std::move(events));
}

}  // namespace comfreypaddle
