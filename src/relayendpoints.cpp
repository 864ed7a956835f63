#include "relayendpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "silencewatch.h"
#include "streambinding.h"

namespace comfreypaddle {

namespace {

EngineStage StageOf(schema::EnginePhase phase) {
  switch (phase) {
    case schema::PHASE_PREFILL:
      return EngineStage::kPrefill;
    case schema::PHASE_DECODE:
      return EngineStage::kDecode;
    default:
      return EngineStage::kNone;
  }
}

// Time of the local clock at this Unix time; none if that is not known.
Instant LocalTime(const RelayState& state, std::uint64_t unix_ms) {
  if (unix_ms == 0) return {};
  return Instant(FromMs(static_cast<double>(unix_ms)) - state.m_unix_at_zero);
}

}  // namespace

std::vector<std::string> SetEndpointList(
    RelayState& state, const schema::EndpointList& list,
    const std::function<std::string(const std::string& zone)>& region_of) {
  const Instant now = state.m_clock();
  std::vector<BalanceEndpoint> endpoints;
  endpoints.reserve(list.endpoints_size());
  for (const schema::EndpointEntry& entry : list.endpoints()) {
    BalanceEndpoint endpoint;
    endpoint.m_id = entry.id();
    endpoint.m_service = entry.service();
    endpoint.m_address = entry.address();
    endpoint.m_zone = entry.zone();
    endpoint.m_region = region_of(entry.zone());
    endpoint.m_stage = StageOf(entry.phase());
    endpoint.m_slots = std::max<std::uint32_t>(entry.slots(), 1);
    endpoint.m_draining = entry.draining();
    endpoint.m_cheap = entry.cheap();
    endpoint.m_cold = entry.cold_ms() > 0;
    endpoint.m_born_ms = entry.born_ms();
    endpoint.m_born_at = LocalTime(state, entry.born_ms());
    endpoint.m_version = entry.version();
    endpoint.m_hash = XXH64(entry.id().data(), entry.id().size(), 0);
    endpoints.push_back(std::move(endpoint));
  }
  std::vector<std::string> obsolete =
      UpdateEndpoints(state.m_balance, std::move(endpoints), now);
  UpdateEndpointVersions(state);
  ReviewSilentAttempts(state);
  ForgetEndpoints(
      state.m_resends,
      [&state](const std::string& id) {
        return FindEndpoint(state.m_balance, id) != nullptr;
      },
      now);
  return obsolete;
}

}  // namespace comfreypaddle
