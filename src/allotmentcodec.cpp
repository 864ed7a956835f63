#include "allotmentcodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace comfreypaddle {

namespace {

// Bounds of what is believed of other instances, so that sums stay in the range
// of their types.
constexpr double kMaxUse = 1e18;
constexpr std::uint32_t kMaxInstances = 100'000;

double Readable(double value) {
  return std::isfinite(value) && value > 0 ? std::min(value, kMaxUse) : 0;
}

}  // namespace

schema::WorkspaceUseList ToMessage(const InstanceUses& uses) {
  schema::WorkspaceUseList message;
  message.set_instances(uses.m_instances);
  for (const auto& [workspace, use] : uses.m_uses) {
    schema::WorkspaceUse* entry = message.add_uses();
    entry->set_workspace(workspace);
    entry->set_recent(static_cast<float>(use.m_recent));
    entry->set_demand(static_cast<float>(use.m_demand));
  }
  return message;
}

InstanceUses FromMessage(const schema::WorkspaceUseList& message) {
  InstanceUses uses;
  uses.m_instances = std::min(message.instances(), kMaxInstances);
  for (const schema::WorkspaceUse& use : message.uses()) {
    uses.m_uses[use.workspace()] = {Readable(use.recent()),
                                    Readable(use.demand())};
  }
  return uses;
}

AllotmentLimit LimitOf(const schema::Allotment& allotment) {
  return {allotment.rate_per_s(), allotment.burst()};
}

double CostOf(const schema::Allotment& allotment, double tokens) {
  if (allotment.unit() == schema::ALLOTMENT_REQUESTS) return 1;
  return tokens > 0 ? tokens : allotment.default_cost();
}

}  // namespace comfreypaddle
