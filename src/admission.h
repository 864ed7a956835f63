#ifndef COMFREYPADDLE_ADMISSION_H_
#define COMFREYPADDLE_ADMISSION_H_

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

// Request queued at this instance until an endpoint has capacity. Nothing was
// sent for it yet, unless the caller requeued it for another attempt.
struct QueuedRequest {
  std::uint64_t m_id = 0;  // Unique in this instance.
  std::string m_workspace;
  std::string m_key;  // Name of the key; empty on open routes.
  std::string m_fleet;
  double m_cost = 1.0;  // Estimated tokens of work; at least kMinCost.
  Priority m_priority = Priority::kNormal;
  Instant m_arrival{};
  Instant m_deadline{};
  std::uint64_t m_affinity = 0;  // Hash of the first prompt blocks; 0 if none.
  std::string m_endpoint;        // Preferred endpoint; may be empty.
  std::uint64_t m_sequence = 0;  // Arrival order; set by Enqueue.
};

// Minimum charge in tokens of work, so that requests of zero cost cannot bypass
// fair queueing.
inline constexpr double kMinCost = 1.0;

// Queue length limits.
struct QueueLimits {
  std::uint32_t m_instance_requests = 2000;
  std::uint32_t m_workspace_requests =
      500;  // Default if the workspace sets no limit.
};

enum class EnqueueStatus { kQueued, kWorkspaceFull, kInstanceFull, kDeadline };

template <>
struct EnumNames<EnqueueStatus> {
  static constexpr std::array<EnumName<EnqueueStatus>, 4> kTable{
      {{EnqueueStatus::kQueued, "queued"},
       {EnqueueStatus::kWorkspaceFull, "workspace_full"},
       {EnqueueStatus::kInstanceFull, "instance_full"},
       {EnqueueStatus::kDeadline, "deadline"}}};
};

// Result of Enqueue. A rejection always has the outcome `not_run`.
struct EnqueueResult {
  EnqueueStatus m_status = EnqueueStatus::kQueued;
  // Expected queueing time; zero if the service rate is unknown.
  Duration m_expected_wait{0};
  // For rejections: delay after which a retry is likely to be queued.
  Duration m_retry_after{0};
  // Request evicted in favour of this one, because the instance's queue was
  // full and its workspace had the longest queue. The caller rejects it like
  // kInstanceFull. Its outcome is `not_run` unless it was requeued after an
  // attempt; see OutcomeOf in exchange.h.
  std::optional<QueuedRequest> m_evicted;
};

// Number of values of Priority.
inline constexpr std::size_t kPriorityLevels = 3;

// Lifetime of a peer's report that a workspace has open requests. It spans
// several heartbeat periods, so that a lost heartbeat does not matter, and is
// short enough to discard the demand of a failed peer.
inline constexpr Duration kPeerDemandLifetime = std::chrono::seconds(3);

// Service order within a workspace: by priority rank, then by arrival.
struct QueueKey {
  int m_rank = 0;  // 0 is served first.
  std::uint64_t m_sequence = 0;
  bool operator<(const QueueKey& other) const {
    return std::tie(m_rank, m_sequence) <
           std::tie(other.m_rank, other.m_sequence);
  }
};

// Service of one workspace at one fleet as reported by a peer.
struct PeerService {
  double m_served = 0.0;         // Tokens of work since the peer started.
  std::uint32_t m_requests = 0;  // Queued and running.
  std::uint32_t m_running = 0;
  Instant m_received_at{};
};

// Fair-queueing state of one workspace at one fleet.
struct Flow {
  double m_weight = 1.0;
  double m_start = 0.0;   // Virtual start time of the next request.
  double m_key = 0.0;     // Sort key in FleetQueue::m_order while backlogged.
  double m_served = 0.0;  // By this instance since it started.
  // Values in the last digest sent to peers.
  double m_reported_served = 0.0;
  std::uint32_t m_reported_requests = 0;
  double m_queued = 0.0;   // Cost of queued requests.
  double m_running = 0.0;  // Cost of dequeued requests in progress.
  std::uint32_t m_running_requests = 0;
  // Work served and slot time used at all instances, decayed exponentially by
  // UpdateShares. For the same work, a request with a long output holds its
  // slot longer than one with a long prompt.
  double m_recent_work = 0.0;
  double m_recent_slot_seconds = 0.0;
  Instant m_active_at_peer_until{};  // A peer has requests of it until then.
  std::array<double, kPriorityLevels> m_queued_by_rank{};
  std::map<QueueKey, QueuedRequest> m_requests;
  std::map<std::string, PeerService, std::less<>> m_peers;
};

// Queue of one fleet.
struct FleetQueue {
  double m_virtual_time = 0.0;  // Tokens of work per unit of weight.
  double m_max_start = 0.0;     // Largest virtual start of a flow.
  double m_queued = 0.0;
  double m_active_weight = 0.0;  // Sum of weights of backlogged flows.
  double m_mean_cost = 0.0;      // Moving average over arriving requests.
  std::uint32_t m_requests = 0;  // Queued.
  std::uint32_t m_running = 0;   // Dequeued and in progress.
  // Work dequeued and time elapsed while requests were queued, both with
  // exponential decay. Their quotient is the service rate. Time without queued
  // requests is excluded, because it would measure the load instead of the
  // capacity.
  double m_recent_work = 0.0;
  double m_recent_time = 0.0;       // Seconds.
  double m_recent_peer_work = 0.0;  // Work reported by peers.
  Instant m_rate_updated{};
  Instant m_idle_since{};  // When the queue became empty.
  Instant m_busy_since{};  // When the queue became non-empty.
  // Concurrent requests that all endpoints of the fleet can run; 0 if unknown.
  double m_slots = 0.0;
  // Fraction of the slots that this instance may use; see UpdateShares.
  double m_share = 1.0;
  Instant m_share_updated{};
  std::map<std::string, Flow, std::less<>> m_flows;
  std::set<std::pair<double, std::string>> m_order;  // Backlogged flows.
};

// Settings and queued requests of a workspace.
struct WorkspaceQueue {
  double m_weight = 1.0;
  std::uint32_t m_queue_requests = 0;            // Zero selects QueueLimits.
  std::map<QueueKey, std::uint64_t> m_requests;  // At all fleets.
};

// Index entry that locates a queued request.
struct QueueLocation {
  std::string m_fleet;
  std::string m_workspace;
  std::string m_key;
  Instant m_deadline{};
  QueueKey m_queue_key;
};

// Queue of one entry instance. Modified only by the functions below and by
// those of fairshare.h.
struct AdmissionQueue {
  std::uint64_t m_next_sequence = 1;
  std::map<std::string, FleetQueue, std::less<>> m_fleets;
  std::map<std::string, WorkspaceQueue, std::less<>> m_workspaces;
  std::unordered_map<std::uint64_t, QueueLocation> m_locations;
  std::set<std::pair<Instant, std::uint64_t>> m_deadlines;
  std::set<std::pair<std::string, std::uint64_t>> m_keys;
  // Workspaces ordered by queue length divided by weight.
  std::set<std::pair<double, std::string>> m_workspaces_by_length;
};

// Service received by one workspace at one fleet, sent to peers with
// heartbeats.
struct ServiceDigest {
  std::string m_fleet;
  std::string m_workspace;
  double m_served = 0.0;            // Tokens of work since the sender started.
  double m_outstanding_work = 0.0;  // Tokens of work queued and running.
  std::uint32_t m_requests = 0;     // Queued and running.
  std::uint32_t m_running = 0;
};

// Sets the weight and queue limit of a workspace. The defaults are weight 1 and
// the limit of QueueLimits.
void SetWorkspace(AdmissionQueue& state, const std::string& name, double weight,
                  std::uint32_t queue_requests);

// Removes a workspace unless it has queued requests.
void RemoveWorkspace(AdmissionQueue& state, std::string_view name);

// Sets the number of concurrent requests that the fleet's endpoints can run. It
// limits this instance's share while the fleet is contended.
void SetFleetSlots(AdmissionQueue& state, const std::string& fleet,
                   double slots);

// Queues a request or rejects it.
EnqueueResult Enqueue(AdmissionQueue& state, const QueueLimits& limits,
                      QueuedRequest request, Instant now);

// Dequeues the next request and charges its cost to its workspace. Returns
// nothing if none is queued for the fleet, or if this instance already uses its
// share of a contended fleet. Retry after a request of the fleet has ended,
// after Enqueue and after UpdateShares. Each dequeued request must be ended by
// exactly one call of Requeue or ChargeActualCost.
std::optional<QueuedRequest> Dequeue(AdmissionQueue& state,
                                     std::string_view fleet, Instant now);

// Like Dequeue, but returns the first request that satisfies `fits` among the
// head requests of the first `limit` workspaces. A request that no endpoint can
// take, such as one that must not run on a cheap endpoint, then does not block
// other workspaces. `fits` must not modify the state.
std::optional<QueuedRequest> DequeueFitting(
    AdmissionQueue& state, std::string_view fleet, Instant now,
    const std::function<bool(const QueuedRequest&)>& fits, std::size_t limit);

// Returns a dequeued request to its former position and refunds the charge. The
// limits are not checked again.
void Requeue(AdmissionQueue& state, QueuedRequest request, Instant now);

// Ends a dequeued request and replaces the estimated cost by the actual one.
void ChargeActualCost(AdmissionQueue& state, std::string_view fleet,
                      std::string_view workspace, double estimated,
                      double actual);

// Removes a queued request, for example when its caller disconnected.
std::optional<QueuedRequest> RemoveRequest(AdmissionQueue& state,
                                           std::uint64_t id);

// Removes all requests whose deadline is at or before `now`.
std::vector<QueuedRequest> RemoveExpired(AdmissionQueue& state, Instant now);

// Removes all queued requests of a revoked key.
std::vector<QueuedRequest> RemoveByKey(AdmissionQueue& state,
                                       std::string_view key);

// Returns the earliest deadline among queued requests.
std::optional<Instant> NextDeadline(const AdmissionQueue& state);

// Returns the number of queued requests at this instance.
std::size_t QueuedRequests(const AdmissionQueue& state);

// Returns the number of queued requests for a fleet.
std::size_t QueuedRequests(const AdmissionQueue& state, std::string_view fleet);

// Accounts for service reported by a peer. `peer` must identify the incarnation
// as well as the name, because the served counter restarts with the peer.
// Remote service is charged like local service, so that the workspace served
// least catches up.
void AddPeerService(AdmissionQueue& state, std::string_view peer,
                    const ServiceDigest& digest, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ADMISSION_H_
