#ifndef COMFREYPADDLE_STANDINS_COMMON_LOG_H_
#define COMFREYPADDLE_STANDINS_COMMON_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "common.h"
#include "types.h"

namespace comfreypaddle::standins {

// Failure mode of an interface: 503 responses, or no response at all.
enum class OutageMode { kNone, kRefuse, kHang };

struct LogModelEntry {
  std::string m_body;
  Instant m_appended;
};

// Append-only stream. The offset of an entry is m_first plus its index.
struct LogStream {
  std::uint64_t m_first = 1;
  std::deque<LogModelEntry> m_entries;
  std::uint64_t m_bytes = 0;
};

// Streams and limits of the log service. The append rate limit is shared by
// all streams.
struct LogModel {
  std::map<std::string, LogStream, std::less<>> m_streams;
  TokenBucket m_appends;
  std::uint64_t m_retain_records = 0;
  Duration m_retain_time{0};
};

// Returns the offset of the next entry to be appended.
std::uint64_t NextOffset(const LogStream& stream);

// Returns the stream; creates an empty one if it does not exist.
LogStream& FindStream(LogModel& log, std::string_view name);

// Returns the offset of the new entry, or zero if the rate limit is exceeded.
std::uint64_t Append(LogModel& log, std::string_view name, std::string body,
                     Instant now);

// Removes entries that exceed the retention limits for count or age.
void ApplyRetention(const LogModel& log, LogStream& stream, Instant now);

}  // namespace comfreypaddle::standins

namespace comfreypaddle {

template <>
struct EnumNames<standins::OutageMode> {
  static constexpr std::array<EnumName<standins::OutageMode>, 3> kTable{
      {{standins::OutageMode::kNone, "none"},
       {standins::OutageMode::kRefuse, "refuse"},
       {standins::OutageMode::kHang, "hang"}}};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STANDINS_COMMON_LOG_H_
