#ifndef COMFREYPADDLE_HTTPPARSE_H_
#define COMFREYPADDLE_HTTPPARSE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http.h"

namespace comfreypaddle {

// Head of a request or an answer. Names of header fields are as they were on
// the wire.
struct HttpHead {
  std::string m_method;  // Requests only.
  std::string m_target;  // Requests only: path and query, not decoded.
  int m_status = 0;      // Answers only.
  int m_version = 11;    // 10 or 11.
  HttpFields m_fields;
  bool m_keep_alive = true;
  // The body ends with the connection.
  bool m_ends_with_connection = false;
};

// What an HTTP parser found.
enum class ParseError {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kBadFraming,  // The length of the body is ambiguous.
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

// Gets the parts of a message in order.
class HttpSink {
 public:
  virtual ~HttpSink() = default;

  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
};

enum class HttpSide { kRequest, kAnswer };

struct ParseLimits {
  std::uint32_t m_head_bytes = 65536;
  std::uint64_t m_body_bytes = 0;  // Zero: no limit.
};

// Incremental parser of one HTTP/1.1 message after the other.
class HttpParser {
 public:
  HttpParser(HttpSide side, const ParseLimits& limits, HttpSink& sink);
  ~HttpParser();

  // Takes bytes and returns how many belong to the current message. It stops
  // at the end of the message: the rest belongs to the next one.
  std::size_t Put(std::string_view bytes);

  // Tells that the connection ended in order. Returns whether this completed
  // the message.
  bool PutEnd();

  // Prepares for the next message.
  void Reset(const ParseLimits& limits);

  // Whether a byte of the current message has been seen.
  bool Started() const;
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;

 private:
  // Keeps the start of a head, chunk header or trailer that is not complete.
  void KeepRest(std::string_view rest);

  class Core;
  template <bool kIsRequest>
  class Parser;

  HttpSide m_side;
  HttpSink& m_sink;
  std::uint32_t m_max_rest = 0;  // Bytes.
  std::unique_ptr<Core> m_core;
};

// Returns the text of a status code, or "Unknown".
std::string StatusReason(int status);

// Returns whether two field names are the same.
bool SameFieldName(std::string_view a, std::string_view b);

// Returns the value of the first field with this name in any case, or null.
const std::string* FindFieldAnyCase(const HttpFields& fields,
                                    std::string_view name);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HTTPPARSE_H_
