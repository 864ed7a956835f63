#include "benchentry.h"

#include <algorithm>
#include <charconv>

#include "fairshare.h"

namespace comfreypaddle {
namespace {

// Engine-seconds for each token of work; see EngineModel and WorkCosts.
constexpr double kSecondsPerWork = 0.001;

constexpr std::uint32_t kDecisionRefused = 0x10000;
constexpr std::uint32_t kDecisionRetry = 0x20000;

// Requests that the operators let one endpoint run at once. Long prompts are
// served one after another, so that more of them would only wait at the
// endpoint, where the fair queue has no say.
std::uint32_t FleetConcurrency(Deployment deployment) {
  return deployment == Deployment::kHagerstrom ? 12 : 16;
}

std::string ZoneName(std::uint32_t zone) {
  return "zone-" + std::to_string(zone);
}

std::string WorkspaceName(std::uint32_t workspace) {
  return "workspace-" + std::to_string(workspace);
}

std::uint32_t EngineOf(std::string_view name) {
  std::uint32_t index = 0;
  name.remove_prefix(name.find('-') + 1);
  std::from_chars(name.data(), name.data() + name.size(), index);
  return index;
}

const Arrival& ArrivalOf(const World& world, std::uint64_t id) {
  return world.m_arrivals[id - 1];
}

LiveRequest& LiveOf(World& world, std::uint64_t id) {
  return world.m_live[id - 1];
}

EntryInstance& EntryOf(World& world, std::uint64_t id) {
  return world.m_entries[ArrivalOf(world, id).m_instance];
}

double PrefillSeconds(const World& world, const Arrival& arrival) {
  return arrival.m_prompt_tokens * world.m_fleet.m_model.m_prefill_s;
}

double DecodeSeconds(const World& world, const Arrival& arrival) {
  return arrival.m_output_tokens * world.m_fleet.m_model.m_decode_s;
}

// Ends a request without an answer in time.
void EndUnserved(World& world, std::uint64_t id) {
  LiveOf(world, id).m_state = LiveState::kEnded;
  ++world.m_tally.m_unserved;
}

// Adds the expected work of an arrival to the demand of the phase that it
// suits, by the same rule as routing.
void NoteDemand(World& world, const Arrival& arrival) {
  const double prefill = PrefillSeconds(world, arrival);
  const double decode =
      arrival.m_expected_output * world.m_fleet.m_model.m_decode_s;
  double& demand =
      prefill >= decode ? world.m_arrived.m_prefill : world.m_arrived.m_decode;
  demand += prefill + decode;
}

void Admit(World& world, const Arrival& arrival, Instant now) {
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
  if (decision.m_evicted) EndUnserved(world, decision.m_evicted->m_id);
  if (decision.m_status == EnqueueStatus::kQueued) {
    LiveOf(world, arrival.m_id).m_state = LiveState::kQueued;
  } else {
    NoteDecision(world.m_tally, arrival.m_id * 0x100000 + kDecisionRefused);
    EndUnserved(world, arrival.m_id);
  }
}

// Hands the request to the engine. Returns false if the engine is gone.
bool Send(World& world, std::uint64_t id, std::uint32_t engine) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& live = LiveOf(world, id);
  const EngineModel& model = world.m_fleet.m_model;
  EngineRequest request;
  request.m_id = id;
  // A repeated request continues behind the tokens that were delivered, which
  // count as prompt.
  const double delivered =
      (DecodeSeconds(world, arrival) - live.m_decode_left_s) / model.m_decode_s;
  request.m_prefill_left_s =
      (arrival.m_prompt_tokens + delivered) * model.m_prefill_s;
  request.m_decode_left_s = live.m_decode_left_s;
  request.m_pieces = 1 + static_cast<std::uint32_t>((arrival.m_prompt_tokens +
                                                     arrival.m_output_tokens) /
                                                    model.m_tokens_per_piece);
  ++live.m_attempts;
  live.m_engine = engine;
  NoteDecision(world.m_tally, id * 0x100000 + engine);
  if (!SendRequest(world.m_fleet, engine, request)) return false;
  live.m_state = LiveState::kRunning;
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
  query.m_region = query.m_zone;  // Each zone is its own region.
  return query;
}

// Books a failed attempt and returns the request to the queue if it may be
// tried again.
void Fail(World& world, std::uint64_t id, FailureKind kind, bool leaving,
          Instant now) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& live = LiveOf(world, id);
  EntryInstance& entry = EntryOf(world, id);
  OnFailed(entry.m_route, world.m_fleet.m_engines[live.m_engine].m_name,
           live.m_route_work, kind, now);
  FailureContext facts;
  facts.m_kind = kind;
  facts.m_workspace = WorkspaceName(arrival.m_workspace);
  facts.m_repeatable = true;
  facts.m_may_have_run = kind != FailureKind::kConnectFailed;
  facts.m_prefix_available =
      live.m_decode_left_s < DecodeSeconds(world, arrival);
  facts.m_answer_seen = facts.m_prefix_available;
  facts.m_partly_delivered = facts.m_prefix_available;
  facts.m_made_progress = facts.m_prefix_available;
  facts.m_endpoint_leaving = leaving;
  facts.m_attempts = live.m_attempts;
  facts.m_deadline = arrival.m_deadline;
  const RetryDecision decision = DecideRetry(entry.m_retry, facts, now);
  NoteDecision(world.m_tally,
               id * 0x100000 + kDecisionRetry +
                   static_cast<std::uint64_t>(decision.m_action));
  const bool queued = UsesDecisions(world.m_options.m_policy);
  if (decision.m_action == RetryAction::kGiveUp) {
    if (queued) {
      ChargeActualCost(entry.m_admit, kBenchFleet, facts.m_workspace,
                       live.m_waiting.m_cost, live.m_waiting.m_cost);
    }
    if (now < arrival.m_deadline) ++world.m_tally.m_cut;
    EndUnserved(world, id);
    return;
  }
  live.m_state = LiveState::kQueued;
  if (queued) Requeue(entry.m_admit, live.m_waiting, now);
  world.m_dirty = true;
}

// Sends the next request of the instance. Returns false if none can start.
bool DispatchOne(World& world, EntryInstance& entry, Instant now) {
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
  LiveRequest& live = LiveOf(world, id);
  live.m_waiting = std::move(*waiting);
  live.m_route_work = choice->m_work;
  OnSent(entry.m_route, choice->m_endpoint, choice->m_work, false, now);
  if (!Send(world, id, EngineOf(choice->m_endpoint))) {
    Fail(world, id, FailureKind::kConnectFailed, false, now);
  }
  return true;
}

// Engine for the policies without the routing decisions. They know the engines
// that the platform lists and use no queue of their own.
std::optional<std::uint32_t> PickSimple(World& world, Instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < world.m_told.size(); ++i) {
    const ToldEngine& told = world.m_told[i];
    if (told.m_known && told.m_phase == EndpointPhase::kReady) {
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

// Sends requests that were just accepted or lost, in order of arrival.
void DispatchSimple(World& world, Instant now) {
  for (std::size_t i = world.m_first_open; i < world.m_next_arrival; ++i) {
    if (world.m_live[i].m_state != LiveState::kQueued) continue;
    const auto engine = PickSimple(world, now);
    if (!engine) return;
    if (!Send(world, i + 1, *engine)) {
      Fail(world, i + 1, FailureKind::kConnectFailed, false, now);
    }
  }
}

void Finish(World& world, std::uint64_t id, Instant now) {
  const Arrival& arrival = ArrivalOf(world, id);
  LiveRequest& live = LiveOf(world, id);
  live.m_state = LiveState::kEnded;
  NoteServed(world.m_tally, arrival,
             PrefillSeconds(world, arrival) + DecodeSeconds(world, arrival));
  world.m_dirty = true;
  if (!UsesDecisions(world.m_options.m_policy)) return;
  EntryInstance& entry = EntryOf(world, id);
  OnFinished(entry.m_route, world.m_fleet.m_engines[live.m_engine].m_name,
             live.m_route_work, now);
  ChargeActualCost(entry.m_admit, kBenchFleet, live.m_waiting.m_workspace,
                   live.m_waiting.m_cost,
                   ComputeWork(entry.m_route.m_costs, arrival.m_prompt_tokens,
                               arrival.m_output_tokens));
}

void ExpireRunning(World& world, std::uint64_t id, Instant now) {
  LiveRequest& live = LiveOf(world, id);
  const auto left = CancelRequest(world.m_fleet, live.m_engine, id);
  EndUnserved(world, id);
  world.m_dirty = true;
  if (!UsesDecisions(world.m_options.m_policy)) return;
  EntryInstance& entry = EntryOf(world, id);
  OnCancelled(entry.m_route, world.m_fleet.m_engines[live.m_engine].m_name,
              live.m_route_work, now);
  const double left_s =
      left ? left->m_prefill_left_s + left->m_decode_left_s : 0.0;
  const double used =
      std::max(0.0, live.m_waiting.m_cost - left_s / kSecondsPerWork);
  ChargeActualCost(entry.m_admit, kBenchFleet, live.m_waiting.m_workspace,
                   live.m_waiting.m_cost, used);
}

LoadReport ReportOf(const FakeEngine& engine, const LoadSample& sample,
                    const EngineModel& model) {
  LoadReport report;
  report.m_measured_at = sample.m_taken;
  report.m_queued = sample.m_queued;
  report.m_running = sample.m_running;
  report.m_queued_tokens = sample.m_queued_s / kSecondsPerWork;
  report.m_kv_used_pieces = sample.m_used_pieces;
  report.m_kv_total_pieces = model.m_kv_pieces;
  report.m_draining = engine.m_phase == EndpointPhase::kDraining;
  return report;
}

// Phase in which routing should see the engine. A changing engine takes no
// work, as if it were starting.
EndpointPhase SeenPhase(const FakeEngine& engine) {
  return engine.m_changing_until ? EndpointPhase::kStarting : engine.m_phase;
}

void TellOne(EntryInstance& entry, const FakeEngine& engine,
             const ToldEngine& told, std::uint32_t concurrency) {
  if (!told.m_known) {
    RemoveEndpoint(entry.m_route, engine.m_name);
    return;
  }
  Endpoint endpoint;
  endpoint.m_name = engine.m_name;
  endpoint.m_fleet = kBenchFleet;
  endpoint.m_availability_zone = ZoneName(engine.m_zone);
  endpoint.m_region = endpoint.m_availability_zone;
  endpoint.m_class = engine.m_class;
  endpoint.m_role = told.m_role;
  SetEndpoint(entry.m_route, endpoint, concurrency);
  SetEndpointPhase(entry.m_route, engine.m_name, told.m_phase);
}

}  // namespace

bool UsesDecisions(BenchPolicy policy) {
  return policy != BenchPolicy::kRoundRobin &&
         policy != BenchPolicy::kLeastReportedLoad;
}

void CreateEntries(World& world) {
  for (std::uint32_t i = 0; i < kBenchInstances; ++i) {
    EntryInstance& entry = world.m_entries.emplace_back();
    entry.m_name = "entry-" + std::to_string(i);
    entry.m_zone = i % kBenchZones;
    entry.m_route.m_random.seed(world.m_options.m_seed * 100 + i);
  }
}

void TakeArrivals(World& world, Instant now) {
  while (world.m_next_arrival < world.m_arrivals.size() &&
         world.m_arrivals[world.m_next_arrival].m_time <= now) {
    const Arrival& arrival = world.m_arrivals[world.m_next_arrival++];
    LiveOf(world, arrival.m_id).m_decode_left_s = DecodeSeconds(world, arrival);
    NoteArrived(world.m_tally, arrival,
                PrefillSeconds(world, arrival) + DecodeSeconds(world, arrival));
    NoteDemand(world, arrival);
    world.m_dirty = true;
    if (UsesDecisions(world.m_options.m_policy)) {
      Admit(world, arrival, now);
    } else {
      CreditRetryBudgets(EntryOf(world, arrival.m_id).m_retry,
                         WorkspaceName(arrival.m_workspace));
      LiveOf(world, arrival.m_id).m_state = LiveState::kQueued;
    }
  }
}

void DispatchAll(World& world, Instant now) {
  if (!world.m_dirty) return;
  world.m_dirty = false;
  if (!UsesDecisions(world.m_options.m_policy)) {
    DispatchSimple(world, now);
    return;
  }
  // Each round starts at another instance, so that none is always first.
  const std::size_t first = world.m_round_robin++;
  for (std::size_t i = 0; i < world.m_entries.size(); ++i) {
    EntryInstance& entry =
        world.m_entries[(first + i) % world.m_entries.size()];
    while (DispatchOne(world, entry, now)) {
    }
  }
}

void TakeProgress(World& world, const std::vector<Progress>& progress,
                  Instant now) {
  for (const Progress& item : progress) {
    if (item.m_finished) Finish(world, item.m_id, now);
  }
}

void EndExpired(World& world, Instant now) {
  auto& deadlines = world.m_deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const std::uint64_t id = deadlines.begin()->second;
    deadlines.erase(deadlines.begin());
    if (LiveOf(world, id).m_state == LiveState::kRunning) {
      ExpireRunning(world, id, now);
    }
  }
  for (EntryInstance& entry : world.m_entries) {
    for (const QueuedRequest& waiting : RemoveExpired(entry.m_admit, now)) {
      EndUnserved(world, waiting.m_id);
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
      EndUnserved(world, i + 1);
    }
  }
}

void LoseEngine(World& world, std::uint32_t engine, bool was_leaving,
                Duration delay, Instant now) {
  for (const EngineRequest& request : KillEngine(world.m_fleet, engine, now)) {
    LiveRequest& live = LiveOf(world, request.m_id);
    live.m_state = LiveState::kLost;
    live.m_decode_left_s = request.m_decode_left_s;
    world.m_lost.push_back({now + delay, request.m_id, was_leaving});
  }
}

void RetryLost(World& world, Instant now) {
  std::vector<LostRequest> noticed;
  std::erase_if(world.m_lost, [&](const LostRequest& lost) {
    if (lost.m_noticed > now) return false;
    noticed.push_back(lost);
    return true;
  });
  for (const LostRequest& lost : noticed) {
    Fail(world, lost.m_id, FailureKind::kCrashed, lost.m_leaving, now);
  }
}

void ExchangeDigests(World& world, Instant now) {
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

void DeliverReports(World& world, Instant now) {
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

void TellEngines(World& world) {
  world.m_told.resize(world.m_fleet.m_engines.size());
  for (std::uint32_t i = 0; i < world.m_told.size(); ++i) {
    const FakeEngine& engine = world.m_fleet.m_engines[i];
    ToldEngine next = world.m_told[i];
    next.m_known = !engine.m_dead && engine.m_phase != EndpointPhase::kGone &&
                   engine.m_phase != EndpointPhase::kOrdered;
    next.m_role = engine.m_changing_until ? engine.m_next_role : engine.m_role;
    next.m_phase = SeenPhase(engine);
    ToldEngine& told = world.m_told[i];
    if (next.m_known == told.m_known && next.m_role == told.m_role &&
        next.m_phase == told.m_phase) {
      continue;
    }
    told = next;
    for (EntryInstance& entry : world.m_entries) {
      TellOne(entry, engine, told,
              FleetConcurrency(world.m_options.m_deployment));
    }
    world.m_dirty = true;
  }
}

}  // namespace comfreypaddle
