#include "controltick.h"

#include "entryduties.h"
#include "follow.h"
#include "freshness.h"
#include "handover.h"
#include "inquiry.h"
#include "neighbours.h"

namespace comfreypaddle {

void TickControl(ControlState& state) {
  RegisterInstance(state);
  FollowUpstream(state);
  FollowStore(state);
  QueryNeighbours(state);
  ServeInquiries(state);
  RunDuties(state);
  HandOverUsage(state);
  LogFreshness(state);
  TellKnowledge(state);
}

}  // namespace comfreypaddle
