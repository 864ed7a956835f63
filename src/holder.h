#ifndef COMFREYPADDLE_HOLDER_H_
#define COMFREYPADDLE_HOLDER_H_

#include <optional>
#include <string>
#include <vector>

#include "stream.h"

namespace comfreypaddle {

// All duties are held by one instance under a lease. A record of the duties
// stream is appended only if the stream still ends at the offset that its
// writer expects, so the newest record is the complete state and only one of
// two concurrent claims succeeds. The era of the store and the offset of the
// record with which a holder took over are its fencing number.
//
// A store that comes back from a copy of itself has lost its newest records and
// gives their offsets out again; its era rises (storeera.h). No lease outlives
// its era: records of an older one may lack the claim of the last holder, which
// may act until its lease ends. A new holder waits for that time. Only the last
// holder itself knows that nobody else has claimed, and claims at once.
//
// Usage windows are reported only as they were first fixed. What a record said
// about them stays known to each process that has read it in its era, also if
// the store loses the record.

struct HolderOptions {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  Duration m_lease = std::chrono::seconds(3);
  // The holder stops sending this long before the end of its lease.
  Duration m_send_margin = std::chrono::milliseconds(500);
  // Interval between renewals.
  Duration m_renewal = std::chrono::seconds(1);
  // Additional delay of this instance before it claims a free lease, so that
  // not all instances claim at the same time.
  Duration m_claim_wait{0};
};

struct HolderState {
  HolderOptions m_options;
  // Newest record of the highest era, with all windows that are known from any
  // record. Empty if there is none.
  schema::DutyRecord m_newest;
  std::uint64_t m_end = 0;  // End offset of the stream.
  bool m_caught_up = false;
  Instant m_read_at{};  // When the newest record was read or written.
  // Instant before the newest record was sent, if this instance wrote it.
  Instant m_claimed_at{};
  bool m_appending = false;
  Instant m_append_sent{};
  schema::DutyRecord m_pending;
  bool m_stopping = false;
  // Era of the store, zero if it names none, and when it was first seen here.
  std::uint64_t m_era = 0;
  Instant m_era_seen{};
  // This process held the duties, by its clock, when it saw the era rise.
  bool m_held_at_rise = false;
};

// Adds what another record says about usage windows. What is known stays: the
// highest reported and abandoned windows, and the counts of each fixed one.
void MergeWindows(schema::DutyRecord& known, const schema::DutyRecord& other);

// Whether this process held the duties when the era rose and nobody else can
// have claimed them since.
bool HoldsLostLease(const HolderState& state, Instant now);

// Whether records that the store lost may have fixed usage windows that are
// unknown here.
bool MayLackWindows(const HolderState& state, Instant now);

// Processes an era of the store, the first one seen or a higher one. What was
// read before is read again.
void OnDutyEra(HolderState& state, std::uint64_t era, Instant now);

// Whether this process wrote the newest record, in this era, and it is not a
// release.
bool IsHolder(const HolderState& state);

// Whether this process holds the duties and may act now.
bool MayAct(const HolderState& state, Instant now);

// How long a call that is sent now may take. A call that reaches the platform
// after the lease could come behind one of the next holder, and not every
// platform checks fencing numbers.
Duration CallTimeLeft(const HolderState& state, Instant now);

// Fencing number of the current holder. It rises over eras, in which offsets
// are given out again.
std::uint64_t FencingNumberOf(const HolderState& state);

// Processes the records of a read. `sent` is an instant before the read was
// sent; an empty result proves that the newest known record is still the
// newest.
void OnDutiesRead(HolderState& state, const ReadResult& result, Instant sent,
                  Instant now);

// Returns the append that is due now: a claim, a renewal or a release. `next`
// is the state that it records (dutywindows.h). The append is marked as in
// progress.
std::optional<StreamAppend> NextDutyAppend(HolderState& state,
                                           const schema::DutyRecord& next,
                                           bool changed, Instant now);

void OnDutyAppended(HolderState& state, const AppendResult& result,
                    Instant now);

// Gives up the duties after the platform rejected their fencing number.
void OnFencingRejected(HolderState& state, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HOLDER_H_
