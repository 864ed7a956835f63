#include "crashtable.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace comfreypaddle {

namespace {

// Crashes after which a suspect is condemned.
constexpr std::size_t kCrashesToCondemn = 3;

// Time after its last crash for which a suspect is refused.
constexpr Duration kCrashRetention = std::chrono::minutes(10);

std::size_t CountBlamed(const SuspectRow& row) {
  return std::count_if(row.m_strikes.begin(), row.m_strikes.end(),
                       [](const CrashStrike& s) { return !s.m_cleared; });
}

}  // namespace

std::uint64_t CrashId(const std::string& endpoint, std::uint64_t born_ms) {
  return XXH64(endpoint.data(), endpoint.size(), born_ms);
}

bool AddStrike(CrashTable& table, const SuspectKey& key,
               const CrashStrike& strike) {
  std::vector<CrashStrike>& strikes = table.m_rows[key].m_strikes;
  const bool listed = std::any_of(strikes.begin(), strikes.end(),
                                  [&strike](const CrashStrike& known) {
                                    return known.m_crash == strike.m_crash;
                                  });
  if (!listed) strikes.push_back(strike);
  return !listed;
}

bool ClearSuspect(CrashTable& table, const SuspectKey& key) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return false;
  bool changed = false;
  for (CrashStrike& strike : found->second.m_strikes) {
    changed |= !std::exchange(strike.m_cleared, true);
  }
  return changed;
}

std::size_t CountStrikes(const CrashTable& table, const SuspectKey& key) {
  const auto found = table.m_rows.find(key);
  return found == table.m_rows.end() ? 0 : CountBlamed(found->second);
}

bool IsCondemned(const CrashTable& table, const SuspectKey& key, Instant now) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return false;
  const SuspectRow& row = found->second;
  return CountBlamed(row) >= kCrashesToCondemn &&
         now - row.m_strikes.back().m_at < kCrashRetention;
}

}  // namespace comfreypaddle
