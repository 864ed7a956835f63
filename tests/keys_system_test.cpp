// Guarantee G4: a request runs only with a valid key of its workspace.
// Guarantee G5: no endpoint receives a caller's key.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

struct AuthFixture {
  explicit AuthFixture(const std::string& name) : m_cluster(name) {
    m_cluster.StartPlatform();
    m_engine = m_cluster.StartEngine({"--forbidden_secret", "secret-1"});
    m_service = m_cluster.StartService({"--forbidden_secret", "secret-1"});
    m_cluster.StartEntries(2);
    m_cluster.ApplyDefaultResources({m_engine}, {m_service});
    m_cluster.Apply(1, "route", "private",
                    R"({"name":"private","path_prefix":"/private",)"
                    R"("fleet":"desks","workspaces":["w2"]})");
    m_cluster.Apply(1, "route", "public",
                    R"({"name":"public","path_prefix":"/public",)"
                    R"("fleet":"desks","open":true})");
    for (int entry = 1; entry <= 2; ++entry) {
      m_cluster.Until([&] {
        return m_cluster.Call(m_cluster.Completion(entry, "ready", 1, false))
                       .m_status == 200 &&
               Status(entry, "/public/ready", "") == 200;
      });
    }
  }

  int Status(int entry, const std::string& path, const std::string& key) {
    HttpCall call = m_cluster.Desk(entry, path, "", key);
    if (key.empty()) call.m_headers.pop_back();
    return m_cluster.Call(std::move(call)).m_status;
  }

  Cluster m_cluster;
  std::uint16_t m_engine = 0;
  std::uint16_t m_service = 0;
};

// Guards against running requests without a valid key, or with the key of a
// workspace that the route does not allow.
TEST_CASE("a request runs only under a key that its route takes") {
  AuthFixture fixture("keys");
  for (int entry = 1; entry <= 2; ++entry) {
    CAPTURE(entry);
    CHECK(fixture.Status(entry, "/desk/none", "") == 401);
    CHECK(fixture.Status(entry, "/desk/unknown", "secret-3") == 401);
    CHECK(fixture.Status(entry, "/private/other", "secret-1") == 403);
    CHECK(fixture.Status(entry, "/private/own", "secret-2") == 200);
    CHECK(fixture.Status(entry, "/public/none", "") == 200);
    const Reply refused = fixture.m_cluster.Call(
        fixture.m_cluster.Completion(entry, "unknown", 2, false, "secret-3"));
    CHECK(refused.m_status == 401);
    CHECK(OutcomeIn(refused) == "not_run");
  }
  for (const char* path : {"/desk/none", "/desk/unknown", "/private/other"}) {
    CHECK(Executions(fixture.m_cluster, fixture.m_service, path) == 0);
  }
  CHECK(Executions(fixture.m_cluster, fixture.m_service, "/private/own") == 2);
  CHECK(EngineStatsOf(fixture.m_cluster, fixture.m_engine).requests_size() ==
        2);
}

// Guards against leaking a key to an endpoint or a log file when the caller
// puts it in a query, another header, the path or the prompt.
TEST_CASE("no endpoint and no log file sees a key") {
  AuthFixture fixture("secrets");
  for (const char* query :
       {"?key=secret-1", "?api_key=secret-1&a=b", "?a=b&access_token=secret-1",
        "?KEY=secret-1", "?token=secret-1", "?a=secret%2D1"}) {
    CAPTURE(query);
    HttpCall call =
        fixture.m_cluster.Desk(1, std::string("/desk/query") + query, "");
    call.m_headers.push_back({"cookie", "key=secret-1"});
    call.m_headers.push_back({"x-api-key", "secret-1"});
    call.m_headers.push_back({"x-request-id", "secret-1"});
    fixture.m_cluster.Call(std::move(call));
    HttpCall completion = fixture.m_cluster.Completion(2, "secrets", 2, false);
    completion.m_url += query;
    completion.m_headers.push_back({"cookie", "key=secret-1"});
    completion.m_headers.push_back({"x-api-key", "secret-1"});
    fixture.m_cluster.Call(std::move(completion));
  }
  fixture.m_cluster.Call(
      fixture.m_cluster.Completion(1, "my key is secret-1", 2, false));
  fixture.m_cluster.Call(fixture.m_cluster.Desk(2, "/desk/secret-1", ""));
  CHECK(ServiceStatsOf(fixture.m_cluster, fixture.m_service).secret_seen() ==
        0);
  CHECK(EngineStatsOf(fixture.m_cluster, fixture.m_engine).secret_seen() == 0);
  for (const char* entry : {"entry-1", "entry-2"}) {
    const std::string log = ReadFile(fixture.m_cluster.LogPath(entry));
    CHECK_FALSE(log.empty());
    CHECK_FALSE(Contains(log, "secret-1"));
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
