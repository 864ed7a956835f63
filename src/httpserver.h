#ifndef COMFREYPADDLE_HTTPSERVER_H_
#define COMFREYPADDLE_HTTPSERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "channel.h"
#include "httpparse.h"
#include "requestmemory.h"

namespace comfreypaddle {

// Limits of the size and duration of requests.
struct RequestLimits {
  std::uint32_t m_head_bytes = 16384;
  std::uint64_t m_body_bytes = 4U << 20U;
  Duration m_head_time = std::chrono::seconds(3);
  Duration m_idle_time = std::chrono::seconds(15);
  // Time that any body may take to arrive; long ones may take longer.
  Duration m_body_time = std::chrono::seconds(60);
};

// Body of the response to a request that the server rejects.
struct RejectionBody {
  std::string m_content_type;
  std::string m_text;  // Empty: the response has no body.
};

// Callbacks of an HTTP server, in the thread of its task.
struct HttpServerEvents {
  // A complete request was received.
  std::function<void(HttpRequest request)> m_on_request;
  // The caller disconnected while its request was open.
  std::function<void(std::uint64_t id)> m_on_disconnect;
  // The server rejected a malformed, oversized or slow request.
  std::function<void(int status, ParseError error)> m_on_rejected;
  // The server turned a caller away that had no open request. May be unset.
  std::function<void(TurnedAway reason)> m_on_turned_away;
  // Returns the body of a rejection with this status. May be unset: rejections
  // have no body.
  std::function<RejectionBody(int status)> m_describe_rejection;
};

// HTTP/1.1 server over the sockets of one task. It passes targets, header
// fields and bodies on unmodified, and detects a caller that disconnects while
// its request is open, which libmicrohttpd, used before, did not for suspended
// connections.
class HttpServer : public ResponsePort {
 public:
  HttpServer(SocketSet& sockets, HttpServerEvents events);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Opens the listening socket. Returns HttpError::kListenFailed on failure.
  std::error_code Listen(const std::string& ip, std::uint16_t port);

  void SetLimits(const RequestLimits& limits) { m_limits = limits; }

  void SetMemoryLimits(const RequestMemoryLimits& limits);

  // What the requests hold and whom the server has turned away.
  const RequestMemory& Memory() const { return m_memory; }

  // Closes each connection after its next response (Connection: close), or
  // after the responses to the requests that the caller has sent behind it.
  void AnnounceClose() { m_announce_close = true; }

  // Accepts the connections that are waiting and closes the listening socket.
  // Callers that connect later are refused by the system.
  void StopListening();

  // Closes the connections that have no open request and have not just been
  // opened.
  void CloseIdle();

  // Number of open connections, idle ones included.
  std::size_t Connections() const { return m_connections.size(); }
  std::size_t OpenRequests() const { return m_requests.size(); }

  // Number of connections with a request that is open or arrives, or with
  // response bytes that are not yet sent.
  std::size_t BusyConnections() const;

  void Respond(std::uint64_t id, int status, HttpFields headers,
               std::string body) override;
  void StartStream(std::uint64_t id, int status, HttpFields headers) override;
  void Write(std::uint64_t id, std::string_view bytes) override;
  void FinishStream(std::uint64_t id) override;
  void Abort(std::uint64_t id) override;

  // Number of response bytes that are buffered and not yet sent.
  std::size_t UnsentBytes(std::uint64_t id) const;

 private:
  class Connection;

  void CloseListener();
  void PauseAccepting();
  void UpdateConnectionLimit();
  void CloseExcess();
  void LimitConnections(std::uint64_t newest);
  std::uint64_t ChooseToClose(std::uint64_t without) const;
  void FreeMemory(Connection& grown);
  void CountTurnedAway(TurnedAway reason);
  std::vector<RequestHolder> Holders(std::uint64_t without) const;
  bool AcceptOne();
  void AcceptBatch();
  void CloseExpired();
  Connection* FindRequest(std::uint64_t id) const;
  void CloseConnection(std::uint64_t connection);

  SocketSet& m_sockets;
  HttpServerEvents m_events;
  RequestLimits m_limits;
  RequestMemory m_memory;
  int m_listener = -1;
  std::uint64_t m_listener_watch_id = 0;
  std::uint64_t m_next_id = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  std::unordered_map<std::uint64_t, Connection*> m_requests;
  std::unique_ptr<PeriodicTimer> m_expiry_check;
  bool m_announce_close = false;
  bool m_accepting_paused = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HTTPSERVER_H_
