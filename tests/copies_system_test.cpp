// Endpoints that send a copy of a refusal, or of the result of a prefill, while
// the same request is under way at their address again: one address is listed
// under several ids, as it is for a moment after a restart.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using testing::EndpointAct;
using testing::EndpointRun;
using testing::FakeEndpoint;
using testing::PlatformCluster;
using testing::Reply;

constexpr int kRequests = 10;

// One instance and endpoints that send copies.
struct CopyingEndpoints {
  CopyingEndpoints(const std::string& name, std::size_t count)
      : m_cluster("copies-" + name) {
    m_cluster.Configure(1, R"(["k1"])");
    // Retries are not to be prevented by the budget.
    m_cluster.SetRetry("budget_ratio = 10\n");
    for (std::size_t i = 0; i < count; ++i) {
      m_cluster.AddEndpoint("plain");
      m_cluster.Endpoint(i).SetCopies(true);
    }
  }

  void Start() {
    m_cluster.StartEntry(1);
    m_cluster.Call(1, "POST", "/safe/first");
  }

  // Lists other ids at the address of the first endpoint and waits until the
  // instance knows them.
  void AddOtherIds(const std::vector<std::string>& ids,
                   const std::string& phase) {
    for (const std::string& id : ids) {
      m_cluster.RegisterEndpoint(id, "plain", m_cluster.Endpoint(0).Port(),
                                 phase);
    }
    REQUIRE(m_cluster.Until([&] {
      return std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
        return m_cluster.CountLogLines(1, "endpoint_list ", "=" + id + " ") > 0;
      });
    }));
  }

  // Sends a request that must run once, while the address has other ids too.
  void CallBesideOtherIds(const std::string& prefix, int number, int ids,
                          const std::string& phase = "") {
    std::vector<std::string> others;
    for (int i = 0; i < ids; ++i) {
      others.push_back("former-" + std::to_string(number) + "-" +
                       std::to_string(i));
    }
    AddOtherIds(others, phase);
    const std::string target = prefix + std::to_string(number);
    const Reply reply = m_cluster.Call(1, "POST", target);
    m_statuses[target] = reply.m_status;
    m_bodies[target] = reply.m_body;
    for (const std::string& id : others) m_cluster.RemoveEndpoint(id);
  }

  // Number of runs of each request.
  std::map<std::string, int> CountRuns() {
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < m_cluster.EndpointCount(); ++i) {
      const FakeEndpoint& endpoint = m_cluster.Endpoint(i);
      for (const HttpRequest& request : endpoint.Requests()) {
        ++runs[request.m_target];
      }
      for (const EndpointRun& run : endpoint.Runs()) ++runs[run.m_target];
    }
    return runs;
  }

  // Checks that no request ran more often than its route allows, or ran and was
  // refused as not run.
  void Check(int max_attempts = 1) {
    std::map<std::string, int> runs = CountRuns();
    int served = 0;
    int too_often = 0;
    int refused_but_run = 0;
    for (const auto& [target, status] : m_statuses) {
      served += status == 200 ? 1 : 0;
      too_often += runs[target] > max_attempts ? 1 : 0;
      refused_but_run += status == 503 && runs[target] > 0 ? 1 : 0;
    }
    const std::size_t other_id =
        m_cluster.CountLogLines(1, "event=attempt_failed", "endpoint=former-");
    MESSAGE(m_statuses.size(), " requests, ", served, " served, ", other_id,
            " refused under another id, ", too_often, " ran too often, ",
            refused_but_run, " ran and were refused");
    CHECK(other_id > 0);
    CHECK(too_often == 0);
    CHECK(refused_but_run == 0);
    CHECK(served > 0);
  }

  PlatformCluster m_cluster;
  std::map<std::string, int> m_statuses;  // By target.
  std::map<std::string, std::string> m_bodies;
};

// Guards against a request that runs at a second endpoint because the copy of a
// 421 was taken for the response to its run (TWICE).
TEST_CASE("a copied 421 does not send a running request elsewhere") {
  CopyingEndpoints f("twice", 2);
  f.Start();
  for (int i = 0; i < kRequests; ++i) f.CallBesideOtherIds("/once/", i, 1);
  f.Check();
}

// Guards against a request that runs and is refused as not run, because the
// copy of a 421 was taken for the response to its run (REFUSED).
TEST_CASE("a copied 421 does not refuse a running request") {
  CopyingEndpoints f("refused", 1);
  f.Start();
  for (int i = 0; i < kRequests; ++i) f.CallBesideOtherIds("/once/", i, 1);
  f.Check();
}

// Guards against the same with several refusals of one request in a row.
TEST_CASE("copied 421s in series do not refuse a running request") {
  CopyingEndpoints f("series", 2);
  f.Start();
  for (int i = 0; i < kRequests; ++i) f.CallBesideOtherIds("/once/", i, 3);
  f.Check();
}

// Guards against the same with a 503 that says that the request was not
// executed.
TEST_CASE("a copied 503 does not send a running request elsewhere") {
  CopyingEndpoints f("full", 2);
  f.m_cluster.Endpoint(0).SetOtherIdStatus(503);
  f.Start();
  for (int i = 0; i < kRequests; ++i) f.CallBesideOtherIds("/once/", i, 1);
  f.Check();
}

// Guards against an idempotent request that runs at more endpoints than its
// route allows, because a run whose response was mistaken for a refusal does
// not count (BUDGET).
TEST_CASE("a copied refusal does not hide a run from the attempts of a route") {
  CopyingEndpoints f("attempts", 3);
  f.m_cluster.Endpoint(0).SetOtherIdStatus(503);
  f.Start();
  for (std::size_t i = 1; i < 3; ++i) {
    f.m_cluster.Endpoint(i).SetActs([] { return EndpointAct::kFail; });
  }
  for (int i = 0; i < kRequests; ++i) f.CallBesideOtherIds("/safe/", i, 1);
  f.Check(2);
}

// Prompts that are prefilled under another id of the endpoint that runs them.
struct CopiedPrefills : CopyingEndpoints {
  CopiedPrefills(const std::string& name, int prefill_status)
      : CopyingEndpoints("prefill-" + name, 1) {
    FakeEndpoint& endpoint = m_cluster.Endpoint(0);
    endpoint.SetOtherIdStatus(prefill_status);
    m_cluster.RegisterEndpoint(endpoint.Id(), "plain", endpoint.Port(),
                               "decode");
    m_cluster.SetRequestFields(
        {{"Token-Count", "20000,10"}, {"Prompt-Prefix", "a1:20000"}});
    Start();
    for (int i = 0; i < kRequests; ++i) {
      CallBesideOtherIds("/prompt/", i, 1, "prefill");
    }
  }
};

// Guards against the copy of a refused prefill that is taken for the response
// to the run at the same address (REFUSED).
TEST_CASE("the copy of a refused prefill does not refuse the run") {
  for (const int status : {421, 503}) {
    CAPTURE(status);
    CopiedPrefills f(std::to_string(status), status);
    f.Check();
  }
}

// Guards against the result of a prefill that reaches the caller as the
// response to the request.
TEST_CASE("the copy of a prefill's result does not reach the caller") {
  CopiedPrefills f("result", 200);
  for (const auto& [target, status] : f.m_statuses) CHECK(status == 200);
  CHECK(f.m_cluster.CountLogLines(1, "request_end ", "prefills=1") > 0);
  for (const auto& [target, body] : f.m_bodies) CHECK(body == "ran " + target);
}

}  // namespace
}  // namespace comfreypaddle
