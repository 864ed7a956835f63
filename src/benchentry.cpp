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

const Arrival& ArrivalOf(const BenchState& world, std::uint64_t id) {
  return world.m_arrivals[id - 1];
}

LiveRequest& TrackedRequestOf(BenchState& world, std::uint64_t id) {
  return world.m_live[id - 1];
}

EntryInstance& InstanceOf(BenchState& world, std::uint64_t id) {
  return world.m_entries[ArrivalOf(world, id).m_instance];
}

double PrefillSeconds(const BenchState& world, const Arrival& arrival) {
  return arrival.m_prompt_tokens * world.m_fleet.m_model.m_prefill_s;
}

double DecodeSeconds(const BenchState& world, const Arrival& arrival) {
  return arrival.m_output_tokens * world.m_fleet.m_model.m_decode_s;
}

// Ends a request that got no complete answer before its deadline.
void MarkUnserved(BenchState& world, std::uint64_t id) {
  TrackedRequestOf(world, id).m_state = LiveState::kEnded;
  ++world.m_tally.m_unserved;
}

// Adds the expected work of an arrival to the demand of its dominant phase, by
// the same rule as routing.
void AddDemand(BenchState& world, const Arrival& arrival) {
  const double prefill = PrefillSeconds(world, arrival);
  const double decode =
      arrival.m_expected_output * world.m_fleet.m_model.m_decode_s;
  double& demand =
      prefill >= decode ? world.m_arrived.m_prefill : world.m_arrived.m_decode;
  demand += prefill + decode;
}

void Admit(BenchState& world, const Arrival& arrival, Instant now) {
  EntryInstance& entry = world.m_entries[arrival.m_instance];
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
      Enqueue(entry.m_admit, QueueLimits{}, std::move(waiting), now);
  if (decision.m_evicted) MarkUnserved(world, decision.m_evicted->m_id);
  if (decision.m_verdict == EnqueueStatus::kQueued) {
    TrackedRequestOf(world, arrival.m_id).m_state = LiveState::kQueued;
  } else {
    NoteDecision(world.m_tally, arrival.m_id * 0x100000 + kDecisionRefused);
    MarkUnserved(world, arrival.m_id);
  }
}

// Sends the request to the engine. Returns false if the engine has terminated.
bool SendToEngine(BenchState& world, std::uint64_t id, std::uint32_t engine) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& tracked = TrackedRequestOf(world, id);
  const EngineModel& model = world.m_fleet.m_model;
  EngineRequest request;
  request.m_id = id;
  // A retried request resumes after the tokens already delivered, which are
  // prefilled again as part of the prompt.
  const double delivered =
      (DecodeSeconds(world, arrival) - tracked.m_decode_left_s) /
      model.m_decode_s;
  request.m_prefill_left_s =
      (arrival.m_prompt_tokens + delivered) * model.m_prefill_s;
  request.m_decode_left_s = tracked.m_decode_left_s;
  request.m_pieces = 1 + static_cast<std::uint32_t>((arrival.m_prompt_tokens +
                                                     arrival.m_output_tokens) /
                                                    model.m_tokens_per_piece);
  ++tracked.m_attempts;
  tracked.m_engine = engine;
  NoteDecision(world.m_tally, id * 0x100000 + engine);
  if (!SendRequest(world.m_fleet, engine, request)) return false;
  tracked.m_state = LiveState::kRunning;
  world.m_deadlines.emplace(arrival.m_deadline, id);
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
void HandleFailure(BenchState& world, std::uint64_t id, FailureKind kind,
                   bool leaving, Instant now) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& tracked = TrackedRequestOf(world, id);
  EntryInstance& entry = InstanceOf(world, id);
  OnFailed(entry.m_route, world.m_fleet.m_engines[tracked.m_engine].m_name,
           tracked.m_route_work, kind, now);
  FailureContext context;
  context.m_kind = kind;
  context.m_workspace = WorkspaceName(arrival.m_workspace);
  context.m_repeatable = true;
  context.m_may_have_run = kind != FailureKind::kConnectFailed;
  context.m_prefix_available =
      tracked.m_decode_left_s < DecodeSeconds(world, arrival);
  context.m_answer_seen = context.m_prefix_available;
  context.m_partly_delivered = context.m_prefix_available;
  context.m_made_progress = context.m_prefix_available;
  context.m_endpoint_leaving = leaving;
  context.m_attempts = tracked.m_attempts;
  context.m_deadline = arrival.m_deadline;
  const RetryDecision decision = DecideRetry(entry.m_retry, context, now);
  NoteDecision(world.m_tally,
               id * 0x100000 + kDecisionRetry +
                   static_cast<std::uint64_t>(decision.m_action));
  const bool queued = UsesDecisions(world.m_options.m_policy);
  if (decision.m_action == RetryAction::kGiveUp) {
    if (queued) {
      ChargeActualCost(entry.m_admit, kBenchFleet, context.m_workspace,
                       tracked.m_waiting.m_cost, tracked.m_waiting.m_cost);
    }
    if (now < arrival.m_deadline) ++world.m_tally.m_cut;
    MarkUnserved(world, id);
    return;
  }
  tracked.m_state = LiveState::kQueued;
  if (queued) Requeue(entry.m_admit, tracked.m_waiting, now);
  world.m_dirty = true;
}

// Dispatches the next request of the instance. Returns false if none can start.
bool DispatchOne(BenchState& world, EntryInstance& entry, Instant now) {
  std::optional<QueuedRequest> waiting =
      Dequeue(entry.m_admit, kBenchFleet, now);
  if (!waiting) return false;
  const std::uint64_t id = waiting->m_id;
  const RouteQuery query = QueryOf(entry, ArrivalOf(world, id));
  const auto choice = ChooseEndpoint(entry.m_route, query, now);
  if (!choice) {
    Requeue(entry.m_admit, std::move(*waiting), now);
    return false;
  }
  LiveRequest& tracked = TrackedRequestOf(world, id);
  tracked.m_waiting = std::move(*waiting);
  tracked.m_route_work = choice->m_work;
  OnSent(entry.m_route, choice->m_endpoint, choice->m_work, false, now);
  if (!SendToEngine(world, id, EngineIndex(choice->m_endpoint))) {
    HandleFailure(world, id, FailureKind::kConnectFailed, false, now);
  }
  return true;
}

// Selects an engine for the baseline policies, which know only the engines that
// the platform lists and have no fair queue.
std::optional<std::uint32_t> SelectBaselineEngine(BenchState& world,
                                                  Instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < world.m_told.size(); ++i) {
    const ToldEngine& published = world.m_told[i];
    if (published.m_known && published.m_phase == EndpointPhase::kReady) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) return std::nullopt;
  if (world.m_options.m_policy == BenchPolicy::kRoundRobin) {
    return usable[world.m_round_robin++ % usable.size()];
  }
  const auto load = [&](std::uint32_t engine) {
    const LoadSample* sample =
        LoadAt(world.m_fleet.m_engines[engine], now, world.m_report_lag);
    return sample == nullptr ? 0U : sample->m_queued + sample->m_running;
  };
  return *std::min_element(
      usable.begin(), usable.end(),
      [&](std::uint32_t a, std::uint32_t b) { return load(a) < load(b); });
}

// Dispatches accepted and lost requests in order of arrival.
void DispatchBaseline(BenchState& world, Instant now) {
  for (std::size_t i = world.m_first_open; i < world.m_next_arrival; ++i) {
    if (world.m_live[i].m_state != LiveState::kQueued) continue;
    const auto engine = SelectBaselineEngine(world, now);
    if (!engine) return;
    if (!SendToEngine(world, i + 1, *engine)) {
      HandleFailure(world, i + 1, FailureKind::kConnectFailed, false, now);
    }
  }
}

void CompleteRequest(BenchState& world, std::uint64_t id, Instant now) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& tracked = TrackedRequestOf(world, id);
  tracked.m_state = LiveState::kEnded;
  NoteServed(world.m_tally, arrival,
             PrefillSeconds(world, arrival) + DecodeSeconds(world, arrival));
  world.m_dirty = true;
  if (!UsesDecisions(world.m_options.m_policy)) return;
  EntryInstance& entry = InstanceOf(world, id);
  OnFinished(entry.m_route, world.m_fleet.m_engines[tracked.m_engine].m_name,
             tracked.m_route_work, now);
  ChargeActualCost(entry.m_admit, kBenchFleet, tracked.m_waiting.m_workspace,
                   tracked.m_waiting.m_cost,
                   ComputeWork(entry.m_route.m_costs, arrival.m_prompt_tokens,
                               arrival.m_output_tokens));
}

void ExpireRunning(BenchState& world, std::uint64_t id, Instant now) {
  LiveRequest& tracked = TrackedRequestOf(world, id);
  const auto left = CancelRequest(world.m_fleet, tracked.m_engine, id);
  MarkUnserved(world, id);
  world.m_dirty = true;
  if (!UsesDecisions(world.m_options.m_policy)) return;
  EntryInstance& entry = InstanceOf(world, id);
  OnCancelled(entry.m_route, world.m_fleet.m_engines[tracked.m_engine].m_name,
              tracked.m_route_work, now);
  const double left_s =
      left ? left->m_prefill_left_s + left->m_decode_left_s : 0.0;
  const double used =
      std::max(0.0, tracked.m_waiting.m_cost - left_s / kSecondsPerWorkToken);
  ChargeActualCost(entry.m_admit, kBenchFleet, tracked.m_waiting.m_workspace,
                   tracked.m_waiting.m_cost, used);
}

LoadReport ReportOf(const FakeEngine& engine, const LoadSample& sample,
                    const EngineModel& model) {
  LoadReport report;
  report.m_taken = sample.m_taken;
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
                    const ToldEngine& published, std::uint32_t concurrency) {
  if (!published.m_known) {
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

bool UsesDecisions(BenchPolicy policy) {
  return policy != BenchPolicy::kRoundRobin &&
         policy != BenchPolicy::kLeastReportedLoad;
}

void CreateEntries(BenchState& world) {
  for (std::uint32_t i = 0; i < kBenchInstances; ++i) {
    EntryInstance& entry = world.m_entries.emplace_back();
    entry.m_name = "entry-" + std::to_string(i);
    entry.m_zone = i % kBenchZones;
    entry.m_route.m_random.seed(world.m_options.m_seed * 100 + i);
  }
}

void TakeArrivals(BenchState& world, Instant now) {
  while (world.m_next_arrival < world.m_arrivals.size() &&
         world.m_arrivals[world.m_next_arrival].m_time <= now) {
    const Arrival& arrival = world.m_arrivals[world.m_next_arrival++];
    TrackedRequestOf(world, arrival.m_id).m_decode_left_s =
        DecodeSeconds(world, arrival);
    NoteArrived(world.m_tally, arrival,
                PrefillSeconds(world, arrival) + DecodeSeconds(world, arrival));
    AddDemand(world, arrival);
    world.m_dirty = true;
    if (UsesDecisions(world.m_options.m_policy)) {
      Admit(world, arrival, now);
    } else {
      CreditRetryBudgets(InstanceOf(world, arrival.m_id).m_retry,
                         WorkspaceName(arrival.m_workspace));
      TrackedRequestOf(world, arrival.m_id).m_state = LiveState::kQueued;
    }
  }
}

void DispatchAll(BenchState& world, Instant now) {
  if (!world.m_dirty) return;
  world.m_dirty = false;
  if (!UsesDecisions(world.m_options.m_policy)) {
    DispatchBaseline(world, now);
    return;
  }
  // Each round starts at another instance, so that no instance has priority.
  const std::size_t first = world.m_round_robin++;
  for (std::size_t i = 0; i < world.m_entries.size(); ++i) {
    EntryInstance& entry =
        world.m_entries[(first + i) % world.m_entries.size()];
    while (DispatchOne(world, entry, now)) {
    }
  }
}

void TakeProgress(BenchState& world, const std::vector<Progress>& progress,
                  Instant now) {
  for (const Progress& item : progress) {
    if (item.m_finished) CompleteRequest(world, item.m_id, now);
  }
}

void EndExpired(BenchState& world, Instant now) {
  auto& deadlines = world.m_deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const std::uint64_t id = deadlines.begin()->second;
    deadlines.erase(deadlines.begin());
    if (TrackedRequestOf(world, id).m_state == LiveState::kRunning) {
      ExpireRunning(world, id, now);
    }
  }
  for (EntryInstance& entry : world.m_entries) {
    for (const QueuedRequest& waiting : RemoveExpired(entry.m_admit, now)) {
      MarkUnserved(world, waiting.m_id);
    }
  }
  while (world.m_first_open < world.m_next_arrival &&
         world.m_live[world.m_first_open].m_state == LiveState::kEnded) {
    ++world.m_first_open;
  }
  if (UsesDecisions(world.m_options.m_policy)) return;
  for (std::size_t i = world.m_first_open; i < world.m_next_arrival; ++i) {
    if (world.m_live[i].m_state == LiveState::kQueued &&
        world.m_arrivals[i].m_deadline <= now) {
      MarkUnserved(world, i + 1);
    }
  }
}

void LoseEngine(BenchState& world, std::uint32_t engine, bool was_leaving,
                Duration delay, Instant now) {
  for (const EngineRequest& request : KillEngine(world.m_fleet, engine, now)) {
    LiveRequest& tracked = TrackedRequestOf(world, request.m_id);
    tracked.m_state = LiveState::kLost;
    tracked.m_decode_left_s = request.m_decode_left_s;
    world.m_lost.push_back({now + delay, request.m_id, was_leaving});
  }
}

void RetryLost(BenchState& world, Instant now) {
  std::vector<LostRequest> noticed;
  std::erase_if(world.m_lost, [&](const LostRequest& lost) {
    if (lost.m_noticed > now) return false;
    noticed.push_back(lost);
    return true;
  });
  for (const LostRequest& lost : noticed) {
    HandleFailure(world, lost.m_id, FailureKind::kCrashed, lost.m_leaving, now);
  }
}

void ExchangeDigests(BenchState& world, Instant now) {
  if (!UsesDecisions(world.m_options.m_policy)) return;
  for (EntryInstance& sender : world.m_entries) {
    const auto digests = BuildServiceDigest(sender.m_admit);
    for (EntryInstance& receiver : world.m_entries) {
      if (&receiver == &sender) continue;
      for (const ServiceDigest& digest : digests) {
        AddPeerService(receiver.m_admit, sender.m_name, digest, now);
      }
    }
  }
  for (EntryInstance& entry : world.m_entries) {
    SetFleetSlots(entry.m_admit, kBenchFleet,
                  FleetSlots(entry.m_route, kBenchFleet));
    UpdateShares(entry.m_admit, now);
  }
  world.m_dirty = true;
}

void DeliverReports(BenchState& world, Instant now) {
  if (!UsesDecisions(world.m_options.m_policy)) return;
  for (const FakeEngine& engine : world.m_fleet.m_engines) {
    if (engine.m_dead) continue;
    const LoadSample* sample = LoadAt(engine, now, world.m_report_lag);
    if (sample == nullptr) continue;
    const LoadReport report = ReportOf(engine, *sample, world.m_fleet.m_model);
    for (EntryInstance& entry : world.m_entries) {
      const double draw =
          static_cast<double>(world.m_random() >> 11U) * 0x1.0p-53;
      if (draw < world.m_report_loss) continue;
      OnLoadReport(entry.m_route, engine.m_name, report, now);
    }
  }
  world.m_dirty = true;
}

void TellEngines(BenchState& world) {
  world.m_told.resize(world.m_fleet.m_engines.size());
  for (std::uint32_t i = 0; i < world.m_told.size(); ++i) {
    const FakeEngine& engine = world.m_fleet.m_engines[i];
    ToldEngine next = world.m_told[i];
    next.m_known = !engine.m_dead && engine.m_phase != EndpointPhase::kGone &&
                   engine.m_phase != EndpointPhase::kOrdered;
    next.m_role = engine.m_changing_until ? engine.m_next_role : engine.m_role;
    next.m_phase = RoutingPhase(engine);
    ToldEngine& published = world.m_told[i];
    if (next.m_known == published.m_known && next.m_role == published.m_role &&
        next.m_phase == published.m_phase) {
      continue;
    }
    published = next;
    for (EntryInstance& entry : world.m_entries) {
      UpdateInstance(entry, engine, published,
                     EndpointConcurrency(world.m_options.m_deployment));
    }
    world.m_dirty = true;
  }
}

}  // namespace comfreypaddle
