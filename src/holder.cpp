#include "holder.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Maximum rate difference between two clocks, as a fraction (1/n) of the lease.
constexpr int kDriftDivisor = 50;

bool IsOwnRecord(const HolderState& state, const schema::DutyRecord& record) {
  return record.holder() == state.m_options.m_name &&
         record.incarnation() == state.m_options.m_incarnation &&
         !record.released();
}

bool HasHolder(const HolderState& state) {
  return !state.m_newest.holder().empty() && !state.m_newest.released();
}

// Time before the end of the lease at which calls are broken off: until the
// socket is closed and for the bytes that are on their way.
constexpr Duration kTransitReserve = std::chrono::milliseconds(150);

// Earliest time at which another process may claim.
Instant ClaimableAt(const HolderState& state) {
  if (!HasHolder(state)) return state.m_read_at + state.m_options.m_claim_wait;
  const Duration lease = state.m_options.m_lease;
  return state.m_read_at + lease + lease / kDriftDivisor +
         state.m_options.m_claim_wait;
}

StreamAppend MakeAppend(HolderState& state, Instant now) {
  StreamAppend append;
  append.m_stream = Stream::kDuties;
  append.m_value = state.m_pending.SerializeAsString();
  append.m_expected_end = state.m_end;
  state.m_appending = true;
  state.m_append_sent = now;
  return append;
}

}  // namespace

bool IsHolder(const HolderState& state) {
  return IsOwnRecord(state, state.m_newest);
}

bool MayAct(const HolderState& state, Instant now) {
  return IsHolder(state) && !state.m_stopping &&
         now < state.m_claimed_at + state.m_options.m_lease -
                   state.m_options.m_send_margin;
}

Duration CallTimeLeft(const HolderState& state, Instant now) {
  const Instant end =
      state.m_claimed_at + state.m_options.m_lease - kTransitReserve;
  return std::max(end - now, Duration(0));
}

// Offsets start at zero, but zero means no fencing number.
std::uint64_t FencingNumberOf(const HolderState& state) {
  return state.m_newest.fence() + 1;
}

void OnDutiesRead(HolderState& state, const ReadResult& result, Instant sent,
                  Instant now) {
  for (const StreamRecord& record : result.m_records) {
    // Records before m_end are already known, for instance from the response to
    // an append by this process.
    if (record.m_offset < state.m_end) continue;
    schema::DutyRecord parsed;
    if (!parsed.ParseFromString(record.m_value)) continue;
    // The record comes from an unanswered append, which was sent at this time.
    if (IsOwnRecord(state, parsed)) state.m_claimed_at = state.m_append_sent;
    state.m_newest = std::move(parsed);
    state.m_read_at = now;
  }
  if (result.m_next > state.m_end) state.m_end = result.m_next;
  if (!state.m_caught_up && result.m_records.empty()) {
    state.m_caught_up = true;
    if (!HasHolder(state)) state.m_read_at = sent;
  }
}

std::optional<StreamAppend> NextDutyAppend(HolderState& state,
                                           const schema::DutyRecord& next,
                                           bool changed, Instant now) {
  if (state.m_appending || !state.m_caught_up) return std::nullopt;
  if (IsHolder(state)) {
    const bool due = now >= state.m_claimed_at + state.m_options.m_renewal;
    if (!due && !changed && !state.m_stopping) return std::nullopt;
    state.m_pending = next;
    state.m_pending.set_holder(state.m_options.m_name);
    state.m_pending.set_incarnation(state.m_options.m_incarnation);
    state.m_pending.set_fence(state.m_newest.fence());
    state.m_pending.set_released(state.m_stopping);
    return MakeAppend(state, now);
  }
  if (state.m_stopping || now < ClaimableAt(state)) return std::nullopt;
  // The claim keeps the state that the last holder recorded.
  state.m_pending = state.m_newest;
  state.m_pending.set_holder(state.m_options.m_name);
  state.m_pending.set_incarnation(state.m_options.m_incarnation);
  state.m_pending.set_fence(state.m_end);
  state.m_pending.set_released(false);
  return MakeAppend(state, now);
}

void OnDutyAppended(HolderState& state, const AppendResult& result,
                    Instant now) {
  state.m_appending = false;
  if (result.m_fault == StoreFault::kNone && result.m_offset >= state.m_end) {
    state.m_newest = state.m_pending;
    state.m_claimed_at = state.m_append_sent;
    state.m_read_at = now;
    state.m_end = result.m_end;
    return;
  }
  // Another process has appended or the result is unknown; the next read shows
  // which.
  state.m_caught_up = false;
}

void OnFencingRejected(HolderState& state, Instant now) {
  state.m_newest.Clear();
  state.m_read_at = now + state.m_options.m_lease;
  state.m_caught_up = false;
}

}  // namespace comfreypaddle
