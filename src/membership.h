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

// Reason why an instance does or does not admit keyed requests.
enum class AdmissionReason {
  kFresh,        // The log's end was confirmed within the freshness limit.
  kOnlyMember,   // No other instance could have accepted a revocation.
  kLogDown,      // The log is unreachable in all regions.
  kNotCaughtUp,  // The tables have not been read since the start.
  kLogAnswers,   // The log is reachable; there may be unread changes.
  kBehind,       // A peer has read entries that are unread here.
  kRegionSilent  // Some region has not reported the log as unreachable.
};

template <>
struct EnumNames<AdmissionReason> {
  static constexpr std::array<EnumName<AdmissionReason>, 7> kTable{
      {{AdmissionReason::kFresh, "fresh"},
       {AdmissionReason::kOnlyMember, "only_member"},
       {AdmissionReason::kLogDown, "log_down"},
       {AdmissionReason::kNotCaughtUp, "not_caught_up"},
       {AdmissionReason::kLogAnswers, "log_answers"},
       {AdmissionReason::kBehind, "behind"},
       {AdmissionReason::kRegionSilent, "region_silent"}}};
};

// Status of a peer as seen by this instance.
enum class PeerPhase { kUnknown, kHeard, kDraining, kSilent };

template <>
struct EnumNames<PeerPhase> {
  static constexpr std::array<EnumName<PeerPhase>, 4> kTable{
      {{PeerPhase::kUnknown, "unknown"},
       {PeerPhase::kHeard, "heard"},
       {PeerPhase::kDraining, "draining"},
       {PeerPhase::kSilent, "silent"}}};
};

// Statement of an instance that the log is reachable in its region. Statements
// are forwarded by gossip, so that they reach instances without a connection to
// that region. Incarnation and sequence distinguish a repeated statement from a
// new one; otherwise a circulating statement could be renewed forever.
struct LogReachableStatement {
  std::string m_instance;
  std::string m_region;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  Duration m_age{0};  // Time since the sender received it.
};

// State that a peer reports about itself.
struct PeerReport {
  std::string m_name;
  std::string m_region;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_next_offset = 0;  // Next log offset to read.
  // Highest next offset known of any instance.
  std::uint64_t m_known_offset = 0;
  bool m_log_reachable = false;
  // Age of the last confirmation of the log's end, by its own read or by relay.
  std::optional<Duration> m_log_age;
  bool m_draining = false;
  std::uint64_t m_sequence =
      0;  // Increases with each report of an incarnation.
  std::vector<LogReachableStatement>
      m_regions;  // Latest statement of each region.
};

// State of one peer as known to this instance.
struct PeerInfo {
  std::string m_region;
  bool m_configured =
      false;  // Listed in the settings; other peers only call in.
  std::uint64_t m_incarnation = 0;
  bool m_draining = false;
  std::optional<Instant> m_received_at;  // Last call or response.
  // Send time of the last answered call. The send time is used because the
  // response may have been delayed arbitrarily.
  std::optional<Instant> m_last_answered_call;
  bool m_log_down = false;          // As stated in that response.
  std::uint64_t m_next_offset = 0;  // As stated in that response.
  // Offset and time at which the peer's response confirmed the log's end.
  std::uint64_t m_confirmed_offset = 0;
  std::optional<Instant> m_confirmed;
  std::optional<Instant> m_failed;  // Last call without a response.
};

// Statement that the log is reachable, and its time of receipt less its age.
struct ReceivedStatement {
  LogReachableStatement m_statement;
  Instant m_received_at;
};

// Fixed parameters of membership.
struct MembershipOptions {
  std::string m_name;
  std::string m_region;
  Duration m_freshness = std::chrono::seconds(2);
  // A peer from which nothing is received for this time counts as silent.
  Duration m_silence = std::chrono::seconds(1);
};

// Membership as seen by one instance.
struct MembershipState {
  MembershipOptions m_options;
  std::map<std::string, PeerInfo> m_peers;
  // Last statement of each instance that the log is reachable.
  std::map<std::string, ReceivedStatement> m_log_statements;
  std::uint64_t m_next_offset = 0;
  std::uint64_t m_known_offset = 0;  // Highest next offset of any instance.
  bool m_log_reachable = false;
  std::optional<Instant> m_confirmed;  // By this instance's own read.
  bool m_caught_up = false;
  bool m_draining = false;
};

// Peer listed in the settings.
struct ConfiguredPeer {
  std::string m_name;
  std::string m_region;
};

// Status of the log as reported by this instance's journal.
struct LocalLogStatus {
  std::uint64_t m_next_offset = 0;
  bool m_reachable = false;
  std::optional<Instant> m_confirmed;
  bool m_caught_up = false;
};

// Permission to admit keyed requests. An open one expires at m_until unless a
// further report renews it.
struct Admission {
  bool m_open = false;
  AdmissionReason m_reason = AdmissionReason::kNotCaughtUp;
  Instant m_until{};
};

MembershipState MakeMembership(MembershipOptions options,
                               const std::vector<ConfiguredPeer>& peers);

void OnLocalLogStatus(MembershipState& state, const LocalLogStatus& log);

// Processes the report in a call from a peer.
void OnPeerCall(MembershipState& state, const PeerReport& report, Instant now);

// Processes a peer's response to the call sent at `sent`. Reports of an earlier
// incarnation are ignored.
void OnPeerResponse(MembershipState& state, const PeerReport& report,
                    Instant sent, Instant now);

// Records a call without a response.
void OnPeerFailure(MembershipState& state, const std::string& peer,
                   Instant now);

// Returns when the log's end was last confirmed, by this instance or by a peer
// whose entries have all been read here.
std::optional<Instant> LastConfirmed(const MembershipState& state);

// Decides whether keyed requests may be admitted.
Admission DecideAdmission(const MembershipState& state, Instant now);

// Returns true if configuration writes may be accepted. Both the log and a peer
// must respond, so that a partitioned instance accepts no writes. A peer is not
// required if none is configured.
bool MayAcceptWrites(const MembershipState& state, Instant now);

PeerPhase PeerPhaseOf(const MembershipState& state, const std::string& peer,
                      Instant now);

// Returns the peers to send heartbeats to. Up to kMaxFullMeshInstances, all
// instances send to all others. Above that, each sends to two neighbours on the
// ring of its region and to one instance of each other region, because a full
// mesh would exceed the traffic budget of the control plane. Peers that failed
// recently are replaced by the next in rank.
std::vector<std::string> HeartbeatTargets(const MembershipState& state,
                                          Instant now);

inline constexpr std::size_t kMaxFullMeshInstances = 16;

// Returns true if all instances send heartbeats to all others.
bool IsFullMesh(const MembershipState& state);

// Returns up to two heartbeat targets, heard and not draining, that hold copies
// of usage: if possible one in this region and one in another.
std::vector<std::string> UsageHolderTargets(const MembershipState& state,
                                            Instant now);

// Returns the peer to request log entries from if this instance's own reads do
// not confirm the log's end: the one with the highest offset.
std::optional<std::string> RelaySource(const MembershipState& state,
                                       Instant now);

// Returns the report of this instance.
PeerReport MakePeerReport(const MembershipState& state,
                          std::uint64_t incarnation, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_MEMBERSHIP_H_
