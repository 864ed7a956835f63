#include "loadshare.h"

#include <utility>

namespace comfreypaddle {

namespace {

// Age after which a load is outdated: most of its requests have been answered.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(500);

void Add(const LoadTable& load, LoadTable* sum) {
  for (const auto& [endpoint, part] : load) {
    EndpointLoad& total = (*sum)[endpoint];
    total.m_running += part.m_running;
    total.m_prefill_ms += part.m_prefill_ms;
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

}  // namespace comfreypaddle
