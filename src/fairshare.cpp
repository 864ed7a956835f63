#include "fairshare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace comfreypaddle {
namespace {

// Fraction of an even share that an instance without demand may use, so that
// requests arriving between two updates are not delayed.
constexpr double kIdleShare = 0.5;

// Time constant of the measured slot time per token of work, and the amount of
// work, in average requests, below which the fleet's mean has more weight.
constexpr double kSlotTimeConstantSeconds = 30.0;
constexpr double kPriorRequests = 4.0;

// Maximum ratio between the slot time of a workspace and the fleet's mean, in
// both directions.
constexpr double kMaxSlotTimeRatio = 16.0;

// Open requests of a workspace at all instances and at this one. The weight
// includes the slot time: the same work needs more slots if requests hold them
// longer.
struct Demand {
  double m_weight = 1.0;
  double m_total = 0.0;
  double m_own = 0.0;
};

// Returns the open requests of a flow and adds the peers that have some to
// `peers`.
Demand FlowDemand(const Flow& flow, Instant now,
                  std::set<std::string_view>& peers) {
  const auto own =
      static_cast<double>(flow.m_requests.size()) + flow.m_running_requests;
  Demand demand{flow.m_weight, own, own};
  for (const auto& [peer, service] : flow.m_peers) {
    if (now - service.m_received_at > kPeerDemandLifetime ||
        service.m_requests == 0)
      continue;
    demand.m_total += service.m_requests;
    peers.insert(peer);
  }
  return demand;
}

// Adds the slot time used at all instances since the last update.
void AddSlotTime(Flow& flow, double seconds, Instant now) {
  double running = flow.m_running_requests;
  for (const auto& [peer, service] : flow.m_peers) {
    if (now - service.m_received_at <= kPeerDemandLifetime)
      running += service.m_running;
  }
  const double decay = std::exp(-seconds / kSlotTimeConstantSeconds);
  flow.m_recent_work = std::max(0.0, flow.m_recent_work * decay);
  flow.m_recent_slot_seconds =
      flow.m_recent_slot_seconds * decay + running * seconds;
}

// Returns the slot time of a flow relative to the fleet's mean.
double RelativeSlotTime(const Flow& flow, double mean, double prior_work) {
  if (mean <= 0.0) return 1.0;
  const double time = (flow.m_recent_slot_seconds + prior_work * mean) /
                      (flow.m_recent_work + prior_work);
  return std::clamp(time / mean, 1.0 / kMaxSlotTimeRatio, kMaxSlotTimeRatio);
}

// Updates the decayed sums of all flows and returns the mean slot time per
// token of work.
double MeanSlotTime(FleetQueue& queue, Instant now) {
  const bool first = queue.m_share_updated == Instant{};
  const double seconds =
      std::chrono::duration<double>(now - queue.m_share_updated).count();
  queue.m_share_updated = now;
  double slots = 0.0;
  double work = 0.0;
  for (auto& [name, flow] : queue.m_flows) {
    if (!first) AddSlotTime(flow, seconds, now);
    slots += flow.m_recent_slot_seconds;
    work += flow.m_recent_work;
  }
  return work > 0.0 ? slots / work : 0.0;
}

// Divides the slots among the workspaces by weighted max-min fairness and
// returns the slots due to this instance: of each workspace's slots, the
// fraction of its demand that is local.
double OwnSlots(std::vector<Demand>& demands, double slots) {
  std::sort(demands.begin(), demands.end(),
            [](const Demand& a, const Demand& b) {
              return a.m_total * b.m_weight < b.m_total * a.m_weight;
            });
  double weights = 0.0;
  for (const Demand& demand : demands) weights += demand.m_weight;
  double own = 0.0;
  for (const Demand& demand : demands) {
    const double part =
        std::min(demand.m_total, slots * demand.m_weight / weights);
    slots -= part;
    weights -= demand.m_weight;
    if (demand.m_total > 0.0) own += part * demand.m_own / demand.m_total;
  }
  return own;
}

// Returns the fraction of the slots that this instance may use.
double ComputeShare(FleetQueue& queue, Instant now) {
  const double mean = MeanSlotTime(queue, now);
  const double prior_work = kPriorRequests * queue.m_mean_cost + kMinCost;
  std::vector<Demand> demands;
  std::set<std::string_view> peers;
  double total = 0.0;
  double own = 0.0;
  for (const auto& [name, flow] : queue.m_flows) {
    Demand demand = FlowDemand(flow, now, peers);
    if (demand.m_total <= 0.0) continue;
    demand.m_weight *= RelativeSlotTime(flow, mean, prior_work);
    demands.push_back(demand);
    total += demand.m_total;
    own += demand.m_own;
  }
  if (queue.m_slots <= 0.0 || total <= queue.m_slots) return 1.0;
  if (own <= 0.0) return kIdleShare / (1.0 + static_cast<double>(peers.size()));
  return OwnSlots(demands, queue.m_slots) / queue.m_slots;
}

}  // namespace

std::vector<ServiceDigest> BuildServiceDigest(AdmissionQueue& state) {
  std::vector<ServiceDigest> digest;
  for (auto& [fleet, queue] : state.m_fleets) {
    for (auto& [name, flow] : queue.m_flows) {
      const auto requests = static_cast<std::uint32_t>(flow.m_requests.size() +
                                                       flow.m_running_requests);
      // Report the end of the last request once, so that peers need not wait
      // for its demand to expire.
      if (requests == 0 && flow.m_reported_requests == 0 &&
          flow.m_served == flow.m_reported_served) {
        continue;
      }
      flow.m_reported_served = flow.m_served;
      flow.m_reported_requests = requests;
      digest.push_back({fleet, name, flow.m_served,
                        flow.m_queued + flow.m_running, requests,
                        flow.m_running_requests});
    }
  }
  return digest;
}

void RemovePeer(AdmissionQueue& state, std::string_view peer) {
  for (auto& [fleet, queue] : state.m_fleets) {
    for (auto& [name, flow] : queue.m_flows) {
      const auto found = flow.m_peers.find(peer);
      if (found != flow.m_peers.end()) flow.m_peers.erase(found);
    }
  }
}

void UpdateShares(AdmissionQueue& state, Instant now) {
  for (auto& [fleet, queue] : state.m_fleets) {
    queue.m_share = ComputeShare(queue, now);
  }
}

}  // namespace comfreypaddle
