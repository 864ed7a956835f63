#include "usageflush.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "eventlog.h"
#include "instancecall.h"
#include "servedinstances.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// Interval between the records of an instance that sends them to its upstream.
constexpr Duration kHandoverInterval = std::chrono::seconds(1);

// Interval between the records that an instance appends itself, per live
// instance, and its bounds: with many instances, the loss of one that is killed
// matters less. The upper bound leaves time for the record to arrive before the
// figures of the window are fixed.
constexpr Duration kAppendIntervalPerInstance = std::chrono::milliseconds(60);
constexpr Duration kMinAppendInterval = std::chrono::seconds(1);
constexpr Duration kMaxAppendInterval = std::chrono::milliseconds(2500);

// Interval between batches.
constexpr Duration kBatchInterval = std::chrono::milliseconds(700);

// Maximum size of a batch. The store accepts records of 256 KB.
constexpr std::size_t kMaxBatchBytes = 128U << 10U;

// Maximum size of the totals in one record, so that a batch that has room for
// one more record stays within the limit of the store.
constexpr std::size_t kMaxRecordBytes = 64U << 10U;

// Time after a rise of the era within which all instances have learned of it
// and stored their totals again, in addition to the retry delay.
constexpr Duration kRestoreCatchUpTime = std::chrono::milliseconds(2500);

// Delay before a record that the store did not accept is sent again, per live
// instance, and its bounds.
constexpr Duration kRetryDelayPerInstance = std::chrono::milliseconds(12);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);

// Timeouts of a handover. It waits for the batch and for the append, which may
// take one second.
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);

// Whether records go to the upstream. One that the store does not answer would
// only delay them.
bool GoesThroughUpstream(const ControlState& state) {
  return HasUpstream(state.m_upstream) &&
         state.m_upstream_link.m_store_answers && !state.m_flush.m_failed;
}

// Interval between the records of this instance, by the way that they take.
Duration FlushInterval(const ControlState& state) {
  if (GoesThroughUpstream(state)) return kHandoverInterval;
  return std::clamp<Duration>(
      kAppendIntervalPerInstance * state.m_live_instances, kMinAppendInterval,
      kMaxAppendInterval);
}

// Puts the totals that were not sent yet into a record, oldest windows first.
schema::UsageRecord MakeUsageRecord(ControlState& state) {
  OwnUsage& flush = state.m_flush;
  schema::UsageRecord record;
  record.set_instance(state.m_options.m_name);
  record.set_incarnation(state.m_options.m_incarnation);
  record.set_sequence(flush.m_sequence);
  std::size_t bytes = 0;
  while (!flush.m_unsent.empty() && bytes < kMaxRecordBytes) {
    const auto slot = flush.m_unsent.begin();
    schema::UsageCount* count = record.add_totals();
    count->set_window(slot->first);
    count->set_workspace(slot->second);
    count->set_requests(flush.m_totals.at(*slot));
    bytes += count->ByteSizeLong();
    flush.m_unsent.erase(slot);
  }
  flush.m_split = !flush.m_unsent.empty();
  return record;
}

// Forgets the totals of windows that are too old to be reported, compared with
// the newest one.
void DropOldTotals(ControlState& state) {
  OwnUsage& flush = state.m_flush;
  const UsageAggregateOptions& options = state.m_usage_aggregate.m_options;
  const auto kept = static_cast<std::uint64_t>(
      options.m_max_window_age / options.m_window + 2);
  while (!flush.m_totals.empty()) {
    const auto& [oldest, requests] = *flush.m_totals.begin();
    const std::uint64_t newest = flush.m_totals.rbegin()->first.first;
    if (newest - oldest.first < kept || flush.m_unsent.count(oldest) != 0) {
      return;
    }
    flush.m_totals.erase(flush.m_totals.begin());
  }
}

// Ends the pending record if it is the one with this sequence number.
void OnUsageStored(ControlState& state, std::uint64_t sequence) {
  OwnUsage& flush = state.m_flush;
  // It may have been stored on another way before.
  if (sequence != flush.m_sequence) return;
  flush.m_pending.reset();
  // Counts that accumulated while the record could not be stored are sent
  // immediately: after an outage the holder of the duties waits only for a
  // limited time.
  if (flush.m_failed || flush.m_split) flush.m_due = {};
  flush.m_failed = false;
  ++flush.m_sequence;
}

// Sends the batch in one append and answers all whose records are in it.
void AppendBatch(ControlState& state) {
  UsageBatchQueue& queue = state.m_usage_batch;
  const Instant now = state.m_clock();
  if (queue.m_busy || queue.m_waiting.empty() || now < queue.m_due) return;
  queue.m_busy = true;
  queue.m_due = now + kBatchInterval;
  schema::UsageBatch batch;
  std::vector<PendingHandover> sent;
  while (!queue.m_waiting.empty() && batch.ByteSizeLong() < kMaxBatchBytes) {
    *batch.add_records() = queue.m_waiting.front().m_record;
    sent.push_back(std::move(queue.m_waiting.front()));
    queue.m_waiting.pop_front();
  }
  StreamAppend append;
  append.m_stream = Stream::kUsage;
  append.m_value = batch.SerializeAsString();
  // What had no room follows without a pause.
  if (!queue.m_waiting.empty()) queue.m_due = {};
  state.m_store->Append(std::move(append), [&state, sent = std::move(sent)](
                                               const AppendResult& result) {
    state.m_usage_batch.m_busy = false;
    const StoreFault fault = RecordStoreCall(state, result);
    for (const PendingHandover& handover : sent) {
      schema::HandoverResult answer;
      if (fault == StoreFault::kNone) {
        answer.set_sequence(handover.m_record.sequence());
      }
      handover.m_respond(answer);
    }
  });
}

// Appends the pending record with the batch of this instance.
void AppendOwnRecord(ControlState& state) {
  OwnUsage& flush = state.m_flush;
  flush.m_appending = true;
  state.m_usage_batch.m_due = {};
  state.m_usage_batch.m_waiting.push_back(
      {*flush.m_pending, [&state](const schema::HandoverResult& result) {
         OwnUsage& done = state.m_flush;
         done.m_appending = false;
         if (result.sequence() != 0) {
           OnUsageStored(state, result.sequence());
           return;
         }
         done.m_failed = true;
         done.m_due = state.m_clock() + UsageRetryDelay(state);
       }});
}

// Handles the answer to a handover. Without one the record is sent again on
// another way.
void OnHandoverEnd(ControlState& state, const std::string& receiver,
                   const std::string* body) {
  OwnUsage& flush = state.m_flush;
  flush.m_handing_over = false;
  schema::HandoverResult result;
  const bool answered = body != nullptr && result.ParseFromString(*body);
  if (body != nullptr && !answered) {
    LogLine("usage_handover_decode_failed").Add("instance", receiver);
  }
  if (!answered || result.sequence() == 0) {
    RemoveServed(state, receiver);
    flush.m_failed = true;
    flush.m_due =
        std::min(flush.m_due, state.m_clock() + UsageRetryDelay(state));
    return;
  }
  OnUsageStored(state, result.sequence());
}

// Sends the pending record to another instance.
void SendHandover(ControlState& state, const std::string& receiver,
                  const std::string& address) {
  state.m_flush.m_handing_over = true;
  schema::UsageHandover usage;
  *usage.mutable_record() = *state.m_flush.m_pending;
  usage.set_urgent(state.m_stopping || state.m_flush.m_failed);
  InstanceCall call;
  call.m_address = address;
  call.m_target = kHandoverTarget;
  call.m_body = usage.SerializeAsString();
  call.m_connection_timeout = kConnectTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(state, call, "usage_handover_failed",
               [&state, receiver](const std::string* body) {
                 OnHandoverEnd(state, receiver, body);
               });
}

// Returns the instance to hand over to while the store does not answer, or
// null. The choice is by rendezvous hash, so that the handovers spread over the
// served instances.
const schema::InstanceRecord* ChooseReceiver(const ControlState& state) {
  const std::string& self = state.m_options.m_name;
  const std::set<std::string> served = ServedInstances(state);
  const auto best =
      std::min_element(served.begin(), served.end(),
                       [&self](const std::string& a, const std::string& b) {
                         return PeerRank(self, a) < PeerRank(self, b);
                       });
  return best == served.end() ? nullptr : &state.m_instances.at(*best);
}

// Hands pending usage over to an instance that the store answers.
void HandOverPending(ControlState& state) {
  if (state.m_flush.m_handing_over || !HasPendingUsage(state)) return;
  const schema::InstanceRecord* receiver = ChooseReceiver(state);
  if (receiver == nullptr) return;
  LogLine("usage_handed_over")
      .Add("instance", receiver->name())
      .Add("sequence", static_cast<std::int64_t>(state.m_flush.m_sequence));
  SendHandover(state, receiver->name(), receiver->peers());
}

// Sends the current counts, or the last record again if its fate is unknown.
void FlushOwnCounts(ControlState& state) {
  OwnUsage& flush = state.m_flush;
  const Instant now = state.m_clock();
  const bool flush_now = state.m_stopping && !flush.m_failed;
  if (now < flush.m_due && !flush_now) return;
  const bool through_upstream = GoesThroughUpstream(state);
  if (through_upstream ? flush.m_handing_over : flush.m_appending) return;
  if (!flush.m_pending) {
    if (flush.m_unsent.empty()) return;
    flush.m_pending = MakeUsageRecord(state);
    DropOldTotals(state);
  }
  flush.m_due = now + FlushInterval(state);
  if (through_upstream) {
    const UpstreamCandidate& upstream = state.m_upstream.m_selected;
    SendHandover(state, upstream.m_name, upstream.m_address);
  } else {
    AppendOwnRecord(state);
  }
}

}  // namespace

void AddUsageCounts(ControlState& state, const schema::UsageCounts& counts) {
  for (const schema::UsageCount& count : counts.counts()) {
    const UsageSlot slot{count.window(), count.workspace()};
    state.m_flush.m_totals[slot] += count.requests();
    state.m_flush.m_unsent.insert(slot);
  }
}

void OnUsageRestored(ControlState& state) {
  OwnUsage& flush = state.m_flush;
  LogLine("usage_sent_again")
      .Add("totals", static_cast<std::int64_t>(flush.m_totals.size()));
  for (const auto& [slot, requests] : flush.m_totals) {
    flush.m_unsent.insert(slot);
  }
  flush.m_due = {};
  state.m_usage_cursor.m_next = 0;
  state.m_usage_cursor.m_initialized = false;
  state.m_usage_cursor.m_due = {};
  state.m_usage_aggregate.m_complete_from =
      state.m_clock() + kRestoreCatchUpTime + UsageRetryDelay(state);
}

Duration UsageRetryDelay(const ControlState& state) {
  return std::clamp<Duration>(kRetryDelayPerInstance * state.m_live_instances,
                              kMinRetryDelay, kMaxRetryDelay);
}

void FlushUsage(ControlState& state) {
  FlushOwnCounts(state);
  HandOverPending(state);
  AppendBatch(state);
}

bool HasPendingUsage(const ControlState& state) {
  return state.m_flush.m_pending &&
         (state.m_flush.m_failed || state.m_store_lost);
}

bool IsUsageStored(const ControlState& state) {
  return state.m_flush.m_unsent.empty() && !state.m_flush.m_pending &&
         state.m_usage_batch.m_waiting.empty() && !state.m_usage_batch.m_busy;
}

void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   HandoverCallback respond) {
  UsageBatchQueue& queue = state.m_usage_batch;
  if (usage.urgent() || state.m_stopping) queue.m_due = {};
  queue.m_waiting.push_back({usage.record(), std::move(respond)});
  AppendBatch(state);
}

}  // namespace comfreypaddle
