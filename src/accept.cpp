#include "accept.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "allotmentcheck.h"
#include "continuation.h"
#include "crashcheck.h"
#include "entryserve.h"
#include "eventlog.h"
#include "finish.h"
#include "hedgedcall.h"
#include "lifetimecheck.h"
#include "relayattempt.h"
#include "resumption.h"

namespace comfreypaddle {

namespace {

// A request may wait for an endpoint for the route's target time divided by
// this. A later refusal would leave the caller no time for its own retry.
constexpr int kQueueTimeDivisor = 8;
constexpr Duration kMinQueueTime = std::chrono::milliseconds(25);

// Time limit of a request when neither its route nor its caller sets one.
constexpr Duration kDefaultTimeLimit = std::chrono::seconds(60);

std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

// Equal fingerprints identify the same request sent again.
std::uint64_t FingerprintOf(const HttpRequest& request,
                            const RequestMetadata& terms) {
  return HashText(request.m_body,
                  HashText(request.m_target, HashText(terms.m_key)));
}

// Hashes of the parts of the prompt that other requests may share: all but the
// last one. Any of them may crash endpoints, and only the size of a head bounds
// their number.
std::vector<std::uint64_t> SharedParts(const RequestMetadata& terms) {
  std::vector<std::uint64_t> hashes;
  const std::vector<PromptPart>& parts = terms.m_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    hashes.push_back(HashText(parts[i].m_id));
  }
  return hashes;
}

Duration TimeLimitOf(const RequestMetadata& terms,
                     const schema::CatalogRoute& route) {
  Duration time =
      route.timeout_ms() > 0 ? FromMs(route.timeout_ms()) : kDefaultTimeLimit;
  if (terms.m_time_left) time = std::min(time, *terms.m_time_left);
  return time;
}

// Builds the query for the load balancer. All parts of the prompt but the last
// one may be shared with other requests.
BalanceQuery MakeQuery(const RelayCall& call) {
  BalanceQuery query;
  query.m_service = call.m_service;
  query.m_is_prompt = call.m_route->prompt();
  query.m_tie_break_seed = HashText(call.m_metadata.m_attempt);
  const std::vector<PromptPart>& parts = call.m_metadata.m_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    query.m_shared_prefix_tokens += parts[i].m_tokens;
    query.m_shared_prefix_hash = HashText(parts[i].m_id, 1);
  }
  query.m_output_tokens = call.m_metadata.m_max_output_tokens;
  query.m_suffix_tokens = std::max(
      0.0, call.m_metadata.m_prompt_tokens - query.m_shared_prefix_tokens);
  return query;
}

// Hash that selects one of the route's services. Requests with a common prompt
// prefix select the same one, and so do all attempts at a stream.
std::uint64_t ServiceSplitHash(const RequestMetadata& terms) {
  if (terms.m_parts.size() > 1) {
    return HashText(terms.m_parts[terms.m_parts.size() - 2].m_id);
  }
  return HashText(terms.m_resumed_attempt.empty() ? terms.m_attempt
                                                  : terms.m_resumed_attempt);
}

// Resolves route, workspace and priority. Returns the reason for refusing the
// request, or nothing.
std::optional<EndReason> ResolveRoute(const RelayState& state, RelayCall& call,
                                      Instant now) {
  if (now >= state.m_drain.m_refuse_from) return EndReason::kStopping;
  if (state.m_catalog == nullptr) return EndReason::kNoCatalog;
  call.m_catalog = state.m_catalog;
  call.m_route = call.m_catalog->FindRoute(call.m_metadata.m_host,
                                           call.m_request.m_target);
  if (call.m_route == nullptr) return EndReason::kNoRoute;
  call.m_urgency = call.m_route->priority();
  const schema::CatalogWorkspace* workspace =
      call.m_catalog->FindWorkspace(call.m_metadata.m_key);
  if (workspace != nullptr) {
    call.m_workspace = workspace->name();
    if (workspace->has_priority()) call.m_urgency = workspace->priority();
  } else if (call.m_catalog->NeedsKeys() && !call.m_route->open()) {
    return EndReason::kBadKey;
  }
  return std::nullopt;
}

void SetDeadlines(RelayCall& call, Instant now) {
  call.m_arrived = now;
  call.m_deadline = now + TimeLimitOf(call.m_metadata, *call.m_route);
  const Duration wait = std::max(
      FromMs(call.m_route->target_ms()) / kQueueTimeDivisor, kMinQueueTime);
  call.m_queue_deadline = std::min(now + wait, call.m_deadline);
}

// Ids of the open requests in the order of their arrival.
std::vector<std::uint64_t> OpenCallIds(const RelayState& state) {
  std::vector<std::uint64_t> ids;
  ids.reserve(state.m_calls.size());
  for (const auto& [id, call] : state.m_calls) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

void AcceptRequest(RelayState& state, HttpRequest request) {
  const Instant now = state.m_clock();
  ++state.m_counters.m_requests;
  auto owned = std::make_unique<RelayCall>();
  RelayCall& call = *owned;
  call.m_id = request.m_id;
  call.m_request = std::move(request);
  call.m_metadata = state.m_format->ParseRequestMetadata(call.m_request);
  const auto refusal = ResolveRoute(state, call, now);
  if (refusal) {
    RefuseRequest(state, call.m_request, call.m_metadata, *refusal);
    return;
  }
  const auto over_allotment = ChargeAllotment(state, call, now);
  if (over_allotment) {
    RefuseOverAllotment(state, call.m_request, call.m_metadata,
                        *over_allotment);
    return;
  }
  call.m_fingerprint = FingerprintOf(call.m_request, call.m_metadata);
  call.m_body = std::make_shared<const std::string>(
      std::exchange(call.m_request.m_body, {}));
  call.m_shared_parts = SharedParts(call.m_metadata);
  SetDeadlines(call, now);
  call.m_service =
      ChooseService(*call.m_route, ServiceSplitHash(call.m_metadata));
  call.m_query = MakeQuery(call);
  if (call.m_metadata.m_last_event)
    call.m_last_event = call.m_metadata.m_last_event;
  CountRequest(state.m_resends, call.m_service, now);
  state.m_calls[call.m_id] = std::move(owned);
  if (IsTakenUp(call)) {
    TakeUpStream(state, call);
  } else {
    AdmitCall(state, call);
  }
}

void OnCallerDisconnected(RelayState& state, std::uint64_t id) {
  RelayCall* call = FindRelayCall(state, id);
  if (call != nullptr) FinishDisconnected(state, *call);
}

void EndAllCalls(RelayState& state) {
  CutDrain(state.m_drain, state.m_clock());
  for (const std::uint64_t id : OpenCallIds(state)) {
    RelayCall* call = FindRelayCall(state, id);
    if (call != nullptr) FinishFailed(state, *call, EndReason::kStopping);
  }
}

void TickCalls(RelayState& state) {
  const Instant now = state.m_clock();
  ServeWaiting(state);
  TickLifetimeChecks(state);
  TickCrashChecks(state);
  ResolveTakenUp(state);
  for (const std::uint64_t id : OpenCallIds(state)) {
    RelayCall* call = FindRelayCall(state, id);
    if (call == nullptr) continue;
    if (now >= call->m_deadline) {
      FinishFailed(state, *call, EndReason::kDeadline);
    } else if (call->m_stage == CallStage::kWaiting) {
      if (!IsWaiting(state.m_queue, id)) DispatchCall(state, *call);
    } else if (call->m_stage == CallStage::kProving) {
      CheckEndProof(state, *call);
    } else if (call->m_attempt.m_is_held) {
      if (now >= call->m_attempt.m_held_until) AbandonHeldAttempt(state, *call);
    } else {
      NoteSilence(state, *call);
      ConsiderHedge(state, *call);
    }
  }
}

}  // namespace comfreypaddle
