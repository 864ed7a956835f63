#include "demand.h"

namespace comfreypaddle {

namespace {

// Rates older than this are ignored: the instance is down or partitioned, and
// its callers have moved to others.
constexpr Duration kMaxRateAge = std::chrono::seconds(5);

// Minimum interval between two counter readings for computing a rate.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);

}  // namespace

void OnDemand(DutyState& state, const Writer& instance,
              const schema::FleetDemand& demand) {
  const Instant now = state.m_clock();
  DemandCounter& counter = state.m_demands[{demand.fleet(), instance.m_name}];
  const bool same = counter.m_incarnation == instance.m_incarnation;
  const Duration interval = now - counter.m_read_at;
  if (same && interval < kMinInterval) return;
  const double seconds = std::chrono::duration<double>(interval).count();
  const double prompt = same ? counter.m_prompt_tokens : demand.prompt_tokens();
  const double output = same ? counter.m_output_tokens : demand.output_tokens();
  counter.m_prompt_rate = (demand.prompt_tokens() - prompt) / seconds;
  counter.m_output_rate = (demand.output_tokens() - output) / seconds;
  counter.m_incarnation = instance.m_incarnation;
  counter.m_prompt_tokens = demand.prompt_tokens();
  counter.m_output_tokens = demand.output_tokens();
  counter.m_read_at = now;
}

PhaseDemand FleetDemand(const DutyState& state, const Fleet& fleet) {
  PhaseDemand demand;
  if (!HasKnownSpeed(fleet)) return demand;
  const Instant now = state.m_clock();
  for (const auto& [key, counter] : state.m_demands) {
    if (key.first != fleet.m_name) continue;
    if (now - counter.m_read_at > kMaxRateAge) continue;
    demand.m_prefill += counter.m_prompt_rate / fleet.m_prefill_tokens_per_s;
    demand.m_decode += counter.m_output_rate / fleet.m_decode_tokens_per_s;
  }
  return demand;
}

bool HasKnownSpeed(const Fleet& fleet) {
  return fleet.m_prefill_tokens_per_s > 0.0 &&
         fleet.m_decode_tokens_per_s > 0.0;
}

}  // namespace comfreypaddle
