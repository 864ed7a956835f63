#ifndef COMFREYPADDLE_HTTPPARSE_H_
#define COMFREYPADDLE_HTTPPARSE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http.h"

namespace comfreypaddle {

// Start line and header fields of a request or response. Field names keep the
// case of the wire.
struct HttpHead {
  std::string m_method;  // Requests only.
  std::string m_target;  // Requests only: path and query, not decoded.
  int m_status = 0;      // Responses only.
  int m_version = 11;    // 10 or 11.
  HttpFields m_fields;
  bool m_keep_alive = true;
  // The body is delimited by the close of the connection.
  bool m_body_until_close = false;
};

// Errors of the HTTP parser.
enum class ParseError {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kBadFraming,  // Ambiguous message body length.
};

template <>
struct EnumNames<ParseError> {
  static constexpr std::array<EnumName<ParseError>, 5> kTable{
      {{ParseError::kNone, "none"},
       {ParseError::kMalformed, "malformed"},
       {ParseError::kHeadTooLarge, "head_too_large"},
       {ParseError::kBodyTooLarge, "body_too_large"},
       {ParseError::kBadFraming, "bad_framing"}}};
};

// Receives the parts of a message in order.
class HttpMessageHandler {
 public:
  virtual ~HttpMessageHandler() = default;

  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
};

enum class HttpMessageKind { kRequest, kResponse };

struct ParseLimits {
  std::uint32_t m_head_bytes = 65536;
  std::uint64_t m_body_bytes = 0;  // Zero: no limit.
};

// Incremental parser of consecutive HTTP/1.1 messages.
class HttpParser {
 public:
  HttpParser(HttpMessageKind kind, const ParseLimits& limits,
             HttpMessageHandler& handler);
  ~HttpParser();

  // Parses bytes and returns how many were consumed. Stops at the end of the
  // current message; the remaining bytes belong to the next one.
  std::size_t Feed(std::string_view bytes);

  // Signals an orderly close of the connection. Returns whether this completes
  // the message.
  bool PutEof();

  // Prepares for the next message.
  void Reset(const ParseLimits& limits);

  // Whether any byte of the current message has been received.
  bool Started() const;
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;

 private:
  // Buffers an incomplete head, chunk header or trailer.
  void BufferIncomplete(std::string_view incomplete);

  class ParserBase;
  template <bool kIsRequest>
  class Parser;

  HttpMessageKind m_kind;
  HttpMessageHandler& m_handler;
  std::uint32_t m_max_buffered_bytes = 0;  // Bytes.
  std::unique_ptr<ParserBase> m_parser;
};

// Maximum number of interim (1xx) responses before the response to one call. A
// faulty server may send them without end.
inline constexpr int kMaxInterimResponses = 16;

// Whether a response to a call may have this status: 100 to 599 without 101,
// because no call asks for another protocol.
bool IsResponseStatus(int status);

// Returns the status of a status line, without its line end, or nothing if it
// is not one of HTTP/1.0 or HTTP/1.1.
std::optional<int> ParseStatusLine(std::string_view line);

// Whether no two servers or clients interpret the body length of a response
// with these fields differently: a length does not stand beside a transfer
// coding, and lengths are equal.
bool HasUnambiguousLength(const HttpFields& fields);

// Returns the reason phrase of a status code, or a placeholder if unknown.
std::string StatusReason(int status);

// Compares two strings ignoring ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Returns the value of the first field with this name, ignoring case, or null.
const std::string* FindFieldIgnoreCase(const HttpFields& fields,
                                       std::string_view name);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HTTPPARSE_H_
