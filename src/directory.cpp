#include "directory.h"

namespace comfreypaddle {

namespace {

// Whether two entries differ in what routing uses. The sequence alone changes
// with each heartbeat.
bool Differs(const schema::EndpointEntry& a, const schema::EndpointEntry& b) {
  return a.service() != b.service() || a.address() != b.address() ||
         a.zone() != b.zone() || a.slots() != b.slots() ||
         a.draining() != b.draining() || a.phase() != b.phase() ||
         a.cheap() != b.cheap() || a.born_ms() != b.born_ms() ||
         (a.leaves_ms() < 0) != (b.leaves_ms() < 0) ||
         (a.cold_ms() > 0) != (b.cold_ms() > 0);
}

}  // namespace

void OnStoreAnswer(Directory& directory, Instant now) {
  const bool first = directory.m_answered == Instant{};
  if (!first && now - directory.m_answered > kOutageTime) {
    directory.m_return_ends = now + kReturnTime;
  }
  directory.m_answered = now;
}

bool SetEntry(Directory& directory, const schema::EndpointEntry& entry) {
  const auto [place, fresh] =
      directory.m_endpoints.try_emplace(entry.id(), KnownEndpoint{entry});
  KnownEndpoint& known = place->second;
  const bool changed = fresh || known.m_lapsed || Differs(known.m_entry, entry);
  known.m_entry = entry;
  known.m_lapsed = false;
  return changed;
}

bool RemoveEntry(Directory& directory, const std::string& id, Instant now) {
  const auto found = directory.m_endpoints.find(id);
  if (found == directory.m_endpoints.end()) return false;
  if (now < directory.m_return_ends && !found->second.m_entry.draining()) {
    if (!found->second.m_lapsed) {
      found->second.m_lapsed = true;
      found->second.m_lapse_ends = directory.m_return_ends;
    }
    return false;
  }
  directory.m_endpoints.erase(found);
  return true;
}

bool ExpireEntries(Directory& directory, Instant now) {
  bool changed = false;
  for (auto at = directory.m_endpoints.begin();
       at != directory.m_endpoints.end();) {
    const bool expired = at->second.m_lapsed && now >= at->second.m_lapse_ends;
    at = expired ? directory.m_endpoints.erase(at) : std::next(at);
    changed = changed || expired;
  }
  return changed;
}

schema::EndpointList ListEntries(const Directory& directory) {
  schema::EndpointList list;
  for (const auto& [id, known] : directory.m_endpoints) {
    *list.add_endpoints() = known.m_entry;
  }
  return list;
}

}  // namespace comfreypaddle
