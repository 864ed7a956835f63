#include "dispatch.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "attempt.h"
#include "probe.h"

namespace comfreypaddle {

namespace {

// Maximum number of requests skipped in one pass because no endpoint can take
// them, for example because they must run isolated. Later requests are not
// blocked by them.
constexpr std::size_t kMaxSkippedRequests = 8;

double CallWork(const CallState& state, const ValidatedRequest& intake) {
  if (intake.m_kind == FleetKind::kService) return kMinCost;
  return ComputeWork(state.m_route.m_costs,
                     EstimatePromptTokens(intake.m_completion.m_prompt),
                     intake.m_completion.m_max_tokens);
}

void AnswerProblem(CallState& state, std::uint64_t id,
                   const ProblemDetails& details) {
  ProblemResponse answer = MakeProblem(details);
  answer.m_headers.push_back({"X-Request-Id", details.m_request_id});
  state.m_callers->Respond(id, answer.m_status, std::move(answer.m_headers),
                           std::move(answer.m_body));
}

// Answers health checks of the load balancer. The process is ready while it
// accepts new requests.
bool AnswerHealth(CallState& state, const HttpRequest& request) {
  if (request.m_path == "/healthz") {
    state.m_callers->Respond(request.m_id, 200, {}, "ok\n");
    return true;
  }
  if (request.m_path != "/readyz") return false;
  const bool ready = !state.m_draining && MayAdmitKeyed(state);
  state.m_callers->Respond(request.m_id, ready ? 200 : 503, {},
                           ready ? "ready\n" : "not ready\n");
  return true;
}

std::unique_ptr<OpenCall> MakeCall(CallState& state, HttpRequest request,
                                   ValidatedRequest intake, Instant now) {
  auto call = std::make_unique<OpenCall>();
  call->m_id = request.m_id;
  call->m_stream_id = state.m_options.m_instance + "-" +
                      std::to_string(state.m_options.m_incarnation) + "-" +
                      std::to_string(state.m_next_id++);
  call->m_deadline = now + intake.m_time_limit;
  call->m_validated_request = std::move(intake);
  call->m_request = std::move(request);
  std::string body = std::exchange(call->m_request.m_body, {});
  Exchange& exchange = call->m_exchange;
  exchange.m_id = call->m_stream_id;
  exchange.m_workspace = call->m_validated_request.m_workspace;
  exchange.m_fleet = call->m_validated_request.m_fleet;
  const bool engine = call->m_validated_request.m_kind == FleetKind::kEngine;
  exchange.m_kind = engine ? ResponseKind::kTokens : ResponseKind::kBody;
  if (!engine) {
    call->m_body = std::make_shared<const std::string>(std::move(body));
  }
  exchange.m_repeatable = call->m_validated_request.m_repeatable;
  exchange.m_streamed =
      !engine || call->m_validated_request.m_completion.m_stream;
  exchange.m_accepted = now;
  exchange.m_deadline = call->m_deadline;
  return call;
}

// Queues a call. Its idempotency key, if required, has been claimed.
void QueueCall(CallState& state, OpenCall& call) {
  const Instant now = state.m_clock();
  const ValidatedRequest& intake = call.m_validated_request;
  QueuedRequest waiting;
  waiting.m_id = call.m_id;
  waiting.m_workspace = intake.m_workspace;
  waiting.m_key = intake.m_key;
  waiting.m_fleet = intake.m_fleet;
  waiting.m_cost = CallWork(state, intake);
  waiting.m_priority = intake.m_priority;
  waiting.m_arrival = now;
  waiting.m_deadline = call.m_deadline;
  waiting.m_affinity = intake.m_affinity;
  EnqueueResult decision =
      Enqueue(state.m_admission_queue, state.m_options.m_queue_limits,
              std::move(waiting), now);
  if (decision.m_evicted) {
    OpenCall* displaced = FindCall(state, decision.m_evicted->m_id);
    if (displaced != nullptr) {
      RejectCall(state, *displaced, ProblemCode::kQueueFull,
                 OutcomeOf(displaced->m_exchange), "The queue is full.",
                 decision.m_retry_after);
    }
  }
  const Duration retry_after = decision.m_retry_after;
  switch (decision.m_status) {
    case EnqueueStatus::kQueued:
      call.m_phase = CallPhase::kQueued;
      DispatchQueue(state, std::string(intake.m_fleet));
      return;
    case EnqueueStatus::kWorkspaceFull:
      RejectCall(state, call, ProblemCode::kWorkspaceQueueFull,
                 Outcome::kNotRun, "The workspace's queue is full.",
                 retry_after);
      return;
    case EnqueueStatus::kInstanceFull:
      RejectCall(state, call, ProblemCode::kQueueFull, Outcome::kNotRun,
                 "The queue is full.", retry_after);
      return;
    case EnqueueStatus::kDeadline:
      RejectCall(state, call, ProblemCode::kDeadline, Outcome::kNotRun,
                 "The deadline cannot be met.", retry_after);
      return;
  }
}

// Returns true if a keyed request may be queued until the permission is
// renewed. It is sent only while the permission is valid.
bool MayQueueKeyed(const CallState& state, Instant now) {
  return MayAdmitKeyed(state) ||
         now <= state.m_last_admitted + kPermissionGrace;
}

void RejectUnconfirmed(CallState& state, OpenCall& call) {
  RejectCall(state, call, ProblemCode::kNotAdmitting,
             OutcomeOf(call.m_exchange),
             "This instance cannot confirm that keys are still valid: " +
                 state.m_permission.m_reason);
}

// Planning of roles and capacity uses all arriving demand, including requests
// that the queue rejects.
void CountArrival(CallState& state, const ValidatedRequest& intake) {
  if (intake.m_kind != FleetKind::kEngine) return;
  ArrivedWork& arrived = state.m_arrived[intake.m_fleet];
  arrived.m_prompt_tokens += EstimatePromptTokens(intake.m_completion.m_prompt);
  arrived.m_output_tokens += intake.m_completion.m_max_tokens;
}

void ClaimKey(CallState& state, OpenCall& call) {
  call.m_phase = CallPhase::kClaiming;
  call.m_claim_ticket = state.m_next_id++;
  state.m_claims[call.m_claim_ticket] = call.m_id;
  RequestClaim claim;
  claim.m_workspace = call.m_validated_request.m_workspace;
  claim.m_idempotency_key = call.m_validated_request.m_idempotency_key;
  claim.m_fingerprint = call.m_validated_request.m_fingerprint;
  claim.m_request_id = call.m_stream_id;
  state.m_records->ClaimRequest(call.m_claim_ticket, claim);
}

// Returns the routing query, or nothing if the request must not run because its
// content crashed endpoints.
std::optional<RouteQuery> MakeQuery(CallState& state, const OpenCall& call,
                                    Instant now) {
  const SuspectAction treatment = ChooseSuspectAction(
      state.m_suspects, call.m_validated_request.m_fingerprint, now);
  if (treatment == SuspectAction::kRefuse) return std::nullopt;
  RouteQuery query;
  query.m_fleet = call.m_validated_request.m_fleet;
  if (call.m_validated_request.m_kind == FleetKind::kEngine) {
    query.m_prompt_tokens =
        EstimatePromptTokens(call.m_validated_request.m_completion.m_prompt);
    query.m_output_tokens = call.m_validated_request.m_completion.m_max_tokens;
  } else {
    query.m_output_tokens = kMinCost;
  }
  query.m_prefix_hash = call.m_validated_request.m_affinity;
  query.m_zone = state.m_options.m_zone;
  query.m_region = state.m_options.m_region;
  query.m_repeatable = call.m_validated_request.m_repeatable;
  query.m_urgent = call.m_validated_request.m_priority == Priority::kUrgent;
  query.m_isolated = treatment == SuspectAction::kIsolate;
  query.m_excluded = call.m_excluded;
  return query;
}

// Returns true if the call failed at every endpoint that could serve it. Only
// then are the failed ones tried again: while others are merely full, the call
// waits for them instead of using up its attempts at a failed endpoint.
bool AllExcluded(const CallState& state, const OpenCall& call) {
  const auto fleet =
      state.m_route.m_fleets.find(call.m_validated_request.m_fleet);
  if (fleet == state.m_route.m_fleets.end()) return true;
  const auto& excluded = call.m_excluded;
  return std::all_of(
      fleet->second.m_endpoints.begin(), fleet->second.m_endpoints.end(),
      [&excluded](const EndpointView& view) {
        return IsLeaving(view) || view.m_health == EndpointHealth::kEjected ||
               std::find(excluded.begin(), excluded.end(), view.m_name) !=
                   excluded.end();
      });
}

enum class SendResult { kSent, kEnded, kNoRoom };

// Sends one dequeued request if an endpoint has capacity.
SendResult SendCall(CallState& state, OpenCall& call) {
  const Instant now = state.m_clock();
  if (!call.m_validated_request.m_key.empty() && !MayAdmitKeyed(state)) {
    return SendResult::kNoRoom;
  }
  const auto query = MakeQuery(state, call, now);
  if (!query) {
    RejectCall(state, call, ProblemCode::kSuspect, OutcomeOf(call.m_exchange),
               "Requests with this content crashed two endpoints.");
    return SendResult::kEnded;
  }
  auto choice = ChooseEndpoint(state.m_route, *query, now);
  if (!choice && !call.m_excluded.empty() && AllExcluded(state, call)) {
    RouteQuery any = *query;
    any.m_excluded.clear();
    choice = ChooseEndpoint(state.m_route, any, now);
  }
  if (!choice) return SendResult::kNoRoom;
  call.m_isolated = query->m_isolated;
  LaunchAttempt(state, call, *choice);
  return SendResult::kSent;
}

void RejectQueuedByKey(CallState& state, const std::string& key) {
  for (const QueuedRequest& waiting :
       RemoveByKey(state.m_admission_queue, key)) {
    OpenCall* call = FindCall(state, waiting.m_id);
    if (call == nullptr) continue;
    RejectCall(state, *call, ProblemCode::kUnauthorized,
               OutcomeOf(call->m_exchange), "The key was revoked.");
  }
}

// Rejects all calls of a key that are not running, including those that wait
// outside the queue.
void RejectPendingByKey(CallState& state, const std::string& key) {
  RejectQueuedByKey(state, key);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : state.m_calls) {
    const bool waits = call->m_phase == CallPhase::kClaiming ||
                       call->m_phase == CallPhase::kPausing;
    if (waits && call->m_validated_request.m_key == key) ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    OpenCall* call = FindCall(state, id);
    RejectCall(state, *call, ProblemCode::kUnauthorized,
               OutcomeOf(call->m_exchange), "The key was revoked.");
  }
}

void ApplyEndpoint(CallState& state, const TableChange& change) {
  if (change.m_remove) {
    RemoveEndpoint(state.m_route, change.m_name);
    state.m_probes.erase(change.m_name);
    return;
  }
  const auto& endpoint = std::get<Endpoint>(change.m_resource);
  const auto fleet = state.m_tables.m_fleets.find(endpoint.m_fleet);
  const std::uint32_t concurrency = fleet == state.m_tables.m_fleets.end()
                                        ? 0
                                        : fleet->second.m_value.m_concurrency;
  SetEndpoint(state.m_route, endpoint, concurrency);
}

void UpdateFleetSlots(CallState& state) {
  for (const auto& [name, fleet] : state.m_tables.m_fleets) {
    SetFleetSlots(state.m_admission_queue, name,
                  FleetSlots(state.m_route, name));
  }
}

void EndExpired(CallState& state, Instant now) {
  for (const QueuedRequest& waiting :
       RemoveExpired(state.m_admission_queue, now)) {
    OpenCall* call = FindCall(state, waiting.m_id);
    if (call == nullptr) continue;
    RejectCall(state, *call, ProblemCode::kDeadline,
               OutcomeOf(call->m_exchange),
               "The deadline passed while the request was queued.");
  }
  std::vector<std::uint64_t> late;
  for (const auto& [id, call] : state.m_calls) {
    if (call->m_phase != CallPhase::kQueued && now >= call->m_deadline) {
      late.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    OpenCall& call = *FindCall(state, id);
    const Outcome outcome = OutcomeOf(call.m_exchange);
    CancelAttempt(state, call);
    RejectCall(state, call, ProblemCode::kTimeout, outcome,
               "The deadline passed before the answer was complete.");
  }
}

// Rejects queued keyed requests when the permission has not been renewed within
// the grace period.
void RejectUnconfirmedQueued(CallState& state, Instant now) {
  if (MayAdmitKeyed(state)) state.m_last_admitted = now;
  if (MayQueueKeyed(state, now)) return;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : state.m_calls) {
    if (call->m_phase == CallPhase::kQueued &&
        !call->m_validated_request.m_key.empty()) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    RejectUnconfirmed(state, *FindCall(state, id));
  }
}

void StartDueRetries(CallState& state, Instant now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : state.m_calls) {
    if (call->m_phase == CallPhase::kPausing && now >= call->m_resume_at) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    OpenCall& call = *FindCall(state, id);
    if (call.m_resume) {
      LaunchResume(state, call);
      continue;
    }
    call.m_phase = CallPhase::kQueued;
    Requeue(state.m_admission_queue, call.m_queued_request, now);
    call.m_dequeued = false;
  }
}

}  // namespace

OpenCall* FindCall(CallState& state, std::uint64_t id) {
  const auto found = state.m_calls.find(id);
  return found == state.m_calls.end() ? nullptr : found->second.get();
}

// The permission expires, so that a suspended process does not admit requests
// on outdated knowledge after it resumes.
bool MayAdmitKeyed(const CallState& state) {
  return state.m_permission.m_open &&
         state.m_clock() <= state.m_permission.m_valid_until;
}

void AcceptRequest(CallState& state, HttpRequest request) {
  if (AnswerHealth(state, request)) return;
  ++state.m_counters.m_requests;
  const Instant now = state.m_clock();
  const std::uint64_t id = request.m_id;
  if (state.m_drained) {
    ++state.m_counters.m_refused;
    AnswerProblem(state, id,
                  {ProblemCode::kDraining, Outcome::kNotRun, "", ""});
    return;
  }
  ValidationOptions options;
  options.m_default_deadline = state.m_options.m_default_deadline;
  options.m_generated_id = state.m_options.m_instance + "." +
                           std::to_string(state.m_options.m_incarnation) + "." +
                           std::to_string(state.m_next_id++);
  auto result = ValidateRequest(state.m_tables, request, options);
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    ++state.m_counters.m_refused;
    LOG(INFO) << "rejected request=" << refusal->m_request_id
              << " code=" << ToName(refusal->m_code);
    AnswerProblem(state, id,
                  {refusal->m_code, Outcome::kNotRun, refusal->m_detail,
                   refusal->m_request_id});
    return;
  }
  auto owned = MakeCall(state, std::move(request),
                        std::move(std::get<ValidatedRequest>(result)), now);
  OpenCall& call = *owned;
  state.m_calls[id] = std::move(owned);
  if (!call.m_validated_request.m_key.empty() && !MayQueueKeyed(state, now)) {
    RejectUnconfirmed(state, call);
    return;
  }
  CreditRetryBudgets(state.m_retry, call.m_validated_request.m_workspace);
  CountArrival(state, call.m_validated_request);
  const bool needs_claim = !call.m_validated_request.m_repeatable &&
                           !call.m_validated_request.m_idempotency_key.empty();
  if (needs_claim) {
    ClaimKey(state, call);
  } else {
    QueueCall(state, call);
  }
}

void OnClaimVerdict(CallState& state, std::uint64_t ticket, Verdict verdict,
                    Outcome outcome) {
  const auto found = state.m_claims.find(ticket);
  if (found == state.m_claims.end()) return;
  OpenCall* call = FindCall(state, found->second);
  state.m_claims.erase(found);
  if (call == nullptr) return;
  call->m_phase = CallPhase::kQueued;
  switch (verdict) {
    case Verdict::kGranted:
      call->m_claimed = true;
      QueueCall(state, *call);
      return;
    case Verdict::kAlreadyClaimed:
      RejectCall(state, *call,
                 outcome == Outcome::kRan ? ProblemCode::kAlreadyRun
                                          : ProblemCode::kInProgress,
                 outcome,
                 "A request with this Idempotency-Key was accepted before.");
      return;
    case Verdict::kConflict:
      RejectCall(state, *call, ProblemCode::kConflict, Outcome::kNotRun,
                 "This Idempotency-Key was used for another request.");
      return;
    default:
      // A claim with an unknown result may still take effect. This request will
      // not run, and FinishCall records that for the claim.
      call->m_claimed = verdict == Verdict::kUnknown;
      RejectCall(state, *call, ProblemCode::kClaimUnavailable, Outcome::kNotRun,
                 "The Idempotency-Key cannot be claimed at present.");
      return;
  }
}

void OnCallerDisconnected(CallState& state, std::uint64_t id) {
  OpenCall* call = FindCall(state, id);
  if (call == nullptr) return;
  ++state.m_counters.m_cancelled;
  LOG(INFO) << "caller disconnected request="
            << call->m_validated_request.m_request_id
            << " phase=" << ToName(call->m_phase);
  const Outcome outcome = OutcomeOf(call->m_exchange);
  CancelAttempt(state, *call);
  const std::string fleet = call->m_validated_request.m_fleet;
  FinishCall(state, *call, outcome);
  DispatchQueue(state, fleet);
}

void OnTableChange(CallState& state, const TableChange& change) {
  if (!ApplyChange(state.m_tables, change)) return;
  switch (change.m_kind) {
    case ResourceKind::kWorkspace:
      if (change.m_remove) {
        RemoveWorkspace(state.m_admission_queue, change.m_name);
      } else {
        const auto& workspace = std::get<Workspace>(change.m_resource);
        SetWorkspace(state.m_admission_queue, workspace.m_name,
                     workspace.m_weight, workspace.m_queue_requests);
      }
      break;
    case ResourceKind::kKey:
      // A change of the key's secret or workspace also ends its pending calls.
      RejectPendingByKey(state, change.m_name);
      break;
    case ResourceKind::kEndpoint:
      ApplyEndpoint(state, change);
      break;
    case ResourceKind::kFleet:
      for (const auto& [name, endpoint] : state.m_tables.m_endpoints) {
        if (endpoint.m_value.m_fleet != change.m_name) continue;
        ApplyEndpoint(state, {endpoint.m_version, false,
                              ResourceKind::kEndpoint, name, endpoint.m_value});
      }
      break;
    default:
      break;
  }
  UpdateFleetSlots(state);
}

void DispatchQueue(CallState& state, const std::string& fleet) {
  std::vector<QueuedRequest> skipped;
  while (skipped.size() < kMaxSkippedRequests) {
    auto waiting = Dequeue(state.m_admission_queue, fleet, state.m_clock());
    if (!waiting) break;
    OpenCall* call = FindCall(state, waiting->m_id);
    if (call == nullptr) {
      ChargeActualCost(state.m_admission_queue, fleet, waiting->m_workspace,
                       waiting->m_cost, 0.0);
      continue;
    }
    call->m_queued_request = *waiting;
    call->m_dequeued = true;
    if (SendCall(state, *call) == SendResult::kNoRoom) {
      call->m_dequeued = false;
      skipped.push_back(std::move(*waiting));
    }
  }
  const Instant now = state.m_clock();
  for (QueuedRequest& waiting : skipped) {
    Requeue(state.m_admission_queue, std::move(waiting), now);
  }
}

void OnTick(CallState& state) {
  const Instant now = state.m_clock();
  EndExpired(state, now);
  RejectUnconfirmedQueued(state, now);
  StartDueRetries(state, now);
  for (const auto& [name, fleet] : state.m_tables.m_fleets) {
    if (QueuedRequests(state.m_admission_queue, name) > 0)
      DispatchQueue(state, name);
  }
}

void RejectCall(CallState& state, OpenCall& call, ProblemCode code,
                Outcome outcome, const std::string& detail,
                Duration retry_after) {
  ++state.m_counters.m_refused;
  LOG(INFO) << "rejected request=" << call.m_validated_request.m_request_id
            << " workspace=" << call.m_validated_request.m_workspace
            << " code=" << ToName(code) << " outcome=" << ToName(outcome);
  if (call.m_response_started) {
    state.m_callers->Abort(call.m_id);
  } else {
    AnswerProblem(state, call.m_id,
                  {code, outcome, detail, call.m_validated_request.m_request_id,
                   retry_after});
  }
  FinishCall(state, call, outcome);
}

void FinishCall(CallState& state, OpenCall& call, Outcome outcome) {
  const ValidatedRequest& intake = call.m_validated_request;
  // The attempt may still wait to be resumed.
  CancelAttempt(state, call);
  RemoveRequest(state.m_admission_queue, call.m_id);
  if (call.m_dequeued) {
    const TokenUsage& usage = call.m_exchange.m_usage;
    double actual = 0.0;
    if (intake.m_kind == FleetKind::kEngine) {
      actual = ComputeWork(state.m_route.m_costs,
                           static_cast<double>(usage.m_prompt_tokens),
                           static_cast<double>(call.m_exchange.m_position));
    } else if (outcome != Outcome::kNotRun) {
      actual = call.m_queued_request.m_cost;
    }
    ChargeActualCost(state.m_admission_queue, intake.m_fleet,
                     intake.m_workspace, call.m_queued_request.m_cost, actual);
  }
  state.m_claims.erase(call.m_claim_ticket);
  if (call.m_claimed || call.m_phase == CallPhase::kClaiming) {
    // The outcome follows the claim in the log, so it also settles a claim that
    // is still pending.
    state.m_records->RecordOutcome(
        {intake.m_workspace, intake.m_idempotency_key, outcome,
         static_cast<std::uint32_t>(call.m_status), call.m_stream_id});
  }
  call.m_phase = CallPhase::kEnded;
  EndExchange(call.m_exchange);
  state.m_calls.erase(call.m_id);
}

}  // namespace comfreypaddle
