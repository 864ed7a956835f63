// Allotments at the task that serves callers: what a refused caller is told and
// which requests give their cost back.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "allotmentcheck.h"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <utility>

#include "allotmentcodec.h"
#include "support_relay.h"

namespace comfreypaddle {
namespace {

using testing::HasField;
using testing::RelayFixture;
using trompeloeil::_;

constexpr double kCost = 100;

// One instance, whose only workspace may use 1,000 tokens a second.
struct AllotmentFixture : RelayFixture {
  AllotmentFixture() {
    schema::Catalog catalog = m_state.m_catalog->Message();
    schema::Allotment* allotment =
        catalog.mutable_workspaces(0)->mutable_allotment();
    allotment->set_rate_per_s(1000);
    allotment->set_burst(1000);
    allotment->set_unit(schema::ALLOTMENT_TOKENS);
    allotment->set_default_cost(kCost);
    m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
    m_state.m_allotments.m_instances = 1;
    m_state.m_allotments.m_is_listed = true;
  }

  double Recent() const {
    return ViewAllotment(m_state.m_allotments, WorkspaceHash("w"), m_now)
        .m_recent;
  }
};

// Failure: a workspace gets more than its allotment, or a refused caller is not
// told that its request did not run and when to return.
TEST_CASE("requests over the allotment get 429 with Retry-After") {
  AllotmentFixture f;
  std::uint64_t refused = 0;
  ALLOW_CALL(f.m_callers, Respond(_, 429, _, _))
      .SIDE_EFFECT(CHECK(HasField(_3, "Retry-After")))
      .LR_SIDE_EFFECT(++refused);
  for (std::uint64_t id = 1; id <= 40; ++id) f.Ask(id, "/safe/x");
  CHECK(refused >= 20);
  CHECK(f.m_state.m_counters.m_ends[EndReason::kAllotment] == refused);
  CHECK(f.m_state.m_calls.size() == 40 - refused);
}

// Failure: a request that can never be covered is repeated by its caller.
TEST_CASE("a request beyond the allotment is told so at once") {
  AllotmentFixture f;
  f.m_format.m_prompt_tokens = 1'000'000;
  REQUIRE_CALL(f.m_callers, Respond(1, 429, _, _))
      .WITH(!HasField(_3, "Retry-After"));
  f.Ask(1, "/safe/x");
  CHECK(f.m_state.m_counters.m_ends[EndReason::kAllotmentTooSmall] == 1);
}

// Failure: requests that did not run use the allotment up, or those that ran
// give their cost back.
TEST_CASE("only a request that did not run gives its cost back") {
  AllotmentFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  const auto endpoints = std::exchange(f.m_state.m_balance.m_endpoints, {});
  f.Ask(1, "/once/x");
  const double with_one = f.Recent();
  CHECK(with_one >= kCost);
  OnCallerDisconnected(f.m_state, 1);
  CHECK(f.Recent() == doctest::Approx(with_one - kCost));
  f.m_state.m_balance.m_endpoints = endpoints;
  f.Ask(2, "/once/x");
  f.Answer(0, 503, {{"not-run", "1"}});
  f.Ask(3, "/once/x");
  f.Answer(1, 200, {});
  f.Break(2, true);
  EndAllCalls(f.m_state);  // It may still run.
  CHECK(f.m_state.m_calls.empty());
  CHECK(f.Recent() == doctest::Approx(with_one + kCost));
}

// Failure: each attempt of one request uses the allotment.
TEST_CASE("a request that is sent twice counts once") {
  AllotmentFixture f;
  ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
  f.Ask(1, "/safe/x");
  const double with_one = f.Recent();
  f.Break(0, true);
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  f.Answer(1, 200, {});
  CHECK(f.Recent() == doctest::Approx(with_one));
}

// Failure: the number of instances of a message wraps around to none.
TEST_CASE("an absurd number of instances is bounded") {
  schema::WorkspaceUseList message;
  message.set_instances(std::numeric_limits<std::uint32_t>::max());
  message.add_uses()->set_recent(std::numeric_limits<float>::max());
  const InstanceUses uses = FromMessage(message);
  CHECK(uses.m_instances + 1 > uses.m_instances);
  CHECK(std::isfinite(static_cast<float>(uses.m_uses.at(0).m_recent * 1000)));
}

// Failure: a message of another instance with odd figures refuses everything.
TEST_CASE("odd figures of other instances count as nothing") {
  schema::WorkspaceUseList message;
  message.set_instances(3);
  for (const float value : {-1.0F, std::numeric_limits<float>::infinity(),
                            std::numeric_limits<float>::quiet_NaN()}) {
    schema::WorkspaceUse* use = message.add_uses();
    use->set_workspace(message.uses_size());
    use->set_recent(value);
    use->set_demand(value);
  }
  const InstanceUses uses = FromMessage(message);
  CHECK(uses.m_uses.size() == 3);
  for (const auto& entry : uses.m_uses) {
    CAPTURE(entry.first);
    CHECK(entry.second.m_recent == 0);
    CHECK(entry.second.m_demand == 0);
  }
}

}  // namespace
}  // namespace comfreypaddle
