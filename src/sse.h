#ifndef COMFREYPADDLE_SSE_H_
#define COMFREYPADDLE_SSE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace comfreypaddle {

// One server-sent event. The views are valid during the callback only.
struct SseEvent {
  std::string_view m_event;  // Empty for the default type.
  std::string_view m_data;   // Last data line; several are not joined.
  std::uint64_t m_id = 0;    // Zero if the event has no numeric id.
};

// Incremental parser of server-sent events. Comment lines are ignored.
class SseParser {
 public:
  using OnEvent = std::function<void(const SseEvent& event)>;

  explicit SseParser(OnEvent on_event);

  // Parses the next bytes. Returns false if a line exceeds the limit of 1 MiB;
  // the parser must not be used after that.
  bool Feed(std::string_view bytes);

 private:
  void ParseLine(std::string_view line);

  OnEvent m_on_event;
  std::string m_partial;
  std::string m_event;
  std::string m_data;
  std::uint64_t m_id = 0;
  bool m_has_field = false;
};

// Formats an event with a data line, an id line unless the id is zero, and an
// event line unless the type is empty.
std::string FormatSseEvent(std::string_view type, std::uint64_t id,
                           std::string_view data);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SSE_H_
