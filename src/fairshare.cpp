#include "fairshare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace comfreypaddle {
namespace {

// Part of an even division among the instances that one without demand may
// use, so that requests which arrive between two updates are not held up.
constexpr double kIdleShare = 0.5;

// Time constant of the measured slot time for each token of work, and the work
// below which the fleet's mean counts for more, in average requests.
constexpr double kSlotTimeSeconds = 30.0;
constexpr double kPriorRequests = 4.0;

// Bound of a workspace's slot time relative to the fleet's mean.
constexpr double kMostSlotTime = 16.0;

// Requests that a workspace has open at all instances and at this one. The
// weight is the part of the slots that it is due: equal work needs more slots
// for requests that hold them longer.
struct Demand {
  double m_weight = 1.0;
  double m_total = 0.0;
  double m_own = 0.0;
};

// Returns the open requests of a flow and notes the peers that have some.
Demand DemandOf(const Flow& flow, Instant now,
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

// Adds the slots held since the last update, at all instances.
void CountSlots(Flow& flow, double seconds, Instant now) {
  double running = flow.m_running_requests;
  for (const auto& [peer, service] : flow.m_peers) {
    if (now - service.m_received_at <= kPeerDemandLifetime)
      running += service.m_running;
  }
  const double decay = std::exp(-seconds / kSlotTimeSeconds);
  flow.m_recent_work = std::max(0.0, flow.m_recent_work * decay);
  flow.m_recent_slot_seconds =
      flow.m_recent_slot_seconds * decay + running * seconds;
}

// Returns the slot time of a flow relative to the mean of the fleet.
double SlotTime(const Flow& flow, double mean, double prior_work) {
  if (mean <= 0.0) return 1.0;
  const double time = (flow.m_recent_slot_seconds + prior_work * mean) /
                      (flow.m_recent_work + prior_work);
  return std::clamp(time / mean, 1.0 / kMostSlotTime, kMostSlotTime);
}

// Returns the mean slot time for each token of work, after bringing the sums
// of all flows up to now.
double MeanSlotTime(FleetQueue& queue, Instant now) {
  const bool first = queue.m_share_updated == Instant{};
  const double seconds =
      std::chrono::duration<double>(now - queue.m_share_updated).count();
  queue.m_share_updated = now;
  double slots = 0.0;
  double work = 0.0;
  for (auto& [name, flow] : queue.m_flows) {
    if (!first) CountSlots(flow, seconds, now);
    slots += flow.m_recent_slot_seconds;
    work += flow.m_recent_work;
  }
  return work > 0.0 ? slots / work : 0.0;
}

// Divides the slots among the workspaces, max-min fair by weight, and returns
// those that fall to this instance: of each workspace's slots, the portion of
// its demand that is here.
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

// Returns the share of the slots that this instance may use.
double ShareOf(FleetQueue& queue, Instant now) {
  const double mean = MeanSlotTime(queue, now);
  const double prior_work = kPriorRequests * queue.m_mean_cost + kMinCost;
  std::vector<Demand> demands;
  std::set<std::string_view> peers;
  double total = 0.0;
  double own = 0.0;
  for (const auto& [name, flow] : queue.m_flows) {
    Demand demand = DemandOf(flow, now, peers);
    if (demand.m_total <= 0.0) continue;
    demand.m_weight *= SlotTime(flow, mean, prior_work);
    demands.push_back(demand);
    total += demand.m_total;
    own += demand.m_own;
  }
  if (queue.m_slots <= 0.0 || total <= queue.m_slots) return 1.0;
  if (own <= 0.0) return kIdleShare / (1.0 + static_cast<double>(peers.size()));
  return OwnSlots(demands, queue.m_slots) / queue.m_slots;
}

}  // namespace

std::vector<ServiceDigest> MakeServiceDigest(AdmitState& state) {
  std::vector<ServiceDigest> digest;
  for (auto& [fleet, queue] : state.m_fleets) {
    for (auto& [name, flow] : queue.m_flows) {
      const auto requests = static_cast<std::uint32_t>(flow.m_requests.size() +
                                                       flow.m_running_requests);
      // The end of the last request is told as well, so that peers do not
      // count it until it is too old.
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

void RemovePeer(AdmitState& state, std::string_view peer) {
  for (auto& [fleet, queue] : state.m_fleets) {
    for (auto& [name, flow] : queue.m_flows) {
      const auto found = flow.m_peers.find(peer);
      if (found != flow.m_peers.end()) flow.m_peers.erase(found);
    }
  }
}

void UpdateShares(AdmitState& state, Instant now) {
  for (auto& [fleet, queue] : state.m_fleets) {
    queue.m_share = ShareOf(queue, now);
  }
}

}  // namespace comfreypaddle
