#include "common_load.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "common_cache.h"
#include "common_engine.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle::standins {

namespace {

std::uint32_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, duration.count()));
}

// Appends random lower-case letters of the given length in tokens.
void AppendTokens(std::string& text, std::uint32_t tokens,
                  std::mt19937_64& random) {
  constexpr std::uint64_t kLetters = 26;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    std::uint64_t bits = random();
    for (std::uint32_t j = 0; j < kBytesPerToken; ++j) {
      text += static_cast<char>('a' + bits % kLetters);
      bits /= kLetters;
    }
  }
}

std::uint32_t RandomizeSize(std::uint32_t size, double spread,
                            std::mt19937_64& random) {
  std::uniform_real_distribution<double> share(1.0 - spread, 1.0 + spread);
  return std::max(1U, static_cast<std::uint32_t>(size * share(random)));
}

void CheckToken(ResponseCheck& check, LoadStatistics& tally,
                const SseEvent& event, Instant now) {
  ++tally.m_tokens;
  if (check.m_position == 0) {
    tally.m_first_token.push_back(ToMicroseconds(now - check.m_started));
  } else {
    tally.m_between_tokens.push_back(ToMicroseconds(now - check.m_last_token));
  }
  check.m_last_token = now;
  ++check.m_position;
  const std::string quoted =
      "\"" + TokenText(check.m_prompt_hash, check.m_position) + "\"";
  if (event.m_id != check.m_position || check.m_done ||
      event.m_data.find(quoted) == std::string_view::npos) {
    check.m_wrong = true;
  }
}

void AppendQuantiles(std::string& line, const char* name,
                     std::vector<std::uint32_t>& values) {
  constexpr std::array<std::pair<const char*, double>, 3> kQuantiles{
      {{"p50", 0.50}, {"p95", 0.95}, {"p99", 0.99}}};
  for (const auto& [label, share] : kQuantiles) {
    std::array<char, 64> field{};
    std::snprintf(field.data(), field.size(), " %s_ms_%s=%.3f", name, label,
                  QuantileMs(values, share));
    line += field.data();
  }
}

}  // namespace

LoadSource MakeSource(LoadSettings settings, std::uint64_t seed) {
  return {std::move(settings), std::mt19937_64(seed), seed, 0};
}

Duration NextInterarrivalTime(LoadSource& source) {
  std::exponential_distribution<double> seconds(source.m_settings.m_rate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds(source.m_random)));
}

LoadRequest NextRequest(LoadSource& source) {
  const LoadSettings& settings = source.m_settings;
  LoadRequest request;
  request.m_id = "load-" + std::to_string(source.m_seed) + "-" +
                 std::to_string(++source.m_count);
  if (settings.m_prefix_tokens > 0) {
    std::mt19937_64 prefix(source.m_random() % settings.m_prefixes);
    AppendTokens(request.m_prompt, settings.m_prefix_tokens, prefix);
  }
  AppendTokens(request.m_prompt,
               RandomizeSize(settings.m_prompt_tokens, settings.m_spread,
                             source.m_random),
               source.m_random);
  request.m_output_tokens = RandomizeSize(settings.m_output_tokens,
                                          settings.m_spread, source.m_random);
  return request;
}

std::string RequestBody(const LoadSettings& settings,
                        const LoadRequest& request) {
  if (settings.m_mode == LoadMode::kCall)
    return "{\"id\":\"" + request.m_id + "\"}";
  if (settings.m_mode == LoadMode::kEngine) {
    schema::GenerateRequest body;
    body.set_request_id(request.m_id);
    body.set_model(settings.m_model);
    body.set_adapter(settings.m_adapter);
    body.set_priority(settings.m_priority);
    body.set_prompt(request.m_prompt);
    body.set_max_tokens(request.m_output_tokens);
    return ToJson(body);
  }
  schema::CompletionRequest body;
  body.set_model(settings.m_model);
  body.set_adapter(settings.m_adapter);
  body.set_priority(settings.m_priority);
  body.set_prompt(request.m_prompt);
  body.set_max_tokens(request.m_output_tokens);
  body.set_stream(settings.m_stream);
  return ToJson(body);
}

void CheckEvent(ResponseCheck& check, LoadStatistics& tally,
                const SseEvent& event, Instant now) {
  if (event.m_event == "done" || event.m_data == "[DONE]") {
    if (check.m_done || check.m_position != check.m_expected_tokens) {
      check.m_wrong = true;
    }
    check.m_done = true;
  } else if (event.m_id != 0) {
    CheckToken(check, tally, event, now);
  }
}

void CheckBody(ResponseCheck& check, LoadStatistics& tally,
               std::string_view body) {
  schema::CompletionResponse answer;
  check.m_done = true;
  if (FromJson(body, UnknownFields::kIgnore, &answer) ||
      answer.choices_size() != 1) {
    check.m_wrong = true;
    return;
  }
  tally.m_tokens += check.m_expected_tokens;
  check.m_wrong =
      answer.choices(0).text() !=
          GeneratedText(check.m_prompt_hash, 1, check.m_expected_tokens) ||
      answer.usage().completion_tokens() != check.m_expected_tokens;
}

void CountOutcome(LoadStatistics& tally, const ResponseCheck& check,
                  LoadOutcome outcome, Instant now) {
  ++tally.m_outcomes.at(static_cast<std::size_t>(outcome));
  if (outcome == LoadOutcome::kComplete) {
    tally.m_total.push_back(ToMicroseconds(now - check.m_started));
  }
}

double QuantileMs(std::vector<std::uint32_t>& values, double share) {
  if (values.empty()) return 0.0;
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  const auto nth = values.begin() + rank;
  std::nth_element(values.begin(), nth, values.end());
  return *nth / 1000.0;
}

std::string Summary(LoadStatistics& tally, Duration run_time) {
  const double seconds =
      std::max(1e-6, std::chrono::duration<double>(run_time).count());
  std::uint64_t requests = 0;
  for (const std::uint64_t count : tally.m_outcomes) requests += count;
  std::string line = "summary requests=" + std::to_string(requests);
  for (const auto& row : EnumNames<LoadOutcome>::kTable) {
    const auto index = static_cast<std::size_t>(row.m_value);
    line.append(" ").append(row.m_name).append("=");
    line += std::to_string(tally.m_outcomes.at(index));
  }
  AppendQuantiles(line, "first_token", tally.m_first_token);
  AppendQuantiles(line, "between_tokens", tally.m_between_tokens);
  AppendQuantiles(line, "total", tally.m_total);
  std::array<char, 128> rates{};
  std::snprintf(rates.data(), rates.size(),
                " seconds=%.3f requests_per_s=%.1f tokens_per_s=%.1f", seconds,
                static_cast<double>(requests) / seconds,
                static_cast<double>(tally.m_tokens) / seconds);
  return line + rates.data();
}

}  // namespace comfreypaddle::standins
