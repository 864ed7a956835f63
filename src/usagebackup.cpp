#include "usagebackup.h"

#include <utility>

namespace comfreypaddle {
namespace {

// Covers an outage of one hour with 5 peers that each send one flush per
// second. At 1 KB per flush this takes 20 MB.
constexpr std::size_t kMaxBackups = 20'000;
constexpr Duration kResubmitInterval = std::chrono::seconds(10);

}  // namespace

bool StoreBackup(UsageBackups& state, const FlushId& id, std::string bytes) {
  if (state.m_peer_flushes.size() >= kMaxBackups &&
      state.m_peer_flushes.count(id) == 0) {
    return false;
  }
  state.m_peer_flushes[id].m_bytes = std::move(bytes);
  return true;
}

std::vector<std::string> DropFlush(UsageBackups& state, const FlushId& id) {
  state.m_peer_flushes.erase(id);
  const auto own = state.m_own_flushes.find(id);
  if (own == state.m_own_flushes.end()) return {};
  std::set<std::string> holders = std::move(own->second.m_backup_peers);
  holders.insert(own->second.m_asked_peers.begin(),
                 own->second.m_asked_peers.end());
  state.m_own_flushes.erase(own);
  return {holders.begin(), holders.end()};
}

void AddOwnFlush(UsageBackups& state, const FlushId& id, std::string bytes) {
  state.m_own_flushes[id].m_bytes = std::move(bytes);
}

std::vector<std::string> SelectBackupPeers(
    OwnFlush& flush, const std::vector<std::string>& candidates) {
  std::vector<std::string> asked;
  for (const std::string& peer : candidates) {
    if (flush.m_backup_peers.size() + flush.m_asked_peers.size() >=
        kFlushBackups)
      break;
    if (flush.m_backup_peers.count(peer) > 0) continue;
    if (flush.m_asked_peers.insert(peer).second) asked.push_back(peer);
  }
  return asked;
}

void RecordBackupAnswer(UsageBackups& state, const FlushId& id,
                        const std::string& peer, bool held) {
  const auto own = state.m_own_flushes.find(id);
  if (own == state.m_own_flushes.end()) return;
  own->second.m_asked_peers.erase(peer);
  if (held) own->second.m_backup_peers.insert(peer);
}

bool ClaimOrphanedFlush(PeerFlush& flush, const FlushId& id,
                        const OwnerStatus& owner, Instant now) {
  if (!owner.m_silent && owner.m_incarnation <= id.m_incarnation) return false;
  if (flush.m_last_submitted != Instant{} &&
      now - flush.m_last_submitted < kResubmitInterval) {
    return false;
  }
  flush.m_last_submitted = now;
  return true;
}

}  // namespace comfreypaddle
