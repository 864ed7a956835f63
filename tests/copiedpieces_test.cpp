#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <optional>

#include "httpclient.h"
#include "platform/headerwireformat.h"
#include "support.h"

namespace comfreypaddle {
namespace {

// More than the kernel buffers of a connection.
constexpr std::size_t kLargeBody = 16U << 20U;

// Maximum number of bytes that the client reads at once.
constexpr std::size_t kReadSize = 32U << 10U;

// Reset of a connection while the client asks the kernel whether it was made.
struct PlannedReset {
  int m_server_end;
  bool m_before_answer;
};

std::optional<PlannedReset> planned_reset;

void Close(int descriptor, bool is_reset) {
  const linger reset{is_reset ? 1 : 0, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(descriptor);
}

// Carries out the planned reset. It stays planned unless the client end has it.
void ResetNow(int client_end) {
  Close(planned_reset->m_server_end, true);
  pollfd waiting{client_end, 0, 0};
  if (poll(&waiting, 1, 5000) == 1) planned_reset.reset();
}

std::string Response(int status, const std::string& id,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nKeep-Alive: timeout=9" +
         (id.empty() ? "" : "\r\nAttempt-Id: " + id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Client, and server whose connections the test reads and writes itself.
struct Fixture {
  ~Fixture() {
    close(m_listener);
    for (const int connection : m_connections) close(connection);
  }

  // Starts a call with the id and the match of a request to an endpoint.
  void Call(const std::string& id, std::size_t body_size = 0) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    HttpCall call;
    call.m_method = "POST";
    call.m_url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    call.m_body.assign(body_size, 'x');
    call.m_request_id = id;
    call.m_match_response = [id](const HttpFields& fields) {
      return platform::HeaderWireFormat().MatchAttempt(fields, id);
    };
    m_result.reset();
    m_body.clear();
    HttpEvents events;
    events.m_on_body = [this](std::string_view bytes) { m_body += bytes; };
    events.m_on_end = [this](const HttpResult& result) {
      m_result = result;
      m_loop.Stop();
      if (m_then) std::exchange(m_then, nullptr)();
    };
    m_client.Start(std::move(call), events);
  }

  // Server end of the connection that the client opened last.
  int Server() {
    if (m_connections.size() == Opened()) return m_connections.back();
    pollfd waiting{m_listener, POLLIN, 0};
    REQUIRE(poll(&waiting, 1, 5000) == 1);
    const int on = 1;  // Each piece is sent at once.
    m_connections.push_back(accept(m_listener, nullptr, nullptr));
    setsockopt(m_connections.back(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return m_connections.back();
  }

  // As above, for a test that closes it.
  int TakeServer() {
    Server();
    return std::exchange(m_connections.back(), -1);
  }

  // The client may have closed the connection.
  void Send(std::string_view bytes, std::optional<int> connection = {}) {
    send(connection.value_or(Server()), bytes.data(), bytes.size(),
         MSG_NOSIGNAL);
  }

  // Returns how many bytes the server end has read now.
  std::size_t Read() {
    std::string buffer(kLargeBody / 8, '\0');
    const ssize_t count =
        recv(Server(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  void WaitFor(const std::function<bool()>& condition) {
    REQUIRE(testing::RunUntil(m_loop, std::chrono::seconds(5), condition));
  }

  void Ended() {
    WaitFor([this] { return m_result.has_value(); });
  }

  // Lets the client handle what has arrived.
  void Step() {
    m_loop.TakeOwnership();
    m_loop.StartTimer(Duration(0), [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  // Sends the response and waits for the end of the call.
  void End(int status, const std::string& id) {
    Send(Response(status, id, "own"));
    Ended();
    CHECK(m_result->m_status == status);
    CHECK(m_body == "own");
  }

  void Refuse(const std::string& id) {
    Call(id);
    End(503, id);
    Read();
  }

  // Checks that the next call is answered, on a connection of its own.
  void ExpectNewConnection(const std::string& id) {
    const std::uint64_t opened = Opened();
    Call(id);
    CHECK(Opened() == opened + 1);
    End(200, id);
  }

  std::uint64_t Opened() const { return m_client.Counters().m_opened; }
  std::uint64_t Unmatched() const {
    return m_client.Counters().m_unmatched_responses;
  }

  EventLoop m_loop;
  SocketSet m_sockets{m_loop};
  HttpClient m_client{m_sockets};
  int m_listener = ListenTcp("127.0.0.1", 0);
  std::vector<int> m_connections;
  std::function<void()> m_then;  // Runs once, within the end of a call.
  std::string m_body;
  std::optional<HttpResult> m_result;
};

// When the first piece of a copy is sent.
enum class Moment { kWithRefusal, kIdle, kIdleAndHandled, kNextCall };

// Sends a copy of a refusal in two pieces, the second one after the next call
// has begun. Returns whether that call used a new connection.
bool SendInPieces(Moment moment, const std::string& refusal, std::size_t cut) {
  Fixture f;
  const std::string piece = refusal.substr(0, cut);
  f.Call("first");
  const int connection = f.Server();
  if (moment == Moment::kWithRefusal) {
    f.m_then = [&f] { f.Call("second"); };
    f.Send(refusal + piece);
    f.WaitFor([&f] { return !f.m_then; });
  } else {
    f.Send(refusal);
    f.Ended();
    if (moment != Moment::kNextCall) f.Send(piece);
    if (moment == Moment::kIdleAndHandled) f.Step();
    f.Call("second");
    if (moment == Moment::kNextCall) f.Send(piece);
    f.Step();
  }
  f.Send(refusal.substr(cut), connection);
  f.End(200, "second");
  return f.Opened() == 2;
}

// Guards against a copy of a refusal that is taken for the response to the next
// call, because its pieces arrive before and after the connection is reused.
TEST_CASE("A copy in pieces around a reuse is not taken for the response") {
  const std::string refusal = Response(503, "first", "refused");
  int opened_while_idle = 0;
  for (std::size_t cut = 1; cut <= refusal.size(); ++cut) {
    CAPTURE(cut);
    CHECK(SendInPieces(Moment::kWithRefusal, refusal, cut));
    for (const Moment moment : {Moment::kIdle, Moment::kIdleAndHandled}) {
      opened_while_idle += SendInPieces(moment, refusal, cut) ? 1 : 0;
    }
    CHECK_FALSE(SendInPieces(Moment::kNextCall, refusal, cut - 1));
  }
  CHECK(opened_while_idle > 0);
  // The client reads the refusal alone while the copy waits in the kernel.
  std::string large = Response(503, "first", std::string(kReadSize, 'x'));
  large =
      Response(503, "first", std::string(2 * kReadSize - large.size(), 'x'));
  REQUIRE(large.size() == kReadSize);
  for (const std::size_t cut : {std::size_t{1}, kReadSize}) {
    CHECK(SendInPieces(Moment::kWithRefusal, large, cut));
  }
}

// Guards against a copy that ends a call whose body is still being written, and
// against another request within the rest of a body that was refused early.
TEST_CASE("A copy during the body of a call is not taken for the response") {
  const std::string copy = Response(503, "first", "refused");
  for (const bool is_refused_early : {false, true}) {
    CAPTURE(is_refused_early);
    Fixture f;
    f.Refuse("first");
    f.Call("second", kLargeBody);
    f.Send(copy.substr(0, copy.size() / 2));
    f.Step();
    f.Send(copy.substr(copy.size() / 2));
    f.WaitFor([&f] { return f.Unmatched() == 1; });
    CHECK_FALSE(f.m_result);
    std::size_t received = 0;
    if (!is_refused_early) {
      f.WaitFor([&] { return (received += f.Read()) > kLargeBody; });
    }
    f.End(is_refused_early ? 429 : 200, "second");
    CHECK(f.m_result->m_sent);
    f.ExpectNewConnection("third");
  }
  // Its copy would follow; the rest of the body is never sent.
  Fixture f;
  f.Call("first", kLargeBody);
  f.End(503, "first");
  f.ExpectNewConnection("second");
}

// Guards against a copy of either of two refusals that is taken for the
// response to a third request.
TEST_CASE("Copies of two refusals are not taken for the response to a third") {
  const std::string one = Response(503, "first", "refused");
  const std::string two = Response(503, "second", "refused");
  for (const std::string& copies : {one, two, one + two, two + one}) {
    for (std::size_t cut = 0; cut <= copies.size(); ++cut) {
      CAPTURE(copies);
      CAPTURE(cut);
      Fixture f;
      f.Refuse("first");
      f.Refuse("second");
      f.Call("third");
      CHECK(f.Opened() == 1);
      f.Send(copies.substr(0, cut));
      f.Step();
      f.Send(copies.substr(cut));
      f.End(200, "third");
      CHECK(f.Unmatched() == (copies.size() > one.size() + 1 ? 2 : 1));
      f.ExpectNewConnection("fourth");
    }
  }
}

// Guards against a copy next to a response without a length that changes its
// status or completes it although it was reset. The body contains the copy.
TEST_CASE("A copy next to a response without a length changes no status") {
  const std::string copy = Response(503, "first", "refused");
  for (const bool is_reset : {false, true}) {
    CAPTURE(is_reset);
    Fixture f;
    f.Refuse("first");
    f.Call("second");
    f.Send(copy + "HTTP/1.1 200 x\r\nAttempt-Id: second\r\n\r\nown" + copy);
    f.WaitFor([&f] { return f.m_body.size() > 3; });
    f.Read();  // Closing with unread input would reset.
    Close(f.TakeServer(), is_reset);
    f.Ended();
    CHECK(f.m_result->m_status == 200);
    CHECK(bool{f.m_result->m_error} == is_reset);
    f.ExpectNewConnection("third");
  }
  // A copy without a length ends with the connection, so no response is left.
  Fixture f;
  f.Refuse("first");
  f.Call("second");
  f.Send("HTTP/1.1 503 x\r\nAttempt-Id: first\r\n\r\nrefused");
  f.Send(Response(200, "second", "own"));
  f.Read();
  Close(f.TakeServer(), false);
  f.Ended();
  CHECK(f.m_result->m_error == HttpError::kConnectionLost);
  CHECK(f.m_result->m_status == 0);
  CHECK(f.m_result->m_sent);
}

// Guards against an unidentified copy of the refusal of a request without an id
// that is taken for the response to another request.
TEST_CASE("A copy without an id is not taken for another response") {
  for (const std::string id : {"", "second"}) {
    CAPTURE(id);
    Fixture f;
    f.Refuse("");
    const int connection = f.Server();
    f.Call(id);
    f.Send(Response(503, "", "refused"), connection);
    f.Step();
    f.End(200, id);
  }
}

// Guards against a request that counts as unsent although bytes of it left, so
// that it may run twice, and against one that counts as sent although none did.
TEST_CASE("A call counts as sent once the kernel has taken bytes of it") {
  for (const bool is_before : {true, false}) {
    CAPTURE(is_before);
    Fixture f;
    f.Call("first");
    planned_reset = {f.TakeServer(), is_before};
    f.Ended();
    CHECK_FALSE(planned_reset);
    CHECK(f.m_result->m_error ==
          (is_before ? HttpError::kConnectFailed : HttpError::kConnectionLost));
    CHECK_FALSE(f.m_result->m_sent);
  }
  // A small request, and the first part of a large one, where the server ends
  // the connection before it has read any of it or resets it afterwards.
  for (const std::size_t size : {std::size_t{0}, kLargeBody}) {
    for (const bool is_kept : {false, true}) {
      for (const bool is_reset : {false, true}) {
        CAPTURE(size);
        CAPTURE(is_kept);
        CAPTURE(is_reset);
        Fixture f;
        if (is_kept) f.Refuse("first");
        f.Call("second", size);
        if (is_reset) f.WaitFor([&f] { return f.Read() > 0; });
        Close(f.TakeServer(), is_reset);
        f.Ended();
        CHECK(f.m_result->m_error == HttpError::kConnectionLost);
        CHECK(f.m_result->m_sent);
      }
    }
  }
  // A kept connection that the server has reset while it was idle.
  Fixture f;
  f.Refuse("first");
  Close(f.TakeServer(), true);
  f.Step();
  f.ExpectNewConnection("second");
}

}  // namespace
}  // namespace comfreypaddle

// The client's question whether a connection was made.
extern "C" int getsockopt(int descriptor, int level, int name, void* value,
                          socklen_t* size) noexcept {
  using comfreypaddle::planned_reset;
  const bool is_due =
      level == SOL_SOCKET && name == SO_ERROR && planned_reset.has_value();
  const bool is_before = is_due && planned_reset->m_before_answer;
  if (is_before) comfreypaddle::ResetNow(descriptor);
  const auto result = static_cast<int>(
      syscall(SYS_getsockopt, descriptor, level, name, value, size));
  if (is_due && !is_before) comfreypaddle::ResetNow(descriptor);
  return result;
}
