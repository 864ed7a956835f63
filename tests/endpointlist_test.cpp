// How an instance changes its endpoint list by what it reads from the store and
// learns from other instances.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "endpointlist.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>

#include "statemerge.h"
#include "storereader.h"
#include "support_control.h"
#include "support_instances.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Instance;
using testing::InstanceFleet;

// Entry read from the record before this offset.
schema::EndpointEntry Entry(const std::string& id, std::uint64_t record_end) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_service("s");
  entry.set_born_ms(1);
  entry.set_sequence(record_end);
  entry.set_record_end(record_end);
  return entry;
}

// Whole list of another instance that has read up to this offset.
schema::InstanceState WholeList(std::uint64_t offset) {
  schema::InstanceState other;
  other.set_name("b");
  other.set_endpoints_offset(offset);
  other.set_list_whole(true);
  return other;
}

void AddLapsed(schema::InstanceState* other,
               const schema::EndpointEntry& entry) {
  *other->mutable_endpoints()->add_endpoints() = entry;
  schema::LapsedEndpoint* lapsed = other->add_lapsed_endpoints();
  lapsed->set_id(entry.id());
  lapsed->set_ends_in_ms(2000);
}

// Instance that has read up to offset 20, with the entries e1 and e2.
struct Reader : Instance {
  Reader() : Instance("a") {
    m_state.m_endpoints_cursor.m_initialized = true;
    m_state.m_endpoints_cursor.m_next = 20;
    for (const char* id : {"e1", "e2"}) {
      UpsertEntry(m_state.m_directory, Entry(id, 10));
    }
  }
  void Merge(const schema::InstanceState& other) {
    MergePeerState(m_state, other, m_now);
  }
  bool Has(const std::string& id) const {
    return m_state.m_directory.m_endpoints.count(id) > 0;
  }
};

// Failure (DRAIN): an instance that had erased an entry took it back from one
// that had been frozen and still kept it as lapsed, at the same read offset.
TEST_CASE("a removed entry does not return from another instance") {
  Reader reader;
  EraseEntry(reader.m_state.m_directory, "e1");
  for (const std::uint64_t offset : {20, 25}) {
    schema::InstanceState other = WholeList(offset);
    AddLapsed(&other, Entry("e1", 10));
    *other.mutable_endpoints()->add_endpoints() = Entry("e2", 10);
    reader.Merge(other);
    CHECK_FALSE(reader.Has("e1"));
    CHECK(reader.Has("e2"));
  }
}

// Failure: an endpoint that has registered again stays unknown because an
// earlier lifetime of its id was removed.
TEST_CASE("an entry written after the removal comes in") {
  Reader reader;
  EraseEntry(reader.m_state.m_directory, "e1");
  schema::InstanceState other = WholeList(23);
  schema::EndpointEntry reborn = Entry("e1", 22);
  reborn.set_born_ms(2);
  reborn.set_sequence(1);
  *other.mutable_endpoints()->add_endpoints() = reborn;
  *other.mutable_endpoints()->add_endpoints() = Entry("e2", 10);
  reader.Merge(other);
  REQUIRE(reader.Has("e1"));
  CHECK(reader.m_state.m_directory.m_endpoints.at("e1").m_entry.born_ms() == 2);
}

// Failure: an older state of an entry replaces a newer one, such as a draining
// endpoint that is used again.
TEST_CASE("an older record of a known entry is not taken") {
  Reader reader;
  schema::EndpointEntry draining = Entry("e1", 18);
  draining.set_draining(true);
  UpsertEntry(reader.m_state.m_directory, draining);
  schema::InstanceState other = WholeList(20);
  *other.mutable_endpoints()->add_endpoints() = Entry("e1", 10);
  *other.mutable_endpoints()->add_endpoints() = Entry("e2", 10);
  reader.Merge(other);
  CHECK(reader.m_state.m_directory.m_endpoints.at("e1").m_entry.draining());
}

// Failure: instances that saw an outage lose the entries that lapsed in it to
// one that did not see it.
TEST_CASE("a lapsed entry is kept against an instance that has erased it") {
  Reader reader;
  MarkEntryLapsed(reader.m_state.m_directory, "e1",
                  reader.m_now + milliseconds(2000));
  schema::InstanceState other = WholeList(20);
  *other.mutable_endpoints()->add_endpoints() = Entry("e2", 10);
  reader.Merge(other);
  CHECK(reader.Has("e1"));
  reader.m_now += milliseconds(2000);
  ExpireEndpoints(reader.m_state);
  CHECK_FALSE(reader.Has("e1"));
}

// Failure (DRAIN): a read that was in flight while another instance's newer
// list was merged brought a removed entry back.
TEST_CASE("an answer to a read does not undo a newer list") {
  Reader reader;
  PollStore(reader.m_state);
  REQUIRE(reader.m_store.m_read_done.size() == 1);
  schema::InstanceState other = WholeList(30);
  *other.mutable_endpoints()->add_endpoints() = Entry("e2", 10);
  reader.Merge(other);
  REQUIRE_FALSE(reader.Has("e1"));
  ReadResult late;
  late.m_next = 24;
  StreamRecord heartbeat;
  heartbeat.m_offset = 22;
  heartbeat.m_key = "e1";
  heartbeat.m_value = Entry("e1", 23).SerializeAsString();
  late.m_records = {heartbeat};
  reader.m_state.m_records = &testing::SchemaRecords();
  reader.m_store.m_read_done[0](late);
  CHECK_FALSE(reader.Has("e1"));
  CHECK(reader.m_state.m_endpoints_cursor.m_next == 30);
}

// Failure (DRAIN): after a pause of the process, the answer to a read sent
// before it made the list look current, so that the instance asked nobody for
// removals.
TEST_CASE("a read confirms the list as of the time at which it was sent") {
  Reader reader;
  PollStore(reader.m_state);
  REQUIRE(reader.m_store.m_read_done.size() == 1);
  const Instant sent = reader.m_now;
  reader.m_now += seconds(3);
  ReadResult late;
  late.m_next = 20;
  reader.m_store.m_read_done[0](late);
  CHECK(reader.m_state.m_endpoints_cursor.m_confirmed == sent);
}

// Failure: after the store has deleted the next records, an instance took an
// older list than its own from another one.
TEST_CASE("deleted history does not make an older list acceptable") {
  Reader reader;
  PollStore(reader.m_state);
  REQUIRE(reader.m_store.m_read_done.size() == 1);
  ReadResult trimmed;
  trimmed.m_fault = StoreFault::kTrimmed;
  reader.m_store.m_read_done[0](trimmed);
  EraseEntry(reader.m_state.m_directory, "e1");
  schema::InstanceState other = WholeList(12);
  *other.mutable_endpoints()->add_endpoints() = Entry("e1", 10);
  reader.Merge(other);
  CHECK_FALSE(reader.Has("e1"));
  CHECK(reader.Has("e2"));
}

// Instances of three zones, whose endpoints write a heartbeat every 1.2 s.
class FreezeRun {
 public:
  explicit FreezeRun(std::uint64_t seed)
      : m_fleet({{"uppsala-a", "svealand", 2},
                 {"lulea-a", "norrland", 2},
                 {"malmo-a", "gotaland", 2}},
                seed) {}

  void Run(Duration time) {
    const Instant end = m_fleet.Time().Now() + time;
    while (m_fleet.Time().Now() < end) {
      if (m_fleet.Time().Now() >= m_heartbeat_due) WriteHeartbeats();
      m_fleet.Run(milliseconds(50));
      if (m_removed_at) CheckRemoved();
    }
  }

  void Remove(const std::string& id) {
    m_fleet.RemoveEndpoint(id);
    m_alive.erase(id);
    m_removed = id;
    m_removed_at = m_fleet.Time().Now();
  }

  InstanceFleet& Fleet() { return m_fleet; }
  // Time from the removal to the last moment at which an instance that was not
  // frozen still listed the endpoint.
  Duration LastUse() const { return m_last_use; }
  // Whether an instance that was not frozen listed the endpoint again.
  bool CameBack() const { return m_came_back; }
  void Freeze(const std::string& name) {
    m_fleet.Freeze(name);
    m_frozen = name;
  }

 private:
  void WriteHeartbeats() {
    m_heartbeat_due = m_fleet.Time().Now() + milliseconds(1200);
    ++m_sequence;
    for (const std::string& id : m_alive) {
      m_fleet.WriteEndpoint(id, m_sequence, false);
    }
  }

  void CheckRemoved() {
    for (const std::string& name : m_fleet.Names()) {
      if (name == m_frozen) continue;
      const bool known =
          m_fleet.State(name).m_directory.m_endpoints.count(m_removed) > 0;
      if (known) m_last_use = m_fleet.Time().Now() - *m_removed_at;
      if (known && m_gone.count(name) > 0) m_came_back = true;
      if (!known) m_gone.insert(name);
    }
  }

  InstanceFleet m_fleet;
  std::set<std::string> m_alive{"i-1", "i-2", "i-3"};
  std::uint64_t m_sequence = 0;
  Instant m_heartbeat_due{};
  std::string m_frozen;
  std::string m_removed;
  std::optional<Instant> m_removed_at;
  std::set<std::string> m_gone;
  Duration m_last_use{0};
  bool m_came_back = false;
};

// Failure (DRAIN): while the instance that the others of its zone follow was
// frozen, an endpoint left; the others used it again after the thaw, or kept it
// as if the store had been down.
TEST_CASE("a freeze of one instance does not keep an endpoint that has left") {
  constexpr Duration kDrainTime = milliseconds(2500);
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    FreezeRun run(seed);
    run.Run(seconds(12) + milliseconds(37 * seed));
    run.Freeze("uppsala-a-1");
    run.Run(milliseconds(50 * (seed % 9)));
    run.Remove("i-2");
    run.Run(seconds(4));
    run.Fleet().Thaw("uppsala-a-1");
    run.Run(seconds(6));
    CHECK_FALSE(run.CameBack());
    CHECK(run.LastUse() <= kDrainTime);
    for (const std::string& name : run.Fleet().Names()) {
      const auto& entries = run.Fleet().State(name).m_directory.m_endpoints;
      CHECK(entries.size() == 2);
    }
  }
}

// Failure: endpoints whose entries lapsed while the store was down are dropped
// at its return, although they write them again within two seconds.
TEST_CASE("entries that lapse in an outage of the store stay in use") {
  for (const testing::StoreDenial denial :
       {testing::StoreDenial::kSilent, testing::StoreDenial::kRefuses}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(seed);
      FreezeRun run(seed);
      InstanceFleet& fleet = run.Fleet();
      run.Run(seconds(12) + milliseconds(37 * seed));
      const std::vector<std::string> names = fleet.Names();
      fleet.Store().Deny({names.begin(), names.end()}, denial);
      fleet.Run(milliseconds(2400 + 300 * seed));
      fleet.RemoveEndpoint("i-2");
      fleet.Run(milliseconds(200));
      fleet.Store().ServeAll();
      for (int step = 0; step < 38; ++step) {
        fleet.Run(milliseconds(50));
        for (const std::string& name : names) {
          REQUIRE(fleet.State(name).m_directory.m_endpoints.count("i-2") == 1);
        }
      }
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
