#include "directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreypaddle {

namespace {

// Removals retained for followers that request changes, and against old reports
// of endpoints that have left. Beyond this number the older half is discarded.
constexpr std::size_t kMaxRetainedRemovals = 1024;

// Whether two entries differ in a field that routing uses. The sequence number
// alone changes with each heartbeat.
bool DiffersForRouting(const schema::EndpointEntry& a,
                       const schema::EndpointEntry& b) {
  return a.service() != b.service() || a.address() != b.address() ||
         a.zone() != b.zone() || a.slots() != b.slots() ||
         a.draining() != b.draining() || a.phase() != b.phase() ||
         a.cheap() != b.cheap() || a.born_ms() != b.born_ms() ||
         a.version() != b.version() ||
         (a.leaves_ms() < 0) != (b.leaves_ms() < 0) ||
         (a.cold_ms() > 0) != (b.cold_ms() > 0);
}

// Discards the older half of the retained removals.
void DiscardOldRemovals(EndpointDirectory& directory) {
  std::vector<std::uint64_t> versions;
  versions.reserve(directory.m_removed.size());
  for (const auto& [id, removed] : directory.m_removed) {
    versions.push_back(removed.m_version);
  }
  const auto middle =
      versions.begin() + static_cast<std::ptrdiff_t>(versions.size() / 2);
  std::nth_element(versions.begin(), middle, versions.end());
  directory.m_discarded_removals_end = *middle;
  std::erase_if(directory.m_removed, [&](const auto& entry) {
    return entry.second.m_version <= directory.m_discarded_removals_end;
  });
}

// Records a removal under a new version of the list.
void RecordRemoval(EndpointDirectory& directory, const std::string& id,
                   const schema::EndpointEntry& last) {
  directory.m_removed[id] = {++directory.m_version, last.born_ms(),
                             last.sequence(), last.draining(),
                             last.record_era()};
  if (directory.m_removed.size() > kMaxRetainedRemovals) {
    DiscardOldRemovals(directory);
  }
}

// Last report of the endpoint that this instance has applied, whether its entry
// is present or removed; nothing if it has never been known.
std::optional<RemovedEndpoint> LastReport(const EndpointDirectory& directory,
                                          const std::string& id) {
  const auto present = directory.m_endpoints.find(id);
  if (present != directory.m_endpoints.end()) {
    const schema::EndpointEntry& entry = present->second.m_entry;
    return RemovedEndpoint{0, entry.born_ms(), entry.sequence(),
                           entry.draining(), entry.record_era()};
  }
  const auto removed = directory.m_removed.find(id);
  if (removed == directory.m_removed.end()) return std::nullopt;
  return removed->second;
}

// Whether the endpoint has reported that it drains in the lifetime of the
// entry.
bool HasDrained(const EndpointDirectory& directory,
                const schema::EndpointEntry& entry) {
  const auto last = LastReport(directory, entry.id());
  return last && last->m_born_ms == entry.born_ms() && last->m_draining;
}

}  // namespace

void OnStoreFault(EndpointDirectory& directory, Instant now) {
  if (!directory.m_first_fault) directory.m_first_fault = now;
}

bool OnStoreAnswer(EndpointDirectory& directory, Instant now) {
  // Another instance may report an answer older than the last one.
  if (now <= directory.m_last_answer) return false;
  const bool first = directory.m_last_answer == Instant{};
  const Duration silence = now - std::exchange(directory.m_last_answer, now);
  if (!directory.m_first_fault || now < *directory.m_first_fault) return false;
  const bool outage = !first && silence >= kMinOutageSilence &&
                      now - *directory.m_first_fault > kOutageThreshold;
  directory.m_first_fault.reset();
  if (outage) directory.m_grace_ends = now + kLapseGracePeriod;
  return outage;
}

void OnStoreRestored(EndpointDirectory& directory, Instant now) {
  directory.m_grace_ends = now + kLapseGracePeriod;
}

bool IsOfFormerLifetime(const EndpointDirectory& directory,
                        const schema::EndpointEntry& entry) {
  const auto last = LastReport(directory, entry.id());
  return last && entry.born_ms() < last->m_born_ms;
}

bool IsOutdated(const EndpointDirectory& directory,
                const schema::EndpointEntry& entry) {
  const auto last = LastReport(directory, entry.id());
  if (!last) return false;
  if (entry.born_ms() != last->m_born_ms) {
    return entry.born_ms() < last->m_born_ms;
  }
  const bool is_present = directory.m_endpoints.count(entry.id()) > 0;
  return is_present ? entry.sequence() < last->m_sequence
                    : entry.sequence() <= last->m_sequence;
}

bool IsFromBeforeRemoval(const EndpointDirectory& directory,
                         const schema::EndpointEntry& entry) {
  const auto found = directory.m_removed.find(entry.id());
  return found != directory.m_removed.end() &&
         found->second.m_born_ms == entry.born_ms() &&
         found->second.m_era < entry.record_era();
}

void LearnRemoval(EndpointDirectory& directory,
                  const schema::RemovedEntry& removal) {
  if (directory.m_endpoints.count(removal.id()) != 0) return;
  const auto [place, inserted] = directory.m_removed.try_emplace(
      removal.id(), RemovedEndpoint{directory.m_version, removal.born_ms(),
                                    removal.sequence(), removal.draining(),
                                    removal.record_era()});
  RemovedEndpoint& known = place->second;
  if (inserted || known.m_born_ms != removal.born_ms()) return;
  known.m_sequence = std::max(known.m_sequence, removal.sequence());
  known.m_draining = known.m_draining || removal.draining();
}

bool UpsertEntry(EndpointDirectory& directory,
                 const schema::EndpointEntry& reported) {
  schema::EndpointEntry entry = reported;
  if (HasDrained(directory, entry)) entry.set_draining(true);
  const auto [place, inserted] =
      directory.m_endpoints.try_emplace(entry.id(), KnownEndpoint{entry});
  KnownEndpoint& known = place->second;
  const bool changed =
      inserted || known.m_lapsed || DiffersForRouting(known.m_entry, entry);
  known.m_entry = std::move(entry);
  known.m_lapsed = false;
  if (changed) {
    known.m_changed = ++directory.m_version;
    directory.m_removed.erase(reported.id());
  }
  return changed;
}

bool RemoveEntry(EndpointDirectory& directory, const std::string& id,
                 Instant now) {
  const auto found = directory.m_endpoints.find(id);
  if (found == directory.m_endpoints.end()) return false;
  if (now < directory.m_grace_ends && !found->second.m_entry.draining()) {
    MarkEntryLapsed(directory, id, directory.m_grace_ends);
    return false;
  }
  return EraseEntry(directory, id);
}

void MarkEntryLapsed(EndpointDirectory& directory, const std::string& id,
                     Instant ends) {
  const auto found = directory.m_endpoints.find(id);
  if (found == directory.m_endpoints.end() || found->second.m_lapsed) return;
  found->second.m_lapsed = true;
  found->second.m_lapse_expires = ends;
  found->second.m_changed = ++directory.m_version;
}

bool EraseEntry(EndpointDirectory& directory, const std::string& id) {
  const auto found = directory.m_endpoints.find(id);
  if (found == directory.m_endpoints.end()) return false;
  RecordRemoval(directory, id, found->second.m_entry);
  directory.m_endpoints.erase(found);
  return true;
}

std::vector<std::string> ExpireEntries(EndpointDirectory& directory,
                                       Instant now) {
  std::vector<std::string> ids;
  for (auto at = directory.m_endpoints.begin();
       at != directory.m_endpoints.end();) {
    const bool expired =
        at->second.m_lapsed && now >= at->second.m_lapse_expires;
    if (expired) {
      RecordRemoval(directory, at->first, at->second.m_entry);
      ids.push_back(at->first);
    }
    at = expired ? directory.m_endpoints.erase(at) : std::next(at);
  }
  return ids;
}

schema::EndpointList ListEntries(const EndpointDirectory& directory) {
  schema::EndpointList list;
  for (const auto& [id, known] : directory.m_endpoints) {
    *list.add_endpoints() = known.m_entry;
  }
  return list;
}

DirectoryChanges ListChanges(const EndpointDirectory& directory,
                             std::uint64_t since) {
  DirectoryChanges changes;
  changes.m_is_complete =
      since == 0 || since < directory.m_discarded_removals_end;
  for (const auto& [id, known] : directory.m_endpoints) {
    if (!changes.m_is_complete && known.m_changed <= since) continue;
    *changes.m_entries.add_endpoints() = known.m_entry;
  }
  for (const auto& [id, removed] : directory.m_removed) {
    if (!changes.m_is_complete && removed.m_version <= since) continue;
    schema::RemovedEntry& entry = changes.m_removed.emplace_back();
    entry.set_id(id);
    entry.set_born_ms(removed.m_born_ms);
    entry.set_sequence(removed.m_sequence);
    entry.set_draining(removed.m_draining);
    entry.set_record_era(removed.m_era);
  }
  return changes;
}

}  // namespace comfreypaddle
