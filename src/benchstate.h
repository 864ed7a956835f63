#ifndef COMFREYPADDLE_BENCHSTATE_H_
#define COMFREYPADDLE_BENCHSTATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission.h"
#include "arrivals.h"
#include "benchmetrics.h"
#include "capacity.h"
#include "fleet.h"
#include "retry.h"
#include "roles.h"
#include "route.h"

namespace comfreypaddle {

enum class BenchPolicy {
  kCurrent,
  kFixedRoles,
  kGreedyRoles,
  kRoundRobin,
  kLeastReportedLoad,
  kClairvoyant
};

template <>
struct EnumNames<BenchPolicy> {
  static constexpr std::array<EnumName<BenchPolicy>, 6> kTable{
      {{BenchPolicy::kCurrent, "current"},
       {BenchPolicy::kFixedRoles, "fixed-roles"},
       {BenchPolicy::kGreedyRoles, "greedy-roles"},
       {BenchPolicy::kRoundRobin, "round-robin"},
       {BenchPolicy::kLeastReportedLoad, "least-reported-load"},
       {BenchPolicy::kClairvoyant, "clairvoyant"}}};
};

// Fleet of design section 1.3: maximum and minimum size, maximum cheap share.
inline constexpr int kBenchEndpoints = 12;
inline constexpr int kBenchMinEndpoints = 6;
inline constexpr double kBenchCheapShare = 0.6;
inline constexpr const char* kBenchFleet = "models";

// Time step of the simulation.
inline constexpr Duration kBenchStep = std::chrono::milliseconds(100);

// Parameters of one run.
struct RunOptions {
  BenchPolicy m_policy = BenchPolicy::kCurrent;
  Deployment m_deployment = Deployment::kHagerstrom;
  Scenario m_scenario = Scenario::kRatioSwings;
  std::uint64_t m_seed = 1;
  Duration m_length = std::chrono::seconds(150);
  bool m_reclaim = true;  // False skips the reclaim of cheap endpoints.
};

struct EntryInstance {
  std::string m_name;
  std::uint32_t m_zone = 0;
  AdmissionQueue m_admission;
  RouteState m_route;
  RetryState m_retry;
};

enum class RequestState { kNotArrived, kQueued, kRunning, kLost, kEnded };

// State of a request from arrival to end.
struct TrackedRequest {
  RequestState m_state = RequestState::kNotArrived;
  std::uint32_t m_engine = 0;
  std::uint32_t m_attempts = 0;
  double m_route_work = 0.0;  // Tokens of work passed to OnSent.
  double m_decode_left_s = 0.0;
  QueuedRequest m_queued_request;  // As dequeued.
};

// Request lost with its engine, and when its instance detects the loss.
struct LostRequest {
  Instant m_detected_at{};
  std::uint64_t m_id = 0;
  bool m_leaving = false;
};

// Engine state last published to the instances.
struct PublishedEngine {
  bool m_listed = false;
  EndpointRole m_role = EndpointRole::kMixed;
  EndpointPhase m_phase = EndpointPhase::kGone;
};

// State of one run.
struct BenchState {
  RunOptions m_options;
  std::vector<Arrival> m_arrivals;
  std::size_t m_next_arrival = 0;
  std::size_t m_first_unfinished = 0;     // All earlier requests have ended.
  std::vector<TrackedRequest> m_tracked;  // By id - 1.
  SimulatedFleet m_fleet;
  std::vector<EntryInstance> m_entries;
  std::vector<LostRequest> m_lost;
  std::multimap<Instant, std::uint64_t> m_deadlines;  // Of running requests.
  std::vector<PublishedEngine> m_published;
  RunMetrics m_metrics;
  PhaseDemand m_arrived_demand;  // Engine-seconds since the last heartbeat.
  RolePlanner m_role_planner;
  CapacityPlanner m_capacity_planner;
  RolePlanner m_sustained_demand;  // Only its long window is used.
  // Zones without available cheap engines.
  std::array<bool, kBenchZones> m_blocked_zones{};
  std::size_t m_round_robin = 0;
  bool m_dispatch_pending = true;  // Queued requests may be able to start.
  bool m_log_unavailable = false;
  bool m_engine_lost = false;
  Duration m_report_lag = std::chrono::milliseconds(300);
  double m_report_loss = 0.0;
  std::mt19937_64 m_random{1};
};

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHSTATE_H_
