#include "common_cache.h"

#include <xxhash.h>

namespace comfreypaddle::standins {

namespace {

// Older changes are discarded, so a slow reader sees a gap in the positions.
constexpr std::size_t kMaxChanges = 10'000;

void Publish(PrefixCache& cache, bool evicted, std::uint64_t block,
             Instant now) {
  const std::uint64_t position = cache.m_next_change++;
  if (cache.m_gap_every != 0 && position % cache.m_gap_every == 0) return;
  cache.m_changes.push_back({position, evicted, block, now});
  if (cache.m_changes.size() > kMaxChanges) cache.m_changes.pop_front();
}

}  // namespace

std::vector<std::uint64_t> BlockHashes(std::string_view prompt,
                                       std::string_view adapter) {
  constexpr std::size_t kBlockBytes =
      std::size_t{kBlockTokens} * kBytesPerToken;
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / kBlockBytes);
  std::uint64_t hash = XXH3_64bits(adapter.data(), adapter.size());
  while (prompt.size() >= kBlockBytes) {
    hash = XXH3_64bits_withSeed(prompt.data(), kBlockBytes, hash);
    blocks.push_back(hash);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

std::size_t CountCachedBlocks(PrefixCache& cache,
                              const std::vector<std::uint64_t>& blocks) {
  std::size_t count = 0;
  for (const std::uint64_t block : blocks) {
    const auto found = cache.m_blocks.find(block);
    if (found == cache.m_blocks.end()) break;
    cache.m_order.splice(cache.m_order.begin(), cache.m_order, found->second);
    ++count;
  }
  return count;
}

void InsertBlocks(PrefixCache& cache, const std::vector<std::uint64_t>& blocks,
                  Instant now) {
  for (const std::uint64_t block : blocks) {
    const auto found = cache.m_blocks.find(block);
    if (found != cache.m_blocks.end()) {
      cache.m_order.splice(cache.m_order.begin(), cache.m_order, found->second);
      continue;
    }
    cache.m_order.push_front(block);
    cache.m_blocks[block] = cache.m_order.begin();
    Publish(cache, false, block, now);
  }
  while (cache.m_order.size() > cache.m_max_blocks) {
    const std::uint64_t block = cache.m_order.back();
    cache.m_order.pop_back();
    cache.m_blocks.erase(block);
    Publish(cache, true, block, now);
  }
}

}  // namespace comfreypaddle::standins
