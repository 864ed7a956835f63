#ifndef COMFREYPADDLE_HTTP_H_
#define COMFREYPADDLE_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Header field or query parameter. Header field names are in lower case.
struct HttpField {
  std::string m_name;
  std::string m_value;
};

using HttpFields = std::vector<HttpField>;

// Returns the value of the first field with this name, or an empty view.
std::string_view FindField(const HttpFields& fields, std::string_view name);

// Percent-encodes all characters outside the unreserved set of RFC 3986,
// section 2.3.
std::string PercentEncode(std::string_view text);

// Decodes percent-encoded characters. Leaves a percent sign that no two
// hexadecimal digits follow as it is.
std::string PercentDecode(std::string_view text);

// Errors of HTTP calls and servers.
enum class HttpError {
  kOk = 0,
  kConnectFailed,      // No connection was made; no byte was sent.
  kConnectRefused,     // As above: nothing listens there. HttpClient only.
  kConnectTimeout,     // As above: nothing answered in time. HttpClient only.
  kConnectionLost,     // The connection closed before the response ended.
  kTimeout,            // The total timeout of the call expired.
  kMalformedResponse,  // The response is not valid HTTP.
  kInactivityTimeout,  // No byte arrived within the inactivity timeout.
  kTooLarge,           // The response exceeds the size limit of the call.
  kCancelled,          // The owner cancelled the call.
  kListenFailed,       // The listening socket cannot be opened.
  kNoSocket,           // This machine has no socket left for a connection.
};

const std::error_category& HttpCategory();

std::error_code make_error_code(HttpError error);

// Complete request received by a server.
struct HttpRequest {
  std::uint64_t m_id = 0;  // Identifies the request to ResponsePort.
  // Identifies the connection; later connections have higher numbers.
  std::uint64_t m_connection = 0;
  std::string m_method;
  std::string m_path;
  HttpFields m_query;
  HttpFields m_headers;
  std::string m_body;
  // Path and query, not decoded. HttpServer leaves m_path and m_query empty.
  std::string m_target;
};

// Sets the decoded path and query of a request from its target.
void DecodeTarget(HttpRequest& request);

// Sends responses to callers. Calls with the id of a request that has ended
// have no effect.
class ResponsePort {
 public:
  virtual ~ResponsePort() = default;

  // Sends a complete response.
  virtual void Respond(std::uint64_t id, int status, HttpFields headers,
                       std::string body) = 0;

  // Starts a response whose body is streamed with Write.
  virtual void StartStream(std::uint64_t id, int status,
                           HttpFields headers) = 0;

  virtual void Write(std::uint64_t id, std::string_view bytes) = 0;

  // Completes a streamed response.
  virtual void FinishStream(std::uint64_t id) = 0;

  // Closes the connection so that the response is seen as incomplete.
  virtual void Abort(std::uint64_t id) = 0;
};

// Default limit of the size of a response body, bytes: several times the
// largest page of the platform's store, and a tenth of the smallest machine's
// memory.
inline constexpr std::uint64_t kDefaultMaxBodyBytes = 16U << 20U;

// How a response relates to the call that waits on its connection.
enum class ResponseMatch {
  kOwn,           // It names the call.
  kUnidentified,  // It names no call.
  kOther          // It names another call.
};

template <>
struct EnumNames<ResponseMatch> {
  static constexpr std::array<EnumName<ResponseMatch>, 3> kTable{
      {{ResponseMatch::kOwn, "own"},
       {ResponseMatch::kUnidentified, "unidentified"},
       {ResponseMatch::kOther, "other"}}};
};

// HTTP call to a server. A timeout of zero means no limit.
struct HttpCall {
  std::string m_method = "GET";
  std::string m_url;
  HttpFields m_headers;
  std::string m_body;
  // Body that other calls may send too, instead of m_body. Null: m_body.
  std::shared_ptr<const std::string> m_shared_body;
  Duration m_connect_timeout{500'000};
  Duration m_timeout{0};
  Duration m_inactivity_timeout{
      0};  // Inactivity timeout: maximum time without input.
  // Maximum size of the response body, bytes. Zero: the owner bounds what it
  // buffers. A faulty server may send data until the connection is closed.
  std::uint64_t m_max_body_bytes = kDefaultMaxBodyBytes;
  // Opens a new connection, so that the library never resends the request
  // after finding that a reused connection was closed.
  bool m_force_new_connection = false;
  // How a response with these header fields relates to this call. Responses to
  // other calls are read to their end and discarded, and so are unidentified
  // ones on a connection that carried a call before: they may be late copies.
  // Unset: accepts every response. Used by HttpClient only.
  std::function<ResponseMatch(const HttpFields& headers)> m_match_response;
  // Id of the request that the call carries. Other calls may carry the same
  // one, each on another connection: a copy of an earlier response to the
  // request could not be told from the response to this call. Unset: it carries
  // none that responses repeat. Used by HttpClient only.
  std::optional<std::string> m_request_id;
};

// Returns the body that a call sends.
std::string_view BodyOf(const HttpCall& call);

// How a call ended.
struct HttpResult {
  std::error_code m_error;
  int m_status = 0;     // Zero if no status line was received.
  bool m_sent = false;  // Whether a byte of the request may have been sent.
  // Number of the connection among those of its client, and the calls that it
  // has carried, this one included. Zero if unknown. Set by HttpClient only.
  std::uint64_t m_connection = 0;
  std::uint32_t m_connection_calls = 0;
};

// Callbacks of one call, in this order. None follows on_end or Cancel.
struct HttpEvents {
  std::function<void(int status, const HttpFields& headers)> m_on_head;
  std::function<void(std::string_view bytes)> m_on_body;
  std::function<void(const HttpResult& result)> m_on_end;
};

// HTTP client interface. Callbacks run in the event loop of the owning task,
// never within Start or Cancel.
class HttpPort {
 public:
  using CallId = std::uint64_t;

  virtual ~HttpPort() = default;

  virtual CallId Start(HttpCall call, HttpEvents events) = 0;

  // When the connection that carries the call was established; nothing if it is
  // not, or if this is not known.
  virtual std::optional<Instant> ConnectedAt(CallId id) const {
    (void)id;
    return std::nullopt;
  }

  // Whether the peer has acknowledged the whole request of the call.
  virtual bool IsDelivered(CallId id) const {
    (void)id;
    return true;
  }

  // Whether a connection to the address, IP:PORT, is open.
  virtual bool HasConnection(const std::string& address) const {
    (void)address;
    return true;
  }

  // Cancels a call without further callbacks and closes its connection if the
  // response is incomplete. Unknown ids are ignored.
  virtual void Cancel(CallId id) = 0;
};

}  // namespace comfreypaddle

template <>
struct std::is_error_code_enum<comfreypaddle::HttpError> : std::true_type {};

#endif  // COMFREYPADDLE_HTTP_H_
