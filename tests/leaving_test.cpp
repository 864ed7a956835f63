// An endpoint that has left, or says that it leaves, is not used again in that
// lifetime, whichever source tells of it and whatever comes later.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "directory.h"
#include "endpointlist.h"
#include "statemerge.h"
#include "storereader.h"
#include "support_control.h"
#include "support_instances.h"

namespace comfreypaddle {
namespace {

using testing::Instance;

// Report of the endpoint e1.
struct Report {
  std::uint64_t m_born_ms = 1;
  std::uint64_t m_sequence = 0;
  bool m_draining = false;
};

schema::EndpointEntry EntryOf(const Report& report) {
  schema::EndpointEntry entry;
  entry.set_id("e1");
  entry.set_service("s");
  entry.set_born_ms(report.m_born_ms);
  entry.set_sequence(report.m_sequence);
  entry.set_draining(report.m_draining);
  return entry;
}

// Instance that has read the report 4 of e1 from the store.
struct Reader : Instance {
  Reader() : Instance("a") {
    m_state.m_records = &testing::SchemaRecords();
    m_state.m_endpoints_cursor.m_initialized = true;
    m_state.m_endpoints_cursor.m_next = 20;
    Read({.m_sequence = 4});
  }
  void Read(const Report& report) {
    StreamRecord record;
    record.m_value = EntryOf(report).SerializeAsString();
    Apply(record, false);
  }
  void ReadRemoval() {
    StreamRecord record;
    record.m_removed = true;
    Apply(record, false);
  }
  void ReadSnapshotWithout() {
    ApplyEndpointRecords(m_state, ReadResult{}, true);
  }
  // Applies the whole list of another instance, which has the entry from the
  // record before this offset.
  void MergeFromOther(const Report& report, std::uint64_t record_end) {
    schema::InstanceState other = OtherList();
    schema::EndpointEntry* entry = other.mutable_endpoints()->add_endpoints();
    *entry = EntryOf(report);
    entry->set_record_end(record_end);
    MergePeerState(m_state, other, m_now);
  }
  void MergeRemovalFromOther() { MergePeerState(m_state, OtherList(), m_now); }

  bool IsUsed() const {
    const auto found = m_state.m_directory.m_endpoints.find("e1");
    return found != m_state.m_directory.m_endpoints.end() &&
           !found->second.m_entry.draining();
  }

 private:
  static schema::InstanceState OtherList() {
    constexpr std::uint64_t kOtherOffset = 40;
    schema::InstanceState other;
    other.set_name("b");
    other.set_endpoints_offset(kOtherOffset);
    other.set_list_whole(true);
    return other;
  }
  void Apply(StreamRecord record, bool is_snapshot) {
    record.m_key = "e1";
    record.m_offset = m_state.m_endpoints_cursor.m_next++;
    ReadResult result;
    result.m_records = {record};
    ApplyEndpointRecords(m_state, result, is_snapshot);
  }
};

// Failure (DRAIN): a report that reached the store late made an endpoint that
// drains look ready.
TEST_CASE("no later record makes a draining endpoint ready") {
  for (const std::uint64_t sequence : {4, 5, 6}) {
    CAPTURE(sequence);
    Reader reader;
    REQUIRE(reader.IsUsed());
    reader.Read({.m_sequence = 5, .m_draining = true});
    reader.Read({.m_sequence = sequence});
    CHECK_FALSE(reader.IsUsed());
  }
}

// Failure (DRAIN): the list forgot lifetime and sequence with the entry, so
// that a late report brought back an endpoint that had left.
TEST_CASE("an old report does not bring back a removed endpoint") {
  for (const bool has_drained : {false, true}) {
    CAPTURE(has_drained);
    Reader reader;
    reader.Read({.m_sequence = 5, .m_draining = has_drained});
    reader.ReadRemoval();
    for (const std::uint64_t sequence : {4, 5}) {
      reader.Read({.m_sequence = sequence});
      CHECK_FALSE(reader.IsUsed());
    }
  }
}

// Failure (DRAIN): the same, where the removal is known from a snapshot or from
// another instance.
TEST_CASE("every source of a removal holds against an old report") {
  Reader snapshot;
  snapshot.ReadSnapshotWithout();
  snapshot.Read({.m_sequence = 4});
  CHECK_FALSE(snapshot.IsUsed());
  Reader told;
  told.MergeRemovalFromOther();
  told.Read({.m_sequence = 4});
  CHECK_FALSE(told.IsUsed());
}

// Failure (DRAIN): another instance had read the older report from a later
// record, and its list made a draining endpoint ready.
TEST_CASE("another instance's later record does not undo a draining report") {
  Reader reader;
  reader.Read({.m_sequence = 5, .m_draining = true});
  reader.MergeFromOther({.m_sequence = 4}, 30);
  CHECK_FALSE(reader.IsUsed());
  Reader removed;
  removed.Read({.m_sequence = 5, .m_draining = true});
  removed.ReadRemoval();
  removed.MergeFromOther({.m_sequence = 4}, 30);
  CHECK_FALSE(removed.IsUsed());
}

// Failure (DRAIN): when there were too many removals to retain, all of them
// were forgotten, the newest included.
TEST_CASE("many removals do not make the newest one forgotten") {
  EndpointDirectory directory;
  constexpr int kRemovals = 5000;
  for (int i = 0; i < kRemovals; ++i) {
    schema::EndpointEntry entry = EntryOf({.m_sequence = 4});
    entry.set_id("e" + std::to_string(i));
    UpsertEntry(directory, entry);
    EraseEntry(directory, entry.id());
    REQUIRE(IsOutdated(directory, entry));
    REQUIRE_FALSE(
        ListChanges(directory, directory.m_version - 1).m_is_complete);
  }
}

// Failure: a late record of an earlier lifetime hides an endpoint that has
// started again, or is used in its place.
TEST_CASE("an earlier lifetime is not taken from any source") {
  Reader reader;
  reader.Read({.m_born_ms = 2, .m_sequence = 1, .m_draining = true});
  reader.Read({.m_born_ms = 1, .m_sequence = 9});
  CHECK_FALSE(reader.IsUsed());
  reader.MergeFromOther({.m_born_ms = 1, .m_sequence = 9}, 30);
  CHECK_FALSE(reader.IsUsed());
}

// Failure: an endpoint that was cut off from the store for a while, or started
// again, stays unused although it reports.
TEST_CASE("a newer report or lifetime brings an endpoint back") {
  Reader silent;
  silent.ReadRemoval();
  silent.Read({.m_sequence = 5});
  CHECK(silent.IsUsed());
  Reader restarted;
  restarted.Read({.m_sequence = 5, .m_draining = true});
  restarted.ReadRemoval();
  restarted.Read({.m_born_ms = 2, .m_sequence = 1});
  CHECK(restarted.IsUsed());
  Reader told;
  told.ReadRemoval();
  told.MergeFromOther({.m_sequence = 5}, 30);
  CHECK(told.IsUsed());
}

}  // namespace
}  // namespace comfreypaddle
