#ifndef COMFREYPADDLE_FLEET_H_
#define COMFREYPADDLE_FLEET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Simulated fleet of model engines for `bench`. Work is measured in
// engine-seconds: the time that a dedicated engine needs for it.

// Parameters of an engine. They belong to the simulation model and are not
// policy settings.
struct EngineModel {
  double m_prefill_s = 0.00025;  // Per prompt token: 4,000 tokens/s.
  double m_decode_s = 0.001;     // Per output token: 1,000 tokens/s in a batch.
  // Maximum output tokens per second of one stream.
  double m_stream_rate = 50.0;
  // Relative speed of both phases on a mixed engine, and of the other phase on
  // a dedicated engine.
  double m_mixed_speed = 0.8;
  double m_other_speed = 0.5;
  // Share of a step that a prefill engine spends on prompts while streams wait.
  double m_prefill_part = 0.8;
  std::uint32_t m_concurrency = 24;
  std::uint32_t m_kv_pieces = 80;
  double m_tokens_per_piece = 2000.0;
  Duration m_role_change = std::chrono::seconds(4);
  Duration m_lead_time = std::chrono::seconds(20);
  Duration m_lead_jitter = std::chrono::seconds(10);
  // Probability that an ordered engine never becomes ready.
  double m_never_ready = 0.1;
  double m_on_demand_price = 1.0;  // Price per second.
  double m_cheap_price = 0.4;
};

// Request at an engine and its remaining work.
struct EngineRequest {
  std::uint64_t m_id = 0;
  double m_prefill_left_s = 0.0;
  double m_decode_left_s = 0.0;
  std::uint32_t m_pieces = 1;
  bool m_started = false;  // Its prefill has started.
};

// Load of an engine at one instant, kept to simulate delayed load reports. A
// request in the batch whose prefill has not started counts as queued, since it
// waits for its first step.
struct LoadSample {
  Instant m_taken{};
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
  double m_queued_s = 0.0;  // Remaining work of queued requests.
  std::uint32_t m_used_pieces = 0;
};

struct FakeEngine {
  std::string m_name;
  std::uint32_t m_zone = 0;
  EndpointClass m_class = EndpointClass::kOnDemand;
  EndpointRole m_role = EndpointRole::kMixed;
  EndpointPhase m_phase = EndpointPhase::kReady;
  std::optional<Instant> m_changing_until;
  EndpointRole m_next_role = EndpointRole::kMixed;
  Instant m_ordered{};
  Instant m_ready_at{};
  bool m_never_ready = false;
  // Crashed or reclaimed; the platform may not have noticed yet.
  bool m_dead = false;
  Instant m_ended{};
  std::vector<EngineRequest> m_running;
  std::deque<EngineRequest> m_queue;
  std::uint32_t m_used_pieces = 0;
  std::deque<LoadSample> m_samples;
};

struct SimulatedFleet {
  EngineModel m_model;
  std::vector<FakeEngine> m_engines;  // Terminated engines keep their index.
  std::mt19937_64 m_random{1};
  double m_spend = 0.0;
  double m_cheap_work_s = 0.0;
  double m_total_work_s = 0.0;
};

// Work done for a request in one step.
struct Progress {
  std::uint64_t m_id = 0;
  std::uint32_t m_engine = 0;
  double m_work_s = 0.0;
  bool m_finished = false;
};

// Adds an engine that is ready immediately.
void AddEngine(SimulatedFleet& fleet, std::uint32_t zone, EndpointClass kind,
               EndpointRole role, Instant now);

// Orders an engine, which becomes ready after the lead time or never.
void OrderEngine(SimulatedFleet& fleet, std::uint32_t zone, EndpointClass kind,
                 Instant now);

// Starts a role change. The engine does no work until the change completes; its
// requests stay.
void StartRoleChange(SimulatedFleet& fleet, std::uint32_t engine,
                     EndpointRole role, Instant now);

// Sends a request to an engine. Returns false if the engine is dead.
bool SendRequest(SimulatedFleet& fleet, std::uint32_t engine,
                 EngineRequest request);

// Removes a request from its engine and returns it with its remaining work.
std::optional<EngineRequest> CancelRequest(SimulatedFleet& fleet,
                                           std::uint32_t engine,
                                           std::uint64_t id);

// Terminates an engine and returns the requests it held.
std::vector<EngineRequest> KillEngine(SimulatedFleet& fleet,
                                      std::uint32_t engine, Instant now);

// Advances all engines by one step and appends the work done to `progress`.
// Draining engines without requests terminate.
void StepFleet(SimulatedFleet& fleet, Instant now, Duration step,
               std::vector<Progress>& progress);

// Records the load of all engines for later reports.
void SampleLoads(SimulatedFleet& fleet, Instant now);

// Returns the newest sample that is at least `lag` old, or null.
const LoadSample* LoadAt(const FakeEngine& engine, Instant now, Duration lag);

// Whether the engine is ready and not dead.
bool IsServing(const FakeEngine& engine);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FLEET_H_
