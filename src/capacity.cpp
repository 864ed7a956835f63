#include "capacity.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {
namespace {

// Numbers of endpoints that provide capacity now or after their lead time.
struct EndpointCounts {
  std::map<std::string, int> m_by_zone;
  std::map<std::string, int> m_cheap_by_zone;
  int m_total = 0;
  int m_cheap = 0;
};

using Endpoints = std::vector<CapacityEndpoint>;

bool IsCapacity(const CapacityEndpoint& endpoint) {
  return endpoint.m_phase == EndpointPhase::kOrdered ||
         endpoint.m_phase == EndpointPhase::kStarting ||
         endpoint.m_phase == EndpointPhase::kReady;
}

void AddEndpoints(EndpointCounts& counts, const std::string& zone,
                  EndpointClass kind, int count) {
  counts.m_by_zone[zone] += count;
  counts.m_total += count;
  if (kind != EndpointClass::kCheap) return;
  counts.m_cheap_by_zone[zone] += count;
  counts.m_cheap += count;
}

EndpointCounts CountEndpoints(const CapacityOptions& options,
                              const Endpoints& endpoints) {
  EndpointCounts counts;
  for (const std::string& zone : options.m_zones) counts.m_by_zone[zone] = 0;
  for (const CapacityEndpoint& endpoint : endpoints) {
    if (IsCapacity(endpoint))
      AddEndpoints(counts, endpoint.m_zone, endpoint.m_class, 1);
  }
  return counts;
}

Duration OrderTimeout(const CapacityOptions& options) {
  return std::chrono::duration_cast<Duration>(options.m_lead_time *
                                              options.m_overdue_factor);
}

// Abandons overdue orders and records their zone and class as failed.
void AbandonOverdue(CapacityPlanner& planner, Endpoints& endpoints, Instant now,
                    std::vector<CapacityOrder>& orders) {
  for (CapacityEndpoint& endpoint : endpoints) {
    if (endpoint.m_phase != EndpointPhase::kOrdered) continue;
    if (now - endpoint.m_ordered < OrderTimeout(planner.m_options)) continue;
    planner.m_failed[{endpoint.m_zone, endpoint.m_class}] = now;
    orders.push_back({CapacityOrderKind::kAbandon, endpoint.m_zone,
                      endpoint.m_class, endpoint.m_name});
    endpoint.m_phase = EndpointPhase::kGone;
  }
}

// Whether cheap endpoints of any zone were reclaimed within the reclaim hold.
bool ReclaimedRecently(const CapacityPlanner& planner, Instant now) {
  return std::any_of(planner.m_reclaimed.begin(), planner.m_reclaimed.end(),
                     [&](const auto& reclaimed) {
                       return now - reclaimed.second <
                              planner.m_options.m_reclaim_hold;
                     });
}

bool FailedRecently(const CapacityPlanner& planner, const std::string& zone,
                    EndpointClass kind, Instant now) {
  const auto failed = planner.m_failed.find({zone, kind});
  return failed != planner.m_failed.end() &&
         now - failed->second < OrderTimeout(planner.m_options);
}

// Selects the zone with the fewest endpoints among those without a recent
// failed order. If there is none, on-demand orders also consider the failed
// zones.
std::string SelectZone(const CapacityPlanner& planner,
                       const EndpointCounts& counts, EndpointClass kind,
                       int cheap_limit, Instant now) {
  std::string best;
  int best_count = 0;
  for (const bool allow_failed : {false, true}) {
    for (const std::string& zone : planner.m_options.m_zones) {
      if (!allow_failed && FailedRecently(planner, zone, kind, now)) continue;
      const auto cheap = counts.m_cheap_by_zone.find(zone);
      if (kind == EndpointClass::kCheap &&
          cheap != counts.m_cheap_by_zone.end() &&
          cheap->second >= cheap_limit) {
        continue;
      }
      const int count = counts.m_by_zone.at(zone);
      if (!best.empty() && count >= best_count) continue;
      best = zone;
      best_count = count;
    }
    if (!best.empty() || kind == EndpointClass::kCheap) break;
  }
  return best;
}

// Whether one more cheap endpoint stays within the cheap share.
bool FitsCheapShare(const CapacityOptions& options,
                    const EndpointCounts& counts, int target) {
  return counts.m_cheap + 1 <= options.m_cheap_share * target + 1e-9;
}

void OrderEndpoint(CapacityPlanner& planner, EndpointCounts& counts, int target,
                   int cheap_limit, Instant now,
                   std::vector<CapacityOrder>& orders) {
  EndpointClass kind = EndpointClass::kCheap;
  std::string zone;
  if (FitsCheapShare(planner.m_options, counts, target) && cheap_limit > 0 &&
      !ReclaimedRecently(planner, now)) {
    zone = SelectZone(planner, counts, kind, cheap_limit, now);
  }
  if (zone.empty()) {
    kind = EndpointClass::kOnDemand;
    zone = SelectZone(planner, counts, kind, cheap_limit, now);
  }
  if (zone.empty()) return;
  AddEndpoints(counts, zone, kind, 1);
  orders.push_back({CapacityOrderKind::kCreate, zone, kind, {}});
}

// Selects the least loaded endpoint to drain, preferring those that are not
// ready yet. An empty zone or class matches any. Returns null if there is none.
CapacityEndpoint* SelectDrainCandidate(Endpoints& endpoints,
                                       const std::string& zone,
                                       std::optional<EndpointClass> kind) {
  CapacityEndpoint* best = nullptr;
  const auto rank = [](const CapacityEndpoint& endpoint) {
    return std::pair(endpoint.m_phase == EndpointPhase::kReady,
                     endpoint.m_work);
  };
  for (CapacityEndpoint& endpoint : endpoints) {
    if (!IsCapacity(endpoint)) continue;
    if (!zone.empty() && endpoint.m_zone != zone) continue;
    if (kind && endpoint.m_class != *kind) continue;
    if (best == nullptr || rank(endpoint) < rank(*best)) best = &endpoint;
  }
  return best;
}

void Drain(EndpointCounts& counts, CapacityEndpoint& endpoint,
           std::vector<CapacityOrder>& orders) {
  orders.push_back({CapacityOrderKind::kDrain, endpoint.m_zone,
                    endpoint.m_class, endpoint.m_name});
  endpoint.m_phase = EndpointPhase::kDraining;
  AddEndpoints(counts, endpoint.m_zone, endpoint.m_class, -1);
}

// Drains one endpoint in the zone with the most endpoints. On-demand endpoints
// are drained first as long as the cheap ones stay within their share and
// limit.
void DrainSurplusEndpoint(const CapacityOptions& options,
                          EndpointCounts& counts, Endpoints& endpoints,
                          double demand, std::vector<CapacityOrder>& orders) {
  const int after = counts.m_total - 1;
  const int limit = CheapLimitPerZone(options, after, demand);
  bool keeps_cheap = counts.m_cheap <= options.m_cheap_share * after + 1e-9;
  for (const auto& [zone, count] : counts.m_cheap_by_zone) {
    keeps_cheap = keeps_cheap && count <= limit;
  }
  const EndpointClass kind =
      keeps_cheap ? EndpointClass::kOnDemand : EndpointClass::kCheap;
  const auto& by_zone = keeps_cheap ? counts.m_by_zone : counts.m_cheap_by_zone;
  const auto fullest = std::max_element(
      by_zone.begin(), by_zone.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CapacityEndpoint* pick = nullptr;
  if (fullest != by_zone.end()) {
    pick = SelectDrainCandidate(endpoints, fullest->first, kind);
  }
  if (pick == nullptr) pick = SelectDrainCandidate(endpoints, {}, kind);
  if (pick == nullptr) pick = SelectDrainCandidate(endpoints, {}, std::nullopt);
  if (pick != nullptr) Drain(counts, *pick, orders);
}

// Drains cheap endpoints above a zone's limit and orders on-demand ones as
// replacements. The drain keeps a fleet at its maximum size within it.
void EnforceCheapLimit(CapacityPlanner& planner, EndpointCounts& counts,
                       Endpoints& endpoints, int limit, Instant now,
                       std::vector<CapacityOrder>& orders) {
  for (const std::string& zone : planner.m_options.m_zones) {
    while (counts.m_cheap_by_zone[zone] > limit) {
      CapacityEndpoint* pick =
          SelectDrainCandidate(endpoints, zone, EndpointClass::kCheap);
      if (pick == nullptr) break;
      Drain(counts, *pick, orders);
      const auto kind = EndpointClass::kOnDemand;
      const std::string target = SelectZone(planner, counts, kind, limit, now);
      AddEndpoints(counts, target, kind, 1);
      orders.push_back({CapacityOrderKind::kCreate, target, kind, {}});
    }
  }
}

// Whether one endpoint less can serve the sustained demand with the margin, and
// no change is in progress.
bool CanReplaceByCheap(const CapacityPlanner& planner,
                       const EndpointCounts& counts, const Endpoints& endpoints,
                       double demand, std::size_t hour_after_lead_time) {
  const bool settled = std::all_of(
      endpoints.begin(), endpoints.end(), [](const CapacityEndpoint& endpoint) {
        return endpoint.m_phase == EndpointPhase::kReady ||
               endpoint.m_phase == EndpointPhase::kGone;
      });
  return settled && EndpointsNeeded(planner, demand, hour_after_lead_time) <
                        counts.m_total;
}

// Replaces an on-demand endpoint by a cheap one in the same zone, if the share
// and the limit allow one more.
void ReplaceByCheap(const CapacityPlanner& planner, EndpointCounts& counts,
                    Endpoints& endpoints, double demand, Instant now,
                    std::vector<CapacityOrder>& orders) {
  const CapacityOptions& options = planner.m_options;
  if (!FitsCheapShare(options, counts, counts.m_total) ||
      ReclaimedRecently(planner, now)) {
    return;
  }
  const int limit = CheapLimitPerZone(options, counts.m_total,
                                      demand * options.m_replacement_factor);
  const auto kind = EndpointClass::kCheap;
  CapacityEndpoint* best = nullptr;
  for (const std::string& zone : options.m_zones) {
    if (FailedRecently(planner, zone, kind, now)) continue;
    const int cheap = counts.m_cheap_by_zone[zone];
    if (cheap >= limit) continue;
    CapacityEndpoint* pick =
        SelectDrainCandidate(endpoints, zone, EndpointClass::kOnDemand);
    if (pick == nullptr) continue;
    if (best != nullptr && cheap >= counts.m_cheap_by_zone[best->m_zone]) {
      continue;
    }
    best = pick;
  }
  if (best == nullptr) return;
  Drain(counts, *best, orders);
  AddEndpoints(counts, best->m_zone, kind, 1);
  orders.push_back({CapacityOrderKind::kCreate, best->m_zone, kind, {}});
}

}  // namespace

void UpdateProfile(CapacityPlanner& planner, std::size_t hour, double demand) {
  double& value = planner.m_profile[hour % kHoursPerDay];
  value = std::max(value, demand);
}

int EndpointsNeeded(const CapacityPlanner& planner, double demand,
                    std::size_t hour_after_lead_time) {
  const CapacityOptions& options = planner.m_options;
  const double expected =
      std::max(demand, planner.m_profile[hour_after_lead_time % kHoursPerDay]);
  const double needed =
      expected * (1.0 + options.m_margin) / options.m_target_utilisation;
  return std::clamp(static_cast<int>(std::ceil(needed - 1e-9)),
                    options.m_min_endpoints, options.m_max_endpoints);
}

int CheapLimitPerZone(const CapacityOptions& options, int endpoints,
                      double demand) {
  const double required =
      std::ceil(demand / options.m_takeover_utilisation - 1e-9);
  return std::max(0, endpoints - static_cast<int>(required));
}

void RecordReclaim(CapacityPlanner& planner, const std::string& zone,
                   Instant now) {
  planner.m_reclaimed[zone] = now;
}

std::vector<CapacityOrder> PlanCapacity(
    CapacityPlanner& planner, const std::vector<CapacityEndpoint>& endpoints,
    const CapacityDemand& demand, std::size_t hour_after_lead_time,
    Instant now) {
  const CapacityOptions& options = planner.m_options;
  std::vector<CapacityOrder> orders;
  if (options.m_zones.empty()) return orders;
  Endpoints view = endpoints;
  AbandonOverdue(planner, view, now, orders);
  EndpointCounts counts = CountEndpoints(options, view);
  const int target =
      EndpointsNeeded(planner, demand.m_peak, hour_after_lead_time);
  const int limit = CheapLimitPerZone(options, std::max(target, counts.m_total),
                                      demand.m_sustained);
  while (counts.m_total < target) {
    OrderEndpoint(planner, counts, target, limit, now, orders);
  }
  if (counts.m_total <= target) planner.m_surplus_since.reset();
  if (counts.m_total > target) {
    if (!planner.m_surplus_since) planner.m_surplus_since = now;
    if (now - *planner.m_surplus_since >= options.m_shrink_delay) {
      while (counts.m_total > target) {
        DrainSurplusEndpoint(options, counts, view, demand.m_sustained, orders);
      }
    }
  }
  EnforceCheapLimit(
      planner, counts, view,
      CheapLimitPerZone(options, counts.m_total, demand.m_sustained), now,
      orders);
  if (orders.empty() &&
      CanReplaceByCheap(planner, counts, view, demand.m_sustained,
                        hour_after_lead_time)) {
    ReplaceByCheap(planner, counts, view, demand.m_sustained, now, orders);
  }
  return orders;
}

}  // namespace comfreypaddle
