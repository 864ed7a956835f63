#ifndef COMFREYPADDLE_STANDINS_COMMON_LOAD_H_
#define COMFREYPADDLE_STANDINS_COMMON_LOAD_H_

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "sse.h"
#include "types.h"

namespace comfreypaddle::standins {

// What the load tool sends: completions to entry instances, calls of a plain
// service to entry instances, or generations directly to an engine.
enum class LoadMode { kCompletion, kCall, kEngine };

// How a request ended, as far as its caller can tell.
enum class LoadOutcome {
  kComplete,
  kWrong,       // Looked complete, but its content was not the expected one.
  kIncomplete,  // Broke off without looking complete.
  kNotRun,      // Refused with that outcome.
  kRan,
  kUnknown,
  kTimeout,
  kConnectFailed
};

struct LoadSettings {
  LoadMode m_mode = LoadMode::kCompletion;
  std::string m_model;
  std::string m_adapter;
  std::string m_priority;
  bool m_stream = true;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  double m_spread = 0.0;  // Sizes vary by this share, uniformly.
  // Tokens at the start of each prompt that requests have in common, and the
  // number of different ones.
  std::uint32_t m_prefix_tokens = 0;
  std::uint32_t m_prefixes = 1;
  double m_rate = 0.0;  // Arrivals a second; zero for none by time.
};

struct LoadRequest {
  std::string m_id;
  std::string m_prompt;
  std::uint32_t m_output_tokens = 0;
};

// Seeded source of requests.
struct LoadSource {
  LoadSettings m_settings;
  std::mt19937_64 m_random;
  std::uint64_t m_seed = 0;
  std::uint64_t m_count = 0;
};

// What was seen of one answer so far.
struct AnswerCheck {
  std::uint64_t m_prompt_hash = 0;
  std::uint32_t m_expected_tokens = 0;
  std::uint32_t m_position = 0;  // Last position seen.
  bool m_wrong = false;
  bool m_done = false;
  Instant m_started;
  Instant m_last_token;
};

struct LoadTally {
  std::array<std::uint64_t, 8> m_outcomes{};  // By LoadOutcome.
  std::uint64_t m_tokens = 0;
  // Microseconds.
  std::vector<std::uint32_t> m_first_token;
  std::vector<std::uint32_t> m_between_tokens;
  std::vector<std::uint32_t> m_total;
};

LoadSource MakeSource(LoadSettings settings, std::uint64_t seed);

// Returns the time from one arrival to the next, exponentially distributed.
Duration NextGap(LoadSource& source);

LoadRequest NextRequest(LoadSource& source);

// Returns the JSON body of the request in the mode of the settings.
std::string RequestBody(const LoadSettings& settings,
                        const LoadRequest& request);

// Checks one event of a streamed answer, of an entry instance or an engine.
void CheckEvent(AnswerCheck& check, LoadTally& tally, const SseEvent& event,
                Instant now);

// Checks the whole body of an answer that was not streamed.
void CheckBody(AnswerCheck& check, LoadTally& tally, std::string_view body);

// Counts an ended request.
void CountOutcome(LoadTally& tally, const AnswerCheck& check,
                  LoadOutcome outcome, Instant now);

// Returns the share-quantile in milliseconds, zero without values. Reorders
// the values.
double QuantileMs(std::vector<std::uint32_t>& values, double share);

// Returns the summary line over the run time.
std::string Summary(LoadTally& tally, Duration run_time);

}  // namespace comfreypaddle::standins

namespace comfreypaddle {

template <>
struct EnumNames<standins::LoadMode> {
  static constexpr std::array<EnumName<standins::LoadMode>, 3> kTable{
      {{standins::LoadMode::kCompletion, "completion"},
       {standins::LoadMode::kCall, "call"},
       {standins::LoadMode::kEngine, "engine"}}};
};

template <>
struct EnumNames<standins::LoadOutcome> {
  static constexpr std::array<EnumName<standins::LoadOutcome>, 8> kTable{
      {{standins::LoadOutcome::kComplete, "complete"},
       {standins::LoadOutcome::kWrong, "wrong"},
       {standins::LoadOutcome::kIncomplete, "incomplete"},
       {standins::LoadOutcome::kNotRun, "not_run"},
       {standins::LoadOutcome::kRan, "ran"},
       {standins::LoadOutcome::kUnknown, "unknown"},
       {standins::LoadOutcome::kTimeout, "timeout"},
       {standins::LoadOutcome::kConnectFailed, "connect_failed"}}};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STANDINS_COMMON_LOAD_H_
