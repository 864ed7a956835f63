#ifndef COMFREYPADDLE_HTTP_H_
#define COMFREYPADDLE_HTTP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Header field or query parameter. Names of header fields are in lower case.
struct HttpField {
  std::string m_name;
  std::string m_value;
};

using HttpFields = std::vector<HttpField>;

// Returns the value of the first field with this name, or an empty view.
std::string_view FindField(const HttpFields& fields, std::string_view name);

// Returns the text with the characters outside RFC 3986's unreserved set
// percent-encoded.
std::string PercentEncode(std::string_view text);

// Errors of HTTP calls and listeners.
enum class HttpError {
  kOk = 0,
  kConnectFailed,   // No connection; no byte was sent.
  kConnectionLost,  // The connection broke before the answer was complete.
  kTimeout,         // The call's time limit was reached.
  kBadAnswer,       // The server's bytes are no answer.
  kSilent,          // Nothing arrived for longer than the silence limit.
  kTooLarge,        // More bytes arrived than the call allows.
  kCancelled,       // The owner cancelled the call.
  kListenFailed,    // The address cannot be listened on.
};

const std::error_category& HttpCategory();

std::error_code make_error_code(HttpError error);

// Request read completely by a listener.
struct HttpRequest {
  std::uint64_t m_id = 0;  // Names the request in calls to CallerPort.
  // Names the connection; later connections have higher numbers.
  std::uint64_t m_connection = 0;
  std::string m_method;
  std::string m_path;
  HttpFields m_query;
  HttpFields m_headers;
  std::string m_body;
  // Path and query as the caller sent them. Only HttpServer fills it in, and
  // leaves m_path and m_query empty.
  std::string m_target;
};

// Where answers to requests go. Calls with the id of a request that has ended
// have no effect.
class CallerPort {
 public:
  virtual ~CallerPort() = default;

  // Sends a whole answer.
  virtual void Respond(std::uint64_t id, int status, HttpFields headers,
                       std::string body) = 0;

  // Starts an answer whose body is written in pieces.
  virtual void StartStream(std::uint64_t id, int status,
                           HttpFields headers) = 0;

  virtual void Write(std::uint64_t id, std::string_view bytes) = 0;

  // Ends a streamed answer as complete.
  virtual void FinishStream(std::uint64_t id) = 0;

  // Closes the connection so that the answer cannot look complete.
  virtual void Abort(std::uint64_t id) = 0;
};

// Bytes of an answer's body that a call takes unless it says otherwise.
inline constexpr std::uint64_t kDefaultMaxBody = 64U << 20U;

// Call to a server. Durations of zero mean that there is no such limit.
struct HttpCall {
  std::string m_method = "GET";
  std::string m_url;
  HttpFields m_headers;
  std::string m_body;
  Duration m_connect_timeout{500'000};
  Duration m_timeout{0};
  Duration m_silence{0};  // Longest time without a byte from the server.
  // Largest body of the answer, bytes; zero: the owner bounds what it keeps.
  // A faulty server may send without end until the connection is closed.
  std::uint64_t m_max_body = kDefaultMaxBody;
  // Uses a connection of its own, so that the library never sends the request
  // a second time after a reused connection turned out to be closed.
  bool m_fresh_connection = false;
  // Tells whether an answer with these header fields belongs to this call; one
  // that does not is read to its end and dropped. Unset: every answer does.
  // Only HttpClient asks it.
  std::function<bool(const HttpFields& headers)> m_belongs;
};

// How a call ended.
struct HttpResult {
  std::error_code m_error;
  int m_status = 0;     // Zero if no status line arrived.
  bool m_sent = false;  // True if a byte of the request may have left.
};

// Callbacks of one call, in this order; none follows on_end or a cancel.
struct HttpEvents {
  std::function<void(int status, const HttpFields& headers)> m_on_head;
  std::function<void(std::string_view bytes)> m_on_body;
  std::function<void(const HttpResult& result)> m_on_end;
};

// Starts HTTP calls. Callbacks come from the owning task's loop and never from
// within Start or Cancel.
class HttpPort {
 public:
  using CallId = std::uint64_t;

  virtual ~HttpPort() = default;

  virtual CallId Start(HttpCall call, HttpEvents events) = 0;

  // Ends a call without further callbacks and closes its connection if the
  // answer was not complete. Unknown ids are ignored.
  virtual void Cancel(CallId id) = 0;
};

}  // namespace comfreypaddle

template <>
struct std::is_error_code_enum<comfreypaddle::HttpError> : std::true_type {};

#endif  // COMFREYPADDLE_HTTP_H_
