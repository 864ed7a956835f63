#ifndef COMFREYPADDLE_DIRECTORY_H_
#define COMFREYPADDLE_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "relay.pb.h"
#include "types.h"

namespace comfreypaddle {

// Grace period after a store outage for entries missing from the store. Entries
// whose lease expired during the outage are written again within it.
inline constexpr Duration kLapseGracePeriod = std::chrono::milliseconds(2200);

// Time from the first failed call to the store to its next answer beyond which
// it counts as an outage. It is longer than the pause between two reads of the
// list (0.6 s), so that one failed call is no outage, and short enough for an
// outage of 2.4 s, the shortest in which entries lapse: the first call in it
// fails after 1.6 s at the latest.
inline constexpr Duration kOutageThreshold = std::chrono::milliseconds(750);

// Time without an answer of the store to any instance that is known here, below
// which there was no outage in which entries lapse, whatever failed. An
// instance that alone is cut off learns of the answers to the others within a
// second.
inline constexpr Duration kMinOutageSilence = std::chrono::milliseconds(1800);

struct KnownEndpoint {
  schema::EndpointEntry m_entry;
  std::uint64_t m_changed = 0;  // List version of the last change.
  // Set while the entry is missing from the store but within the grace period.
  bool m_lapsed = false;
  Instant m_lapse_expires{};
};

// What an endpoint had reported in its last lifetime when its entry was
// removed.
struct RemovedEndpoint {
  std::uint64_t m_version = 0;  // Version of the list at the removal.
  std::uint64_t m_born_ms = 0;
  std::uint64_t m_sequence = 0;
  bool m_draining = false;
  std::uint64_t m_era = 0;  // Of the store, when its entry was read last.
};

// Endpoint list, versioned so that only changes need to be sent.
struct EndpointDirectory {
  std::map<std::string, KnownEndpoint, std::less<>> m_endpoints;
  Instant m_last_answer{};  // Last answer of the store to any instance.
  // First failed call to the store since that answer.
  std::optional<Instant> m_first_fault;
  // End of the grace period after an outage.
  Instant m_grace_ends{};
  // Increases with each change that affects routing.
  std::uint64_t m_version = 0;
  // Retained removals, and the version up to which removals have been
  // discarded.
  std::map<std::string, RemovedEndpoint, std::less<>> m_removed;
  std::uint64_t m_discarded_removals_end = 0;
};

// Changes of the endpoint list since a version.
struct DirectoryChanges {
  bool m_is_complete = false;  // The entries are the complete list.
  schema::EndpointList m_entries;
  // With a complete list, all that are remembered.
  std::vector<schema::RemovedEntry> m_removed;
};

// Records that a call to the store failed.
void OnStoreFault(EndpointDirectory& directory, Instant now);

// Records an answer of the store to this or another instance. The first one
// after an outage starts the grace period. Returns whether it did. Time without
// an answer is no outage by itself: this process or the instance that it
// follows may have been frozen. Nor are failed calls: this instance alone may
// be cut off.
bool OnStoreAnswer(EndpointDirectory& directory, Instant now);

// Starts the grace period of a store that has come back from a copy: entries
// that it has lost are written again.
void OnStoreRestored(EndpointDirectory& directory, Instant now);

// Whether the entry is of a lifetime of the endpoint before the one that is
// known, or was known when its entry was removed.
bool IsOfFormerLifetime(const EndpointDirectory& directory,
                        const schema::EndpointEntry& entry);

// Whether the entry is an older report of the endpoint than the one that is
// known. One that was removed returns with a higher sequence number only: its
// earlier reports may reach the store after the removal.
bool IsOutdated(const EndpointDirectory& directory,
                const schema::EndpointEntry& entry);

// Whether the entry is of a lifetime of the endpoint whose entry was removed in
// an older era of the store. A copy of the store may still have it, from before
// the removal; an endpoint that lives reports again.
bool IsFromBeforeRemoval(const EndpointDirectory& directory,
                         const schema::EndpointEntry& entry);

// Records what another instance knows of a removed endpoint's last report.
void LearnRemoval(EndpointDirectory& directory,
                  const schema::RemovedEntry& removal);

// Adds or updates an entry. An endpoint that drains does so until the end of
// its lifetime, whatever a later entry says. Returns whether a change affects
// routing.
bool UpsertEntry(EndpointDirectory& directory,
                 const schema::EndpointEntry& entry);

// Handles an entry that is missing from the store. During the grace period it
// is only marked as lapsed, unless it drains. Returns whether it was erased.
bool RemoveEntry(EndpointDirectory& directory, const std::string& id,
                 Instant now);

// Marks an entry as lapsed. It expires at ends unless it is updated.
void MarkEntryLapsed(EndpointDirectory& directory, const std::string& id,
                     Instant ends);

// Removes an entry at once. Returns whether it existed.
bool EraseEntry(EndpointDirectory& directory, const std::string& id);

// Removes lapsed entries whose grace period has ended. Returns their ids.
std::vector<std::string> ExpireEntries(EndpointDirectory& directory,
                                       Instant now);

// All entries, including draining and lapsed ones.
schema::EndpointList ListEntries(const EndpointDirectory& directory);

// Changes since a version, or the complete list if the version is zero or older
// than the retained removals.
DirectoryChanges ListChanges(const EndpointDirectory& directory,
                             std::uint64_t since);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DIRECTORY_H_
