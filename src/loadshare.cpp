#include "loadshare.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {

namespace {

// Age after which a load is outdated: most of its requests have been answered.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(500);

// Interval at which speeds are told, and the age after which they are outdated.
constexpr Duration kSpeedInterval = std::chrono::milliseconds(1000);
constexpr Duration kMaxSpeedAge = std::chrono::milliseconds(3500);

// Number of uses that are kept for instances that have not been told yet.
constexpr std::size_t kMaxKeptUses = 1024;

// Number of uses in one message, 12 bytes each.
constexpr std::size_t kMaxSentUses = 48;

// Returns the uses from the position on that the filter accepts, the newest if
// there are too many, and moves the position to the end.
template <typename Filter>
std::vector<PrefixUse> TakeUses(const UseLog& log, std::uint64_t* position,
                                Filter accepts) {
  std::vector<PrefixUse> taken;
  const std::uint64_t end = log.m_first + log.m_uses.size();
  const std::uint64_t begin = std::max(*position, log.m_first);
  for (std::uint64_t at = end; at > begin && taken.size() < kMaxSentUses;) {
    const ReportedUse& reported = log.m_uses[--at - log.m_first];
    if (accepts(reported)) taken.push_back(reported.m_use);
  }
  *position = end;
  return taken;
}

void Add(const LoadTable& load, LoadTable* sum) {
  for (const auto& [endpoint, part] : load) {
    EndpointLoad& total = (*sum)[endpoint];
    total.m_running += part.m_running;
    total.m_prefill_ms += part.m_prefill_ms;
    if (part.m_limit && (!total.m_limit ||
                         part.m_limit->m_said_at > total.m_limit->m_said_at)) {
      total.m_limit = part.m_limit;
    }
  }
}

// Records a load. Speeds stay until the next message that has some.
void Receive(ReceivedLoad& received, LoadTable load, Instant now) {
  SpeedTable speeds;
  for (const auto& [endpoint, part] : load) {
    if (part.m_speed) speeds[endpoint] = *part.m_speed;
  }
  if (!speeds.empty()) {
    received.m_speeds = std::move(speeds);
    received.m_speeds_at = now;
  }
  received.m_load = std::move(load);
  received.m_at = now;
}

void AddSpeeds(const ReceivedLoad& received, Instant now, LoadTable* load) {
  const Duration age = now - received.m_speeds_at;
  if (age >= kMaxSpeedAge) return;
  for (const auto& [endpoint, report] : received.m_speeds) {
    std::optional<SpeedReport>& sum = (*load)[endpoint].m_speed;
    if (!sum) sum.emplace();
    Merge(Aged(report, age), &*sum);
  }
}

// Whether it is time to tell the speeds again; takes the turn.
bool TakeTurn(Instant& last, Instant now) {
  if (now - last < kSpeedInterval) return false;
  last = now;
  return true;
}

}  // namespace

void SetMemberLoad(LoadShareState& state, const std::string& name,
                   LoadTable load, Instant now) {
  Receive(state.m_members[name], std::move(load), now);
}

void SetZoneLoad(LoadShareState& state, const std::string& zone, LoadTable load,
                 Instant now) {
  Receive(state.m_zones[zone], std::move(load), now);
}

LoadTable SumZoneLoad(const LoadShareState& state, Instant now) {
  LoadTable sum;
  for (const auto& [member, heard] : state.m_members) {
    if (now - heard.m_at < kMaxLoadAge) Add(heard.m_load, &sum);
  }
  return sum;
}

LoadTable SumOtherLoad(const LoadShareState& state, const std::string& name,
                       Instant now) {
  LoadTable sum;
  for (const auto& [member, heard] : state.m_members) {
    if (member != name && now - heard.m_at < kMaxLoadAge)
      Add(heard.m_load, &sum);
  }
  for (const auto& [zone, heard] : state.m_zones) {
    if (now - heard.m_at < kMaxLoadAge) Add(heard.m_load, &sum);
  }
  return sum;
}

void AddSpeedsForMember(LoadShareState& state, const std::string& name,
                        Instant now, LoadTable* load) {
  if (!TakeTurn(state.m_speed_turns.m_members[name], now)) return;
  for (const auto& [member, received] : state.m_members) {
    if (member != name) AddSpeeds(received, now, load);
  }
  for (const auto& [zone, received] : state.m_zones) {
    AddSpeeds(received, now, load);
  }
}

void AddSpeedsForZone(LoadShareState& state, const std::string& zone,
                      Instant now, LoadTable* load) {
  if (!TakeTurn(state.m_speed_turns.m_zones[zone], now)) return;
  for (const auto& [member, received] : state.m_members) {
    AddSpeeds(received, now, load);
  }
}

void AddUses(UseLog& log, UseOrigin origin, const std::string& name,
             const std::vector<PrefixUse>& uses) {
  for (const PrefixUse& use : uses) {
    log.m_uses.push_back({use, origin, name});
    if (log.m_uses.size() <= kMaxKeptUses) continue;
    log.m_uses.pop_front();
    ++log.m_first;
  }
}

std::vector<PrefixUse> TakeUsesForMember(UseLog& log, const std::string& name) {
  return TakeUses(
      log, &log.m_member_positions[name], [&name](const ReportedUse& reported) {
        return reported.m_origin == UseOrigin::kZone || reported.m_name != name;
      });
}

std::vector<PrefixUse> TakeUsesForZone(UseLog& log, const std::string& zone) {
  return TakeUses(log, &log.m_zone_positions[zone],
                  [](const ReportedUse& reported) {
                    return reported.m_origin == UseOrigin::kMember;
                  });
}

}  // namespace comfreypaddle
