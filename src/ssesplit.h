#ifndef COMFREYPADDLE_SSESPLIT_H_
#define COMFREYPADDLE_SSESPLIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypaddle {

// Server-sent event as received.
struct RawSseEvent {
  std::string m_bytes;  // As received, with the final blank line.
  std::optional<std::uint64_t> m_id;
};

// Splits a byte stream into server-sent events without changing their bytes.
class SseSplitter {
 public:
  // Appends bytes and returns the events that they complete.
  std::vector<RawSseEvent> Feed(std::string_view bytes);

  // Whether an incomplete event is buffered.
  bool HasPartial() const { return !m_partial.empty(); }

  // Whether the incomplete event exceeds kMaxEventBytes.
  bool IsTooLarge() const { return m_partial.size() > kMaxEventBytes; }

  // Size of the incomplete event.
  std::size_t PartialBytes() const { return m_partial.size(); }

  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

 private:
  std::string m_partial;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SSESPLIT_H_
