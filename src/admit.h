#ifndef COMFREYPADDLE_ADMIT_H_
#define COMFREYPADDLE_ADMIT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Request that waits in the queue of this instance for an endpoint. Nothing
// of it was sent yet unless the caller put it back for another attempt.
struct QueuedRequest {
  std::uint64_t m_id = 0;  // Unique in this instance.
  std::string m_workspace;
  std::string m_key;  // Name of the key; empty on open routes.
  std::string m_fleet;
  double m_cost = 1.0;  // Estimate in tokens of work; at least kMinCost.
  Priority m_priority = Priority::kNormal;
  Instant m_arrival{};
  Instant m_deadline{};
  std::uint64_t m_affinity = 0;  // Hash of the first prompt blocks; 0: none.
  std::string m_endpoint;        // Preferred endpoint; may be empty.
  std::uint64_t m_sequence = 0;  // Set by Enqueue: order of arrival.
};

// Costs below this many tokens of work are charged as this many, so that free
// requests cannot pass the queue without limit.
inline constexpr double kMinCost = 1.0;

// Bounds of the queue.
struct QueueLimits {
  std::uint32_t m_instance_requests = 2000;
  std::uint32_t m_workspace_requests =
      500;  // Unless the workspace has its own.
};

enum class AdmitVerdict { kQueued, kWorkspaceFull, kInstanceFull, kDeadline };

template <>
struct EnumNames<AdmitVerdict> {
  static constexpr std::array<EnumName<AdmitVerdict>, 4> kTable{
      {{AdmitVerdict::kQueued, "queued"},
       {AdmitVerdict::kWorkspaceFull, "workspace_full"},
       {AdmitVerdict::kInstanceFull, "instance_full"},
       {AdmitVerdict::kDeadline, "deadline"}}};
};

// Answer to an arriving request. A refusal is always `not_run`.
struct AdmitDecision {
  AdmitVerdict m_verdict = AdmitVerdict::kQueued;
  // Expected wait in the queue; zero if no service rate is known yet.
  Duration m_expected_wait{0};
  // For refusals: time after which another attempt is likely to be queued.
  Duration m_retry_after{0};
  // Request that lost its place to this one because the instance's queue was
  // full and its workspace had the longest queue. The caller refuses it like
  // kInstanceFull. Its outcome is `not_run` unless it was put back after an
  // attempt; see OutcomeOf in exchange.h.
  std::optional<QueuedRequest> m_displaced;
};

// Number of values of Priority.
inline constexpr std::size_t kPriorityLevels = 3;

// A peer's word that a workspace has open requests counts for this long. It
// spans several heartbeat periods, and ends soon after a peer died.
inline constexpr Duration kPeerDemandLifetime = std::chrono::seconds(3);

// Place of a request within its workspace: priority rank, then arrival.
struct QueueKey {
  int m_rank = 0;  // 0 is served first.
  std::uint64_t m_sequence = 0;
  bool operator<(const QueueKey& other) const {
    return std::tie(m_rank, m_sequence) <
           std::tie(other.m_rank, other.m_sequence);
  }
};

// What a peer said about one workspace at one fleet.
struct PeerService {
  double m_served = 0.0;         // Since the peer's start, tokens of work.
  std::uint32_t m_requests = 0;  // Queued and running.
  std::uint32_t m_running = 0;
  Instant m_received_at{};
};

// Requests and virtual time of one workspace at one fleet.
struct Flow {
  double m_weight = 1.0;
  double m_start = 0.0;   // Virtual start time of the next request.
  double m_key = 0.0;     // Place in FleetQueue::m_order while backlogged.
  double m_served = 0.0;  // By this instance since its start.
  // Service and open requests in the last digest.
  double m_reported_served = 0.0;
  std::uint32_t m_reported_requests = 0;
  double m_queued = 0.0;   // Cost of waiting requests.
  double m_running = 0.0;  // Cost of requests taken and not finished.
  std::uint32_t m_running_requests = 0;
  // Work served and time for which slots were held, at all instances, with
  // exponential decay by UpdateShares. A request of long answers holds its
  // slot longer for the same work than one of long prompts.
  double m_recent_work = 0.0;
  double m_recent_slot_seconds = 0.0;  // Slot seconds.
  Instant m_active_at_peer_until{};    // Up to here it has requests at a peer.
  std::array<double, kPriorityLevels> m_queued_by_rank{};
  std::map<QueueKey, QueuedRequest> m_requests;
  std::map<std::string, PeerService, std::less<>> m_peers;
};

// Queue of one fleet.
struct FleetQueue {
  double m_virtual_time = 0.0;  // Virtual time, tokens of work for each weight.
  double m_max_start = 0.0;     // Largest virtual start of a flow.
  double m_queued = 0.0;
  double m_active_weight = 0.0;  // Sum of weights of backlogged flows.
  double m_mean_cost = 0.0;      // Moving average of arriving requests.
  std::uint32_t m_requests = 0;  // Waiting.
  std::uint32_t m_running = 0;   // Taken and not finished.
  // Work taken and time passed while requests waited, both with exponential
  // decay. Their quotient is the service rate. Without waiting requests it
  // would show the load, not the capacity.
  double m_recent_work = 0.0;
  double m_recent_time = 0.0;       // Seconds.
  double m_recent_peer_work = 0.0;  // Work that peers reported.
  Instant m_rate_updated{};
  Instant m_idle_since{};  // Time at which the last request left the queue.
  Instant m_busy_since{};  // Time at which the first request entered it.
  // Requests that all endpoints of the fleet can run at once; 0: not known.
  double m_slots = 0.0;
  // Share of the slots that this instance may use; see UpdateShares.
  double m_share = 1.0;
  Instant m_share_updated{};
  std::map<std::string, Flow, std::less<>> m_flows;
  std::set<std::pair<double, std::string>> m_order;  // Backlogged flows.
};

// Settings of a workspace and its use of the queue.
struct WorkspaceQueue {
  double m_weight = 1.0;
  std::uint32_t m_queue_requests = 0;            // Zero takes QueueLimits.
  std::map<QueueKey, std::uint64_t> m_requests;  // Of all fleets.
};

// Where a waiting request is.
struct QueueLocation {
  std::string m_fleet;
  std::string m_workspace;
  std::string m_key;
  Instant m_deadline{};
  QueueKey m_queue_key;
};

// Queue of one entry instance. Only the functions below change it.
struct AdmitState {
  std::uint64_t m_next_sequence = 1;
  std::map<std::string, FleetQueue, std::less<>> m_fleets;
  std::map<std::string, WorkspaceQueue, std::less<>> m_workspaces;
  std::unordered_map<std::uint64_t, QueueLocation> m_locations;
  std::set<std::pair<Instant, std::uint64_t>> m_deadlines;
  std::set<std::pair<std::string, std::uint64_t>> m_keys;
  // Workspaces by waiting requests for each weight.
  std::set<std::pair<double, std::string>> m_workspaces_by_length;
};

// Service that one workspace got at one fleet, for the heartbeat digest.
struct ServiceDigest {
  std::string m_fleet;
  std::string m_workspace;
  double m_served = 0.0;         // Since the sender's start, tokens of work.
  double m_waiting = 0.0;        // Queued and running now, tokens of work.
  std::uint32_t m_requests = 0;  // Queued and running now.
  std::uint32_t m_running = 0;
};

// Sets weight and queue bound of a workspace. Workspaces that were never set
// have weight 1 and the default bound.
void SetWorkspace(AdmitState& state, const std::string& name, double weight,
                  std::uint32_t queue_requests);

// Forgets a workspace. Its waiting requests stay.
void RemoveWorkspace(AdmitState& state, std::string_view name);

// Sets the number of requests that the fleet's endpoints can run at once. It
// bounds the share that this instance takes while the fleet is contended.
void SetFleetSlots(AdmitState& state, const std::string& fleet, double slots);

// Queues a request or refuses it.
AdmitDecision Enqueue(AdmitState& state, const QueueLimits& limits,
                      QueuedRequest request, Instant now);

// Takes the request to be sent next and charges its cost to its workspace.
// Returns nothing if none waits at the fleet, or if this instance already
// uses its share of a contended fleet; a further try makes sense after a
// request of the fleet has ended, after Enqueue and after UpdateShares. Each
// taken request must be ended by exactly one Requeue or ChargeActualCost.
std::optional<QueuedRequest> Dequeue(AdmitState& state, std::string_view fleet,
                                     Instant now);

// Does the same with the first request for which `fits` is true, among the
// next requests of the first `limit` workspaces. A request that no endpoint
// has room for, for instance because it must not run on a cheap one, then
// does not hold up other workspaces. `fits` must not change the state.
std::optional<QueuedRequest> DequeueFitting(
    AdmitState& state, std::string_view fleet, Instant now,
    const std::function<bool(const QueuedRequest&)>& fits, std::size_t limit);

// Returns a taken request to its former place and takes the charge back. The
// bounds are not checked again.
void Requeue(AdmitState& state, QueuedRequest request, Instant now);

// Ends a taken request and replaces the charged estimate by the actual cost.
void ChargeActualCost(AdmitState& state, std::string_view fleet,
                      std::string_view workspace, double estimated,
                      double actual);

// Removes a waiting request, for instance because its caller left.
std::optional<QueuedRequest> RemoveRequest(AdmitState& state, std::uint64_t id);

// Removes all requests with a deadline at or before now.
std::vector<QueuedRequest> RemoveExpired(AdmitState& state, Instant now);

// Removes all waiting requests of a key that was revoked.
std::vector<QueuedRequest> RemoveByKey(AdmitState& state, std::string_view key);

// Returns the earliest deadline of a waiting request.
std::optional<Instant> NextDeadline(const AdmitState& state);

// Returns the number of waiting requests of the instance.
std::size_t QueuedRequests(const AdmitState& state);

// Returns the number of waiting requests of a fleet.
std::size_t QueuedRequests(const AdmitState& state, std::string_view fleet);

// Takes in what a peer reported about the service that it gave. The peer's
// name must change when the peer restarts (name and incarnation), because
// served counts from its start. The service counts like service of this
// instance, so that the worst-served workspace catches up.
void AddPeerService(AdmitState& state, std::string_view peer,
                    const ServiceDigest& digest, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ADMIT_H_
