#include "attemptlog.h"

#include <string>

namespace comfreypaddle {

namespace {

// Parts of a prompt that a log line names.
constexpr std::size_t kMaxLoggedParts = 16;

// Ids of the parts of the prompt that other requests may share.
std::string SharedPartIds(const RelayCall& call) {
  const std::vector<PromptPart>& parts = call.m_metadata.m_parts;
  std::string ids;
  for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i) {
    if (i > 0) ids += ',';
    ids += parts[i].m_id;
  }
  return ids;
}

}  // namespace

void AddConnection(const EndpointAttempt& attempt, LogLine* line) {
  if (attempt.m_connection == 0) return;
  line->Add("connection", static_cast<std::int64_t>(attempt.m_connection))
      .Add("connection_calls", attempt.m_connection_calls);
}

void LogFailure(const RelayState& state, const RelayCall& call,
                std::string_view reason, const HttpResult& result) {
  const EndpointAttempt& attempt = call.m_attempt;
  LogLine line("attempt_failed");
  line.Add("request", call.m_metadata.m_attempt)
      .Add("stage", ToName(call.m_stage))
      .Add("endpoint", attempt.m_endpoint)
      .Add("reason", reason)
      .Add("status", attempt.m_status)
      .Add("error", result.m_error ? result.m_error.message() : "none")
      .Add("sent", result.m_sent ? 1 : 0)
      .Add("events", attempt.m_events)
      .Add("parts", SharedPartIds(call))
      .AddMs("after_ms", state.m_clock() - attempt.m_sent);
  AddConnection(attempt, &line);
  if (attempt.m_status != 0) {
    line.AddMs("since_head_ms", state.m_clock() - attempt.m_head_at);
  }
}

}  // namespace comfreypaddle
