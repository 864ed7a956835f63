#include "keyedmirror.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// Delay after a call to the store that failed.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

// Reads of the list of instances after which this one may write. Before that,
// all instances of a starting deployment take themselves for the reader of
// their zone.
constexpr std::uint32_t kReadsBeforeWriting = 3;

void TakeRecords(KeyedMirror& mirror, const ReadResult& result) {
  mirror.m_is_read = true;
  mirror.m_stored.clear();
  for (const StreamRecord& record : result.m_records) {
    if (!record.m_removed) mirror.m_stored[record.m_key] = record.m_value;
  }
}

void Read(ControlState& state, KeyedMirror& mirror,
          const std::function<void()>& on_read) {
  mirror.m_busy = true;
  state.m_store->ReadNewest(
      mirror.m_stream, [&state, &mirror, on_read](const ReadResult& result) {
        mirror.m_busy = false;
        if (RecordStoreCall(state, result) == StoreFault::kNone) {
          TakeRecords(mirror, result);
          on_read();
        } else {
          mirror.m_due = state.m_clock() + kRetryDelay;
        }
      });
}

// Writes a record, or drops it if the value is empty.
void Write(ControlState& state, KeyedMirror& mirror, const std::string& key,
           const std::string& value) {
  StreamAppend append;
  append.m_stream = mirror.m_stream;
  append.m_key = key;
  append.m_value = value;
  mirror.m_busy = true;
  state.m_store->Append(
      append, [&state, &mirror, key, value](const AppendResult& result) {
        mirror.m_busy = false;
        if (RecordStoreCall(state, result) != StoreFault::kNone) {
          mirror.m_due = state.m_clock() + kRetryDelay;
          return;
        }
        if (value.empty()) {
          mirror.m_stored.erase(key);
        } else {
          mirror.m_stored[key] = value;
        }
        LogLine("store_record")
            .Add("stream", ToName(mirror.m_stream))
            .Add("key", key)
            .Add("kept", value.empty() ? 0 : 1);
      });
}

void WriteNext(ControlState& state, KeyedMirror& mirror,
               const MirrorRecords& wanted) {
  const auto missing =
      std::find_if(wanted.begin(), wanted.end(), [&mirror](const auto& record) {
        return mirror.m_stored.count(record.first) == 0;
      });
  if (missing != wanted.end()) {
    Write(state, mirror, missing->first, missing->second);
    return;
  }
  const auto outdated =
      std::find_if(mirror.m_stored.begin(), mirror.m_stored.end(),
                   [&wanted](const auto& record) {
                     return wanted.count(record.first) == 0;
                   });
  if (outdated != mirror.m_stored.end()) {
    Write(state, mirror, std::string(outdated->first), "");
  }
}

}  // namespace

void SyncMirror(ControlState& state, KeyedMirror& mirror,
                const std::function<void()>& on_read,
                const std::function<MirrorRecords()>& wanted) {
  if (HasUpstream(state.m_upstream) || !state.m_instances_cursor.m_initialized)
    return;
  if (mirror.m_busy || state.m_clock() < mirror.m_due) return;
  if (!mirror.m_is_read) {
    Read(state, mirror, on_read);
  } else if (state.m_instance_reads >= kReadsBeforeWriting) {
    WriteNext(state, mirror, wanted());
  }
}

}  // namespace comfreypaddle
