#include "entryduties.h"

#include <algorithm>

#include "dutywindows.h"
#include "eventlog.h"
#include "storereader.h"
#include "usageflush.h"

namespace comfreypaddle {

namespace {

// Maximum wait of a long-poll read of the duties stream.
constexpr Duration kDutiesReadWait = std::chrono::milliseconds(1500);

// Interval between the holder's reads of the usage stream.
constexpr Duration kUsagePollInterval = std::chrono::milliseconds(900);

// Delay after a failed call.
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

void FollowDuties(ControlState& state) {
  StreamCursor& follower = state.m_duties_cursor;
  const Instant now = state.m_clock();
  if (follower.m_busy || now < follower.m_due || state.m_stopping) return;
  follower.m_busy = true;
  // Until the newest record is known, the read must not wait for new records.
  const Duration wait =
      state.m_holder.m_caught_up ? kDutiesReadWait : Duration(0);
  follower.m_next = state.m_holder.m_end;
  state.m_store->Read(
      Stream::kDuties, follower.m_next, wait,
      [&state, now, era = state.m_holder.m_era,
       from = follower.m_next](const ReadResult& result) {
        StreamCursor& done = state.m_duties_cursor;
        done.m_busy = false;
        const StoreFault fault = RecordStoreCall(state, result);
        // The offset was one of the older era.
        if (era != state.m_holder.m_era && from != 0) return;
        if (fault == StoreFault::kTrimmed) {
          state.m_holder.m_end = std::max(state.m_holder.m_end, result.m_first);
          return;
        }
        if (fault != StoreFault::kNone) {
          done.m_due = state.m_clock() + kRetryDelay;
          return;
        }
        OnDutiesRead(state.m_holder, result, now, state.m_clock());
      });
}

void FollowUsage(ControlState& state) {
  StreamCursor& follower = state.m_usage_cursor;
  const Instant now = state.m_clock();
  if (follower.m_busy || now < follower.m_due) return;
  follower.m_busy = true;
  state.m_store->Read(
      Stream::kUsage, follower.m_next, Duration(0),
      [&state, era = state.m_store_era,
       from = follower.m_next](const ReadResult& result) {
        StreamCursor& done = state.m_usage_cursor;
        done.m_busy = false;
        const StoreFault fault = RecordStoreCall(state, result);
        // The offset was one of the older era.
        if (era != state.m_store_era && from != 0) return;
        if (fault == StoreFault::kTrimmed) {
          done.m_next = result.m_first;
          return;
        }
        if (fault != StoreFault::kNone) {
          done.m_due = state.m_clock() + kRetryDelay;
          return;
        }
        // The first reads may not return all records. Until one returns none,
        // the next follows at once and no window is fixed.
        done.m_initialized |= result.m_records.empty();
        done.m_next = result.m_next;
        done.m_due = state.m_clock() +
                     (done.m_initialized ? kUsagePollInterval : Duration(0));
        DropOldWindows(
            state.m_usage_aggregate,
            state.m_clock().time_since_epoch() + state.m_unix_at_zero);
        AddUsageRecords(state.m_usage_aggregate, result,
                        done.m_initialized ? state.m_clock()
                                           : state.m_usage_aggregate.m_read_at);
      });
}

// Only instances that read the store for others compete for the duties, so that
// not every instance has to follow the duties stream.
bool CompetesForDuties(const ControlState& state) {
  if (IsHolder(state.m_holder)) return true;
  return ShouldReadStore(state) && !IsProbingStore(state);
}

void LogHolderChange(ControlState& state) {
  const bool holder = IsHolder(state.m_holder);
  if (holder == state.m_was_holder) return;
  state.m_was_holder = holder;
  // The usage stream was not followed meanwhile.
  if (holder) state.m_usage_cursor.m_initialized = false;
  LogLine(holder ? "duties_taken" : "duties_lost")
      .Add("fence", static_cast<std::int64_t>(FencingNumberOf(state.m_holder)))
      .Add("holder", state.m_holder.m_newest.holder())
      .Add("offset", static_cast<std::int64_t>(state.m_holder.m_end));
}

// Logs that windows were abandoned with the newest record.
void LogAbandoned(const ControlState& state, std::uint64_t previous) {
  const schema::DutyRecord& newest = state.m_holder.m_newest;
  if (!IsHolder(state.m_holder) || newest.abandoned() == previous) return;
  LogLine("usage_windows_abandoned")
      .Add("up_to", static_cast<std::int64_t>(newest.abandoned()))
      .Add("reported", static_cast<std::int64_t>(newest.reported()))
      .Add("fixed", newest.fixed_size())
      .Add("era", static_cast<std::int64_t>(newest.era()));
}

void AppendDuties(ControlState& state) {
  const Instant now = state.m_clock();
  const DutyUpdate next =
      NextDutyRecord(state.m_holder, state.m_usage_aggregate,
                     state.m_report.m_accepted, state.m_unix_at_zero, now);
  const auto append =
      NextDutyAppend(state.m_holder, next.m_record, next.m_changed, now);
  if (!append) return;
  const std::uint64_t abandoned = state.m_holder.m_newest.abandoned();
  state.m_store->Append(
      *append, [&state, abandoned](const AppendResult& result) {
        AppendResult checked = result;
        checked.m_fault = RecordStoreCall(state, result);
        OnDutyAppended(state.m_holder, checked, state.m_clock());
        LogAbandoned(state, abandoned);
        if (checked.m_fault != StoreFault::kNone) {
          LogLine("duty_append_failed")
              .Add("fault", ToName(checked.m_fault))
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

void RunDuties(ControlState& state) {
  // The next holder may act as soon as the duties are released.
  const bool calls = state.m_report.m_busy || state.m_order_in_flight;
  state.m_holder.m_stopping = state.m_stopping && !calls;
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
  return IsUsageStored(state) && !IsHolder(state.m_holder) &&
         !state.m_holder.m_appending;
}

}  // namespace comfreypaddle
