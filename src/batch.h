#ifndef COMFREYPADDLE_BATCH_H_
#define COMFREYPADDLE_BATCH_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// Task that submitted a record and receives its verdict.
enum class Sender { kNone, kGateway, kAdmin, kDuties, kPeers };

template <>
struct EnumNames<Sender> {
  static constexpr std::array<EnumName<Sender>, 5> kTable{
      {{Sender::kNone, "none"},
       {Sender::kGateway, "gateway"},
       {Sender::kAdmin, "admin"},
       {Sender::kDuties, "duties"},
       {Sender::kPeers, "peers"}}};
};

// Deadline of submissions that never expire.
inline constexpr Instant kNoDeadline = Instant::max();

// Record to append.
struct Submission {
  Sender m_sender = Sender::kNone;
  std::uint64_t m_ticket = 0;
  Record m_record;
  std::size_t m_bytes = 0;  // Encoded size.
  Instant m_deadline = kNoDeadline;
  bool m_answered = false;  // The verdict was sent.
};

// Submissions appended as one batch, from the first send until read back.
struct PendingBatch {
  std::uint64_t m_sequence = 0;
  std::vector<Submission> m_submissions;
  Instant m_first_sent{};
  // Set when an append of the batch ended without a definite answer. The batch
  // is then retried unchanged until the log answers or it is read back.
  bool m_may_be_stored = false;
};

struct BatchOptions {
  Duration m_min_interval{25'000};  // Between two appends.
  std::size_t m_max_records = 4096;
  std::size_t m_max_bytes = 1'048'576;
  std::size_t m_max_waiting = 16'384;
  Duration m_first_backoff{50'000};
  Duration m_max_backoff{1'000'000};
};

// Queues submissions and groups them into batches. At most one append is in
// flight, and the next batch is sent only when it is known whether the previous
// one was stored, so that batches are stored in sequence order.
struct Batcher {
  BatchOptions m_options;
  std::deque<Submission> m_waiting;
  // At most one is added to the end of each batch.
  std::deque<Submission> m_background;
  std::optional<PendingBatch> m_in_flight;  // Not yet confirmed as stored.
  std::map<std::uint64_t, PendingBatch> m_unread;  // Stored, not yet read back.
  std::uint64_t m_append_id = 0;                   // Of the latest append.
  bool m_append_open = false;                      // It has not ended.
  std::uint64_t m_next_sequence = 1;
  Instant m_next_send{};
  Duration m_backoff{0};
};

// How an append ended.
enum class AppendStatus { kStored, kNotStored, kUnknown };

// Submission answered at its deadline, before it was read back.
struct ExpiredSubmission {
  Sender m_sender = Sender::kNone;
  std::uint64_t m_ticket = 0;
  Verdict m_verdict = Verdict::kUnknown;
};

// Queues a submission. Returns false if the queue is full or the record is too
// large for a batch.
bool Submit(Batcher& batcher, Submission submission);

// Adds a low-priority submission to the unbounded background queue, whose
// entries do not expire.
void SubmitInBackground(Batcher& batcher, Submission submission);

// Returns the time of the next append, or nothing if there is nothing to send
// or an append is in flight.
std::optional<Instant> NextSendAt(const Batcher& batcher);

// Starts an append of the next batch, or retries the batch that may or may not
// be stored. Must be called only when an append is due. The reference is valid
// until the next call that changes the batcher.
const PendingBatch& StartAppend(Batcher& batcher, Instant now);

// Records the result of an append. A batch that is known not to be stored
// returns to the queue. The result is ignored if the batch was already read
// back.
void FinishAppend(Batcher& batcher, std::uint64_t call, AppendStatus end,
                  Instant now);

// Removes and returns the batch that was read back, or nothing if it was read
// back before. Does not wait for the answer to its append any more, because a
// lost answer would delay the next batch by the append timeout.
std::optional<PendingBatch> CompleteBatch(Batcher& batcher,
                                          std::uint64_t sequence);

// Expires the submissions whose deadline has passed. Those that are still
// queued are dropped with kNotStored, the others get kUnknown.
std::vector<ExpiredSubmission> ExpireSubmissions(Batcher& batcher, Instant now);

// Returns whether any unanswered submission has a deadline.
bool HasDeadlines(const Batcher& batcher);

// Returns whether all submissions are stored and read back.
bool IsIdle(const Batcher& batcher);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BATCH_H_
