// Questions about the work of an endpoint that has started again under its id:
// what one lifetime answers, or fails to, says nothing of another.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support_relay.h"

namespace comfreypaddle::testing {
namespace {

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
    list.back().m_address = address;
    list.back().m_born_ms = born_ms;
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

}  // namespace
}  // namespace comfreypaddle::testing
