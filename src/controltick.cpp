#include "controltick.h"

#include "entryduties.h"
#include "freshness.h"
#include "peersync.h"
#include "statequery.h"
#include "storereader.h"
#include "usageflush.h"

namespace comfreypaddle {

void TickControl(ControlState& state) {
  RegisterInstance(state);
  PollUpstream(state);
  PollStore(state);
  SearchPeers(state);
  AnswerPendingQueries(state);
  FlushUsage(state);
  RunDuties(state);
  LogFreshness(state);
  PublishStateAge(state);
}

}  // namespace comfreypaddle
