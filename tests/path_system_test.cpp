#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include "support_process.h"

namespace comfreypaddle::testing {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against a request path that works only in one process or instance.
TEST_CASE("requests are served end to end through every instance") {
  Cluster cluster("path");
  cluster.StartPlatform();
  const auto engine = cluster.StartEngine();
  const auto service = cluster.StartService();
  cluster.StartEntries(3);
  cluster.ApplyDefaultResources({engine}, {service});
  for (int entry = 1; entry <= 3; ++entry) {
    CAPTURE(entry);
    Reply reply;
    REQUIRE(cluster.Until([&] {
      reply = cluster.Call(cluster.Completion(entry, "hello", 5, false));
      return reply.m_status == 200;
    }));
    CHECK(Contains(reply.m_body, "\"completion_tokens\":5"));
    reply = cluster.Call(cluster.Completion(entry, "hello", 5, true));
    CHECK(reply.m_status == 200);
    CHECK(Contains(reply.m_body, "id: 5\n"));
    CHECK(Contains(reply.m_body, "data: [DONE]"));
    reply = cluster.Call(
        cluster.Desk(entry, "/desk/a", "key-" + std::to_string(entry)));
    CHECK(reply.m_status == 200);
    CHECK(Contains(reply.m_body, "/desk/a"));
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
