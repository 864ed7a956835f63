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
// that TerminationWatch takes. Exits with status 2 on stray arguments.
void InitProgram(int* argc, char*** argv, const char* usage);

// Calls back in the loop's thread when SIGTERM or SIGINT arrives.
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

// Limit of a rate with a burst. A rate of zero means that there is no limit.
struct TokenBucket {
  double m_rate = 0.0;  // Tokens a second.
  double m_burst = 0.0;
  double m_tokens = 0.0;
  Instant m_updated;
};

// Returns a full bucket.
TokenBucket MakeBucket(double rate, double burst, Instant now);

// Takes a token if there is one.
bool TakeToken(TokenBucket& bucket, Instant now);

// Returns the parts between the separators; none for an empty text.
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

// Answers with application/problem+json.
void RespondProblem(ResponsePort& port, std::uint64_t id, int status,
                    std::string_view code, Outcome outcome,
                    std::string_view detail);

}  // namespace comfreypaddle::standins

#endif  // COMFREYPADDLE_STANDINS_COMMON_H_
