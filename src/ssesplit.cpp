#include "ssesplit.h"

#include <charconv>

namespace comfreypaddle {

namespace {

// Returns the numeric id of an event, or nothing.
std::optional<std::uint64_t> FindId(std::string_view event) {
  constexpr std::string_view kName = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.substr(0, kName.size()) != kName) continue;
    line.remove_prefix(kName.size());
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc()) return id;
  }
  return std::nullopt;
}

// Returns the size of the first event with its blank line, or npos.
std::size_t FindEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.substr(0, 1) == "\n") return at + 2;
    if (rest.substr(0, 2) == "\r\n") return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<RawSseEvent> SseSplitter::Feed(std::string_view bytes) {
  // The end of an event may span the buffered and the new bytes.
  constexpr std::size_t kOverlap = 2;
  std::size_t from =
      m_partial.size() > kOverlap ? m_partial.size() - kOverlap : 0;
  m_partial.append(bytes);
  std::vector<RawSseEvent> events;
  std::string_view rest = m_partial;
  while (true) {
    const std::size_t end = FindEnd(rest, from);
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    events.push_back({std::string(event), FindId(event)});
    rest.remove_prefix(end);
    from = 0;
  }
  m_partial.erase(0, m_partial.size() - rest.size());
  return events;
}

}  // namespace comfreypaddle
