#ifndef COMFREYPADDLE_CATCHUP_H_
#define COMFREYPADDLE_CATCHUP_H_

#include <cstdint>
#include <optional>

#include "records.pb.h"
#include "snapshot.h"
#include "types.h"

namespace comfreypaddle {

// What the reader of the log does.
enum class ReadPhase {
  kProbe,   // Asks which offsets the log keeps.
  kScan,    // Looks for a snapshot near the end of the log.
  kFollow,  // Folds each entry as it comes.
};

template <>
struct EnumNames<ReadPhase> {
  static constexpr std::array<EnumName<ReadPhase>, 3> kTable{
      {{ReadPhase::kProbe, "probe"},
       {ReadPhase::kScan, "scan"},
       {ReadPhase::kFollow, "follow"}}};
};

// Progress of a reader from its start, or from having fallen behind, to the
// end of the log. A snapshot counts if the log still keeps the offset that it
// covers; the reader follows from there. The entries of a scan are not kept,
// because their size has no bound.
struct CatchUp {
  ReadPhase m_phase = ReadPhase::kProbe;
  std::uint64_t m_scan_window =
      4000;  // Offsets before the end that are scanned.
  std::uint64_t m_probe_from = 0;
  std::uint64_t m_first_retained = 0;
  std::uint64_t m_scan_from = 0;
  std::uint64_t m_scan_next = 0;
  SnapshotCollector m_collector;
};

struct ReadRequest {
  std::uint64_t m_from = 1;
  std::uint32_t m_max = 1;
  bool m_wait = false;  // Whether to wait for an entry at the end of the log.
};

// What to do after an answer.
enum class CatchUpStep {
  kReadOn,   // Send the next read.
  kRestore,  // A snapshot was found: take its state and follow from there.
  kUnrecoverable,  // The log keeps neither the next offset nor a snapshot.
};

// Read that the reader sends next. next_offset is the first one not folded.
ReadRequest NextRead(const CatchUp& reader, std::uint64_t next_offset);

// Takes the answer to a probe: decides between following from next_offset and
// scanning for a snapshot.
void HandleProbe(CatchUp& reader, const schema::LogBatch& batch,
                 std::uint64_t next_offset);

// Takes entries of a scan.
CatchUpStep HandleScan(CatchUp& reader, const schema::LogBatch& batch,
                       std::uint64_t next_offset);

// Serialized snapshot that a scan found, if any, of a state later than
// next_offset.
std::optional<std::string> FindSnapshot(const CatchUp& reader,
                                        std::uint64_t next_offset);

// Starts again after the log stopped keeping an offset that was asked for.
// first_retained is zero if the log did not tell.
void RestartCatchUp(CatchUp& reader, std::uint64_t first_retained);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CATCHUP_H_
