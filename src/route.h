#ifndef COMFREYPADDLE_ROUTE_H_
#define COMFREYPADDLE_ROUTE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "retry.h"
#include "subset.h"
#include "types.h"

namespace comfreypaddle {

// Load of an endpoint as it reported it.
struct LoadReport {
  Instant m_taken{};  // Time of the reading: arrival minus the reported age.
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
  double m_queued_tokens = 0.0;
  std::uint32_t m_kv_used_pieces = 0;
  std::uint32_t m_kv_total_pieces = 0;  // Zero: not reported.
  bool m_draining = false;
  std::string m_incarnation;
};

// Request that this instance sent (+) or that ended (-).
struct LoadDelta {
  Instant m_time{};
  double m_work = 0.0;
  int m_requests = 0;
};

enum class EndpointHealth { kHealthy, kEjected, kProbing };

template <>
struct EnumNames<EndpointHealth> {
  static constexpr std::array<EnumName<EndpointHealth>, 3> kTable{
      {{EndpointHealth::kHealthy, "healthy"},
       {EndpointHealth::kEjected, "ejected"},
       {EndpointHealth::kProbing, "probing"}}};
};

// What this instance knows about an endpoint.
struct EndpointView {
  std::string m_name;
  std::string m_fleet;
  std::string m_zone;
  std::string m_region;
  EndpointClass m_class = EndpointClass::kOnDemand;
  EndpointRole m_role = EndpointRole::kMixed;
  EndpointPhase m_phase = EndpointPhase::kReady;
  bool m_draining = false;  // By configuration.
  bool m_leaving = false;   // By the platform or by a peer.
  bool m_order_pending =
      false;  // An order to it is open; it is to become idle.
  std::uint32_t m_concurrency = 0;
  std::uint64_t m_hash = 0;  // Of the name, for rendezvous hashing.
  std::optional<LoadReport> m_report;
  Instant m_received_at{};  // Arrival of m_report.
  // Requests of this instance that run there now.
  std::uint32_t m_own_requests = 0;
  double m_own_work = 0.0;
  // Changes since m_report was taken, oldest first, and their sums.
  std::deque<LoadDelta> m_load_deltas;
  double m_work_since_report = 0.0;
  int m_requests_since_report = 0;
  // Failures in a row, and ejection.
  EndpointHealth m_health = EndpointHealth::kHealthy;
  std::uint32_t m_failures = 0;
  std::uint32_t m_ejections = 0;  // In a row.
  Instant m_ejected_until{};
  // It refused a request that did not run, and gets none before this time.
  Instant m_refused_until{};
  // True while a request runs there in isolation.
  bool m_isolated = false;
};

// Returns whether the endpoint is known to leave or drain, by configuration,
// by the platform, by a peer or by its own report.
bool IsLeaving(const EndpointView& view);

// Endpoints of a fleet.
struct FleetView {
  std::vector<EndpointView> m_endpoints;
  double m_mean_work = 0.0;  // Moving average of the work of one request.
};

// Cost of tokens in tokens of work.
struct WorkCosts {
  double m_prefill = 0.25;  // For each prompt token.
  double m_decode = 1.0;    // For each output token.
};

// Where an endpoint's view is.
struct EndpointLocation {
  std::string m_fleet;
  std::size_t m_index = 0;
};

struct RouteState {
  std::map<std::string, FleetView, std::less<>> m_fleets;
  std::map<std::string, EndpointLocation, std::less<>>
      m_locations;  // By endpoint.
  WorkCosts m_costs;
  std::mt19937_64 m_random{1};
};

// A request that needs an endpoint.
struct RouteQuery {
  std::string m_fleet;
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;     // Expected.
  std::uint64_t m_prefix_hash = 0;  // Zero: no affinity.
  std::string m_zone;               // Of this instance.
  std::string m_region;
  bool m_repeatable = true;
  bool m_urgent = false;
  // Suspected of crashing endpoints: no other request joins it on its endpoint
  // until EndIsolation.
  bool m_isolated = false;
  std::vector<std::string> m_excluded;
};

enum class RouteReason {
  kAffinity,   // Rendezvous endpoint of the prefix, within the load bound.
  kLeastLoad,  // Better one of two random choices.
  kOnly,       // The only endpoint with room.
  kProbe,      // Trial of an endpoint that was ejected.
  kIsolated,   // Idle endpoint for a suspected request.
  kLastResort  // All endpoints with room are ejected.
};

template <>
struct EnumNames<RouteReason> {
  static constexpr std::array<EnumName<RouteReason>, 6> kTable{
      {{RouteReason::kAffinity, "affinity"},
       {RouteReason::kLeastLoad, "least_load"},
       {RouteReason::kOnly, "only"},
       {RouteReason::kProbe, "probe"},
       {RouteReason::kIsolated, "isolated"},
       {RouteReason::kLastResort, "last_resort"}}};
};

struct RouteChoice {
  std::string m_endpoint;
  RouteReason m_reason = RouteReason::kLeastLoad;
  double m_work = 0.0;           // Of this request, tokens of work.
  double m_endpoint_work = 0.0;  // Estimated before this request.
};

// Returns the cost of a request in tokens of work.
double ComputeWork(const WorkCosts& costs, double prompt_tokens,
                   double output_tokens);

// Adds an endpoint or updates its configuration; load and health are kept.
void SetEndpoint(RouteState& state, const Endpoint& endpoint,
                 std::uint32_t concurrency);

// Sets the phase that the platform gave. New endpoints are ready.
void SetEndpointPhase(RouteState& state, std::string_view endpoint,
                      EndpointPhase phase);

// Marks an endpoint that is known to be leaving, or takes the mark back.
void SetLeaving(RouteState& state, std::string_view endpoint, bool leaving);

// Marks an endpoint with an open order, or takes the mark back.
void SetOrderPending(RouteState& state, std::string_view endpoint,
                     bool ordered);

// Sets the role that the endpoint has now.
void SetRole(RouteState& state, std::string_view endpoint, EndpointRole role);

void RemoveEndpoint(RouteState& state, std::string_view endpoint);

// Returns the view of an endpoint, or null.
const EndpointView* FindEndpoint(const RouteState& state,
                                 std::string_view endpoint);

// Returns the work at an endpoint: as reported, corrected by requests that
// this instance sent or saw finish since the report was taken.
double EstimatedWork(const FleetView& fleet, const EndpointView& endpoint);

// Returns the number of requests at an endpoint, estimated the same way.
double EstimatedRequests(const EndpointView& endpoint);

// Returns the number of requests that the usable endpoints of a fleet can run
// at once.
double FleetSlots(const RouteState& state, std::string_view fleet);

// Chooses an endpoint with room. Nothing is returned if there is none; the
// request then stays in the queue. The choice changes only the generator: the
// caller reports with OnSent what it did.
std::optional<RouteChoice> ChooseEndpoint(RouteState& state,
                                          const RouteQuery& query, Instant now);

// Records that a request was sent. `isolated` is taken from the query.
void OnSent(RouteState& state, std::string_view endpoint, double work,
            bool isolated, Instant now);

// Lets other requests join an isolated one on its endpoint.
void EndIsolation(RouteState& state, std::string_view endpoint);

// Records that a request sent before ended with an answer.
void OnFinished(RouteState& state, std::string_view endpoint, double work,
                Instant now);

// Records that a request sent before ended without an answer.
void OnFailed(RouteState& state, std::string_view endpoint, double work,
              FailureKind kind, Instant now);

// Records that a request sent before was cancelled by its caller, which says
// nothing about the endpoint.
void OnCancelled(RouteState& state, std::string_view endpoint, double work,
                 Instant now);

void OnLoadReport(RouteState& state, std::string_view endpoint,
                  LoadReport report, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ROUTE_H_
