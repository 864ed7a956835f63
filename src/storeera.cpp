#include "storeera.h"

#include "directory.h"
#include "eventlog.h"
#include "usageflush.h"

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

// Makes the local state follow a store that has come back from a copy. What is
// known stays: operators and endpoints write their lost records again, and
// older ones than those that are known are not applied.
void FollowRestoredStore(ControlState& state) {
  OnStoreRestored(state.m_directory, state.m_clock());
  for (StreamCursor* cursor :
       {&state.m_catalog_cursor, &state.m_endpoints_cursor,
        &state.m_instances_cursor}) {
    cursor->m_due = {};
  }
  state.m_version_records.m_is_read = false;
  state.m_suspect_records.m_is_read = false;
  // The record of this instance may be lost, also the one that it has left.
  state.m_registered = state.m_stopping;
  state.m_register_due = {};
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
  const bool has_risen = state.m_store_era.has_value();
  state.m_store_era = era;
  OnDutyEra(state.m_holder, era, state.m_clock());
  if (has_risen) FollowRestoredStore(state);
  // An instance that did not talk to the store may have missed a rise.
  if (has_risen || !state.m_flush.m_totals.empty()) OnUsageRestored(state);
  return true;
}

}  // namespace comfreypaddle
