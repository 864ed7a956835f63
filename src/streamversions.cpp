#include "streamversions.h"

#include <algorithm>
#include <utility>

#include "hashmix.h"

namespace comfreypaddle {

namespace {

// Maximum number of streams in a table. At 6,500 requests per second over 380
// instances, with three records of each stream, 30 s bring 1,600.
constexpr std::size_t kMaxStreams = 1U << 16U;

constexpr Duration kSweepInterval = std::chrono::seconds(1);

bool IsRecent(const VersionSpan& span, Instant now) {
  return span.m_is_listed || now - span.m_last_listed < kResumeWindow;
}

// Whether a record says more than that a stream began as listed.
bool IsNews(const BegunStream& stream) {
  return stream.m_is_corrected ||
         stream.m_version.m_certainty != VersionCertainty::kUnproven;
}

// Removes what no longer matters, so that the history does not grow with each
// release.
void ForgetOldVersions(VersionHistory& history, Instant now) {
  for (auto& [service, versions] : history.m_services) {
    std::erase_if(versions, [now](const auto& entry) {
      return !IsRecent(entry.second, now);
    });
  }
  std::erase_if(history.m_services,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace

bool HasName(const StreamVersion& version) {
  return version.m_certainty == VersionCertainty::kUnproven ||
         version.m_certainty == VersionCertainty::kProven;
}

bool IsSettled(const StreamVersion& version) {
  return version.m_certainty == VersionCertainty::kProven ||
         version.m_certainty == VersionCertainty::kEither;
}

bool IsSameVersion(const StreamVersion& a, const StreamVersion& b) {
  if (HasName(a) && HasName(b)) return a.m_name == b.m_name;
  return a.m_certainty == b.m_certainty;
}

std::string TextOf(const StreamVersion& version) {
  if (HasName(version)) return version.m_name;
  return std::string(ToName(version.m_certainty)) + " version";
}

bool IsMoreCertain(const BegunStream& stream, const BegunStream& other) {
  if (IsSettled(other.m_version)) return false;
  const VersionCertainty known = other.m_version.m_certainty;
  const VersionCertainty news = stream.m_version.m_certainty;
  if (news != known) return news > known;
  // A correction of an earlier release comes without proof.
  return news == VersionCertainty::kUnproven && stream.m_is_corrected &&
         !other.m_is_corrected;
}

std::vector<std::string> UpdateVersions(VersionHistory& history,
                                        const std::set<ServiceVersion>& listed,
                                        Instant now) {
  std::set<std::string> were_mixed;
  for (auto& [service, versions] : history.m_services) {
    if (IsMixed(history, service, now)) were_mixed.insert(service);
    for (auto& [version, span] : versions) {
      if (std::exchange(span.m_is_listed, false)) span.m_last_listed = now;
    }
  }
  std::set<std::string> services;
  for (const auto& [service, version] : listed) {
    history.m_services[service][version].m_is_listed = true;
    services.insert(service);
  }
  std::vector<std::string> mixed;
  for (const std::string& service : services) {
    const bool is_new = were_mixed.count(service) == 0;
    if (is_new && IsMixed(history, service, now)) mixed.push_back(service);
  }
  ForgetOldVersions(history, now);
  return mixed;
}

std::vector<SeenVersion> RecentVersions(const VersionHistory& history,
                                        Instant now) {
  std::vector<SeenVersion> recent;
  for (const auto& [service, versions] : history.m_services) {
    for (const auto& [version, span] : versions) {
      if (!IsRecent(span, now)) continue;
      recent.push_back(
          {service, version, span.m_is_listed ? now : span.m_last_listed});
    }
  }
  return recent;
}

std::vector<SeenVersion> PassedVersions(const VersionHistory& history,
                                        Instant now) {
  std::vector<SeenVersion> passed;
  for (const auto& [service, versions] : history.m_services) {
    for (const auto& [version, span] : versions) {
      if (span.m_is_listed || !IsRecent(span, now)) continue;
      passed.push_back({service, version, span.m_last_listed});
    }
  }
  return passed;
}

void AddSeenVersion(VersionHistory& history, const SeenVersion& seen) {
  VersionSpan& span = history.m_services[seen.m_service][seen.m_version];
  span.m_last_listed = std::max(span.m_last_listed, seen.m_last_listed);
}

bool IsMixed(const VersionHistory& history, const std::string& service,
             Instant now) {
  const auto found = history.m_services.find(service);
  if (found == history.m_services.end()) return false;
  const auto recent = std::count_if(
      found->second.begin(), found->second.end(),
      [now](const auto& entry) { return IsRecent(entry.second, now); });
  return recent > 1;
}

std::optional<std::string> OnlyVersion(const VersionHistory& history,
                                       const std::string& service) {
  const auto found = history.m_services.find(service);
  if (found == history.m_services.end()) return std::nullopt;
  std::optional<std::string> only;
  for (const auto& [version, span] : found->second) {
    if (!span.m_is_listed) continue;
    if (only) return std::nullopt;
    only = version;
  }
  return only;
}

bool AddStream(StreamTable& table, std::uint64_t attempt,
               const BegunStream& stream, Instant now) {
  if (now - table.m_swept >= kSweepInterval) {
    table.m_swept = now;
    std::erase_if(table.m_streams, [now](const auto& entry) {
      return entry.second.m_ends <= now;
    });
  }
  const auto found = table.m_streams.find(attempt);
  if (found != table.m_streams.end()) {
    BegunStream& known = found->second;
    const Instant ends = std::max(known.m_ends, stream.m_ends);
    if (IsNews(stream) && !IsMoreCertain(known, stream)) known = stream;
    known.m_ends = ends;
    return true;
  }
  if (table.m_streams.size() >= kMaxStreams) return false;
  table.m_streams.emplace(attempt, stream);
  return true;
}

const BegunStream* FindStream(const StreamTable& table, std::uint64_t attempt,
                              const std::string& service, Instant now) {
  const auto found = table.m_streams.find(attempt);
  if (found == table.m_streams.end()) return nullptr;
  const BegunStream& stream = found->second;
  return stream.m_ends > now && stream.m_service == service ? &stream : nullptr;
}

std::vector<std::size_t> ChooseHolders(
    const std::vector<RecordHolder>& instances, std::uint64_t attempt,
    std::size_t count) {
  std::vector<std::size_t> ranked(instances.size());
  for (std::size_t i = 0; i < ranked.size(); ++i) ranked[i] = i;
  std::sort(ranked.begin(), ranked.end(), [&](std::size_t a, std::size_t b) {
    return MixHashes(instances[a].m_hash, attempt) >
           MixHashes(instances[b].m_hash, attempt);
  });
  // The first of each zone goes before the others.
  std::set<std::string> zones;
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> others;
  for (const std::size_t i : ranked) {
    const bool is_first = zones.insert(instances[i].m_zone).second;
    (is_first ? chosen : others).push_back(i);
  }
  chosen.insert(chosen.end(), others.begin(), others.end());
  chosen.resize(std::min(chosen.size(), count));
  return chosen;
}

}  // namespace comfreypaddle
