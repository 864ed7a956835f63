#ifndef COMFREYPADDLE_VALIDATE_H_
#define COMFREYPADDLE_VALIDATE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "completion.h"
#include "configstate.h"
#include "http.h"
#include "problem.h"
#include "types.h"

namespace comfreypaddle {

// Workspace under which requests without a key are queued and counted.
inline constexpr std::string_view kOpenWorkspace = "open";

// Request that passed the checks against the configuration and may be queued.
struct ValidatedRequest {
  std::string m_request_id;  // The caller's, or a generated one.
  std::string m_workspace;
  std::string m_key;  // Name of the key; empty on open routes without one.
  std::string m_route;
  std::string m_fleet;
  FleetKind m_kind = FleetKind::kEngine;
  bool m_repeatable = false;
  std::string m_idempotency_key;
  Priority m_priority = Priority::kNormal;
  Duration m_time_limit{0};         // From arrival to the end of the response.
  CompletionParams m_completion;    // For engines.
  std::string m_engine_model;       // Model that the fleet's engines load.
  std::uint64_t m_affinity = 0;     // Hash of the first prompt blocks.
  std::uint64_t m_fingerprint = 0;  // Hash of the content.
};

// Reason for refusing a request that was not executed.
struct Refusal {
  ProblemCode m_code = ProblemCode::kBadRequest;
  std::string m_detail;
  std::string m_request_id;
};

struct ValidationOptions {
  Duration m_default_deadline = std::chrono::seconds(60);
  // Used as request id if the caller gave none.
  std::string m_generated_id;
};

// Resolves route, key and workspace of a request and validates its fields. Uses
// only the configuration; admission and queue limits are checked later.
std::variant<ValidatedRequest, Refusal> ValidateRequest(
    const Tables& tables, const HttpRequest& request,
    const ValidationOptions& options);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_VALIDATE_H_
