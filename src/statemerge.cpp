#include "statemerge.h"

#include <algorithm>
#include <set>
#include <string>

#include "endpointlist.h"
#include "eventlog.h"
#include "servedinstances.h"
#include "statequery.h"
#include "storeera.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// What becomes of the endpoint list in an answer of another instance.
enum class ListOutcome {
  kApplied,
  kBehind,  // The other instance has read less of the store than this one.
  kNoBase,  // Changes since a list that this instance does not have.
};

}  // namespace

template <>
struct EnumNames<ListOutcome> {
  static constexpr std::array<EnumName<ListOutcome>, 3> kTable{
      {{ListOutcome::kApplied, "applied"},
       {ListOutcome::kBehind, "behind"},
       {ListOutcome::kNoBase, "no_base"}}};
};

namespace {

StreamPosition CatalogPosition(const schema::InstanceState& other) {
  return {other.catalog_era(), other.catalog_offset()};
}

StreamPosition EndpointsPosition(const schema::InstanceState& other) {
  return {other.endpoints_era(), other.endpoints_offset()};
}

StreamPosition InstancesPosition(const schema::InstanceState& other) {
  return {other.instances_era(), other.instances_offset()};
}

// Records that the local copy of a stream is as recent as this position.
void AdvanceCursor(StreamCursor& cursor, const StreamPosition& position) {
  cursor.m_era = position.m_era;
  cursor.m_next = position.m_offset;
  cursor.m_initialized = true;
}

ListOutcome OutcomeOf(const ControlState& state,
                      const schema::InstanceState& other) {
  const UpstreamLink& link = state.m_upstream_link;
  if (EndpointsPosition(other) < ReadPosition(state.m_endpoints_cursor)) {
    return ListOutcome::kBehind;
  }
  const bool follows = link.m_list_owner == other.name() &&
                       link.m_list_incarnation == other.incarnation() &&
                       link.m_list_version == other.list_base();
  return other.list_whole() || follows ? ListOutcome::kApplied
                                       : ListOutcome::kNoBase;
}

// Logs from which instance and in which form the endpoint list comes, whenever
// this changes. Changes since a list that was applied from the same instance
// are not logged.
void LogListSource(const ControlState& state,
                   const schema::InstanceState& other, ListOutcome outcome) {
  const std::string& owner = state.m_upstream_link.m_list_owner;
  const bool is_applied = outcome == ListOutcome::kApplied;
  if (is_applied ? owner == other.name() && !other.list_whole()
                 : owner.empty()) {
    return;
  }
  LogLine("endpoint_list_source")
      .Add("instance", other.name())
      .Add("outcome", ToName(outcome))
      .Add("whole", other.list_whole() ? 1 : 0)
      .Add("offset", static_cast<std::int64_t>(other.endpoints_offset()))
      .Add("era", static_cast<std::int64_t>(other.endpoints_era()))
      .Add("read_offset", static_cast<std::int64_t>(
                              ReadPosition(state.m_endpoints_cursor).m_offset))
      .Add("read_era",
           static_cast<std::int64_t>(state.m_endpoints_cursor.m_era))
      .Add("version", static_cast<std::int64_t>(other.list_version()))
      .Add("base", static_cast<std::int64_t>(other.list_base()))
      .Add("entries",
           static_cast<std::int64_t>(other.endpoints().endpoints_size()))
      .Add("removed", other.removed_endpoints_size());
}

// Applies the endpoint list of an instance whose read position is not behind
// this one's. Returns whether the list was applied.
bool MergeEndpointList(ControlState& state,
                       const schema::InstanceState& other) {
  UpstreamLink& link = state.m_upstream_link;
  const ListOutcome outcome = OutcomeOf(state, other);
  LogListSource(state, other, outcome);
  if (outcome != ListOutcome::kApplied) {
    link.m_list_owner.clear();
    return false;
  }
  ApplyPeerEndpoints(state, other);
  link.m_list_owner = other.name();
  link.m_list_incarnation = other.incarnation();
  link.m_list_version = other.list_version();
  AdvanceCursor(state.m_endpoints_cursor, EndpointsPosition(other));
  return true;
}

// Applies the configuration. Returns whether it is newer than the current one.
bool MergeCatalog(ControlState& state, const schema::InstanceState& other) {
  if (!other.has_catalog()) return false;
  const bool newer = ApplyCatalog(state, other.catalog(), other.name());
  AdvanceCursor(
      state.m_catalog_cursor,
      std::max(ReadPosition(state.m_catalog_cursor), CatalogPosition(other)));
  return newer;
}

void MergeInstanceList(ControlState& state,
                       const schema::InstanceState& other) {
  if (InstancesPosition(other) <= ReadPosition(state.m_instances_cursor)) {
    return;
  }
  std::set<std::string> names;
  for (const schema::InstanceRecord& record : other.instances()) {
    ApplyInstanceRecord(state, record);
    names.insert(record.name());
  }
  // A copy of the store may lack records of instances that live.
  if (other.instances_era() == state.m_instances_cursor.m_era) {
    KeepInstances(state, names);
  }
  AdvanceCursor(state.m_instances_cursor, InstancesPosition(other));
  PublishInstances(state);
}

void ConfirmStream(StreamCursor& cursor, Instant at) {
  if (cursor.m_initialized)
    cursor.m_confirmed = std::max(cursor.m_confirmed, at);
}

// Updates the confirmation time of the configuration, unless the other
// instance's read position is ahead of this one's.
void ConfirmCatalog(ControlState& state, const schema::InstanceState& other,
                    Instant made_at) {
  if (other.catalog_offset() == 0) return;
  if (ReadPosition(state.m_catalog_cursor) < CatalogPosition(other)) return;
  ConfirmStream(state.m_catalog_cursor,
                made_at - FromMs(other.catalog_age_ms()));
}

// Applies the endpoint list and updates its confirmation time.
void ConfirmEndpoints(ControlState& state, const schema::InstanceState& other,
                      Instant made_at) {
  if (other.endpoints_offset() == 0) return;
  const bool listed = MergeEndpointList(state, other);
  const bool ahead =
      ReadPosition(state.m_endpoints_cursor) > EndpointsPosition(other);
  if (!listed && !ahead) return;
  const Instant confirmed = made_at - FromMs(other.endpoints_age_ms());
  ConfirmStream(state.m_endpoints_cursor, confirmed);
  ConfirmEndpointList(state, confirmed, other.name());
}

}  // namespace

AnswerEffect MergePeerState(ControlState& state,
                            const schema::InstanceState& other,
                            Instant sent_at) {
  MergeServed(state, other);
  if (other.has_store_era()) {
    ObserveEra(state, other.store_era(), other.name());
  }
  // A lower bound of the time at which the answer was made, from which its ages
  // count. Transit time therefore never makes state look more recent than it
  // is, and instances without the store cannot keep each other's state fresh.
  const Instant made_at = sent_at + FromMs(other.held_ms());
  const std::uint64_t list_version = state.m_directory.m_version;
  const bool newer = MergeCatalog(state, other);
  const Instant before = StateConfirmedAt(state);
  ConfirmCatalog(state, other, made_at);
  ConfirmEndpoints(state, other, made_at);
  MergeInstanceList(state, other);
  if (newer || state.m_directory.m_version != list_version) {
    return AnswerEffect::kApplied;
  }
  return StateConfirmedAt(state) > before ? AnswerEffect::kConfirmed
                                          : AnswerEffect::kStale;
}

}  // namespace comfreypaddle
