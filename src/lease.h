#ifndef COMFREYPADDLE_LEASE_H_
#define COMFREYPADDLE_LEASE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// Names of duties. Each fleet has an order duty of its own.
inline constexpr std::string_view kOrdersDutyPrefix = "orders/";
inline constexpr std::string_view kCapacityDuty = "capacity";
inline constexpr std::string_view kUsageDuty = "usage";
inline constexpr std::string_view kSnapshotDuty = "snapshot";

// Maximum clock rate error that the leases tolerate, in thousandths. The holder
// shortens the term by it and followers lengthen it, so each of two clocks may
// be off by this much.
inline constexpr int kDriftPerMille = 20;

// State of one duty's lease according to the log. After a release there is no
// holder, and the position is that of the release.
struct Lease {
  Writer m_holder;
  // Log position of the claim with which the holder acquired the lease.
  Position m_fencing_number = 0;
  // Log position of the last accepted claim or release.
  Position m_position = 0;
  Duration m_term{0};
  Instant m_read_at{};  // When this process read that claim or release.
};

struct LeaseTable {
  std::map<std::string, Lease, std::less<>> m_leases;
};

struct LeaseOptions {
  Duration m_term{3'000'000};
  // The holder stops sending this long before the end of the term.
  Duration m_send_margin{500'000};
  // Additional wait per instance that ranks before this one.
  Duration m_rank_period{500'000};
};

std::string OrdersDuty(std::string_view fleet);

// Applies a claim or release. It is accepted if `m_supersedes` equals the
// current position, so the first of several concurrent ones wins. A claim by
// the current holder renews the lease and keeps the fencing number; a claim by
// any other process gets a new one. Returns kGranted, kHeldByOther, or kInvalid
// if the holder is not the writer.
Verdict ApplyLeaseClaim(LeaseTable& table, const Writer& writer,
                        const LeaseClaim& claim, Position position,
                        Instant read_at);

const Lease* FindLease(const LeaseTable& table, std::string_view duty);

// Whether, according to the log, the process holds the lease with this fencing
// number. Does not consider expiry.
bool HoldsLease(const LeaseTable& table, std::string_view duty,
                const Writer& writer, Position fencing_number);

// End of the time in which the holder may act. `claimed_at` is an instant
// before the current claim was first sent.
Instant HolderDeadline(const Lease& lease, Instant claimed_at,
                       const LeaseOptions& options);

// Whether this process holds the lease and may act now.
bool MayAct(const Lease& lease, const Writer& self, Instant claimed_at,
            const LeaseOptions& options, Instant now);

// Earliest time at which another process may claim the lease.
Instant FollowerDeadline(const Lease& lease);

// Time at which this process should claim or renew the lease. `lease` is null
// for a duty that was never claimed; the wait then starts at `caught_up_at`,
// when this process had read the log to its end. `claimed_at` is as above and
// only matters to the holder.
Instant NextClaimAt(const Lease* lease, const Writer& self, Instant claimed_at,
                    Instant caught_up_at, std::size_t rank,
                    const LeaseOptions& options);

// Creates a claim that supersedes the current lease.
LeaseClaim MakeClaim(const Lease* lease, std::string_view duty,
                     const Writer& self, const LeaseOptions& options);

// Creates a release of a lease that this process holds.
LeaseClaim MakeRelease(const Lease& lease, std::string_view duty);

// Rank of an instance for a duty by rendezvous hashing; rank 0 claims first.
// `self` need not be among the members.
std::size_t RankOf(std::string_view duty, std::string_view self,
                   const std::vector<std::string>& members);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LEASE_H_
