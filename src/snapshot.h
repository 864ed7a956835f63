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

// Maximum size of a part, so that a batch of 1 MiB has room for other records.
inline constexpr std::size_t kSnapshotPartBytes = 262'144;

// Serializes the state. Instants are stored as ages relative to now.
std::string EncodeSnapshot(const LogState& state, Instant now);

// Decodes a serialized snapshot; returns nothing if it is invalid. Lease terms
// start at now, which is later than when they were first read.
std::optional<LogState> DecodeSnapshot(std::string_view data, Instant now);

// Splits a serialized snapshot of a state with this next offset into records.
std::vector<SnapshotPart> SplitSnapshot(const std::string& data,
                                        std::uint64_t covers);

// Snapshot parts read so far, by covered offset and writer. The writer is part
// of the key because the snapshots of two writers of the same offset may differ
// in their bytes.
struct SnapshotCollector {
  using Key = std::tuple<std::uint64_t, std::string, std::uint64_t>;

  std::map<Key, std::map<std::uint32_t, SnapshotPart>> m_parts;
};

// Adds the snapshot parts of a batch. Drops the snapshots older than the newest
// complete one.
void CollectParts(SnapshotCollector& collector, const RecordBatch& batch);

// Returns the data of the newest complete snapshot, provided that it covers the
// log at least up to the given offset.
std::optional<std::string> NewestSnapshot(const SnapshotCollector& collector,
                                          std::uint64_t covers_at_least);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SNAPSHOT_H_
