#include "loadshare.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle {

namespace {

// Age after which a load is outdated: most of its requests have been answered.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(500);

// Age after which the use of allotments is outdated. It may be older than a
// load: until then, the allotment of an instance that is silent stays reserved.
constexpr Duration kMaxAllotmentAge = std::chrono::milliseconds(1200);

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
    total.m_held_tokens += part.m_held_tokens;
    if (part.m_limit && (!total.m_limit ||
                         part.m_limit->m_said_at > total.m_limit->m_said_at)) {
      total.m_limit = part.m_limit;
    }
  }
}

void Add(const InstanceUses& part, InstanceUses* sum) {
  sum->m_instances += part.m_instances;
  for (const auto& [workspace, use] : part.m_uses) {
    WorkspaceUse& total = sum->m_uses[workspace];
    total.m_recent += use.m_recent;
    total.m_demand += use.m_demand;
  }
}

}  // namespace

void SetMemberLoad(LoadShareState& state, const std::string& name,
                   LoadTable load, Instant now) {
  state.m_members[name] = {std::move(load), now};
}

void SetZoneLoad(LoadShareState& state, const std::string& zone, LoadTable load,
                 Instant now) {
  state.m_zones[zone] = {std::move(load), now};
}

LoadTable SumZoneLoad(const LoadShareState& state, Instant now) {
  return SumOtherLoad({state.m_members, {}}, "", now);
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

void SetMemberAllotments(LoadShareState& state, const std::string& name,
                         InstanceUses uses, Instant now) {
  state.m_member_allotments[name] = {std::move(uses), now};
}

void SetZoneAllotments(LoadShareState& state, const std::string& zone,
                       InstanceUses uses, Instant now) {
  state.m_zone_allotments[zone] = {std::move(uses), now};
}

InstanceUses SumZoneAllotments(const LoadShareState& state, Instant now) {
  InstanceUses sum;
  for (const auto& [member, heard] : state.m_member_allotments) {
    if (now - heard.m_at < kMaxAllotmentAge) Add(heard.m_uses, &sum);
  }
  return sum;
}

InstanceUses SumOtherAllotments(const LoadShareState& state,
                                const std::string& name, Instant now) {
  InstanceUses sum;
  for (const auto& [member, heard] : state.m_member_allotments) {
    if (member != name && now - heard.m_at < kMaxAllotmentAge) {
      Add(heard.m_uses, &sum);
    }
  }
  for (const auto& [zone, heard] : state.m_zone_allotments) {
    if (now - heard.m_at < kMaxAllotmentAge) Add(heard.m_uses, &sum);
  }
  return sum;
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
