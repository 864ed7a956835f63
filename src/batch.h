#ifndef COMFREYPADDLE_BATCH_H_
#define COMFREYPADDLE_BATCH_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// Task that submitted a record and gets its verdict.
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

// Deadline of submissions that wait as long as it takes.
inline constexpr Instant kNoDeadline = Instant::max();

// Record that is to be appended.
struct Submission {
  Sender m_sender = Sender::kNone;
  std::uint64_t m_ticket = 0;
  Record m_record;
  std::size_t m_bytes = 0;  // Encoded size.
  Instant m_deadline = kNoDeadline;
  bool m_answered = false;  // The sender has a verdict.
};

// Submissions that are appended as one batch.
struct PendingBatch {
  std::uint64_t m_sequence = 0;
  std::vector<Submission> m_submissions;
  Instant m_first_sent{};
  // True once an append of the batch ended without a clear answer. The batch
  // is then repeated unchanged until the log answers or it is read back.
  bool m_may_be_stored = false;
};

struct BatchOptions {
  Duration m_min_interval{25'000};  // Shortest time between two appends.
  std::size_t m_max_records = 4096;
  std::size_t m_max_bytes = 1'048'576;
  std::size_t m_max_waiting = 16'384;
  Duration m_first_backoff{50'000};
  Duration m_max_backoff{1'000'000};
};

// Queue of submissions and the batches made of them. At most one append is
// under way, and a batch follows only when the one before is known to be
// stored or known not to be, so that batches are stored in the order of their
// numbers.
struct Batcher {
  BatchOptions m_options;
  std::deque<Submission> m_waiting;
  // Sent one with each batch, behind the others.
  std::deque<Submission> m_background;
  std::optional<PendingBatch> m_in_flight;         // Not known to be stored.
  std::map<std::uint64_t, PendingBatch> m_unread;  // Stored, not read back yet.
  std::uint64_t m_append_id = 0;                   // Number of the last append.
  bool m_append_open = false;                      // It is under way.
  std::uint64_t m_next_sequence = 1;
  Instant m_next_send{};
  Duration m_backoff{0};
};

// How an append ended.
enum class AppendStatus { kStored, kNotStored, kUnknown };

// Submission whose sender gets a verdict although its fate was not read.
struct ExpiredSubmission {
  Sender m_sender = Sender::kNone;
  std::uint64_t m_ticket = 0;
  Verdict m_verdict = Verdict::kUnknown;
};

// Queues a submission. Returns false if the queue is full or the record does
// not fit into a batch.
bool Submit(Batcher& batcher, Submission submission);

// Queues a submission behind all others. It has no bound and no deadline.
void SubmitInBackground(Batcher& batcher, Submission submission);

// When the next append is due, or nothing if there is nothing to send or an
// append is under way.
std::optional<Instant> NextSendAt(const Batcher& batcher);

// Forms the next batch, or takes the one again whose fate is not known. Call
// it only when an append is due. The reference is valid until the next call.
const PendingBatch& StartAppend(Batcher& batcher, Instant now);

// Notes how the append with this number ended. A batch that is known not to be
// stored goes back to the queue. An append whose batch was read back before
// has ended already, and its end has no effect.
void FinishAppend(Batcher& batcher, std::uint64_t call, AppendStatus end,
                  Instant now);

// Takes the batch with this number when it was read back; nothing if it was
// read back before. The answer of its append is not waited for any more,
// because a lost one would hold up the next batch for the append's time limit.
std::optional<PendingBatch> CompleteBatch(Batcher& batcher,
                                          std::uint64_t sequence);

// Gives up submissions whose deadline has passed: kNotStored for those that
// were never sent, which are dropped, and kUnknown for the others.
std::vector<ExpiredSubmission> ExpireSubmissions(Batcher& batcher, Instant now);

// Whether any submission waits for its verdict with a deadline.
bool HasDeadlines(const Batcher& batcher);

// Whether everything that was submitted is stored and read back.
bool IsIdle(const Batcher& batcher);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BATCH_H_
