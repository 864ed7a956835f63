#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <utility>

#include "entryduties.h"
#include "peersync.h"
#include "statemerge.h"
#include "statequery.h"
#include "storereader.h"
#include "support_control.h"
#include "usageflush.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Instance;

schema::Catalog MakeCatalog(std::uint64_t version) {
  schema::Catalog catalog;
  catalog.set_version(version);
  return catalog;
}

schema::EndpointEntry MakeEntry(const std::string& id, std::uint64_t sequence) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_sequence(sequence);
  return entry;
}

// Delivers the last query of one instance to the other, and the answer back.
void DeliverQuery(Instance& from, Instance& to) {
  schema::InstanceQuery query;
  REQUIRE(query.ParseFromString(from.m_peers.m_calls.back().m_body));
  const HttpEvents events = from.m_peers.m_events.back();
  AnswerStateQuery(to.m_state, query, [&](const schema::InstanceState& answer) {
    events.m_on_body(answer.SerializeAsString());
    events.m_on_end({HttpError::kOk, 200, true});
  });
}

// Failure: an instance misses changes and withdrawn keys because the store
// refuses it while it serves the others.
TEST_CASE("configuration and endpoints come from an instance with the store") {
  Instance a("a");
  Instance b("b");
  ApplyCatalog(a.m_state, MakeCatalog(3), "store");
  ApplyCatalog(b.m_state, MakeCatalog(5), "store");
  for (Instance* instance : {&a, &b}) {
    instance->m_state.m_catalog_cursor.m_initialized = true;
    instance->m_state.m_endpoints_cursor.m_initialized = true;
  }
  a.m_state.m_catalog_cursor.m_next = 4;
  b.m_state.m_catalog_cursor.m_next = 6;
  b.m_state.m_endpoints_cursor.m_next = 9;
  schema::EndpointEntry entry;
  entry.set_id("i-1");
  UpsertEntry(b.m_state.m_directory, entry);

  SearchPeers(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  a.m_now += milliseconds(1100);
  SearchPeers(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  DeliverQuery(a, b);
  CHECK(a.m_state.m_catalog->version() == 5);
  CHECK(a.m_state.m_directory.m_endpoints.count("i-1") == 1);
  CHECK(a.m_state.m_catalog_cursor.m_next == 6);
}

// Failure: a newer configuration is discarded because the instance that sends
// it was confirmed by the store less recently than the receiver.
TEST_CASE(
    "a newer configuration is applied whatever its age, an older one never "
    "is") {
  Instance a("a");
  Instance b("b");
  ApplyCatalog(a.m_state, MakeCatalog(5), "store");
  a.m_state.m_catalog_cursor = {true, false, 4, {}, a.m_now};
  a.m_state.m_endpoints_cursor = {true, false, 9, {}, a.m_now};
  ApplyCatalog(b.m_state, MakeCatalog(9), "store");
  b.m_state.m_catalog_cursor = {true, false, 6, {}, b.m_now};
  b.m_state.m_endpoints_cursor = {true, false, 3, {}, b.m_now};
  UpsertEntry(b.m_state.m_directory, MakeEntry("i-1", 1));
  a.m_now += milliseconds(1100);
  b.m_now += seconds(20);
  const Instant confirmed = StateConfirmedAt(a.m_state);
  SearchPeers(a.m_state);
  DeliverQuery(a, b);
  CHECK(a.m_state.m_catalog->version() == 9);
  // The confirmation time is unchanged, and the older endpoint list is ignored.
  CHECK(StateConfirmedAt(a.m_state) == confirmed);
  CHECK(a.m_state.m_directory.m_endpoints.empty());
  ApplyCatalog(a.m_state, MakeCatalog(4), "instance");
  CHECK(a.m_state.m_catalog->version() == 9);
}

// Failure: instances without the store keep each other's state fresh, because
// the transit time of answers is not counted into their age.
TEST_CASE("two instances without the store do not refresh each other") {
  Instance a("a");
  Instance b("b");
  const Instant lost = a.m_now;
  for (Instance* instance : {&a, &b}) {
    ApplyCatalog(instance->m_state, MakeCatalog(5), "store");
    instance->m_state.m_catalog_cursor = {true, false, 4, {}, lost};
    instance->m_state.m_endpoints_cursor = {true, false, 9, {}, lost};
  }
  constexpr Duration kTransitTime = milliseconds(250);
  for (int round = 0; round < 20; ++round) {
    for (const auto& [asker, other] : {std::pair{&a, &b}, std::pair{&b, &a}}) {
      const Instant sent_at = asker->m_now;
      schema::InstanceState reply;
      AnswerStateQuery(
          other->m_state, {},
          [&reply](const schema::InstanceState& answer) { reply = answer; });
      a.m_now += kTransitTime;
      b.m_now += kTransitTime;
      MergePeerState(asker->m_state, reply, sent_at);
    }
  }
  CHECK(StateConfirmedAt(a.m_state) == lost);
  CHECK(StateConfirmedAt(b.m_state) == lost);
}

// Instances of one zone: a reads the store and b follows a.
struct ZonePair {
  ZonePair() : m_reader("a"), m_follower("b") {
    ApplyCatalog(m_reader.m_state, MakeCatalog(3), "store");
    m_reader.m_state.m_catalog_cursor = {true, false, 4, {}, m_reader.m_now};
    m_reader.m_state.m_endpoints_cursor = {true, false, 9, {}, m_reader.m_now};
    m_reader.m_state.m_instances_cursor = {true, false, 2, {}, m_reader.m_now};
    UpsertEntry(m_reader.m_state.m_directory, MakeEntry("i-1", 1));
    UpsertEntry(m_reader.m_state.m_directory, MakeEntry("i-2", 1));
    m_follower.m_state.m_catalog_cursor = {};
    m_follower.m_state.m_endpoints_cursor = {};
    m_follower.m_state.m_upstream.m_self = "b";
  }

  // Delivers the follower's open query to the reader.
  void Deliver() {
    schema::InstanceQuery query;
    REQUIRE(query.ParseFromString(m_follower.m_peers.m_calls.back().m_body));
    const HttpEvents events = m_follower.m_peers.m_events.back();
    AnswerStateQuery(m_reader.m_state, query,
                     [events, this](const schema::InstanceState& answer) {
                       m_answer = answer;
                       events.m_on_body(answer.SerializeAsString());
                       events.m_on_end({HttpError::kOk, 200, true});
                     });
  }

  void Advance(Duration time) {
    m_reader.m_now += time;
    m_follower.m_now += time;
  }

  Instance m_reader;
  Instance m_follower;
  schema::InstanceState m_answer;
};

// Failure: the number of calls to the store grows with that of the instances.
TEST_CASE("an instance follows another one without reading the store") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  PollUpstream(follower);
  REQUIRE(pair.m_follower.m_peers.m_calls.size() == 1);
  pair.Deliver();
  CHECK(follower.m_catalog->version() == 3);
  CHECK(follower.m_directory.m_endpoints.size() == 2);
  CHECK_FALSE(ShouldReadStore(follower));

  // Later queries are held until there is a change and bring only the change.
  pair.Advance(milliseconds(100));
  PollUpstream(follower);
  pair.Deliver();
  AnswerPendingQueries(pair.m_reader.m_state);
  CHECK(follower.m_upstream_link.m_busy);
  EraseEntry(pair.m_reader.m_state.m_directory, "i-1");
  UpsertEntry(pair.m_reader.m_state.m_directory, MakeEntry("i-3", 1));
  pair.m_reader.m_state.m_endpoints_cursor.m_next = 12;
  AnswerPendingQueries(pair.m_reader.m_state);
  CHECK_FALSE(follower.m_upstream_link.m_busy);
  CHECK_FALSE(pair.m_answer.list_whole());
  CHECK(pair.m_answer.endpoints().endpoints_size() == 1);
  CHECK_FALSE(pair.m_answer.has_catalog());
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 0);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 1);
  CHECK(follower.m_directory.m_endpoints.count("i-3") == 1);
}

// Failure: an instance uses a stale configuration because its upstream is dead,
// or is alive but has lost the store.
TEST_CASE("the store is read when the followed instance tells nothing new") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  PollUpstream(follower);
  pair.Deliver();
  pair.Advance(milliseconds(100));
  PollUpstream(follower);
  REQUIRE(follower.m_upstream_link.m_busy);
  SUBCASE("dead") {
    pair.m_follower.m_peers.m_events.back().m_on_end(
        {HttpError::kTimeout, 0, true});
    CHECK_FALSE(HasUpstream(follower.m_upstream));
  }
  SUBCASE("without the store") {
    pair.Deliver();
    pair.Advance(milliseconds(600));
    AnswerPendingQueries(pair.m_reader.m_state);
    CHECK_FALSE(follower.m_upstream_link.m_busy);
    PollUpstream(follower);
    pair.Deliver();
    CHECK_FALSE(ShouldReadStore(follower));
    // The upstream reports at once that it has lost the store.
    pair.Advance(milliseconds(450));
    AnswerPendingQueries(pair.m_reader.m_state);
    CHECK_FALSE(follower.m_upstream_link.m_busy);
    CHECK(ShouldReadStore(follower));
    // The follower keeps reading while the upstream is without the store.
    pair.Advance(milliseconds(3000));
    PollUpstream(follower);
    pair.Deliver();
    CHECK(HasUpstream(follower.m_upstream));
  }
  CHECK(ShouldReadStore(follower));
}

// Failure: a follower keeps loading the store with reads after its upstream has
// recovered it.
TEST_CASE(
    "a follower stops reading once its upstream reaches the store again") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  ControlState& reader = pair.m_reader.m_state;
  pair.Advance(milliseconds(1500));
  PollUpstream(follower);
  pair.Deliver();
  REQUIRE(ShouldReadStore(follower));
  pair.Advance(milliseconds(100));
  PollUpstream(follower);
  pair.Deliver();
  REQUIRE(follower.m_upstream_link.m_busy);
  RecordStoreCall(reader, StoreAnswer{});
  reader.m_catalog_cursor.m_confirmed = pair.m_reader.m_now;
  reader.m_endpoints_cursor.m_confirmed = pair.m_reader.m_now;
  AnswerPendingQueries(reader);
  CHECK_FALSE(follower.m_upstream_link.m_busy);
  CHECK_FALSE(ShouldReadStore(follower));
}

// Failure: an upstream that has lost the store sends its complete endpoint list
// ten times a second to a follower whose own read offset is ahead.
TEST_CASE("the endpoint list is not sent to an instance with a later offset") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  pair.Advance(milliseconds(1500));
  PollUpstream(follower);
  pair.Deliver();
  REQUIRE(follower.m_directory.m_endpoints.size() == 2);
  follower.m_endpoints_cursor.m_next = 20;
  pair.Advance(milliseconds(100));
  PollUpstream(follower);
  pair.Deliver();
  CHECK(follower.m_upstream_link.m_busy);
  pair.Advance(milliseconds(500));
  AnswerPendingQueries(pair.m_reader.m_state);
  CHECK_FALSE(follower.m_upstream_link.m_busy);
  CHECK(pair.m_answer.endpoints().endpoints_size() == 0);
  // The next query is held as well.
  pair.Advance(milliseconds(100));
  PollUpstream(follower);
  pair.Deliver();
  CHECK(follower.m_upstream_link.m_busy);
}

// Failure: followers keep calling a store that refuses them.
TEST_CASE("a follower that the store refuses backs off") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  pair.Advance(milliseconds(1500));
  PollUpstream(follower);
  pair.Deliver();
  std::vector<double> waits;
  for (int i = 0; i < 4; ++i) {
    PollStore(follower);
    REQUIRE(pair.m_follower.m_store.m_read_done.size() == waits.size() + 1);
    ReadResult refused;
    refused.m_fault = StoreFault::kRefused;
    pair.m_follower.m_store.m_read_done.back()(refused);
    const Duration pause =
        follower.m_catalog_cursor.m_due - pair.m_follower.m_now;
    waits.push_back(ToMs(pause));
    pair.Advance(pause);
  }
  CHECK(waits == std::vector<double>{1000, 2000, 4000, 4000});
}

// Failure: during an outage of the store every instance retries every stream.
TEST_CASE("followers probe a lost store with one stream") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  PollUpstream(follower);
  pair.Deliver();
  pair.Advance(milliseconds(1800));
  RecordStoreCall(follower, {StoreFault::kUnanswered, "", std::nullopt});
  PollUpstream(follower);
  REQUIRE(ShouldReadStore(follower));
  REQUIRE(follower.m_store_lost);
  PollStore(follower);
  RunDuties(follower);
  CHECK(follower.m_catalog_cursor.m_busy);
  CHECK_FALSE(follower.m_endpoints_cursor.m_busy);
  CHECK_FALSE(follower.m_instances_cursor.m_busy);
  CHECK_FALSE(follower.m_duties_cursor.m_busy);
  RecordStoreCall(follower, StoreAnswer{});
  PollStore(follower);
  RunDuties(follower);
  CHECK(follower.m_endpoints_cursor.m_busy);
  CHECK(follower.m_duties_cursor.m_busy);
}

// Failure: a stopping instance calls an unreachable store at every tick.
TEST_CASE("a stopping instance delays each retry of its usage append") {
  Instance a("a");
  schema::UsageCounts counts;
  schema::UsageCount* count = counts.add_counts();
  count->set_window(1);
  count->set_workspace("w");
  count->set_requests(4);
  AddUsageCounts(a.m_state, counts);
  a.m_state.m_stopping = true;
  FlushUsage(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  AppendResult refused;
  refused.m_fault = StoreFault::kRefused;
  a.m_store.m_append_done[0](refused);
  a.m_now += milliseconds(100);
  FlushUsage(a.m_state);
  CHECK(a.m_store.m_appends.size() == 1);
  a.m_now += UsageRetryDelay(a.m_state);
  FlushUsage(a.m_state);
  CHECK(a.m_store.m_appends.size() == 2);
}

// Failure: a removed endpoint is used again because the upstream's read offset
// is behind the follower's.
TEST_CASE("an endpoint list with an earlier offset is not applied") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  follower.m_endpoints_cursor = {true, false, 20, {}, {}};
  UpsertEntry(follower.m_directory, MakeEntry("i-1", 5));
  PollUpstream(follower);
  pair.Deliver();
  CHECK(follower.m_directory.m_endpoints.at("i-1").m_entry.sequence() == 5);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 0);
  CHECK(follower.m_endpoints_cursor.m_next == 20);
}

// Failure: an endpoint stays in use forever. The upstream has read its removal
// and still keeps the entry as lapsed; the follower continues from an offset
// after the removal and never sees it.
TEST_CASE("a lapsed entry expires at the follower after the grace period") {
  ZonePair pair;
  ControlState& follower = pair.m_follower.m_state;
  EndpointDirectory& read = pair.m_reader.m_state.m_directory;
  PollUpstream(follower);
  pair.Deliver();
  OnStoreAnswer(read, pair.m_reader.m_now - seconds(5));
  OnStoreFault(read, pair.m_reader.m_now - seconds(3));
  OnStoreAnswer(read, pair.m_reader.m_now);
  RemoveEntry(read, "i-1", pair.m_reader.m_now);
  REQUIRE(read.m_endpoints.count("i-1") == 1);
  pair.Advance(milliseconds(200));
  PollUpstream(follower);
  pair.Deliver();
  AnswerPendingQueries(pair.m_reader.m_state);
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 1);
  pair.Advance(kLapseGracePeriod);
  ExpireEntries(follower.m_directory, pair.m_follower.m_now);
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 0);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 1);
}

}  // namespace
}  // namespace comfreypaddle
