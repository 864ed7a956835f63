#include "problem.h"

#include <cstdlib>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {
namespace {

// Status, title and default Retry-After of a code; zero seconds for none.
struct ProblemRow {
  ProblemCode m_code;
  int m_status;
  int m_retry_after_s;
  std::string_view m_title;
};

// Reasons for the defaults of Retry-After: a full queue drains within a
// deadline, a lease or a log outage lasts seconds, and a new instance or
// endpoint is found at once or after a poll.
constexpr std::array<ProblemRow, 27> kRows{{
    {ProblemCode::kUnauthorized, 401, 0, "The key is missing or not valid"},
    {ProblemCode::kForbidden, 403, 0, "The workspace may not do this"},
    {ProblemCode::kNoRoute, 404, 0, "No route matches the request"},
    {ProblemCode::kBadRequest, 400, 0, "The request cannot be understood"},
    {ProblemCode::kBodyTooLarge, 413, 0, "The request body is too large"},
    {ProblemCode::kQueueFull, 429, 1, "The queue of the instance is full"},
    {ProblemCode::kWorkspaceQueueFull, 429, 1,
     "The queue of the workspace is full"},
    {ProblemCode::kDeadline, 504, 1, "The deadline cannot be met"},
    {ProblemCode::kNotAdmitting, 503, 2,
     "The instance cannot confirm its configuration"},
    {ProblemCode::kDraining, 503, 1, "The instance is shutting down"},
    {ProblemCode::kNoEndpoint, 503, 2, "No endpoint is available"},
    {ProblemCode::kEndpointFailed, 502, 0, "The endpoint failed"},
    {ProblemCode::kEndpointRefused, 503, 1, "The endpoint refused the request"},
    {ProblemCode::kRetryBudget, 503, 5, "The retry budget is used up"},
    {ProblemCode::kAlreadyRun, 409, 0, "The request has already run"},
    {ProblemCode::kInProgress, 409, 1,
     "A request with this idempotency key was claimed before"},
    {ProblemCode::kSuspect, 422, 0,
     "The request was running when endpoints crashed"},
    {ProblemCode::kClaimUnavailable, 503, 2,
     "The idempotency key cannot be claimed"},
    {ProblemCode::kConflict, 409, 0, "The resource has another version"},
    {ProblemCode::kNotFound, 404, 0, "The resource does not exist"},
    {ProblemCode::kInvalidResource, 422, 0, "The resource is not valid"},
    {ProblemCode::kLogUnavailable, 503, 2, "The log does not answer"},
    {ProblemCode::kTooLarge, 431, 0, "The request head is too large"},
    {ProblemCode::kMethodNotAllowed, 405, 0, "The method is not allowed"},
    {ProblemCode::kTimeout, 504, 0, "The answer did not arrive in time"},
    {ProblemCode::kSlowRequest, 408, 0, "The request did not arrive in time"},
    {ProblemCode::kMemoryFull, 503, 1,
     "The requests of all callers hold too much memory"},
}};

const ProblemRow& RowOf(ProblemCode code) {
  for (const ProblemRow& row : kRows) {
    if (row.m_code == code) return row;
  }
  std::abort();  // Unreachable: the table has a row for each code.
}

// Returns the value of Retry-After in seconds, or zero for none.
std::int64_t RetryAfterSeconds(const ProblemDetails& details,
                               const ProblemRow& row) {
  if (details.m_retry_after.count() <= 0) return row.m_retry_after_s;
  return std::chrono::ceil<std::chrono::seconds>(details.m_retry_after).count();
}

}  // namespace

int StatusOf(ProblemCode code) { return RowOf(code).m_status; }

std::string_view TitleOf(ProblemCode code) { return RowOf(code).m_title; }

ProblemResponse MakeProblem(const ProblemDetails& details) {
  const ProblemRow& row = RowOf(details.m_code);
  schema::Problem problem;
  problem.set_type("about:blank");
  problem.set_title(std::string(row.m_title));
  problem.set_status(static_cast<std::uint32_t>(row.m_status));
  problem.set_detail(details.m_detail);
  problem.set_code(std::string(ToName(details.m_code)));
  problem.set_outcome(std::string(ToName(details.m_outcome)));
  problem.set_request_id(details.m_request_id);
  if (details.m_current_version) {
    problem.set_current_version(*details.m_current_version);
  }
  ProblemResponse response{row.m_status,
                           {{"Content-Type", "application/problem+json"}},
                           ToJson(problem)};
  if (row.m_status == 401) {
    response.m_headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  const std::int64_t retry_after = RetryAfterSeconds(details, row);
  if (retry_after > 0) {
    response.m_headers.push_back({"Retry-After", std::to_string(retry_after)});
  }
  return response;
}

}  // namespace comfreypaddle
