#include "share.h"

#include <algorithm>
#include <set>
#include <string>

namespace comfreypaddle {
namespace {

// Part of an even division among the instances that one without demand may
// use, so that requests which arrive between two updates are not held up.
constexpr double kIdleShare = 0.5;

// Requests that a workspace has open at all instances and at this one.
struct Demand {
  double m_weight = 1.0;
  double m_total = 0.0;
  double m_own = 0.0;
};

// Adds up the demand of a flow and notes the peers with recent demand.
Demand DemandOf(const Flow& flow, Instant now,
                std::set<std::string_view>& peers) {
  const auto own =
      static_cast<double>(flow.m_requests.size()) + flow.m_running_requests;
  Demand demand{flow.m_weight, own, own};
  for (const auto& [peer, service] : flow.m_peers) {
    if (now - service.m_heard > kDemandAge || service.m_requests == 0) continue;
    demand.m_total += service.m_requests;
    peers.insert(peer);
  }
  return demand;
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
double ShareOf(const FleetQueue& queue, Instant now) {
  std::vector<Demand> demands;
  std::set<std::string_view> peers;
  double total = 0.0;
  double own = 0.0;
  for (const auto& [name, flow] : queue.m_flows) {
    const Demand demand = DemandOf(flow, now, peers);
    if (demand.m_total <= 0.0) continue;
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
      if (requests == 0 && flow.m_served == flow.m_told) continue;
      flow.m_told = flow.m_served;
      digest.push_back({fleet, name, flow.m_served,
                        flow.m_queued + flow.m_running, requests});
    }
  }
  return digest;
}

void ForgetPeer(AdmitState& state, std::string_view peer) {
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
