#ifndef COMFREYPADDLE_HOLDER_H_
#define COMFREYPADDLE_HOLDER_H_

#include <optional>
#include <string>
#include <vector>

#include "stream.h"

namespace comfreypaddle {

// The duties are held by one instance under a lease. Each record of the stream
// of duties takes effect only if the stream ends where its writer believes, so
// the newest record is the whole state, and of two claims one wins. The offset
// of the record with which a holder took over is its fencing number.

struct HolderOptions {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  Duration m_lease = std::chrono::seconds(3);
  // Time before the end of the lease at which the holder stops sending.
  Duration m_send_margin = std::chrono::milliseconds(500);
  // Time between two renewals.
  Duration m_renewal = std::chrono::seconds(1);
  // Additional wait of this instance before it claims a free lease, so that
  // not all claim at once.
  Duration m_claim_wait{0};
};

struct HolderState {
  HolderOptions m_options;
  schema::DutyRecord m_newest;  // Empty if there is none.
  std::uint64_t m_end = 0;      // Offset of the next record.
  bool m_caught_up = false;
  Instant m_read_at{};  // When the newest record was read or written.
  // Instant before the newest record was sent, if it is this instance's.
  Instant m_claimed_at{};
  bool m_appending = false;
  Instant m_append_sent{};
  schema::DutyRecord m_pending;
  bool m_stopping = false;
};

// Whether the newest record is of this process.
bool IsHolder(const HolderState& state);

// Whether this process holds the duties and may act now.
bool MayAct(const HolderState& state, Instant now);

// Fencing number of the holder.
std::uint64_t FenceOf(const HolderState& state);

// Takes the records that a read brought. sent is the instant before the read
// was sent; an empty read proves that the newest record is still the newest.
void OnDutiesRead(HolderState& state, const ReadResult& result, Instant sent,
                  Instant now);

// Returns the record to append now: a claim, a renewal or a release. next is
// the state that a holder wants to record. Marks the append as under way.
std::optional<StreamAppend> NextDutyAppend(HolderState& state,
                                           const schema::DutyRecord& next,
                                           bool changed, Instant now);

void OnDutyAppended(HolderState& state, const AppendResult& result,
                    Instant now);

// Gives the duties up after the platform refused their fencing number.
void OnFenced(HolderState& state, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HOLDER_H_
