// An endpoint that has started again under its id: what one lifetime answers,
// or fails to, says nothing of another.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

using trompeloeil::_;

constexpr const char* kFormerAddress = "127.0.0.1:1";
constexpr const char* kNewAddress = "127.0.0.1:2";

// Lists e1 with this address and start time. The others drain, or are ready.
void List(RelayFixture& f, const std::string& address, std::uint64_t born_ms,
          bool others_drain) {
  std::vector<BalanceEndpoint> list;
  for (const auto& [id, endpoint] : f.m_state.m_balance.m_endpoints) {
    list.push_back(endpoint);
    const bool is_first = id == "e1";
    list.back().m_draining = others_drain && !is_first;
    if (!is_first) continue;
    list.back() = {};
    list.back().m_id = id;
    list.back().m_service = endpoint.m_service;
    list.back().m_slots = endpoint.m_slots;
    list.back().m_address = address;
    list.back().m_born_ms = born_ms;
    list.back().m_born_at = Instant(FromMs(static_cast<double>(born_ms)));
  }
  UpdateEndpoints(f.m_state.m_balance, std::move(list), f.m_now);
}

// Guards against a request that goes on at another endpoint while the restarted
// one works on it, because nothing listens any more where its former lifetime
// did (TWICE).
TEST_CASE("a refusal at a former address does not prove the end of a run") {
  RelayFixture f;
  List(f, kFormerAddress, 1, true);
  f.Ask(1, "/again/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 1);
  f.Break(0, true);
  REQUIRE(f.m_endpoints.m_inquiries.size() == 1);  // To the former address.
  List(f, kNewAddress, 2, true);
  f.Ask(2, "/again/x");
  REQUIRE(f.m_endpoints.m_calls.size() == 2);
  CHECK(f.m_endpoints.m_calls[1].m_url == "http://127.0.0.1:2/again/x");
  // The endpoint resets the connection, and works on.
  f.Break(1, true);
  List(f, kNewAddress, 2, false);
  // The question to the new address stays open.
  std::vector<HttpEvents>& inquiries = f.m_endpoints.m_inquiries;
  const HttpEvents former = std::move(inquiries.front());
  inquiries.erase(inquiries.begin());
  former.m_on_end({HttpError::kConnectRefused, 0, false});
  // Only the first request goes on.
  REQUIRE(f.m_endpoints.m_calls.size() == 3);
  CHECK(f.m_endpoints.m_calls[2].m_request_id == "t1");
}

constexpr std::uint64_t kFormerBornMs = 500'000;
constexpr std::uint64_t kNewBornMs = 1'000'000;  // Now, by the fixture's clock.

// e1 alone takes requests, and is listed with its former lifetime. The only
// instance holds every limit.
struct RestartFixture : RelayFixture {
  RestartFixture() {
    const std::uint64_t self = InstanceHash("a");
    SetLimitPeers(m_state.m_balance, {{self}, self, false}, m_now);
    List(*this, kNewAddress, kFormerBornMs, true);
    m_now += std::chrono::seconds(1);
  }
  void ListNewLifetime() { List(*this, kNewAddress, kNewBornMs, true); }
  const BalanceEndpoint& Listed() {
    return *FindEndpoint(m_state.m_balance, "e1");
  }

  // Answers the open questions as a lifetime does that leaves, or serves on.
  void Report(std::uint64_t born_ms, bool is_leaving) {
    const HttpFields leaving{{"leaving", "1"}};
    for (const HttpEvents& events :
         std::exchange(m_endpoints.m_inquiries, {})) {
      events.m_on_head(200, is_leaving ? leaving : HttpFields{});
      events.m_on_body("0 0 born=" + std::to_string(born_ms));
      events.m_on_end({HttpError::kOk, 200, true});
    }
  }
};

// Guards against requests beyond the limit of a restarted endpoint that named
// it in a response to a request from before it was listed (LIMIT), and against
// one that gets little because of the limit of its former lifetime.
TEST_CASE("a limit counts for the lifetime that named it") {
  for (const bool is_former : {false, true}) {
    CAPTURE(is_former);
    RestartFixture f;
    ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
    f.m_endpoints.m_connected_at =
        is_former ? f.m_now - std::chrono::seconds(60) : f.m_now;
    f.Ask(1, "/safe/x");
    REQUIRE(f.m_endpoints.m_calls.size() == 1);
    f.ListNewLifetime();
    f.Answer(0, 200, {{"limit", "2"}}, "body");
    CHECK(IsLimited(f.Listed().m_limit) == !is_former);
  }
}

// Guards against requests to a restarted endpoint that said that it leaves
// before it was listed (DRAIN), and against one that gets none because its
// former lifetime left.
TEST_CASE("an endpoint leaves in the lifetime that says so") {
  for (const bool is_former : {false, true}) {
    CAPTURE(is_former);
    RestartFixture f;
    ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
    f.Ask(1, "/safe/x");
    f.Answer(0, 200, {{"leaving", "1"}}, "body");
    CHECK(f.Listed().m_leaving);
    f.Report(is_former ? kFormerBornMs : kNewBornMs, true);
    f.ListNewLifetime();
    CHECK(f.Listed().m_leaving == !is_former);
  }
}

// Guards against the same in a response that is read after the new lifetime was
// listed: it may be the former one's, or not.
TEST_CASE("a response from before the listing does not tell who leaves") {
  for (const bool is_former : {false, true}) {
    CAPTURE(is_former);
    RestartFixture f;
    ALLOW_CALL(f.m_callers, Respond(_, _, _, _));
    f.Ask(1, "/safe/x");
    f.ListNewLifetime();
    f.Answer(0, 200, {{"leaving", "1"}}, "body");
    f.Report(kNewBornMs, !is_former);
    CHECK(f.Listed().m_leaving == !is_former);
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
