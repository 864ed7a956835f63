#include "catchup.h"

#include <algorithm>

#include "codec.h"

namespace comfreypaddle {
namespace {

constexpr std::uint32_t kEntriesPerRead = 512;

// Growth factor of the scan window when it contains no snapshot.
constexpr std::uint64_t kScanWindowGrowth = 4;

void BeginScan(CatchUp& reader, std::uint64_t end, std::uint64_t next_offset) {
  const std::uint64_t back = end > reader.m_scan_window
                                 ? end - reader.m_scan_window
                                 : std::uint64_t{1};
  reader.m_phase = ReadPhase::kScan;
  reader.m_scan_from = std::max({reader.m_first_retained, next_offset, back});
  reader.m_scan_next = reader.m_scan_from;
  reader.m_collector = {};
}

}  // namespace

ReadRequest NextRead(const CatchUp& reader, std::uint64_t next_offset) {
  switch (reader.m_phase) {
    case ReadPhase::kProbe:
      return {std::max(next_offset, reader.m_probe_from), 1, false};
    case ReadPhase::kScan:
      return {reader.m_scan_next, kEntriesPerRead, false};
    case ReadPhase::kFollow:
      break;
  }
  return {next_offset, kEntriesPerRead, true};
}

void HandleProbe(CatchUp& reader, const schema::LogBatch& batch,
                 std::uint64_t next_offset) {
  reader.m_first_retained = std::max<std::uint64_t>(batch.first_retained(), 1);
  const bool kept = reader.m_first_retained <= next_offset;
  if (kept && batch.next_offset() <= next_offset + reader.m_scan_window) {
    reader.m_phase = ReadPhase::kFollow;
    return;
  }
  BeginScan(reader, batch.next_offset(), next_offset);
}

CatchUpStep HandleScan(CatchUp& reader, const schema::LogBatch& batch,
                       std::uint64_t next_offset) {
  for (const schema::LogEntry& entry : batch.entries()) {
    if (entry.offset() != reader.m_scan_next) break;
    ++reader.m_scan_next;
    if (const auto records = ParseBatch(entry.body())) {
      CollectParts(reader.m_collector, *records);
    }
  }
  reader.m_first_retained =
      std::max(reader.m_first_retained, batch.first_retained());
  if (reader.m_scan_next < batch.next_offset()) return CatchUpStep::kReadOn;
  if (FindSnapshot(reader, next_offset)) return CatchUpStep::kRestore;
  if (reader.m_first_retained <= next_offset) {
    reader.m_phase = ReadPhase::kFollow;
    return CatchUpStep::kReadOn;
  }
  if (reader.m_scan_from <= reader.m_first_retained)
    return CatchUpStep::kUnrecoverable;
  reader.m_scan_window *= kScanWindowGrowth;
  BeginScan(reader, batch.next_offset(), next_offset);
  return CatchUpStep::kReadOn;
}

std::optional<std::string> FindSnapshot(const CatchUp& reader,
                                        std::uint64_t next_offset) {
  return NewestSnapshot(reader.m_collector,
                        std::max(reader.m_first_retained, next_offset + 1));
}

void RestartCatchUp(CatchUp& reader, std::uint64_t first_retained) {
  const std::uint64_t window = reader.m_scan_window;
  reader = {};
  reader.m_scan_window = window;
  reader.m_probe_from = first_retained;
}

}  // namespace comfreypaddle
