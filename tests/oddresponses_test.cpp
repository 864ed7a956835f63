// A faulty server may answer before it has read the request, end its connection
// in any way, or send a head that is no response. The HTTP clients must end
// such a call at once, and must not take a part of a response for all of it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <thread>

#include "curlclient.h"
#include "httpclient.h"
#include "sockets.h"
#include "support.h"

namespace comfreypaddle {
namespace {

using testing::RunUntil;

constexpr unsigned kSeed = 20261206;
constexpr Duration kCallTimeout = std::chrono::seconds(15);
constexpr Duration kTestTimeout = std::chrono::seconds(20);

// Limit for calls that must end although the server keeps the connection open.
constexpr Duration kPromptly = std::chrono::seconds(2);

// How a server ends its connection.
enum class Ending {
  kClose,      // Orderly close.
  kHalfClose,  // Closes its side, and the other one once the client has closed.
  kHalfCloseThenReset,
  kReset,
  kKeepOpen,  // Until the client closes.
};

template <typename Value>
Value PickFrom(std::mt19937& random, const std::vector<Value>& values) {
  return values[random() % values.size()];
}

// Read limit that no request reaches.
constexpr std::size_t kWholeRequest = 1U << 30U;

// What a server does with one connection, in this order.
struct Script {
  std::size_t m_upload = 0;  // Size of the request's body, bytes.
  // Bytes read before the response, at most the request.
  std::size_t m_read_first = 0;
  std::chrono::milliseconds m_delay{0};
  std::string m_response;
  std::chrono::milliseconds m_end_delay{0};
  std::size_t m_read_last = 0;  // Bytes read after the response, likewise.
  Ending m_ending = Ending::kClose;
  std::chrono::milliseconds m_reset_delay{0};
};

// Serves one connection on its own thread with blocking calls.
class ScriptedServer {
 public:
  explicit ScriptedServer(Script script)
      : m_script(std::move(script)), m_listener(ListenTcp("127.0.0.1", 0)) {
    REQUIRE(m_listener >= 0);
    // Keeps most of an upload on the side of the client.
    constexpr int kReceiveBytes = 16384;
    setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
               sizeof(kReceiveBytes));
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
    m_thread = std::thread([this] { Serve(); });
  }
  ~ScriptedServer() {
    m_call_ended = true;
    Join();
    close(m_listener);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& Url() const { return m_url; }

  bool ClosedByClient() const { return m_closed_by_client; }

  // Ends the wait for the client's close.
  void OnCallEnded() { m_call_ended = true; }

  void Join() {
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  void Serve() {
    pollfd connection{m_listener, POLLIN, 0};
    constexpr int kConnectMs = 5000;
    if (poll(&connection, 1, kConnectMs) <= 0) return;
    m_descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (m_descriptor < 0) return;
    const timeval limit{5, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    Read(m_script.m_read_first);
    std::this_thread::sleep_for(m_script.m_delay);
    send(m_descriptor, m_script.m_response.data(), m_script.m_response.size(),
         MSG_NOSIGNAL);
    std::this_thread::sleep_for(m_script.m_end_delay);
    Read(m_script.m_read_last);
    End();
    close(m_descriptor);
  }

  void Read(std::size_t limit) {
    std::string buffer(64U << 10U, '\0');
    while (m_bytes_read < std::min(limit, m_request_bytes)) {
      const std::size_t left = std::min(limit, m_request_bytes) - m_bytes_read;
      const ssize_t count =
          recv(m_descriptor, buffer.data(), std::min(buffer.size(), left), 0);
      if (count <= 0) return;
      m_bytes_read += static_cast<std::size_t>(count);
      if (m_request_bytes != kWholeRequest) continue;
      m_head.append(buffer, 0, static_cast<std::size_t>(count));
      const std::size_t end = m_head.find("\r\n\r\n");
      if (end != std::string::npos) {
        m_request_bytes = end + 4 + m_script.m_upload;
      }
    }
  }

  void End() {
    if (m_script.m_ending == Ending::kHalfClose ||
        m_script.m_ending == Ending::kHalfCloseThenReset) {
      shutdown(m_descriptor, SHUT_WR);
    }
    if (m_script.m_ending == Ending::kHalfClose ||
        m_script.m_ending == Ending::kKeepOpen) {
      // Waits without reading, so that the rest of an upload stays unread. The
      // client's close may then wait behind that rest.
      pollfd event{m_descriptor, POLLRDHUP, 0};
      constexpr int kPollMs = 10;
      int closed = 0;
      while (!m_call_ended && closed == 0) closed = poll(&event, 1, kPollMs);
      m_closed_by_client = closed > 0;
    }
    if (m_script.m_ending == Ending::kHalfCloseThenReset) {
      std::this_thread::sleep_for(m_script.m_reset_delay);
    }
    if (m_script.m_ending == Ending::kReset ||
        m_script.m_ending == Ending::kHalfCloseThenReset) {
      const linger reset{1, 0};
      setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
  }

  Script m_script;
  int m_listener;
  int m_descriptor = -1;
  std::atomic<bool> m_call_ended = false;
  std::atomic<bool> m_closed_by_client = false;
  std::string m_url;
  std::string m_head;
  std::size_t m_bytes_read = 0;
  std::size_t m_request_bytes = kWholeRequest;  // Until its head is read.
  std::thread m_thread;
};

// Call to a scripted server and what its client reported.
struct Exchange {
  explicit Exchange(const Script& script) : m_server(script) {}

  void Start(HttpPort& port, std::size_t upload = 0) {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = m_server.Url();
    call.m_body.assign(upload, 'u');
    call.m_connect_timeout = kCallTimeout;  // Busy test machines.
    call.m_timeout = kCallTimeout;
    call.m_force_new_connection = true;
    HttpEvents events;
    events.m_on_head = [this](int /*status*/, const HttpFields&) {
      m_head_reported = true;
    };
    events.m_on_body = [this](std::string_view bytes) { m_body += bytes; };
    events.m_on_end = [this](const HttpResult& result) { m_result = result; };
    port.Start(std::move(call), std::move(events));
  }

  ScriptedServer m_server;
  bool m_head_reported = false;
  std::string m_body;
  std::optional<HttpResult> m_result;
};

// Both clients, by turns.
void ForEachClient(const std::function<void(EventLoop&, HttpPort&)>& check) {
  SUBCASE("HttpClient") {
    EventLoop loop;
    SocketSet sockets(loop);
    HttpClient client(sockets);
    check(loop, client);
  }
  SUBCASE("CurlClient") {
    EventLoop loop;
    CurlClient client(loop);
    check(loop, client);
  }
}

// Guards against a call that waits to its deadline after status 000, taken for
// an interim response, or that passes an invalid status on to the caller.
TEST_CASE("A response that no server may send ends the call as malformed") {
  const std::string rest = " x\r\nContent-Length: 2\r\n\r\nok";
  std::vector<std::string> responses;
  for (const char* status :
       {"000", "001", "099", "101", "600", "999", "0x1", "-20", "20", "2000"}) {
    responses.push_back("HTTP/1.1 " + std::string(status) + rest);
  }
  responses.push_back("HTTP/1.1 200 OK\r\nHTTP/1.1 200" + rest);
  responses.push_back(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "Content-Length: 7\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  responses.push_back("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok");
  responses.push_back(
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok");
  std::string interim = "HTTP/1.1 103 x\r\nLink: a\r\n\r\n";
  std::string flood;
  for (int i = 0; i <= kMaxInterimResponses; ++i) flood += interim;
  responses.push_back(flood + "HTTP/1.1 200" + rest);
  ForEachClient([&](EventLoop& loop, HttpPort& port) {
    for (const std::string& response : responses) {
      CAPTURE(response);
      Script script;
      script.m_response = response;
      script.m_ending = Ending::kKeepOpen;
      Exchange exchange(script);
      exchange.Start(port);
      CHECK(RunUntil(loop, kPromptly,
                     [&] { return exchange.m_result.has_value(); }));
      REQUIRE(RunUntil(loop, kTestTimeout,
                       [&] { return exchange.m_result.has_value(); }));
      CHECK(exchange.m_result->m_error);
      CHECK(exchange.m_result->m_status == 0);
      CHECK(exchange.m_result->m_sent);
      CHECK_FALSE(exchange.m_head_reported);
    }
  });
}

// Guards against valid responses that are refused with the invalid ones.
TEST_CASE("Interim responses and bodyless responses are accepted") {
  std::string interim;
  for (int i = 0; i < kMaxInterimResponses; ++i) {
    interim += "HTTP/1.1 103 x\r\nLink: a\r\n\r\n";
  }
  const std::vector<std::pair<std::string, std::string>> responses = {
      {interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
      {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
      {"HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nok", "ok"},
      {"HTTP/1.1 204 x\r\nContent-Length: 2\r\n\r\nok", ""},
      {"HTTP/1.1 304 x\r\nContent-Length: 2\r\n\r\nok", ""}};
  ForEachClient([&](EventLoop& loop, HttpPort& port) {
    for (const auto& [text, body] : responses) {
      const std::string& response = text;  // A lambda of CAPTURE refers to it.
      CAPTURE(response);
      Script script;
      script.m_response = response;
      script.m_ending = Ending::kKeepOpen;
      Exchange exchange(script);
      exchange.Start(port);
      REQUIRE(RunUntil(loop, kTestTimeout,
                       [&] { return exchange.m_result.has_value(); }));
      CHECK_FALSE(exchange.m_result->m_error);
      CHECK(exchange.m_body == body);
    }
  });
}

// Guards against the body of a response that has none, taken for the response
// to the next call.
TEST_CASE("A connection whose response may have a forbidden body is closed") {
  EventLoop loop;
  SocketSet sockets(loop);
  HttpClient client(sockets);
  for (const char* status : {"204", "304"}) {
    Script script;
    script.m_response = "HTTP/1.1 " + std::string(status) +
                        " x\r\nKeep-Alive: timeout=9\r\n"
                        "Content-Length: 2\r\n\r\n";
    script.m_ending = Ending::kKeepOpen;
    Exchange exchange(script);
    exchange.Start(client);
    REQUIRE(RunUntil(loop, kTestTimeout,
                     [&] { return exchange.m_result.has_value(); }));
    CHECK_FALSE(exchange.m_result->m_error);
    CHECK(RunUntil(loop, kPromptly,
                   [&] { return exchange.m_server.ClosedByClient(); }));
  }
}

// Which part of a response a server sends, and how its end is marked.
struct ResponsePlan {
  bool m_until_close = false;
  bool m_is_complete = false;  // As far as its length or chunks tell.
  std::string m_text;
  std::string m_body;
};

ResponsePlan PlanResponse(std::mt19937& random) {
  ResponsePlan plan;
  plan.m_body.assign(PickFrom<std::size_t>(random, {0, 10, 3000}), 'b');
  plan.m_is_complete = random() % 2 == 0;
  const std::string size =
      std::to_string(plan.m_body.size() + (plan.m_is_complete ? 0 : 1));
  plan.m_text = "HTTP/1.1 200 OK\r\n";
  switch (random() % 4) {
    case 0:
      plan.m_text += "Content-Length: " + size + "\r\n\r\n" + plan.m_body;
      break;
    case 1:
      plan.m_text += "Transfer-Encoding: chunked\r\n\r\n";
      for (const char byte : plan.m_body) {
        plan.m_text += "1\r\n" + std::string(1, byte) + "\r\n";
      }
      if (plan.m_is_complete) plan.m_text += "0\r\n\r\n";
      break;
    default:
      plan.m_until_close = true;
      plan.m_text += "\r\n" + plan.m_body;
      break;
  }
  return plan;
}

// One seeded order of events.
struct OrderCase {
  Script m_script;
  ResponsePlan m_plan;
  bool m_reads_request = false;  // The server reads the whole request.
};

// More than the server's receive buffer and less than the client's send buffer.
constexpr std::size_t kMediumUpload = 512U << 10U;
// More than both buffers.
constexpr std::size_t kLargeUpload = 6U << 20U;

OrderCase PlanOrder(std::mt19937& random) {
  const auto delay = [&random] {
    return std::chrono::milliseconds(
        PickFrom<int>(random, {0, 0, 0, 1, 5, 20, 100, 300}));
  };
  constexpr std::size_t kPart = 70'000;
  OrderCase order;
  order.m_plan = PlanResponse(random);
  Script& script = order.m_script;
  script.m_upload =
      PickFrom<std::size_t>(random, {0, kMediumUpload, kLargeUpload});
  script.m_response = order.m_plan.m_text;
  script.m_delay = delay();
  script.m_end_delay = delay();
  script.m_reset_delay = delay();
  script.m_ending =
      PickFrom<Ending>(random, {Ending::kClose, Ending::kHalfClose,
                                Ending::kHalfCloseThenReset, Ending::kReset});
  script.m_read_first =
      PickFrom<std::size_t>(random, {0, 1, kPart, kWholeRequest});
  script.m_read_last = random() % 3 == 0 ? kWholeRequest : 0;
  const std::size_t read = std::max(script.m_read_first, script.m_read_last);
  order.m_reads_request =
      read == kWholeRequest || (read == kPart && script.m_upload == 0);
  return order;
}

// Whether the client must not report the response as whole.
bool MustFail(const OrderCase& order) {
  if (!order.m_plan.m_until_close) return !order.m_plan.m_is_complete;
  const Ending ending = order.m_script.m_ending;
  if (ending == Ending::kReset) return true;
  if (order.m_reads_request) return false;
  // A close with unread input is a reset; the server's socket takes a request
  // without a body whole, though its program does not read it.
  return ending == Ending::kClose || order.m_script.m_upload > 0;
}

bool MustSucceed(const OrderCase& order) {
  const Ending ending = order.m_script.m_ending;
  const bool orderly = ending == Ending::kClose || ending == Ending::kHalfClose;
  return order.m_reads_request && orderly &&
         (order.m_plan.m_until_close || order.m_plan.m_is_complete);
}

std::string Describe(const OrderCase& order) {
  const Script& script = order.m_script;
  std::string text;
  for (const auto value :
       {static_cast<std::int64_t>(script.m_upload),
        static_cast<std::int64_t>(script.m_read_first),
        static_cast<std::int64_t>(script.m_delay.count()),
        static_cast<std::int64_t>(order.m_plan.m_body.size()),
        static_cast<std::int64_t>(script.m_end_delay.count()),
        static_cast<std::int64_t>(script.m_read_last),
        static_cast<std::int64_t>(script.m_ending),
        static_cast<std::int64_t>(script.m_reset_delay.count())}) {
    text += std::to_string(value) + " ";
  }
  return text + script.m_response.substr(0, 50);
}

void CheckOrder(const OrderCase& order, const Exchange& exchange) {
  CAPTURE(Describe(order));
  REQUIRE(exchange.m_result.has_value());
  const bool succeeded = !exchange.m_result->m_error;
  CHECK_FALSE(exchange.m_result->m_error == HttpError::kTimeout);
  if (MustFail(order)) CHECK_FALSE(succeeded);
  if (MustSucceed(order)) CHECK(succeeded);
  const std::string& body = order.m_plan.m_body;
  CHECK(body.substr(0, exchange.m_body.size()) == exchange.m_body);
  if (succeeded) CHECK(exchange.m_body.size() == body.size());
}

// Guards against a part of a response without a length that is taken for all of
// it, because the connection ended while the request was being written, and
// against whole responses that are refused. The error of such a connection is
// seen by the write, the read or neither, depending on the order.
TEST_CASE("A response that ends with its connection is whole or fails") {
  constexpr int kBatches = 10;
  constexpr int kCasesPerBatch = 24;
  ForEachClient([&](EventLoop& loop, HttpPort& port) {
    std::mt19937 random(kSeed);
    for (int batch = 0; batch < kBatches; ++batch) {
      std::vector<OrderCase> orders;
      std::vector<std::unique_ptr<Exchange>> exchanges;
      for (int i = 0; i < kCasesPerBatch; ++i) {
        orders.push_back(PlanOrder(random));
        const Script& script = orders.back().m_script;
        exchanges.push_back(std::make_unique<Exchange>(script));
        exchanges.back()->Start(port, script.m_upload);
      }
      CHECK(RunUntil(loop, kTestTimeout, [&] {
        return std::all_of(exchanges.begin(), exchanges.end(),
                           [](const auto& exchange) {
                             return exchange->m_result.has_value();
                           });
      }));
      for (std::size_t i = 0; i < orders.size(); ++i) {
        exchanges[i]->m_server.OnCallEnded();
        exchanges[i]->m_server.Join();
        CheckOrder(orders[i], *exchanges[i]);
      }
    }
  });
}

// What a parser made of some bytes.
struct ParsedBytes : public HttpMessageHandler {
  void OnHead(HttpHead head) override {
    m_statuses.push_back(head.m_status);
    m_until_close = head.m_body_until_close;
  }
  void OnBody(std::string_view bytes) override { m_body += bytes; }

  std::vector<int> m_statuses;
  std::string m_body;
  bool m_until_close = false;
  bool m_done = false;
  ParseError m_error = ParseError::kNone;
};

// Parses one response whose bytes arrive in pieces of up to this size.
ParsedBytes ParseInPieces(std::string_view bytes, std::size_t largest,
                          std::mt19937& random) {
  ParsedBytes parsed;
  HttpParser parser(HttpMessageKind::kResponse, ParseLimits{}, parsed);
  while (!bytes.empty() && !parser.IsDone() &&
         parser.Error() == ParseError::kNone) {
    const std::size_t size = std::min(bytes.size(), 1 + random() % largest);
    const std::size_t used = parser.Feed(bytes.substr(0, size));
    REQUIRE(used <= size);
    if (!parser.IsDone()) REQUIRE(used == size);
    bytes.remove_prefix(used);
  }
  parsed.m_error = parser.Error();
  parsed.m_done = parser.IsDone();
  return parsed;
}

// Returns a response with some odd parts and some bytes changed.
std::string DrawResponse(std::mt19937& random) {
  const auto pick = [&random](const std::string& usual,
                              const std::vector<std::string>& odd) {
    return random() % 5 == 0 ? PickFrom(random, odd) : usual;
  };
  std::string text = pick("HTTP/1.1", {"HTTP/1.0", "HTTP/9.9", "HTTP"});
  text += pick(" ", {"", "  ", "\t"});
  text +=
      pick("200", {"204", "304", "000", "100", "101", "-20", "9999", "600"});
  text +=
      pick(" OK\r\n", {" \r\n", "\r\n", "\n", " OK\r\nHTTP/1.1 200 OK\r\n"});
  for (std::size_t fields = random() % 4; fields > 0; --fields) {
    text +=
        pick("Content-Length: 4",
             {"Content-Length: -4", "Content-Length: ", "Content-Length: 4, 4",
              "Content-Length: 99999999999999999999",
              "Transfer-Encoding: chunked", "Transfer-Encoding: gzip",
              "Connection: close", "X: y", " folded", ": none", "none"});
    text += pick("\r\n", {"\n", "\r"});
  }
  text += pick("\r\n", {"\n", ""});
  text += pick("body", {"4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n", "g\r\n",
                        "ffffffffffffffffff\r\n", ""});
  for (std::size_t changes = random() % 3; changes > 0; --changes) {
    text[random() % text.size()] = static_cast<char>(random() % 256);
  }
  return text;
}

// Guards against bytes that crash the parser, make it wait or yield an invalid
// status, and against a result that depends on how the bytes arrive.
TEST_CASE("The response parser accepts only valid heads, in any pieces") {
  constexpr int kResponses = 20'000;
  constexpr Duration kMaxTime = std::chrono::seconds(10);
  std::mt19937 random(kSeed);
  const Instant start = Now();
  int accepted = 0;
  for (int i = 0; i < kResponses && Now() - start < kMaxTime; ++i) {
    const std::string response = DrawResponse(random);
    CAPTURE(response);
    const ParsedBytes whole = ParseInPieces(response, response.size(), random);
    const ParsedBytes pieces = ParseInPieces(response, 3, random);
    REQUIRE(whole.m_statuses == pieces.m_statuses);
    REQUIRE(whole.m_body == pieces.m_body);
    // Without the end of its head, an error may be found later.
    if (response.find("\r\n\r\n") != std::string::npos) {
      REQUIRE(whole.m_error == pieces.m_error);
    }
    REQUIRE(whole.m_done == pieces.m_done);
    REQUIRE(whole.m_statuses.size() <= 1);
    if (whole.m_statuses.empty()) continue;
    ++accepted;
    REQUIRE(IsResponseStatus(whole.m_statuses.front()));
    if (whole.m_done) REQUIRE(whole.m_body.size() <= 4);
  }
  CHECK(accepted > kResponses / 50);
}

}  // namespace
}  // namespace comfreypaddle
