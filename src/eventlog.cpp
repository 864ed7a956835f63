#include "eventlog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <mutex>

#include "loop.h"

namespace comfreypaddle {

namespace {

// Rate-limited log output shared by all tasks.
struct LogWriter {
  std::mutex m_mutex;
  double m_lines_per_s = 1000;  // Also the burst size, lines.
  double m_tokens = 1000;
  Instant m_last_refill{};
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_dropped = 0;  // Dropped lines already logged.
};

LogWriter& SharedLogWriter() {
  static auto* const writer = new LogWriter();
  return *writer;
}

// Whether standard output can be written without blocking.
bool IsWritable() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

bool TakeToken(LogWriter& writer) {
  const Instant now = Now();
  const double elapsed_s =
      std::chrono::duration<double>(now - writer.m_last_refill).count();
  writer.m_last_refill = now;
  writer.m_tokens = std::min(
      writer.m_lines_per_s, writer.m_tokens + elapsed_s * writer.m_lines_per_s);
  if (writer.m_tokens < 1) return false;
  writer.m_tokens -= 1;
  return true;
}

// Whether the character needs no quoting: printable ASCII. Bytes outside it
// come from other writers and may be no valid text.
bool IsPlain(char c) { return c > ' ' && c <= '~' && c != '"'; }

void WriteToStdout(const std::string& text) {
  // The result is ignored: a partial write truncates only this line.
  [[maybe_unused]] const ssize_t count =
      write(STDOUT_FILENO, text.data(), text.size());
}

}  // namespace

LogLine::LogLine(std::string_view event) {
  m_text = "event=";
  m_text += event;
}

LogLine::~LogLine() {
  m_text += '\n';
  LogWriter& writer = SharedLogWriter();
  const std::lock_guard<std::mutex> guard(writer.m_mutex);
  if (!TakeToken(writer) || !IsWritable()) {
    ++writer.m_dropped_lines;
    return;
  }
  if (writer.m_dropped_lines > writer.m_reported_dropped) {
    WriteToStdout("event=log_lines_lost total=" +
                  std::to_string(writer.m_dropped_lines) + "\n");
    writer.m_reported_dropped = writer.m_dropped_lines;
  }
  WriteToStdout(m_text);
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  m_text += ' ';
  m_text += key;
  m_text += '=';
  const bool is_plain = std::all_of(value.begin(), value.end(), IsPlain);
  if (!is_plain) m_text += '"';
  for (const char c : value) m_text += IsPlain(c) || c == ' ' ? c : '_';
  if (!is_plain) m_text += '"';
  return *this;
}

LogLine& LogLine::Add(std::string_view key, std::int64_t value) {
  return Add(key, std::to_string(value));
}

LogLine& LogLine::AddMs(std::string_view key, Duration value) {
  std::array<char, 32> text;
  const int size = std::snprintf(text.data(), text.size(), "%.1f",
                                 static_cast<double>(value.count()) / 1000.0);
  return Add(key,
             std::string_view(text.data(), static_cast<std::size_t>(size)));
}

void SetLogLimit(std::uint32_t lines_per_s) {
  LogWriter& writer = SharedLogWriter();
  const std::lock_guard<std::mutex> guard(writer.m_mutex);
  writer.m_lines_per_s = lines_per_s;
  writer.m_tokens = lines_per_s;
}

std::uint64_t DroppedLogLines() {
  LogWriter& writer = SharedLogWriter();
  const std::lock_guard<std::mutex> guard(writer.m_mutex);
  return writer.m_dropped_lines;
}

}  // namespace comfreypaddle
