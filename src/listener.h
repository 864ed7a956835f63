#ifndef COMFREYPADDLE_LISTENER_H_
#define COMFREYPADDLE_LISTENER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "httpserver.h"
#include "loop.h"

namespace comfreypaddle {

struct ListenerOptions {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // Connections as set; at most what leaves a reserve of descriptors.
  std::uint32_t m_max_connections = 4096;
  std::uint32_t m_max_head_bytes = 16384;
  std::uint32_t m_max_body_bytes = 8U << 20U;
  // Bounds of what all requests hold together, and of what the callers of all
  // streams have not read.
  std::size_t m_request_bytes = 64U << 20U;
  std::size_t m_unread_bytes = 64U << 20U;
  // Copies of a body while its request is open.
  std::size_t m_body_copies = 2;
  // Maximum time to receive a request head, and a body besides a second for
  // each KiB that has arrived.
  Duration m_request_timeout = std::chrono::seconds(10);
  // Time after which the caller of a stream that reads nothing is cut off.
  Duration m_unread_timeout = std::chrono::seconds(75);
};

// HTTP server of one task of `serve`, with decoded targets, lower-case header
// field names, problem documents for rejected requests, and bounds of what its
// callers take together.
class Listener : public ResponsePort {
 public:
  using OnRequest = std::function<void(HttpRequest request)>;
  using OnDisconnect = std::function<void(std::uint64_t id)>;

  // on_disconnect is called once if the caller disconnects before the response
  // ends, or is cut off because it reads too slowly.
  Listener(EventLoop& loop, ListenerOptions options, OnRequest on_request,
           OnDisconnect on_disconnect);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Opens the listening socket. Returns kListenFailed on failure.
  std::error_code Open();

  // Adds Connection: close to every response, so that callers open a new
  // connection for their next request.
  void AnnounceClose() { m_server.AnnounceClose(); }

  // Stops accepting connections. Open connections are not affected.
  void StopAccepting() { m_server.StopListening(); }

  // Requests that arrive, or whose response has not been sent in full.
  std::size_t OpenRequests() const { return m_server.BusyConnections(); }

  // What the requests hold and whom the listener has turned away.
  const RequestMemory& Memory() const { return m_server.Memory(); }

  void Respond(std::uint64_t id, int status, HttpFields headers,
               std::string body) override;
  void StartStream(std::uint64_t id, int status, HttpFields headers) override;
  void Write(std::uint64_t id, std::string_view bytes) override;
  void FinishStream(std::uint64_t id) override;
  void Abort(std::uint64_t id) override;

 private:
  // A streamed response.
  struct Stream {
    std::size_t m_written = 0;  // Bytes.
    std::int64_t m_read = 0;    // Bytes that its caller has read of them.
    Instant m_last_read{};
  };

  HttpServerEvents MakeEvents();
  void LimitUnread();
  void CutOffStalled();
  void CutOff(std::uint64_t id);
  void ReportCutOff();
  void LogTurnedAway(TurnedAway reason);

  EventLoop& m_loop;
  SocketSet m_sockets;
  ListenerOptions m_options;
  OnRequest m_on_request;
  OnDisconnect m_on_disconnect;
  HttpServer m_server;
  std::map<std::uint64_t, Stream> m_streams;
  std::size_t m_unchecked_bytes = 0;  // Written since the last check.
  std::unique_ptr<PeriodicTimer> m_stall_check;
  std::vector<std::uint64_t> m_cut_off;  // To be reported to the owner.
  EventLoop::TimerId m_report_timer = 0;
  Instant m_turned_away_logged{};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LISTENER_H_
