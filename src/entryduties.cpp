#include "entryduties.h"

#include <algorithm>

#include "eventlog.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// Interval between usage records per live instance, and its bounds: with many
// instances, the loss of one that is killed matters less. The upper bound
// leaves time for the record to arrive before the figures of the window are
// fixed.
constexpr Duration kFlushIntervalPerInstance = std::chrono::milliseconds(60);
constexpr Duration kMinFlushInterval = std::chrono::seconds(1);
constexpr Duration kMaxFlushInterval = std::chrono::milliseconds(2500);

// Maximum wait of a long-poll read of the duties stream.
constexpr Duration kDutiesReadWait = std::chrono::milliseconds(1500);

// Interval between the holder's reads of the usage stream.
constexpr Duration kUsagePollInterval = std::chrono::milliseconds(900);

// Delay after a failed call.
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

// Delay before a usage record is retried, per live instance, and its upper
// bound.
constexpr Duration kUsageRetryDelayPerInstance = std::chrono::milliseconds(12);
constexpr Duration kMaxUsageRetryDelay = std::chrono::seconds(1);

// Maximum number of fixed but unreported windows in the duties record.
constexpr int kMaxFixedWindows = 8;

std::string MakeUsageRecord(const ControlState& state) {
  schema::UsageRecord record;
  record.set_instance(state.m_options.m_name);
  for (const auto& [slot, requests] : state.m_flush.m_counts) {
    schema::UsageCount* count = record.add_counts();
    count->set_window(slot.first);
    count->set_workspace(slot.second);
    count->set_requests(requests);
  }
  return record.SerializeAsString();
}

Duration FlushInterval(const ControlState& state) {
  return std::clamp<Duration>(
      kFlushIntervalPerInstance * state.m_live_instances, kMinFlushInterval,
      kMaxFlushInterval);
}

// Sends the current counts, or resends the last record if its result is
// unknown: the store applies each sequence number once.
void FlushUsage(ControlState& state) {
  UsageFlush& flush = state.m_flush;
  const Instant now = state.m_clock();
  const bool flush_now = state.m_stopping && !flush.m_append_failed;
  const bool due = now >= flush.m_due || flush_now;
  if (flush.m_busy || !due) return;
  if (flush.m_pending_record.empty()) {
    if (flush.m_counts.empty()) return;
    flush.m_pending_record = MakeUsageRecord(state);
    flush.m_counts.clear();
  }
  flush.m_busy = true;
  flush.m_due = now + FlushInterval(state);
  StreamAppend append;
  append.m_stream = Stream::kUsage;
  append.m_value = flush.m_pending_record;
  append.m_producer = UsageProducer(state);
  append.m_epoch = kUsageEpoch;
  append.m_sequence = flush.m_sequence;
  state.m_store->Append(append, [&state, sequence = flush.m_sequence](
                                    const AppendResult& result) {
    state.m_flush.m_busy = false;
    RecordStoreCall(state, result.m_fault, result.m_detail);
    // A repeated sequence number means that the record is already stored.
    if (result.m_fault == StoreFault::kNone ||
        result.m_fault == StoreFault::kRepeated) {
      OnUsageStored(state, sequence);
    } else {
      state.m_flush.m_append_failed = true;
      state.m_flush.m_due = state.m_clock() + UsageRetryDelay(state);
    }
  });
}

void FollowDuties(ControlState& state) {
  StreamCursor& follower = state.m_duties_cursor;
  const Instant now = state.m_clock();
  if (follower.m_busy || now < follower.m_due || state.m_stopping) return;
  follower.m_busy = true;
  // Until the newest record is known, the read must not wait for new records.
  const Duration wait =
      state.m_holder.m_caught_up ? kDutiesReadWait : Duration(0);
  follower.m_next = std::max(follower.m_next, state.m_holder.m_end);
  state.m_store->Read(Stream::kDuties, follower.m_next, wait,
                      [&state, now](const ReadResult& result) {
                        StreamCursor& done = state.m_duties_cursor;
                        done.m_busy = false;
                        if (result.m_fault == StoreFault::kTrimmed) {
                          done.m_next = result.m_first;
                          return;
                        }
                        RecordStoreCall(state, result.m_fault, result.m_detail);
                        if (result.m_fault != StoreFault::kNone) {
                          done.m_due = state.m_clock() + kRetryDelay;
                          return;
                        }
                        done.m_next = result.m_next;
                        OnDutiesRead(state.m_holder, result, now,
                                     state.m_clock());
                      });
}

void FollowUsage(ControlState& state) {
  StreamCursor& follower = state.m_usage_cursor;
  const Instant now = state.m_clock();
  if (follower.m_busy || now < follower.m_due) return;
  follower.m_busy = true;
  state.m_store->Read(
      Stream::kUsage, follower.m_next, Duration(0),
      [&state](const ReadResult& result) {
        StreamCursor& done = state.m_usage_cursor;
        done.m_busy = false;
        if (result.m_fault == StoreFault::kTrimmed) {
          done.m_next = result.m_first;
          return;
        }
        RecordStoreCall(state, result.m_fault, result.m_detail);
        if (result.m_fault != StoreFault::kNone) {
          done.m_due = state.m_clock() + kRetryDelay;
          return;
        }
        // The first read may not return all records.
        const bool more = !result.m_records.empty() && done.m_next == 0;
        done.m_next = result.m_next;
        done.m_due =
            state.m_clock() + (more ? Duration(0) : kUsagePollInterval);
        AddUsageRecords(state.m_usage_aggregate, result, state.m_clock());
      });
}

// Only instances that read the store for others compete for the duties, so that
// not every instance has to follow the duties stream.
bool CompetesForDuties(const ControlState& state) {
  if (IsHolder(state.m_holder)) return true;
  return ShouldReadStore(state) && !IsProbingStore(state);
}

// Number of the newest window that is fixed or reported.
std::uint64_t LastWindow(const schema::DutyRecord& record) {
  std::uint64_t last = record.reported();
  for (const schema::FixedWindow& window : record.fixed()) {
    last = std::max(last, window.window());
  }
  return last;
}

// State that the holder should record: the newest record plus the windows that
// can be fixed now, minus those that have been reported.
schema::DutyRecord MakeDutyRecord(ControlState& state, bool* changed) {
  schema::DutyRecord next = state.m_holder.m_newest;
  next.set_reported(std::max(next.reported(), state.m_report.m_accepted));
  auto* fixed = next.mutable_fixed();
  for (int i = fixed->size() - 1; i >= 0; --i) {
    if (fixed->Get(i).window() <= next.reported()) {
      fixed->DeleteSubrange(i, 1);
    }
  }
  const Instant now = state.m_clock();
  const Duration unix_time = now.time_since_epoch() + state.m_unix_at_zero;
  while (IsHolder(state.m_holder) && fixed->size() < kMaxFixedWindows) {
    const auto window =
        NextWindow(state.m_usage_aggregate, LastWindow(next), unix_time, now);
    if (!window) break;
    *next.add_fixed() = *window;
    *changed = true;
  }
  return next;
}

void LogHolderChange(ControlState& state) {
  const bool holder = IsHolder(state.m_holder);
  if (holder == state.m_was_holder) return;
  state.m_was_holder = holder;
  LogLine(holder ? "duties_taken" : "duties_lost")
      .Add("fence", static_cast<std::int64_t>(FencingNumberOf(state.m_holder)))
      .Add("holder", state.m_holder.m_newest.holder())
      .Add("offset", static_cast<std::int64_t>(state.m_holder.m_end));
}

void AppendDuties(ControlState& state) {
  bool changed = false;
  const schema::DutyRecord next = MakeDutyRecord(state, &changed);
  const auto append =
      NextDutyAppend(state.m_holder, next, changed, state.m_clock());
  if (!append) return;
  state.m_store->Append(*append, [&state](const AppendResult& result) {
    RecordStoreCall(state, result.m_fault, result.m_detail);
    OnDutyAppended(state.m_holder, result, state.m_clock());
    if (result.m_fault != StoreFault::kNone) {
      LogLine("duty_append_failed")
          .Add("fault", ToName(result.m_fault))
          .Add("end_offset", static_cast<std::int64_t>(result.m_end));
    }
  });
}

// Returns the oldest fixed window that has not been reported, or null.
const schema::FixedWindow* FindUnreported(const ControlState& state) {
  const schema::FixedWindow* oldest = nullptr;
  for (const schema::FixedWindow& window : state.m_holder.m_newest.fixed()) {
    if (window.window() <= state.m_report.m_accepted) continue;
    if (oldest == nullptr || window.window() < oldest->window()) {
      oldest = &window;
    }
  }
  return oldest;
}

void OnReportResponse(ControlState& state, std::uint64_t window,
                      DutyResult result) {
  state.m_report.m_busy = false;
  LogLine("usage_reported")
      .Add("window", static_cast<std::int64_t>(window))
      .Add("result", ToName(result))
      .Add("fence", static_cast<std::int64_t>(FencingNumberOf(state.m_holder)));
  if (result == DutyResult::kAccepted) {
    ++state.m_counters.m_reports;
    state.m_report.m_accepted = std::max(state.m_report.m_accepted, window);
    return;
  }
  ++state.m_counters.m_report_faults;
  state.m_report.m_due = state.m_clock() + kRetryDelay;
  if (result == DutyResult::kFenced) {
    OnFencingRejected(state.m_holder, state.m_clock());
  }
}

void ReportUsage(ControlState& state) {
  ReportState& report = state.m_report;
  const Instant now = state.m_clock();
  if (state.m_stopping || report.m_busy || now < report.m_due ||
      !MayAct(state.m_holder, now)) {
    return;
  }
  const schema::FixedWindow* window = FindUnreported(state);
  if (window == nullptr) return;
  report.m_busy = true;
  const DutyHolder holder{state.m_options.m_name,
                          FencingNumberOf(state.m_holder),
                          CallTimeLeft(state.m_holder, now)};
  state.m_duty_port->ReportUsage(
      holder, *window, [&state, number = window->window()](DutyResult result) {
        OnReportResponse(state, number, result);
      });
}

// Sends the next endpoint order that is due.
void OrderEndpoints(ControlState& state) {
  const Instant now = state.m_clock();
  if (state.m_stopping || state.m_order_in_flight ||
      !MayAct(state.m_holder, now) || !state.m_catalog ||
      !state.m_endpoints_cursor.m_initialized) {
    return;
  }
  const auto order = NextOrder(state.m_fleet, *state.m_catalog,
                               ListEntries(state.m_directory), now);
  if (!order) return;
  state.m_order_in_flight = true;
  OnOrderSent(state.m_fleet, *order, now);
  const DutyHolder holder{state.m_options.m_name,
                          FencingNumberOf(state.m_holder),
                          CallTimeLeft(state.m_holder, now)};
  state.m_duty_port->OrderEndpoints(
      holder, *order, [&state, order = *order](DutyResult result) {
        state.m_order_in_flight = false;
        LogLine("endpoints_ordered")
            .Add("service", order.m_service)
            .Add("zone", order.m_zone)
            .Add("cheap", order.m_cheap ? 1 : 0)
            .Add("count", order.m_count)
            .Add("result", ToName(result))
            .Add("fence",
                 static_cast<std::int64_t>(FencingNumberOf(state.m_holder)));
        OnOrderEnded(state.m_fleet, order, result, state.m_clock());
      });
}

}  // namespace

std::string UsageProducer(const ControlState& state) {
  return state.m_options.m_name + "-" +
         std::to_string(state.m_options.m_incarnation);
}

Duration UsageRetryDelay(const ControlState& state) {
  return std::clamp<Duration>(
      kUsageRetryDelayPerInstance * state.m_live_instances, kRetryDelay,
      kMaxUsageRetryDelay);
}

void OnUsageStored(ControlState& state, std::uint64_t sequence) {
  // Another instance may have stored it already.
  if (sequence != state.m_flush.m_sequence) return;
  state.m_flush.m_pending_record.clear();
  // Counts that accumulated while the record could not be stored are sent
  // immediately: after an outage the holder of the duties waits only for a
  // limited time.
  if (state.m_flush.m_append_failed) state.m_flush.m_due = {};
  state.m_flush.m_append_failed = false;
  ++state.m_flush.m_sequence;
}

void AddUsageCounts(ControlState& state, const schema::UsageCounts& counts) {
  for (const schema::UsageCount& count : counts.counts()) {
    state.m_flush.m_counts[{count.window(), count.workspace()}] +=
        count.requests();
  }
}

void RunDuties(ControlState& state) {
  // The next holder may act as soon as the duties are released.
  const bool calls = state.m_report.m_busy || state.m_order_in_flight;
  state.m_holder.m_stopping = state.m_stopping && !calls;
  FlushUsage(state);
  if (CompetesForDuties(state)) {
    FollowDuties(state);
    if (IsHolder(state.m_holder)) FollowUsage(state);
    AppendDuties(state);
  } else {
    // The known state of the duties is out of date when this instance competes
    // for them again.
    state.m_holder.m_caught_up = false;
  }
  ReportUsage(state);
  OrderEndpoints(state);
  LogHolderChange(state);
}

bool IsHandedOver(const ControlState& state) {
  return state.m_flush.m_counts.empty() &&
         state.m_flush.m_pending_record.empty() && !IsHolder(state.m_holder) &&
         !state.m_holder.m_appending;
}

}  // namespace comfreypaddle
