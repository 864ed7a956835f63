// Endpoints of two software versions side by side, over real processes: callers
// take up streams at another instance than the one that began them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>

#include <map>
#include <set>

#include "support_platform.h"

namespace comfreypaddle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlatformCluster;
using testing::Reply;

constexpr int kStreams = 16;

// Two instances and two endpoints of each version.
struct Versions {
  Versions(const std::string& name, const std::vector<std::string>& versions)
      : m_cluster("versions-" + name) {
    m_cluster.SetSlots(kStreams);
    m_cluster.Configure(1, R"(["k1"])");
    for (const std::string& version : versions) {
      m_cluster.SetVersion(version);
      for (int i = 0; i < 2; ++i) {
        m_cluster.AddEndpoint("plain");
        m_cluster.Endpoint(m_versions.size()).SetEventGap(milliseconds(100));
        m_versions.push_back(version);
      }
    }
    m_cluster.StartEntry(1);
    m_cluster.StartEntry(2);
    // Longer than the instances need to find each other.
    m_cluster.Until([] { return false; }, seconds(5));
  }

  // Begins streams at the first instance and kills it after three events of
  // each.
  void BeginAndKill() {
    for (int i = 0; i < kStreams; ++i) {
      const std::string target = "/again/" + std::to_string(i);
      m_begun.push_back(m_cluster.Start(1, "POST", target));
      m_attempts.push_back(m_cluster.LastAttempt());
    }
    REQUIRE(m_cluster.Until([this] {
      return std::all_of(m_begun.begin(), m_begun.end(), [](const auto& reply) {
        return reply->m_body.find("id: 3\n") != std::string::npos;
      });
    }));
    m_cluster.Entry(1).Signal(SIGKILL);
    m_cluster.Until([] { return false; }, milliseconds(1300));
  }

  // Takes all streams up at the second instance. Returns how many went on.
  int TakeUp() {
    int gone_on = 0;
    for (int i = 0; i < kStreams; ++i) {
      m_cluster.SetRequestFields(
          {{"Resumes", m_attempts.at(i)}, {"Last-Event-Id", "3"}});
      const Reply reply =
          m_cluster.Call(2, "POST", "/again/" + std::to_string(i));
      gone_on += reply.m_status == 200 ? 1 : 0;
    }
    return gone_on;
  }

  // Streams that hold events of several versions.
  int CountMixed() {
    std::map<std::string, std::set<std::string>> versions;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
      for (const HttpRequest& request : m_cluster.Endpoint(i).Requests()) {
        versions[request.m_target].insert(m_versions.at(i));
      }
    }
    return static_cast<int>(std::count_if(
        versions.begin(), versions.end(),
        [](const auto& entry) { return entry.second.size() > 1; }));
  }

  PlatformCluster m_cluster;
  std::vector<std::string> m_versions;  // Of each endpoint.
  std::vector<std::shared_ptr<Reply>> m_begun;
  std::vector<std::string> m_attempts;
};

// Guards against a stream whose caller takes it up at another instance, where
// it goes on at an endpoint of another version (ORDER), or not at all (LOST).
TEST_CASE("streams of a killed instance go on at the version that began them") {
  Versions f("mixed", {"v1", "v2"});
  f.BeginAndKill();
  const int gone_on = f.TakeUp();
  const int mixed = f.CountMixed();
  MESSAGE(kStreams, " streams, ", gone_on, " went on, ", mixed,
          " at another version");
  CHECK(mixed == 0);
  CHECK(gone_on > kStreams / 2);
}

// Guards against streams that are refused while there is one version.
TEST_CASE("streams of a killed instance go on where there is one version") {
  Versions f("single", {"v1"});
  f.BeginAndKill();
  CHECK(f.TakeUp() == kStreams);
}

}  // namespace
}  // namespace comfreypaddle
