#ifndef COMFREYPADDLE_COMPLETION_H_
#define COMFREYPADDLE_COMPLETION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types.h"

namespace comfreypaddle {

// Limit of generated tokens if a caller sets none.
inline constexpr std::uint32_t kDefaultMaxTokens = 256;

// Maximum of max_tokens that a caller may request.
inline constexpr std::uint32_t kMaxTokensLimit = 131'072;

// Validated parameters of a caller's completion request.
struct CompletionParams {
  std::string m_model;
  std::string m_adapter;
  std::string m_prompt;
  std::uint32_t m_max_tokens = kDefaultMaxTokens;
  bool m_stream = false;
  std::optional<Priority> m_priority;
};

// Tokens that were processed and produced for one request.
struct TokenCounts {
  std::uint32_t m_prompt = 0;
  std::uint32_t m_cached = 0;
  std::uint32_t m_output = 0;
};

// Contents of the done event that ends an engine's stream.
struct GenerationEnd {
  TokenCounts m_tokens;
  std::string m_finish_reason;
};

// Parses the JSON body of POST /v1/completions. Unknown fields are ignored,
// because clients send many that have no effect here. Returns an error message,
// or nothing on success.
std::optional<std::string> ParseCompletion(std::string_view body,
                                           CompletionParams* call);

// Returns the number of tokens that a prompt is expected to have, at four
// bytes each.
std::uint32_t EstimatePromptTokens(std::string_view prompt);

// Text that is already escaped for use inside a JSON string. Tokens are kept
// in this form from the engine to the caller, so that they are not decoded
// and encoded again.
using EscapedText = std::string;

// Returns the token text of an engine event's data, still escaped, or nothing
// if the data has no token.
std::optional<std::string_view> TokenText(std::string_view data);

// Parses the data of an engine's done event. Returns nothing if it is invalid.
std::optional<GenerationEnd> ParseGenerationEnd(std::string_view data);

// Returns the body of an engine's generate call. engine_model is the name
// under which the engine knows the model; the caller's name may be that of a
// route. Generation continues after the first from_position tokens, whose
// escaped text is prefix.
std::string GenerateBody(const CompletionParams& call,
                         std::string_view engine_model,
                         std::string_view request_id, Priority priority,
                         std::uint32_t from_position, std::string_view prefix);

// Returns the server-sent event for one token, with its position as id.
std::string CompletionChunk(std::string_view request_id, std::string_view model,
                            std::uint64_t position, std::string_view text);

// Returns the events that end a stream: usage and "[DONE]".
std::string CompletionStreamEnd(std::string_view request_id,
                                std::string_view model,
                                const GenerationEnd& end);

// Returns the response body of a request that is not streamed.
std::string CompletionBody(std::string_view request_id, std::string_view model,
                           std::string_view text, const GenerationEnd& end);

// Returns the text as a quoted JSON string.
std::string QuoteJson(std::string_view text);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_COMPLETION_H_
