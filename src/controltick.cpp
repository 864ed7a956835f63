#include "controltick.h"

#include "crashsync.h"
#include "entryduties.h"
#include "freshness.h"
#include "memberwatch.h"
#include "peersync.h"
#include "statequery.h"
#include "storereader.h"
#include "streamstore.h"
#include "streamsync.h"
#include "suspectstore.h"
#include "usageflush.h"
#include "versionsync.h"

namespace comfreypaddle {

void TickControl(ControlState& state) {
  RegisterInstance(state);
  PollUpstream(state);
  PollStore(state);
  SearchPeers(state);
  AnswerPendingQueries(state);
  WatchInstances(state);
  SyncSuspects(state);
  SyncSuspectRecords(state);
  SyncVersions(state);
  SyncStreams(state);
  SyncStreamStore(state);
  FlushUsage(state);
  RunDuties(state);
  LogFreshness(state);
  PublishStateAge(state);
}

}  // namespace comfreypaddle
