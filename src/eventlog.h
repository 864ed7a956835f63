#ifndef COMFREYPADDLE_EVENTLOG_H_
#define COMFREYPADDLE_EVENTLOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// Structured log line: "event=NAME key=value ...". The destructor writes it to
// standard output.
class LogLine {
 public:
  explicit LogLine(std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  // Values with spaces, quotes or line breaks are quoted.
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, std::int64_t value);

  // Adds a duration in milliseconds.
  LogLine& AddMs(std::string_view key, Duration value);

 private:
  std::string m_text;
};

// Sets the rate limit of log lines. Lines over the limit, and lines that would
// block on standard output, are dropped and counted; the count is logged when
// lines can be written again. Must be called before the first line.
void SetLogLimit(std::uint32_t lines_per_s);

// Number of lines dropped since the start of the process.
std::uint64_t DroppedLogLines();

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_EVENTLOG_H_
