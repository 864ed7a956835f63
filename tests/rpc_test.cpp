#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "rpc.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <trompeloeil.hpp>

#include "base64.h"

namespace comfreypaddle {
namespace {

struct MockHandler : public RpcHandler {
  MAKE_MOCK1(Heartbeat, std::string(const std::string&), override);
  MAKE_MOCK2(Records, std::string(std::uint64_t, int), override);
  MAKE_MOCK1(Hold, bool(const std::string&), override);
  MAKE_MOCK3(Release, bool(const std::string&, std::uint64_t, std::uint64_t),
             override);
};

TEST_CASE("calls of one request reach the handler and are answered in order") {
  MockHandler handler;
  RpcServer server(handler);
  REQUIRE_CALL(handler, Heartbeat("c3RhdGU=")).RETURN("YW5zd2Vy");
  REQUIRE_CALL(handler, Hold("dXNhZ2U=")).RETURN(false);
  REQUIRE_CALL(handler, Release("a1", 18446744073709551615U, 2)).RETURN(true);
  const std::vector<RpcCall> calls{
      {RpcMethod::kHeartbeat, "c3RhdGU="},
      {RpcMethod::kHold, "dXNhZ2U="},
      {RpcMethod::kRelease, "", 0, 0, "a1", 18446744073709551615U, 2}};
  const auto results = DecodeResults(server.Handle(EncodeCalls(calls)), 3);
  REQUIRE(results.size() == 3);
  CHECK(results[0].m_ok);
  CHECK(results[0].m_message == "YW5zd2Vy");
  CHECK_FALSE(results[1].m_ok);
  CHECK(results[2].m_ok);
}

TEST_CASE("a records call is recognized and answered with the entries") {
  MockHandler handler;
  RpcServer server(handler);
  RpcCall call;
  call.m_method = RpcMethod::kRecords;
  call.m_from = 7;
  call.m_limit = 3;
  const std::string body = EncodeCalls({call});
  RpcCall read;
  REQUIRE(DecodeRecordsCall(body, &read));
  CHECK(read.m_from == 7);
  CHECK(read.m_limit == 3);
  CHECK_FALSE(DecodeRecordsCall(EncodeCalls({{}}), &read));
  REQUIRE_CALL(handler, Records(7U, 3)).RETURN("AA==");
  CHECK(DecodeResults(server.Handle(body), 1)[0].m_message == "AA==");
}

TEST_CASE("invalid bodies get an error and no call") {
  MockHandler handler;
  RpcServer server(handler);
  RpcCall call;
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[1]"),
        std::string(200000, '['),
        std::string(R"([{"jsonrpc":"2.0","id":1,"method":"nothing"}])"),
        std::string(R"([{"jsonrpc":"2.0","id":1,"method":"heartbeat",)"
                    R"("params":{"state":5}}])"),
        std::string(R"([{"jsonrpc":"2.0","id":1,"method":"records",)"
                    R"("params":{"from":"1","limit":5000000000}}])")}) {
    INFO(body.substr(0, 80));
    const auto results = DecodeResults(server.Handle(body), 1);
    CHECK_FALSE(results[0].m_ok);
    CHECK_FALSE(DecodeRecordsCall(body, &call));
  }
}

TEST_CASE("base64 round-trips bytes and rejects other text") {
  CHECK(rc::check("round trip", [](const std::string& bytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }));
  CHECK(EncodeBase64("ab") == "YWI=");
  CHECK_FALSE(DecodeBase64("abc").has_value());
  CHECK_FALSE(DecodeBase64("ab\n=").has_value());
  CHECK_FALSE(DecodeBase64("a?==").has_value());
}

}  // namespace
}  // namespace comfreypaddle
