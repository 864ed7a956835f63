#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleetplan.h"

#include <doctest/doctest.h>

#include <vector>

#include "usageaggregate.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

schema::Catalog MakeCatalog() {
  schema::Catalog catalog;
  schema::CatalogService* service = catalog.add_services();
  service->set_name("models");
  schema::ScalingFacts* scaling = service->mutable_scaling();
  scaling->set_min_per_zone(1);
  scaling->set_max_per_zone(8);
  scaling->set_boot_s(4);
  scaling->set_cheap_price(0.2);
  (*scaling->mutable_zone_prices())["z0"] = 1;
  catalog.add_services()->set_name("plain");
  return catalog;
}

// Endpoint counts by pool, from which endpoint lists are made.
struct Fleet {
  schema::EndpointList List() const {
    schema::EndpointList list;
    for (const auto& [slot, count] : m_counts) {
      for (std::uint32_t i = 0; i < count; ++i) {
        schema::EndpointEntry* entry = list.add_endpoints();
        entry->set_service(slot.m_service);
        entry->set_zone(slot.m_zone);
        entry->set_cheap(slot.m_cheap);
      }
    }
    return list;
  }

  std::map<EndpointPool, std::uint32_t> m_counts;
};

TEST_CASE("cheap endpoints are ordered before on-demand ones are released") {
  FleetPlan plan;
  Fleet fleet;
  fleet.m_counts[{"models", "z0", false}] = 4;
  Instant now(seconds(100));
  const auto first = NextOrder(plan, MakeCatalog(), fleet.List(), now);
  REQUIRE(first);
  CHECK(first->m_cheap);
  CHECK(first->m_count == 7);
  OnOrderSent(plan, *first, now);
  OnOrderEnded(plan, *first, DutyResult::kAccepted, now);
  // Guards against releasing the on-demand endpoints while the cheap ones still
  // boot.
  CHECK_FALSE(NextOrder(plan, MakeCatalog(), fleet.List(), now));
  fleet.m_counts[{"models", "z0", true}] = first->m_count;
  const auto second = NextOrder(plan, MakeCatalog(), fleet.List(), now);
  REQUIRE(second);
  CHECK_FALSE(second->m_cheap);
  CHECK(second->m_count == 1);
  OnOrderSent(plan, *second, now);
  OnOrderEnded(plan, *second, DutyResult::kAccepted, now);
  CHECK_FALSE(NextOrder(plan, MakeCatalog(), fleet.List(), now));
}

// Guards against a zone that has no endpoints after its cheap ones were
// reclaimed.
TEST_CASE("on-demand endpoints replace cheap ones that are not available") {
  FleetPlan plan;
  Fleet fleet;
  fleet.m_counts[{"models", "z0", false}] = 1;
  Instant now(seconds(100));
  const auto cheap = NextOrder(plan, MakeCatalog(), fleet.List(), now);
  REQUIRE(cheap);
  OnOrderSent(plan, *cheap, now);
  OnOrderEnded(plan, *cheap, DutyResult::kFenced, now);
  const auto other = NextOrder(plan, MakeCatalog(), fleet.List(), now);
  REQUIRE(other);
  CHECK_FALSE(other->m_cheap);
  CHECK(other->m_count > 1);
  OnOrderSent(plan, *other, now);
  OnOrderEnded(plan, *other, DutyResult::kAccepted, now);
  now += seconds(5);
  const auto again = NextOrder(plan, MakeCatalog(), fleet.List(), now);
  REQUIRE(again);
  CHECK(again->m_cheap);
}

TEST_CASE("an order whose endpoints do not appear is repeated") {
  FleetPlan plan;
  plan.m_options.m_cheap_fraction = 0;
  plan.m_options.m_on_demand_fraction = 0.25;
  Instant now(seconds(100));
  const auto order = NextOrder(plan, MakeCatalog(), {}, now);
  REQUIRE(order);
  OnOrderSent(plan, *order, now);
  OnOrderEnded(plan, *order, DutyResult::kAccepted, now);
  CHECK_FALSE(NextOrder(plan, MakeCatalog(), {}, now + seconds(6)));
  CHECK(NextOrder(plan, MakeCatalog(), {}, now + seconds(8)));
}

ReadResult UsageOf(std::uint64_t offset, std::uint64_t window,
                   std::uint64_t requests, std::uint64_t sequence) {
  schema::UsageBatch batch;
  schema::UsageRecord* record = batch.add_records();
  record->set_instance("a");
  record->set_incarnation(1);
  record->set_sequence(sequence);
  schema::UsageCount* count = record->add_totals();
  count->set_window(window);
  count->set_workspace("w");
  count->set_requests(requests);
  ReadResult result;
  result.m_records.push_back({offset, "", batch.SerializeAsString(), false});
  result.m_next = offset + 1;
  return result;
}

// Guards against counting a record twice that was stored on two ways, or late
// after its successor.
TEST_CASE("a usage record that is stored again counts once") {
  UsageAggregate state;
  const Instant now(seconds(100));
  AddUsageRecords(state, UsageOf(0, 200, 7, 1), now);
  AddUsageRecords(state, UsageOf(1, 200, 7, 1), now);
  CHECK(SumUsage(state, 200).at("w") == 7);
  AddUsageRecords(state, UsageOf(2, 200, 10, 2), now);
  AddUsageRecords(state, UsageOf(3, 200, 7, 1), now);
  CHECK(SumUsage(state, 200).at("w") == 10);
}

// Guards against counting a record twice and against skipped windows.
TEST_CASE("a window is fixed once, after the counts have settled") {
  UsageAggregate state;
  state.m_options.m_fix_delay = milliseconds(2800);
  Instant now(seconds(100));
  AddUsageRecords(state, UsageOf(0, 200, 7, 1), now);
  AddUsageRecords(state, UsageOf(0, 200, 7, 1), now);
  AddUsageRecords(state, UsageOf(1, 200, 10, 2), now);
  const Duration end = seconds(201 * 5);
  CHECK_FALSE(NextWindow(state, 199, end + milliseconds(2000), now));
  const auto window = NextWindow(state, 199, end + milliseconds(3000), now);
  REQUIRE(window);
  CHECK(window->window() == 200);
  REQUIRE(window->counts_size() == 1);
  CHECK(window->counts(0).requests() == 10);
  CHECK_FALSE(NextWindow(state, 200, end + milliseconds(3000), now));
  // Guards against figures that lack the counts other instances kept during a
  // store outage.
  state.m_complete_from = now + milliseconds(1);
  CHECK_FALSE(NextWindow(state, 199, end + milliseconds(3000), now));
  state.m_complete_from = now;
  CHECK(NextWindow(state, 199, end + milliseconds(3000), now));
  // The sums may be incomplete if the last read is old.
  CHECK_FALSE(
      NextWindow(state, 199, end + milliseconds(3000), now + seconds(3)));
}

}  // namespace
}  // namespace comfreypaddle
