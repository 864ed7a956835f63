#include "suspect.h"

#include <algorithm>

namespace comfreypaddle {
namespace {

constexpr std::size_t kCrashesToRefuse = 2;

void EvictOldest(SuspectTable& table) {
  const auto oldest =
      std::min_element(table.m_suspects.begin(), table.m_suspects.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.m_last_crash < b.second.m_last_crash;
                       });
  if (oldest != table.m_suspects.end()) table.m_suspects.erase(oldest);
}

bool HasExpired(const Suspect& suspect, Instant now) {
  return suspect.m_last_crash + kSuspectLifetime < now;
}

}  // namespace

bool ApplySuspectReport(SuspectTable& table, const SuspectReport& report,
                        Instant now) {
  return report.m_cleared
             ? ReportCompletion(table, report.m_fingerprint, report.m_endpoint)
             : ReportCrash(table, report, now);
}

bool ReportCrash(SuspectTable& table, const SuspectReport& report,
                 Instant now) {
  const auto found = table.m_suspects.find(report.m_fingerprint);
  if (found == table.m_suspects.end() &&
      table.m_suspects.size() >= kMaxSuspects) {
    EvictOldest(table);
  }
  Suspect& suspect = table.m_suspects[report.m_fingerprint];
  if (HasExpired(suspect, now)) suspect.m_crashes.clear();
  const bool listed =
      std::any_of(suspect.m_crashes.begin(), suspect.m_crashes.end(),
                  [&report](const SuspectCrash& crash) {
                    return crash.m_crash_id == report.m_crash_id;
                  });
  suspect.m_last_crash = now;
  if (listed || suspect.m_crashes.size() >= kCrashesToRefuse) return false;
  suspect.m_crashes.push_back({report.m_endpoint, report.m_crash_id});
  return true;
}

bool ReportCompletion(SuspectTable& table, std::uint64_t fingerprint,
                      const std::string& endpoint) {
  const auto found = table.m_suspects.find(fingerprint);
  if (found == table.m_suspects.end()) return false;
  const std::vector<SuspectCrash>& crashes = found->second.m_crashes;
  if (crashes.size() != 1 || crashes.front().m_endpoint == endpoint) {
    return false;
  }
  table.m_suspects.erase(found);
  return true;
}

SuspectAction ChooseSuspectAction(const SuspectTable& table,
                                  std::uint64_t fingerprint, Instant now) {
  const auto found = table.m_suspects.find(fingerprint);
  if (found == table.m_suspects.end() || HasExpired(found->second, now)) {
    return SuspectAction::kNormal;
  }
  return found->second.m_crashes.size() >= kCrashesToRefuse
             ? SuspectAction::kRefuse
             : SuspectAction::kIsolate;
}

void ExpireSuspects(SuspectTable& table, Instant now) {
  std::erase_if(table.m_suspects,
                [now](const auto& row) { return HasExpired(row.second, now); });
}

}  // namespace comfreypaddle
