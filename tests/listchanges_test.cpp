// Lists of endpoints that one instance sends to another as changes since a
// version.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "directory.h"
#include "statemerge.h"
#include "statequery.h"
#include "storereader.h"
#include "support_control.h"
#include "support_instances.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Instance;
using testing::InstanceFleet;
using testing::StoreDenial;

constexpr std::uint64_t kKnownVersion = 5;

schema::EndpointEntry Entry(const std::string& id, std::uint64_t record_end) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_service("s");
  entry.set_born_ms(1);
  entry.set_sequence(1);
  entry.set_record_end(record_end);
  return entry;
}

// Instance that has applied the list of b in this version, up to offset 20.
struct Follower : Instance {
  Follower() : Instance("a") {
    m_state.m_records = &testing::SchemaRecords();
    m_state.m_endpoints_cursor.m_initialized = true;
    m_state.m_endpoints_cursor.m_next = 20;
    UpsertEntry(m_state.m_directory, Entry("e1", 10));
    m_state.m_upstream_link.m_list_owner = "b";
    m_state.m_upstream_link.m_list_version = kKnownVersion;
  }
  // Reads a record of the store that registers the endpoint.
  void ReadFromStore(const std::string& id, std::uint64_t offset) {
    PollStore(m_state);
    REQUIRE(m_store.m_read_done.size() == 1);
    StreamRecord record;
    record.m_offset = offset;
    record.m_key = id;
    record.m_value = Entry(id, 0).SerializeAsString();
    ReadResult result;
    result.m_records = {record};
    result.m_next = offset + 1;
    m_store.m_read_done[0](result);
    m_store.m_read_done.clear();
  }
  bool Has(const std::string& id) const {
    return m_state.m_directory.m_endpoints.count(id) > 0;
  }
};

// Answer of b that has read up to this offset, without entries.
schema::InstanceState AnswerOfB(std::uint64_t offset) {
  schema::InstanceState other;
  other.set_name("b");
  other.set_endpoints_offset(offset);
  return other;
}

// Failure (DRAIN): an instance that had read an entry from the store itself
// took the changes of another instance, which had never had that entry, as
// complete. Nothing told it that the entry had been removed.
TEST_CASE("changes since a list do not cover what was read from the store") {
  Follower follower;
  follower.ReadFromStore("e2", 20);
  REQUIRE(follower.Has("e2"));
  schema::InstanceState changes = AnswerOfB(23);
  changes.set_list_base(kKnownVersion);
  changes.set_list_version(kKnownVersion + 1);
  MergePeerState(follower.m_state, changes, follower.m_now);
  CHECK(ReadPosition(follower.m_state.m_endpoints_cursor).m_offset == 21);

  schema::InstanceState whole = AnswerOfB(23);
  whole.set_list_whole(true);
  whole.set_list_version(kKnownVersion + 1);
  *whole.mutable_endpoints()->add_endpoints() = Entry("e1", 10);
  MergePeerState(follower.m_state, whole, follower.m_now);
  CHECK_FALSE(follower.Has("e2"));
  CHECK(follower.Has("e1"));
}

// Failure: a follower that reads the store without finding a record asks for
// whole lists, which at large sizes fill the link of the instance it follows.
TEST_CASE("a read without records keeps the base for changes") {
  Follower follower;
  PollStore(follower.m_state);
  REQUIRE(follower.m_store.m_read_done.size() == 1);
  ReadResult nothing;
  nothing.m_next = 20;
  follower.m_store.m_read_done[0](nothing);
  schema::InstanceState changes = AnswerOfB(23);
  changes.set_list_base(kKnownVersion);
  changes.set_list_version(kKnownVersion + 1);
  changes.add_removed_endpoints("e1");
  MergePeerState(follower.m_state, changes, follower.m_now);
  CHECK(ReadPosition(follower.m_state.m_endpoints_cursor).m_offset == 23);
  CHECK_FALSE(follower.Has("e1"));
}

constexpr Duration kDrainTime = milliseconds(2500);

// Instances of three zones, the first of which cannot reach the store for about
// six seconds while the instances that follow it can.
class CutReaderRun {
 public:
  explicit CutReaderRun(int step)
      : m_fleet({{"leinster-a", "leinster", 2},
                 {"connacht-a", "connacht", 3},
                 {"munster-a", "munster", 2}},
                static_cast<std::uint64_t>(step)) {
    m_fleet.WriteEndpoint("i-1", 1, false);
    m_fleet.WriteEndpoint("i-3", 1, false);
    m_fleet.Run(seconds(12));
    m_fleet.Store().Deny({"connacht-a-1"}, StoreDenial::kSilent);
    m_fleet.Run(seconds(6) + milliseconds(20 * step));
  }

  // Removes the endpoint, and lets the store answer the reader again so much
  // later. Checks that no instance uses the endpoint after the drain time.
  void Remove(const std::string& id, Duration until_served) {
    m_fleet.RemoveEndpoint(id);
    m_fleet.Run(until_served);
    m_fleet.Store().ServeAll();
    m_fleet.Run(kDrainTime - until_served);
    for (const std::string& name : m_fleet.Names()) {
      CAPTURE(name);
      const auto& known = m_fleet.State(name).m_directory.m_endpoints;
      CHECK(known.count("i-1") == 1);
      CHECK(known.count(id) == 0);
    }
  }

  InstanceFleet& Fleet() { return m_fleet; }

 private:
  InstanceFleet m_fleet;
};

// Failure (DRAIN): while the store did not answer the instance that the others
// of its zone follow, an endpoint registered and left within 0.1 s. A follower
// had read the first record only, and went back to following.
TEST_CASE("an endpoint that leaves soon after its start is dropped") {
  for (int step = 0; step < 60; ++step) {
    CAPTURE(step);
    CutReaderRun run(step);
    run.Fleet().WriteEndpoint("i-2", 1, false);
    run.Fleet().Run(milliseconds(100));
    run.Remove("i-2", milliseconds(150));
  }
}

// Failure (DRAIN): an instance that had been cut off from the store took the
// removal of an endpoint for a lapse in an outage, although other instances had
// read the store all the while, and passed the endpoint on to its followers.
TEST_CASE("an outage for one instance alone keeps no endpoint in use") {
  for (int step = 0; step < 60; ++step) {
    CAPTURE(step);
    CutReaderRun run(step);
    run.Remove("i-3", milliseconds(10 * (step % 60)));
  }
}

}  // namespace
}  // namespace comfreypaddle
