#ifndef COMFREYPADDLE_MEMBERSHIP_H_
#define COMFREYPADDLE_MEMBERSHIP_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Why an instance admits keyed requests or does not.
enum class AdmitReason {
  kFresh,        // The log's end was confirmed within the freshness time.
  kOnlyMember,   // No other instance could have accepted a revocation.
  kLogDown,      // The log answers in no region.
  kNotCaughtUp,  // The tables have not been read since the start.
  kLogAnswers,   // There may be changes that were not read here.
  kBehind,       // A peer read entries that were not read here.
  kRegionSilent  // No instance of some region said that the log is down.
};

template <>
struct EnumNames<AdmitReason> {
  static constexpr std::array<EnumName<AdmitReason>, 7> kTable{
      {{AdmitReason::kFresh, "fresh"},
       {AdmitReason::kOnlyMember, "only_member"},
       {AdmitReason::kLogDown, "log_down"},
       {AdmitReason::kNotCaughtUp, "not_caught_up"},
       {AdmitReason::kLogAnswers, "log_answers"},
       {AdmitReason::kBehind, "behind"},
       {AdmitReason::kRegionSilent, "region_silent"}}};
};

// How a peer is seen from here.
enum class PeerPhase { kUnknown, kHeard, kDraining, kSilent };

template <>
struct EnumNames<PeerPhase> {
  static constexpr std::array<EnumName<PeerPhase>, 4> kTable{
      {{PeerPhase::kUnknown, "unknown"},
       {PeerPhase::kHeard, "heard"},
       {PeerPhase::kDraining, "draining"},
       {PeerPhase::kSilent, "silent"}}};
};

// Statement of an instance that the log answers in its region. Statements are
// passed on, so that they reach instances without a connection to the region.
// Incarnation and sequence tell an old statement that comes round again from a
// new one; otherwise a statement could be renewed for ever on its way.
struct LogReachableStatement {
  std::string m_instance;
  std::string m_region;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  Duration m_age{0};  // Since the sender heard of it.
};

// What a peer says about itself.
struct PeerReport {
  std::string m_name;
  std::string m_region;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_next_offset = 0;  // Next log offset that it will read.
  // Highest next offset of any instance that it knows of.
  std::uint64_t m_known_offset = 0;
  bool m_log_reachable = false;
  // Age of its last confirmation of the log's end, itself or by relay.
  std::optional<Duration> m_log_age;
  bool m_draining = false;
  std::uint64_t m_sequence = 0;  // Grows with each report of an incarnation.
  std::vector<LogReachableStatement> m_regions;  // The latest of each region.
};

// What is known about one peer.
struct PeerInfo {
  std::string m_region;
  bool m_configured = false;  // It is in the settings; others only call here.
  std::uint64_t m_incarnation = 0;
  bool m_draining = false;
  std::optional<Instant> m_received_at;  // Last call or answer.
  // Last answered call, counted from before it was sent, because the answer
  // may have been held up for any time on its way.
  std::optional<Instant> m_last_answered_call;
  bool m_log_down = false;          // It said so in that answer.
  std::uint64_t m_next_offset = 0;  // In that answer.
  // Up to which offset, and when, the peer's answer confirmed the log's end.
  std::uint64_t m_confirmed_offset = 0;
  std::optional<Instant> m_confirmed;
  std::optional<Instant> m_failed;  // Last call without an answer.
};

// Statement that the log answers, and when it was first heard.
struct ReceivedStatement {
  LogReachableStatement m_statement;
  Instant m_received_at;
};

// Constants of one instance's membership.
struct MembershipOptions {
  std::string m_name;
  std::string m_region;
  Duration m_freshness = std::chrono::seconds(2);
  // A peer that is not heard for this time counts as silent.
  Duration m_silence = std::chrono::seconds(1);
};

// Membership as one instance sees it.
struct MembershipState {
  MembershipOptions m_options;
  std::map<std::string, PeerInfo> m_peers;
  // Last statement of each instance that the log answers.
  std::map<std::string, ReceivedStatement> m_log_statements;
  std::uint64_t m_next_offset = 0;
  std::uint64_t m_known_offset = 0;  // Highest next offset of any instance.
  bool m_log_reachable = false;
  std::optional<Instant> m_confirmed;  // By this instance's own read.
  bool m_caught_up = false;
  bool m_draining = false;
};

// Peer in the settings.
struct ConfiguredPeer {
  std::string m_name;
  std::string m_region;
};

// What this instance's journal says about the log.
struct LocalLogStatus {
  std::uint64_t m_next_offset = 0;
  bool m_reachable = false;
  std::optional<Instant> m_confirmed;
  bool m_caught_up = false;
};

// Permission to admit keyed requests. An open one lapses at m_until if no
// further report arrives.
struct Admission {
  bool m_open = false;
  AdmitReason m_reason = AdmitReason::kNotCaughtUp;
  Instant m_until{};
};

MembershipState MakeMembership(MembershipOptions options,
                               const std::vector<ConfiguredPeer>& peers);

void OnLocalLogStatus(MembershipState& state, const LocalLogStatus& log);

// Takes what a peer said when it called here.
void OnPeerCall(MembershipState& state, const PeerReport& report, Instant now);

// Takes a peer's answer to the call that was sent at the given time. Reports
// of an earlier incarnation are ignored.
void OnPeerResponse(MembershipState& state, const PeerReport& report,
                    Instant sent, Instant now);

// Takes note of a call that got no answer.
void OnPeerFailure(MembershipState& state, const std::string& peer,
                   Instant now);

// Returns when the log's end was last confirmed, by this instance or by a
// peer whose entries have all been read here.
std::optional<Instant> LastConfirmed(const MembershipState& state);

// Decides whether keyed requests may be admitted.
Admission DecideAdmission(const MembershipState& state, Instant now);

// Decides whether configuration writes may be accepted: the log must answer
// here, and a peer must too, so that an instance that was cut off from all
// others does not take writes, unless there are no others.
bool MayAcceptWrites(const MembershipState& state, Instant now);

PeerPhase PeerPhaseOf(const MembershipState& state, const std::string& peer,
                      Instant now);

// Returns the peers to send heartbeats to. Up to kMaxFullMeshInstances
// instances all send to all. Above that each sends to two neighbours in the
// ring of its region and to one instance of each other region, because a full
// mesh would exceed the traffic allowed for control. Peers that did not answer
// lately are replaced by the next in rank.
std::vector<std::string> HeartbeatTargets(const MembershipState& state,
                                          Instant now);

inline constexpr std::size_t kMaxFullMeshInstances = 16;

// Tells whether all instances send heartbeats to all.
bool IsFullMesh(const MembershipState& state);

// Returns up to two of the heartbeat targets that are heard and not draining,
// to hold usage: if possible one in this region and one in another.
std::vector<std::string> UsageHolderTargets(const MembershipState& state,
                                            Instant now);

// Returns the peer to ask for log entries: the one that is furthest ahead, if
// this instance's own reads do not confirm the log's end.
std::optional<std::string> RelaySource(const MembershipState& state,
                                       Instant now);

// Returns what this instance says about itself.
PeerReport MakePeerReport(const MembershipState& state,
                          std::uint64_t incarnation, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_MEMBERSHIP_H_
