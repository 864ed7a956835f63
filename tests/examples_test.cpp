#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "command.h"
#include "curlclient.h"
#include "json.h"
#include "listener.h"
#include "operator.h"
#include "settings.h"
#include "support.h"

namespace comfreypaddle {
namespace {

std::string ExamplesOf(const std::string& deployment) {
  const char* source = std::getenv("COMFREYPADDLE_SOURCE");
  return std::string(source == nullptr ? "." : source) + "/examples/" +
         deployment;
}

std::vector<std::string> SettingsFiles(const std::string& deployment) {
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(ExamplesOf(deployment))) {
    if (entry.path().extension() == ".ini") files.push_back(entry.path());
  }
  return files;
}

// Applies the example's resources to a server that accepts everything and
// returns the resources that it received.
std::vector<schema::Resource> AppliedResources(const std::string& deployment) {
  std::vector<schema::Resource> resources;
  EventLoop loop;
  loop.TakeOwnership();
  ListenerOptions options;
  options.m_port = testing::FreePort();
  std::optional<Listener> listener;
  listener.emplace(
      loop, options,
      [&](const HttpRequest& request) {
        const bool put = request.m_method == "PUT";
        if (put) {
          CHECK_FALSE(FromJson(request.m_body, UnknownFields::kReject,
                               &resources.emplace_back()));
        }
        listener->Respond(request.m_id, put ? 200 : 404, {},
                          put ? request.m_body : "{}");
      },
      [](std::uint64_t /*id*/) {});
  REQUIRE_FALSE(listener->Open());
  CurlClient client(loop);
  ApiSession session{
      loop,
      client,
      {{"http://127.0.0.1:" + std::to_string(options.m_port)}, ""}};
  std::ostringstream out;
  std::ostringstream errors;
  OperatorContext context{session, OutputFormat::kTable, out, errors};
  std::ifstream file(ExamplesOf(deployment) + "/resources.json");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(ApplyResources(context, text.str(), std::nullopt) == ExitCode::kOk);
  CHECK(errors.str().empty());
  return resources;
}

TEST_CASE("check accepts the settings of all entry instances") {
  for (const std::string deployment : {"hagerstrom", "liffeyside"}) {
    std::vector<std::string> command_line{"comfreypaddle", "check"};
    const auto files = SettingsFiles(deployment);
    CHECK(files.size() == 6);
    command_line.insert(command_line.end(), files.begin(), files.end());
    std::vector<char*> arguments;
    for (std::string& word : command_line) arguments.push_back(word.data());
    CHECK(RunProgram(static_cast<int>(arguments.size()), arguments.data()) ==
          0);
  }
}

TEST_CASE("instances of a deployment know each other by the same addresses") {
  for (const std::string deployment : {"hagerstrom", "liffeyside"}) {
    std::map<std::string, std::string> own_addresses;
    std::map<std::string, std::set<std::string>> listed_addresses;
    for (const std::string& file : SettingsFiles(deployment)) {
      schema::Settings settings;
      REQUIRE(LoadSettings(file, &settings).empty());
      own_addresses[settings.instance().name()] =
          settings.instance().region() + " " +
          std::to_string(settings.peers().port());
      const auto members = ParseMembers(settings.peers().members());
      CHECK(members.size() == 5);
      for (const Member& member : members) {
        listed_addresses[member.m_name].insert(member.m_region + " " +
                                               std::to_string(member.m_port));
      }
    }
    for (const auto& [name, address] : own_addresses) {
      CHECK(listed_addresses[name] == std::set<std::string>{address});
    }
  }
}

TEST_CASE("resources of the examples refer only to each other") {
  for (const std::string deployment : {"hagerstrom", "liffeyside"}) {
    const auto resources = AppliedResources(deployment);
    std::map<std::string, std::set<std::string>> names;
    for (const auto& resource : resources) {
      CHECK(
          names[std::string(KindOf(resource))].insert(NameOf(resource)).second);
    }
    CHECK(names["workspace"].size() == 8);
    CHECK(names["endpoint"].size() == 15);
    for (const auto& resource : resources) {
      if (resource.has_key()) {
        CHECK(names["workspace"].count(resource.key().workspace()) == 1);
      } else if (resource.has_route()) {
        CHECK(names["fleet"].count(resource.route().fleet()) == 1);
        for (const auto& workspace : resource.route().workspaces()) {
          CHECK(names["workspace"].count(workspace) == 1);
        }
      } else if (resource.has_endpoint()) {
        CHECK(names["fleet"].count(resource.endpoint().fleet()) == 1);
        CHECK(ParseSocketAddress(resource.endpoint().address()).has_value());
      } else if (resource.has_adapter()) {
        CHECK(names["model"].count(resource.adapter().model()) == 1);
      }
    }
  }
}

}  // namespace
}  // namespace comfreypaddle
