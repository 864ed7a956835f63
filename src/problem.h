#ifndef COMFREYPADDLE_PROBLEM_H_
#define COMFREYPADDLE_PROBLEM_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "http.h"
#include "types.h"

namespace comfreypaddle {

// Error codes of problem documents.
enum class ProblemCode {
  kUnauthorized,
  kForbidden,
  kNoRoute,
  kBadRequest,
  kBodyTooLarge,
  kQueueFull,
  kWorkspaceQueueFull,
  kDeadline,
  kNotAdmitting,
  kDraining,
  kNoEndpoint,
  kEndpointFailed,
  kEndpointRefused,
  kRetryBudget,
  kAlreadyRun,
  kInProgress,
  kSuspect,
  kClaimUnavailable,
  kConflict,
  kNotFound,
  kInvalidResource,
  kLogUnavailable,
  kTooLarge,
  kMethodNotAllowed,
  kTimeout,
  kSlowRequest,
  kMemoryFull
};

// Values of "code" in problem documents.
template <>
struct EnumNames<ProblemCode> {
  static constexpr std::array<EnumName<ProblemCode>, 27> kTable{
      {{ProblemCode::kUnauthorized, "unauthorized"},
       {ProblemCode::kForbidden, "forbidden"},
       {ProblemCode::kNoRoute, "no_route"},
       {ProblemCode::kBadRequest, "bad_request"},
       {ProblemCode::kBodyTooLarge, "body_too_large"},
       {ProblemCode::kQueueFull, "queue_full"},
       {ProblemCode::kWorkspaceQueueFull, "workspace_queue_full"},
       {ProblemCode::kDeadline, "deadline"},
       {ProblemCode::kNotAdmitting, "not_admitting"},
       {ProblemCode::kDraining, "draining"},
       {ProblemCode::kNoEndpoint, "no_endpoint"},
       {ProblemCode::kEndpointFailed, "endpoint_failed"},
       {ProblemCode::kEndpointRefused, "endpoint_refused"},
       {ProblemCode::kRetryBudget, "retry_budget"},
       {ProblemCode::kAlreadyRun, "already_run"},
       {ProblemCode::kInProgress, "in_progress"},
       {ProblemCode::kSuspect, "suspect"},
       {ProblemCode::kClaimUnavailable, "claim_unavailable"},
       {ProblemCode::kConflict, "conflict"},
       {ProblemCode::kNotFound, "not_found"},
       {ProblemCode::kInvalidResource, "invalid_resource"},
       {ProblemCode::kLogUnavailable, "log_unavailable"},
       {ProblemCode::kTooLarge, "too_large"},
       {ProblemCode::kMethodNotAllowed, "method_not_allowed"},
       {ProblemCode::kTimeout, "timeout"},
       {ProblemCode::kSlowRequest, "slow_request"},
       {ProblemCode::kMemoryFull, "memory_full"}}};
};

// Contents of a problem document for one occurrence.
struct ProblemDetails {
  ProblemCode m_code = ProblemCode::kBadRequest;
  Outcome m_outcome = Outcome::kNotRun;
  std::string m_detail;
  std::string m_request_id;
  // Delay after which the caller may retry. Zero selects the default of the
  // code, which is none for problems that do not resolve by themselves.
  Duration m_retry_after{0};
  // Current version of a resource after a conflicting write.
  std::optional<Position> m_current_version;
};

// Response with an application/problem+json body for ResponsePort.
struct ProblemResponse {
  int m_status = 0;
  HttpFields m_headers;
  std::string m_body;
};

// Returns the HTTP status of responses with this code.
int StatusOf(ProblemCode code);

// Returns the title, which is the same for all occurrences of the code.
std::string_view TitleOf(ProblemCode code);

// Builds the response. Retry-After is rounded up to whole seconds.
ProblemResponse MakeProblem(const ProblemDetails& details);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PROBLEM_H_
