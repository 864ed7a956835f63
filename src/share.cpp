#include "share.h"

#include <algorithm>
#include <set>
#include <string>

namespace comfreypaddle {
namespace {

// A peer's demand counts for this long. It spans several heartbeat periods,
// and ends soon after a peer died.
constexpr Duration kDemandAge = std::chrono::seconds(3);

// Part of an even division among instances that each may use in any case, so
// that demand which arrives between two updates is not held up.
constexpr double kLeastShare = 0.5;

// Work that a workspace wants at all instances and at this one.
struct Demand {
  double m_weight = 1.0;
  double m_total = 0.0;
  double m_own = 0.0;
};

// Adds up the demand of a flow and notes the peers with recent demand.
Demand DemandOf(const Flow& flow, Instant now,
                std::set<std::string_view>& peers) {
  Demand demand{flow.m_weight, 0.0, flow.m_queued + flow.m_running};
  demand.m_total = demand.m_own;
  for (const auto& [peer, service] : flow.m_peers) {
    if (now - service.m_heard > kDemandAge) continue;
    demand.m_total += service.m_waiting;
    if (service.m_waiting > 0.0) peers.insert(peer);
  }
  return demand;
}

// Divides the capacity among the workspaces, max-min fair by weight, and
// returns the part that falls to this instance: of each workspace's part, the
// portion of its demand that waits here.
double OwnShare(std::vector<Demand>& demands, double capacity) {
  std::sort(demands.begin(), demands.end(),
            [](const Demand& a, const Demand& b) {
              return a.m_total * b.m_weight < b.m_total * a.m_weight;
            });
  double weights = 0.0;
  for (const Demand& demand : demands) weights += demand.m_weight;
  double own = 0.0;
  for (const Demand& demand : demands) {
    const double part =
        std::min(demand.m_total, capacity * demand.m_weight / weights);
    capacity -= part;
    weights -= demand.m_weight;
    if (demand.m_total > 0.0) own += part * demand.m_own / demand.m_total;
  }
  return own;
}

}  // namespace

std::vector<ServiceDigest> MakeServiceDigest(AdmitState& state) {
  std::vector<ServiceDigest> digest;
  for (auto& [fleet, queue] : state.m_fleets) {
    for (auto& [name, flow] : queue.m_flows) {
      const double waiting = flow.m_queued + flow.m_running;
      if (waiting <= 0.0 && flow.m_served == flow.m_told) continue;
      flow.m_told = flow.m_served;
      digest.push_back({fleet, name, flow.m_served, waiting});
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
    std::vector<Demand> demands;
    double total = 0.0;
    std::set<std::string_view> peers;
    for (const auto& [name, flow] : queue.m_flows) {
      demands.push_back(DemandOf(flow, now, peers));
      total += demands.back().m_total;
    }
    const double capacity = queue.m_slots * queue.m_mean_cost;
    queue.m_share = 1.0;
    queue.m_least_share = 1.0;
    if (capacity <= 0.0 || total <= capacity) continue;
    queue.m_share = OwnShare(demands, capacity) / capacity;
    queue.m_least_share =
        kLeastShare / (1.0 + static_cast<double>(peers.size()));
  }
}

}  // namespace comfreypaddle
