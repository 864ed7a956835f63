#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "usageflush.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>

#include "statemerge.h"
#include "statequery.h"
#include "storeera.h"
#include "support_control.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Instance;

void CountRequests(Instance& instance, std::uint64_t requests) {
  schema::UsageCounts counts;
  schema::UsageCount* count = counts.add_counts();
  count->set_window(1);
  count->set_workspace("w");
  count->set_requests(requests);
  AddUsageCounts(instance.m_state, counts);
}

// Makes the store refuse the last append.
void RefuseAppend(Instance& instance) {
  AppendResult refused;
  refused.m_fault = StoreFault::kRefused;
  instance.m_store.m_append_done.back()(refused);
}

// Lets instance a query the state of b.
void QueryState(Instance& a, Instance& b) {
  schema::InstanceQuery query;
  query.set_name(a.m_state.m_options.m_name);
  query.set_usage_waits(HasPendingUsage(a.m_state));
  AnswerStateQuery(b.m_state, query, [&a](const schema::InstanceState& answer) {
    MergePeerState(a.m_state, answer, a.m_now);
  });
}

// Delivers the last handover of one instance to the other, and the answer back.
void DeliverHandover(Instance& from, Instance& to) {
  schema::UsageHandover usage;
  REQUIRE(usage.ParseFromString(from.m_peers.m_calls.back().m_body));
  const HttpEvents events = from.m_peers.m_events.back();
  StoreHandover(to.m_state, usage, [events](const schema::HandoverResult& r) {
    events.m_on_body(r.SerializeAsString());
    events.m_on_end({HttpError::kOk, 200, true});
  });
}

// Failure: usage is lost or counted twice while the store refuses an instance.
TEST_CASE("usage is handed over under the sender's sequence number") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  RefuseAppend(a);
  QueryState(a, b);
  FlushUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  DeliverHandover(a, b);
  REQUIRE(b.m_store.m_appends.size() == 1);
  // The same record with the same sequence number, which counts once.
  CHECK(b.m_store.m_appends[0].m_value == a.m_store.m_appends[0].m_value);
  CHECK(a.m_state.m_flush.m_pending.has_value());
  // Only one handover is in flight at a time.
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  b.m_store.m_append_done[0](AppendResult{});
  CHECK_FALSE(a.m_state.m_flush.m_pending.has_value());
  CHECK_FALSE(a.m_state.m_flush.m_failed);
  CHECK(a.m_state.m_flush.m_sequence == 2);
  // The late success of its own append does not acknowledge the next record.
  a.m_store.m_append_done[0](AppendResult{});
  CHECK(a.m_state.m_flush.m_sequence == 2);
}

// Failure: a state query is not answered because the requester's usage cannot
// be stored.
TEST_CASE("a state query is answered at once while usage is pending") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  FlushUsage(a.m_state);
  RefuseAppend(a);
  schema::InstanceQuery query;
  query.set_name("a");
  query.set_usage_waits(HasPendingUsage(a.m_state));
  CHECK(query.usage_waits());
  bool answered = false;
  AnswerStateQuery(b.m_state, query, [&answered](const schema::InstanceState&) {
    answered = true;
  });
  CHECK(answered);
  CHECK(b.m_store.m_appends.empty());
}

// Failure: usage is handed over to one instance after the other that has lost
// the store too.
TEST_CASE("usage goes to an instance that the store answers") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  FlushUsage(a.m_state);
  RefuseAppend(a);
  b.m_now += seconds(4);
  QueryState(a, b);
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  // A third instance reports that the store serves b.
  schema::InstanceState report;
  report.set_name("c");
  schema::ServedInstance* served = report.add_served();
  served->set_name("b");
  served->set_age_ms(200);
  MergePeerState(a.m_state, report, a.m_now);
  FlushUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  // b has lost the store meanwhile. It is not used again until it is reported
  // as served again.
  DeliverHandover(a, b);
  RefuseAppend(b);
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  MergePeerState(a.m_state, report, a.m_now);
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
  // The report expires.
  a.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  MergePeerState(a.m_state, report, a.m_now);
  a.m_now += seconds(4);
  FlushUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
}

// Failure: a window is reported without the counts of an outage, because they
// were flushed only one flush period after the pending record.
TEST_CASE("counts of an outage are appended right after the pending record") {
  Instance a("a");
  CountRequests(a, 4);
  FlushUsage(a.m_state);
  RefuseAppend(a);
  CountRequests(a, 7);
  a.m_now += seconds(9);
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 2);
  CHECK(a.m_store.m_appends[1].m_value == a.m_store.m_appends[0].m_value);
  a.m_store.m_append_done[1](AppendResult{});
  a.m_now += milliseconds(100);
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 3);
  schema::UsageBatch batch;
  REQUIRE(batch.ParseFromString(a.m_store.m_appends[2].m_value));
  REQUIRE(batch.records_size() == 1);
  REQUIRE(batch.records(0).totals_size() == 1);
  CHECK(batch.records(0).totals(0).requests() == 11);
}

// Makes one instance the upstream of the other.
void Follow(Instance& follower, const std::string& reader) {
  follower.m_state.m_upstream.m_self = follower.m_state.m_options.m_name;
  follower.m_state.m_upstream.m_selected = {reader, "", reader + ":1"};
}

schema::UsageBatch LastBatch(const Instance& instance) {
  schema::UsageBatch batch;
  REQUIRE_FALSE(instance.m_store.m_appends.empty());
  REQUIRE(batch.ParseFromString(instance.m_store.m_appends.back().m_value));
  return batch;
}

// Failure: the calls to the store grow with the number of instances.
TEST_CASE("a reader appends the records of its followers in one call") {
  Instance reader("a");
  constexpr int kFollowers = 50;
  std::vector<std::unique_ptr<Instance>> followers;
  CountRequests(reader, 1);
  FlushUsage(reader.m_state);
  REQUIRE(reader.m_store.m_appends.size() == 1);
  for (int i = 0; i < kFollowers; ++i) {
    followers.push_back(std::make_unique<Instance>("b" + std::to_string(i)));
    Follow(*followers.back(), "a");
    CountRequests(*followers.back(), 2);
    FlushUsage(followers.back()->m_state);
    CHECK(followers.back()->m_store.m_appends.empty());
    DeliverHandover(*followers.back(), reader);
  }
  reader.m_store.m_append_done.back()(AppendResult{});
  CHECK(reader.m_store.m_appends.size() == 1);
  reader.m_now += seconds(1);
  FlushUsage(reader.m_state);
  REQUIRE(reader.m_store.m_appends.size() == 2);
  CHECK(LastBatch(reader).records_size() == kFollowers);
  CHECK_FALSE(IsUsageStored(followers.front()->m_state));
  reader.m_store.m_append_done.back()(AppendResult{});
  for (const auto& follower : followers) {
    CHECK(IsUsageStored(follower->m_state));
  }
}

// Failure: usage is lost, or counted twice, when a reader dies between the
// append and its answer.
TEST_CASE("a record whose reader does not answer is appended by its sender") {
  Instance reader("a");
  Instance follower("b");
  Follow(follower, "a");
  CountRequests(follower, 3);
  FlushUsage(follower.m_state);
  REQUIRE(follower.m_peers.m_calls.size() == 1);
  DeliverHandover(follower, reader);
  const schema::UsageBatch first = LastBatch(reader);
  follower.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  follower.m_now += seconds(2);
  FlushUsage(follower.m_state);
  REQUIRE(follower.m_store.m_appends.size() == 1);
  CHECK(LastBatch(follower).records(0).sequence() ==
        first.records(0).sequence());
  follower.m_store.m_append_done.back()(AppendResult{});
  CHECK(IsUsageStored(follower.m_state));
}

// Failure: a planned stop ends before its usage is stored, or waits for the
// next batch of another instance.
TEST_CASE("the usage of a stopping instance does not wait for a batch") {
  Instance reader("a");
  Instance follower("b");
  Follow(follower, "a");
  CountRequests(reader, 1);
  FlushUsage(reader.m_state);
  reader.m_store.m_append_done.back()(AppendResult{});
  CountRequests(follower, 3);
  follower.m_state.m_stopping = true;
  FlushUsage(follower.m_state);
  DeliverHandover(follower, reader);
  CHECK(reader.m_store.m_appends.size() == 2);
  CHECK_FALSE(IsUsageStored(reader.m_state));
  reader.m_store.m_append_done.back()(AppendResult{});
  CHECK(IsUsageStored(follower.m_state));
  CHECK(IsUsageStored(reader.m_state));
}

// Takes the records of the appends from the given one on.
UsageAggregate ReadAppends(const Instance& instance, std::size_t from) {
  UsageAggregate aggregate;
  for (std::size_t i = from; i < instance.m_store.m_appends.size(); ++i) {
    ReadResult result;
    result.m_records.push_back(
        {i, "", instance.m_store.m_appends[i].m_value, false});
    AddUsageRecords(aggregate, result, instance.m_now);
  }
  return aggregate;
}

// Sends and stores all unsent usage of an instance.
void StoreUsage(Instance& instance) {
  while (!IsUsageStored(instance.m_state)) {
    const std::size_t appends = instance.m_store.m_appends.size();
    FlushUsage(instance.m_state);
    if (instance.m_store.m_appends.size() > appends) {
      instance.m_store.m_append_done.back()(AppendResult{});
    }
    instance.m_now += milliseconds(100);
  }
}

// Failure: counts that were stored, and that the store has lost since, are
// never sent again, so that a window is reported without them.
TEST_CASE("usage that a restored store has lost is sent again at once") {
  Instance a("a");
  ObserveEra(a.m_state, 1, kStoreEraSource);
  CountRequests(a, 4);
  StoreUsage(a);
  CountRequests(a, 3);
  StoreUsage(a);
  const std::size_t lost = a.m_store.m_appends.size();
  a.m_state.m_usage_cursor.m_next = 9;
  ObserveEra(a.m_state, 2, kStoreEraSource);
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == lost + 1);
  CHECK(SumUsage(ReadAppends(a, lost), 1).at("w") == 7);
  // A store that has kept some of the records.
  CHECK(SumUsage(ReadAppends(a, 1), 1).at("w") == 7);
  // No window is fixed until the others have sent their usage again, and the
  // holder reads the stream from the start.
  CHECK(a.m_state.m_usage_aggregate.m_complete_from > a.m_now);
  CHECK(a.m_state.m_usage_cursor.m_next == 0);
}

// Failure: counts that are acknowledged by the store that was replaced are
// taken for stored.
TEST_CASE("usage that the replaced store acknowledges late is sent again") {
  Instance a("a");
  ObserveEra(a.m_state, 1, kStoreEraSource);
  CountRequests(a, 4);
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  ObserveEra(a.m_state, 2, kStoreEraSource);
  AppendResult stored;
  stored.m_era = 1;
  a.m_store.m_append_done[0](stored);
  CHECK_FALSE(IsUsageStored(a.m_state));
  a.m_now += seconds(3);
  StoreUsage(a);
  CHECK(SumUsage(ReadAppends(a, 1), 1).at("w") == 4);
}

// Failure: a count is lost or counted twice by any order of appends, lost
// answers and restores of the store.
TEST_CASE("stored totals match the counts after any restores") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Instance a("a");
    std::vector<std::string> stored;  // Usage stream of the store.
    std::uint64_t era = 1;
    std::uint64_t counted = 0;
    ObserveEra(a.m_state, era, kStoreEraSource);
    for (int step = 0; step < 400; ++step) {
      const bool last = step >= 300;
      a.m_now += milliseconds(100);
      if (!last && random() % 3 == 0) {
        const std::uint64_t requests = 1 + random() % 9;
        counted += requests;
        CountRequests(a, requests);
      }
      if (!last && random() % 30 == 0) {
        stored.resize(stored.size() - random() % (stored.size() + 1));
        ++era;
      }
      if (last || random() % 20 == 0) {
        ObserveEra(a.m_state, era, kStoreEraSource);
      }
      const std::size_t appends = a.m_store.m_appends.size();
      FlushUsage(a.m_state);
      if (a.m_store.m_appends.size() == appends) continue;
      AppendResult result;
      result.m_fault = StoreFault::kUnanswered;
      const bool arrives = last || random() % 4 != 0;
      if (arrives) stored.push_back(a.m_store.m_appends.back().m_value);
      if (last || (arrives && random() % 4 != 0)) {
        result.m_fault = StoreFault::kNone;
        result.m_era = era;
      }
      a.m_store.m_append_done.back()(result);
    }
    CHECK(IsUsageStored(a.m_state));
    UsageAggregate aggregate;
    for (const std::string& value : stored) {
      ReadResult result;
      result.m_records.push_back({0, "", value, false});
      AddUsageRecords(aggregate, result, a.m_now);
    }
    CHECK(SumUsage(aggregate, 1)["w"] == counted);
  }
}

// Failure: a record with the totals of all windows exceeds the limit of the
// store, or totals are left out of it.
TEST_CASE("totals that are sent again are split into records") {
  constexpr std::uint64_t kWorkspaces = 1000;
  constexpr std::uint64_t kWindows = 8;
  constexpr std::size_t kStoreRecordBytes = 256U << 10U;
  Instance a("a");
  ObserveEra(a.m_state, 1, kStoreEraSource);
  schema::UsageCounts counts;
  for (std::uint64_t i = 0; i < kWorkspaces * kWindows; ++i) {
    schema::UsageCount* count = counts.add_counts();
    count->set_window(100 + i / kWorkspaces);
    count->set_workspace(std::to_string(i % kWorkspaces) + "-workspace");
    count->set_requests(i + 1);
  }
  AddUsageCounts(a.m_state, counts);
  StoreUsage(a);
  const std::size_t lost = a.m_store.m_appends.size();
  ObserveEra(a.m_state, 2, kStoreEraSource);
  const Instant restored = a.m_now;
  StoreUsage(a);
  CHECK(a.m_store.m_appends.size() > lost + 1);
  CHECK(a.m_now - restored < seconds(2));
  for (const StreamAppend& append : a.m_store.m_appends) {
    CHECK(append.m_value.size() < kStoreRecordBytes);
  }
  const UsageAggregate aggregate = ReadAppends(a, lost);
  for (const schema::UsageCount& count : counts.counts()) {
    CHECK(SumUsage(aggregate, count.window()).at(count.workspace()) ==
          count.requests());
  }
}

// Failure: totals of windows that can no longer be reported take up memory.
TEST_CASE("totals are kept only while their window may be reported") {
  Instance a("a");
  for (std::uint64_t window = 100; window < 200; ++window) {
    schema::UsageCounts counts;
    schema::UsageCount* count = counts.add_counts();
    count->set_window(window);
    count->set_workspace("w");
    count->set_requests(1);
    AddUsageCounts(a.m_state, counts);
    StoreUsage(a);
  }
  CHECK(a.m_state.m_flush.m_totals.size() <= 9);
  CHECK(SumUsage(ReadAppends(a, 0), 150).at("w") == 1);
}

}  // namespace
}  // namespace comfreypaddle
