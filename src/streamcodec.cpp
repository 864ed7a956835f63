#include "streamcodec.h"

#include <algorithm>

namespace comfreypaddle {

schema::StreamBegin ToMessage(std::uint64_t attempt, const BegunStream& stream,
                              Instant now) {
  schema::StreamBegin begin;
  begin.set_attempt(attempt);
  begin.set_service(stream.m_service);
  begin.set_version(stream.m_version);
  begin.set_ends_in_ms(ToMs(stream.m_ends - now));
  begin.set_is_corrected(stream.m_is_corrected);
  begin.set_is_proven(stream.m_is_proven);
  begin.set_endpoint(stream.m_origin.m_endpoint);
  begin.set_born_ms(stream.m_origin.m_born_ms);
  return begin;
}

BegunStream FromMessage(const schema::StreamBegin& begin, Instant now) {
  BegunStream stream;
  stream.m_service = begin.service();
  stream.m_version = begin.version();
  stream.m_ends = now + std::min(FromMs(begin.ends_in_ms()), kResumeWindow);
  stream.m_is_corrected = begin.is_corrected();
  stream.m_is_proven = begin.is_proven();
  stream.m_origin = {begin.endpoint(), begin.born_ms(), std::nullopt, now};
  return stream;
}

}  // namespace comfreypaddle
