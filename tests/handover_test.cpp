#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "handover.h"

#include <doctest/doctest.h>

#include "entryduties.h"
#include "statemerge.h"
#include "statequery.h"
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
  RunDuties(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  RefuseAppend(a);
  QueryState(a, b);
  HandOverUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  DeliverHandover(a, b);
  REQUIRE(b.m_store.m_appends.size() == 1);
  CHECK(b.m_store.m_appends[0].m_producer == a.m_store.m_appends[0].m_producer);
  CHECK(b.m_store.m_appends[0].m_sequence == a.m_store.m_appends[0].m_sequence);
  CHECK(b.m_store.m_appends[0].m_value == a.m_store.m_appends[0].m_value);
  CHECK_FALSE(a.m_state.m_flush.m_pending_record.empty());
  // Only one handover is in flight at a time.
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  b.m_store.m_append_done[0](AppendResult{});
  CHECK(a.m_state.m_flush.m_pending_record.empty());
  CHECK_FALSE(a.m_state.m_flush.m_append_failed);
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
  RunDuties(a.m_state);
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
  RunDuties(a.m_state);
  RefuseAppend(a);
  b.m_now += seconds(4);
  QueryState(a, b);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  // A third instance reports that the store serves b.
  schema::InstanceState report;
  report.set_name("c");
  schema::ServedInstance* served = report.add_served();
  served->set_name("b");
  served->set_age_ms(200);
  MergePeerState(a.m_state, report, a.m_now);
  HandOverUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  // b has lost the store meanwhile. It is not used again until it is reported
  // as served again.
  DeliverHandover(a, b);
  RefuseAppend(b);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  MergePeerState(a.m_state, report, a.m_now);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
  // The report expires.
  a.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  MergePeerState(a.m_state, report, a.m_now);
  a.m_now += seconds(4);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
}

// Failure: a window is reported without the counts of an outage, because they
// were flushed only one flush period after the pending record.
TEST_CASE("counts of an outage are appended right after the pending record") {
  Instance a("a");
  CountRequests(a, 4);
  RunDuties(a.m_state);
  RefuseAppend(a);
  CountRequests(a, 7);
  a.m_now += seconds(9);
  RunDuties(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 2);
  CHECK(a.m_store.m_appends[1].m_value == a.m_store.m_appends[0].m_value);
  a.m_store.m_append_done[1](AppendResult{});
  a.m_now += milliseconds(100);
  RunDuties(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 3);
  schema::UsageRecord record;
  REQUIRE(record.ParseFromString(a.m_store.m_appends[2].m_value));
  REQUIRE(record.counts_size() == 1);
  CHECK(record.counts(0).requests() == 7);
}

}  // namespace
}  // namespace comfreypaddle
