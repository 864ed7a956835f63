#include "storeera.h"

#include "eventlog.h"

namespace comfreypaddle {

namespace {

void LogEra(const ControlState& state, std::uint64_t era,
            std::string_view source) {
  LogLine("store_era")
      .Add("era", static_cast<std::int64_t>(era))
      .Add("previous", state.m_store_era
                           ? static_cast<std::int64_t>(*state.m_store_era)
                           : -1)
      .Add("source", source)
      .AddMs("store_silent_ms", state.m_clock() - state.m_store_answered);
}

}  // namespace

std::uint64_t EraOf(const ControlState& state, const StoreAnswer& answer) {
  return answer.m_era.value_or(state.m_store_era.value_or(0));
}

bool ObserveEra(ControlState& state, std::uint64_t era,
                std::string_view source) {
  if (state.m_store_era && era <= *state.m_store_era) {
    return era == *state.m_store_era;
  }
  LogEra(state, era, source);
  state.m_store_era = era;
  return true;
}

}  // namespace comfreypaddle
