#include "lease.h"

#include <xxhash.h>

#include <algorithm>

namespace comfreypaddle {
namespace {

constexpr int kPerMille = 1000;

// The holder renews after this fraction (1/n) of the time to its deadline,
// which leaves time for two more attempts.
constexpr int kRenewalDivisor = 3;

Duration ScaleByPerMille(Duration span, int per_mille) {
  return span * per_mille / kPerMille;
}

std::uint64_t RendezvousHash(std::string_view duty, std::string_view instance) {
  std::string text(duty);
  text += '\0';
  text += instance;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::string OrdersDuty(std::string_view fleet) {
  return std::string(kOrdersDutyPrefix) + std::string(fleet);
}

Verdict ApplyLeaseClaim(LeaseTable& table, const Writer& writer,
                        const LeaseClaim& claim, Position position,
                        Instant read_at) {
  if (claim.m_holder != writer.m_name || claim.m_duty.empty()) {
    return Verdict::kInvalid;
  }
  const auto found = table.m_leases.find(claim.m_duty);
  const Position current =
      found == table.m_leases.end() ? 0 : found->second.m_position;
  if (claim.m_supersedes != current) return Verdict::kHeldByOther;
  const bool continues =
      found != table.m_leases.end() && found->second.m_holder == writer;
  if (claim.m_release) {
    if (!continues) return Verdict::kHeldByOther;
    found->second = Lease{{}, 0, position, Duration(0), read_at};
    return Verdict::kGranted;
  }
  if (claim.m_term <= Duration(0)) return Verdict::kInvalid;
  Lease& lease = table.m_leases[claim.m_duty];
  if (!continues) lease.m_fencing_number = position;
  lease.m_holder = writer;
  lease.m_position = position;
  lease.m_term = claim.m_term;
  lease.m_read_at = read_at;
  return Verdict::kGranted;
}

const Lease* FindLease(const LeaseTable& table, std::string_view duty) {
  const auto found = table.m_leases.find(duty);
  return found == table.m_leases.end() ? nullptr : &found->second;
}

bool HoldsLease(const LeaseTable& table, std::string_view duty,
                const Writer& writer, Position fencing_number) {
  const Lease* lease = FindLease(table, duty);
  return lease != nullptr && lease->m_holder == writer &&
         lease->m_fencing_number == fencing_number && fencing_number != 0;
}

Instant HolderDeadline(const Lease& lease, Instant claimed_at,
                       const LeaseOptions& options) {
  return claimed_at +
         ScaleByPerMille(lease.m_term, kPerMille - kDriftPerMille) -
         options.m_send_margin;
}

bool MayAct(const Lease& lease, const Writer& self, Instant claimed_at,
            const LeaseOptions& options, Instant now) {
  return lease.m_holder == self && lease.m_fencing_number != 0 &&
         now < HolderDeadline(lease, claimed_at, options);
}

Instant FollowerDeadline(const Lease& lease) {
  return lease.m_read_at +
         ScaleByPerMille(lease.m_term, kPerMille + kDriftPerMille);
}

Instant NextClaimAt(const Lease* lease, const Writer& self, Instant claimed_at,
                    Instant caught_up_at, std::size_t rank,
                    const LeaseOptions& options) {
  const Duration rank_wait =
      options.m_rank_period * static_cast<std::int64_t>(rank);
  if (lease == nullptr) return caught_up_at + rank_wait;
  if (lease->m_holder == self && lease->m_fencing_number != 0) {
    const Instant deadline = HolderDeadline(*lease, claimed_at, options);
    return claimed_at + (deadline - claimed_at) / kRenewalDivisor;
  }
  return std::max(FollowerDeadline(*lease), caught_up_at) + rank_wait;
}

LeaseClaim MakeClaim(const Lease* lease, std::string_view duty,
                     const Writer& self, const LeaseOptions& options) {
  LeaseClaim claim;
  claim.m_duty = duty;
  claim.m_holder = self.m_name;
  claim.m_supersedes = lease == nullptr ? 0 : lease->m_position;
  claim.m_term = options.m_term;
  return claim;
}

LeaseClaim MakeRelease(const Lease& lease, std::string_view duty) {
  LeaseClaim claim;
  claim.m_duty = duty;
  claim.m_holder = lease.m_holder.m_name;
  claim.m_supersedes = lease.m_position;
  claim.m_release = true;
  return claim;
}

std::size_t RankOf(std::string_view duty, std::string_view self,
                   const std::vector<std::string>& members) {
  const std::uint64_t own = RendezvousHash(duty, self);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [duty, self, own](const std::string& member) {
                      if (member == self) return false;
                      const std::uint64_t hash = RendezvousHash(duty, member);
                      return hash != own ? hash > own : member < self;
                    }));
}

}  // namespace comfreypaddle
