#ifndef COMFREYPADDLE_EVENTLOG_H_
#define COMFREYPADDLE_EVENTLOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// One structured log line: "event=NAME key=value ...". It is written to
// standard output when it is destroyed.
class LogLine {
 public:
  explicit LogLine(std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // Values with blanks or quotes are quoted.
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, std::int64_t value);

  // Adds a span of time in milliseconds.
  LogLine& AddMs(std::string_view key, Duration value);

 private:
  std::string m_text;
};

// Bounds the lines a second. Lines beyond it, and lines that standard output
// does not take at once, are left out and counted; the count is logged once
// lines are taken again. Call it before the first line.
void SetLogLimit(std::uint32_t lines_per_s);

// Lines left out since the start.
std::uint64_t LostLogLines();

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_EVENTLOG_H_
