#include "streamstore.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "storeera.h"
#include "storereader.h"
#include "streamcodec.h"
#include "streamholders.h"

namespace comfreypaddle {

namespace {

// Time between two records of the reader of a zone, and between two calls of an
// instance to it. A kill of all instances loses the streams that began in this
// time.
constexpr Duration kWriteInterval = std::chrono::milliseconds(500);
constexpr Duration kHandoverInterval = std::chrono::milliseconds(200);

// Shortest time between two reads.
constexpr Duration kReadInterval = std::chrono::milliseconds(250);

// Most streams that wait to be written, and that are in one record: 200 KB.
constexpr int kMaxWaiting = 4096;

// Age of a record after which its streams are not taken up any more, with the
// difference between the clocks of two instances.
constexpr Duration kMaxRecordAge = kResumeWindow + std::chrono::seconds(5);

std::uint64_t UnixMs(const ControlState& state) {
  const Duration time = state.m_clock().time_since_epoch();
  return static_cast<std::uint64_t>(ToMs(time + state.m_unix_at_zero));
}

void OnWritten(ControlState& state, const schema::StreamBeginList& begun,
               bool is_written) {
  state.m_stream_store.m_is_writing = false;
  if (!is_written) StoreStreams(state, begun);
}

void Append(ControlState& state, const schema::StreamBeginList& begun) {
  schema::StoredStreams record;
  record.set_written_unix_ms(UnixMs(state));
  *record.mutable_begun() = begun;
  StreamAppend append;
  append.m_stream = Stream::kBegunStreams;
  append.m_value = record.SerializeAsString();
  state.m_store->Append(append, [&state, begun](const AppendResult& result) {
    OnWritten(state, begun,
              RecordStoreCall(state, result) == StoreFault::kNone);
  });
}

void HandOver(ControlState& state, const schema::StreamBeginList& begun) {
  schema::StreamExchange exchange;
  *exchange.mutable_to_store() = begun;
  SendStreamExchange(state, state.m_upstream.m_selected.m_address, exchange,
                     [&state, begun](const schema::StreamAnswer* answer) {
                       OnWritten(state, begun, answer != nullptr);
                     });
}

void WriteWaiting(ControlState& state) {
  StreamStore& store = state.m_stream_store;
  const Instant now = state.m_clock();
  if (store.m_waiting.streams().empty() || store.m_is_writing ||
      now < store.m_write_due) {
    return;
  }
  store.m_is_writing = true;
  const schema::StreamBeginList begun = std::exchange(store.m_waiting, {});
  if (HasUpstream(state.m_upstream)) {
    store.m_write_due = now + kHandoverInterval;
    HandOver(state, begun);
  } else {
    store.m_write_due = now + kWriteInterval;
    Append(state, begun);
  }
}

// Adds the streams of a record to the table.
void TakeRecord(ControlState& state, const StreamRecord& record) {
  schema::StoredStreams stored;
  if (!stored.ParseFromString(record.m_value)) return;
  const double age_ms = static_cast<double>(UnixMs(state)) -
                        static_cast<double>(stored.written_unix_ms());
  if (age_ms >= ToMs(kMaxRecordAge)) return;
  const Instant now = state.m_clock();
  for (const schema::StreamBegin& begin : stored.begun().streams()) {
    AddStream(state.m_streams.m_table, begin.attempt(), FromMessage(begin, now),
              now);
  }
}

void EndRead(ControlState& state) {
  StreamStore& store = state.m_stream_store;
  store.m_read_due = state.m_clock() + kReadInterval;
  for (const auto& waiter : std::exchange(store.m_waiters, {})) waiter();
}

void OnRead(ControlState& state, const ReadResult& result) {
  StreamStore& store = state.m_stream_store;
  store.m_is_reading = false;
  const StoreFault fault = RecordStoreCall(state, result);
  const std::uint64_t era = EraOf(state, result);
  if (std::exchange(store.m_era, era) != era && store.m_next > 0) {
    // The offset was one of the older era.
    store.m_next = 0;
  } else if (fault == StoreFault::kTrimmed) {
    store.m_next = result.m_first;
  } else if (fault == StoreFault::kNone && !result.m_records.empty()) {
    for (const StreamRecord& record : result.m_records) {
      TakeRecord(state, record);
    }
    store.m_next = result.m_next;
  } else {
    EndRead(state);
  }
}

void ReadForWaiters(ControlState& state) {
  StreamStore& store = state.m_stream_store;
  if (store.m_waiters.empty() || store.m_is_reading ||
      state.m_clock() < store.m_read_due) {
    return;
  }
  store.m_is_reading = true;
  state.m_store->Read(
      Stream::kBegunStreams, store.m_next, Duration(0),
      [&state](const ReadResult& result) { OnRead(state, result); });
}

}  // namespace

void StoreStreams(ControlState& state, const schema::StreamBeginList& begun) {
  schema::StreamBeginList& waiting = state.m_stream_store.m_waiting;
  for (const schema::StreamBegin& begin : begun.streams()) {
    if (waiting.streams_size() >= kMaxWaiting) {
      LogLine("streams_not_stored").Add("waiting", waiting.streams_size());
      return;
    }
    *waiting.add_streams() = begin;
  }
}

void ReadStoredStreams(ControlState& state, std::function<void()> done) {
  state.m_stream_store.m_waiters.push_back(std::move(done));
  ReadForWaiters(state);
}

void SyncStreamStore(ControlState& state) {
  WriteWaiting(state);
  ReadForWaiters(state);
}

}  // namespace comfreypaddle
