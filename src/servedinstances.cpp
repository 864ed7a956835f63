#include "servedinstances.h"

#include <algorithm>

#include "storereader.h"

namespace comfreypaddle {

namespace {

// Time after an answer of the store for which an instance counts as served.
constexpr Duration kServedRetention = std::chrono::milliseconds(3000);

// Largest number of served instances in one answer.
constexpr int kMaxServedInAnswer = 4;

void RemoveExpired(ControlState& state) {
  const Instant now = state.m_clock();
  std::erase_if(state.m_served, [now](const auto& entry) {
    return now - entry.second > kServedRetention;
  });
}

}  // namespace

void RecordServed(ControlState& state, const std::string& name, Instant at) {
  if (name == state.m_options.m_name) return;
  RemoveExpired(state);
  Instant& known = state.m_served[name];
  known = std::max(known, at);
}

void MergeServed(ControlState& state, const schema::InstanceState& other) {
  const Instant now = state.m_clock();
  for (const schema::ServedInstance& reported : other.served()) {
    RecordServed(state, reported.name(), now - FromMs(reported.age_ms()));
  }
}

void RemoveServed(ControlState& state, const std::string& name) {
  state.m_served.erase(name);
}

void AddServed(const ControlState& state, schema::InstanceState* answer) {
  const Instant now = state.m_clock();
  const auto add = [now, answer](const std::string& name, Instant at) {
    if (now - at > kServedRetention ||
        answer->served_size() >= kMaxServedInAnswer)
      return;
    schema::ServedInstance* served = answer->add_served();
    served->set_name(name);
    served->set_age_ms(ToMs(now - at));
  };
  add(state.m_options.m_name, state.m_store_answered);
  for (const auto& [name, at] : state.m_served) add(name, at);
}

std::set<std::string> ServedInstances(const ControlState& state) {
  const Instant now = state.m_clock();
  std::set<std::string> names;
  for (const auto& [name, at] : state.m_served) {
    const auto found = state.m_instances.find(name);
    const bool live = found != state.m_instances.end() && !found->second.left();
    if (live && now - at <= kServedRetention) names.insert(name);
  }
  return names;
}

}  // namespace comfreypaddle
