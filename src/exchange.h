#ifndef COMFREYPADDLE_EXCHANGE_H_
#define COMFREYPADDLE_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "retry.h"
#include "types.h"

namespace comfreypaddle {

// Maximum output text retained so that another endpoint can continue it, and
// maximum text buffered for a caller that does not stream.
inline constexpr std::size_t kMaxRetainedTextBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxBufferedTextBytes = std::size_t{8} << 20;

// How the completeness of a response is checked.
enum class ResponseKind {
  kTokens,  // Engine: token positions and a done event.
  kBody     // Plain service: status and body.
};

template <>
struct EnumNames<ResponseKind> {
  static constexpr std::array<EnumName<ResponseKind>, 2> kTable{
      {{ResponseKind::kTokens, "tokens"}, {ResponseKind::kBody, "body"}}};
};

// Result of checking an event of an attempt.
enum class EventVerdict {
  kPass,       // New and in order: forward it to the caller.
  kDuplicate,  // Already processed: drop it.
  kStale,      // From an earlier attempt or after the end: drop it.
  kBroken      // Gap or inconsistency: fail with kBadAnswer.
};

template <>
struct EnumNames<EventVerdict> {
  static constexpr std::array<EnumName<EventVerdict>, 4> kTable{
      {{EventVerdict::kPass, "pass"},
       {EventVerdict::kDuplicate, "duplicate"},
       {EventVerdict::kStale, "stale"},
       {EventVerdict::kBroken, "broken"}}};
};

// Token counts of a done event.
struct TokenUsage {
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_cached_tokens = 0;
  std::uint64_t m_output_tokens = 0;
  std::string m_finish_reason;
};

// Attempt in progress.
struct Attempt {
  std::uint32_t m_number = 0;  // Zero if none.
  std::string m_endpoint;
  bool m_open = false;
  bool m_sent = false;  // Part of the request may have been sent.
  bool m_resume = false;
  std::uint64_t m_from = 0;    // The response starts after this position.
  std::uint64_t m_tokens = 0;  // New tokens.
  Instant m_started{};
  Instant m_last_byte{};
};

// State of one request from acceptance to its end.
struct Exchange {
  std::string m_id;
  std::string m_workspace;
  std::string m_fleet;
  ResponseKind m_kind = ResponseKind::kTokens;
  bool m_repeatable = false;
  bool m_streamed = true;  // The caller gets output as it arrives.
  Instant m_accepted{};
  Instant m_deadline{};

  Attempt m_attempt;
  std::uint32_t m_last_attempt_number = 0;
  std::uint32_t m_attempts = 0;  // See FailureContext.
  std::uint32_t m_resumes = 0;
  bool m_may_have_run = false;
  bool m_answer_seen = false;

  std::uint64_t m_position = 0;  // Last position accepted.
  std::string m_text;            // Output so far if m_text_complete.
  bool m_text_complete = true;
  bool m_body_started = false;  // Part of a plain body was forwarded.
  bool m_done = false;
  bool m_ended = false;
  bool m_usage_extracted = false;
  TokenUsage m_usage;
};

// Starts an attempt and returns its number, which all its events must carry. A
// resume reconnects to the same endpoint after the last position. Any other
// attempt continues m_text at m_position; both are reset if the text was not
// retained completely and the caller has received none of it.
std::uint32_t StartAttempt(Exchange& exchange, std::string_view endpoint,
                           bool resume, Instant now);

// Call before the first byte of the request may be sent.
void OnSending(Exchange& exchange, std::uint32_t attempt);

// Handles a response header. `request_id` is the id echoed by the endpoint; it
// may be empty.
EventVerdict OnResponseHeader(Exchange& exchange, std::uint32_t attempt,
                              std::string_view request_id, Instant now);

// Records that a byte or heartbeat arrived.
void OnActivity(Exchange& exchange, std::uint32_t attempt, Instant now);

// Handles a token and its position.
EventVerdict OnToken(Exchange& exchange, std::uint32_t attempt,
                     std::uint64_t position, std::string_view text,
                     Instant now);

// Handles the done event. It passes only if no token is missing: the engine's
// count must equal the last position, or the number of tokens of this attempt
// if it continued text of another endpoint. Usage counts the last position.
EventVerdict OnDone(Exchange& exchange, std::uint32_t attempt,
                    const TokenUsage& usage, Instant now);

// Handles a part of a plain response body.
EventVerdict OnBody(Exchange& exchange, std::uint32_t attempt, Instant now);

// Handles the end of a plain response, whose length the client has checked.
EventVerdict OnBodyEnd(Exchange& exchange, std::uint32_t attempt, Instant now);

// Ends the attempt as failed. Returns the input for DecideRetry, or nothing if
// the attempt is not the current one. The caller fills in m_endpoint_leaving
// and m_poison.
std::optional<FailureContext> OnAttemptFailed(Exchange& exchange,
                                              std::uint32_t attempt,
                                              FailureKind kind);

// Returns true if the current attempt has received nothing for `limit`.
bool IsSilent(const Exchange& exchange, Duration limit, Instant now);

// Returns the outcome to report if the request ends now.
Outcome OutcomeOf(const Exchange& exchange);

// Returns true if the whole response was received and, for a caller that does
// not stream, buffered, so that it may be reported as complete.
bool IsComplete(const Exchange& exchange);

// Ends the request. Later events are stale.
void EndExchange(Exchange& exchange);

// Returns the usage of a complete response, once.
std::optional<TokenUsage> ExtractUsage(Exchange& exchange);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_EXCHANGE_H_
