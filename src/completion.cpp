#include "completion.h"

#include <algorithm>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr std::size_t kBytesPerToken = 4;

std::string UsageJson(const TokenCounts& tokens) {
  const std::string prompt = std::to_string(tokens.m_prompt);
  const std::string output = std::to_string(tokens.m_output);
  const std::string total = std::to_string(tokens.m_prompt + tokens.m_output);
  return R"({"prompt_tokens":)" + prompt + R"(,"completion_tokens":)" + output +
         R"(,"total_tokens":)" + total + "}";
}

// Returns a response object up to and including the text of its only choice.
std::string ResponsePrefix(std::string_view request_id, std::string_view model,
                           std::string_view text) {
  std::string json;
  json.reserve(160 + text.size());
  json.append(R"({"id":)").append(QuoteJson(request_id));
  json.append(R"(,"object":"text_completion","model":)");
  json.append(QuoteJson(model));
  json.append(R"(,"choices":[{"index":0,"text":")").append(text).append("\"");
  return json;
}

}  // namespace

std::optional<std::string> ParseCompletion(std::string_view body,
                                           CompletionParams* call) {
  schema::CompletionRequest request;
  if (auto parse_error = FromJson(body, UnknownFields::kIgnore, &request)) {
    return "The body is not a valid completion request: " + *parse_error;
  }
  if (request.model().empty()) return "The field model is missing.";
  if (request.max_tokens() > kMaxTokensLimit) {
    return "The field max_tokens is above " + std::to_string(kMaxTokensLimit) +
           ".";
  }
  if (!request.priority().empty()) {
    call->m_priority = FromName<Priority>(request.priority());
    if (!call->m_priority) {
      return "The field priority is none of batch, normal and urgent.";
    }
  }
  call->m_model = request.model();
  call->m_adapter = request.adapter();
  call->m_prompt = std::move(*request.mutable_prompt());
  call->m_stream = request.stream();
  if (request.max_tokens() != 0) call->m_max_tokens = request.max_tokens();
  return std::nullopt;
}

std::uint32_t EstimatePromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
}

// Scans the string without a JSON parser, because this runs for each token.
std::optional<std::string_view> TokenText(std::string_view data) {
  constexpr std::string_view kName = "\"token\"";
  std::size_t begin = data.find(kName);
  if (begin == std::string_view::npos) return std::nullopt;
  begin = data.find('"', begin + kName.size());
  if (begin == std::string_view::npos) return std::nullopt;
  ++begin;
  for (std::size_t end = begin; end < data.size(); ++end) {
    if (data[end] == '\\') {
      ++end;
    } else if (data[end] == '"') {
      return data.substr(begin, end - begin);
    }
  }
  return std::nullopt;
}

std::optional<GenerationEnd> ParseGenerationEnd(std::string_view data) {
  schema::GenerateDone done;
  if (FromJson(data, UnknownFields::kIgnore, &done)) return std::nullopt;
  GenerationEnd end;
  end.m_tokens.m_prompt = done.prompt_tokens();
  end.m_tokens.m_cached = done.cached_tokens();
  end.m_tokens.m_output = done.output_tokens();
  end.m_finish_reason = done.finish_reason();
  return end;
}

std::string GenerateBody(const CompletionParams& call,
                         std::string_view engine_model,
                         std::string_view request_id, Priority priority,
                         std::uint32_t from_position, std::string_view prefix) {
  std::string json;
  json.reserve(call.m_prompt.size() + prefix.size() + 256);
  json.append(R"({"request_id":)").append(QuoteJson(request_id));
  json.append(R"(,"model":)").append(QuoteJson(engine_model));
  if (!call.m_adapter.empty()) {
    json.append(R"(,"adapter":)").append(QuoteJson(call.m_adapter));
  }
  json.append(R"(,"prompt":)").append(QuoteJson(call.m_prompt));
  json.append(R"(,"max_tokens":)").append(std::to_string(call.m_max_tokens));
  json.append(R"(,"priority":")").append(ToName(priority)).append("\"");
  if (from_position != 0) {
    json.append(R"(,"from_position":)").append(std::to_string(from_position));
    json.append(R"(,"prefix":")").append(prefix).append("\"");
  }
  return json.append("}");
}

std::string CompletionChunk(std::string_view request_id, std::string_view model,
                            std::uint64_t position, std::string_view text) {
  std::string event = "id: ";
  event.append(std::to_string(position)).append("\ndata: ");
  event.append(ResponsePrefix(request_id, model, text));
  return event.append(R"(,"finish_reason":null}]})").append("\n\n");
}

std::string CompletionStreamEnd(std::string_view request_id,
                                std::string_view model,
                                const GenerationEnd& end) {
  std::string event = "data: " + ResponsePrefix(request_id, model, "");
  event.append(R"(,"finish_reason":)").append(QuoteJson(end.m_finish_reason));
  event.append(R"(}],"usage":)").append(UsageJson(end.m_tokens));
  return event.append("}\n\ndata: [DONE]\n\n");
}

std::string CompletionBody(std::string_view request_id, std::string_view model,
                           std::string_view text, const GenerationEnd& end) {
  std::string json = ResponsePrefix(request_id, model, text);
  json.append(R"(,"finish_reason":)").append(QuoteJson(end.m_finish_reason));
  json.append(R"(}],"usage":)").append(UsageJson(end.m_tokens));
  return json.append("}");
}

std::string QuoteJson(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string quoted = "\"";
  quoted.reserve(text.size() + 2);
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted.append({'\\', c});
    } else if (c == '\n') {
      quoted.append("\\n");
    } else if (byte < 0x20) {
      quoted.append("\\u00");
      quoted.append({kDigits[byte >> 4U], kDigits[byte & 15U]});
    } else {
      quoted += c;
    }
  }
  return quoted += '"';
}

}  // namespace comfreypaddle
