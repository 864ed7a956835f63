#include "common_log.h"

#include <utility>

namespace comfreypaddle::standins {

std::uint64_t NextOffset(const LogStream& stream) {
  return stream.m_first + stream.m_entries.size();
}

LogStream& FindStream(LogModel& log, std::string_view name) {
  const auto found = log.m_streams.find(name);
  if (found != log.m_streams.end()) return found->second;
  return log.m_streams[std::string(name)];
}

std::uint64_t Append(LogModel& log, std::string_view name, std::string body,
                     Instant now) {
  if (!ConsumeToken(log.m_appends, now)) return 0;
  LogStream& stream = FindStream(log, name);
  const std::uint64_t offset = NextOffset(stream);
  stream.m_bytes += body.size();
  stream.m_entries.push_back({std::move(body), now});
  ApplyRetention(log, stream, now);
  return offset;
}

void ApplyRetention(const LogModel& log, LogStream& stream, Instant now) {
  while (!stream.m_entries.empty()) {
    const bool too_many = stream.m_entries.size() > log.m_retain_records;
    const bool too_old =
        now - stream.m_entries.front().m_appended > log.m_retain_time;
    if (!too_many && !too_old) return;
    stream.m_bytes -= stream.m_entries.front().m_body.size();
    stream.m_entries.pop_front();
    ++stream.m_first;
  }
}

}  // namespace comfreypaddle::standins
