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

// How a stand-in's interface fails.
enum class OutageMode { kNone, kRefuse, kHang };

struct LogModelEntry {
  std::string m_body;
  Instant m_appended;
};

// Stream of entries. The offset of an entry is m_first plus its index.
struct LogStream {
  std::uint64_t m_first = 1;
  std::deque<LogModelEntry> m_entries;
  std::uint64_t m_bytes = 0;
};

// The log service's streams and limits. The rate limit holds for all streams
// together.
struct LogModel {
  std::map<std::string, LogStream, std::less<>> m_streams;
  TokenBucket m_appends;
  std::uint64_t m_retain_records = 0;
  Duration m_retain_time{0};
};

// Returns the offset that the next entry gets.
std::uint64_t NextOffset(const LogStream& stream);

// Returns the stream, which is empty if it was not known.
LogStream& FindStream(LogModel& log, std::string_view name);

// Returns the new entry's offset, or zero if the rate limit is exceeded.
std::uint64_t Append(LogModel& log, std::string_view name, std::string body,
                     Instant now);

// Drops the entries that are beyond the retention's count or age.
void DropOld(const LogModel& log, LogStream& stream, Instant now);

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
