#ifndef COMFREYPADDLE_STANDINS_COMMON_H_
#define COMFREYPADDLE_STANDINS_COMMON_H_

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <vector>

#include "http.h"
#include "loop.h"

namespace comfreypaddle::standins {

// Parses the flags, sends log lines to standard error and blocks the signals
// that TerminationWatch receives. Exits with status 2 on extra arguments.
void InitProgram(int* argc, char*** argv, const char* usage);

// Invokes a callback on the event loop's thread on SIGTERM or SIGINT.
class TerminationWatch {
 public:
  TerminationWatch(EventLoop& loop, EventLoop::Callback on_signal);
  ~TerminationWatch();
  TerminationWatch(const TerminationWatch&) = delete;
  TerminationWatch& operator=(const TerminationWatch&) = delete;

 private:
  EventLoop& m_loop;
  int m_descriptor;
};

// Token bucket rate limiter. A rate of zero disables the limit.
struct TokenBucket {
  double m_rate = 0.0;  // Tokens a second.
  double m_burst = 0.0;
  double m_tokens = 0.0;
  Instant m_updated;
};

// Returns a full bucket.
TokenBucket MakeTokenBucket(double rate, double burst, Instant now);

// Consumes a token if one is available. Returns false otherwise.
bool ConsumeToken(TokenBucket& bucket, Instant now);

// Splits the text at each separator. Returns no elements for an empty text.
std::vector<std::string> Split(std::string_view text, char separator);

// Returns the field's value as a number, or the fallback if it is missing or
// not a number.
std::uint64_t NumberField(const HttpFields& fields, std::string_view name,
                          std::uint64_t fallback);

// Whether a header, query parameter, the path or the body contains the text.
// False for an empty text.
bool Contains(const HttpRequest& request, std::string_view text);

void RespondJson(ResponsePort& port, std::uint64_t id, int status,
                 const google::protobuf::Message& message);

// Sends an error response of type application/problem+json.
void RespondProblem(ResponsePort& port, std::uint64_t id, int status,
                    std::string_view code, Outcome outcome,
                    std::string_view detail);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_H_
