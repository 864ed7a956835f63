#include "endpointlist.h"

#include <set>
#include <string>
#include <vector>

#include "eventlog.h"
#include "statequery.h"
#include "versionsync.h"

namespace comfreypaddle {

namespace {

enum class EndpointChange {
  kChanged,
  kRemoved,  // By a record of the store, or by another instance.
  kMissing,  // From a snapshot, or from another instance's whole list.
  kLapsed,   // Removed, but usable until its grace period ends.
  kExpired,  // Its grace period has ended.
  kOutdated  // Not taken: an older report than the one that is known.
};

}  // namespace

template <>
struct EnumNames<EndpointChange> {
  static constexpr std::array<EnumName<EndpointChange>, 6> kTable{
      {{EndpointChange::kChanged, "changed"},
       {EndpointChange::kRemoved, "removed"},
       {EndpointChange::kMissing, "missing"},
       {EndpointChange::kLapsed, "lapsed"},
       {EndpointChange::kExpired, "expired"},
       {EndpointChange::kOutdated, "outdated"}}};
};

namespace {

void AddEntry(LogLine& line, const schema::EndpointEntry& entry) {
  line.Add("service", entry.service())
      .Add("address", entry.address())
      .Add("zone", entry.zone())
      .Add("draining", entry.draining() ? 1 : 0)
      .Add("phase", schema::EnginePhase_Name(entry.phase()))
      .Add("cheap", entry.cheap() ? 1 : 0)
      .Add("version", entry.version())
      .Add("born_ms", static_cast<std::int64_t>(entry.born_ms()))
      .Add("sequence", static_cast<std::int64_t>(entry.sequence()));
}

// Logs a change, with the entry that it is about if there is one.
void LogChange(const ControlState& state, EndpointChange change,
               const std::string& id, std::string_view source,
               const schema::EndpointEntry* entry) {
  LogLine line("endpoint_list");
  line.Add("change", ToName(change))
      .Add("endpoint", id)
      .Add("source", source)
      .Add("read_offset",
           static_cast<std::int64_t>(state.m_endpoints_cursor.m_next));
  if (entry != nullptr) AddEntry(line, *entry);
}

// Logs a change with the known entry of the endpoint.
void LogEndpoint(const ControlState& state, EndpointChange change,
                 const std::string& id, std::string_view source) {
  const auto found = state.m_directory.m_endpoints.find(id);
  const bool known = found != state.m_directory.m_endpoints.end();
  LogChange(state, change, id, source,
            known ? &found->second.m_entry : nullptr);
}

// Sends the list to the relay task.
void PublishEndpoints(ControlState& state) {
  UpdateListedVersions(state);
  schema::RelayMessage message;
  *message.mutable_endpoints() = ListEntries(state.m_directory);
  state.m_relay->Post(std::move(message));
}

void Upsert(ControlState& state, const schema::EndpointEntry& entry,
            std::string_view source) {
  if (!UpsertEntry(state.m_directory, entry)) return;
  NoteVersion(state, entry);
  LogEndpoint(state, EndpointChange::kChanged, entry.id(), source);
}

// Removes an entry that the store no longer has.
void Remove(ControlState& state, EndpointChange change, const std::string& id) {
  if (state.m_directory.m_endpoints.count(id) == 0) return;
  const bool erased = RemoveEntry(state.m_directory, id, state.m_clock());
  LogEndpoint(state, erased ? change : EndpointChange::kLapsed, id,
              kStoreSource);
}

// Erases an entry that another instance has erased. A lapsed one stays until
// its own grace period ends: the other instance may not have noticed the
// outage.
void Erase(ControlState& state, EndpointChange change, const std::string& id,
           std::string_view source) {
  const auto found = state.m_directory.m_endpoints.find(id);
  const bool lapsed =
      found != state.m_directory.m_endpoints.end() && found->second.m_lapsed;
  if (lapsed) return;
  if (EraseEntry(state.m_directory, id)) LogEndpoint(state, change, id, source);
}

void ApplyEndpointRecord(ControlState& state, const StreamRecord& record,
                         bool is_snapshot) {
  if (record.m_removed) {
    Remove(state, EndpointChange::kRemoved, record.m_key);
    return;
  }
  auto entry = state.m_records->DecodeEndpoint(record);
  if (!entry) {
    ++state.m_counters.m_unreadable;
    LogLine("record_decode_failed")
        .Add("stream", ToName(Stream::kEndpoints))
        .Add("key", record.m_key)
        .Add("offset", static_cast<std::int64_t>(record.m_offset));
    return;
  }
  entry->set_record_end(record.m_offset + 1);
  entry->set_record_era(state.m_endpoints_cursor.m_era);
  if (IsOutdated(state.m_directory, *entry) ||
      (is_snapshot && IsFromBeforeRemoval(state.m_directory, *entry))) {
    LogChange(state, EndpointChange::kOutdated, entry->id(), kStoreSource,
              &*entry);
    return;
  }
  Upsert(state, *entry, kStoreSource);
}

StreamPosition RecordEnd(const schema::EndpointEntry& entry) {
  return {entry.record_era(), entry.record_end()};
}

// Whether an entry that another instance has is newer than what this instance
// has read itself. Instances of earlier versions do not send the record's
// offset; their entries are taken as they are. The sequence number does not
// decide: an instance that follows another one is not told of each report.
bool IsNews(const ControlState& state, const schema::EndpointEntry& entry) {
  if (entry.record_end() == 0) return !IsOutdated(state.m_directory, entry);
  if (IsOfFormerLifetime(state.m_directory, entry)) return false;
  const auto found = state.m_directory.m_endpoints.find(entry.id());
  if (found != state.m_directory.m_endpoints.end()) {
    const schema::EndpointEntry& known = found->second.m_entry;
    // A copy of the store may have an older report at a later position.
    if (entry.record_era() > known.record_era() &&
        IsOutdated(state.m_directory, entry)) {
      return false;
    }
    return RecordEnd(entry) > RecordEnd(known);
  }
  // A copy of the store has entries again that were removed before.
  return RecordEnd(entry) > ReadPosition(state.m_endpoints_cursor) &&
         !IsOutdated(state.m_directory, entry);
}

// Ids of the known entries that are not among the given ones.
std::vector<std::string> MissingIds(const ControlState& state,
                                    const std::set<std::string>& present) {
  std::vector<std::string> missing;
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    if (present.count(id) == 0) missing.push_back(id);
  }
  return missing;
}

void RemoveMissingFromSnapshot(ControlState& state, const ReadResult& result) {
  std::set<std::string> present;
  for (const StreamRecord& record : result.m_records) {
    present.insert(record.m_key);
  }
  for (const std::string& id : MissingIds(state, present)) {
    Remove(state, EndpointChange::kMissing, id);
  }
}

// Removes what the other instance has removed. It keeps lapsed entries in its
// list during their grace period, so entries that are missing from it are
// removed at once.
void ApplyPeerRemovals(ControlState& state,
                       const schema::InstanceState& other) {
  for (const std::string& id : other.removed_endpoints()) {
    Erase(state, EndpointChange::kRemoved, id, other.name());
  }
  if (!other.list_whole()) return;
  std::set<std::string> present;
  for (const schema::EndpointEntry& entry : other.endpoints().endpoints()) {
    present.insert(entry.id());
  }
  // The other instance may have lost entries with the records of the store that
  // this one still has from before; their endpoints write them again.
  const bool is_of_newer_era =
      other.endpoints_era() > state.m_endpoints_cursor.m_era;
  for (const std::string& id : MissingIds(state, present)) {
    if (is_of_newer_era) {
      Remove(state, EndpointChange::kMissing, id);
    } else {
      Erase(state, EndpointChange::kMissing, id, other.name());
    }
  }
}

}  // namespace

void ApplyEndpointRecords(ControlState& state, const ReadResult& result,
                          bool is_snapshot) {
  const std::uint64_t before = state.m_directory.m_version;
  for (const StreamRecord& record : result.m_records) {
    ApplyEndpointRecord(state, record, is_snapshot);
  }
  if (is_snapshot) RemoveMissingFromSnapshot(state, result);
  // What is read here is in no list of another instance, so that changes since
  // such a list leave it out.
  if (is_snapshot || !result.m_records.empty()) {
    state.m_upstream_link.m_list_owner.clear();
  }
  if (state.m_directory.m_version != before) PublishEndpoints(state);
}

void ApplyPeerEndpoints(ControlState& state,
                        const schema::InstanceState& other) {
  const std::uint64_t before = state.m_directory.m_version;
  for (const schema::EndpointEntry& entry : other.endpoints().endpoints()) {
    if (IsNews(state, entry)) Upsert(state, entry, other.name());
  }
  TakePassedVersions(state, other);
  ApplyPeerRemovals(state, other);
  for (const schema::RemovedEntry& removal : other.removals()) {
    LearnRemoval(state.m_directory, removal);
  }
  for (const schema::LapsedEndpoint& lapsed : other.lapsed_endpoints()) {
    MarkEntryLapsed(state.m_directory, lapsed.id(),
                    state.m_clock() + FromMs(lapsed.ends_in_ms()));
  }
  if (state.m_directory.m_version != before) PublishEndpoints(state);
}

void ConfirmEndpointList(ControlState& state, Instant confirmed,
                         std::string_view source) {
  const Instant before = state.m_directory.m_last_answer;
  if (!OnStoreAnswer(state.m_directory, confirmed)) return;
  LogLine("endpoint_grace")
      .Add("source", source)
      .AddMs("unconfirmed_ms", confirmed - before)
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered)
      .Add("store_faults",
           static_cast<std::int64_t>(state.m_counters.m_store_faults));
}

void ExpireEndpoints(ControlState& state) {
  const std::vector<std::string> expired =
      ExpireEntries(state.m_directory, state.m_clock());
  for (const std::string& id : expired) {
    LogEndpoint(state, EndpointChange::kExpired, id, kStoreSource);
  }
  if (!expired.empty()) PublishEndpoints(state);
}

}  // namespace comfreypaddle
