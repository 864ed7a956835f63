#include "sse.h"

#include <charconv>
#include <utility>

namespace comfreypaddle {

namespace {

constexpr std::size_t kMaxLineBytes = 1U << 20U;

// Returns whether the line holds the named field, and its value if so.
bool ParseField(std::string_view line, std::string_view name,
                std::string_view* value) {
  if (line.substr(0, name.size()) != name) return false;
  line.remove_prefix(name.size());
  if (line.empty() || line.front() != ':') return false;
  line.remove_prefix(1);
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  *value = line;
  return true;
}

}  // namespace

SseParser::SseParser(OnEvent on_event) : m_on_event(std::move(on_event)) {}

bool SseParser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      m_partial.append(bytes);
      return m_partial.size() <= kMaxLineBytes;
    }
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    std::string joined;
    if (!m_partial.empty()) {
      joined = std::exchange(m_partial, {});
      joined.append(line);
      line = joined;
    }
    if (line.size() > kMaxLineBytes) return false;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    ParseLine(line);
  }
  return true;
}

void SseParser::ParseLine(std::string_view line) {
  if (line.empty()) {
    if (m_has_field) m_on_event({m_event, m_data, m_id});
    m_event.clear();
    m_data.clear();
    m_id = 0;
    m_has_field = false;
    return;
  }
  std::string_view value;
  if (ParseField(line, "data", &value)) {
    m_data = value;
    m_has_field = true;
  } else if (ParseField(line, "id", &value)) {
    std::from_chars(value.data(), value.data() + value.size(), m_id);
  } else if (ParseField(line, "event", &value)) {
    m_event = value;
    m_has_field = true;
  }
}

std::string FormatSseEvent(std::string_view type, std::uint64_t id,
                           std::string_view data) {
  std::string text;
  text.reserve(type.size() + data.size() + 40);
  if (!type.empty()) text.append("event: ").append(type).append("\n");
  if (id != 0) text.append("id: ").append(std::to_string(id)).append("\n");
  text.append("data: ").append(data).append("\n\n");
  return text;
}

}  // namespace comfreypaddle
