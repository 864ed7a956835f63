#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "problem.h"

#include <doctest/doctest.h>

#include <set>

#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {
namespace {

TEST_CASE("each code has a status, a title and a name of its own") {
  std::set<std::string_view> titles;
  for (const auto& row : EnumNames<ProblemCode>::kTable) {
    INFO(row.m_name);
    CHECK(StatusOf(row.m_value) >= 400);
    CHECK(StatusOf(row.m_value) < 600);
    CHECK(titles.insert(TitleOf(row.m_value)).second);
    CHECK(FromName<ProblemCode>(row.m_name) == row.m_value);
  }
}

TEST_CASE("the body carries code, outcome and request id") {
  const ProblemResponse answer =
      MakeProblem({.m_code = ProblemCode::kWorkspaceQueueFull,
                   .m_outcome = Outcome::kNotRun,
                   .m_detail = "500 \"requests\" wait",
                   .m_request_id = "r-1",
                   .m_retry_after = std::chrono::milliseconds(2100)});
  schema::Problem problem;
  REQUIRE_FALSE(FromJson(answer.m_body, UnknownFields::kReject, &problem));
  CHECK(answer.m_status == 429);
  CHECK(problem.status() == 429);
  CHECK(problem.code() == "workspace_queue_full");
  CHECK(problem.outcome() == "not_run");
  CHECK(problem.request_id() == "r-1");
  CHECK(answer.m_body.find("current_version") == std::string::npos);
  CHECK(problem.detail() == "500 \"requests\" wait");
  CHECK(FindField(answer.m_headers, "Retry-After") == "3");
  CHECK(FindField(answer.m_headers, "Content-Type") ==
        "application/problem+json");
}

TEST_CASE("a problem that does not pass by itself asks for no retry") {
  const auto headers =
      MakeProblem({.m_code = ProblemCode::kUnauthorized}).m_headers;
  CHECK(FindField(headers, "Retry-After").empty());
  CHECK(FindField(headers, "WWW-Authenticate") == "Bearer");
}

}  // namespace
}  // namespace comfreypaddle
