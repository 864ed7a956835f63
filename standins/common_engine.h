#ifndef COMFREYPADDLE_STANDINS_COMMON_ENGINE_H_
#define COMFREYPADDLE_STANDINS_COMMON_ENGINE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common_cache.h"
#include "http.pb.h"
#include "types.h"

namespace comfreypaddle::standins {

// Tokens that one piece of KV cache holds.
inline constexpr std::uint32_t kPieceTokens = 2000;

struct EngineSettings {
  Duration m_step{20'000};          // Time between two decode steps.
  std::uint32_t m_step_tokens = 1;  // Tokens of a stream in one step.
  Duration m_prefill_token{50};     // Prefill time of a token.
  double m_cached_share = 0.1;      // Cost of a cached token against others.
  std::uint32_t m_kv_pieces = 1000;
  std::uint32_t m_max_running = 256;
  std::uint32_t m_max_queued = 10'000;
  // Time for which streams stay known after they ended or were left.
  Duration m_retention = std::chrono::seconds(60);
};

enum class StreamPhase { kQueued, kPrefill, kDecode, kFinished, kCancelled };

enum class SubmitResult {
  kAccepted,
  kInvalid,
  kTooLarge,
  kModelNotLoaded,
  kAdapterNotLoaded,
  kDraining,
  kBusy,
  kQueueFull
};

// One generation. Positions count from 1 over the whole answer, including the
// tokens that another engine produced before.
struct EngineStream {
  std::string m_request_id;
  std::uint64_t m_prompt_hash = 0;
  std::vector<std::uint64_t> m_blocks;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
  std::uint32_t m_first_position = 1;
  std::uint32_t m_position = 0;  // Last position produced.
  std::uint32_t m_max_tokens = 0;
  std::uint32_t m_pieces = 0;
  double m_prefill_left = 0.0;  // In tokens of full cost.
  int m_priority = 0;           // Higher runs first.
  std::uint64_t m_arrival = 0;
  StreamPhase m_phase = StreamPhase::kQueued;
  bool m_attached = false;  // A caller is reading the stream.
  bool m_crashes = false;   // The prompt contains the crash marker.
  Instant m_left_at;        // When it ended or its caller left.
};

// Continuous batching: queued streams enter in the order of priority and
// arrival while KV pieces are left; prompts are processed one after the other;
// each step gives every decoding stream its next tokens.
struct EngineModel {
  EngineSettings m_settings;
  std::string m_model;
  std::set<std::string, std::less<>> m_adapters;
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_draining = false;
  bool m_changing = false;     // A model load or role change is under way.
  double m_slow_factor = 1.0;  // Factor on all times.
  std::string m_crash_marker;
  PrefixCache m_cache;
  std::unordered_map<std::string, std::unique_ptr<EngineStream>> m_streams;
  // Waiting streams by falling priority and rising arrival.
  std::map<std::pair<int, std::uint64_t>, EngineStream*> m_queue;
  std::vector<EngineStream*> m_running;  // In prefill or decode.
  std::uint32_t m_used_pieces = 0;
  std::uint64_t m_next_arrival = 1;
  std::uint64_t m_tokens = 0;
  std::uint32_t m_prefix_mismatches = 0;
};

// Returns the hash of a prompt that TokenText takes.
std::uint64_t PromptHash(std::string_view prompt);

// Returns the text of the token at a position. It is the same on every engine.
std::string TokenText(std::uint64_t prompt_hash, std::uint32_t position);

// Returns the text of the tokens from the first to the last position.
std::string AnswerText(std::uint64_t prompt_hash, std::uint32_t first,
                       std::uint32_t last);

// Returns the number of tokens of a prompt.
std::uint32_t CountTokens(std::string_view prompt);

// Queues a request. A known stream of the same request id is replaced.
SubmitResult Submit(EngineModel& model, const schema::GenerateRequest& request,
                    Instant now);

// Advances by one step, of which the given time is used for prefill. Returns
// the streams with new tokens or in a new final phase.
std::vector<EngineStream*> Step(EngineModel& model, Duration elapsed,
                                Instant now);

// Whether a step would change anything.
bool HasWork(const EngineModel& model);

// Returns the stream, or null if it is not known or was cancelled.
EngineStream* FindStream(EngineModel& model, const std::string& request_id);

// Ends a stream. Returns false if it is not known or has ended.
bool CancelStream(EngineModel& model, const std::string& request_id,
                  Instant now);

// Forgets streams that ended or were left for longer than the retention.
void DropForgotten(EngineModel& model, Instant now);

// Returns the load as of now. The age is left at zero.
schema::EndpointLoad CurrentLoad(const EngineModel& model);

}  // namespace comfreypaddle::standins

namespace comfreypaddle {

template <>
struct EnumNames<standins::SubmitResult> {
  static constexpr std::array<EnumName<standins::SubmitResult>, 8> kTable{
      {{standins::SubmitResult::kAccepted, "accepted"},
       {standins::SubmitResult::kInvalid, "invalid_request"},
       {standins::SubmitResult::kTooLarge, "too_large"},
       {standins::SubmitResult::kModelNotLoaded, "model_not_loaded"},
       {standins::SubmitResult::kAdapterNotLoaded, "adapter_not_loaded"},
       {standins::SubmitResult::kDraining, "draining"},
       {standins::SubmitResult::kBusy, "busy"},
       {standins::SubmitResult::kQueueFull, "queue_full"}}};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STANDINS_COMMON_ENGINE_H_
