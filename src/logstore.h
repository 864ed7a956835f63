#ifndef COMFREYPADDLE_LOGSTORE_H_
#define COMFREYPADDLE_LOGSTORE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <system_error>

#include "http.h"
#include "records.pb.h"
#include "types.h"

namespace comfreypaddle {

// Errors of calls to the log service.
enum class LogError {
  kOk = 0,
  kNotSent,      // No connection; the request was not sent.
  kNoAnswer,     // No answer; an append may have been stored.
  kRateLimited,  // Rejected by the service's rate limit.
  kOutage,       // Rejected because the service is unavailable.
  kTrimmed,      // The offset is no longer retained.
  kBadAnswer,    // The answer violates the protocol.
};

const std::error_category& LogCategory();

std::error_code make_error_code(LogError error);

// Interface of the platform's append-only log. Callbacks are never invoked from
// within the call that they belong to.
class LogStore {
 public:
  using AppendCallback =
      std::function<void(std::error_code error, std::uint64_t offset)>;
  using ReadCallback =
      std::function<void(std::error_code error, schema::LogBatch batch)>;

  virtual ~LogStore() = default;

  // Appends an entry with this body.
  virtual void Append(std::string body, AppendCallback on_end) = 0;

  // Reads at most max entries from the offset on. If there is none yet, the log
  // waits for one for at most the given time. With kTrimmed the batch contains
  // the first retained offset, if the log reported it.
  virtual void Read(std::uint64_t from, std::uint32_t max, Duration wait,
                    ReadCallback on_end) = 0;
};

struct HttpLogStoreOptions {
  std::string m_url;     // Base URL of the service, without a trailing slash.
  std::string m_stream;  // Name of the stream.
  Duration m_append_timeout{1'000'000};
  // Silence timeout of a read in addition to its wait.
  Duration m_read_slack{700'000};
};

// Client of the log's HTTP protocol. After an error the next call opens a new
// connection, because an open connection may stay silent forever while new ones
// work.
class HttpLogStore : public LogStore {
 public:
  HttpLogStore(HttpPort& http, HttpLogStoreOptions options);
  ~HttpLogStore() override;
  HttpLogStore(const HttpLogStore&) = delete;
  HttpLogStore& operator=(const HttpLogStore&) = delete;

  void Append(std::string body, AppendCallback on_end) override;
  void Read(std::uint64_t from, std::uint32_t max, Duration wait,
            ReadCallback on_end) override;

 private:
  using EndCallback =
      std::function<void(const HttpResult& result, const std::string& body)>;

  void Start(HttpCall call, EndCallback on_end);

  HttpPort& m_http;
  HttpLogStoreOptions m_options;
  std::set<HttpPort::CallId> m_calls;
  bool m_use_new_connection = false;
};

}  // namespace comfreypaddle

template <>
struct std::is_error_code_enum<comfreypaddle::LogError> : std::true_type {};

#endif  // COMFREYPADDLE_LOGSTORE_H_
