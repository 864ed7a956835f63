#include "directory.h"

#include <utility>

namespace comfreypaddle {

namespace {

// Removals retained for followers that request changes.
constexpr std::size_t kMaxRetainedRemovals = 512;

// Whether two entries differ in a field that routing uses. The sequence number
// alone changes with each heartbeat.
bool DiffersForRouting(const schema::EndpointEntry& a,
                       const schema::EndpointEntry& b) {
  return a.service() != b.service() || a.address() != b.address() ||
         a.zone() != b.zone() || a.slots() != b.slots() ||
         a.draining() != b.draining() || a.phase() != b.phase() ||
         a.cheap() != b.cheap() || a.born_ms() != b.born_ms() ||
         (a.leaves_ms() < 0) != (b.leaves_ms() < 0) ||
         (a.cold_ms() > 0) != (b.cold_ms() > 0);
}

// Records a removal under a new version of the list.
void RecordRemoval(EndpointDirectory& directory, const std::string& id) {
  directory.m_removed[id] = ++directory.m_version;
  if (directory.m_removed.size() <= kMaxRetainedRemovals) return;
  directory.m_removed.clear();
  directory.m_discarded_removals_end = directory.m_version;
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

bool UpsertEntry(EndpointDirectory& directory,
                 const schema::EndpointEntry& entry) {
  const auto [place, inserted] =
      directory.m_endpoints.try_emplace(entry.id(), KnownEndpoint{entry});
  KnownEndpoint& known = place->second;
  const bool changed =
      inserted || known.m_lapsed || DiffersForRouting(known.m_entry, entry);
  known.m_entry = entry;
  known.m_lapsed = false;
  if (changed) {
    known.m_changed = ++directory.m_version;
    directory.m_removed.erase(entry.id());
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
  if (directory.m_endpoints.erase(id) == 0) return false;
  RecordRemoval(directory, id);
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
      RecordRemoval(directory, at->first);
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
  if (changes.m_is_complete) return changes;
  for (const auto& [id, version] : directory.m_removed) {
    if (version > since) changes.m_removed.push_back(id);
  }
  return changes;
}

}  // namespace comfreypaddle
