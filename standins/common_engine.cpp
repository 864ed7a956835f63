#include "common_engine.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace comfreypaddle::standins {

namespace {

constexpr std::uint32_t kDefaultMaxTokens = 16;

constexpr std::uint64_t kTokenValues = 10'000;

std::uint32_t PiecesFor(std::uint32_t tokens) {
  return (tokens + kPieceTokens - 1) / kPieceTokens;
}

SubmitResult ValidateRequest(const EngineModel& model,
                             const schema::GenerateRequest& request) {
  const bool priority_known =
      request.priority().empty() || FromName<Priority>(request.priority());
  if (request.request_id().empty() || !priority_known) {
    return SubmitResult::kInvalid;
  }
  if (model.m_draining) return SubmitResult::kDraining;
  if (model.m_reconfiguring) return SubmitResult::kBusy;
  if (request.model() != model.m_model) return SubmitResult::kModelNotLoaded;
  if (!request.adapter().empty() &&
      model.m_adapters.count(request.adapter()) == 0) {
    return SubmitResult::kAdapterNotLoaded;
  }
  if (model.m_queue.size() >= model.m_settings.m_max_queued) {
    return SubmitResult::kQueueFull;
  }
  return SubmitResult::kAccepted;
}

std::unique_ptr<EngineStream> MakeStream(
    EngineModel& model, const schema::GenerateRequest& request) {
  auto stream = std::make_unique<EngineStream>();
  stream->m_request_id = request.request_id();
  stream->m_prompt_hash = PromptHash(request.prompt());
  stream->m_blocks = BlockHashes(request.prompt(), request.adapter());
  stream->m_prompt_tokens = CountTokens(request.prompt());
  stream->m_position = request.from_position();
  stream->m_first_position = request.from_position() + 1;
  stream->m_max_tokens =
      request.max_tokens() == 0 ? kDefaultMaxTokens : request.max_tokens();
  stream->m_pieces = PiecesFor(stream->m_prompt_tokens + stream->m_max_tokens);
  stream->m_priority = static_cast<int>(
      FromName<Priority>(request.priority()).value_or(Priority::kNormal));
  stream->m_arrival = model.m_next_arrival++;
  stream->m_crashes =
      !model.m_crash_marker.empty() &&
      request.prompt().find(model.m_crash_marker) != std::string::npos;
  return stream;
}

// Returns whether the prefix of a resumed stream equals the text that this
// engine would have generated.
bool PrefixMatches(const schema::GenerateRequest& request,
                   const EngineStream& stream) {
  if (request.prefix().empty()) return true;
  return request.prefix() ==
         GeneratedText(stream.m_prompt_hash, 1, request.from_position());
}

// Removes the stream from the queue or the running batch.
void Remove(EngineModel& model, EngineStream& stream) {
  if (stream.m_phase == StreamPhase::kQueued) {
    model.m_queue.erase({-stream.m_priority, stream.m_arrival});
    return;
  }
  const auto found =
      std::find(model.m_running.begin(), model.m_running.end(), &stream);
  if (found == model.m_running.end()) return;
  model.m_running.erase(found);
  model.m_used_pieces -= stream.m_pieces;
}

void AdmitQueued(EngineModel& model) {
  while (!model.m_queue.empty()) {
    EngineStream* stream = model.m_queue.begin()->second;
    if (model.m_running.size() >= model.m_settings.m_max_running ||
        model.m_used_pieces + stream->m_pieces > model.m_settings.m_kv_pieces) {
      return;
    }
    model.m_queue.erase(model.m_queue.begin());
    model.m_used_pieces += stream->m_pieces;
    const auto cached = static_cast<std::uint32_t>(
        CountCachedBlocks(model.m_cache, stream->m_blocks) * kBlockTokens);
    stream->m_cached_tokens = cached;
    // The prior output of a resumed stream needs prefill like the prompt.
    const std::uint32_t rest =
        stream->m_prompt_tokens - cached + stream->m_position;
    stream->m_prefill_left = rest + cached * model.m_settings.m_cached_share;
    stream->m_phase = StreamPhase::kPrefill;
    model.m_running.push_back(stream);
  }
}

void Prefill(EngineModel& model, Duration elapsed, Instant now) {
  const double token_us = std::max(
      1e-3, static_cast<double>(model.m_settings.m_prefill_token.count()) *
                model.m_slow_factor);
  double budget = static_cast<double>(elapsed.count()) / token_us;
  for (EngineStream* stream : model.m_running) {
    if (stream->m_phase != StreamPhase::kPrefill) continue;
    const double used = std::min(budget, stream->m_prefill_left);
    stream->m_prefill_left -= used;
    budget -= used;
    if (stream->m_prefill_left > 0.0) return;
    stream->m_phase = StreamPhase::kDecode;
    InsertBlocks(model.m_cache, stream->m_blocks, now);
  }
}

}  // namespace

std::uint64_t PromptHash(std::string_view prompt) {
  return XXH3_64bits(prompt.data(), prompt.size());
}

std::string TokenText(std::uint64_t prompt_hash, std::uint32_t position) {
  const std::uint64_t value =
      XXH3_64bits_withSeed(&position, sizeof(position), prompt_hash) %
      kTokenValues;
  std::array<char, 8> text{'t'};
  char* const end = std::to_chars(text.data() + 1, text.data() + 6, value).ptr;
  *end = ' ';
  return {text.data(), end + 1};
}

std::string GeneratedText(std::uint64_t prompt_hash, std::uint32_t first,
                          std::uint32_t last) {
  std::string text;
  for (std::uint32_t position = first; position <= last; ++position) {
    text += TokenText(prompt_hash, position);
  }
  return text;
}

std::uint32_t CountTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>((prompt.size() + kBytesPerToken - 1) /
                                    kBytesPerToken);
}

SubmitResult Submit(EngineModel& model, const schema::GenerateRequest& request,
                    Instant now) {
  const SubmitResult result = ValidateRequest(model, request);
  if (result != SubmitResult::kAccepted) return result;
  auto stream = MakeStream(model, request);
  if (stream->m_pieces > model.m_settings.m_kv_pieces) {
    return SubmitResult::kTooLarge;
  }
  if (!PrefixMatches(request, *stream)) ++model.m_prefix_mismatches;
  CancelStream(model, request.request_id(), now);
  model.m_queue[{-stream->m_priority, stream->m_arrival}] = stream.get();
  stream->m_detached_at = now;
  model.m_streams[request.request_id()] = std::move(stream);
  return SubmitResult::kAccepted;
}

std::vector<EngineStream*> Step(EngineModel& model, Duration elapsed,
                                Instant now) {
  AdmitQueued(model);
  Prefill(model, elapsed, now);
  std::vector<EngineStream*> changed;
  changed.reserve(model.m_running.size());
  std::vector<EngineStream*> still_running;
  still_running.reserve(model.m_running.size());
  for (EngineStream* stream : model.m_running) {
    if (stream->m_phase != StreamPhase::kDecode) {
      still_running.push_back(stream);
      continue;
    }
    const std::uint32_t before = stream->m_position;
    stream->m_position =
        std::max(before, std::min(stream->m_max_tokens,
                                  before + model.m_settings.m_step_tokens));
    model.m_tokens += stream->m_position - before;
    changed.push_back(stream);
    if (stream->m_position < stream->m_max_tokens) {
      still_running.push_back(stream);
      continue;
    }
    stream->m_phase = StreamPhase::kFinished;
    stream->m_detached_at = now;
    model.m_used_pieces -= stream->m_pieces;
  }
  model.m_running = std::move(still_running);
  return changed;
}

bool HasWork(const EngineModel& model) {
  return !model.m_queue.empty() || !model.m_running.empty();
}

EngineStream* FindStream(EngineModel& model, const std::string& request_id) {
  const auto found = model.m_streams.find(request_id);
  if (found == model.m_streams.end() ||
      found->second->m_phase == StreamPhase::kCancelled) {
    return nullptr;
  }
  return found->second.get();
}

bool CancelStream(EngineModel& model, const std::string& request_id,
                  Instant now) {
  EngineStream* stream = FindStream(model, request_id);
  if (stream == nullptr || stream->m_phase == StreamPhase::kFinished) {
    return false;
  }
  Remove(model, *stream);
  stream->m_phase = StreamPhase::kCancelled;
  stream->m_detached_at = now;
  return true;
}

void RemoveExpiredStreams(EngineModel& model, Instant now) {
  for (auto it = model.m_streams.begin(); it != model.m_streams.end();) {
    const auto current = it++;
    EngineStream& stream = *current->second;
    if (stream.m_attached ||
        now - stream.m_detached_at < model.m_settings.m_retention) {
      continue;
    }
    CancelStream(model, stream.m_request_id, now);
    model.m_streams.erase(current);
  }
}

schema::EndpointLoad CurrentLoad(const EngineModel& model) {
  double waiting_tokens = 0.0;
  for (const auto& [rank, stream] : model.m_queue) {
    waiting_tokens += stream->m_prompt_tokens;
  }
  for (const EngineStream* stream : model.m_running) {
    waiting_tokens += stream->m_prefill_left;
  }
  schema::EndpointLoad load;
  load.set_queued(static_cast<std::uint32_t>(model.m_queue.size()));
  load.set_running(static_cast<std::uint32_t>(model.m_running.size()));
  load.set_queued_tokens(static_cast<std::uint32_t>(waiting_tokens));
  load.set_kv_used_pieces(model.m_used_pieces);
  load.set_kv_total_pieces(model.m_settings.m_kv_pieces);
  load.set_role(std::string(ToName(model.m_role)));
  load.set_model(model.m_model);
  load.set_draining(model.m_draining);
  return load;
}

}  // namespace comfreypaddle::standins
