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

// Identifies a usage flush.
struct FlushId {
  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;

  bool operator<(const FlushId& other) const {
    return std::tie(m_instance, m_incarnation, m_sequence) <
           std::tie(other.m_instance, other.m_incarnation, other.m_sequence);
  }
};

// Backup of another instance's usage flush that is not yet known to be in the
// log.
struct PeerFlush {
  std::string m_bytes;         // As sent by its owner.
  Instant m_last_submitted{};  // Last handover to the journal.
};

// Usage flush of this instance that is not yet known to be in the log.
struct OwnFlush {
  std::string m_bytes;
  std::set<std::string> m_asked_peers;   // Peers that have not answered yet.
  std::set<std::string> m_backup_peers;  // Peers that confirmed a backup.
};

// Usage flushes that are not yet in the log: backups kept for other instances,
// and this instance's own flushes with the peers that keep backups of them.
struct UsageBackups {
  std::map<FlushId, PeerFlush> m_peer_flushes;
  std::map<FlushId, OwnFlush> m_own_flushes;
};

// Number of peers that keep a backup of each flush.
inline constexpr std::size_t kFlushBackups = 2;

// Stores a backup of a peer's flush. Returns false if the limit is reached.
bool StoreBackup(UsageBackups& state, const FlushId& id, std::string bytes);

// Removes a flush that is in the log. For a flush of this instance, returns the
// peers that keep a backup or were asked to.
std::vector<std::string> DropFlush(UsageBackups& state, const FlushId& id);

// Adds a flush of this instance that is about to be appended.
void AddOwnFlush(UsageBackups& state, const FlushId& id, std::string bytes);

// Selects the peers to ask for a backup of the flush from the candidates, and
// marks them as asked.
std::vector<std::string> SelectBackupPeers(
    OwnFlush& flush, const std::vector<std::string>& candidates);

// Records whether a peer that was asked keeps a backup.
void RecordBackupAnswer(UsageBackups& state, const FlushId& id,
                        const std::string& peer, bool held);

// Last known status of a flush's owner. An owner that is silent or has
// restarted with a higher incarnation cannot append the flush itself.
struct OwnerStatus {
  bool m_silent = false;
  std::uint64_t m_incarnation = 0;  // Highest known.
};

// Returns whether the backup has to be submitted to the journal now because its
// owner cannot append it, and records the time. Submissions are repeated at
// intervals until the flush is in the log.
bool ClaimOrphanedFlush(PeerFlush& flush, const FlushId& id,
                        const OwnerStatus& owner, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_USAGEBACKUP_H_
