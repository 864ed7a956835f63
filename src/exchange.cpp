#include "exchange.h"

namespace comfreypaddle {
namespace {

// Returns true if the event belongs to the attempt in progress.
bool IsCurrent(const Exchange& exchange, std::uint32_t attempt) {
  return !exchange.m_ended && !exchange.m_done && exchange.m_attempt.m_open &&
         exchange.m_attempt.m_number == attempt;
}

void RetainText(Exchange& exchange, std::string_view text) {
  if (!exchange.m_text_complete) return;
  const std::size_t limit =
      exchange.m_streamed ? kMaxRetainedTextBytes : kMaxBufferedTextBytes;
  if (exchange.m_text.size() + text.size() > limit) {
    exchange.m_text_complete = false;
    exchange.m_text.clear();
    exchange.m_text.shrink_to_fit();
    return;
  }
  exchange.m_text += text;
}

bool CallerHasPart(const Exchange& exchange) {
  if (exchange.m_kind == ResponseKind::kBody) return exchange.m_body_started;
  return exchange.m_streamed && exchange.m_position > 0;
}

// Drops output of an earlier attempt that the caller has not received. Without
// the complete text the output cannot be continued and must start again.
void DropUnsentText(Exchange& exchange) {
  exchange.m_position = 0;
  exchange.m_text.clear();
  exchange.m_text_complete = true;
}

}  // namespace

std::uint32_t StartAttempt(Exchange& exchange, std::string_view endpoint,
                           bool resume, Instant now) {
  if (!resume && !CallerHasPart(exchange) && !exchange.m_text_complete) {
    DropUnsentText(exchange);
  }
  Attempt attempt;
  attempt.m_number = ++exchange.m_last_attempt_number;
  attempt.m_endpoint = std::string(endpoint);
  attempt.m_open = true;
  attempt.m_resume = resume;
  attempt.m_from = exchange.m_position;
  attempt.m_started = now;
  attempt.m_last_byte = now;
  exchange.m_attempt = std::move(attempt);
  if (resume) {
    ++exchange.m_resumes;
  } else {
    ++exchange.m_attempts;
    exchange.m_resumes = 0;
  }
  return exchange.m_last_attempt_number;
}

void OnSending(Exchange& exchange, std::uint32_t attempt) {
  if (!IsCurrent(exchange, attempt)) return;
  exchange.m_attempt.m_sent = true;
}

EventVerdict OnResponseHeader(Exchange& exchange, std::uint32_t attempt,
                              std::string_view request_id, Instant now) {
  if (!IsCurrent(exchange, attempt)) return EventVerdict::kStale;
  exchange.m_attempt.m_last_byte = now;
  if (!request_id.empty() && request_id != exchange.m_id) {
    return EventVerdict::kBroken;
  }
  return EventVerdict::kPass;
}

void OnActivity(Exchange& exchange, std::uint32_t attempt, Instant now) {
  if (IsCurrent(exchange, attempt)) exchange.m_attempt.m_last_byte = now;
}

EventVerdict OnToken(Exchange& exchange, std::uint32_t attempt,
                     std::uint64_t position, std::string_view text,
                     Instant now) {
  if (!IsCurrent(exchange, attempt)) return EventVerdict::kStale;
  exchange.m_attempt.m_last_byte = now;
  if (position == 0 || position > exchange.m_position + 1) {
    return EventVerdict::kBroken;
  }
  if (position <= exchange.m_position) return EventVerdict::kDuplicate;
  exchange.m_position = position;
  exchange.m_answer_seen = true;
  exchange.m_attempts = 1;
  exchange.m_resumes = 0;
  ++exchange.m_attempt.m_tokens;
  RetainText(exchange, text);
  return EventVerdict::kPass;
}

EventVerdict OnDone(Exchange& exchange, std::uint32_t attempt,
                    const TokenUsage& usage, Instant now) {
  if (!IsCurrent(exchange, attempt)) return EventVerdict::kStale;
  exchange.m_attempt.m_last_byte = now;
  const std::uint64_t since_start =
      exchange.m_position - exchange.m_attempt.m_from;
  const bool is_continuation = !exchange.m_attempt.m_resume;
  if (usage.m_output_tokens != exchange.m_position &&
      !(is_continuation && usage.m_output_tokens == since_start)) {
    return EventVerdict::kBroken;
  }
  exchange.m_answer_seen = true;
  exchange.m_done = true;
  exchange.m_usage = usage;
  exchange.m_usage.m_output_tokens = exchange.m_position;
  exchange.m_attempt.m_open = false;
  return EventVerdict::kPass;
}

EventVerdict OnBody(Exchange& exchange, std::uint32_t attempt, Instant now) {
  if (!IsCurrent(exchange, attempt)) return EventVerdict::kStale;
  exchange.m_attempt.m_last_byte = now;
  exchange.m_answer_seen = true;
  exchange.m_body_started = true;
  return EventVerdict::kPass;
}

EventVerdict OnBodyEnd(Exchange& exchange, std::uint32_t attempt, Instant now) {
  if (!IsCurrent(exchange, attempt)) return EventVerdict::kStale;
  exchange.m_attempt.m_last_byte = now;
  exchange.m_answer_seen = true;
  exchange.m_done = true;
  exchange.m_attempt.m_open = false;
  return EventVerdict::kPass;
}

std::optional<FailureContext> OnAttemptFailed(Exchange& exchange,
                                              std::uint32_t attempt,
                                              FailureKind kind) {
  if (!IsCurrent(exchange, attempt)) return std::nullopt;
  Attempt& current = exchange.m_attempt;
  current.m_open = false;
  const bool not_run = kind == FailureKind::kRefusedNotRun ||
                       kind == FailureKind::kConnectFailed;
  if (current.m_sent && !not_run) exchange.m_may_have_run = true;
  if (kind == FailureKind::kAnsweredError) exchange.m_answer_seen = true;
  FailureContext facts;
  facts.m_kind = kind;
  facts.m_workspace = exchange.m_workspace;
  facts.m_repeatable = exchange.m_repeatable;
  facts.m_may_have_run = exchange.m_may_have_run;
  facts.m_answer_seen = exchange.m_answer_seen;
  facts.m_sent = current.m_sent;
  facts.m_resumable = exchange.m_kind == ResponseKind::kTokens;
  facts.m_partly_delivered = CallerHasPart(exchange);
  facts.m_prefix_available = exchange.m_kind == ResponseKind::kTokens &&
                             exchange.m_position > 0 &&
                             exchange.m_text_complete;
  facts.m_made_progress = current.m_tokens > 0;
  facts.m_attempts = exchange.m_attempts;
  facts.m_resumes = exchange.m_resumes;
  facts.m_deadline = exchange.m_deadline;
  return facts;
}

bool IsSilent(const Exchange& exchange, Duration limit, Instant now) {
  return exchange.m_attempt.m_open && !exchange.m_done && !exchange.m_ended &&
         now - exchange.m_attempt.m_last_byte >= limit;
}

Outcome OutcomeOf(const Exchange& exchange) {
  if (exchange.m_answer_seen) return Outcome::kRan;
  const bool open = exchange.m_attempt.m_open && exchange.m_attempt.m_sent;
  return exchange.m_may_have_run || open ? Outcome::kUnknown : Outcome::kNotRun;
}

bool IsComplete(const Exchange& exchange) {
  const bool buffered = exchange.m_streamed || exchange.m_text_complete;
  return exchange.m_done && buffered;
}

void EndExchange(Exchange& exchange) {
  exchange.m_ended = true;
  exchange.m_attempt.m_open = false;
}

std::optional<TokenUsage> ExtractUsage(Exchange& exchange) {
  if (!exchange.m_done || exchange.m_usage_extracted) return std::nullopt;
  exchange.m_usage_extracted = true;
  return exchange.m_usage;
}

}  // namespace comfreypaddle
