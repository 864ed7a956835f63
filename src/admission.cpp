#include "admission.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {
namespace {

// Head start of an urgent request over other workspaces, in average requests.
// The charge is unchanged, so the head start is paid back and the long-term
// shares stay the same.
constexpr double kUrgentRequests = 4.0;

// Limit on how far remote service can set a workspace back here: seconds of the
// fleet's recent service, but at least a number of average requests.
// Corrections take a few heartbeat periods to propagate between instances; a
// larger limit would penalise the use of capacity that was idle.
constexpr double kMaxLeadSeconds = 0.5;
constexpr double kMinLeadRequests = 32.0;

// Limit on the credit of a flow that received too little service at peers, in
// average requests.
constexpr double kMaxCreditRequests = 16.0;

// After an idle period of this length past service is ignored: the fleet was
// not contended here, so no workspace was disadvantaged.
constexpr Duration kIdleReset = std::chrono::seconds(1);

// Time constant of the service rate, and the minimum observed time before the
// rate is used.
constexpr double kRateTimeConstantSeconds = 10.0;
constexpr double kMinRateSeconds = 0.5;

// Requests dequeued within this time after the queue became non-empty found a
// free endpoint and carry no information about the service rate.
constexpr Duration kMinBusyTime = std::chrono::milliseconds(1);

// Smoothing factor of the moving average of costs.
constexpr double kCostSmoothing = 0.05;

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 86400.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

int RankOf(Priority priority) {
  return static_cast<int>(Priority::kUrgent) - static_cast<int>(priority);
}

QueueKey KeyOf(const QueuedRequest& request) {
  return {RankOf(request.m_priority), request.m_sequence};
}

// Decays the sums of the service rate up to `now`. Time counts only while
// requests are queued, because otherwise the rate would measure the load
// instead of the capacity.
void AdvanceRate(FleetQueue& queue, Instant now) {
  if (now <= queue.m_rate_updated) return;
  const double seconds = Seconds(now - queue.m_rate_updated);
  const double decay = std::exp(-seconds / kRateTimeConstantSeconds);
  queue.m_recent_work *= decay;
  queue.m_recent_peer_work *= decay;
  queue.m_recent_time *= decay;
  if (!queue.m_order.empty()) queue.m_recent_time += seconds;
  queue.m_rate_updated = now;
}

// Returns the work dequeued per second by this instance, or zero if unknown.
double ServiceRate(const FleetQueue& queue) {
  if (queue.m_recent_time < kMinRateSeconds) return 0.0;
  return queue.m_recent_work / queue.m_recent_time;
}

// Returns the maximum virtual time by which a flow may lead the others.
double MaxLead(const FleetQueue& queue, const Flow& flow) {
  double work = kMinLeadRequests * queue.m_mean_cost;
  if (queue.m_recent_time >= kMinRateSeconds) {
    const double rate =
        (queue.m_recent_work + queue.m_recent_peer_work) / queue.m_recent_time;
    work = std::max(work, kMaxLeadSeconds * rate);
  }
  return work / flow.m_weight;
}

// Removes a flow from the service order before its requests change.
void RemoveFromOrder(FleetQueue& queue, const std::string& name, Flow& flow) {
  if (queue.m_order.erase({flow.m_key, name}) == 0) return;
  queue.m_active_weight -= flow.m_weight;
  if (queue.m_order.empty()) queue.m_active_weight = 0.0;
}

// Inserts a flow into the service order if it is backlogged.
void InsertIntoOrder(FleetQueue& queue, const std::string& name, Flow& flow) {
  queue.m_max_start = std::max(queue.m_max_start, flow.m_start);
  if (flow.m_requests.empty()) return;
  const bool urgent = flow.m_requests.begin()->first.m_rank == 0;
  const double head_start =
      urgent ? kUrgentRequests * queue.m_mean_cost / flow.m_weight : 0.0;
  flow.m_key = flow.m_start - head_start;
  queue.m_order.insert({flow.m_key, name});
  queue.m_active_weight += flow.m_weight;
}

// Advances the virtual start of a flow by the given work.
void Charge(FleetQueue& queue, const std::string& name, Flow& flow,
            double work) {
  RemoveFromOrder(queue, name, flow);
  flow.m_start += work / flow.m_weight;
  InsertIntoOrder(queue, name, flow);
}

void AddServed(Flow& flow, double work) {
  flow.m_served += work;
  flow.m_recent_work += work;
}

// Removes a request from the running totals.
void EndRunning(FleetQueue& queue, Flow& flow, double cost) {
  if (flow.m_running_requests == 0) return;
  --queue.m_running;
  flow.m_running = std::max(0.0, flow.m_running - cost);
  if (--flow.m_running_requests == 0) flow.m_running = 0.0;
}

// Returns the minimum virtual start of a flow that becomes backlogged. Idle
// time earns no credit. A flow with requests at a peer is not idle and keeps a
// limited part of its deficit.
double MinStart(const FleetQueue& queue, const Flow& flow, Instant now) {
  if (now >= flow.m_active_at_peer_until) return queue.m_virtual_time;
  return queue.m_virtual_time -
         kMaxCreditRequests * queue.m_mean_cost / flow.m_weight;
}

// Limits remote work so that the flow stays within its maximum lead.
double LimitToLead(const FleetQueue& queue, const Flow& flow, double work) {
  const double room =
      queue.m_virtual_time + MaxLead(queue, flow) - flow.m_start;
  return std::min(work, std::max(0.0, room * flow.m_weight));
}

FleetQueue& GetOrAddFleet(AdmissionQueue& state, std::string_view name) {
  const auto found = state.m_fleets.find(name);
  if (found != state.m_fleets.end()) return found->second;
  return state.m_fleets[std::string(name)];
}

Flow& GetOrAddFlow(AdmissionQueue& state, FleetQueue& queue,
                   std::string_view name) {
  const auto found = queue.m_flows.find(name);
  if (found != queue.m_flows.end()) return found->second;
  Flow& flow = queue.m_flows[std::string(name)];
  const auto workspace = state.m_workspaces.find(name);
  if (workspace != state.m_workspaces.end()) {
    flow.m_weight = workspace->second.m_weight;
  }
  flow.m_start = queue.m_virtual_time;
  return flow;
}

double RelativeLength(const WorkspaceQueue& workspace) {
  return static_cast<double>(workspace.m_requests.size()) / workspace.m_weight;
}

// Updates the index of workspaces by queue length around a change.
template <typename Change>
void ChangeWorkspace(AdmissionQueue& state, const std::string& name,
                     Change change) {
  WorkspaceQueue& workspace = state.m_workspaces[name];
  if (!workspace.m_requests.empty()) {
    state.m_workspaces_by_length.erase({RelativeLength(workspace), name});
  }
  change(workspace);
  if (!workspace.m_requests.empty()) {
    state.m_workspaces_by_length.insert({RelativeLength(workspace), name});
  }
}

// Adds a request to its flow and to all indexes.
void Insert(AdmissionQueue& state, QueuedRequest request, Instant now) {
  FleetQueue& queue = GetOrAddFleet(state, request.m_fleet);
  AdvanceRate(queue, now);
  Flow& flow = GetOrAddFlow(state, queue, request.m_workspace);
  const QueueKey key = KeyOf(request);
  const std::string name = request.m_workspace;
  ChangeWorkspace(state, name, [&](WorkspaceQueue& workspace) {
    workspace.m_requests[key] = request.m_id;
  });
  state.m_locations[request.m_id] = {request.m_fleet, name, request.m_key,
                                     request.m_deadline, key};
  state.m_deadlines.insert({request.m_deadline, request.m_id});
  if (!request.m_key.empty()) {
    state.m_keys.insert({request.m_key, request.m_id});
  }
  RemoveFromOrder(queue, name, flow);
  flow.m_queued += request.m_cost;
  flow.m_queued_by_rank[static_cast<std::size_t>(key.m_rank)] += request.m_cost;
  queue.m_queued += request.m_cost;
  ++queue.m_requests;
  flow.m_requests[key] = std::move(request);
  InsertIntoOrder(queue, name, flow);
}

// Removes a request from its flow and from all indexes.
QueuedRequest Extract(AdmissionQueue& state, std::uint64_t id, Instant now) {
  const auto found = state.m_locations.find(id);
  const QueueLocation place = std::move(found->second);
  state.m_locations.erase(found);
  state.m_deadlines.erase({place.m_deadline, id});
  state.m_keys.erase({place.m_key, id});
  ChangeWorkspace(state, place.m_workspace, [&](WorkspaceQueue& workspace) {
    workspace.m_requests.erase(place.m_queue_key);
  });
  FleetQueue& queue = GetOrAddFleet(state, place.m_fleet);
  AdvanceRate(queue, now);
  Flow& flow = GetOrAddFlow(state, queue, place.m_workspace);
  RemoveFromOrder(queue, place.m_workspace, flow);
  auto node = flow.m_requests.extract(place.m_queue_key);
  QueuedRequest request = std::move(node.mapped());
  flow.m_queued -= request.m_cost;
  flow.m_queued_by_rank[static_cast<std::size_t>(place.m_queue_key.m_rank)] -=
      request.m_cost;
  if (flow.m_requests.empty()) {
    flow.m_queued = 0.0;
    flow.m_queued_by_rank.fill(0.0);
  }
  queue.m_queued -= request.m_cost;
  if (--queue.m_requests == 0) {
    queue.m_queued = 0.0;
    queue.m_idle_since = now;
  }
  InsertIntoOrder(queue, place.m_workspace, flow);
  return request;
}

// Returns the expected seconds until an arriving request is dequeued. Ahead of
// it are its workspace's requests of the same or higher priority and the
// service that other workspaces receive meanwhile, bounded by all queued work.
double ExpectedWait(const FleetQueue& queue, const Flow& flow, int rank) {
  const double rate = ServiceRate(queue);
  if (rate <= 0.0) return 0.0;
  double own = 0.0;
  for (int i = 0; i <= rank; ++i) {
    own += flow.m_queued_by_rank[static_cast<std::size_t>(i)];
  }
  const double weights =
      queue.m_active_weight + (flow.m_requests.empty() ? flow.m_weight : 0.0);
  const double lead = std::max(0.0, flow.m_start - queue.m_virtual_time) *
                      queue.m_active_weight;
  const double ahead =
      std::min(queue.m_queued, own * weights / flow.m_weight + lead);
  return ahead / rate;
}

// Returns true if this instance uses its whole share of a contended fleet. The
// number of requests rounds up, so that the shares of all instances together
// use all slots.
bool IsShareExhausted(const FleetQueue& queue) {
  if (queue.m_slots <= 0.0 || queue.m_share >= 1.0) return false;
  const double bound = std::max(1.0, queue.m_share * queue.m_slots);
  return queue.m_running >= bound;
}

// Dequeues a request and charges its cost.
QueuedRequest DequeueAndCharge(AdmissionQueue& state, FleetQueue& queue,
                               std::uint64_t id, Instant now) {
  QueuedRequest request = Extract(state, id, now);
  Flow& flow = queue.m_flows.find(request.m_workspace)->second;
  Charge(queue, request.m_workspace, flow, request.m_cost);
  AddServed(flow, request.m_cost);
  flow.m_running += request.m_cost;
  ++flow.m_running_requests;
  if (now - queue.m_busy_since >= kMinBusyTime) {
    queue.m_recent_work += request.m_cost;
  }
  ++queue.m_running;
  return request;
}

Duration RetryAfter(Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::uint32_t WorkspaceLimit(const AdmissionQueue& state,
                             const QueueLimits& limits,
                             const std::string& name) {
  const auto found = state.m_workspaces.find(name);
  if (found == state.m_workspaces.end() ||
      found->second.m_queue_requests == 0) {
    return limits.m_workspace_requests;
  }
  return found->second.m_queue_requests;
}

// Evicts the last request of the workspace with the longest queue relative to
// its weight. Otherwise a few large workspaces could fill the queue and all
// others would be rejected. Evicts nothing if the workspace of the arriving
// request would then have the longest queue itself.
std::optional<QueuedRequest> EvictFromLongest(AdmissionQueue& state,
                                              const std::string& name,
                                              Instant now) {
  if (state.m_workspaces_by_length.empty()) return std::nullopt;
  const auto& [length, longest] = *state.m_workspaces_by_length.rbegin();
  const WorkspaceQueue& own = state.m_workspaces[name];
  const double own_length =
      (static_cast<double>(own.m_requests.size()) + 1.0) / own.m_weight;
  if (longest == name || own_length >= length) return std::nullopt;
  const auto& requests = state.m_workspaces[longest].m_requests;
  return Extract(state, requests.rbegin()->second, now);
}

}  // namespace

void SetWorkspace(AdmissionQueue& state, const std::string& name, double weight,
                  std::uint32_t queue_requests) {
  const double positive = weight > 0.0 ? weight : 1.0;
  ChangeWorkspace(state, name, [&](WorkspaceQueue& workspace) {
    workspace.m_weight = positive;
    workspace.m_queue_requests = queue_requests;
  });
  for (auto& [fleet, queue] : state.m_fleets) {
    const auto flow = queue.m_flows.find(name);
    if (flow == queue.m_flows.end()) continue;
    RemoveFromOrder(queue, name, flow->second);
    flow->second.m_weight = positive;
    InsertIntoOrder(queue, name, flow->second);
  }
}

void RemoveWorkspace(AdmissionQueue& state, std::string_view name) {
  const auto workspace = state.m_workspaces.find(name);
  if (workspace == state.m_workspaces.end() ||
      !workspace->second.m_requests.empty()) {
    return;
  }
  state.m_workspaces.erase(workspace);
  for (auto& [fleet, queue] : state.m_fleets) {
    const auto flow = queue.m_flows.find(name);
    if (flow != queue.m_flows.end() && flow->second.m_running <= 0.0) {
      queue.m_flows.erase(flow);
    }
  }
}

void SetFleetSlots(AdmissionQueue& state, const std::string& fleet,
                   double slots) {
  GetOrAddFleet(state, fleet).m_slots = slots;
}

EnqueueResult Enqueue(AdmissionQueue& state, const QueueLimits& limits,
                      QueuedRequest request, Instant now) {
  EnqueueResult decision;
  request.m_cost = std::max(request.m_cost, kMinCost);
  FleetQueue& queue = GetOrAddFleet(state, request.m_fleet);
  Flow& flow = GetOrAddFlow(state, queue, request.m_workspace);
  AdvanceRate(queue, now);
  const Duration wait =
      FromSeconds(ExpectedWait(queue, flow, RankOf(request.m_priority)));
  decision.m_expected_wait = wait;
  decision.m_retry_after = RetryAfter(wait);
  if (now + wait >= request.m_deadline) {
    decision.m_status = EnqueueStatus::kDeadline;
    decision.m_retry_after =
        RetryAfter(wait - std::max(request.m_deadline - now, Duration{0}));
    return decision;
  }
  const std::string& name = request.m_workspace;
  if (state.m_workspaces[name].m_requests.size() >=
      WorkspaceLimit(state, limits, name)) {
    decision.m_status = EnqueueStatus::kWorkspaceFull;
    return decision;
  }
  if (state.m_locations.size() >= limits.m_instance_requests) {
    decision.m_evicted = EvictFromLongest(state, name, now);
    if (!decision.m_evicted) {
      decision.m_status = EnqueueStatus::kInstanceFull;
      return decision;
    }
  }
  queue.m_mean_cost += (queue.m_mean_cost == 0.0 ? 1.0 : kCostSmoothing) *
                       (request.m_cost - queue.m_mean_cost);
  if (queue.m_order.empty()) {
    if (now - queue.m_idle_since > kIdleReset) {
      queue.m_virtual_time = std::max(queue.m_virtual_time, queue.m_max_start);
    }
    queue.m_busy_since = now;
  }
  if (flow.m_requests.empty()) {
    flow.m_start = std::max(flow.m_start, MinStart(queue, flow, now));
  }
  request.m_sequence = state.m_next_sequence++;
  Insert(state, std::move(request), now);
  return decision;
}

std::optional<QueuedRequest> Dequeue(AdmissionQueue& state,
                                     std::string_view fleet, Instant now) {
  return DequeueFitting(
      state, fleet, now, [](const QueuedRequest&) { return true; }, 1);
}

std::optional<QueuedRequest> DequeueFitting(
    AdmissionQueue& state, std::string_view fleet, Instant now,
    const std::function<bool(const QueuedRequest&)>& fits, std::size_t limit) {
  const auto found = state.m_fleets.find(fleet);
  if (found == state.m_fleets.end()) return std::nullopt;
  FleetQueue& queue = found->second;
  if (queue.m_order.empty() || IsShareExhausted(queue)) return std::nullopt;
  AdvanceRate(queue, now);
  for (const auto& [key, name] : queue.m_order) {
    if (limit-- == 0) break;
    const Flow& flow = queue.m_flows.find(name)->second;
    const QueuedRequest& request = flow.m_requests.begin()->second;
    if (!fits(request)) continue;
    // Skipped flows must not fall behind new ones, so virtual time follows the
    // head of the order.
    const double least = queue.m_order.begin()->first;
    queue.m_virtual_time = std::max(queue.m_virtual_time, least);
    return DequeueAndCharge(state, queue, request.m_id, now);
  }
  return std::nullopt;
}

void Requeue(AdmissionQueue& state, QueuedRequest request, Instant now) {
  FleetQueue& queue = GetOrAddFleet(state, request.m_fleet);
  Flow& flow = GetOrAddFlow(state, queue, request.m_workspace);
  const double cost = request.m_cost;
  const std::string name = request.m_workspace;
  EndRunning(queue, flow, cost);
  AddServed(flow, -cost);
  queue.m_recent_work = std::max(0.0, queue.m_recent_work - cost);
  Charge(queue, name, flow, -cost);
  Insert(state, std::move(request), now);
}

void ChargeActualCost(AdmissionQueue& state, std::string_view fleet,
                      std::string_view workspace, double estimated,
                      double actual) {
  FleetQueue& queue = GetOrAddFleet(state, fleet);
  Flow& flow = GetOrAddFlow(state, queue, workspace);
  const double difference = actual - estimated;
  EndRunning(queue, flow, estimated);
  AddServed(flow, difference);
  queue.m_recent_work = std::max(0.0, queue.m_recent_work + difference);
  Charge(queue, std::string(workspace), flow, difference);
}

std::optional<QueuedRequest> RemoveRequest(AdmissionQueue& state,
                                           std::uint64_t id) {
  const auto found = state.m_locations.find(id);
  if (found == state.m_locations.end()) return std::nullopt;
  const Instant now =
      GetOrAddFleet(state, found->second.m_fleet).m_rate_updated;
  return Extract(state, id, now);
}

std::vector<QueuedRequest> RemoveExpired(AdmissionQueue& state, Instant now) {
  std::vector<QueuedRequest> expired;
  while (!state.m_deadlines.empty() &&
         state.m_deadlines.begin()->first <= now) {
    expired.push_back(Extract(state, state.m_deadlines.begin()->second, now));
  }
  return expired;
}

std::vector<QueuedRequest> RemoveByKey(AdmissionQueue& state,
                                       std::string_view key) {
  std::vector<QueuedRequest> taken;
  if (key.empty()) return taken;
  const std::pair<std::string, std::uint64_t> first{std::string(key), 0};
  auto next = state.m_keys.lower_bound(first);
  while (next != state.m_keys.end() && next->first == key) {
    const std::uint64_t id = next->second;
    ++next;
    taken.push_back(std::move(*RemoveRequest(state, id)));
  }
  return taken;
}

std::optional<Instant> NextDeadline(const AdmissionQueue& state) {
  if (state.m_deadlines.empty()) return std::nullopt;
  return state.m_deadlines.begin()->first;
}

std::size_t QueuedRequests(const AdmissionQueue& state) {
  return state.m_locations.size();
}

std::size_t QueuedRequests(const AdmissionQueue& state,
                           std::string_view fleet) {
  const auto found = state.m_fleets.find(fleet);
  return found == state.m_fleets.end() ? 0 : found->second.m_requests;
}

void AddPeerService(AdmissionQueue& state, std::string_view peer,
                    const ServiceDigest& digest, Instant now) {
  FleetQueue& queue = GetOrAddFleet(state, digest.m_fleet);
  Flow& flow = GetOrAddFlow(state, queue, digest.m_workspace);
  AdvanceRate(queue, now);
  if (digest.m_requests > 0)
    flow.m_active_at_peer_until = now + kPeerDemandLifetime;
  const auto found = flow.m_peers.find(peer);
  if (found == flow.m_peers.end()) {
    // The age of service before the first report is unknown, so it is not
    // charged.
    flow.m_peers[std::string(peer)] = {digest.m_served, digest.m_requests,
                                       digest.m_running, now};
    return;
  }
  const double served = digest.m_served - found->second.m_served;
  found->second = {digest.m_served, digest.m_requests, digest.m_running, now};
  flow.m_recent_work += served;
  queue.m_recent_peer_work = std::max(0.0, queue.m_recent_peer_work + served);
  Charge(queue, digest.m_workspace, flow, LimitToLead(queue, flow, served));
}

}  // namespace comfreypaddle
