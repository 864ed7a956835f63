#include "crashcodec.h"

#include <map>
#include <tuple>
#include <utility>

namespace comfreypaddle {

namespace {

// Id, time, confirmed.
using CrashIdentity = std::tuple<std::uint64_t, Instant, bool>;
using GroupIdentity = std::pair<SuspectKind, bool>;  // Kind, cleared.
using SuspectGroups = std::map<GroupIdentity, std::vector<std::uint64_t>>;

void AddGroups(const SuspectGroups& groups, schema::CrashReport* report) {
  for (const auto& [identity, hashes] : groups) {
    schema::SuspectGroup* group = report->add_suspects();
    group->set_kind(static_cast<schema::SuspectKind>(identity.first));
    group->set_cleared(identity.second);
    group->mutable_hashes()->Assign(hashes.begin(), hashes.end());
  }
}

}  // namespace

schema::SuspectList EncodeCrashes(const std::vector<CrashEntry>& crashes,
                                  Instant now) {
  std::map<CrashIdentity, SuspectGroups> by_crash;
  for (const auto& [key, crash] : crashes) {
    by_crash[{crash.m_id, crash.m_at, crash.m_confirmed}]
            [{key.m_kind, crash.m_cleared}]
                .push_back(key.m_hash);
  }
  schema::SuspectList list;
  for (const auto& [identity, groups] : by_crash) {
    schema::CrashReport* report = list.add_crashes();
    const auto& [id, at, is_confirmed] = identity;
    report->set_id(id);
    report->set_age_ms(ToMs(now - at));
    report->set_is_confirmed(is_confirmed);
    AddGroups(groups, report);
  }
  return list;
}

std::vector<CrashEntry> DecodeCrashes(const schema::SuspectList& list,
                                      Instant now) {
  std::vector<CrashEntry> crashes;
  for (const schema::CrashReport& report : list.crashes()) {
    const bool valid =
        report.age_ms() >= 0 && report.age_ms() < ToMs(kCrashRetention);
    if (!valid) continue;
    const Instant at = now - FromMs(report.age_ms());
    for (const schema::SuspectGroup& group : report.suspects()) {
      const auto kind = static_cast<SuspectKind>(group.kind());
      for (const std::uint64_t hash : group.hashes()) {
        crashes.push_back(
            {{kind, hash},
             {report.id(), at, group.cleared(), report.is_confirmed()}});
      }
    }
  }
  return crashes;
}

}  // namespace comfreypaddle
