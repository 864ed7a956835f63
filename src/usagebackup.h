#ifndef COMFREYPADDLE_USAGEBACKUP_H_
#define COMFREYPADDLE_USAGEBACKUP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Names one usage flush.
struct FlushId {
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;

  bool operator<(const FlushId& other) const {
    return std::tie(m_instance, m_incarnation, m_sequence) <
           std::tie(other.m_instance, other.m_incarnation, other.m_sequence);
  }
};

// Usage flush of another instance that is not known to be in the log.
struct PeerFlush {
  std::string m_bytes;         // As its owner sent it.
  Instant m_last_submitted{};  // Last time it was given to the journal.
};

// Usage flush of this instance that is not known to be in the log.
struct OwnFlush {
  std::string m_bytes;
  std::set<std::string> m_asked_peers;   // Peers with an open call.
  std::set<std::string> m_backup_peers;  // Peers that said that they hold it.
};

// Usage that waits to be in the log: of others, held here, and of this
// instance, held by peers.
struct UsageBackups {
  std::map<FlushId, PeerFlush> m_peer_flushes;
  std::map<FlushId, OwnFlush> m_own_flushes;
};

// Number of peers that hold each flush.
inline constexpr std::size_t kFlushBackups = 2;

// Keeps a flush for its owner. False if the store is full.
bool StoreBackup(UsageBackups& state, const FlushId& id, std::string bytes);

// Forgets a flush that is in the log. Returns the peers that hold it if it is
// one of this instance's.
std::vector<std::string> DropFlush(UsageBackups& state, const FlushId& id);

// Notes a flush of this instance that is on its way to the log.
void AddOwnFlush(UsageBackups& state, const FlushId& id, std::string bytes);

// Returns the peers to ask now to hold the flush, of these candidates, and
// notes that they were asked.
std::vector<std::string> SelectBackupPeers(
    OwnFlush& flush, const std::vector<std::string>& candidates);

// Takes the answer of a peer that was asked.
void RecordBackupAnswer(UsageBackups& state, const FlushId& id,
                        const std::string& peer, bool held);

// Tells whether a flush's owner cannot append it itself any more: it is silent
// or has been started again.
struct OwnerStatus {
  bool m_silent = false;
  std::uint64_t m_incarnation = 0;  // Latest known.
};

// Returns whether the held flush has to be given to the journal now, and notes
// that it was. It is given again from time to time until it is in the log.
bool ClaimOrphanedFlush(PeerFlush& flush, const FlushId& id,
                        const OwnerStatus& owner, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGEBACKUP_H_
