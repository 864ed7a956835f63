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

// Bytes of answer text that are kept for another endpoint to go on behind, and
// bytes that are held for a caller who gets the answer in one piece.
inline constexpr std::size_t kMaxRetainedTextBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxBufferedTextBytes = std::size_t{8} << 20;

// How the answer of a request is checked for being whole.
enum class AnswerKind {
  kTokens,  // Engine: positions and a done event.
  kBody     // Plain service: status and body.
};

template <>
struct EnumNames<AnswerKind> {
  static constexpr std::array<EnumName<AnswerKind>, 2> kTable{
      {{AnswerKind::kTokens, "tokens"}, {AnswerKind::kBody, "body"}}};
};

// What to do with an event of an attempt.
enum class EventVerdict {
  kPass,       // New and in order: give it to the caller.
  kDuplicate,  // The caller has it already: drop it.
  kStale,      // Of an earlier attempt or after the end: drop it.
  kBroken      // Gap or contradiction: the attempt fails with kBadAnswer.
};

template <>
struct EnumNames<EventVerdict> {
  static constexpr std::array<EnumName<EventVerdict>, 4> kTable{
      {{EventVerdict::kPass, "pass"},
       {EventVerdict::kDuplicate, "duplicate"},
       {EventVerdict::kStale, "stale"},
       {EventVerdict::kBroken, "broken"}}};
};

// Figures of a done event.
struct AnswerUsage {
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_cached_tokens = 0;
  std::uint64_t m_output_tokens = 0;
  std::string m_finish_reason;
};

// The attempt that is under way.
struct Attempt {
  std::uint32_t m_number = 0;  // Zero: none.
  std::string m_endpoint;
  bool m_open = false;
  bool m_sent = false;  // A byte of the request may have left.
  bool m_resume = false;
  std::uint64_t m_from = 0;    // Position behind which the answer starts.
  std::uint64_t m_tokens = 0;  // New tokens.
  Instant m_started{};
  Instant m_last_byte{};
};

// One request from acceptance to its end.
struct Exchange {
  std::string m_id;
  std::string m_workspace;
  std::string m_fleet;
  AnswerKind m_kind = AnswerKind::kTokens;
  bool m_repeatable = false;
  bool m_streamed = true;  // The caller gets parts as they arrive.
  Instant m_accepted{};
  Instant m_deadline{};

  Attempt m_attempt;
  std::uint32_t m_last_attempt_number = 0;
  std::uint32_t m_attempts = 0;  // See FailureFacts.
  std::uint32_t m_resumes = 0;
  bool m_may_have_run = false;
  bool m_answer_seen = false;

  std::uint64_t m_position = 0;  // Last position passed on.
  std::string m_text;            // Answer so far, while m_text_complete.
  bool m_text_complete = true;
  bool m_body_started = false;  // Part of a plain answer was passed on.
  bool m_done = false;
  bool m_ended = false;
  bool m_usage_taken = false;
  AnswerUsage m_usage;
};

// Starts an attempt and returns its number, which all its events must carry.
// A resume goes to the same endpoint behind the last position. Another
// attempt goes on behind m_text, at m_position; both are reset if the text is
// not held whole and the caller has seen none of it.
std::uint32_t StartAttempt(Exchange& exchange, std::string_view endpoint,
                           bool resume, Instant now);

// To be called before the first byte of the request may leave the process.
void OnSending(Exchange& exchange, std::uint32_t attempt);

// Takes the head of an answer. `request_id` is the id that the endpoint
// repeated; it may be empty.
EventVerdict OnHead(Exchange& exchange, std::uint32_t attempt,
                    std::string_view request_id, Instant now);

// Notes that a byte or heartbeat arrived.
void OnActivity(Exchange& exchange, std::uint32_t attempt, Instant now);

// Takes one token with its position.
EventVerdict OnToken(Exchange& exchange, std::uint32_t attempt,
                     std::uint64_t position, std::string_view text,
                     Instant now);

// Takes the done event. It passes only if no token is missing: the engine's
// count must be the last position, or the number of tokens of this attempt if
// it went on behind text from another endpoint. Usage counts the last position.
EventVerdict OnDone(Exchange& exchange, std::uint32_t attempt,
                    const AnswerUsage& usage, Instant now);

// Takes a part of a plain answer's body.
EventVerdict OnBody(Exchange& exchange, std::uint32_t attempt, Instant now);

// Takes the end of a plain answer, whose length the client has checked.
EventVerdict OnBodyEnd(Exchange& exchange, std::uint32_t attempt, Instant now);

// Ends the attempt as failed. Returns the facts for DecideRetry, or nothing
// if the attempt is not the current one. m_endpoint_leaving and m_poison are
// left for the caller to fill in.
std::optional<FailureFacts> OnAttemptFailed(Exchange& exchange,
                                            std::uint32_t attempt,
                                            FailureKind kind);

// Returns true if the current attempt has been silent for the limit.
bool IsSilent(const Exchange& exchange, Duration limit, Instant now);

// Returns what may be reported about the request if it ends now.
Outcome OutcomeOf(const Exchange& exchange);

// Returns true if the whole answer was seen, and is held if the caller gets it
// in one piece, so that the caller may be told that it is complete.
bool IsComplete(const Exchange& exchange);

// Ends the request. Later events are stale.
void EndExchange(Exchange& exchange);

// Returns the usage of the delivered answer, once.
std::optional<AnswerUsage> TakeUsage(Exchange& exchange);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_EXCHANGE_H_
