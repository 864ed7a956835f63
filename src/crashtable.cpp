#include "crashtable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace comfreypaddle {

namespace {

// Crashes after which a suspect is condemned.
constexpr std::size_t kCrashesToCondemn = 3;

// Crashes of a prompt part within this time count as one.
constexpr Duration kIncidentLength = std::chrono::milliseconds(200);

// Time from the crash that condemned a prompt part to its first trial.
constexpr Duration kFirstTrialDelay = std::chrono::seconds(5);

// Time after which a trial without a result may be followed by another.
constexpr Duration kTrialTime = std::chrono::seconds(10);

std::size_t CountBlamed(const SuspectRow& row) {
  return std::count_if(row.m_strikes.begin(), row.m_strikes.end(),
                       [](const CrashStrike& s) { return !s.m_cleared; });
}

// Number of incidents among the crashes blamed on the suspect: crashes that are
// close together count as one.
std::size_t CountIncidents(const SuspectRow& row) {
  std::vector<Instant> times;
  for (const CrashStrike& strike : row.m_strikes) {
    if (!strike.m_cleared) times.push_back(strike.m_at);
  }
  std::sort(times.begin(), times.end());
  std::size_t incidents = 0;
  Instant end{};
  for (const Instant at : times) {
    if (incidents > 0 && at < end) continue;
    ++incidents;
    end = at + kIncidentLength;
  }
  return incidents;
}

// Time from the newest crash of a condemned part to its next trial. It doubles
// with each incident.
Duration TrialDelay(const SuspectRow& row) {
  Duration delay = kFirstTrialDelay;
  for (std::size_t i = kCrashesToCondemn; i < CountIncidents(row); ++i) {
    delay = std::min(2 * delay, kCrashRetention);
  }
  return delay;
}

// When the condemned suspect is tried again or forgotten.
Instant TrialDue(const SuspectKey& key, const SuspectRow& row) {
  if (key.m_kind != SuspectKind::kPromptPart) {
    return NewestStrike(row) + kCrashRetention;
  }
  return std::max(NewestStrike(row) + TrialDelay(row), row.m_trial_ends);
}

// Whether this instance tries the suspect.
bool IsTriedHere(const SuspectKey& key, const TrialShare& share) {
  return key.m_kind == SuspectKind::kPromptPart && share.m_instances > 0 &&
         key.m_hash % share.m_instances == share.m_position;
}

// Makes room for a new suspect.
void EvictWeakest(CrashTable& table) {
  const auto weakest = std::min_element(
      table.m_rows.begin(), table.m_rows.end(),
      [](const auto& a, const auto& b) {
        return std::make_pair(CountBlamed(a.second), NewestStrike(a.second)) <
               std::make_pair(CountBlamed(b.second), NewestStrike(b.second));
      });
  if (weakest != table.m_rows.end()) table.m_rows.erase(weakest);
}

}  // namespace

std::uint64_t CrashId(const std::string& endpoint, std::uint64_t born_ms) {
  return XXH64(endpoint.data(), endpoint.size(), born_ms);
}

Instant NewestStrike(const SuspectRow& row) {
  Instant newest{};
  for (const CrashStrike& strike : row.m_strikes) {
    newest = std::max(newest, strike.m_at);
  }
  return newest;
}

bool AddStrike(CrashTable& table, const SuspectKey& key,
               const CrashStrike& strike) {
  auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) {
    ExpireStrikes(table, strike.m_at);
    if (table.m_rows.size() >= kMaxSuspectRows) EvictWeakest(table);
    found = table.m_rows.emplace(key, SuspectRow{}).first;
  }
  std::vector<CrashStrike>& strikes = found->second.m_strikes;
  const bool listed = std::any_of(strikes.begin(), strikes.end(),
                                  [&strike](const CrashStrike& known) {
                                    return known.m_crash == strike.m_crash;
                                  });
  if (listed) return false;
  if (strikes.size() >= kMaxStrikesPerSuspect) {
    const auto cleared =
        std::find_if(strikes.begin(), strikes.end(),
                     [](const CrashStrike& known) { return known.m_cleared; });
    if (strike.m_cleared || cleared == strikes.end()) return false;
    strikes.erase(cleared);
  }
  strikes.push_back(strike);
  return true;
}

bool MergeSuspect(CrashTable& table, const SuspectKey& key,
                  const SuspectRow& other) {
  bool changed = false;
  for (const CrashStrike& strike : other.m_strikes) {
    if (AddStrike(table, key, strike)) {
      changed = true;
      continue;
    }
    if (!strike.m_cleared) continue;
    for (CrashStrike& known : table.m_rows.at(key).m_strikes) {
      if (known.m_crash != strike.m_crash) continue;
      changed |= !std::exchange(known.m_cleared, true);
    }
  }
  return changed;
}

std::uint64_t DigestOf(const CrashTable& table) {
  std::uint64_t digest = 0;
  for (const auto& [key, row] : table.m_rows) {
    for (const CrashStrike& strike : row.m_strikes) {
      const std::array<std::uint64_t, 3> fields{
          key.m_hash, strike.m_crash,
          2 * static_cast<std::uint64_t>(key.m_kind) +
              static_cast<std::uint64_t>(strike.m_cleared)};
      // A sum, because the strikes of a row are in the order of arrival.
      digest += XXH64(fields.data(), sizeof(fields), 0);
    }
  }
  return digest;
}

void ExpireStrikes(CrashTable& table, Instant now) {
  for (auto& [key, row] : table.m_rows) {
    std::erase_if(row.m_strikes, [now](const CrashStrike& strike) {
      return now - strike.m_at >= kCrashRetention;
    });
  }
  std::erase_if(table.m_rows,
                [](const auto& row) { return row.second.m_strikes.empty(); });
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
  const std::size_t crashes = key.m_kind == SuspectKind::kPromptPart
                                  ? CountIncidents(row)
                                  : CountBlamed(row);
  return crashes >= kCrashesToCondemn &&
         now - NewestStrike(row) < kCrashRetention;
}

SuspectVerdict JudgeSuspects(const CrashTable& table,
                             const std::vector<SuspectKey>& keys,
                             const TrialShare& share, Instant now) {
  SuspectVerdict verdict = SuspectVerdict::kSound;
  for (const SuspectKey& key : keys) {
    if (!IsCondemned(table, key, now)) continue;
    const bool due = now >= TrialDue(key, table.m_rows.at(key));
    if (!due || !IsTriedHere(key, share)) return SuspectVerdict::kRefused;
    verdict = SuspectVerdict::kTrial;
  }
  return verdict;
}

void BeginTrial(CrashTable& table, const std::vector<SuspectKey>& keys,
                Instant now) {
  for (const SuspectKey& key : keys) {
    if (!IsCondemned(table, key, now)) continue;
    table.m_rows.at(key).m_trial_ends = now + kTrialTime;
  }
}

Instant NextTrial(const CrashTable& table, const std::vector<SuspectKey>& keys,
                  Instant now) {
  Instant next = now;
  for (const SuspectKey& key : keys) {
    if (!IsCondemned(table, key, now)) continue;
    next = std::max(next, TrialDue(key, table.m_rows.at(key)));
  }
  return next;
}

}  // namespace comfreypaddle
