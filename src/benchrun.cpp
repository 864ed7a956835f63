#include "benchrun.h"

#include <algorithm>

#include "benchentry.h"
#include "benchplan.h"
#include "benchusage.h"
#include "bound.h"

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

constexpr Duration kHeartbeat = seconds(1);
constexpr Duration kRolePeriod = seconds(2);
constexpr Duration kCapacityPeriod = seconds(5);

// Fault times, relative to the start of the run.
constexpr Duration kReclaimAt = seconds(55);
constexpr Duration kSecondReclaimAt = seconds(105);
constexpr Duration kReclaimNotice = seconds(5);
constexpr Duration kEngineLostAt = seconds(40);
constexpr Duration kEngineLostLatest = seconds(90);
constexpr Duration kOutageStart = seconds(40);
constexpr Duration kOutageEnd = seconds(110);

// Delays until a loss is detected: an engine that stops responding, and a
// connection that is closed.
constexpr Duration kSilenceTimeout = seconds(2);
constexpr Duration kConnectionLossDelay = std::chrono::milliseconds(100);

// Maximum time after the last arrival for all requests to end.
constexpr Duration kMaxCompletionTime = seconds(120);

// Workspaces that were due fewer engine-seconds are not rated.
constexpr double kMinDueSeconds = 10.0;

bool IsPeriodStart(Duration period, Duration elapsed) {
  return elapsed % period < kBenchStep;
}

bool IsAt(Duration time, Duration elapsed) {
  return time <= elapsed && elapsed < time + kBenchStep;
}

// Terminates the cheap engines of a zone. After a notice their connections
// are closed, so the loss is detected sooner.
void ReclaimZone(BenchState& state, std::uint32_t zone, bool announced,
                 Instant now) {
  state.m_blocked_zones[zone] = true;
  RecordReclaim(state.m_capacity_planner, std::to_string(zone), now);
  for (std::uint32_t i = 0; i < state.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    const bool running =
        !engine.m_dead && (engine.m_phase == EndpointPhase::kReady ||
                           engine.m_phase == EndpointPhase::kDraining);
    if (engine.m_zone != zone || engine.m_class != EndpointClass::kCheap ||
        !running) {
      continue;
    }
    TerminateEngine(state, i, announced,
                    announced ? kConnectionLossDelay : kSilenceTimeout, now);
  }
}

void DrainForReclaim(BenchState& state, std::uint32_t zone, Instant now) {
  RecordReclaim(state.m_capacity_planner, std::to_string(zone), now);
  for (FakeEngine& engine : state.m_fleet.m_engines) {
    if (engine.m_zone == zone && engine.m_class == EndpointClass::kCheap &&
        IsServing(engine)) {
      engine.m_phase = EndpointPhase::kDraining;
    }
  }
}

// Terminates the first engine found in a role change, or any serving engine
// after kEngineLostLatest.
void FailEngineInRoleChange(BenchState& state, Duration elapsed, Instant now) {
  for (std::uint32_t i = 0; i < state.m_fleet.m_engines.size(); ++i) {
    const FakeEngine& engine = state.m_fleet.m_engines[i];
    if (!IsServing(engine)) continue;
    if (!engine.m_changing_until && elapsed < kEngineLostLatest) continue;
    state.m_engine_lost = true;
    TerminateEngine(state, i, false, kSilenceTimeout, now);
    return;
  }
}

void InjectFaults(BenchState& state, Duration elapsed, Instant now) {
  const Scenario scenario = state.m_options.m_scenario;
  const auto zone =
      static_cast<std::uint32_t>(state.m_options.m_seed % kBenchZones);
  const std::uint32_t other = (zone + 1) % kBenchZones;
  if (scenario == Scenario::kCheapReclaim && state.m_options.m_reclaim) {
    if (IsAt(kReclaimAt - kReclaimNotice, elapsed)) {
      DrainForReclaim(state, zone, now);
    }
    if (IsAt(kReclaimAt, elapsed)) ReclaimZone(state, zone, true, now);
    if (IsAt(kSecondReclaimAt, elapsed)) ReclaimZone(state, other, false, now);
  }
  if (scenario == Scenario::kEngineLost && !state.m_engine_lost &&
      elapsed >= kEngineLostAt) {
    FailEngineInRoleChange(state, elapsed, now);
  }
  state.m_log_unavailable = scenario == Scenario::kLogOutage &&
                            elapsed >= kOutageStart && elapsed < kOutageEnd;
}

void RunPeriodicTasks(BenchState& state, SimulatedUsage& usage,
                      Duration elapsed, Instant now) {
  if (IsPeriodStart(kHeartbeat, elapsed)) {
    SampleLoads(state.m_fleet, now);
    PublishEngines(state);
    DeliverReports(state, now);
    ExchangeDigests(state, now);
    if (elapsed > Duration{0}) ObserveArrivals(state, kHeartbeat, now);
    StepUsage(usage, state.m_log_unavailable, now);
  }
  if (IsPeriodStart(kRolePeriod, elapsed)) PlanFleetRoles(state, now);
  if (IsPeriodStart(kCapacityPeriod, elapsed)) PlanFleetCapacity(state, now);
}

BenchState CreateBenchState(const RunOptions& options) {
  BenchState state;
  state.m_options = options;
  state.m_arrivals = MakeArrivals(options.m_deployment, options.m_scenario,
                                  options.m_seed, options.m_length);
  state.m_tracked.resize(state.m_arrivals.size());
  state.m_random.seed(options.m_seed + 999);
  if (options.m_scenario == Scenario::kLaggingReports) {
    state.m_report_lag = seconds(3);
    state.m_report_loss = 0.3;
  }
  CreateInstances(state);
  CreateFleet(state, kBenchStart);
  return state;
}

RunResult RunOnce(const RunOptions& options) {
  BenchState state = CreateBenchState(options);
  SimulatedUsage usage;
  usage.m_random.seed(options.m_seed);
  std::vector<Progress> progress;
  double spend = 0.0;
  Duration elapsed{0};
  for (; elapsed < options.m_length + kMaxCompletionTime;
       elapsed += kBenchStep) {
    const Instant now = kBenchStart + elapsed;
    const bool arriving = elapsed < options.m_length;
    // Spend counts only while requests arrive. Afterwards the run only
    // completes the open requests.
    if (!arriving && state.m_first_unfinished == state.m_arrivals.size()) break;
    if (arriving) {
      InjectFaults(state, elapsed, now);
      spend = state.m_fleet.m_spend;
    }
    AdmitArrivals(state, now);
    progress.clear();
    StepFleet(state.m_fleet, now, kBenchStep, progress);
    for (const Progress& item : progress) {
      if (item.m_finished) RecordUsage(usage, state.m_arrivals[item.m_id - 1]);
    }
    CompleteFinished(state, progress, now);
    RetryLost(state, now);
    ExpireRequests(state, now);
    RunPeriodicTasks(state, usage, elapsed, now);
    DispatchAll(state, now);
  }
  const RunMetrics& metrics = state.m_metrics;
  RunResult result;
  result.m_goodput = metrics.m_on_time_work_s / ToSeconds(options.m_length);
  result.m_role_changes = static_cast<double>(metrics.m_role_changes);
  result.m_worst_served = ComputeWorstServed(metrics, kMinDueSeconds);
  result.m_spend = spend / std::max(1.0, metrics.m_on_time_work_s);
  result.m_wrong_reports =
      static_cast<double>(FinishUsage(usage, kBenchStart + elapsed));
  result.m_cheap_share = state.m_fleet.m_cheap_work_s /
                         std::max(1.0, state.m_fleet.m_total_work_s);
  result.m_unserved = static_cast<double>(metrics.m_unserved);
  result.m_abandoned = static_cast<double>(metrics.m_abandoned);
  result.m_signature = metrics.m_signature;
  return result;
}

RunResult RunBound(const RunOptions& options) {
  BoundOptions bound_options;
  bound_options.m_endpoints = kBenchEndpoints;
  bound_options.m_min_endpoints = kBenchMinEndpoints;
  bound_options.m_cheap_share = kBenchCheapShare;
  bound_options.m_zones = kBenchZones;
  bound_options.m_length = options.m_length;
  const Bound bound = ComputeBound(
      bound_options, MakeArrivals(options.m_deployment, options.m_scenario,
                                  options.m_seed, options.m_length));
  RunResult result;
  result.m_goodput = bound.m_goodput;
  result.m_role_changes = bound.m_role_changes;
  result.m_worst_served = 1.0;
  result.m_spend = bound.m_spend;
  result.m_cheap_share = bound.m_cheap_share;
  return result;
}

}  // namespace

RunResult RunScenario(const RunOptions& options) {
  if (options.m_policy == BenchPolicy::kClairvoyant) return RunBound(options);
  RunResult result = RunOnce(options);
  if (options.m_scenario == Scenario::kCheapReclaim) {
    RunOptions no_reclaim = options;
    no_reclaim.m_reclaim = false;
    const RunResult other = RunOnce(no_reclaim);
    result.m_cheap_harm = std::max(0.0, result.m_unserved - other.m_unserved);
  }
  return result;
}

}  // namespace comfreypaddle
