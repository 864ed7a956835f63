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

// Load reported by an endpoint.
struct LoadReport {
  Instant
      m_measured_at{};  // Time of measurement: arrival minus the reported age.
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
  double m_queued_tokens = 0.0;
  std::uint32_t m_kv_used_pieces = 0;
  std::uint32_t m_kv_total_pieces = 0;  // Zero if not reported.
  bool m_draining = false;
  std::string m_incarnation;
};

// Change of the load by a request that this instance sent (+) or that ended
// (-).
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

// Configuration, load and health of an endpoint as seen by this instance.
struct EndpointView {
  std::string m_name;
  std::string m_fleet;
  std::string m_zone;
  std::string m_region;
  EndpointClass m_class = EndpointClass::kOnDemand;
  EndpointRole m_role = EndpointRole::kMixed;
  EndpointPhase m_phase = EndpointPhase::kReady;
  bool m_draining = false;       // Set by the configuration.
  bool m_leaving = false;        // Reported by the platform or a peer.
  bool m_order_pending = false;  // An open order waits until it is idle.
  std::uint32_t m_concurrency = 0;
  std::uint64_t m_hash = 0;  // Of the name, for rendezvous hashing.
  std::optional<LoadReport> m_report;
  Instant m_received_at{};  // Arrival of m_report.
  // Requests of this instance in progress at the endpoint.
  std::uint32_t m_own_requests = 0;
  double m_own_work = 0.0;
  // Changes since m_report was measured, oldest first, and their sums.
  std::deque<LoadDelta> m_load_deltas;
  double m_work_since_report = 0.0;
  int m_requests_since_report = 0;
  // Outlier ejection after consecutive failures.
  EndpointHealth m_health = EndpointHealth::kHealthy;
  std::uint32_t m_failures = 0;
  std::uint32_t m_ejections = 0;  // Consecutive.
  Instant m_ejected_until{};
  // After a refused request (not run) nothing is sent before this time.
  Instant m_refused_until{};
  // True while an isolated request runs at the endpoint.
  bool m_isolated = false;
};

// Returns true if the endpoint is leaving or draining according to the
// configuration, the platform, a peer or its own report.
bool IsLeaving(const EndpointView& view);

// Endpoints of a fleet.
struct FleetView {
  std::vector<EndpointView> m_endpoints;
  double m_mean_work = 0.0;  // Moving average of the work of one request.
};

// Cost of a token in tokens of work.
struct WorkCosts {
  double m_prefill = 0.25;  // Per prompt token.
  double m_decode = 1.0;    // Per output token.
};

// Location of an EndpointView in RouteState.
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

// Routing input for one request.
struct RouteQuery {
  std::string m_fleet;
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;     // Expected.
  std::uint64_t m_prefix_hash = 0;  // Zero: no affinity.
  std::string m_zone;               // Of this instance.
  std::string m_region;
  bool m_repeatable = true;
  bool m_urgent = false;
  // Suspected of crashing endpoints: no other request is sent to its endpoint
  // until EndIsolation.
  bool m_isolated = false;
  std::vector<std::string> m_excluded;
};

enum class RouteReason {
  kAffinity,   // Rendezvous endpoint of the prefix, within the load bound.
  kLeastLoad,  // The less loaded of two random choices.
  kOnly,       // The only endpoint with capacity.
  kProbe,      // Trial request to an ejected endpoint.
  kIsolated,   // Least loaded endpoint for a suspected request.
  kLastResort  // All endpoints with capacity are ejected.
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
  double m_work = 0.0;           // Of this request, in tokens of work.
  double m_endpoint_work = 0.0;  // Estimated before this request.
};

// Returns the cost of a request in tokens of work.
double ComputeWork(const WorkCosts& costs, double prompt_tokens,
                   double output_tokens);

// Adds an endpoint or updates its configuration; keeps load and health.
void SetEndpoint(RouteState& state, const Endpoint& endpoint,
                 std::uint32_t concurrency);

// Sets the phase reported by the platform. New endpoints are ready.
void SetEndpointPhase(RouteState& state, std::string_view endpoint,
                      EndpointPhase phase);

// Sets or clears the mark of a leaving endpoint.
void SetLeaving(RouteState& state, std::string_view endpoint, bool leaving);

// Sets or clears the mark of an endpoint with an open order.
void SetOrderPending(RouteState& state, std::string_view endpoint,
                     bool ordered);

// Sets the endpoint's current role.
void SetRole(RouteState& state, std::string_view endpoint, EndpointRole role);

void RemoveEndpoint(RouteState& state, std::string_view endpoint);

// Returns the view of an endpoint, or null.
const EndpointView* FindEndpoint(const RouteState& state,
                                 std::string_view endpoint);

// Returns the estimated work at an endpoint: the reported load corrected by the
// requests that this instance sent or finished since the measurement.
double EstimatedWork(const FleetView& fleet, const EndpointView& endpoint);

// Returns the estimated number of requests at an endpoint, likewise.
double EstimatedRequests(const EndpointView& endpoint);

// Returns the number of concurrent requests that the usable endpoints of a
// fleet can run.
double FleetSlots(const RouteState& state, std::string_view fleet);

// Chooses an endpoint with free capacity. Returns nothing if there is none; the
// request then stays queued. Only the random generator changes: the caller
// reports a sent request with OnSent.
std::optional<RouteChoice> ChooseEndpoint(RouteState& state,
                                          const RouteQuery& query, Instant now);

// Records a sent request. `isolated` comes from the query.
void OnSent(RouteState& state, std::string_view endpoint, double work,
            bool isolated, Instant now);

// Allows other requests at the endpoint of an isolated one.
void EndIsolation(RouteState& state, std::string_view endpoint);

// Records that a sent request ended with a response.
void OnFinished(RouteState& state, std::string_view endpoint, double work,
                Instant now);

// Records that a sent request failed.
void OnFailed(RouteState& state, std::string_view endpoint, double work,
              FailureKind kind, Instant now);

// Records that a sent request was cancelled by its caller. This does not affect
// the endpoint's health.
void OnCancelled(RouteState& state, std::string_view endpoint, double work,
                 Instant now);

void OnLoadReport(RouteState& state, std::string_view endpoint,
                  LoadReport report, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ROUTE_H_
