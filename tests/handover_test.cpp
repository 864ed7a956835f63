#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "handover.h"

#include <doctest/doctest.h>

#include "entryduties.h"
#include "inquiry.h"
#include "learn.h"
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
  TakeUsage(instance.m_state, counts);
}

// The store turns the record away.
void RefuseAppend(Instance& instance) {
  AppendResult refused;
  refused.m_fault = StoreFault::kRefused;
  instance.m_store.m_append_done.back()(refused);
}

// Instance a asks b what it knows.
void AskState(Instance& a, Instance& b) {
  schema::InstanceQuery query;
  query.set_name(a.m_state.m_options.m_name);
  query.set_usage_waits(UsageWaits(a.m_state));
  AnswerInquiry(b.m_state, query, [&a](const schema::InstanceState& answer) {
    TakeAnswer(a.m_state, answer, a.m_now);
  });
}

// Hands the last handover of one instance to the other, and the answer back.
void CarryHandover(Instance& from, Instance& to) {
  schema::UsageHandover usage;
  REQUIRE(usage.ParseFromString(from.m_peers.m_calls.back().m_body));
  const HttpEvents events = from.m_peers.m_events.back();
  StoreHandover(to.m_state, usage, [events](const schema::HandoverResult& r) {
    events.m_on_body(r.SerializeAsString());
    events.m_on_end({HttpError::kOk, 200, true});
  });
}

// Guards against usage that is lost, or counted twice, while the store turns
// an instance away.
TEST_CASE("usage is handed over under the sender's sequence number") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  RunDuties(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  RefuseAppend(a);
  AskState(a, b);
  HandOverUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  CarryHandover(a, b);
  REQUIRE(b.m_store.m_appends.size() == 1);
  CHECK(b.m_store.m_appends[0].m_producer == a.m_store.m_appends[0].m_producer);
  CHECK(b.m_store.m_appends[0].m_sequence == a.m_store.m_appends[0].m_sequence);
  CHECK(b.m_store.m_appends[0].m_value == a.m_store.m_appends[0].m_value);
  CHECK_FALSE(a.m_state.m_flush.m_sent.empty());
  // One handover at a time.
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  b.m_store.m_append_done[0](AppendResult{});
  CHECK(a.m_state.m_flush.m_sent.empty());
  CHECK_FALSE(a.m_state.m_flush.m_failed);
  CHECK(a.m_state.m_flush.m_sequence == 2);
  // The own append, carried out late, does not count as the next record's.
  a.m_store.m_append_done[0](AppendResult{});
  CHECK(a.m_state.m_flush.m_sequence == 2);
}

// Guards against a question for configuration and endpoints that stays without
// an answer because the usage of the asker cannot be stored.
TEST_CASE("a question is answered at once while usage waits") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  RunDuties(a.m_state);
  RefuseAppend(a);
  schema::InstanceQuery query;
  query.set_name("a");
  query.set_usage_waits(UsageWaits(a.m_state));
  CHECK(query.usage_waits());
  bool answered = false;
  AnswerInquiry(b.m_state, query,
                [&answered](const schema::InstanceState&) { answered = true; });
  CHECK(answered);
  CHECK(b.m_store.m_appends.empty());
}

// Guards against usage that is handed to instances that have lost the store
// too, one after the other.
TEST_CASE("usage goes to an instance that the store answers") {
  Instance a("a");
  Instance b("b");
  CountRequests(a, 4);
  RunDuties(a.m_state);
  RefuseAppend(a);
  b.m_now += seconds(4);
  AskState(a, b);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  // Another one tells which instance has it.
  schema::InstanceState told;
  told.set_name("c");
  schema::ServedInstance* served = told.add_served();
  served->set_name("b");
  served->set_age_ms(200);
  TakeAnswer(a.m_state, told, a.m_now);
  HandOverUsage(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  // It has lost the store meanwhile: it is not asked again until somebody
  // tells that it is back.
  CarryHandover(a, b);
  RefuseAppend(b);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 1);
  TakeAnswer(a.m_state, told, a.m_now);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
  // What was told is not used for long.
  a.m_peers.m_events.back().m_on_end({HttpError::kTimeout, 0, true});
  TakeAnswer(a.m_state, told, a.m_now);
  a.m_now += seconds(4);
  HandOverUsage(a.m_state);
  CHECK(a.m_peers.m_calls.size() == 2);
}

// Guards against windows that are reported without what was counted during an
// outage: it left only one period of flushes after the record that was stuck.
TEST_CASE(
    "what was counted in an outage is sent right after the stuck record") {
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
