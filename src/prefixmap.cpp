#include "prefixmap.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Time after its last use for which a prefix counts as cached.
constexpr Duration kHolderLifetime = std::chrono::seconds(20);

// Bounds of the map: about 2 MB.
constexpr std::size_t kMaxPrefixes = 4096;
constexpr std::size_t kMaxHolders = 6;

bool IsCurrent(const PrefixHolder& holder, Instant now) {
  return now - holder.m_used < kHolderLifetime;
}

void DiscardOutdated(std::vector<PrefixHolder>& holders, Instant now) {
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [now](const PrefixHolder& holder) {
                                 return !IsCurrent(holder, now);
                               }),
                holders.end());
}

// Makes room for another prefix. If all are current, the map starts anew.
void MakeRoom(PrefixMap& map, Instant now) {
  for (auto at = map.m_holders.begin(); at != map.m_holders.end();) {
    DiscardOutdated(at->second, now);
    at = at->second.empty() ? map.m_holders.erase(at) : std::next(at);
  }
  if (map.m_holders.size() >= kMaxPrefixes) map.m_holders.clear();
}

}  // namespace

bool RecordPrefix(PrefixMap& map, std::uint64_t prefix_hash,
                  const std::string& endpoint, std::uint64_t born_ms,
                  Instant now) {
  if (map.m_holders.size() >= kMaxPrefixes &&
      map.m_holders.count(prefix_hash) == 0) {
    MakeRoom(map, now);
  }
  std::vector<PrefixHolder>& holders = map.m_holders[prefix_hash];
  DiscardOutdated(holders, now);
  const auto known = std::find_if(holders.begin(), holders.end(),
                                  [&endpoint](const PrefixHolder& holder) {
                                    return holder.m_endpoint == endpoint;
                                  });
  bool is_news = true;
  if (known != holders.end()) {
    is_news = known->m_born_ms != born_ms ||
              now - known->m_used >= kHolderLifetime / 2;
    // The time of the last report is kept, so that the next one is due in time.
    if (!is_news) return false;
    holders.erase(known);
  }
  // The holders are ordered by their last use.
  if (holders.size() >= kMaxHolders) holders.erase(holders.begin());
  holders.push_back({endpoint, born_ms, now});
  return is_news;
}

std::vector<PrefixHolder> FindHolders(const PrefixMap& map,
                                      std::uint64_t prefix_hash, Instant now) {
  const auto found = map.m_holders.find(prefix_hash);
  if (found == map.m_holders.end()) return {};
  std::vector<PrefixHolder> holders = found->second;
  DiscardOutdated(holders, now);
  return holders;
}

}  // namespace comfreypaddle
