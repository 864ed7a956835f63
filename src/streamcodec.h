#ifndef COMFREYPADDLE_STREAMCODEC_H_
#define COMFREYPADDLE_STREAMCODEC_H_

#include <cstdint>

#include "relay.pb.h"
#include "streamversions.h"

namespace comfreypaddle {

// Records of begun streams as messages.

schema::StreamBegin ToMessage(std::uint64_t attempt, const BegunStream& stream,
                              Instant now);

// The record of a message that has just arrived.
BegunStream FromMessage(const schema::StreamBegin& begin, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMCODEC_H_
