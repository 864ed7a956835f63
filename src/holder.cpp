#include "holder.h"

namespace comfreypaddle {

namespace {

// Largest deviation of two clocks' rates, as a part of the lease.
constexpr int kDriftDivisor = 50;

bool IsOwn(const HolderState& state, const schema::DutyRecord& record) {
  return record.holder() == state.m_options.m_name &&
         record.incarnation() == state.m_options.m_incarnation &&
         !record.released();
}

bool HasHolder(const HolderState& state) {
  return !state.m_newest.holder().empty() && !state.m_newest.released();
}

// First instant at which another process may claim.
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

bool IsHolder(const HolderState& state) { return IsOwn(state, state.m_newest); }

bool MayAct(const HolderState& state, Instant now) {
  return IsHolder(state) && !state.m_stopping &&
         now < state.m_claimed_at + state.m_options.m_lease -
                   state.m_options.m_send_margin;
}

// Offsets begin with zero, and a fencing number of zero is none.
std::uint64_t FenceOf(const HolderState& state) {
  return state.m_newest.fence() + 1;
}

void OnDutiesRead(HolderState& state, const ReadResult& result, Instant sent,
                  Instant now) {
  for (const StreamRecord& record : result.m_records) {
    // Records that this process wrote are known from the append's answer.
    if (record.m_offset < state.m_end) continue;
    schema::DutyRecord parsed;
    if (!parsed.ParseFromString(record.m_value)) continue;
    // The append of an unanswered claim was sent at this instant.
    if (IsOwn(state, parsed)) state.m_claimed_at = state.m_append_sent;
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
  // The claim takes over what the last holder recorded.
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
  // Another process has written, or nothing is known: the next read tells.
  state.m_caught_up = false;
}

void OnFenced(HolderState& state, Instant now) {
  state.m_newest.Clear();
  state.m_read_at = now + state.m_options.m_lease;
  state.m_caught_up = false;
}

}  // namespace comfreypaddle
