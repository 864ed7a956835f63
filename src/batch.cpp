#include "batch.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {
namespace {

// Upper bound of the bytes of a batch that are not records.
constexpr std::size_t kMaxBatchHeaderBytes = 512;

bool Fits(const Batcher& batcher, std::size_t records, std::size_t bytes) {
  return records <= batcher.m_options.m_max_records &&
         bytes + kMaxBatchHeaderBytes <= batcher.m_options.m_max_bytes;
}

PendingBatch FormBatch(Batcher& batcher, Instant now) {
  PendingBatch batch;
  batch.m_sequence = batcher.m_next_sequence++;
  batch.m_first_sent = now;
  std::size_t bytes = 0;
  const auto take = [&](std::deque<Submission>& queue) {
    const std::size_t added = bytes + queue.front().m_bytes;
    if (!Fits(batcher, batch.m_submissions.size() + 1, added)) return false;
    bytes = added;
    batch.m_submissions.push_back(std::move(queue.front()));
    queue.pop_front();
    return true;
  };
  while (!batcher.m_waiting.empty() && take(batcher.m_waiting)) {
  }
  if (!batcher.m_background.empty()) take(batcher.m_background);
  return batch;
}

// Returns the submissions to the front of the queue in their original order,
// without those that have expired.
void ReturnToQueue(Batcher& batcher) {
  std::vector<Submission>& submissions = batcher.m_in_flight->m_submissions;
  for (auto it = submissions.rbegin(); it != submissions.rend(); ++it) {
    if (!it->m_answered) batcher.m_waiting.push_front(std::move(*it));
  }
  batcher.m_in_flight.reset();
}

void ExpireBatch(PendingBatch& batch, Instant now,
                 std::vector<ExpiredSubmission>& expired) {
  for (Submission& submission : batch.m_submissions) {
    if (submission.m_answered || submission.m_deadline > now) continue;
    submission.m_answered = true;
    expired.push_back(
        {submission.m_sender, submission.m_ticket, Verdict::kUnknown});
  }
}

bool HasDeadline(const Submission& submission) {
  return !submission.m_answered && submission.m_deadline != kNoDeadline;
}

bool HasDeadline(const PendingBatch& batch) {
  return std::any_of(
      batch.m_submissions.begin(), batch.m_submissions.end(),
      [](const Submission& submission) { return HasDeadline(submission); });
}

}  // namespace

bool Submit(Batcher& batcher, Submission submission) {
  if (batcher.m_waiting.size() >= batcher.m_options.m_max_waiting ||
      !Fits(batcher, 1, submission.m_bytes)) {
    return false;
  }
  batcher.m_waiting.push_back(std::move(submission));
  return true;
}

void SubmitInBackground(Batcher& batcher, Submission submission) {
  batcher.m_background.push_back(std::move(submission));
}

std::optional<Instant> NextSendAt(const Batcher& batcher) {
  if (batcher.m_append_open) return std::nullopt;
  if (!batcher.m_in_flight && batcher.m_waiting.empty() &&
      batcher.m_background.empty()) {
    return std::nullopt;
  }
  return batcher.m_next_send;
}

const PendingBatch& StartAppend(Batcher& batcher, Instant now) {
  if (!batcher.m_in_flight) batcher.m_in_flight = FormBatch(batcher, now);
  ++batcher.m_append_id;
  batcher.m_append_open = true;
  batcher.m_next_send = now + batcher.m_options.m_min_interval;
  return *batcher.m_in_flight;
}

void FinishAppend(Batcher& batcher, std::uint64_t call, AppendStatus end,
                  Instant now) {
  if (!batcher.m_append_open || call != batcher.m_append_id) return;
  batcher.m_append_open = false;
  if (end == AppendStatus::kStored) {
    batcher.m_backoff = Duration(0);
    const std::uint64_t sequence = batcher.m_in_flight->m_sequence;
    batcher.m_unread.emplace(sequence, *std::move(batcher.m_in_flight));
    batcher.m_in_flight.reset();
    return;
  }
  const BatchOptions& options = batcher.m_options;
  batcher.m_backoff = std::clamp(batcher.m_backoff * 2, options.m_first_backoff,
                                 options.m_max_backoff);
  batcher.m_next_send = std::max(batcher.m_next_send, now + batcher.m_backoff);
  if (end == AppendStatus::kUnknown)
    batcher.m_in_flight->m_may_be_stored = true;
  if (!batcher.m_in_flight->m_may_be_stored) ReturnToQueue(batcher);
}

std::optional<PendingBatch> CompleteBatch(Batcher& batcher,
                                          std::uint64_t sequence) {
  if (batcher.m_in_flight && batcher.m_in_flight->m_sequence == sequence) {
    batcher.m_append_open = false;
    return std::exchange(batcher.m_in_flight, std::nullopt);
  }
  const auto found = batcher.m_unread.find(sequence);
  if (found == batcher.m_unread.end()) return std::nullopt;
  PendingBatch batch = std::move(found->second);
  batcher.m_unread.erase(found);
  return batch;
}

std::vector<ExpiredSubmission> ExpireSubmissions(Batcher& batcher,
                                                 Instant now) {
  std::vector<ExpiredSubmission> expired;
  std::erase_if(batcher.m_waiting, [now, &expired](const Submission& waiting) {
    if (waiting.m_deadline > now) return false;
    expired.push_back(
        {waiting.m_sender, waiting.m_ticket, Verdict::kNotStored});
    return true;
  });
  if (batcher.m_in_flight) ExpireBatch(*batcher.m_in_flight, now, expired);
  for (auto& [sequence, batch] : batcher.m_unread) {
    ExpireBatch(batch, now, expired);
  }
  return expired;
}

bool HasDeadlines(const Batcher& batcher) {
  return std::any_of(
             batcher.m_waiting.begin(), batcher.m_waiting.end(),
             [](const Submission& waiting) { return HasDeadline(waiting); }) ||
         (batcher.m_in_flight && HasDeadline(*batcher.m_in_flight)) ||
         std::any_of(batcher.m_unread.begin(), batcher.m_unread.end(),
                     [](const auto& row) { return HasDeadline(row.second); });
}

bool IsIdle(const Batcher& batcher) {
  return batcher.m_waiting.empty() && batcher.m_background.empty() &&
         !batcher.m_in_flight && batcher.m_unread.empty();
}

}  // namespace comfreypaddle
