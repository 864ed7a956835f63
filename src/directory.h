#ifndef COMFREYPADDLE_DIRECTORY_H_
#define COMFREYPADDLE_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "relay.pb.h"
#include "types.h"

namespace comfreypaddle {

// Time after the store's return for which an entry that is gone from it still
// counts: entries that lapsed during an outage come back within it.
inline constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

// Longest silence of the store that is no outage.
inline constexpr Duration kOutageTime = std::chrono::milliseconds(1500);

struct KnownEndpoint {
  schema::EndpointEntry m_entry;
  std::uint64_t m_changed = 0;  // Version of the list with its last change.
  // Set while the entry is gone from the store but may come back.
  bool m_lapsed = false;
  Instant m_lapse_ends{};
};

// Endpoints by the store's list.
struct Directory {
  std::map<std::string, KnownEndpoint, std::less<>> m_endpoints;
  Instant m_answered{};  // Last answer of the store.
  // End of the time after an outage in which lapsed entries may come back.
  Instant m_return_ends{};
  // Grows with each change that matters.
  std::uint64_t m_version = 0;
  // Versions with which endpoints were removed, as far as they are kept, and
  // the version up to which they are not.
  std::map<std::string, std::uint64_t, std::less<>> m_removed;
  std::uint64_t m_removed_before = 0;
};

// What changed in the list since a version.
struct DirectoryChanges {
  bool m_whole = false;  // The entries are the whole list.
  schema::EndpointList m_entries;
  std::vector<std::string> m_removed;
};

// Notes an answer of the store.
void OnStoreAnswer(Directory& directory, Instant now);

// Adds or updates an entry. Returns whether something that matters changed.
bool SetEntry(Directory& directory, const schema::EndpointEntry& entry);

// Handles an entry that is gone. After an outage it counts for a while.
// Returns whether the list of usable endpoints changed.
bool RemoveEntry(Directory& directory, const std::string& id, Instant now);

// Notes that an entry is gone and counts until then unless it comes back.
void LapseEntry(Directory& directory, const std::string& id, Instant ends);

// Removes an entry at once.
bool EraseEntry(Directory& directory, const std::string& id);

// Forgets entries that did not come back. Returns whether there were any.
bool ExpireEntries(Directory& directory, Instant now);

// Entries that may be used or drain.
schema::EndpointList ListEntries(const Directory& directory);

// Changes since that version; the whole list if it is zero or too old.
DirectoryChanges ListChanges(const Directory& directory, std::uint64_t since);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DIRECTORY_H_
