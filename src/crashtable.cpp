#include "crashtable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <utility>

namespace comfreypaddle {

namespace {

// Crashes after which a suspect is quarantined.
constexpr std::size_t kCrashesToQuarantine = 3;

// Crashes of a prompt part within this time count as one unless they are
// confirmed.
constexpr Duration kIncidentLength = std::chrono::milliseconds(200);

// Time from the crash that quarantined a prompt part to its first probe.
constexpr Duration kFirstProbeDelay = std::chrono::seconds(5);

// Time after which a probe without a result may be followed by another.
constexpr Duration kProbeTime = std::chrono::seconds(10);

std::size_t CountBlamed(const SuspectRow& row) {
  return std::count_if(row.m_crashes.begin(), row.m_crashes.end(),
                       [](const CrashRecord& s) { return !s.m_cleared; });
}

// Number of incidents among the crashes blamed on the suspect: of those that
// are close together, each that is confirmed, or one if none is.
std::size_t CountIncidents(const SuspectRow& row) {
  std::vector<std::pair<Instant, bool>> crashes;  // Time, confirmed.
  for (const CrashRecord& crash : row.m_crashes) {
    if (!crash.m_cleared) crashes.emplace_back(crash.m_at, crash.m_confirmed);
  }
  std::sort(crashes.begin(), crashes.end());
  std::size_t incidents = 0;
  std::size_t confirmed = 0;  // Of those that are close together.
  Instant end{};
  for (const auto& [at, is_confirmed] : crashes) {
    if (incidents == 0 || at >= end) {
      ++incidents;
      confirmed = 0;
      end = at + kIncidentLength;
    }
    if (is_confirmed && confirmed++ > 0) ++incidents;
  }
  return incidents;
}

// The crash of the suspect with this id, or null.
const CrashRecord* FindCrash(const SuspectRow& row, std::uint64_t id) {
  const auto found =
      std::find_if(row.m_crashes.begin(), row.m_crashes.end(),
                   [id](const CrashRecord& crash) { return crash.m_id == id; });
  return found == row.m_crashes.end() ? nullptr : &*found;
}

// Ids of all crashes about the time of this one, itself included, whatever they
// are blamed on.
std::set<std::uint64_t> FindCrashesAround(const CrashTable& table,
                                          const CrashRecord& crash) {
  std::set<std::uint64_t> ids{crash.m_id};
  for (const auto& [key, row] : table.m_rows) {
    for (const CrashRecord& other : row.m_crashes) {
      const bool is_near =
          std::chrono::abs(other.m_at - crash.m_at) < kIncidentLength;
      if (is_near) ids.insert(other.m_id);
    }
  }
  return ids;
}

// Time from the newest crash of a quarantined part to its next probe. It
// doubles with each incident.
Duration ProbeDelay(const SuspectRow& row) {
  Duration delay = kFirstProbeDelay;
  for (std::size_t i = kCrashesToQuarantine; i < CountIncidents(row); ++i) {
    delay = std::min(2 * delay, kCrashRetention);
  }
  return delay;
}

// When the quarantined suspect is tried again or forgotten.
Instant ProbeDue(const SuspectKey& key, const SuspectRow& row) {
  if (key.m_kind != SuspectKind::kPromptPart) {
    return NewestCrash(row) + kCrashRetention;
  }
  return std::max(NewestCrash(row) + ProbeDelay(row), row.m_probe_ends);
}

// Whether this instance tries the suspect.
bool IsProbedHere(const SuspectKey& key, const ProbeShare& share) {
  return key.m_kind == SuspectKind::kPromptPart && share.m_instances > 0 &&
         key.m_hash % share.m_instances == share.m_position;
}

// Time between two looks at the whole table for crashes that are too old, as
// long as new ones are added.
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

// Share of a full table that is evicted at once, so that a prompt with many
// parts does not sort the table for each.
constexpr std::size_t kEvictedShare = 8;

// Suspects in the order of eviction: fewer blamed crashes first, then older.
struct RankedSuspect {
  std::size_t m_blamed = 0;
  Instant m_newest{};
  SuspectKey m_key;

  bool operator<(const RankedSuspect& other) const {
    return std::tie(m_blamed, m_newest, m_key) <
           std::tie(other.m_blamed, other.m_newest, other.m_key);
  }
};

std::vector<RankedSuspect> RankSuspects(const CrashTable& table) {
  std::vector<RankedSuspect> ranked;
  ranked.reserve(table.m_rows.size());
  for (const auto& [key, row] : table.m_rows) {
    ranked.push_back({CountBlamed(row), NewestCrash(row), key});
  }
  return ranked;
}

// Makes room for new suspects.
void EvictWeakest(CrashTable& table) {
  std::vector<RankedSuspect> ranked = RankSuspects(table);
  const auto kept = ranked.begin() +
                    static_cast<std::ptrdiff_t>(ranked.size() / kEvictedShare);
  std::nth_element(ranked.begin(), kept, ranked.end());
  for (auto evicted = ranked.begin(); evicted != kept; ++evicted) {
    table.m_rows.erase(evicted->m_key);
  }
}

}  // namespace

std::uint64_t CrashId(const std::string& endpoint, std::uint64_t born_ms) {
  return XXH64(endpoint.data(), endpoint.size(), born_ms);
}

Instant NewestCrash(const SuspectRow& row) {
  Instant newest{};
  for (const CrashRecord& crash : row.m_crashes) {
    newest = std::max(newest, crash.m_at);
  }
  return newest;
}

bool AddCrash(CrashTable& table, const SuspectKey& key,
              const CrashRecord& crash) {
  auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) {
    if (crash.m_at - table.m_expired >= kExpiryInterval) {
      ExpireCrashes(table, crash.m_at);
    }
    if (table.m_rows.size() >= kMaxSuspectRows) EvictWeakest(table);
    found = table.m_rows.emplace(key, SuspectRow{}).first;
  }
  std::vector<CrashRecord>& crashes = found->second.m_crashes;
  if (FindCrash(found->second, crash.m_id) != nullptr) return false;
  if (crashes.size() >= kMaxCrashesPerSuspect) {
    const auto cleared =
        std::find_if(crashes.begin(), crashes.end(),
                     [](const CrashRecord& known) { return known.m_cleared; });
    if (crash.m_cleared || cleared == crashes.end()) return false;
    crashes.erase(cleared);
  }
  crashes.push_back(crash);
  return true;
}

bool MergeCrash(CrashTable& table, const CrashEntry& other) {
  if (AddCrash(table, other.m_key, other.m_crash)) return true;
  bool changed = false;
  for (CrashRecord& known : table.m_rows.at(other.m_key).m_crashes) {
    if (known.m_id != other.m_crash.m_id) continue;
    if (other.m_crash.m_cleared) {
      changed |= !std::exchange(known.m_cleared, true);
    }
    if (other.m_crash.m_confirmed) {
      changed |= !std::exchange(known.m_confirmed, true);
    }
  }
  return changed;
}

std::vector<CrashRecord> BlamedCrashes(const CrashTable& table,
                                       const SuspectKey& key) {
  std::vector<CrashRecord> blamed;
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return blamed;
  for (const CrashRecord& crash : found->second.m_crashes) {
    if (!crash.m_cleared) blamed.push_back(crash);
  }
  return blamed;
}

std::vector<SuspectKey> FindConfirmable(const CrashTable& table,
                                        const CrashRecord& crash,
                                        const std::vector<SuspectKey>& parts) {
  const std::set<std::uint64_t> around = FindCrashesAround(table, crash);
  std::vector<SuspectKey> confirmable;
  if (around.size() < 2) return confirmable;
  for (const SuspectKey& part : parts) {
    const auto found = table.m_rows.find(part);
    if (found == table.m_rows.end()) continue;
    const SuspectRow& row = found->second;
    const CrashRecord* known = FindCrash(row, crash.m_id);
    const bool is_open =
        known != nullptr && !known->m_cleared && !known->m_confirmed;
    const bool was_at_each = std::all_of(
        around.begin(), around.end(),
        [&row](std::uint64_t id) { return FindCrash(row, id) != nullptr; });
    if (is_open && was_at_each) confirmable.push_back(part);
  }
  return confirmable;
}

bool ConfirmCrash(CrashTable& table, const SuspectKey& key, std::uint64_t id) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return false;
  for (CrashRecord& crash : found->second.m_crashes) {
    if (crash.m_id != id || crash.m_cleared) continue;
    return !std::exchange(crash.m_confirmed, true);
  }
  return false;
}

std::vector<CrashEntry> ListCrashes(const CrashTable& table) {
  std::vector<RankedSuspect> ranked = RankSuspects(table);
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<CrashEntry> crashes;
  for (const RankedSuspect& suspect : ranked) {
    for (const CrashRecord& crash : table.m_rows.at(suspect.m_key).m_crashes) {
      crashes.push_back({suspect.m_key, crash});
    }
  }
  return crashes;
}

std::uint64_t DigestOf(const CrashTable& table) {
  // Beyond the other fields, so that tables without confirmed crashes have the
  // same digest as in earlier releases.
  constexpr std::uint64_t kConfirmedWeight = 16;
  std::uint64_t digest = 0;
  for (const auto& [key, row] : table.m_rows) {
    for (const CrashRecord& crash : row.m_crashes) {
      const std::array<std::uint64_t, 3> fields{
          key.m_hash, crash.m_id,
          kConfirmedWeight * static_cast<std::uint64_t>(crash.m_confirmed) +
              2 * static_cast<std::uint64_t>(key.m_kind) +
              static_cast<std::uint64_t>(crash.m_cleared)};
      // A sum, because the crashes of a row are in the order of arrival.
      digest += XXH64(fields.data(), sizeof(fields), 0);
    }
  }
  return digest;
}

void ExpireCrashes(CrashTable& table, Instant now) {
  table.m_expired = now;
  for (auto& [key, row] : table.m_rows) {
    std::erase_if(row.m_crashes, [now](const CrashRecord& crash) {
      return now - crash.m_at >= kCrashRetention;
    });
  }
  std::erase_if(table.m_rows,
                [](const auto& row) { return row.second.m_crashes.empty(); });
}

bool ClearSuspect(CrashTable& table, const SuspectKey& key) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return false;
  bool changed = false;
  for (CrashRecord& crash : found->second.m_crashes) {
    changed |= !std::exchange(crash.m_cleared, true);
  }
  return changed;
}

std::size_t CountCrashes(const CrashTable& table, const SuspectKey& key) {
  const auto found = table.m_rows.find(key);
  return found == table.m_rows.end() ? 0 : CountBlamed(found->second);
}

bool IsQuarantined(const CrashTable& table, const SuspectKey& key,
                   Instant now) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return false;
  const SuspectRow& row = found->second;
  const std::size_t crashes = key.m_kind == SuspectKind::kPromptPart
                                  ? CountIncidents(row)
                                  : CountBlamed(row);
  return crashes >= kCrashesToQuarantine &&
         now - NewestCrash(row) < kCrashRetention;
}

SuspectDecision CheckSuspects(const CrashTable& table,
                              const std::vector<SuspectKey>& keys,
                              const ProbeShare& share, Instant now) {
  SuspectDecision decision = SuspectDecision::kSound;
  for (const SuspectKey& key : keys) {
    if (!IsQuarantined(table, key, now)) continue;
    const bool due = now >= ProbeDue(key, table.m_rows.at(key));
    if (!due || !IsProbedHere(key, share)) return SuspectDecision::kRefused;
    decision = SuspectDecision::kProbe;
  }
  return decision;
}

void BeginProbe(CrashTable& table, const std::vector<SuspectKey>& keys,
                Instant now) {
  for (const SuspectKey& key : keys) {
    if (!IsQuarantined(table, key, now)) continue;
    table.m_rows.at(key).m_probe_ends = now + kProbeTime;
  }
}

Instant NextProbe(const CrashTable& table, const std::vector<SuspectKey>& keys,
                  Instant now) {
  Instant next = now;
  for (const SuspectKey& key : keys) {
    if (!IsQuarantined(table, key, now)) continue;
    next = std::max(next, ProbeDue(key, table.m_rows.at(key)));
  }
  return next;
}

}  // namespace comfreypaddle
