#include "httpparse.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <limits>
#include <utility>

namespace comfreypaddle {

namespace {

namespace http = boost::beast::http;
using BeastError = boost::beast::error_code;
using BeastView = boost::beast::string_view;

std::string_view ToView(BeastView text) { return {text.data(), text.size()}; }

ParseError ToParseError(const BeastError& error) {
  if (error == http::error::header_limit) return ParseError::kHeadTooLarge;
  if (error == http::error::body_limit) return ParseError::kBodyTooLarge;
  if (error == http::error::bad_content_length ||
      error == http::error::bad_transfer_encoding) {
    return ParseError::kBadFraming;
  }
  return ParseError::kMalformed;
}

// Prevents request smuggling: a body length that two implementations interpret
// differently can hide a second request in the body. Accepts only a single
// Content-Length, or chunked as the only transfer coding.
bool HasUnambiguousFraming(const HttpHead& head) {
  int lengths = 0;
  int encodings = 0;
  bool chunked = true;
  for (const HttpField& field : head.m_fields) {
    if (EqualsIgnoreCase(field.m_name, "Content-Length")) ++lengths;
    if (!EqualsIgnoreCase(field.m_name, "Transfer-Encoding")) continue;
    ++encodings;
    chunked = EqualsIgnoreCase(field.m_value, "chunked");
  }
  if (encodings == 0) return lengths <= 1;
  return encodings == 1 && chunked && lengths == 0 && head.m_version == 11;
}

}  // namespace

// Interface and state common to request and response parsers.
class HttpParser::ParserBase {
 public:
  virtual ~ParserBase() = default;
  virtual std::size_t Consume(std::string_view bytes) = 0;
  virtual bool PutEof() = 0;
  virtual bool HasHead() const = 0;
  virtual bool IsDone() const = 0;

  std::string m_buffered;  // Incomplete head, chunk header or trailer.
  ParseError m_error = ParseError::kNone;
  bool m_started = false;
};

template <bool kIsRequest>
class HttpParser::Parser : public HttpParser::ParserBase,
                           public http::basic_parser<kIsRequest> {
  using Base = http::basic_parser<kIsRequest>;

 public:
  Parser(const ParseLimits& limits, HttpMessageHandler& handler)
      : m_handler(handler) {
    this->eager(true);
    this->header_limit(limits.m_head_bytes);
    // Without a limit Beast rejects every body that has a length.
    this->body_limit(limits.m_body_bytes > 0
                         ? limits.m_body_bytes
                         : std::numeric_limits<std::uint64_t>::max());
  }

  std::size_t Consume(std::string_view bytes) override {
    BeastError error;
    const std::size_t used =
        Base::put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    // Beast may go on behind a rejected head and overwrite its error.
    if (m_bad_framing) {
      m_error = ParseError::kBadFraming;
    } else if (error && error != http::error::need_more) {
      m_error = ToParseError(error);
    }
    return used;
  }

  bool PutEof() override {
    BeastError error;
    Base::put_eof(error);
    return !error && Base::is_done();
  }

  bool HasHead() const override { return Base::is_header_done(); }
  bool IsDone() const override { return Base::is_done(); }

 private:
  void on_request_impl(http::verb /*method*/, BeastView method,
                       BeastView target, int version,
                       BeastError& error) override {
    error = {};
    m_head.m_method = ToView(method);
    m_head.m_target = ToView(target);
    m_head.m_version = version;
  }

  void on_response_impl(int code, BeastView /*reason*/, int version,
                        BeastError& error) override {
    error = {};
    // Ends the message: as an interim response, status 000 would be skipped,
    // and the call would wait for another one until its deadline.
    if (!IsResponseStatus(code)) error = http::error::bad_status;
    m_head.m_status = code;
    m_head.m_version = version;
  }

  void on_field_impl(http::field /*field*/, BeastView name, BeastView value,
                     BeastError& error) override {
    error = {};
    // Trailer fields are discarded.
    if (m_head_complete) return;
    m_head.m_fields.push_back(
        {std::string(ToView(name)), std::string(ToView(value))});
  }

  void on_header_impl(BeastError& error) override {
    error = {};
    m_head_complete = true;
    m_head.m_keep_alive = Base::keep_alive();
    m_head.m_body_until_close = Base::need_eof();
    const bool unambiguous = kIsRequest ? HasUnambiguousFraming(m_head)
                                        : HasUnambiguousLength(m_head.m_fields);
    if (!unambiguous) {
      m_bad_framing = true;
      error = http::error::bad_transfer_encoding;
      return;
    }
    m_handler.OnHead(std::move(m_head));
  }

  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         BeastError& error) override {
    error = {};
  }

  std::size_t on_body_impl(BeastView body, BeastError& error) override {
    error = {};
    if (!m_bad_framing) m_handler.OnBody(ToView(body));
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, BeastView /*extensions*/,
                            BeastError& error) override {
    error = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastView body,
                                 BeastError& error) override {
    error = {};
    if (!m_bad_framing) m_handler.OnBody(ToView(body));
    return body.size();
  }

  void on_finish_impl(BeastError& error) override { error = {}; }

  HttpMessageHandler& m_handler;
  HttpHead m_head;
  bool m_head_complete = false;
  bool m_bad_framing = false;
};

HttpParser::HttpParser(HttpMessageKind kind, const ParseLimits& limits,
                       HttpMessageHandler& handler)
    : m_kind(kind), m_handler(handler) {
  Reset(limits);
}

HttpParser::~HttpParser() = default;

void HttpParser::Reset(const ParseLimits& limits) {
  m_max_buffered_bytes = limits.m_head_bytes;
  if (m_kind == HttpMessageKind::kRequest) {
    m_parser = std::make_unique<Parser<true>>(limits, m_handler);
  } else {
    m_parser = std::make_unique<Parser<false>>(limits, m_handler);
  }
}

std::size_t HttpParser::Feed(std::string_view bytes) {
  ParserBase& parser = *m_parser;
  parser.m_started = parser.m_started || !bytes.empty();
  const std::size_t before = parser.m_buffered.size();
  std::string combined;
  std::string_view input = bytes;
  if (before > 0) {
    combined = std::move(parser.m_buffered);
    parser.m_buffered.clear();
    combined.append(bytes);
    input = combined;
  }
  std::size_t used = 0;
  while (used < input.size() && parser.m_error == ParseError::kNone &&
         !parser.IsDone()) {
    const std::size_t step = parser.Consume(input.substr(used));
    used += step;
    if (step == 0) break;
  }
  if (parser.m_error != ParseError::kNone) return bytes.size();
  if (parser.IsDone()) return used - before;
  BufferIncomplete(input.substr(used));
  return bytes.size();
}

// Beast limits the size of a head, but not of chunk extensions and trailer
// fields.
void HttpParser::BufferIncomplete(std::string_view incomplete) {
  if (incomplete.size() > m_max_buffered_bytes) {
    m_parser->m_error = ParseError::kHeadTooLarge;
    return;
  }
  m_parser->m_buffered.assign(incomplete);
}

bool HttpParser::PutEof() { return m_parser->PutEof(); }

bool HttpParser::Started() const { return m_parser->m_started; }

bool HttpParser::HasHead() const { return m_parser->HasHead(); }

bool HttpParser::IsDone() const {
  return m_parser->m_error == ParseError::kNone && m_parser->IsDone();
}

ParseError HttpParser::Error() const { return m_parser->m_error; }

bool IsResponseStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

std::optional<int> ParseStatusLine(std::string_view line) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  constexpr std::size_t kStatusAt = kProtocol.size() + 2;  // "HTTP/1.x "
  constexpr std::size_t kStatusDigits = 3;
  constexpr std::size_t kStatusEnd = kStatusAt + kStatusDigits;
  if (line.substr(0, kProtocol.size()) != kProtocol) return std::nullopt;
  if (line.size() < kStatusEnd || line[kStatusAt - 1] != ' ') {
    return std::nullopt;
  }
  const char minor_version = line[kProtocol.size()];
  if (minor_version != '0' && minor_version != '1') return std::nullopt;
  if (line.size() > kStatusEnd && line[kStatusEnd] != ' ') return std::nullopt;
  int status = 0;
  for (const char digit : line.substr(kStatusAt, kStatusDigits)) {
    if (digit < '0' || digit > '9') return std::nullopt;
    status = 10 * status + (digit - '0');
  }
  return status;
}

bool HasUnambiguousLength(const HttpFields& fields) {
  const std::string* length = FindFieldIgnoreCase(fields, "Content-Length");
  if (length == nullptr) return true;
  return std::all_of(
      fields.begin(), fields.end(), [length](const HttpField& field) {
        if (EqualsIgnoreCase(field.m_name, "Transfer-Encoding")) return false;
        return !EqualsIgnoreCase(field.m_name, "Content-Length") ||
               field.m_value == *length;
      });
}

std::string StatusReason(int status) {
  const BeastView reason =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return std::string(ToView(reason));
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

const std::string* FindFieldIgnoreCase(const HttpFields& fields,
                                       std::string_view name) {
  for (const HttpField& field : fields) {
    if (EqualsIgnoreCase(field.m_name, name)) return &field.m_value;
  }
  return nullptr;
}

}  // namespace comfreypaddle
