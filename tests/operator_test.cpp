#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "operator.h"

#include <doctest/doctest.h>

#include <optional>
#include <sstream>

#include "curlclient.h"
#include "http.pb.h"
#include "json.h"
#include "listener.h"
#include "problem.h"
#include "sha256.h"
#include "sse.h"
#include "support.h"

namespace comfreypaddle {
namespace {

using testing::FreePort;

// HTTP server with responses scripted by the test.
struct FakeServer {
  explicit FakeServer(EventLoop& loop) {
    ListenerOptions options;
    options.m_port = FreePort();
    m_url = "http://127.0.0.1:" + std::to_string(options.m_port);
    m_listener.emplace(
        loop, options,
        [this](const HttpRequest& request) {
          m_requests.push_back(request);
          m_handle(request);
        },
        [](std::uint64_t /*id*/) {});
    REQUIRE_FALSE(m_listener->Open());
  }

  void Answer(const HttpRequest& request, int status, const std::string& body) {
    m_listener->Respond(request.m_id, status, {}, body);
  }

  std::string m_url;
  std::vector<HttpRequest> m_requests;
  std::function<void(const HttpRequest&)> m_handle;
  std::optional<Listener> m_listener;
};

struct Fixture {
  Fixture() { m_loop.TakeOwnership(); }

  EventLoop m_loop;
  FakeServer m_a{m_loop};
  FakeServer m_b{m_loop};
  CurlClient m_client{m_loop};
  ApiSession m_session{m_loop, m_client, {{m_a.m_url, m_b.m_url}, "secret"}};
  std::ostringstream m_out;
  std::ostringstream m_errors;
  OperatorContext m_context{m_session, OutputFormat::kTable, m_out, m_errors};
};

std::string WorkspaceJson(const std::string& name, std::uint64_t version) {
  schema::Resource resource;
  resource.set_resource_version(version);
  resource.mutable_workspace()->set_name(name);
  return ToJson(resource);
}

// Text of a watch event for a workspace.
std::string EventText(const std::string& type, const std::string& name,
                      std::uint64_t version) {
  return FormatSseEvent("", version,
                        "{\"type\":\"" + type + "\",\"resource\":" +
                            WorkspaceJson(name, version) + "}");
}

TEST_CASE("apply replaces the version that it read, with the token") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    f.m_a.Answer(request, 200,
                 WorkspaceJson("w", request.m_method == "GET" ? 7 : 9));
  };
  CHECK(ApplyResources(f.m_context,
                       R"({"kind":"workspace","resource":{"name":"w",)"
                       R"("weight":2}})",
                       std::nullopt) == ExitCode::kOk);
  REQUIRE(f.m_a.m_requests.size() == 2);
  const HttpRequest& put = f.m_a.m_requests[1];
  CHECK(put.m_method == "PUT");
  CHECK(put.m_path == "/api/v1/workspace/w");
  CHECK(FindField(put.m_headers, "authorization") == "Bearer secret");
  schema::Resource sent;
  REQUIRE_FALSE(FromJson(put.m_body, UnknownFields::kReject, &sent));
  CHECK(sent.resource_version() == 7);
  CHECK(sent.workspace().weight() == 2.0);
  CHECK(f.m_out.str() == "workspace w replaced, version 9\n");
}

TEST_CASE("a write whose answer was lost goes out again as the same write") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    if (request.m_method == "GET") {
      f.m_a.Answer(request, 404, "{}");
    } else {
      f.m_a.m_listener->Abort(request.m_id);
    }
  };
  f.m_b.m_handle = [&f](const HttpRequest& request) {
    f.m_b.Answer(request, 200, WorkspaceJson("w", 5));
  };
  CHECK(ApplyResources(f.m_context,
                       R"([{"kind":"workspace","resource":{"name":"w"}}])",
                       std::nullopt) == ExitCode::kOk);
  REQUIRE(f.m_a.m_requests.size() == 2);
  REQUIRE(f.m_b.m_requests.size() == 1);
  const auto token =
      FindField(f.m_a.m_requests[1].m_headers, "x-request-token");
  CHECK_FALSE(token.empty());
  CHECK(token == FindField(f.m_b.m_requests[0].m_headers, "x-request-token"));
}

TEST_CASE("a conflict is reported with the current version and not repeated") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    const ProblemResponse answer = MakeProblem(
        {.m_code = ProblemCode::kConflict, .m_current_version = 12});
    f.m_a.Answer(request, answer.m_status, answer.m_body);
  };
  CHECK(DeleteResource(f.m_context, "route", "r", 3) == ExitCode::kServer);
  REQUIRE(f.m_a.m_requests.size() == 1);
  CHECK(FindField(f.m_a.m_requests[0].m_query, "resource_version") == "3");
  CHECK(f.m_errors.str().find("current version 12") != std::string::npos);
}

TEST_CASE("an error in any object keeps apply from writing the others") {
  Fixture f;
  const std::string valid = R"({"kind":"workspace","resource":{"name":"w"}})";
  for (const std::string invalid :
       {R"({"kind":"workspace","resource":{"name":"x","wight":1}})",
        R"({"kind":"workspaces","resource":{"name":"x"}})",
        R"({"kind":"workspace","resource":{}})", R"({"kind":"workspace"})",
        R"({"kind":"key","resource":{"name":"k","workspace":"w"}})", R"(7)"}) {
    INFO(invalid);
    CHECK(ApplyResources(f.m_context, "[" + valid + "," + invalid + "]",
                         std::nullopt) == ExitCode::kInvalidInput);
  }
  CHECK(f.m_a.m_requests.empty());
}

TEST_CASE("a key's secret is hashed and never sent") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    f.m_a.Answer(request, request.m_method == "GET" ? 404 : 200, "{}");
  };
  CHECK(ApplyResources(f.m_context,
                       R"({"kind":"key","resource_version":0,)"
                       R"("resource":{"name":"k","workspace":"w"}})",
                       "hunter2") == ExitCode::kOk);
  REQUIRE(f.m_a.m_requests.size() == 1);
  const std::string& body = f.m_a.m_requests[0].m_body;
  CHECK(body.find("hunter2") == std::string::npos);
  CHECK(body.find(Sha256Hex("hunter2")) != std::string::npos);
  CHECK(Sha256Hex("abc").substr(0, 8) == "ba7816bf");
}

TEST_CASE("a watch goes on at another server without gaps or repeats") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    if (request.m_path != "/api/v1/watch") {
      f.m_a.Answer(request, 200,
                   R"({"resource_version":"5","items":[)" +
                       WorkspaceJson("old", 4) + "]}");
      return;
    }
    f.m_a.m_listener->StartStream(request.m_id, 200, {});
    f.m_a.m_listener->Write(request.m_id, EventText("put", "old", 4) +
                                              EventText("put", "new", 6) +
                                              EventText("delete", "old", 8));
    f.m_loop.StartTimer(std::chrono::milliseconds(50), [&f, request] {
      f.m_a.m_listener->Abort(request.m_id);
    });
  };
  f.m_b.m_handle = [&f](const HttpRequest& request) {
    f.m_b.m_listener->StartStream(request.m_id, 200, {});
    f.m_b.m_listener->Write(request.m_id, EventText("delete", "old", 8) +
                                              EventText("put", "last", 9));
  };
  CHECK(WatchResources(f.m_context, {.m_kind = "workspace", .m_limit = 4}) ==
        ExitCode::kOk);
  CHECK(f.m_out.str() ==
        "4  put  workspace old\n6  put  workspace new\n"
        "8  delete  workspace old\n9  put  workspace last\n");
  CHECK(FindField(f.m_a.m_requests.back().m_query, "from") == "5");
  CHECK(FindField(f.m_b.m_requests.at(0).m_query, "from") == "8");
}

TEST_CASE("a watch that fell behind shows what changed since") {
  Fixture f;
  int lists = 0;
  f.m_a.m_handle = [&f, &lists](const HttpRequest& request) {
    if (request.m_path == "/api/v1/watch") {
      f.m_a.Answer(request, 410, "{}");
    } else if (++lists == 1) {
      f.m_a.Answer(request, 200,
                   R"({"resource_version":"5","items":[)" +
                       WorkspaceJson("gone", 4) + "," +
                       WorkspaceJson("same", 5) + "]}");
    } else {
      f.m_a.Answer(request, 200,
                   R"({"resource_version":"90","items":[)" +
                       WorkspaceJson("same", 5) + "," +
                       WorkspaceJson("new", 80) + "]}");
    }
  };
  CHECK(WatchResources(f.m_context, {.m_kind = "workspace", .m_limit = 4}) ==
        ExitCode::kOk);
  CHECK(f.m_out.str() ==
        "4  put  workspace gone\n5  put  workspace same\n"
        "80  put  workspace new\n90  delete  workspace gone\n");
}

TEST_CASE("status shows each server and fails if one does not answer") {
  Fixture f;
  f.m_session.m_options.m_servers = {
      f.m_a.m_url, "http://127.0.0.1:" + std::to_string(FreePort())};
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    f.m_a.Answer(request, 200,
                 R"({"name":"e1","admits":true,"duties":["usage"]})");
  };
  CHECK(ShowStatus(f.m_context) == ExitCode::kServer);
  CHECK(f.m_out.str().find("e1") != std::string::npos);
  CHECK(f.m_out.str().find("usage") != std::string::npos);
  CHECK_FALSE(f.m_errors.str().empty());
}

TEST_CASE("get shows fields in a table or the JSON of the server") {
  Fixture f;
  f.m_a.m_handle = [&f](const HttpRequest& request) {
    f.m_a.Answer(request, 200, WorkspaceJson("w", 3));
  };
  CHECK(GetResources(f.m_context, "workspace", "w") == ExitCode::kOk);
  CHECK(f.m_out.str() ==
        "name  weight  queue_requests  version\nw     0       0               "
        "3\n");
}

TEST_CASE("the help of each subcommand names its flags and no others pass") {
  for (const Command& command : Commands()) {
    std::ostringstream help;
    WriteCommandHelp(command, help);
    for (const std::string_view flag : command.m_flags) {
      CHECK(help.str().find("-" + std::string(flag)) != std::string::npos);
    }
    std::ostringstream errors;
    CHECK_FALSE(ParseArguments(command, {"--undefok=x"}, errors).m_valid);
    CHECK(ParseArguments(command, {"--help"}, errors).m_help);
  }
}

TEST_CASE("flags take their value after a space or an equals sign") {
  const Command command{"x", "", "", "", {"f", "limit"}, nullptr};
  std::ostringstream errors;
  const auto parsed =
      ParseArguments(command, {"-f", "a.json", "rest", "--limit=3"}, errors);
  CHECK(parsed.m_valid);
  CHECK(parsed.m_positional == std::vector<std::string>{"rest"});
  CHECK_FALSE(ParseArguments(command, {"--limit=x"}, errors).m_valid);
  CHECK_FALSE(ParseArguments(command, {"--limit"}, errors).m_valid);
}

}  // namespace
}  // namespace comfreypaddle
