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

// Tokens per piece, the allocation unit of the KV cache.
inline constexpr std::uint32_t kPieceTokens = 2000;

struct EngineSettings {
  Duration m_step{20'000};          // Interval between decode steps.
  std::uint32_t m_step_tokens = 1;  // Tokens per stream and step.
  Duration m_prefill_token{50};     // Prefill time per token.
  double m_cached_share = 0.1;  // Prefill cost relative to an uncached token.
  std::uint32_t m_kv_pieces = 1000;
  std::uint32_t m_max_running = 256;
  std::uint32_t m_max_queued = 10'000;
  // Time for which a stream is retained after it ended or its caller
  // disconnected.
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

// One generation. Token positions start at 1 and cover the whole output,
// including tokens that another engine generated before a resume.
struct EngineStream {
  std::string m_request_id;
  std::uint64_t m_prompt_hash = 0;
  std::vector<std::uint64_t> m_blocks;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
  std::uint32_t m_first_position = 1;
  std::uint32_t m_position = 0;  // Last generated position.
  std::uint32_t m_max_tokens = 0;
  std::uint32_t m_pieces = 0;
  double m_prefill_left = 0.0;  // In uncached token equivalents.
  int m_priority = 0;           // Higher values run first.
  std::uint64_t m_arrival = 0;
  StreamPhase m_phase = StreamPhase::kQueued;
  bool m_attached = false;  // A caller is connected.
  bool m_crashes = false;   // The prompt contains the crash marker.
  Instant m_detached_at;    // Time of the end or the disconnect.
};

// Model of an engine with continuous batching. Queued streams are admitted by
// priority, then arrival, while KV cache pieces are free. Prefill runs one
// prompt at a time; each step decodes the next tokens of all decoding streams.
struct EngineModel {
  EngineSettings m_settings;
  std::string m_model;
  std::set<std::string, std::less<>> m_adapters;
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_draining = false;
  bool m_reconfiguring = false;  // A model load or role change is in progress.
  double m_slow_factor = 1.0;    // Multiplier of all durations.
  std::string m_crash_marker;
  PrefixCache m_cache;
  std::unordered_map<std::string, std::unique_ptr<EngineStream>> m_streams;
  // Queued streams by negated priority, then arrival.
  std::map<std::pair<int, std::uint64_t>, EngineStream*> m_queue;
  std::vector<EngineStream*> m_running;  // In prefill or decode.
  std::uint32_t m_used_pieces = 0;
  std::uint64_t m_next_arrival = 1;
  std::uint64_t m_tokens = 0;
  std::uint32_t m_prefix_mismatches = 0;
};

// Returns the prompt hash from which TokenText derives tokens.
std::uint64_t PromptHash(std::string_view prompt);

// Returns the text of the token at a position. All engines return the same
// text, so that a resumed stream can be verified.
std::string TokenText(std::uint64_t prompt_hash, std::uint32_t position);

// Returns the concatenated text of the tokens first to last, inclusive.
std::string GeneratedText(std::uint64_t prompt_hash, std::uint32_t first,
                          std::uint32_t last);

// Returns the number of tokens of a prompt.
std::uint32_t CountTokens(std::string_view prompt);

// Queues a request. Replaces an existing stream with the same request id.
SubmitResult Submit(EngineModel& model, const schema::GenerateRequest& request,
                    Instant now);

// Runs one step with the elapsed time as the prefill budget. Returns the
// streams that have new tokens or have ended.
std::vector<EngineStream*> Step(EngineModel& model, Duration elapsed,
                                Instant now);

// Whether a step would change anything.
bool HasWork(const EngineModel& model);

// Returns the stream, or null if it is unknown or cancelled.
EngineStream* FindStream(EngineModel& model, const std::string& request_id);

// Cancels a stream. Returns false if it is unknown or has already ended.
bool CancelStream(EngineModel& model, const std::string& request_id,
                  Instant now);

// Removes streams that ended or lost their caller longer ago than the
// retention time.
void RemoveExpiredStreams(EngineModel& model, Instant now);

// Returns the current load. The age field is not set.
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
