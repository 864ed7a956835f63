#include "holder.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {

namespace {

// Maximum rate difference between two clocks, as a fraction (1/n) of the lease.
constexpr int kDriftDivisor = 50;

bool IsOwnRecord(const HolderState& state, const schema::DutyRecord& record) {
  return record.holder() == state.m_options.m_name &&
         record.incarnation() == state.m_options.m_incarnation &&
         !record.released();
}

// Position of the era in a fencing number. The platform takes numbers of 64
// bits, and offsets stay below 2^32.
constexpr int kEraShift = 32;

bool HasHolder(const HolderState& state) {
  return !state.m_newest.holder().empty() && !state.m_newest.released();
}

// Time before the end of the lease at which calls are broken off: until the
// socket is closed and for the bytes that are on their way.
constexpr Duration kTransitReserve = std::chrono::milliseconds(150);

// Whether the newest record was written before the store lost records.
bool IsOfOlderEra(const HolderState& state) {
  return state.m_newest.era() < state.m_era;
}

// Earliest time at which another process may claim.
Instant ClaimableAt(const HolderState& state) {
  const Duration lease = state.m_options.m_lease;
  const Duration expiry =
      lease + lease / kDriftDivisor + state.m_options.m_claim_wait;
  // A claim that is lost was sent before the era was seen.
  if (IsOfOlderEra(state)) return state.m_era_seen + expiry;
  if (!HasHolder(state)) return state.m_read_at + state.m_options.m_claim_wait;
  return state.m_read_at + expiry;
}

// Makes a record the newest one. Its writer knew those before it, so that its
// counts of a window replace the known ones.
void TakeRecord(HolderState& state, schema::DutyRecord record) {
  // A record of an older era may be a late append that took the place of a lost
  // record with other counts.
  if (record.era() < state.m_era) record.clear_fixed();
  MergeWindows(record, state.m_newest);
  state.m_newest = std::move(record);
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

void MergeWindows(schema::DutyRecord& known, const schema::DutyRecord& other) {
  known.set_reported(std::max(known.reported(), other.reported()));
  known.set_abandoned(std::max(known.abandoned(), other.abandoned()));
  auto& fixed = *known.mutable_fixed();
  const auto is_known = [&fixed](std::uint64_t number) {
    return std::any_of(fixed.begin(), fixed.end(),
                       [number](const schema::FixedWindow& window) {
                         return window.window() == number;
                       });
  };
  for (const schema::FixedWindow& window : other.fixed()) {
    if (!is_known(window.window())) *fixed.Add() = window;
  }
  fixed.erase(std::remove_if(fixed.begin(), fixed.end(),
                             [&known](const schema::FixedWindow& window) {
                               return window.window() <= known.reported();
                             }),
              fixed.end());
  std::sort(
      fixed.pointer_begin(), fixed.pointer_end(),
      [](const schema::FixedWindow* left, const schema::FixedWindow* right) {
        return left->window() < right->window();
      });
}

bool HoldsLostLease(const HolderState& state, Instant now) {
  return state.m_held_at_rise && IsOfOlderEra(state) &&
         now < state.m_claimed_at + state.m_options.m_lease;
}

bool MayLackWindows(const HolderState& state, Instant now) {
  return IsOfOlderEra(state) && !HoldsLostLease(state, now);
}

void OnDutyEra(HolderState& state, std::uint64_t era, Instant now) {
  // The lease of a process that stops may have been released by a lost record.
  state.m_held_at_rise = !state.m_stopping &&
                         (IsHolder(state) || state.m_held_at_rise) &&
                         now < state.m_claimed_at + state.m_options.m_lease;
  state.m_era = era;
  state.m_era_seen = now;
  state.m_end = 0;
  state.m_caught_up = false;
}

bool IsHolder(const HolderState& state) {
  return !IsOfOlderEra(state) && IsOwnRecord(state, state.m_newest);
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
  return (state.m_newest.era() << kEraShift) | (state.m_newest.fence() + 1);
}

void OnDutiesRead(HolderState& state, const ReadResult& result, Instant sent,
                  Instant now) {
  for (const StreamRecord& record : result.m_records) {
    // Records before m_end are already known, for instance from the response to
    // an append by this process.
    if (record.m_offset < state.m_end) continue;
    schema::DutyRecord parsed;
    if (!parsed.ParseFromString(record.m_value)) continue;
    // A late append of an older era carries no lease.
    if (parsed.era() < state.m_newest.era()) continue;
    // The record comes from an unanswered append, which was sent at this time.
    if (parsed.era() == state.m_era && IsOwnRecord(state, parsed)) {
      state.m_claimed_at = state.m_append_sent;
    }
    TakeRecord(state, std::move(parsed));
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
    state.m_pending.set_era(state.m_era);
    state.m_pending.set_released(state.m_stopping);
    return MakeAppend(state, now);
  }
  if (state.m_stopping) return std::nullopt;
  if (now < ClaimableAt(state) && !HoldsLostLease(state, now)) {
    return std::nullopt;
  }
  state.m_pending = next;
  state.m_pending.set_holder(state.m_options.m_name);
  state.m_pending.set_incarnation(state.m_options.m_incarnation);
  state.m_pending.set_fence(state.m_end);
  state.m_pending.set_era(state.m_era);
  state.m_pending.set_released(false);
  return MakeAppend(state, now);
}

void OnDutyAppended(HolderState& state, const AppendResult& result,
                    Instant now) {
  state.m_appending = false;
  // A record of an older era may be lost, or stand behind one that is unknown
  // here.
  if (result.m_fault == StoreFault::kNone && result.m_offset >= state.m_end &&
      state.m_pending.era() == state.m_era) {
    TakeRecord(state, state.m_pending);
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
  state.m_newest.clear_holder();
  state.m_newest.clear_incarnation();
  state.m_newest.clear_fence();
  state.m_newest.clear_released();
  state.m_held_at_rise = false;
  state.m_read_at = now + state.m_options.m_lease;
  state.m_caught_up = false;
}

}  // namespace comfreypaddle
