#include "suspectstore.h"

#include <algorithm>
#include <string>
#include <vector>

#include "crashcodec.h"
#include "crashsync.h"
#include "keyedmirror.h"

namespace comfreypaddle {

namespace {

// Most suspects that are recorded. There are few at a time: each has crashed
// several endpoints.
constexpr std::size_t kMaxRecords = 256;

double UnixMs(const ControlState& state) {
  return ToMs(state.m_clock().time_since_epoch() + state.m_unix_at_zero);
}

std::string KeyOf(const SuspectKey& key) {
  return std::string(ToName(key.m_kind)) + "/" + std::to_string(key.m_hash);
}

std::string Encode(const ControlState& state, const SuspectKey& key,
                   const SuspectRow& row) {
  std::vector<CrashEntry> crashes;
  for (const CrashRecord& crash : row.m_crashes) {
    crashes.push_back({key, crash});
  }
  schema::StoredSuspect record;
  record.set_written_unix_ms(UnixMs(state));
  *record.mutable_crashes() = EncodeCrashes(crashes, state.m_clock());
  return record.SerializeAsString();
}

// Merges the records that the store has into the table.
void TakeRecords(ControlState& state) {
  std::vector<CrashEntry> crashes;
  for (const auto& [key, value] : state.m_suspect_records.m_stored) {
    schema::StoredSuspect record;
    if (!record.ParseFromString(value)) continue;
    const double age_ms = std::clamp(UnixMs(state) - record.written_unix_ms(),
                                     0.0, ToMs(kCrashRetention));
    const Instant written = state.m_clock() - FromMs(age_ms);
    for (const CrashEntry& crash : DecodeCrashes(record.crashes(), written)) {
      if (state.m_clock() - crash.m_crash.m_at < kCrashRetention) {
        crashes.push_back(crash);
      }
    }
  }
  LearnCrashes(state, crashes);
}

// Records of what is refused now.
MirrorRecords RecordsOf(const ControlState& state) {
  const CrashTable& table = state.m_suspects.m_table;
  MirrorRecords records;
  for (const auto& [key, row] : table.m_rows) {
    if (records.size() >= kMaxRecords) break;
    if (!IsQuarantined(table, key, state.m_clock())) continue;
    records[KeyOf(key)] = Encode(state, key, row);
  }
  return records;
}

}  // namespace

void SyncSuspectRecords(ControlState& state) {
  SyncMirror(
      state, state.m_suspect_records, [&state] { TakeRecords(state); },
      [&state] { return RecordsOf(state); });
}

}  // namespace comfreypaddle
