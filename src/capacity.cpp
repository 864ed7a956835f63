#include "capacity.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {
namespace {

// Endpoints that count as capacity, now or after their lead time.
struct Census {
  std::map<std::string, int> m_by_zone;
  std::map<std::string, int> m_cheap_by_zone;
  int m_total = 0;
  int m_cheap = 0;
};

using Endpoints = std::vector<CapacityEndpoint>;

bool Counts(const CapacityEndpoint& endpoint) {
  return endpoint.m_phase == EndpointPhase::kOrdered ||
         endpoint.m_phase == EndpointPhase::kStarting ||
         endpoint.m_phase == EndpointPhase::kReady;
}

void Add(Census& census, const std::string& zone, EndpointClass kind,
         int count) {
  census.m_by_zone[zone] += count;
  census.m_total += count;
  if (kind != EndpointClass::kCheap) return;
  census.m_cheap_by_zone[zone] += count;
  census.m_cheap += count;
}

Census TakeCensus(const CapacityOptions& options, const Endpoints& endpoints) {
  Census census;
  for (const std::string& zone : options.m_zones) census.m_by_zone[zone] = 0;
  for (const CapacityEndpoint& endpoint : endpoints) {
    if (Counts(endpoint)) Add(census, endpoint.m_zone, endpoint.m_class, 1);
  }
  return census;
}

Duration OverdueAfter(const CapacityOptions& options) {
  return std::chrono::duration_cast<Duration>(options.m_lead_time *
                                              options.m_overdue_factor);
}

// Gives up orders that are overdue and notes where they did not come.
void AbandonOverdue(CapacityPlanner& planner, Endpoints& endpoints, Instant now,
                    std::vector<CapacityOrder>& orders) {
  for (CapacityEndpoint& endpoint : endpoints) {
    if (endpoint.m_phase != EndpointPhase::kOrdered) continue;
    if (now - endpoint.m_ordered < OverdueAfter(planner.m_options)) continue;
    planner.m_failed[{endpoint.m_zone, endpoint.m_class}] = now;
    orders.push_back({CapacityOrderKind::kAbandon, endpoint.m_zone,
                      endpoint.m_class, endpoint.m_name});
    endpoint.m_phase = EndpointPhase::kGone;
  }
}

// Whether cheap endpoints of some zone were taken back lately.
bool ReclaimedLately(const CapacityPlanner& planner, Instant now) {
  return std::any_of(planner.m_reclaimed.begin(), planner.m_reclaimed.end(),
                     [&](const auto& reclaimed) {
                       return now - reclaimed.second <
                              planner.m_options.m_reclaim_hold;
                     });
}

bool FailedLately(const CapacityPlanner& planner, const std::string& zone,
                  EndpointClass kind, Instant now) {
  const auto failed = planner.m_failed.find({zone, kind});
  return failed != planner.m_failed.end() &&
         now - failed->second < OverdueAfter(planner.m_options);
}

// Zone with the fewest endpoints among those whose orders come. If orders
// came in none of them, the failed ones are tried again.
std::string PickZone(const CapacityPlanner& planner, const Census& census,
                     EndpointClass kind, int cheap_limit, Instant now) {
  std::string best;
  int best_count = 0;
  for (const bool allow_failed : {false, true}) {
    for (const std::string& zone : planner.m_options.m_zones) {
      if (!allow_failed && FailedLately(planner, zone, kind, now)) continue;
      const auto cheap = census.m_cheap_by_zone.find(zone);
      if (kind == EndpointClass::kCheap &&
          cheap != census.m_cheap_by_zone.end() &&
          cheap->second >= cheap_limit) {
        continue;
      }
      const int count = census.m_by_zone.at(zone);
      if (!best.empty() && count >= best_count) continue;
      best = zone;
      best_count = count;
    }
    if (!best.empty() || kind == EndpointClass::kCheap) break;
  }
  return best;
}

// Whether one more cheap endpoint keeps the share.
bool CheapFits(const CapacityOptions& options, const Census& census,
               int target) {
  return census.m_cheap + 1 <= options.m_cheap_share * target + 1e-9;
}

void OrderOne(CapacityPlanner& planner, Census& census, int target,
              int cheap_limit, Instant now,
              std::vector<CapacityOrder>& orders) {
  EndpointClass kind = EndpointClass::kCheap;
  std::string zone;
  if (CheapFits(planner.m_options, census, target) && cheap_limit > 0 &&
      !ReclaimedLately(planner, now)) {
    zone = PickZone(planner, census, kind, cheap_limit, now);
  }
  if (zone.empty()) {
    kind = EndpointClass::kOnDemand;
    zone = PickZone(planner, census, kind, cheap_limit, now);
  }
  if (zone.empty()) return;
  Add(census, zone, kind, 1);
  orders.push_back({CapacityOrderKind::kCreate, zone, kind, {}});
}

// Least loaded endpoint to drain, orders that are not ready first. Nothing if
// there is no endpoint of the class in the zone; an empty zone means any.
CapacityEndpoint* PickDrain(Endpoints& endpoints, const std::string& zone,
                            std::optional<EndpointClass> kind) {
  CapacityEndpoint* best = nullptr;
  const auto rank = [](const CapacityEndpoint& endpoint) {
    return std::pair(endpoint.m_phase == EndpointPhase::kReady,
                     endpoint.m_work);
  };
  for (CapacityEndpoint& endpoint : endpoints) {
    if (!Counts(endpoint)) continue;
    if (!zone.empty() && endpoint.m_zone != zone) continue;
    if (kind && endpoint.m_class != *kind) continue;
    if (best == nullptr || rank(endpoint) < rank(*best)) best = &endpoint;
  }
  return best;
}

void Drain(Census& census, CapacityEndpoint& endpoint,
           std::vector<CapacityOrder>& orders) {
  orders.push_back({CapacityOrderKind::kDrain, endpoint.m_zone,
                    endpoint.m_class, endpoint.m_name});
  endpoint.m_phase = EndpointPhase::kDraining;
  Add(census, endpoint.m_zone, endpoint.m_class, -1);
}

// Drains one endpoint of the fullest zone. On-demand endpoints go first while
// the cheap ones stay within their share and limit.
void ShrinkOne(const CapacityOptions& options, Census& census,
               Endpoints& endpoints, double demand,
               std::vector<CapacityOrder>& orders) {
  const int after = census.m_total - 1;
  const int limit = CheapLimitPerZone(options, after, demand);
  bool keeps_cheap = census.m_cheap <= options.m_cheap_share * after + 1e-9;
  for (const auto& [zone, count] : census.m_cheap_by_zone) {
    keeps_cheap = keeps_cheap && count <= limit;
  }
  const EndpointClass kind =
      keeps_cheap ? EndpointClass::kOnDemand : EndpointClass::kCheap;
  const auto& by_zone = keeps_cheap ? census.m_by_zone : census.m_cheap_by_zone;
  const auto fullest = std::max_element(
      by_zone.begin(), by_zone.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CapacityEndpoint* pick = nullptr;
  if (fullest != by_zone.end()) {
    pick = PickDrain(endpoints, fullest->first, kind);
  }
  if (pick == nullptr) pick = PickDrain(endpoints, {}, kind);
  if (pick == nullptr) pick = PickDrain(endpoints, {}, std::nullopt);
  if (pick != nullptr) Drain(census, *pick, orders);
}

// Drains cheap endpoints above the limit of a zone; on-demand ones replace
// them. A fleet at its maximum is kept within it by the drain.
void EnforceCheapLimit(CapacityPlanner& planner, Census& census,
                       Endpoints& endpoints, int limit, Instant now,
                       std::vector<CapacityOrder>& orders) {
  for (const std::string& zone : planner.m_options.m_zones) {
    while (census.m_cheap_by_zone[zone] > limit) {
      CapacityEndpoint* pick =
          PickDrain(endpoints, zone, EndpointClass::kCheap);
      if (pick == nullptr) break;
      Drain(census, *pick, orders);
      const auto kind = EndpointClass::kOnDemand;
      const std::string target = PickZone(planner, census, kind, limit, now);
      Add(census, target, kind, 1);
      orders.push_back({CapacityOrderKind::kCreate, target, kind, {}});
    }
  }
}

// Whether the fleet does its sustained work with one endpoint less, with the
// margin, and nothing is under way.
bool MayExchange(const CapacityPlanner& planner, const Census& census,
                 const Endpoints& endpoints, double demand,
                 std::size_t hour_after_lead_time) {
  const bool settled = std::all_of(
      endpoints.begin(), endpoints.end(), [](const CapacityEndpoint& endpoint) {
        return endpoint.m_phase == EndpointPhase::kReady ||
               endpoint.m_phase == EndpointPhase::kGone;
      });
  return settled && EndpointsNeeded(planner, demand, hour_after_lead_time) <
                        census.m_total;
}

// Drains an on-demand endpoint and orders a cheap one in its zone, if the share
// and the limit allow one more.
void ExchangeOne(const CapacityPlanner& planner, Census& census,
                 Endpoints& endpoints, double demand, Instant now,
                 std::vector<CapacityOrder>& orders) {
  const CapacityOptions& options = planner.m_options;
  if (!CheapFits(options, census, census.m_total) ||
      ReclaimedLately(planner, now)) {
    return;
  }
  const int limit = CheapLimitPerZone(options, census.m_total,
                                      demand * options.m_exchange_factor);
  const auto kind = EndpointClass::kCheap;
  CapacityEndpoint* best = nullptr;
  for (const std::string& zone : options.m_zones) {
    if (FailedLately(planner, zone, kind, now)) continue;
    const int cheap = census.m_cheap_by_zone[zone];
    if (cheap >= limit) continue;
    CapacityEndpoint* pick =
        PickDrain(endpoints, zone, EndpointClass::kOnDemand);
    if (pick == nullptr) continue;
    if (best != nullptr && cheap >= census.m_cheap_by_zone[best->m_zone]) {
      continue;
    }
    best = pick;
  }
  if (best == nullptr) return;
  Drain(census, *best, orders);
  Add(census, best->m_zone, kind, 1);
  orders.push_back({CapacityOrderKind::kCreate, best->m_zone, kind, {}});
}

}  // namespace

void LearnProfile(CapacityPlanner& planner, std::size_t hour, double demand) {
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
  const double rest = std::ceil(demand / options.m_takeover_utilisation - 1e-9);
  return std::max(0, endpoints - static_cast<int>(rest));
}

void NoteReclaim(CapacityPlanner& planner, const std::string& zone,
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
  Census census = TakeCensus(options, view);
  const int target =
      EndpointsNeeded(planner, demand.m_peak, hour_after_lead_time);
  const int limit = CheapLimitPerZone(options, std::max(target, census.m_total),
                                      demand.m_sustained);
  while (census.m_total < target) {
    OrderOne(planner, census, target, limit, now, orders);
  }
  if (census.m_total <= target) planner.m_surplus_since.reset();
  if (census.m_total > target) {
    if (!planner.m_surplus_since) planner.m_surplus_since = now;
    if (now - *planner.m_surplus_since >= options.m_shrink_delay) {
      while (census.m_total > target) {
        ShrinkOne(options, census, view, demand.m_sustained, orders);
      }
    }
  }
  EnforceCheapLimit(
      planner, census, view,
      CheapLimitPerZone(options, census.m_total, demand.m_sustained), now,
      orders);
  if (orders.empty() && MayExchange(planner, census, view, demand.m_sustained,
                                    hour_after_lead_time)) {
    ExchangeOne(planner, census, view, demand.m_sustained, now, orders);
  }
  return orders;
}

}  // namespace comfreypaddle
