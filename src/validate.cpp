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

// Maximum time limit that a caller may request.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

// Prompts whose first bytes up to this number are equal are routed to the same
// endpoint, which has the prefix cached. It is the size of one block of KV
// cache at four bytes per token.
constexpr std::size_t kAffinityBytes = 8000;

constexpr std::string_view kCompletionsPath = "/v1/completions";

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return hash == 0 ? 1 : hash;  // Zero means no hash.
}

bool IsValidId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// Input and result of the validation steps.
struct ValidationContext {
  const Tables& m_tables;
  const HttpRequest& m_request;
  const ValidationOptions& m_options;
  ValidatedRequest m_intake;
};

std::optional<Refusal> Refuse(const ValidationContext& context,
                              ProblemCode code, std::string detail) {
  return Refusal{code, std::move(detail), context.m_intake.m_request_id};
}

// Ignores an id that contains the key, because the id is logged and returned.
void ResolveRequestId(ValidationContext& context) {
  const std::string_view id =
      FindField(context.m_request.m_headers, "x-request-id");
  const bool valid =
      IsValidId(id) && !ContainsSecret(id, BearerKey(context.m_request));
  context.m_intake.m_request_id =
      valid ? std::string(id) : context.m_options.m_generated_id;
}

// Resolves the route by model or path and copies its settings.
std::optional<Refusal> ResolveRoute(ValidationContext& context) {
  const HttpRequest& request = context.m_request;
  ValidatedRequest& intake = context.m_intake;
  const Route* route = nullptr;
  if (request.m_path == kCompletionsPath) {
    if (request.m_method != "POST") {
      return Refuse(context, ProblemCode::kMethodNotAllowed,
                    "Completions are requested with POST.");
    }
    if (auto parse_error =
            ParseCompletion(request.m_body, &intake.m_completion)) {
      return Refuse(context, ProblemCode::kBadRequest, std::move(*parse_error));
    }
    route = FindRouteByModel(context.m_tables, intake.m_completion.m_model);
  } else {
    route = FindRouteByPath(context.m_tables, request.m_path);
  }
  if (route == nullptr) {
    return Refuse(context, ProblemCode::kNoRoute,
                  "No route serves this model or path.");
  }
  const auto fleet = context.m_tables.m_fleets.find(route->m_fleet);
  if (fleet == context.m_tables.m_fleets.end()) {
    return Refuse(context, ProblemCode::kNoRoute, "The route has no fleet.");
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

// Resolves the workspace of the key and checks that it may use the route.
std::optional<Refusal> ResolveWorkspace(ValidationContext& context) {
  ValidatedRequest& intake = context.m_intake;
  const Route& route =
      context.m_tables.m_routes.find(intake.m_route)->second.m_value;
  const std::string secret = BearerKey(context.m_request);
  const Key* key = secret.empty()
                       ? nullptr
                       : FindKeyBySecret(context.m_tables, Sha256Hex(secret));
  if (key == nullptr && !route.m_open) {
    return Refuse(context, ProblemCode::kUnauthorized,
                  "The request carries no valid key.");
  }
  intake.m_workspace =
      key == nullptr ? std::string(kOpenWorkspace) : key->m_workspace;
  if (key != nullptr) intake.m_key = key->m_name;
  const auto& allowed = route.m_workspaces;
  const bool listed = std::find(allowed.begin(), allowed.end(),
                                intake.m_workspace) != allowed.end();
  if (!route.m_open && !allowed.empty() && !listed) {
    return Refuse(context, ProblemCode::kForbidden,
                  "The key's workspace may not use this route.");
  }
  if (ContainsSecret(context.m_request.m_path, secret) ||
      ContainsSecret(context.m_request.m_body, secret)) {
    return Refuse(context, ProblemCode::kBadRequest,
                  "The key stands in the path or body, which go on to an "
                  "endpoint; send it in the Authorization header only.");
  }
  return std::nullopt;
}

std::optional<Refusal> ValidateHeaders(ValidationContext& context) {
  ValidatedRequest& intake = context.m_intake;
  if (intake.m_time_limit.count() == 0) {
    intake.m_time_limit = context.m_options.m_default_deadline;
  }
  const std::string_view text =
      FindField(context.m_request.m_headers, "x-deadline-ms");
  if (!text.empty()) {
    std::int64_t limit_ms = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), limit_ms);
    if (error != std::errc() || end != text.data() + text.size() ||
        limit_ms < 1 || limit_ms > kMaxDeadlineMs) {
      return Refuse(context, ProblemCode::kBadRequest,
                    "X-Deadline-Ms is no number from 1 to 3600000.");
    }
    intake.m_time_limit = std::chrono::milliseconds(limit_ms);
  }
  const std::string_view idempotency_key =
      FindField(context.m_request.m_headers, "idempotency-key");
  if (!idempotency_key.empty() && !IsValidId(idempotency_key)) {
    return Refuse(context, ProblemCode::kBadRequest,
                  "Idempotency-Key has more than 128 characters, or others "
                  "than printable ASCII.");
  }
  intake.m_idempotency_key = std::string(idempotency_key);
  return std::nullopt;
}

// The fingerprint depends only on the content, so that a request that crashes
// endpoints is recognized whoever sends it.
void ComputeHashes(ValidationContext& context) {
  ValidatedRequest& intake = context.m_intake;
  const std::uint64_t seed = Hash(intake.m_route, 0);
  if (intake.m_kind == FleetKind::kEngine) {
    const std::string_view prompt = intake.m_completion.m_prompt;
    intake.m_fingerprint = Hash(prompt, seed);
    intake.m_affinity = Hash(prompt.substr(0, kAffinityBytes), seed);
    return;
  }
  const HttpRequest& request = context.m_request;
  const std::uint64_t target =
      Hash(request.m_method + " " + EndpointTarget(request), seed);
  intake.m_fingerprint = Hash(request.m_body, target);
}

}  // namespace

std::variant<ValidatedRequest, Refusal> ValidateRequest(
    const Tables& tables, const HttpRequest& request,
    const ValidationOptions& options) {
  ValidationContext context{tables, request, options, {}};
  ResolveRequestId(context);
  for (const auto step : {&ResolveRoute, &ResolveWorkspace, &ValidateHeaders}) {
    if (auto refusal = step(context)) return std::move(*refusal);
  }
  ComputeHashes(context);
  return std::move(context.m_intake);
}

}  // namespace comfreypaddle
