#include "accept.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "finish.h"
#include "run.h"

namespace comfreypaddle {

namespace {

// Part of a route's target time for which a request may wait for an endpoint.
// A caller that is refused later than that has lost the time for its own retry.
constexpr int kWaitDivisor = 8;
constexpr Duration kMinWait = std::chrono::milliseconds(25);

// Deadline of a request on a route without a time limit whose caller names
// none.
constexpr Duration kDefaultTime = std::chrono::seconds(60);

// Crashes after which a request is not run any more.
constexpr std::size_t kMaxCrashes = 3;

// Time for which a crash is remembered.
constexpr Duration kCrashMemory = std::chrono::minutes(10);

std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

// Requests with the same fingerprint are the same request sent again.
std::uint64_t FingerprintOf(const HttpRequest& request,
                            const RequestMetadata& terms) {
  return HashText(request.m_body,
                  HashText(request.m_target, HashText(terms.m_key)));
}

Duration TimeOf(const RequestMetadata& terms,
                const schema::CatalogRoute& route) {
  Duration time =
      route.timeout_ms() > 0 ? FromMs(route.timeout_ms()) : kDefaultTime;
  if (terms.m_time_left) time = std::min(time, *terms.m_time_left);
  return time;
}

// What the balance needs to know about the prompt. All parts but the last one
// may be shared with other requests.
BalanceQuery MakeQuery(const RelayCall& call) {
  BalanceQuery query;
  query.m_service = call.m_service;
  query.m_is_prompt = call.m_route->prompt();
  query.m_spread = HashText(call.m_terms.m_attempt);
  const std::vector<PromptPart>& parts = call.m_terms.m_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    query.m_shared_tokens += parts[i].m_tokens;
    query.m_shared_hash = HashText(parts[i].m_id, 1);
  }
  query.m_own_tokens =
      std::max(0.0, call.m_terms.m_prompt_tokens - query.m_shared_tokens);
  return query;
}

// Number that decides which service of a route a request goes to. Requests
// that share a part of their prompt go to the same one.
std::uint64_t SplitNumber(const RequestMetadata& terms) {
  if (terms.m_parts.size() > 1) {
    return HashText(terms.m_parts[terms.m_parts.size() - 2].m_id);
  }
  return HashText(terms.m_attempt);
}

bool IsCrashing(const RelayState& state, std::uint64_t fingerprint,
                Instant now) {
  const auto found = state.m_suspects.find(fingerprint);
  return found != state.m_suspects.end() &&
         found->second.m_crashes.size() >= kMaxCrashes &&
         now - found->second.m_last < kCrashMemory;
}

// Finds route and workspace. Returns why the request is refused, or nothing.
std::optional<EndReason> FindPlace(const RelayState& state, RelayCall& call,
                                   Instant now) {
  if (now >= state.m_refuse_from) return EndReason::kStopping;
  if (state.m_catalog == nullptr) return EndReason::kNoCatalog;
  call.m_catalog = state.m_catalog;
  call.m_route =
      call.m_catalog->FindRoute(call.m_terms.m_host, call.m_request.m_target);
  if (call.m_route == nullptr) return EndReason::kNoRoute;
  call.m_urgency = call.m_route->priority();
  const schema::CatalogWorkspace* workspace =
      call.m_catalog->FindWorkspace(call.m_terms.m_key);
  if (workspace != nullptr) {
    call.m_workspace = workspace->name();
    if (workspace->has_priority()) call.m_urgency = workspace->priority();
  } else if (call.m_catalog->NeedsKeys() && !call.m_route->open()) {
    return EndReason::kBadKey;
  }
  return std::nullopt;
}

void SetTimes(RelayCall& call, Instant now) {
  call.m_arrived = now;
  call.m_deadline = now + TimeOf(call.m_terms, *call.m_route);
  const Duration wait =
      std::max(FromMs(call.m_route->target_ms()) / kWaitDivisor, kMinWait);
  call.m_wait_until = std::min(now + wait, call.m_deadline);
}

}  // namespace

void AcceptRequest(RelayState& state, HttpRequest request) {
  const Instant now = state.m_clock();
  ++state.m_counters.m_requests;
  auto owned = std::make_unique<RelayCall>();
  RelayCall& call = *owned;
  call.m_id = request.m_id;
  call.m_request = std::move(request);
  call.m_terms = state.m_format->ParseRequestMetadata(call.m_request);
  auto refusal = FindPlace(state, call, now);
  if (!refusal) {
    call.m_fingerprint = FingerprintOf(call.m_request, call.m_terms);
    if (IsCrashing(state, call.m_fingerprint, now)) {
      refusal = EndReason::kCrashesEndpoints;
    }
  }
  if (refusal) {
    RefuseRequest(state, call.m_request, call.m_terms, *refusal);
    return;
  }
  SetTimes(call, now);
  call.m_service = ChooseService(*call.m_route, SplitNumber(call.m_terms));
  call.m_query = MakeQuery(call);
  if (call.m_terms.m_last_event) call.m_last_event = call.m_terms.m_last_event;
  CountRequest(state.m_resends, call.m_service, now);
  state.m_calls[call.m_id] = std::move(owned);
  StartCall(state, call);
}

void OnCallerLeft(RelayState& state, std::uint64_t id) {
  RelayCall* call = FindRelayCall(state, id);
  if (call != nullptr) FinishLeft(state, *call);
}

void TickCalls(RelayState& state) {
  const Instant now = state.m_clock();
  std::vector<std::uint64_t> ids;
  ids.reserve(state.m_calls.size());
  for (const auto& [id, call] : state.m_calls) ids.push_back(id);
  // Requests that arrived first are started first.
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    RelayCall* call = FindRelayCall(state, id);
    if (call == nullptr) continue;
    if (now >= call->m_deadline) {
      FinishFailed(state, *call, EndReason::kDeadline);
    } else if (call->m_stage == CallStage::kWaiting) {
      StartCall(state, *call);
    } else {
      CheckSilence(state, *call);
    }
  }
}

}  // namespace comfreypaddle
