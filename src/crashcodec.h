#ifndef COMFREYPADDLE_CRASHCODEC_H_
#define COMFREYPADDLE_CRASHCODEC_H_

#include <vector>

#include "crashtable.h"
#include "relay.pb.h"

namespace comfreypaddle {

// Conversion of crashes and their suspects from and to messages. Times are sent
// as ages, because the clocks of instances differ.

schema::SuspectList EncodeCrashes(const std::vector<CrashEntry>& crashes,
                                  Instant now);

// Leaves out crashes that are too old or have no valid age.
std::vector<CrashEntry> DecodeCrashes(const schema::SuspectList& list,
                                      Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CRASHCODEC_H_
