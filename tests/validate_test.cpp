#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "validate.h"

#include <doctest/doctest.h>

namespace comfreypaddle {
namespace {

// Guards against sending engines the route's name instead of the name of the
// model that the fleet loaded, which every engine refuses.
TEST_CASE("engines get the model of the fleet, callers keep their own name") {
  Tables tables;
  tables.m_fleets["fleet"].m_value = {.m_name = "fleet", .m_model = "base"};
  tables.m_routes["route"].m_value = {.m_name = "route",
                                      .m_model = "alias",
                                      .m_fleet = "fleet",
                                      .m_open = true,
                                      .m_adapter = "adapter"};
  tables.m_route_by_model["alias"] = "route";
  HttpRequest request;
  request.m_method = "POST";
  request.m_path = "/v1/completions";
  request.m_body = R"({"model": "alias", "prompt": "p"})";
  const auto result = ValidateRequest(tables, request, {});
  REQUIRE(std::holds_alternative<ValidatedRequest>(result));
  const auto& intake = std::get<ValidatedRequest>(result);
  CHECK(intake.m_completion.m_model == "alias");
  const std::string body =
      GenerateBody(intake.m_completion, intake.m_engine_model, "id",
                   Priority::kNormal, 0, "");
  CHECK(body.find(R"("model":"base","adapter":"adapter")") !=
        std::string::npos);
}

}  // namespace
}  // namespace comfreypaddle
