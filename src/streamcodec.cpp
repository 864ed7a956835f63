#include "streamcodec.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace comfreypaddle {

namespace {

// Stand for versions without a name. No endpoint has them, as names have no
// spaces: an earlier release that takes them for names finds no endpoint.
constexpr std::string_view kEitherName = "either version";
constexpr std::string_view kUnlistedName = "unlisted version";

std::string WireName(const StreamVersion& version) {
  switch (version.m_certainty) {
    case VersionCertainty::kEither:
      return std::string(kEitherName);
    case VersionCertainty::kUnlisted:
      return std::string(kUnlistedName);
    default:
      return version.m_name;
  }
}

StreamVersion VersionOf(const std::string& name, bool is_proven) {
  if (name == kEitherName) return {"", VersionCertainty::kEither};
  if (!is_proven) return {name, VersionCertainty::kUnproven};
  if (name == kUnlistedName) return {"", VersionCertainty::kUnlisted};
  return {name, VersionCertainty::kProven};
}

}  // namespace

schema::StreamBegin ToMessage(std::uint64_t attempt, const BegunStream& stream,
                              Instant now) {
  schema::StreamBegin begin;
  begin.set_attempt(attempt);
  begin.set_service(stream.m_service);
  begin.set_version(WireName(stream.m_version));
  begin.set_ends_in_ms(ToMs(stream.m_ends - now));
  begin.set_is_corrected(stream.m_is_corrected);
  begin.set_is_proven(stream.m_version.m_certainty !=
                      VersionCertainty::kUnproven);
  begin.set_endpoint(stream.m_origin.m_endpoint);
  begin.set_born_ms(stream.m_origin.m_born_ms);
  return begin;
}

BegunStream FromMessage(const schema::StreamBegin& begin, Instant now) {
  BegunStream stream;
  stream.m_service = begin.service();
  stream.m_version = VersionOf(begin.version(), begin.is_proven());
  stream.m_ends = now + std::min(FromMs(begin.ends_in_ms()), kResumeWindow);
  stream.m_is_corrected = begin.is_corrected();
  stream.m_origin = {begin.endpoint(), begin.born_ms(), std::nullopt, now};
  return stream;
}

void SetRecord(schema::StreamAnswer& answer, std::uint64_t attempt,
               const BegunStream& stream, Instant now) {
  *answer.mutable_record() = ToMessage(attempt, stream, now);
  answer.set_version(answer.record().version());
}

std::optional<BegunStream> RecordOf(const schema::StreamAnswer& answer,
                                    Instant now) {
  if (!answer.has_version()) return std::nullopt;
  BegunStream stream = FromMessage(answer.record(), now);
  stream.m_version = VersionOf(answer.version(), answer.record().is_proven());
  return stream;
}

}  // namespace comfreypaddle
