#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "curlclient.h"
#include "listener.h"
#include "sse.h"
#include "support.h"

namespace comfreypaddle {
namespace {

using testing::FreePort;
using testing::RunUntil;

constexpr Duration kTestTimeout = std::chrono::seconds(5);

// Listener and client in one event loop; records the callbacks of both.
struct Fixture {
  explicit Fixture(ListenerOptions options = {}) {
    options.m_port = FreePort();
    m_url = "http://127.0.0.1:" + std::to_string(options.m_port);
    m_port = options.m_port;
    m_listener.emplace(
        m_loop, options,
        [this](const HttpRequest& request) {
          m_requests.push_back(request);
          if (m_on_request) m_on_request(request);
        },
        [this](std::uint64_t id) { m_disconnected.push_back(id); });
    REQUIRE_FALSE(m_listener->Open());
    m_client.emplace(m_loop);
  }

  HttpPort::CallId Call(HttpCall call) {
    HttpEvents events;
    events.m_on_head = [this](int status, const HttpFields& headers) {
      m_status = status;
      m_headers = headers;
    };
    events.m_on_body = [this](std::string_view bytes) { m_body += bytes; };
    events.m_on_end = [this](const HttpResult& result) { m_result = result; };
    return m_client->Start(std::move(call), events);
  }

  bool Ended() {
    return RunUntil(m_loop, kTestTimeout,
                    [this] { return m_result.has_value(); });
  }

  EventLoop m_loop;
  std::uint16_t m_port = 0;
  std::string m_url;
  std::function<void(const HttpRequest&)> m_on_request;
  std::vector<HttpRequest> m_requests;
  std::vector<std::uint64_t> m_disconnected;
  int m_status = 0;
  HttpFields m_headers;
  std::string m_body;
  std::optional<HttpResult> m_result;
  std::optional<Listener> m_listener;
  std::optional<CurlClient> m_client;
};

int ConnectTo(std::uint16_t port) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(socket_fd, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  return socket_fd;
}

TEST_CASE("a complete response reaches the caller") {
  Fixture fixture;
  fixture.m_on_request = [&fixture](const HttpRequest& request) {
    fixture.m_listener->Respond(request.m_id, 201, {{"X-Test", "yes"}},
                                "got " + request.m_body);
  };
  fixture.Call({.m_method = "POST",
                .m_url = fixture.m_url + "/a?b=c",
                .m_body = "hello"});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_status == 201);
  CHECK(fixture.m_body == "got hello");
  CHECK(FindField(fixture.m_headers, "x-test") == "yes");
  CHECK(fixture.m_requests.at(0).m_path == "/a");
  CHECK(FindField(fixture.m_requests.at(0).m_query, "b") == "c");
}

TEST_CASE("a streamed response arrives in pieces and completes") {
  Fixture fixture;
  fixture.m_on_request = [&fixture](const HttpRequest& request) {
    fixture.m_loop.StartTimer(
        std::chrono::milliseconds(20), [&fixture, request] {
          fixture.m_listener->StartStream(request.m_id, 200, {});
          fixture.m_listener->Write(request.m_id, "one ");
          fixture.m_loop.StartTimer(
              std::chrono::milliseconds(20), [&fixture, request] {
                fixture.m_listener->Write(request.m_id, "two");
                fixture.m_listener->FinishStream(request.m_id);
              });
        });
  };
  fixture.Call({.m_url = fixture.m_url + "/"});
  REQUIRE(fixture.Ended());
  CHECK_FALSE(fixture.m_result->m_error);
  CHECK(fixture.m_body == "one two");
  CHECK(RunUntil(fixture.m_loop, kTestTimeout, [&fixture] {
    return fixture.m_listener->OpenRequests() == 0;
  }));
  CHECK(fixture.m_disconnected.empty());
}

TEST_CASE("an aborted stream ends the call with a connection error") {
  Fixture fixture;
  fixture.m_on_request = [&fixture](const HttpRequest& request) {
    fixture.m_listener->StartStream(request.m_id, 200, {});
    fixture.m_listener->Write(request.m_id, "part");
    fixture.m_loop.StartTimer(
        std::chrono::milliseconds(30),
        [&fixture, request] { fixture.m_listener->Abort(request.m_id); });
  };
  fixture.Call({.m_url = fixture.m_url + "/"});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_result->m_error == HttpError::kConnectionLost);
  CHECK(fixture.m_body == "part");
}

TEST_CASE("a disconnect of a waiting caller is detected") {
  Fixture fixture;
  const auto id = fixture.Call({.m_url = fixture.m_url + "/"});
  REQUIRE(RunUntil(fixture.m_loop, kTestTimeout,
                   [&fixture] { return fixture.m_requests.size() == 1; }));
  fixture.m_client->Cancel(id);
  CHECK(RunUntil(fixture.m_loop, kTestTimeout,
                 [&fixture] { return fixture.m_disconnected.size() == 1; }));
  CHECK_FALSE(fixture.m_result.has_value());
}

TEST_CASE("an unresponsive server ends the call with the inactivity error") {
  Fixture fixture;
  fixture.Call({.m_url = fixture.m_url + "/",
                .m_inactivity_timeout = std::chrono::milliseconds(200)});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_result->m_error == HttpError::kInactivityTimeout);
  CHECK(fixture.m_result->m_sent);
}

TEST_CASE("a refused connection counts as not sent") {
  Fixture fixture;
  fixture.Call(
      {.m_url = "http://127.0.0.1:" + std::to_string(FreePort()) + "/"});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_result->m_error == HttpError::kConnectFailed);
  CHECK_FALSE(fixture.m_result->m_sent);
}

TEST_CASE("a body over the limit is rejected and not passed on") {
  ListenerOptions options;
  options.m_max_body_bytes = 1000;
  Fixture fixture(options);
  fixture.Call({.m_method = "POST",
                .m_url = fixture.m_url + "/",
                .m_body = std::string(5000, 'x')});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_status == 413);
  CHECK(fixture.m_requests.empty());
}

TEST_CASE("a request head over the limit is rejected") {
  Fixture fixture;
  fixture.Call({.m_url = fixture.m_url + "/",
                .m_headers = {{"X-Large", std::string(60000, 'x')}}});
  REQUIRE(fixture.Ended());
  CHECK(fixture.m_status >= 400);
  CHECK(fixture.m_requests.empty());
}

TEST_CASE("a caller that never completes its request is disconnected") {
  ListenerOptions options;
  options.m_request_timeout = std::chrono::milliseconds(300);
  Fixture fixture(options);
  const int socket_fd = ConnectTo(fixture.m_port);
  const std::string partial_head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Le";
  REQUIRE(send(socket_fd, partial_head.data(), partial_head.size(), 0) > 0);
  CHECK(RunUntil(fixture.m_loop, kTestTimeout, [socket_fd] {
    char byte = 0;
    return recv(socket_fd, &byte, 1, MSG_DONTWAIT) == 0;
  }));
  close(socket_fd);
}

TEST_CASE("a connection serves several requests one after the other") {
  Fixture fixture;
  fixture.m_on_request = [&fixture](const HttpRequest& request) {
    fixture.m_listener->Respond(request.m_id, 200, {}, "ok");
  };
  for (int i = 0; i < 3; ++i) {
    fixture.m_result.reset();
    fixture.Call({.m_url = fixture.m_url + "/"});
    REQUIRE(fixture.Ended());
    CHECK(fixture.m_status == 200);
  }
  CHECK(fixture.m_disconnected.empty());
}

TEST_CASE("server-sent events are parsed however the bytes are split") {
  const std::string text =
      ": heartbeat\n\nid: 7\ndata: {\"a\":1}\n\nevent: done\r\ndata: x\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    std::string parsed;
    SseParser parser([&parsed](const SseEvent& event) {
      parsed += std::string(event.m_event) + "|" + std::to_string(event.m_id) +
                "|" + std::string(event.m_data) + ";";
    });
    for (std::size_t i = 0; i < text.size(); i += step) {
      CHECK(parser.Feed(std::string_view(text).substr(i, step)));
    }
    CHECK(parsed == "|7|{\"a\":1};done|0|x;");
  }
}

// Guards against targets that routes, keys in the query or the endpoint would
// see in another form.
TEST_CASE("the path and the query of a target are decoded") {
  HttpRequest request;
  request.m_target = "/a%20b%zz+c?x=1%262&y+z=%2B&&empty&=v";
  DecodeTarget(request);
  CHECK(request.m_path == "/a b%zz+c");
  std::string query;
  for (const HttpField& field : request.m_query) {
    query += field.m_name + ":" + field.m_value + ";";
  }
  CHECK(query == "x:1&2;y z:+;empty:;:v;");
}

// Guards against streams that are kept without bound for callers that do not
// read: each is within its own limit, their sum is not.
TEST_CASE("the slowest reader is cut off when all leave too much unread") {
  ListenerOptions options;
  options.m_unread_bytes = 14U << 20U;
  Fixture fixture(options);
  const std::string part(1U << 20U, 'x');
  fixture.m_on_request = [&](const HttpRequest& request) {
    fixture.m_listener->StartStream(request.m_id, 200, {});
    const std::size_t parts = fixture.m_requests.size() == 1 ? 13 : 12;
    for (std::size_t i = 0; i < parts; ++i) {
      fixture.m_listener->Write(request.m_id, part);
    }
  };
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<int> callers;
  for (std::size_t i = 1; i <= 2; ++i) {
    callers.push_back(ConnectTo(fixture.m_port));
    REQUIRE(send(callers.back(), request.data(), request.size(), 0) > 0);
    REQUIRE(RunUntil(fixture.m_loop, kTestTimeout,
                     [&] { return fixture.m_requests.size() == i; }));
  }
  CHECK(RunUntil(fixture.m_loop, kTestTimeout,
                 [&] { return !fixture.m_disconnected.empty(); }));
  REQUIRE(fixture.m_disconnected.size() == 1);
  CHECK(fixture.m_disconnected.front() == fixture.m_requests.front().m_id);
  for (const int caller : callers) close(caller);
}

// Guards against a caller that stops reading and keeps its stream for good.
TEST_CASE("a caller that reads nothing of its stream is cut off") {
  ListenerOptions options;
  options.m_unread_timeout = std::chrono::milliseconds(300);
  Fixture fixture(options);
  fixture.m_on_request = [&](const HttpRequest& request) {
    fixture.m_listener->StartStream(request.m_id, 200, {});
    fixture.m_listener->Write(request.m_id, std::string(12U << 20U, 'x'));
  };
  const int caller = ConnectTo(fixture.m_port);
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(send(caller, request.data(), request.size(), 0) > 0);
  CHECK(RunUntil(fixture.m_loop, kTestTimeout,
                 [&] { return fixture.m_disconnected.size() == 1; }));
  close(caller);
}

// Guards against a body, or the end of a chunked one, behind responses that
// have none: the caller would read it as the begin of the next response.
TEST_CASE("a streamed response without a body is followed by the next one") {
  Fixture fixture;
  int status = 200;
  std::string first = "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n";
  SUBCASE("HEAD") {}
  SUBCASE("no content") {
    status = 204;
    first.replace(0, 4, "GET");
  }
  fixture.m_on_request = [&](const HttpRequest& request) {
    if (request.m_path == "/next") {
      fixture.m_listener->Respond(request.m_id, 200, {}, "next");
      return;
    }
    fixture.m_listener->StartStream(request.m_id, status, {});
    fixture.m_listener->Write(request.m_id, "body");
    fixture.m_listener->FinishStream(request.m_id);
  };
  const std::string both = first + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  const int caller = ConnectTo(fixture.m_port);
  REQUIRE(send(caller, both.data(), both.size(), 0) > 0);
  std::string received;
  CHECK(RunUntil(fixture.m_loop, kTestTimeout, [&] {
    char bytes[512];
    const ssize_t count = recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
    return received.find("next") != std::string::npos;
  }));
  const std::size_t end = received.find("\r\n\r\n") + 4;
  CHECK(received.compare(end, 9, "HTTP/1.1 ") == 0);
  close(caller);
}

// Guards against a drain that ends while a request is arriving.
TEST_CASE("a request whose body arrives counts as open") {
  Fixture fixture;
  const int caller = ConnectTo(fixture.m_port);
  const std::string part =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf";
  REQUIRE(send(caller, part.data(), part.size(), 0) > 0);
  CHECK(RunUntil(fixture.m_loop, kTestTimeout, [&fixture] {
    return fixture.m_listener->OpenRequests() == 1;
  }));
  CHECK(fixture.m_requests.empty());
  close(caller);
}

// Guards against a request that is passed on to an owner that is ending.
TEST_CASE(
    "a request that arrives as the listener is destroyed is not passed on") {
  Fixture f;
  const int descriptor = ConnectTo(f.m_port);
  const auto send_request = [descriptor] {
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size()));
  };
  std::size_t passed_on = 0;
  SUBCASE("the first request of its connection") {
    // The connection is accepted, and the request waits in the socket.
    RunUntil(f.m_loop, std::chrono::milliseconds(200), [] { return false; });
    send_request();
  }
  SUBCASE("behind another one") {
    send_request();
    RunUntil(f.m_loop, kTestTimeout, [&f] { return !f.m_requests.empty(); });
    passed_on = 1;
    send_request();
  }
  f.m_listener.reset();
  CHECK(f.m_requests.size() == passed_on);
  close(descriptor);
}

}  // namespace
}  // namespace comfreypaddle
