#include "fleetplan.h"

#include <algorithm>
#include <cmath>

namespace comfreypaddle {

namespace {

// Delay before an order that was refused or not answered is retried.
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);

// Number of endpoints that are not draining.
std::map<EndpointPool, std::uint32_t> CountEndpoints(
    const schema::EndpointList& endpoints) {
  std::map<EndpointPool, std::uint32_t> counts;
  for (const schema::EndpointEntry& entry : endpoints.endpoints()) {
    if (entry.draining()) continue;
    ++counts[{entry.service(), entry.zone(), entry.cheap()}];
  }
  return counts;
}

bool HasShortage(const FleetPlan& plan, const EndpointPool& slot, Instant now) {
  const auto found = plan.m_orders.find(slot);
  return found != plan.m_orders.end() && now < found->second.m_shortage_until;
}

std::uint32_t ShareOf(const schema::ScalingFacts& scaling, double share) {
  return static_cast<std::uint32_t>(
      std::lround(share * scaling.max_per_zone()));
}

// Target number of endpoints. Where cheap endpoints are not available,
// on-demand ones replace half of them.
std::uint32_t TargetOf(const FleetPlan& plan, const EndpointPool& slot,
                       const schema::ScalingFacts& scaling, Instant now) {
  const FleetOptions& options = plan.m_options;
  const bool has_cheap = scaling.cheap_price() > 0;
  const std::uint32_t all_cheap = ShareOf(scaling, options.m_cheap_fraction);
  const std::uint32_t wanted_cheap = has_cheap ? all_cheap : 0;
  std::uint32_t on_demand = ShareOf(scaling, options.m_on_demand_fraction);
  if (!has_cheap ||
      HasShortage(plan, {slot.m_service, slot.m_zone, true}, now)) {
    on_demand += (all_cheap + 1) / 2;
  }
  on_demand =
      std::clamp(on_demand, scaling.min_per_zone(), scaling.max_per_zone());
  if (!slot.m_cheap) return on_demand;
  return std::min(wanted_cheap, scaling.max_per_zone() - on_demand);
}

// Whether an order should be sent now.
bool IsDue(const FleetPlan& plan, const EndpointPool& slot,
           std::uint32_t target, std::uint32_t present, Duration boot,
           Instant now) {
  const auto found = plan.m_orders.find(slot);
  if (found == plan.m_orders.end()) return target != present;
  const FleetOrder& order = found->second;
  if (now < order.m_sent + kRetryDelay) return false;
  if (slot.m_cheap && now < order.m_shortage_until) return false;
  if (!order.m_accepted || order.m_count != target) return true;
  return present != target &&
         now > order.m_sent + boot + plan.m_options.m_arrival_timeout;
}

// Keeps on-demand endpoints until the cheap ones that replace them are running:
// new endpoints need time to boot and start with an empty cache.
std::uint32_t KeepUntilReplaced(std::uint32_t target, std::uint32_t present,
                                std::uint32_t missing_cheap) {
  if (present <= target) return target;
  return std::min(present, target + (missing_cheap + 1) / 2);
}

EndpointPool SlotOf(const CountOrder& order) {
  return {order.m_service, order.m_zone, order.m_cheap};
}

}  // namespace

std::optional<CountOrder> NextOrder(FleetPlan& plan,
                                    const schema::Catalog& catalog,
                                    const schema::EndpointList& endpoints,
                                    Instant now) {
  auto counts = CountEndpoints(endpoints);
  for (const schema::CatalogService& service : catalog.services()) {
    if (!service.has_scaling()) continue;
    const schema::ScalingFacts& scaling = service.scaling();
    const auto boot = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(scaling.boot_s()));
    // Order cheap endpoints before on-demand ones are released.
    for (const bool cheap : {true, false}) {
      for (const auto& [zone, price] : scaling.zone_prices()) {
        const EndpointPool slot{service.name(), zone, cheap};
        std::uint32_t target = TargetOf(plan, slot, scaling, now);
        if (!cheap) {
          const EndpointPool other{service.name(), zone, true};
          const std::uint32_t wanted = TargetOf(plan, other, scaling, now);
          const std::uint32_t running = std::min(counts[other], wanted);
          target = KeepUntilReplaced(target, counts[slot], wanted - running);
        }
        if (!IsDue(plan, slot, target, counts[slot], boot, now)) continue;
        return CountOrder{service.name(), zone, target, cheap};
      }
    }
  }
  return std::nullopt;
}

void OnOrderSent(FleetPlan& plan, const CountOrder& order, Instant now) {
  FleetOrder& state = plan.m_orders[SlotOf(order)];
  state.m_sent = now;
  state.m_accepted = false;
}

void OnOrderEnded(FleetPlan& plan, const CountOrder& order, DutyResult result,
                  Instant now) {
  FleetOrder& state = plan.m_orders[SlotOf(order)];
  state.m_accepted = result == DutyResult::kAccepted;
  state.m_count = order.m_count;
  // The platform refuses an order for cheap endpoints when it has none.
  if (order.m_cheap && result == DutyResult::kFenced) {
    state.m_shortage_until = now + plan.m_options.m_shortage_hold;
  }
}

}  // namespace comfreypaddle
