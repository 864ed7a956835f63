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

// Request type: completions or service calls through entry instances, or
// generation requests sent directly to an engine.
enum class LoadMode { kCompletion, kCall, kEngine };

// Result of a request as observed by the caller.
enum class LoadOutcome {
  kComplete,
  kWrong,       // Complete response with unexpected content.
  kIncomplete,  // Response ended early.
  kNotRun,      // Rejected, as are kRan and kUnknown.
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
  double m_spread = 0.0;  // Sizes vary uniformly by this fraction.
  // Length of the shared prompt prefix in tokens, and the number of distinct
  // prefixes.
  std::uint32_t m_prefix_tokens = 0;
  std::uint32_t m_prefixes = 1;
  double m_rate = 0.0;  // Arrivals per second; zero: closed loop.
};

struct LoadRequest {
  std::string m_id;
  std::string m_prompt;
  std::uint32_t m_output_tokens = 0;
};

// Deterministic request generator.
struct LoadSource {
  LoadSettings m_settings;
  std::mt19937_64 m_random;
  std::uint64_t m_seed = 0;
  std::uint64_t m_count = 0;
};

// Verification state of one response.
struct ResponseCheck {
  std::uint64_t m_prompt_hash = 0;
  std::uint32_t m_expected_tokens = 0;
  std::uint32_t m_position = 0;  // Last received position.
  bool m_wrong = false;
  bool m_done = false;
  Instant m_started;
  Instant m_last_token;
};

struct LoadStatistics {
  std::array<std::uint64_t, 8> m_outcomes{};  // Indexed by LoadOutcome.
  std::uint64_t m_tokens = 0;
  // Latency samples in microseconds.
  std::vector<std::uint32_t> m_first_token;
  std::vector<std::uint32_t> m_between_tokens;
  std::vector<std::uint32_t> m_total;
};

LoadSource MakeSource(LoadSettings settings, std::uint64_t seed);

// Returns an exponentially distributed interarrival time.
Duration NextInterarrivalTime(LoadSource& source);

LoadRequest NextRequest(LoadSource& source);

// Returns the JSON request body for the configured mode.
std::string RequestBody(const LoadSettings& settings,
                        const LoadRequest& request);

// Verifies one event of a streamed response from an entry instance or engine.
void CheckEvent(ResponseCheck& check, LoadStatistics& tally,
                const SseEvent& event, Instant now);

// Verifies the body of a response that is not streamed.
void CheckBody(ResponseCheck& check, LoadStatistics& tally,
               std::string_view body);

// Records the result and latency of a finished request.
void CountOutcome(LoadStatistics& tally, const ResponseCheck& check,
                  LoadOutcome outcome, Instant now);

// Returns the given quantile in milliseconds, or zero without samples.
// Reorders the samples.
double QuantileMs(std::vector<std::uint32_t>& values, double share);

// Returns the summary line with rates over the run time.
std::string Summary(LoadStatistics& tally, Duration run_time);

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
