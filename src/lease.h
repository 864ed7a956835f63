#ifndef COMFREYPADDLE_LEASE_H_
#define COMFREYPADDLE_LEASE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// Names of duties. The orders of each fleet are a duty of their own.
inline constexpr std::string_view kOrdersDutyPrefix = "orders/";
inline constexpr std::string_view kCapacityDuty = "capacity";
inline constexpr std::string_view kUsageDuty = "usage";
inline constexpr std::string_view kSnapshotDuty = "snapshot";

// Largest deviation of a clock's rate from real time that the leases
// tolerate, in thousandths. The holder shortens and followers lengthen the
// term by it, so each of two clocks may be off by this much.
inline constexpr int kDriftPerMille = 20;

// Lease of one duty, as far as the log tells. After a release there is no
// holder, and the position is that of the release.
struct Lease {
  Writer m_holder;
  Position m_fencing_number = 0;  // Position of the tenure's first claim.
  Position m_position = 0;        // Last claim or release that took effect.
  Duration m_term{0};
  Instant m_read_at{};  // When this process read that record.
};

struct LeaseTable {
  std::map<std::string, Lease, std::less<>> m_leases;
};

struct LeaseOptions {
  Duration m_term{3'000'000};
  // Time before the end of the term at which the holder stops sending.
  Duration m_send_margin{500'000};
  // Time that an instance waits for each instance that ranks before it.
  Duration m_rank_period{500'000};
};

// Name of the duty that sends orders to endpoints of the fleet.
std::string OrdersDuty(std::string_view fleet);

// Folds a claim or release. It takes effect if it names the position that is
// in force; of several that do, the first one wins. A claim of the process
// that holds the lease continues its tenure; any other starts a new one.
// Returns kGranted, kHeldByOther, or kInvalid if the holder is not the writer.
Verdict FoldLease(LeaseTable& table, const Writer& writer,
                  const LeaseClaim& claim, Position position, Instant read_at);

const Lease* FindLease(const LeaseTable& table, std::string_view duty);

// Whether the process has the tenure with this number by the fold. Says
// nothing about time.
bool HasTenure(const LeaseTable& table, std::string_view duty,
               const Writer& writer, Position fencing_number);

// Last instant at which the holder may act. claimed_at is an instant before
// the claim in force was first sent.
Instant HolderDeadline(const Lease& lease, Instant claimed_at,
                       const LeaseOptions& options);

// Whether this process holds the lease and may act now.
bool MayAct(const Lease& lease, const Writer& self, Instant claimed_at,
            const LeaseOptions& options, Instant now);

// First instant at which another process may claim the lease.
Instant FollowerDeadline(const Lease& lease);

// Instant at which this process claims the lease or renews it. lease is null
// for a duty that nobody has claimed; such a duty counts from caught_up_at,
// when this process had read the log to its end. claimed_at as above; it
// matters only for the holder.
Instant NextClaimAt(const Lease* lease, const Writer& self, Instant claimed_at,
                    Instant caught_up_at, std::size_t rank,
                    const LeaseOptions& options);

// Claim that replaces the lease in force.
LeaseClaim MakeClaim(const Lease* lease, std::string_view duty,
                     const Writer& self, const LeaseOptions& options);

// Release of a lease that this process holds.
LeaseClaim MakeRelease(const Lease& lease, std::string_view duty);

// Rank of an instance for a duty by rendezvous hash, 0 being the first to
// claim. The instance itself need not be among the members.
std::size_t RankOf(std::string_view duty, std::string_view self,
                   const std::vector<std::string>& members);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LEASE_H_
