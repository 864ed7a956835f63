#include "statequery.h"

#include <utility>

#include "memberwatch.h"
#include "servedinstances.h"
#include "storeera.h"
#include "storereader.h"
#include "versionsync.h"

namespace comfreypaddle {

namespace {

double AgeMs(const ControlState& state, const StreamCursor& cursor) {
  return ToMs(state.m_clock() - cursor.m_confirmed);
}

StreamPosition CatalogPosition(const schema::InstanceQuery& query) {
  return {query.catalog_era(), query.catalog_offset()};
}

StreamPosition EndpointsPosition(const schema::InstanceQuery& query) {
  return {query.endpoints_era(), query.endpoints_offset()};
}

StreamPosition InstancesPosition(const schema::InstanceQuery& query) {
  return {query.instances_era(), query.instances_offset()};
}

// Whether the requester's configuration is older than this instance's. A store
// that comes back from a copy may have an older version at a later position.
bool IsCatalogNewer(const ControlState& state,
                    const schema::InstanceQuery& query) {
  return state.m_catalog &&
         (ReadPosition(state.m_catalog_cursor) > CatalogPosition(query) ||
          state.m_catalog->version() > query.catalog_version());
}

bool HasListVersion(const ControlState& state,
                    const schema::InstanceQuery& query) {
  return query.list_owner() == state.m_options.m_name &&
         query.list_incarnation() == state.m_options.m_incarnation;
}

// Whether the requester can apply this instance's endpoint list. A requester
// whose read position is ahead would discard it.
bool CanApplyList(const ControlState& state,
                  const schema::InstanceQuery& query) {
  return state.m_endpoints_cursor.m_initialized &&
         ReadPosition(state.m_endpoints_cursor) >= EndpointsPosition(query);
}

// Whether there is anything that the requester does not have yet.
bool HasUpdate(const ControlState& state, const schema::InstanceQuery& query) {
  if (query.store_answered() != IsServedByStore(state)) return true;
  if (state.m_store_era.value_or(0) > query.store_era()) return true;
  if (IsCatalogNewer(state, query)) return true;
  if (ReadPosition(state.m_instances_cursor) > InstancesPosition(query)) {
    return true;
  }
  return CanApplyList(state, query) &&
         (!HasListVersion(state, query) ||
          query.list_version() != state.m_directory.m_version);
}

// Whether the endpoint list is more recent than the requester's. A requester
// that states no age always gets it.
bool IsListNewer(const ControlState& state,
                 const schema::InstanceQuery& query) {
  return query.endpoints_age_ms() <= 0 ||
         AgeMs(state, state.m_endpoints_cursor) < query.endpoints_age_ms();
}

// Adds the endpoint list, or the changes since the requester's version of it.
void AddEndpoints(const ControlState& state, const schema::InstanceQuery& query,
                  schema::InstanceState* answer) {
  const StreamPosition position = ReadPosition(state.m_endpoints_cursor);
  answer->set_endpoints_offset(position.m_offset);
  answer->set_endpoints_era(position.m_era);
  answer->set_list_version(state.m_directory.m_version);
  const std::uint64_t since =
      HasListVersion(state, query) ? query.list_version() : 0;
  const DirectoryChanges changes = ListChanges(state.m_directory, since);
  answer->set_list_whole(changes.m_is_complete);
  answer->set_list_base(since);
  *answer->mutable_endpoints() = changes.m_entries;
  AddPassedVersions(state, *answer);
  for (const schema::RemovedEntry& removed : changes.m_removed) {
    *answer->add_removals() = removed;
    if (!changes.m_is_complete) answer->add_removed_endpoints(removed.id());
  }
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    if (!known.m_lapsed) continue;
    schema::LapsedEndpoint* lapsed = answer->add_lapsed_endpoints();
    lapsed->set_id(id);
    lapsed->set_ends_in_ms(ToMs(known.m_lapse_expires - state.m_clock()));
  }
}

void AddInstances(const ControlState& state, const schema::InstanceQuery& query,
                  schema::InstanceState* answer) {
  const StreamPosition position = ReadPosition(state.m_instances_cursor);
  answer->set_instances_offset(position.m_offset);
  answer->set_instances_era(position.m_era);
  if (position <= InstancesPosition(query)) return;
  for (const auto& [name, known] : state.m_instances) {
    *answer->add_instances() = known;
  }
}

// Follows what a query tells of the requester's state. An instance that has
// started after a restore of the store may know less than its followers.
void LearnFromQuery(ControlState& state, const schema::InstanceQuery& query) {
  HeardFrom(state, query.name());
  if (query.asker_served()) {
    RecordServed(state, query.name(), state.m_clock());
  }
  if (query.has_store_era()) {
    ObserveEra(state, query.store_era(), query.name());
  }
  const std::uint64_t own = state.m_catalog ? state.m_catalog->version() : 0;
  if (query.catalog_version() > own) state.m_newer_instance = query.name();
}

// Builds the answer, with the state that the requester does not have yet.
schema::InstanceState MakeAnswer(const ControlState& state,
                                 const schema::InstanceQuery& query) {
  schema::InstanceState answer;
  answer.set_name(state.m_options.m_name);
  answer.set_incarnation(state.m_options.m_incarnation);
  answer.set_catalog_age_ms(AgeMs(state, state.m_catalog_cursor));
  answer.set_endpoints_age_ms(AgeMs(state, state.m_endpoints_cursor));
  answer.set_store_answers(IsServedByStore(state));
  if (state.m_catalog) answer.set_catalog_version(state.m_catalog->version());
  if (state.m_store_era) answer.set_store_era(*state.m_store_era);
  const StreamPosition position = ReadPosition(state.m_catalog_cursor);
  answer.set_catalog_offset(position.m_offset);
  answer.set_catalog_era(position.m_era);
  if (IsCatalogNewer(state, query)) {
    *answer.mutable_catalog() = *state.m_catalog;
  }
  if (CanApplyList(state, query) && IsListNewer(state, query)) {
    AddEndpoints(state, query, &answer);
  }
  AddInstances(state, query, &answer);
  if (query.usage_waits()) AddServed(state, &answer);
  return answer;
}

}  // namespace

void AnswerStateQuery(ControlState& state, const schema::InstanceQuery& query,
                      const StateQueryCallback& respond) {
  LearnFromQuery(state, query);
  if (query.wait_ms() == 0 || HasUpdate(state, query)) {
    respond(MakeAnswer(state, query));
  } else {
    const Instant now = state.m_clock();
    state.m_pending_queries.push_back(
        {query, respond, now,
         now + std::chrono::milliseconds(query.wait_ms())});
  }
}

void AnswerPendingQueries(ControlState& state) {
  const Instant now = state.m_clock();
  std::vector<PendingStateQuery> waiting =
      std::exchange(state.m_pending_queries, {});
  for (PendingStateQuery& pending : waiting) {
    if (now < pending.m_expires_at && !HasUpdate(state, pending.m_query)) {
      state.m_pending_queries.push_back(std::move(pending));
      continue;
    }
    schema::InstanceState answer = MakeAnswer(state, pending.m_query);
    answer.set_held_ms(ToMs(now - pending.m_received_at));
    pending.m_respond(answer);
  }
}

StreamPosition ReadPosition(const StreamCursor& cursor) {
  if (!cursor.m_initialized) return {};
  return {cursor.m_era, cursor.m_next};
}

double StateAgeMs(const ControlState& state) {
  return ToMs(state.m_clock() - StateConfirmedAt(state));
}

}  // namespace comfreypaddle
