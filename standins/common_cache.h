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

// Tokens of one cached block and the bytes of prompt that stand for a token.
inline constexpr std::uint32_t kBlockTokens = 64;
inline constexpr std::uint32_t kBytesPerToken = 4;

struct CacheChange {
  std::uint64_t m_position = 0;
  bool m_evicted = false;
  std::uint64_t m_block = 0;
  Instant m_at;
};

// Least recently used prompt blocks, bounded in number. A block is named by
// the hash of the prompt up to its end.
struct PrefixCache {
  std::size_t m_max_blocks = 0;
  std::list<std::uint64_t> m_order;  // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_blocks;
  std::deque<CacheChange> m_changes;
  std::uint64_t m_next_change = 1;
  // Every n-th change is never published; zero publishes all.
  std::uint32_t m_gap_every = 0;
};

// Returns the names of the whole blocks of a prompt.
std::vector<std::uint64_t> BlocksOf(std::string_view prompt,
                                    std::string_view adapter);

// Returns the number of blocks at the front that are cached, and marks them
// as used.
std::size_t FindCached(PrefixCache& cache,
                       const std::vector<std::uint64_t>& blocks);

// Adds blocks and evicts the least recently used ones beyond the bound.
void StoreBlocks(PrefixCache& cache, const std::vector<std::uint64_t>& blocks,
                 Instant now);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_CACHE_H_
