#ifndef COMFREYPADDLE_PREFIXMAP_H_
#define COMFREYPADDLE_PREFIXMAP_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Endpoint that has the KV cache of a prompt prefix, as far as this instance
// knows: it or another instance has sent a request with that prefix there.
struct PrefixHolder {
  std::string m_endpoint;
  std::uint64_t m_born_ms = 0;  // Start time of the endpoint, Unix time.
  Instant m_used{};             // When the endpoint last used the prefix.
};

// Holders of shared prompt prefixes, by the hash of the prefix. Endpoints evict
// the least recently used prefixes, so a holder counts for a limited time.
struct PrefixMap {
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> m_holders;
};

// Records that the endpoint has just used the prefix. Returns whether that is
// news: the endpoint was no holder, or its last use was some time ago.
bool RecordPrefix(PrefixMap& map, std::uint64_t prefix_hash,
                  const std::string& endpoint, std::uint64_t born_ms,
                  Instant now);

// Returns the endpoints that used the prefix recently, without a guarantee that
// they still run.
std::vector<PrefixHolder> FindHolders(const PrefixMap& map,
                                      std::uint64_t prefix_hash, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PREFIXMAP_H_
