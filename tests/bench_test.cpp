#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "bench.h"

#include <doctest/doctest.h>

#include "benchrun.h"
#include "bound.h"

namespace comfreypaddle {
namespace {

using std::chrono::seconds;

// Guards against decisions that depend on addresses, clocks or the order of
// unordered containers.
TEST_CASE("the same seeds give the same signature") {
  CHECK(Bench(1) == 0);
  const BenchReport first = RunBench(1, 1);
  const BenchReport second = RunBench(1, 1);
  CHECK(first.m_signature == second.m_signature);
  CHECK(first.m_lines.size() == 2 * 6 * 7);
  CHECK(RunBench(2, 1).m_signature != first.m_signature);
  CHECK(FormatLine(first.m_lines[0], 1)
            .starts_with(
                "measure=goodput deployment=hagerstrom policy=current value="));
}

// Guards against a clairvoyant bound that an online policy exceeds.
TEST_CASE("no policy beats the clairvoyant bound") {
  for (const auto& scenario : EnumNames<Scenario>::kTable) {
    RunOptions options;
    options.m_scenario = scenario.m_value;
    options.m_policy = BenchPolicy::kClairvoyant;
    const RunResult bound = RunScenario(options);
    for (const auto& policy : EnumNames<BenchPolicy>::kTable) {
      options.m_policy = policy.m_value;
      const RunResult result = RunScenario(options);
      CHECK(result.m_goodput <= bound.m_goodput + 1e-6);
      CHECK(result.m_spend >= bound.m_spend - 1e-6);
      CHECK(result.m_wrong_reports == 0.0);
    }
  }
}

TEST_CASE("the bound serves what fits before the deadlines and no more") {
  BoundOptions options;
  options.m_endpoints = 1;
  options.m_length = seconds(10);
  std::vector<Arrival> arrivals(2);
  for (Arrival& arrival : arrivals) {
    arrival.m_time = kBenchStart;
    arrival.m_output_tokens = 4000.0;  // Four engine-seconds.
  }
  arrivals[0].m_deadline = kBenchStart + seconds(5);
  arrivals[1].m_deadline = kBenchStart + seconds(6);
  CHECK(ServedByDeadline(options, arrivals) == doctest::Approx(6.0));
  arrivals[1].m_deadline = kBenchStart + seconds(20);
  CHECK(ServedByDeadline(options, arrivals) == doctest::Approx(8.0));
}

// Guards against comparing a small workspace with a fair share larger than the
// work it requested.
TEST_CASE("the fair due is bounded by the work that arrived") {
  ServiceWindow window;
  window.m_arrived = {100.0, 50.0, 1.0};
  window.m_served = {30.0, 10.0, 1.0};
  const auto due = ComputeFairDue(window);
  CHECK(due[0] == doctest::Approx(20.0));
  CHECK(due[1] == doctest::Approx(20.0));
  CHECK(due[2] == doctest::Approx(1.0));
  RunMetrics metrics;
  metrics.m_windows = {window};
  CHECK(ComputeWorstServed(metrics, 2.0) == doctest::Approx(0.5));
}

TEST_CASE("an engine does nothing while its role changes, and loses nothing") {
  SimulatedFleet fleet;
  AddEngine(fleet, 0, EndpointClass::kCheap, EndpointRole::kMixed, kBenchStart);
  EngineRequest request;
  request.m_id = 1;
  request.m_prefill_left_s = 1.0;
  REQUIRE(SendRequest(fleet, 0, request));
  StartRoleChange(fleet, 0, EndpointRole::kPrefill, kBenchStart);
  std::vector<Progress> progress;
  Instant now = kBenchStart;
  for (; now < kBenchStart + seconds(4); now += kBenchStep) {
    StepFleet(fleet, now, kBenchStep, progress);
  }
  CHECK(progress.empty());
  for (; now < kBenchStart + seconds(6); now += kBenchStep) {
    StepFleet(fleet, now, kBenchStep, progress);
  }
  REQUIRE_FALSE(progress.empty());
  CHECK(progress.back().m_finished);
  CHECK(fleet.m_total_work_s == doctest::Approx(1.0));
  CHECK(fleet.m_spend == doctest::Approx(6.0 * 0.4));
}

}  // namespace
}  // namespace comfreypaddle
