#ifndef COMFREYPADDLE_STREAMCODEC_H_
#define COMFREYPADDLE_STREAMCODEC_H_

#include <cstdint>
#include <optional>

#include "relay.pb.h"
#include "streamversions.h"

namespace comfreypaddle {

// Records of begun streams as messages.

schema::StreamBegin ToMessage(std::uint64_t attempt, const BegunStream& stream,
                              Instant now);

// The record of a message that has just arrived.
BegunStream FromMessage(const schema::StreamBegin& begin, Instant now);

// Adds the record of the stream to an answer.
void SetRecord(schema::StreamAnswer& answer, std::uint64_t attempt,
               const BegunStream& stream, Instant now);

// The record of an answer; nothing if it has none. That of an earlier release
// is a version only.
std::optional<BegunStream> RecordOf(const schema::StreamAnswer& answer,
                                    Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STREAMCODEC_H_
