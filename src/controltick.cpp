#include "controltick.h"

#include "entryduties.h"
#include "freshness.h"
#include "handover.h"
#include "peersync.h"
#include "statequery.h"
#include "storereader.h"

namespace comfreypaddle {

void TickControl(ControlState& state) {
  RegisterInstance(state);
  PollUpstream(state);
  PollStore(state);
  SearchPeers(state);
  AnswerPendingQueries(state);
  RunDuties(state);
  HandOverUsage(state);
  LogFreshness(state);
  PublishStateAge(state);
}

}  // namespace comfreypaddle
