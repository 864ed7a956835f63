#include "validate.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "forward.h"
#include "sha256.h"

namespace comfreypaddle {

namespace {

constexpr std::size_t kMaxIdBytes = 128;

// Longest deadline that a caller may ask for.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

// Prompts that share this many bytes go to the same endpoint, where the shared
// prefix is cached: one piece of KV cache at four bytes for each token.
constexpr std::size_t kAffinityBytes = 8000;

constexpr std::string_view kCompletionsPath = "/v1/completions";

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return hash == 0 ? 1 : hash;  // Zero stands for no hash.
}

bool IsUsableId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// State while one request is read.
struct Reader {
  const Tables& m_tables;
  const HttpRequest& m_request;
  const ValidationOptions& m_options;
  ValidatedRequest m_intake;
};

std::optional<Refusal> Refuse(const Reader& reader, ProblemCode code,
                              std::string detail) {
  return Refusal{code, std::move(detail), reader.m_intake.m_request_id};
}

// The id is logged and returned, so that one that contains the key is not used.
void ReadId(Reader& reader) {
  const std::string_view id =
      FindField(reader.m_request.m_headers, "x-request-id");
  const bool usable =
      IsUsableId(id) && !ContainsSecret(id, BearerKey(reader.m_request));
  reader.m_intake.m_request_id =
      usable ? std::string(id) : reader.m_options.m_generated_id;
}

// Finds the route by model or by path and takes its settings.
std::optional<Refusal> ReadRoute(Reader& reader) {
  const HttpRequest& request = reader.m_request;
  ValidatedRequest& intake = reader.m_intake;
  const Route* route = nullptr;
  if (request.m_path == kCompletionsPath) {
    if (request.m_method != "POST") {
      return Refuse(reader, ProblemCode::kMethodNotAllowed,
                    "Completions are requested with POST.");
    }
    if (auto mistake = ParseCompletion(request.m_body, &intake.m_completion)) {
      return Refuse(reader, ProblemCode::kBadRequest, std::move(*mistake));
    }
    route = FindRouteByModel(reader.m_tables, intake.m_completion.m_model);
  } else {
    route = FindRouteByPath(reader.m_tables, request.m_path);
  }
  if (route == nullptr) {
    return Refuse(reader, ProblemCode::kNoRoute,
                  "No route serves this model or path.");
  }
  const auto fleet = reader.m_tables.m_fleets.find(route->m_fleet);
  if (fleet == reader.m_tables.m_fleets.end()) {
    return Refuse(reader, ProblemCode::kNoRoute, "The route has no fleet.");
  }
  intake.m_kind = fleet->second.m_value.m_kind;
  intake.m_engine_model = fleet->second.m_value.m_model;
  intake.m_route = route->m_name;
  intake.m_fleet = route->m_fleet;
  intake.m_repeatable = route->m_repeatable;
  intake.m_priority =
      intake.m_completion.m_priority.value_or(route->m_priority);
  intake.m_time_limit = route->m_deadline;
  if (intake.m_completion.m_adapter.empty()) {
    intake.m_completion.m_adapter = route->m_adapter;
  }
  return std::nullopt;
}

// Finds the workspace of the key and checks that it may use the route.
std::optional<Refusal> ReadKey(Reader& reader) {
  ValidatedRequest& intake = reader.m_intake;
  const Route& route =
      reader.m_tables.m_routes.find(intake.m_route)->second.m_value;
  const std::string secret = BearerKey(reader.m_request);
  const Key* key = secret.empty()
                       ? nullptr
                       : FindKeyBySecret(reader.m_tables, Sha256Hex(secret));
  if (key == nullptr && !route.m_open) {
    return Refuse(reader, ProblemCode::kUnauthorized,
                  "The request carries no valid key.");
  }
  intake.m_workspace =
      key == nullptr ? std::string(kOpenWorkspace) : key->m_workspace;
  if (key != nullptr) intake.m_key = key->m_name;
  const auto& allowed = route.m_workspaces;
  const bool listed = std::find(allowed.begin(), allowed.end(),
                                intake.m_workspace) != allowed.end();
  if (!route.m_open && !allowed.empty() && !listed) {
    return Refuse(reader, ProblemCode::kForbidden,
                  "The key's workspace may not use this route.");
  }
  if (ContainsSecret(reader.m_request.m_path, secret) ||
      ContainsSecret(reader.m_request.m_body, secret)) {
    return Refuse(reader, ProblemCode::kBadRequest,
                  "The key stands in the path or body, which go on to an "
                  "endpoint; send it in the Authorization header only.");
  }
  return std::nullopt;
}

std::optional<Refusal> ReadLimits(Reader& reader) {
  ValidatedRequest& intake = reader.m_intake;
  if (intake.m_time_limit.count() == 0) {
    intake.m_time_limit = reader.m_options.m_default_deadline;
  }
  const std::string_view text =
      FindField(reader.m_request.m_headers, "x-deadline-ms");
  if (!text.empty()) {
    std::int64_t limit_ms = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), limit_ms);
    if (error != std::errc() || end != text.data() + text.size() ||
        limit_ms < 1 || limit_ms > kMaxDeadlineMs) {
      return Refuse(reader, ProblemCode::kBadRequest,
                    "X-Deadline-Ms is no number from 1 to 3600000.");
    }
    intake.m_time_limit = std::chrono::milliseconds(limit_ms);
  }
  const std::string_view idempotency_key =
      FindField(reader.m_request.m_headers, "idempotency-key");
  if (!idempotency_key.empty() && !IsUsableId(idempotency_key)) {
    return Refuse(reader, ProblemCode::kBadRequest,
                  "Idempotency-Key has more than 128 characters, or others "
                  "than printable ASCII.");
  }
  intake.m_idempotency_key = std::string(idempotency_key);
  return std::nullopt;
}

// Requests with the same content have the same fingerprint whoever sends
// them, so that one that crashes endpoints is recognized.
void ReadHashes(Reader& reader) {
  ValidatedRequest& intake = reader.m_intake;
  const std::uint64_t seed = Hash(intake.m_route, 0);
  if (intake.m_kind == FleetKind::kEngine) {
    const std::string_view prompt = intake.m_completion.m_prompt;
    intake.m_fingerprint = Hash(prompt, seed);
    intake.m_affinity = Hash(prompt.substr(0, kAffinityBytes), seed);
    return;
  }
  const HttpRequest& request = reader.m_request;
  const std::uint64_t target =
      Hash(request.m_method + " " + EndpointTarget(request), seed);
  intake.m_fingerprint = Hash(request.m_body, target);
}

}  // namespace

std::variant<ValidatedRequest, Refusal> ValidateRequest(
    const Tables& tables, const HttpRequest& request,
    const ValidationOptions& options) {
  Reader reader{tables, request, options, {}};
  ReadId(reader);
  for (const auto step : {&ReadRoute, &ReadKey, &ReadLimits}) {
    if (auto refusal = step(reader)) return std::move(*refusal);
  }
  ReadHashes(reader);
  return std::move(reader.m_intake);
}

}  // namespace comfreypaddle
