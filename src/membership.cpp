#include "membership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace comfreypaddle {
namespace {

// Ring neighbours in the region that get heartbeats without a full mesh.
constexpr std::size_t kRingNeighbours = 2;
constexpr std::size_t kMaxUsageHolders = 2;
// Retention of statements; much longer than a statement can be in transit.
constexpr Duration kStatementRetention = std::chrono::minutes(10);
// Time after which a failed peer regains its rank.
constexpr Duration kFailedPeerBackoff = std::chrono::seconds(10);

// FNV-1a, so that all instances and versions compute the same ranking.
std::uint64_t Hash(std::string_view text) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  // FNV mixes the last bytes too weakly for a ranking; this is a finalizer.
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33U);
}

bool Within(std::optional<Instant> time, Duration span, Instant now) {
  return time && now - *time < span;
}

void RaiseToMax(std::optional<Instant>& time, Instant value) {
  if (!time || *time < value) time = value;
}

// Stores a statement that the log is reachable unless it is already known.
void StoreStatement(MembershipState& state,
                    const LogReachableStatement& statement, Instant now) {
  if (statement.m_instance == state.m_options.m_name) return;
  const auto [found, first] =
      state.m_log_statements.try_emplace(statement.m_instance);
  const LogReachableStatement& known = found->second.m_statement;
  const bool newer = std::tie(statement.m_incarnation, statement.m_sequence) >
                     std::tie(known.m_incarnation, known.m_sequence);
  if (!first && !newer) return;
  found->second = {statement, now - statement.m_age};
}

// Removes statements of instances that have been replaced.
void RemoveOldStatements(MembershipState& state, Instant now) {
  for (auto it = state.m_log_statements.begin();
       it != state.m_log_statements.end();) {
    const bool old = now - it->second.m_received_at > kStatementRetention;
    it = old ? state.m_log_statements.erase(it) : std::next(it);
  }
}

// Processes the parts of a report that are common to calls and responses.
// Returns null for a report of this instance itself or of an earlier
// incarnation.
PeerInfo* ProcessReport(MembershipState& state, const PeerReport& report,
                        Instant now) {
  if (report.m_name == state.m_options.m_name) return nullptr;
  PeerInfo& peer = state.m_peers[report.m_name];
  if (report.m_incarnation < peer.m_incarnation) return nullptr;
  if (!peer.m_configured) peer.m_region = report.m_region;
  peer.m_incarnation = report.m_incarnation;
  peer.m_draining = report.m_draining;
  peer.m_received_at = now;
  state.m_known_offset = std::max(
      {state.m_known_offset, report.m_next_offset, report.m_known_offset});
  if (report.m_log_reachable) {
    StoreStatement(
        state,
        {report.m_name, peer.m_region, report.m_incarnation, report.m_sequence},
        now);
  }
  for (const LogReachableStatement& statement : report.m_regions) {
    StoreStatement(state, statement, now);
  }
  RemoveOldStatements(state, now);
  return &peer;
}

// Returns the latest statement of each region within the freshness limit.
std::vector<LogReachableStatement> LatestOfEachRegion(
    const MembershipState& state, Instant now) {
  std::map<std::string, const ReceivedStatement*> latest;
  for (const auto& [instance, answers] : state.m_log_statements) {
    if (now - answers.m_received_at >= state.m_options.m_freshness) continue;
    const ReceivedStatement*& best = latest[answers.m_statement.m_region];
    if (best == nullptr || best->m_received_at < answers.m_received_at)
      best = &answers;
  }
  std::vector<LogReachableStatement> statements;
  for (const auto& [region, answers] : latest) {
    statements.push_back(answers->m_statement);
    statements.back().m_age =
        std::max(now - answers->m_received_at, Duration(0));
  }
  return statements;
}

bool HasListedPeers(const MembershipState& state) {
  return std::any_of(
      state.m_peers.begin(), state.m_peers.end(),
      [](const auto& entry) { return entry.second.m_configured; });
}

// Returns the latest time at which a peer of the region is known to have
// reported that the log is unreachable there.
std::optional<Instant> LastLogDown(const MembershipState& state,
                                   const std::string& region) {
  std::optional<Instant> latest;
  for (const auto& [name, peer] : state.m_peers) {
    if (!peer.m_configured || peer.m_region != region) continue;
    if (peer.m_log_down && peer.m_last_answered_call)
      RaiseToMax(latest, *peer.m_last_answered_call);
  }
  return latest;
}

// Decides for an instance that did not confirm the log's end in time: it may
// continue only if no other instance can have read or written the log.
Admission DecideWithoutLog(const MembershipState& state, Instant now) {
  const Duration freshness = state.m_options.m_freshness;
  if (!HasListedPeers(state)) {
    return {true, AdmissionReason::kOnlyMember, now + freshness};
  }
  if (state.m_log_reachable) return {false, AdmissionReason::kLogAnswers, {}};
  for (const auto& [instance, answers] : state.m_log_statements) {
    if (now - answers.m_received_at < freshness) {
      return {false, AdmissionReason::kLogAnswers, {}};
    }
  }
  // The log may have been reachable elsewhere before the outage, so reports of
  // the outage do not cover entries that only others have read.
  if (state.m_known_offset > state.m_next_offset) {
    return {false, AdmissionReason::kBehind, {}};
  }
  Instant until = Instant::max();
  for (const auto& [name, peer] : state.m_peers) {
    if (!peer.m_configured) continue;
    const auto down = LastLogDown(state, peer.m_region);
    if (!Within(down, freshness, now)) {
      return {false, AdmissionReason::kRegionSilent, {}};
    }
    until = std::min(until, *down + freshness);
  }
  return {true, AdmissionReason::kLogDown, until};
}

// Peers that failed recently rank after the others.
bool FailedRecently(const PeerInfo& peer, Instant now) {
  return Within(peer.m_failed, kFailedPeerBackoff, now);
}

// Peer with its rank for this instance: the ring distance within the region,
// else a hash of both names.
struct RankedPeer {
  bool m_failed = false;
  std::uint64_t m_rank = 0;
  std::string m_name;
};

void SortByRank(std::vector<RankedPeer>& peers) {
  std::sort(peers.begin(), peers.end(),
            [](const RankedPeer& a, const RankedPeer& b) {
              return std::tie(a.m_failed, a.m_rank, a.m_name) <
                     std::tie(b.m_failed, b.m_rank, b.m_name);
            });
}

std::map<std::string, std::vector<RankedPeer>> RankByRegion(
    const MembershipState& state, Instant now) {
  const std::string& own = state.m_options.m_name;
  std::map<std::string, std::vector<RankedPeer>> regions;
  for (const auto& [name, peer] : state.m_peers) {
    if (!peer.m_configured) continue;
    const bool ring = peer.m_region == state.m_options.m_region;
    const std::uint64_t rank =
        ring ? Hash(name) - Hash(own) : Hash(own + "/" + name);
    regions[peer.m_region].push_back({FailedRecently(peer, now), rank, name});
  }
  for (auto& [region, peers] : regions) SortByRank(peers);
  return regions;
}

}  // namespace

MembershipState MakeMembership(MembershipOptions options,
                               const std::vector<ConfiguredPeer>& peers) {
  MembershipState state;
  state.m_options = std::move(options);
  for (const ConfiguredPeer& listed : peers) {
    PeerInfo& peer = state.m_peers[listed.m_name];
    peer.m_region = listed.m_region;
    peer.m_configured = true;
  }
  return state;
}

void OnLocalLogStatus(MembershipState& state, const LocalLogStatus& log) {
  state.m_next_offset = log.m_next_offset;
  state.m_known_offset = std::max(state.m_known_offset, log.m_next_offset);
  state.m_log_reachable = log.m_reachable;
  if (log.m_confirmed) RaiseToMax(state.m_confirmed, *log.m_confirmed);
  state.m_caught_up = log.m_caught_up;
}

void OnPeerCall(MembershipState& state, const PeerReport& report, Instant now) {
  ProcessReport(state, report, now);
}

void OnPeerResponse(MembershipState& state, const PeerReport& report,
                    Instant sent, Instant now) {
  PeerInfo* peer = ProcessReport(state, report, now);
  if (peer == nullptr) return;
  if (peer->m_last_answered_call && sent < *peer->m_last_answered_call) return;
  peer->m_last_answered_call = sent;
  peer->m_failed.reset();
  peer->m_log_down = !report.m_log_reachable;
  peer->m_next_offset = report.m_next_offset;
  if (!report.m_log_age) return;
  peer->m_confirmed = sent - *report.m_log_age;
  peer->m_confirmed_offset = report.m_next_offset;
}

void OnPeerFailure(MembershipState& state, const std::string& peer,
                   Instant now) {
  const auto found = state.m_peers.find(peer);
  if (found != state.m_peers.end()) found->second.m_failed = now;
}

std::optional<Instant> LastConfirmed(const MembershipState& state) {
  std::optional<Instant> latest = state.m_confirmed;
  for (const auto& [name, peer] : state.m_peers) {
    if (!peer.m_confirmed) continue;
    if (peer.m_confirmed_offset > state.m_next_offset) continue;
    RaiseToMax(latest, *peer.m_confirmed);
  }
  return latest;
}

Admission DecideAdmission(const MembershipState& state, Instant now) {
  if (!state.m_caught_up) return {false, AdmissionReason::kNotCaughtUp, {}};
  const auto confirmed = LastConfirmed(state);
  if (Within(confirmed, state.m_options.m_freshness, now)) {
    return {true, AdmissionReason::kFresh,
            *confirmed + state.m_options.m_freshness};
  }
  return DecideWithoutLog(state, now);
}

bool MayAcceptWrites(const MembershipState& state, Instant now) {
  const Duration freshness = state.m_options.m_freshness;
  if (!state.m_caught_up || !state.m_log_reachable) return false;
  if (!Within(state.m_confirmed, freshness, now)) return false;
  if (!HasListedPeers(state)) return true;
  return std::any_of(
      state.m_peers.begin(), state.m_peers.end(), [&](const auto& entry) {
        return Within(entry.second.m_last_answered_call, freshness, now);
      });
}

PeerPhase PeerPhaseOf(const MembershipState& state, const std::string& peer,
                      Instant now) {
  const auto found = state.m_peers.find(peer);
  if (found == state.m_peers.end() || !found->second.m_received_at) {
    return PeerPhase::kUnknown;
  }
  if (!Within(found->second.m_received_at, state.m_options.m_silence, now)) {
    return PeerPhase::kSilent;
  }
  return found->second.m_draining ? PeerPhase::kDraining : PeerPhase::kHeard;
}

bool IsFullMesh(const MembershipState& state) {
  const auto listed = std::count_if(
      state.m_peers.begin(), state.m_peers.end(),
      [](const auto& entry) { return entry.second.m_configured; });
  return static_cast<std::size_t>(listed) + 1 <= kMaxFullMeshInstances;
}

std::vector<std::string> HeartbeatTargets(const MembershipState& state,
                                          Instant now) {
  const auto regions = RankByRegion(state, now);
  const bool full_mesh = IsFullMesh(state);
  std::vector<std::string> targets;
  for (const auto& [region, peers] : regions) {
    const bool own = region == state.m_options.m_region;
    std::size_t wanted = own ? kRingNeighbours : 1;
    if (full_mesh) wanted = peers.size();
    wanted = std::min(wanted, peers.size());
    for (std::size_t i = 0; i < wanted; ++i) targets.push_back(peers[i].m_name);
  }
  return targets;
}

std::vector<std::string> UsageHolderTargets(const MembershipState& state,
                                            Instant now) {
  std::vector<std::string> candidates;
  for (const std::string& name : HeartbeatTargets(state, now)) {
    if (PeerPhaseOf(state, name, now) == PeerPhase::kHeard) {
      candidates.push_back(name);
    }
  }
  const auto region_of = [&state](const std::string& name) {
    return state.m_peers.at(name).m_region;
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const std::string& a, const std::string& b) {
              const std::string& own = state.m_options.m_region;
              return std::make_tuple(region_of(a) != own, Hash(a)) <
                     std::make_tuple(region_of(b) != own, Hash(b));
            });
  // First one holder per region, then any others.
  std::vector<std::string> holders;
  std::set<std::string> regions;
  for (const bool any_region : {false, true}) {
    for (const std::string& name : candidates) {
      if (holders.size() == kMaxUsageHolders) return holders;
      const bool taken = std::count(holders.begin(), holders.end(), name) > 0;
      if (taken) continue;
      if (regions.insert(region_of(name)).second || any_region) {
        holders.push_back(name);
      }
    }
  }
  return holders;
}

std::optional<std::string> RelaySource(const MembershipState& state,
                                       Instant now) {
  const Duration freshness = state.m_options.m_freshness;
  // Half of the freshness limit, so that the entries arrive before it ends.
  if (Within(state.m_confirmed, freshness / 2, now)) return std::nullopt;
  std::optional<std::string> best;
  std::uint64_t best_offset = state.m_next_offset;
  for (const auto& [name, peer] : state.m_peers) {
    if (!peer.m_configured ||
        !Within(peer.m_last_answered_call, freshness, now))
      continue;
    if (peer.m_next_offset <= best_offset) continue;
    best = name;
    best_offset = peer.m_next_offset;
  }
  return best;
}

PeerReport MakePeerReport(const MembershipState& state,
                          std::uint64_t incarnation, Instant now) {
  PeerReport report;
  report.m_name = state.m_options.m_name;
  report.m_region = state.m_options.m_region;
  report.m_incarnation = incarnation;
  report.m_next_offset = state.m_next_offset;
  report.m_known_offset = state.m_known_offset;
  report.m_log_reachable = state.m_log_reachable;
  if (const auto confirmed = LastConfirmed(state)) {
    report.m_log_age = std::max(now - *confirmed, Duration(0));
  }
  report.m_draining = state.m_draining;
  report.m_sequence =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
  report.m_regions = LatestOfEachRegion(state, now);
  return report;
}

}  // namespace comfreypaddle
