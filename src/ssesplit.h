#ifndef COMFREYPADDLE_SSESPLIT_H_
#define COMFREYPADDLE_SSESPLIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypaddle {

// One server-sent event.
struct RawSseEvent {
  std::string m_bytes;  // As received, with the final blank line.
  std::optional<std::uint64_t> m_id;
};

// Cuts a byte stream into whole server-sent events without changing a byte.
class SseSplitter {
 public:
  // Takes the next bytes and returns the events that they complete.
  std::vector<RawSseEvent> Feed(std::string_view bytes);

  // Whether the stream stopped in the middle of an event.
  bool HasPartial() const { return !m_partial.empty(); }

  // Whether the event that is not complete is larger than any is.
  bool IsTooLarge() const { return m_partial.size() > kMaxEventBytes; }

  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

 private:
  std::string m_partial;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SSESPLIT_H_
