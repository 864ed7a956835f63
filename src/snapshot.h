#ifndef COMFREYPADDLE_SNAPSHOT_H_
#define COMFREYPADDLE_SNAPSHOT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "record.h"
#include "state.h"

namespace comfreypaddle {

// Size of one part; a batch of 1 MiB holds several with other records.
inline constexpr std::size_t kSnapshotPartBytes = 262'144;

// Serialized state. The instants in it are stored as ages at now.
std::string EncodeSnapshot(const LogState& state, Instant now);

// State of a serialized snapshot, or nothing if it does not decode. Terms of
// leases count from now, which is later than when they were read first.
std::optional<LogState> DecodeSnapshot(std::string_view data, Instant now);

// Records that carry a serialized snapshot of a state with this next offset.
std::vector<SnapshotPart> SplitSnapshot(const std::string& data,
                                        std::uint64_t covers);

// Parts of snapshots that were read so far, by what the snapshot covers and
// by its writer: two writers may cover the same offset with different bytes.
struct SnapshotCollector {
  using Key = std::tuple<std::uint64_t, std::string, std::uint64_t>;

  std::map<Key, std::map<std::uint32_t, SnapshotPart>> m_parts;
};

// Adds the parts among the records of a batch. Snapshots that cover less than
// one that is complete are dropped.
void CollectParts(SnapshotCollector& collector, const RecordBatch& batch);

// Data of the complete snapshot that covers the most, provided that it covers
// at least up to the given offset.
std::optional<std::string> NewestSnapshot(const SnapshotCollector& collector,
                                          std::uint64_t covers_at_least);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SNAPSHOT_H_
