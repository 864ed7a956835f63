// Guarantees G4, a request runs only under a key of its workspace, and G5, no
// endpoint sees a caller's key.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support_answer.h"

namespace comfreypaddle::testing {
namespace {

struct Keyed {
  explicit Keyed(const std::string& name) : m_cluster(name) {
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

// Guards against work for callers without a valid key, or under the key of a
// workspace that the route leaves out.
TEST_CASE("a request runs only under a key that its route takes") {
  Keyed keyed("keys");
  for (int entry = 1; entry <= 2; ++entry) {
    CAPTURE(entry);
    CHECK(keyed.Status(entry, "/desk/none", "") == 401);
    CHECK(keyed.Status(entry, "/desk/unknown", "secret-3") == 401);
    CHECK(keyed.Status(entry, "/private/other", "secret-1") == 403);
    CHECK(keyed.Status(entry, "/private/own", "secret-2") == 200);
    CHECK(keyed.Status(entry, "/public/none", "") == 200);
    const Reply refused = keyed.m_cluster.Call(
        keyed.m_cluster.Completion(entry, "unknown", 2, false, "secret-3"));
    CHECK(refused.m_status == 401);
    CHECK(OutcomeIn(refused) == "not_run");
  }
  for (const char* path : {"/desk/none", "/desk/unknown", "/private/other"}) {
    CHECK(Executions(keyed.m_cluster, keyed.m_service, path) == 0);
  }
  CHECK(Executions(keyed.m_cluster, keyed.m_service, "/private/own") == 2);
  CHECK(EngineStatsOf(keyed.m_cluster, keyed.m_engine).requests_size() == 2);
}

// Guards against a key that reaches an endpoint or a log file, wherever the
// caller put it beside the Authorization header.
TEST_CASE("no endpoint and no log file sees a key") {
  Keyed keyed("secrets");
  for (const char* query :
       {"?key=secret-1", "?api_key=secret-1&a=b", "?a=b&access_token=secret-1",
        "?KEY=secret-1", "?token=secret-1", "?a=secret%2D1"}) {
    CAPTURE(query);
    HttpCall call =
        keyed.m_cluster.Desk(1, std::string("/desk/query") + query, "");
    call.m_headers.push_back({"cookie", "key=secret-1"});
    call.m_headers.push_back({"x-api-key", "secret-1"});
    call.m_headers.push_back({"x-request-id", "secret-1"});
    keyed.m_cluster.Call(std::move(call));
    HttpCall completion = keyed.m_cluster.Completion(2, "secrets", 2, false);
    completion.m_url += query;
    completion.m_headers.push_back({"cookie", "key=secret-1"});
    completion.m_headers.push_back({"x-api-key", "secret-1"});
    keyed.m_cluster.Call(std::move(completion));
  }
  keyed.m_cluster.Call(
      keyed.m_cluster.Completion(1, "my key is secret-1", 2, false));
  keyed.m_cluster.Call(keyed.m_cluster.Desk(2, "/desk/secret-1", ""));
  CHECK(ServiceStatsOf(keyed.m_cluster, keyed.m_service).secret_seen() == 0);
  CHECK(EngineStatsOf(keyed.m_cluster, keyed.m_engine).secret_seen() == 0);
  for (const char* entry : {"entry-1", "entry-2"}) {
    const std::string log = ReadFile(keyed.m_cluster.LogPath(entry));
    CHECK_FALSE(log.empty());
    CHECK_FALSE(Contains(log, "secret-1"));
  }
}

}  // namespace
}  // namespace comfreypaddle::testing
