#include "dutylease.h"

#include <glog/logging.h>

#include <algorithm>

#include "codec.h"

namespace comfreypaddle {

namespace {

// Peers that have been silent for longer are left out of the ranking, so that
// no duty waits for a failed instance.
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

// A claim without a verdict after this time is abandoned and may be sent again.
constexpr Duration kClaimTimeout = std::chrono::seconds(1);

const DutyLease* FindTenure(const DutyState& state, std::string_view duty) {
  const auto found = state.m_duty_leases.find(duty);
  return found == state.m_duty_leases.end() ? nullptr : &found->second;
}

bool IsHolder(const DutyState& state, const DutyLease& tenure) {
  return tenure.m_claimed && tenure.m_lease.m_holder == state.m_options.m_self;
}

std::vector<std::string> LiveMembers(const DutyState& state, Instant now) {
  std::vector<std::string> live = {state.m_options.m_self.m_name};
  for (const auto& [name, heard] : state.m_heard) {
    if (now - heard <= kPeerTimeout) live.push_back(name);
  }
  return live;
}

void SubmitClaim(DutyState& state, DutyLease& tenure, const LeaseClaim& claim) {
  LOG(INFO) << "lease " << (claim.m_release ? "release" : "claim")
            << " duty=" << claim.m_duty << " supersedes=" << claim.m_supersedes;
  tenure.m_ticket = SubmitDutyRecord(state, EncodeRecord(claim), kClaimTimeout);
}

void MaintainLease(DutyState& state, const std::string& duty, Instant now) {
  DutyLease& tenure = state.m_duty_leases[duty];
  if (tenure.m_ticket != 0) return;
  const bool holder = IsHolder(state, tenure);
  if (state.m_draining) {
    if (holder) SubmitClaim(state, tenure, MakeRelease(tenure.m_lease, duty));
    return;
  }
  const Lease* lease = tenure.m_claimed ? &tenure.m_lease : nullptr;
  const LeaseOptions& options = state.m_options.m_lease;
  const std::size_t rank =
      RankOf(duty, state.m_options.m_self.m_name, LiveMembers(state, now));
  const Instant due =
      NextClaimAt(lease, state.m_options.m_self, tenure.m_claimed_at,
                  state.m_caught_up_at, rank, options);
  if (now < due) return;
  SubmitClaim(state, tenure,
              MakeClaim(lease, duty, state.m_options.m_self, options));
}

}  // namespace

std::uint64_t SubmitDutyRecord(DutyState& state, schema::Record record,
                               Duration timeout) {
  const std::uint64_t ticket = state.m_next_ticket++;
  schema::JournalMessage message;
  schema::SubmitRecord* submit = message.mutable_submit();
  submit->set_sender(schema::TASK_DUTIES);
  submit->set_ticket(ticket);
  submit->set_timeout_ms(static_cast<std::uint32_t>(timeout.count() / 1000));
  *submit->mutable_record() = std::move(record);
  state.m_journal->Post(std::move(message));
  return ticket;
}

std::vector<std::string> DutyNames(const DutyState& state) {
  std::vector<std::string> names = {std::string(kCapacityDuty),
                                    std::string(kUsageDuty),
                                    std::string(kSnapshotDuty)};
  for (const auto& [name, fleet] : state.m_tables.m_fleets) {
    if (fleet.m_value.m_kind == FleetKind::kEngine) {
      names.push_back(OrdersDuty(name));
    }
  }
  return names;
}

void MaintainLeases(DutyState& state) {
  if (!state.m_caught_up) return;
  const Instant now = state.m_clock();
  for (const std::string& duty : DutyNames(state)) {
    MaintainLease(state, duty, now);
  }
}

void OnLeaseChange(DutyState& state, const schema::LeaseChange& change) {
  const LeaseChange decoded = DecodeLeaseChange(change);
  DutyLease& tenure = state.m_duty_leases[decoded.m_duty];
  const bool continues =
      tenure.m_claimed &&
      tenure.m_lease.m_fencing_number == decoded.m_lease.m_fencing_number;
  tenure.m_lease = decoded.m_lease;
  tenure.m_claimed = true;
  if (change.sent_us() != 0) {
    tenure.m_claimed_at = DecodeInstant(change.sent_us());
  }
  if (continues) return;
  tenure.m_started = decoded.m_lease.m_read_at;
  LOG(INFO) << "lease change duty=" << decoded.m_duty
            << " holder=" << change.holder()
            << " fencing_number=" << change.fencing_number();
}

bool OnLeaseVerdict(DutyState& state, const schema::RecordVerdict& verdict) {
  for (auto& [duty, tenure] : state.m_duty_leases) {
    if (tenure.m_ticket != verdict.ticket()) continue;
    tenure.m_ticket = 0;
    return true;
  }
  return false;
}

bool MayActOn(const DutyState& state, std::string_view duty) {
  const DutyLease* tenure = FindTenure(state, duty);
  if (tenure == nullptr || !tenure->m_claimed) return false;
  return MayAct(tenure->m_lease, state.m_options.m_self, tenure->m_claimed_at,
                state.m_options.m_lease, state.m_clock());
}

bool MayOrder(const DutyState& state, std::string_view duty) {
  if (!MayActOn(state, duty)) return false;
  const DutyLease* tenure = FindTenure(state, duty);
  return state.m_clock() >= tenure->m_started + state.m_options.m_order_timeout;
}

Instant ActDeadline(const DutyState& state, std::string_view duty) {
  const DutyLease* tenure = FindTenure(state, duty);
  if (tenure == nullptr) return {};
  return HolderDeadline(tenure->m_lease, tenure->m_claimed_at,
                        state.m_options.m_lease);
}

Position FencingNumber(const DutyState& state, std::string_view duty) {
  const DutyLease* tenure = FindTenure(state, duty);
  return tenure == nullptr ? 0 : tenure->m_lease.m_fencing_number;
}

bool AllReleased(const DutyState& state) {
  return std::none_of(state.m_duty_leases.begin(), state.m_duty_leases.end(),
                      [&state](const auto& entry) {
                        return IsHolder(state, entry.second) ||
                               entry.second.m_ticket != 0;
                      });
}

}  // namespace comfreypaddle
