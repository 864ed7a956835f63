#include "logstore.h"

#include <memory>
#include <utility>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;
constexpr std::int64_t kMicrosPerMilli = 1000;

class LogErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "log"; }

  std::string message(int value) const override {
    switch (static_cast<LogError>(value)) {
      case LogError::kOk:
        return "no error";
      case LogError::kNotSent:
        return "cannot connect to the log service";
      case LogError::kNoAnswer:
        return "no answer from the log service";
      case LogError::kRateLimited:
        return "rate limit of the log service exceeded";
      case LogError::kOutage:
        return "the log service is unavailable";
      case LogError::kTrimmed:
        return "the log no longer retains the requested offset";
      case LogError::kBadAnswer:
        return "invalid answer from the log service";
    }
    return "unknown error";
  }
};

// Maps the result and HTTP status of a call to an error.
LogError ToLogError(const HttpResult& result) {
  if (result.m_error) {
    return result.m_sent ? LogError::kNoAnswer : LogError::kNotSent;
  }
  switch (result.m_status) {
    case kStatusOk:
      return LogError::kOk;
    case kStatusGone:
      return LogError::kTrimmed;
    case kStatusTooMany:
      return LogError::kRateLimited;
    case kStatusUnavailable:
      return LogError::kOutage;
    default:
      return LogError::kBadAnswer;
  }
}

std::string ToText(std::int64_t value) { return std::to_string(value); }

}  // namespace

const std::error_category& LogCategory() {
  static const LogErrorCategory category;
  return category;
}

std::error_code make_error_code(LogError error) {
  return {static_cast<int>(error), LogCategory()};
}

HttpLogStore::HttpLogStore(HttpPort& http, HttpLogStoreOptions options)
    : m_http(http), m_options(std::move(options)) {}

HttpLogStore::~HttpLogStore() {
  for (const HttpPort::CallId id : m_calls) m_http.Cancel(id);
}

void HttpLogStore::Append(std::string body, AppendCallback on_end) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = m_options.m_url + "/log/v1/streams/" +
               PercentEncode(m_options.m_stream) + "/append";
  call.m_headers = {{"content-type", "application/octet-stream"}};
  call.m_body = std::move(body);
  call.m_timeout = m_options.m_append_timeout;
  Start(std::move(call), [on_end = std::move(on_end)](const HttpResult& result,
                                                      const std::string& body) {
    LogError error = ToLogError(result);
    schema::AppendAnswer answer;
    if (error == LogError::kOk &&
        (FromJson(body, UnknownFields::kIgnore, &answer) ||
         answer.offset() == 0)) {
      error = LogError::kBadAnswer;
    }
    on_end(error, answer.offset());
  });
}

void HttpLogStore::Read(std::uint64_t from, std::uint32_t max, Duration wait,
                        ReadCallback on_end) {
  HttpCall call;
  call.m_url =
      m_options.m_url + "/log/v1/streams/" + PercentEncode(m_options.m_stream) +
      "/records?from=" + std::to_string(from) + "&max=" + std::to_string(max) +
      "&wait_ms=" + ToText(wait.count() / kMicrosPerMilli);
  call.m_inactivity_timeout = wait + m_options.m_read_slack;
  Start(std::move(call), [on_end = std::move(on_end)](const HttpResult& result,
                                                      const std::string& body) {
    LogError error = ToLogError(result);
    schema::LogBatch batch;
    if (error == LogError::kOk && !batch.ParseFromString(body)) {
      batch.Clear();
      error = LogError::kBadAnswer;
    }
    // The body of status 410 is the JSON object {"first_retained": N}.
    if (error == LogError::kTrimmed &&
        FromJson(body, UnknownFields::kIgnore, &batch)) {
      batch.Clear();
    }
    on_end(error, std::move(batch));
  });
}

void HttpLogStore::Start(HttpCall call, EndCallback on_end) {
  call.m_force_new_connection = m_use_new_connection;
  auto body = std::make_shared<std::string>();
  auto id = std::make_shared<HttpPort::CallId>(0);
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) { body->append(bytes); };
  events.m_on_end = [this, body, id,
                     on_end = std::move(on_end)](const HttpResult& result) {
    m_calls.erase(*id);
    m_use_new_connection = static_cast<bool>(result.m_error);
    on_end(result, *body);
  };
  *id = m_http.Start(std::move(call), std::move(events));
  m_calls.insert(*id);
}

}  // namespace comfreypaddle
