#include "benchentry.h"

#include <algorithm>
#include <charconv>

#include "fairshare.h"

namespace comfreypaddle {
namespace {

// Engine-seconds per token of work, as in EngineModel and WorkCosts.
constexpr double kSecondsPerWorkToken = 0.001;

constexpr std::uint32_t kDecisionRefused = 0x10000;
constexpr std::uint32_t kDecisionRetry = 0x20000;

// Concurrency limit of one endpoint. Long prompts are prefilled one after
// another, so a higher limit would only move requests from the fair queue into
// the queue of the endpoint, where workspace fairness does not apply.
std::uint32_t EndpointConcurrency(Deployment deployment) {
  return deployment == Deployment::kHagerstrom ? 12 : 16;
}

std::string ZoneName(std::uint32_t zone) {
  return "zone-" + std::to_string(zone);
}

std::string WorkspaceName(std::uint32_t workspace) {
  return "workspace-" + std::to_string(workspace);
}

std::uint32_t EngineIndex(std::string_view name) {
  std::uint32_t index = 0;
  name.remove_prefix(name.find('-') + 1);
  std::from_chars(name.data(), name.data() + name.size(), index);
  return index;
}

const Arrival& ArrivalOf(const BenchState& state, std::uint64_t id) {
  return state.m_arrivals[id - 1];
}

TrackedRequest& TrackedRequestOf(BenchState& state, std::uint64_t id) {
  return state.m_tracked[id - 1];
}

EntryInstance& InstanceOf(BenchState& state, std::uint64_t id) {
  return state.m_entries[ArrivalOf(state, id).m_instance];
}

double PrefillSeconds(const BenchState& state, const Arrival& arrival) {
  return arrival.m_prompt_tokens * state.m_fleet.m_model.m_prefill_s;
}

double DecodeSeconds(const BenchState& state, const Arrival& arrival) {
  return arrival.m_output_tokens * state.m_fleet.m_model.m_decode_s;
}

// Ends a request that got no complete answer before its deadline.
void MarkUnserved(BenchState& state, std::uint64_t id) {
  TrackedRequestOf(state, id).m_state = RequestState::kEnded;
  ++state.m_metrics.m_unserved;
}

// Adds the expected work of an arrival to the demand of its dominant phase, by
// the same rule as routing.
void AddDemand(BenchState& state, const Arrival& arrival) {
  const double prefill = PrefillSeconds(state, arrival);
  const double decode =
      arrival.m_expected_output * state.m_fleet.m_model.m_decode_s;
  double& demand = prefill >= decode ? state.m_arrived_demand.m_prefill
                                     : state.m_arrived_demand.m_decode;
  demand += prefill + decode;
}

void Admit(BenchState& state, const Arrival& arrival, Instant now) {
  EntryInstance& entry = state.m_entries[arrival.m_instance];
  QueuedRequest waiting;
  waiting.m_id = arrival.m_id;
  waiting.m_workspace = WorkspaceName(arrival.m_workspace);
  waiting.m_fleet = kBenchFleet;
  waiting.m_cost = ComputeWork(entry.m_route.m_costs, arrival.m_prompt_tokens,
                               arrival.m_expected_output);
  waiting.m_arrival = arrival.m_time;
  waiting.m_deadline = arrival.m_deadline;
  CreditRetryBudgets(entry.m_retry, waiting.m_workspace);
  const EnqueueResult decision =
      Enqueue(entry.m_admission, QueueLimits{}, std::move(waiting), now);
  if (decision.m_evicted) MarkUnserved(state, decision.m_evicted->m_id);
  if (decision.m_status == EnqueueStatus::kQueued) {
    TrackedRequestOf(state, arrival.m_id).m_state = RequestState::kQueued;
  } else {
    HashDecision(state.m_metrics, arrival.m_id * 0x100000 + kDecisionRefused);
    MarkUnserved(state, arrival.m_id);
  }
}

// Sends the request to the engine. Returns false if the engine has terminated.
bool SendToEngine(BenchState& state, std::uint64_t id, std::uint32_t engine) {
  const Arrival& arrival = ArrivalOf(state, id);
  TrackedRequest& tracked = TrackedRequestOf(state, id);
  const EngineModel& model = state.m_fleet.m_model;
  EngineRequest request;
  request.m_id = id;
  // A retried request resumes after the tokens already delivered, which are
  // prefilled again as part of the prompt.
  const double delivered =
      (DecodeSeconds(state, arrival) - tracked.m_decode_left_s) /
      model.m_decode_s;
  request.m_prefill_left_s =
      (arrival.m_prompt_tokens + delivered) * model.m_prefill_s;
  request.m_decode_left_s = tracked.m_decode_left_s;
  request.m_pieces = 1 + static_cast<std::uint32_t>((arrival.m_prompt_tokens +
                                                     arrival.m_output_tokens) /
                                                    model.m_tokens_per_piece);
  ++tracked.m_attempts;
  tracked.m_engine = engine;
  HashDecision(state.m_metrics, id * 0x100000 + engine);
  if (!SendRequest(state.m_fleet, engine, request)) return false;
  tracked.m_state = RequestState::kRunning;
  state.m_deadlines.emplace(arrival.m_deadline, id);
  return true;
}

RouteQuery QueryOf(const EntryInstance& entry, const Arrival& arrival) {
  RouteQuery query;
  query.m_fleet = kBenchFleet;
  query.m_prompt_tokens = arrival.m_prompt_tokens;
  query.m_output_tokens = arrival.m_expected_output;
  query.m_prefix_hash = arrival.m_prefix_hash;
  query.m_zone = ZoneName(entry.m_zone);
  query.m_region = query.m_zone;  // Each zone is a region of its own.
  return query;
}

// Records a failed attempt and requeues the request if it may be retried.
void HandleFailure(BenchState& state, std::uint64_t id, FailureKind kind,
                   bool leaving, Instant now) {
  const Arrival& arrival = ArrivalOf(state, id);
  TrackedRequest& tracked = TrackedRequestOf(state, id);
  EntryInstance& entry = InstanceOf(state, id);
  OnFailed(entry.m_route, state.m_fleet.m_engines[tracked.m_engine].m_name,
           tracked.m_route_work, kind, now);
  FailureContext context;
  context.m_kind = kind;
  context.m_workspace = WorkspaceName(arrival.m_workspace);
  context.m_repeatable = true;
  context.m_may_have_run = kind != FailureKind::kConnectFailed;
  context.m_prefix_available =
      tracked.m_decode_left_s < DecodeSeconds(state, arrival);
  context.m_answer_seen = context.m_prefix_available;
  context.m_partly_delivered = context.m_prefix_available;
  context.m_made_progress = context.m_prefix_available;
  context.m_endpoint_leaving = leaving;
  context.m_attempts = tracked.m_attempts;
  context.m_deadline = arrival.m_deadline;
  const RetryDecision decision = DecideRetry(entry.m_retry, context, now);
  HashDecision(state.m_metrics,
               id * 0x100000 + kDecisionRetry +
                   static_cast<std::uint64_t>(decision.m_action));
  const bool queued = UsesScheduling(state.m_options.m_policy);
  if (decision.m_action == RetryAction::kGiveUp) {
    if (queued) {
      ChargeActualCost(entry.m_admission, kBenchFleet, context.m_workspace,
                       tracked.m_queued_request.m_cost,
                       tracked.m_queued_request.m_cost);
    }
    if (now < arrival.m_deadline) ++state.m_metrics.m_abandoned;
    MarkUnserved(state, id);
    return;
  }
  tracked.m_state = RequestState::kQueued;
  if (queued) Requeue(entry.m_admission, tracked.m_queued_request, now);
  state.m_dispatch_pending = true;
}

// Dispatches the next request of the instance. Returns false if none can start.
bool DispatchOne(BenchState& state, EntryInstance& entry, Instant now) {
  std::optional<QueuedRequest> waiting =
      Dequeue(entry.m_admission, kBenchFleet, now);
  if (!waiting) return false;
  const std::uint64_t id = waiting->m_id;
  const RouteQuery query = QueryOf(entry, ArrivalOf(state, id));
  const auto choice = ChooseEndpoint(entry.m_route, query, now);
  if (!choice) {
    Requeue(entry.m_admission, std::move(*waiting), now);
    return false;
  }
  TrackedRequest& tracked = TrackedRequestOf(state, id);
  tracked.m_queued_request = std::move(*waiting);
  tracked.m_route_work = choice->m_work;
  OnSent(entry.m_route, choice->m_endpoint, choice->m_work, false, now);
  if (!SendToEngine(state, id, EngineIndex(choice->m_endpoint))) {
    HandleFailure(state, id, FailureKind::kConnectFailed, false, now);
  }
  return true;
}

// Selects an engine for the baseline policies, which know only the engines that
// the platform lists and have no fair queue.
std::optional<std::uint32_t> SelectBaselineEngine(BenchState& state,
                                                  Instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < state.m_published.size(); ++i) {
    const PublishedEngine& published = state.m_published[i];
    if (published.m_listed && published.m_phase == EndpointPhase::kReady) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) return std::nullopt;
  if (state.m_options.m_policy == BenchPolicy::kRoundRobin) {
    return usable[state.m_round_robin++ % usable.size()];
  }
  const auto load = [&](std::uint32_t engine) {
    const LoadSample* sample =
        LoadAt(state.m_fleet.m_engines[engine], now, state.m_report_lag);
    return sample == nullptr ? 0U : sample->m_queued + sample->m_running;
  };
  return *std::min_element(
      usable.begin(), usable.end(),
      [&](std::uint32_t a, std::uint32_t b) { return load(a) < load(b); });
}

// Dispatches accepted and lost requests in order of arrival.
void DispatchBaseline(BenchState& state, Instant now) {
  for (std::size_t i = state.m_first_unfinished; i < state.m_next_arrival;
       ++i) {
    if (state.m_tracked[i].m_state != RequestState::kQueued) continue;
    const auto engine = SelectBaselineEngine(state, now);
    if (!engine) return;
    if (!SendToEngine(state, i + 1, *engine)) {
      HandleFailure(state, i + 1, FailureKind::kConnectFailed, false, now);
    }
  }
}

void CompleteRequest(BenchState& state, std::uint64_t id, Instant now) {
  const Arrival& arrival = ArrivalOf(state, id);
  TrackedRequest& tracked = TrackedRequestOf(state, id);
  tracked.m_state = RequestState::kEnded;
  RecordServed(state.m_metrics, arrival,
               PrefillSeconds(state, arrival) + DecodeSeconds(state, arrival));
  state.m_dispatch_pending = true;
  if (!UsesScheduling(state.m_options.m_policy)) return;
  EntryInstance& entry = InstanceOf(state, id);
  OnFinished(entry.m_route, state.m_fleet.m_engines[tracked.m_engine].m_name,
             tracked.m_route_work, now);
  ChargeActualCost(entry.m_admission, kBenchFleet,
                   tracked.m_queued_request.m_workspace,
                   tracked.m_queued_request.m_cost,
                   ComputeWork(entry.m_route.m_costs, arrival.m_prompt_tokens,
                               arrival.m_output_tokens));
}

void ExpireRunning(BenchState& state, std::uint64_t id, Instant now) {
  TrackedRequest& tracked = TrackedRequestOf(state, id);
  const auto left = CancelRequest(state.m_fleet, tracked.m_engine, id);
  MarkUnserved(state, id);
  state.m_dispatch_pending = true;
  if (!UsesScheduling(state.m_options.m_policy)) return;
  EntryInstance& entry = InstanceOf(state, id);
  OnCancelled(entry.m_route, state.m_fleet.m_engines[tracked.m_engine].m_name,
              tracked.m_route_work, now);
  const double left_s =
      left ? left->m_prefill_left_s + left->m_decode_left_s : 0.0;
  const double used = std::max(
      0.0, tracked.m_queued_request.m_cost - left_s / kSecondsPerWorkToken);
  ChargeActualCost(entry.m_admission, kBenchFleet,
                   tracked.m_queued_request.m_workspace,
                   tracked.m_queued_request.m_cost, used);
}

LoadReport ReportOf(const FakeEngine& engine, const LoadSample& sample,
                    const EngineModel& model) {
  LoadReport report;
  report.m_measured_at = sample.m_taken;
  report.m_queued = sample.m_queued;
  report.m_running = sample.m_running;
  report.m_queued_tokens = sample.m_queued_s / kSecondsPerWorkToken;
  report.m_kv_used_pieces = sample.m_used_pieces;
  report.m_kv_total_pieces = model.m_kv_pieces;
  report.m_draining = engine.m_phase == EndpointPhase::kDraining;
  return report;
}

// Returns the phase reported to routing. An engine that changes its role
// accepts no work and is reported as starting.
EndpointPhase RoutingPhase(const FakeEngine& engine) {
  return engine.m_changing_until ? EndpointPhase::kStarting : engine.m_phase;
}

void UpdateInstance(EntryInstance& entry, const FakeEngine& engine,
                    const PublishedEngine& published,
                    std::uint32_t concurrency) {
  if (!published.m_listed) {
    RemoveEndpoint(entry.m_route, engine.m_name);
    return;
  }
  Endpoint endpoint;
  endpoint.m_name = engine.m_name;
  endpoint.m_fleet = kBenchFleet;
  endpoint.m_availability_zone = ZoneName(engine.m_zone);
  endpoint.m_region = endpoint.m_availability_zone;
  endpoint.m_class = engine.m_class;
  endpoint.m_role = published.m_role;
  SetEndpoint(entry.m_route, endpoint, concurrency);
  SetEndpointPhase(entry.m_route, engine.m_name, published.m_phase);
}

}  // namespace

bool UsesScheduling(BenchPolicy policy) {
  return policy != BenchPolicy::kRoundRobin &&
         policy != BenchPolicy::kLeastReportedLoad;
}

void CreateInstances(BenchState& state) {
  for (std::uint32_t i = 0; i < kBenchInstances; ++i) {
    EntryInstance& entry = state.m_entries.emplace_back();
    entry.m_name = "entry-" + std::to_string(i);
    entry.m_zone = i % kBenchZones;
    entry.m_route.m_random.seed(state.m_options.m_seed * 100 + i);
  }
}

void AdmitArrivals(BenchState& state, Instant now) {
  while (state.m_next_arrival < state.m_arrivals.size() &&
         state.m_arrivals[state.m_next_arrival].m_time <= now) {
    const Arrival& arrival = state.m_arrivals[state.m_next_arrival++];
    TrackedRequestOf(state, arrival.m_id).m_decode_left_s =
        DecodeSeconds(state, arrival);
    RecordArrived(
        state.m_metrics, arrival,
        PrefillSeconds(state, arrival) + DecodeSeconds(state, arrival));
    AddDemand(state, arrival);
    state.m_dispatch_pending = true;
    if (UsesScheduling(state.m_options.m_policy)) {
      Admit(state, arrival, now);
    } else {
      CreditRetryBudgets(InstanceOf(state, arrival.m_id).m_retry,
                         WorkspaceName(arrival.m_workspace));
      TrackedRequestOf(state, arrival.m_id).m_state = RequestState::kQueued;
    }
  }
}

void DispatchAll(BenchState& state, Instant now) {
  if (!state.m_dispatch_pending) return;
  state.m_dispatch_pending = false;
  if (!UsesScheduling(state.m_options.m_policy)) {
    DispatchBaseline(state, now);
    return;
  }
  // Each round starts at another instance, so that no instance has priority.
  const std::size_t first = state.m_round_robin++;
  for (std::size_t i = 0; i < state.m_entries.size(); ++i) {
    EntryInstance& entry =
        state.m_entries[(first + i) % state.m_entries.size()];
    while (DispatchOne(state, entry, now)) {
    }
  }
}

void CompleteFinished(BenchState& state, const std::vector<Progress>& progress,
                      Instant now) {
  for (const Progress& item : progress) {
    if (item.m_finished) CompleteRequest(state, item.m_id, now);
  }
}

void ExpireRequests(BenchState& state, Instant now) {
  auto& deadlines = state.m_deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const std::uint64_t id = deadlines.begin()->second;
    deadlines.erase(deadlines.begin());
    if (TrackedRequestOf(state, id).m_state == RequestState::kRunning) {
      ExpireRunning(state, id, now);
    }
  }
  for (EntryInstance& entry : state.m_entries) {
    for (const QueuedRequest& waiting : RemoveExpired(entry.m_admission, now)) {
      MarkUnserved(state, waiting.m_id);
    }
  }
  while (state.m_first_unfinished < state.m_next_arrival &&
         state.m_tracked[state.m_first_unfinished].m_state ==
             RequestState::kEnded) {
    ++state.m_first_unfinished;
  }
  if (UsesScheduling(state.m_options.m_policy)) return;
  for (std::size_t i = state.m_first_unfinished; i < state.m_next_arrival;
       ++i) {
    if (state.m_tracked[i].m_state == RequestState::kQueued &&
        state.m_arrivals[i].m_deadline <= now) {
      MarkUnserved(state, i + 1);
    }
  }
}

void TerminateEngine(BenchState& state, std::uint32_t engine, bool was_leaving,
                     Duration delay, Instant now) {
  for (const EngineRequest& request : KillEngine(state.m_fleet, engine, now)) {
    TrackedRequest& tracked = TrackedRequestOf(state, request.m_id);
    tracked.m_state = RequestState::kLost;
    tracked.m_decode_left_s = request.m_decode_left_s;
    state.m_lost.push_back({now + delay, request.m_id, was_leaving});
  }
}

void RetryLost(BenchState& state, Instant now) {
  std::vector<LostRequest> noticed;
  std::erase_if(state.m_lost, [&](const LostRequest& lost) {
    if (lost.m_detected_at > now) return false;
    noticed.push_back(lost);
    return true;
  });
  for (const LostRequest& lost : noticed) {
    HandleFailure(state, lost.m_id, FailureKind::kCrashed, lost.m_leaving, now);
  }
}

void ExchangeDigests(BenchState& state, Instant now) {
  if (!UsesScheduling(state.m_options.m_policy)) return;
  for (EntryInstance& sender : state.m_entries) {
    const auto digests = BuildServiceDigest(sender.m_admission);
    for (EntryInstance& receiver : state.m_entries) {
      if (&receiver == &sender) continue;
      for (const ServiceDigest& digest : digests) {
        AddPeerService(receiver.m_admission, sender.m_name, digest, now);
      }
    }
  }
  for (EntryInstance& entry : state.m_entries) {
    SetFleetSlots(entry.m_admission, kBenchFleet,
                  FleetSlots(entry.m_route, kBenchFleet));
    UpdateShares(entry.m_admission, now);
  }
  state.m_dispatch_pending = true;
}

void DeliverReports(BenchState& state, Instant now) {
  if (!UsesScheduling(state.m_options.m_policy)) return;
  for (const FakeEngine& engine : state.m_fleet.m_engines) {
    if (engine.m_dead) continue;
    const LoadSample* sample = LoadAt(engine, now, state.m_report_lag);
    if (sample == nullptr) continue;
    const LoadReport report = ReportOf(engine, *sample, state.m_fleet.m_model);
    for (EntryInstance& entry : state.m_entries) {
      const double draw =
          static_cast<double>(state.m_random() >> 11U) * 0x1.0p-53;
      if (draw < state.m_report_loss) continue;
      OnLoadReport(entry.m_route, engine.m_name, report, now);
    }
  }
  state.m_dispatch_pending = true;
}

void PublishEngines(BenchState& state) {
  state.m_published.resize(state.m_fleet.m_engines.size());
  for (std::uint32_t i = 0; i < state.m_published.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    PublishedEngine next = state.m_published[i];
    next.m_listed = !engine.m_dead && engine.m_phase != EndpointPhase::kGone &&
                    engine.m_phase != EndpointPhase::kOrdered;
    next.m_role = engine.m_changing_until ? engine.m_next_role : engine.m_role;
    next.m_phase = RoutingPhase(engine);
    PublishedEngine& published = state.m_published[i];
    if (next.m_listed == published.m_listed &&
        next.m_role == published.m_role && next.m_phase == published.m_phase) {
      continue;
    }
    published = next;
    for (EntryInstance& entry : state.m_entries) {
      UpdateInstance(entry, engine, published,
                     EndpointConcurrency(state.m_options.m_deployment));
    }
    state.m_dispatch_pending = true;
  }
}

}  // namespace comfreypaddle
