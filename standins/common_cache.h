#ifndef COMFREYPADDLE_STANDINS_COMMON_CACHE_H_
#define COMFREYPADDLE_STANDINS_COMMON_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace comfreypaddle::standins {

// Tokens per cached block, and prompt bytes that count as one token.
inline constexpr std::uint32_t kBlockTokens = 64;
inline constexpr std::uint32_t kBytesPerToken = 4;

struct CacheChange {
  std::uint64_t m_position = 0;
  bool m_evicted = false;
  std::uint64_t m_block = 0;
  Instant m_at;
};

// LRU cache of prompt blocks with a maximum block count. A block is identified
// by the hash of the prompt up to the end of the block.
struct PrefixCache {
  std::size_t m_max_blocks = 0;
  std::list<std::uint64_t> m_order;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_blocks;
  std::deque<CacheChange> m_changes;
  std::uint64_t m_next_change = 1;
  // Every n-th change is withheld; zero publishes all changes.
  std::uint32_t m_gap_every = 0;
};

// Returns the hashes of the complete blocks of a prompt.
std::vector<std::uint64_t> BlockHashes(std::string_view prompt,
                                       std::string_view adapter);

// Returns the length of the cached prefix in blocks and marks those blocks as
// recently used.
std::size_t CountCachedBlocks(PrefixCache& cache,
                              const std::vector<std::uint64_t>& blocks);

// Inserts blocks and evicts the least recently used ones above the limit.
void InsertBlocks(PrefixCache& cache, const std::vector<std::uint64_t>& blocks,
                  Instant now);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_CACHE_H_
