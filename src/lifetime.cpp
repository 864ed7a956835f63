#include "lifetime.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Sighting of the endpoint that lasted until the connection of the stream was
// established, or longer.
const LifetimeSighting* FindSighting(const LifetimeTable& table,
                                     const StreamOrigin& origin) {
  const auto found = table.m_sightings.find(origin.m_endpoint);
  if (found == table.m_sightings.end()) return nullptr;
  return found->second.m_last_seen >= origin.m_since ? &found->second : nullptr;
}

// Lifetime that is shown to have begun the stream.
std::optional<std::uint64_t> FindLifetime(const StreamOrigin& origin,
                                          const LifetimeSighting& seen) {
  if (seen.m_born_ms == origin.m_born_ms) return origin.m_born_ms;
  const bool is_connected_to_it =
      origin.m_connected && seen.m_first_seen <= *origin.m_connected;
  return is_connected_to_it ? std::optional(seen.m_born_ms) : std::nullopt;
}

LifetimeVerdict ProvenVerdict(std::uint64_t born_ms,
                              const std::string& version) {
  return {born_ms, {version, VersionCertainty::kProven}};
}

LifetimeVerdict EitherVerdict(std::uint64_t born_ms) {
  return {born_ms, {"", VersionCertainty::kEither}};
}

// The lifetime is known, and is not the one that was listed with the stream.
LifetimeVerdict JudgeByList(std::uint64_t born_ms,
                            const std::optional<ListedLifetime>& listed) {
  if (listed && listed->m_born_ms == born_ms) {
    return ProvenVerdict(born_ms, listed->m_version);
  }
  return {born_ms, {"", VersionCertainty::kUnlisted}};
}

// Its lifetime was listed with the stream, or nothing else is known of it.
LifetimeVerdict JudgeUnproven(const LifetimeTable& table,
                              const BegunStream& stream,
                              const std::optional<ListedLifetime>& listed) {
  const StreamOrigin& origin = stream.m_origin;
  const bool is_later_listed = listed && listed->m_born_ms > origin.m_born_ms;
  if (origin.m_born_ms == 0 && !is_later_listed) {
    return ProvenVerdict(0, stream.m_version.m_name);
  }
  const LifetimeSighting* seen = FindSighting(table, origin);
  if (seen == nullptr) return {origin.m_born_ms, stream.m_version};
  const auto lifetime = FindLifetime(origin, *seen);
  if (!lifetime) return EitherVerdict(origin.m_born_ms);
  return *lifetime == origin.m_born_ms
             ? ProvenVerdict(*lifetime, stream.m_version.m_name)
             : JudgeByList(*lifetime, listed);
}

}  // namespace

void NoteLifetime(LifetimeTable& table, const std::string& endpoint,
                  const LifetimeSighting& sighting) {
  const auto [place, inserted] =
      table.m_sightings.try_emplace(endpoint, sighting);
  LifetimeSighting& known = place->second;
  if (inserted) return;
  if (known.m_born_ms == sighting.m_born_ms) {
    known.m_first_seen = std::min(known.m_first_seen, sighting.m_first_seen);
    known.m_last_seen = std::max(known.m_last_seen, sighting.m_last_seen);
  } else if (sighting.m_last_seen >= known.m_last_seen) {
    known = sighting;
  }
}

void ForgetLifetimes(
    LifetimeTable& table,
    const std::function<bool(const std::string& endpoint)>& is_listed,
    Instant now) {
  std::erase_if(table.m_sightings, [&is_listed, now](const auto& entry) {
    return now - entry.second.m_last_seen > kResumeWindow &&
           !is_listed(entry.first);
  });
}

bool IsSeenSince(const LifetimeTable& table, const std::string& endpoint,
                 Instant since) {
  const auto found = table.m_sightings.find(endpoint);
  return found != table.m_sightings.end() && found->second.m_last_seen >= since;
}

bool IsVersionKnown(const LifetimeVerdict& verdict) {
  return verdict.m_version.m_certainty == VersionCertainty::kProven;
}

LifetimeVerdict JudgeLifetime(const LifetimeTable& table,
                              const BegunStream& stream,
                              const std::optional<ListedLifetime>& listed) {
  const std::uint64_t born_ms = stream.m_origin.m_born_ms;
  if (IsSettled(stream.m_version)) return {born_ms, stream.m_version};
  if (stream.m_version.m_certainty == VersionCertainty::kUnproven) {
    return JudgeUnproven(table, stream, listed);
  }
  // It may have ended before it was listed.
  const bool is_past = listed && listed->m_born_ms > born_ms;
  return is_past ? EitherVerdict(born_ms) : JudgeByList(born_ms, listed);
}

}  // namespace comfreypaddle
