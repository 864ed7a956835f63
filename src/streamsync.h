#ifndef COMFREYPADDLE_STREAMSYNC_H_
#define COMFREYPADDLE_STREAMSYNC_H_

#include "controlstate.h"

namespace comfreypaddle {

// Records of begun streams that instances keep for each other (see
// streamversions.h): the control task's part.

// Sends the records to the instances that hold them: at once while a service is
// mixed, otherwise with the next tick, together with others for the same
// instance.
void SendBegunStreams(ControlState& state,
                      const schema::StreamBeginList& begun);

// Sends records that wait for a tick, and goes on with questions that wait for
// a list of endpoints. Call it with each tick.
void SyncStreams(ControlState& state);

// Asks the instances that may hold the record of a stream, all at once, and
// tells the relay task the result. If nobody knows the stream, its version is
// inferred from a list of endpoints that was read after the question.
void AskForStream(ControlState& state, const schema::StreamQuestion& question);

// Stores the records that another instance sent, and answers its question.
schema::StreamAnswer AnswerStreamExchange(ControlState& state,
                                          const schema::StreamExchange& call);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMSYNC_H_
