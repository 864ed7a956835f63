#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "neighbours.h"

#include <doctest/doctest.h>

#include <utility>

#include "entryduties.h"
#include "follow.h"
#include "inquiry.h"
#include "learn.h"
#include "support_control.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Instance;

schema::Catalog CatalogOf(std::uint64_t version) {
  schema::Catalog catalog;
  catalog.set_version(version);
  return catalog;
}

schema::EndpointEntry EntryOf(const std::string& id, std::uint64_t sequence) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_sequence(sequence);
  return entry;
}

// Hands the last question of one instance to the other, and the answer back.
void CarryQuestion(Instance& from, Instance& to) {
  schema::InstanceQuery query;
  REQUIRE(query.ParseFromString(from.m_peers.m_calls.back().m_body));
  const HttpEvents events = from.m_peers.m_events.back();
  AnswerInquiry(to.m_state, query, [&](const schema::InstanceState& answer) {
    events.m_on_body(answer.SerializeAsString());
    events.m_on_end({HttpError::kOk, 200, true});
  });
}

// Guards against an instance that misses changes and withdrawn keys because
// the store turns it away while it serves the others.
TEST_CASE("configuration and endpoints come from an instance with the store") {
  Instance a("a");
  Instance b("b");
  AdoptCatalog(a.m_state, CatalogOf(3), "store");
  AdoptCatalog(b.m_state, CatalogOf(5), "store");
  for (Instance* instance : {&a, &b}) {
    instance->m_state.m_follow_catalog.m_known = true;
    instance->m_state.m_follow_endpoints.m_known = true;
  }
  a.m_state.m_follow_catalog.m_next = 4;
  b.m_state.m_follow_catalog.m_next = 6;
  b.m_state.m_follow_endpoints.m_next = 9;
  schema::EndpointEntry entry;
  entry.set_id("i-1");
  SetEntry(b.m_state.m_directory, entry);

  QueryNeighbours(a.m_state);
  CHECK(a.m_peers.m_calls.empty());
  a.m_now += milliseconds(1100);
  QueryNeighbours(a.m_state);
  REQUIRE(a.m_peers.m_calls.size() == 1);
  CarryQuestion(a, b);
  CHECK(a.m_state.m_catalog->version() == 5);
  CHECK(a.m_state.m_directory.m_endpoints.count("i-1") == 1);
  CHECK(a.m_state.m_follow_catalog.m_next == 6);
}

// Guards against a newer configuration that is thrown away because the instance
// that has it heard of the store longer ago than this one.
TEST_CASE(
    "a newer configuration is taken, whatever the age, and none goes back") {
  Instance a("a");
  Instance b("b");
  AdoptCatalog(a.m_state, CatalogOf(5), "store");
  a.m_state.m_follow_catalog = {true, false, 4, {}, a.m_now};
  a.m_state.m_follow_endpoints = {true, false, 9, {}, a.m_now};
  AdoptCatalog(b.m_state, CatalogOf(9), "store");
  b.m_state.m_follow_catalog = {true, false, 6, {}, b.m_now};
  b.m_state.m_follow_endpoints = {true, false, 3, {}, b.m_now};
  SetEntry(b.m_state.m_directory, EntryOf("i-1", 1));
  a.m_now += milliseconds(1100);
  b.m_now += seconds(20);
  const Instant confirmed = StateConfirmed(a.m_state);
  QueryNeighbours(a.m_state);
  CarryQuestion(a, b);
  CHECK(a.m_state.m_catalog->version() == 9);
  // It does not make what is known look newer, and its older list is not taken.
  CHECK(StateConfirmed(a.m_state) == confirmed);
  CHECK(a.m_state.m_directory.m_endpoints.empty());
  AdoptCatalog(a.m_state, CatalogOf(4), "instance");
  CHECK(a.m_state.m_catalog->version() == 9);
}

// Guards against instances without the store that keep each other looking
// fresh: an answer under way would seem younger than it is.
TEST_CASE("instances that have both lost the store grow old") {
  Instance a("a");
  Instance b("b");
  const Instant lost = a.m_now;
  for (Instance* instance : {&a, &b}) {
    AdoptCatalog(instance->m_state, CatalogOf(5), "store");
    instance->m_state.m_follow_catalog = {true, false, 4, {}, lost};
    instance->m_state.m_follow_endpoints = {true, false, 9, {}, lost};
  }
  constexpr Duration kUnderWay = milliseconds(250);
  for (int round = 0; round < 20; ++round) {
    for (const auto& [asker, other] : {std::pair{&a, &b}, std::pair{&b, &a}}) {
      const Instant asked = asker->m_now;
      schema::InstanceState told;
      AnswerInquiry(
          other->m_state, {},
          [&told](const schema::InstanceState& answer) { told = answer; });
      a.m_now += kUnderWay;
      b.m_now += kUnderWay;
      TakeAnswer(asker->m_state, told, asked);
    }
  }
  CHECK(StateConfirmed(a.m_state) == lost);
  CHECK(StateConfirmed(b.m_state) == lost);
}

// Instance b of a zone that follows a, which reads the store.
struct Pair {
  Pair() : m_reader("a"), m_follower("b") {
    AdoptCatalog(m_reader.m_state, CatalogOf(3), "store");
    m_reader.m_state.m_follow_catalog = {true, false, 4, {}, m_reader.m_now};
    m_reader.m_state.m_follow_endpoints = {true, false, 9, {}, m_reader.m_now};
    m_reader.m_state.m_follow_instances = {true, false, 2, {}, m_reader.m_now};
    SetEntry(m_reader.m_state.m_directory, EntryOf("i-1", 1));
    SetEntry(m_reader.m_state.m_directory, EntryOf("i-2", 1));
    m_follower.m_state.m_follow_catalog = {};
    m_follower.m_state.m_follow_endpoints = {};
    m_follower.m_state.m_upstream.m_self = "b";
  }

  // Hands the follower's open question to the reader.
  void Carry() {
    schema::InstanceQuery query;
    REQUIRE(query.ParseFromString(m_follower.m_peers.m_calls.back().m_body));
    const HttpEvents events = m_follower.m_peers.m_events.back();
    AnswerInquiry(m_reader.m_state, query,
                  [events, this](const schema::InstanceState& answer) {
                    m_answer = answer;
                    events.m_on_body(answer.SerializeAsString());
                    events.m_on_end({HttpError::kOk, 200, true});
                  });
  }

  void Pass(Duration time) {
    m_reader.m_now += time;
    m_follower.m_now += time;
  }

  Instance m_reader;
  Instance m_follower;
  schema::InstanceState m_answer;
};

// Guards against calls to the store that grow with the instances.
TEST_CASE("an instance follows another one without reading the store") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  FollowUpstream(follower);
  REQUIRE(pair.m_follower.m_peers.m_calls.size() == 1);
  pair.Carry();
  CHECK(follower.m_catalog->version() == 3);
  CHECK(follower.m_directory.m_endpoints.size() == 2);
  CHECK_FALSE(ReadsStore(follower));

  // Later answers bring what changed, and wait for it.
  pair.Pass(milliseconds(100));
  FollowUpstream(follower);
  pair.Carry();
  ServeInquiries(pair.m_reader.m_state);
  CHECK(follower.m_link.m_busy);
  EraseEntry(pair.m_reader.m_state.m_directory, "i-1");
  SetEntry(pair.m_reader.m_state.m_directory, EntryOf("i-3", 1));
  pair.m_reader.m_state.m_follow_endpoints.m_next = 12;
  ServeInquiries(pair.m_reader.m_state);
  CHECK_FALSE(follower.m_link.m_busy);
  CHECK_FALSE(pair.m_answer.list_whole());
  CHECK(pair.m_answer.endpoints().endpoints_size() == 1);
  CHECK_FALSE(pair.m_answer.has_catalog());
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 0);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 1);
  CHECK(follower.m_directory.m_endpoints.count("i-3") == 1);
}

// Guards against an instance that acts on old configuration because the one
// that it follows is dead, or lives and has lost the store.
TEST_CASE("the store is read when the followed instance tells nothing new") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  FollowUpstream(follower);
  pair.Carry();
  pair.Pass(milliseconds(100));
  FollowUpstream(follower);
  REQUIRE(follower.m_link.m_busy);
  SUBCASE("dead") {
    pair.m_follower.m_peers.m_events.back().m_on_end(
        {HttpError::kTimeout, 0, true});
    CHECK_FALSE(HasUpstream(follower.m_upstream));
  }
  SUBCASE("without the store") {
    pair.Carry();
    pair.Pass(milliseconds(600));
    ServeInquiries(pair.m_reader.m_state);
    CHECK_FALSE(follower.m_link.m_busy);
    FollowUpstream(follower);
    pair.Carry();
    CHECK_FALSE(ReadsStore(follower));
    // The followed one tells that it has lost the store as soon as it is so.
    pair.Pass(milliseconds(450));
    ServeInquiries(pair.m_reader.m_state);
    CHECK_FALSE(follower.m_link.m_busy);
    CHECK(ReadsStore(follower));
    // It goes on reading while the other one stays without the store.
    pair.Pass(milliseconds(3000));
    FollowUpstream(follower);
    pair.Carry();
    CHECK(HasUpstream(follower.m_upstream));
  }
  CHECK(ReadsStore(follower));
}

// Guards against an instance that goes on reading the store, at the cost of
// calls, although the followed one has it again.
TEST_CASE("the store is left to the followed instance once that has it again") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  ControlState& reader = pair.m_reader.m_state;
  pair.Pass(milliseconds(1500));
  FollowUpstream(follower);
  pair.Carry();
  REQUIRE(ReadsStore(follower));
  pair.Pass(milliseconds(100));
  FollowUpstream(follower);
  pair.Carry();
  REQUIRE(follower.m_link.m_busy);
  NoteStoreCall(reader, StoreFault::kNone, "");
  reader.m_follow_catalog.m_confirmed = pair.m_reader.m_now;
  reader.m_follow_endpoints.m_confirmed = pair.m_reader.m_now;
  ServeInquiries(reader);
  CHECK_FALSE(follower.m_link.m_busy);
  CHECK_FALSE(ReadsStore(follower));
}

// Guards against whole lists of endpoints ten times a second, from a followed
// instance that has lost the store to one that has read further by itself.
TEST_CASE("an instance that has read further is not sent the list") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  pair.Pass(milliseconds(1500));
  FollowUpstream(follower);
  pair.Carry();
  REQUIRE(follower.m_directory.m_endpoints.size() == 2);
  follower.m_follow_endpoints.m_next = 20;
  pair.Pass(milliseconds(100));
  FollowUpstream(follower);
  pair.Carry();
  CHECK(follower.m_link.m_busy);
  pair.Pass(milliseconds(500));
  ServeInquiries(pair.m_reader.m_state);
  CHECK_FALSE(follower.m_link.m_busy);
  CHECK(pair.m_answer.endpoints().endpoints_size() == 0);
  // The next question waits too.
  pair.Pass(milliseconds(100));
  FollowUpstream(follower);
  pair.Carry();
  CHECK(follower.m_link.m_busy);
}

// Guards against followers that call a store ever and again that has turned
// them away.
TEST_CASE("a follower that is turned away tries the store ever less often") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  pair.Pass(milliseconds(1500));
  FollowUpstream(follower);
  pair.Carry();
  std::vector<double> waits;
  for (int i = 0; i < 4; ++i) {
    FollowStore(follower);
    REQUIRE(pair.m_follower.m_store.m_read_done.size() == waits.size() + 1);
    ReadResult refused;
    refused.m_fault = StoreFault::kRefused;
    pair.m_follower.m_store.m_read_done.back()(refused);
    const Duration pause =
        follower.m_follow_catalog.m_due - pair.m_follower.m_now;
    waits.push_back(ToMs(pause));
    pair.Pass(pause);
  }
  CHECK(waits == std::vector<double>{1000, 2000, 4000, 4000});
}

// Guards against an outage of the store that makes every instance try every
// stream again and again.
TEST_CASE("followers probe a lost store with one stream") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  FollowUpstream(follower);
  pair.Carry();
  pair.Pass(milliseconds(1800));
  NoteStoreCall(follower, StoreFault::kUnanswered, "");
  FollowUpstream(follower);
  REQUIRE(ReadsStore(follower));
  REQUIRE(follower.m_store_lost);
  FollowStore(follower);
  RunDuties(follower);
  CHECK(follower.m_follow_catalog.m_busy);
  CHECK_FALSE(follower.m_follow_endpoints.m_busy);
  CHECK_FALSE(follower.m_follow_instances.m_busy);
  CHECK_FALSE(follower.m_follow_duties.m_busy);
  NoteStoreCall(follower, StoreFault::kNone, "");
  FollowStore(follower);
  RunDuties(follower);
  CHECK(follower.m_follow_endpoints.m_busy);
  CHECK(follower.m_follow_duties.m_busy);
}

// Guards against a stopping instance that calls a lost store at every tick.
TEST_CASE("a stopping instance pauses between tries to store its usage") {
  Instance a("a");
  schema::UsageCounts counts;
  schema::UsageCount* count = counts.add_counts();
  count->set_window(1);
  count->set_workspace("w");
  count->set_requests(4);
  TakeUsage(a.m_state, counts);
  a.m_state.m_stopping = true;
  RunDuties(a.m_state);
  REQUIRE(a.m_store.m_appends.size() == 1);
  AppendResult refused;
  refused.m_fault = StoreFault::kRefused;
  a.m_store.m_append_done[0](refused);
  a.m_now += milliseconds(100);
  RunDuties(a.m_state);
  CHECK(a.m_store.m_appends.size() == 1);
  a.m_now += UsageRetryPause(a.m_state);
  RunDuties(a.m_state);
  CHECK(a.m_store.m_appends.size() == 2);
}

// Guards against an endpoint that comes back into use because the followed
// instance has read less than this one did.
TEST_CASE("a list that is older than what was read is not taken over") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  follower.m_follow_endpoints = {true, false, 20, {}, {}};
  SetEntry(follower.m_directory, EntryOf("i-1", 5));
  FollowUpstream(follower);
  pair.Carry();
  CHECK(follower.m_directory.m_endpoints.at("i-1").m_entry.sequence() == 5);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 0);
  CHECK(follower.m_follow_endpoints.m_next == 20);
}

// Guards against an endpoint that stays in use for good: the followed instance
// has read that its entry is gone and still waits for it to come back, and
// this one goes on reading behind that record.
TEST_CASE("an entry that may come back is not kept for longer than that") {
  Pair pair;
  ControlState& follower = pair.m_follower.m_state;
  Directory& read = pair.m_reader.m_state.m_directory;
  FollowUpstream(follower);
  pair.Carry();
  OnStoreAnswer(read, pair.m_reader.m_now - seconds(5));
  OnStoreAnswer(read, pair.m_reader.m_now);
  RemoveEntry(read, "i-1", pair.m_reader.m_now);
  REQUIRE(read.m_endpoints.count("i-1") == 1);
  pair.Pass(milliseconds(200));
  FollowUpstream(follower);
  pair.Carry();
  ServeInquiries(pair.m_reader.m_state);
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 1);
  pair.Pass(kReturnTime);
  ExpireEntries(follower.m_directory, pair.m_follower.m_now);
  CHECK(follower.m_directory.m_endpoints.count("i-1") == 0);
  CHECK(follower.m_directory.m_endpoints.count("i-2") == 1);
}

}  // namespace
}  // namespace comfreypaddle
