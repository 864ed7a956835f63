#ifndef COMFREYPADDLE_CATCHUP_H_
#define COMFREYPADDLE_CATCHUP_H_

#include <cstdint>
#include <optional>

#include "records.pb.h"
#include "snapshot.h"
#include "types.h"

namespace comfreypaddle {

// Phase of the log reader.
enum class ReadPhase {
  kProbe,   // Queries the range of offsets that the log retains.
  kScan,    // Searches the end of the log for a snapshot.
  kFollow,  // Applies entries as they arrive.
};

template <>
struct EnumNames<ReadPhase> {
  static constexpr std::array<EnumName<ReadPhase>, 3> kTable{
      {{ReadPhase::kProbe, "probe"},
       {ReadPhase::kScan, "scan"},
       {ReadPhase::kFollow, "follow"}}};
};

// State of a log reader that catches up after a start or after falling behind.
// A snapshot is usable if the log still retains the first offset that it does
// not cover, from where the reader follows the log. Scanned entries are
// discarded, because their total size is unbounded.
struct CatchUp {
  ReadPhase m_phase = ReadPhase::kProbe;
  std::uint64_t m_scan_window = 4000;  // Offsets to scan before the end.
  std::uint64_t m_probe_from = 0;
  std::uint64_t m_first_retained = 0;
  std::uint64_t m_scan_from = 0;
  std::uint64_t m_scan_next = 0;
  SnapshotCollector m_collector;
};

struct ReadRequest {
  std::uint64_t m_from = 1;
  std::uint32_t m_max = 1;
  bool m_wait = false;  // Whether to long-poll at the end of the log.
};

// Next step after a scan answer.
enum class CatchUpStep {
  kReadOn,         // Send the next read.
  kRestore,        // Restore the snapshot found and follow from there.
  kUnrecoverable,  // Neither the next offset nor a snapshot is retained.
};

// Returns the next read to send. next_offset is the first one not applied.
ReadRequest NextRead(const CatchUp& reader, std::uint64_t next_offset);

// Handles the answer to a probe: either follows from next_offset or starts to
// scan for a snapshot.
void HandleProbe(CatchUp& reader, const schema::LogBatch& batch,
                 std::uint64_t next_offset);

// Handles the answer to a scan read.
CatchUpStep HandleScan(CatchUp& reader, const schema::LogBatch& batch,
                       std::uint64_t next_offset);

// Returns the serialized snapshot found by the scan, if there is one of a state
// beyond next_offset.
std::optional<std::string> FindSnapshot(const CatchUp& reader,
                                        std::uint64_t next_offset);

// Restarts from the probe after the log has trimmed a requested offset.
// first_retained is zero if the log did not report it.
void RestartCatchUp(CatchUp& reader, std::uint64_t first_retained);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CATCHUP_H_
