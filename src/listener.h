#ifndef COMFREYPADDLE_LISTENER_H_
#define COMFREYPADDLE_LISTENER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http.h"
#include "loop.h"

struct MHD_Connection;
struct MHD_Daemon;
struct MHD_Response;

namespace comfreypaddle {

struct ListenerOptions {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  std::uint32_t m_max_connections = 4096;
  std::uint32_t m_max_head_bytes = 16384;
  std::uint32_t m_max_body_bytes = 8U << 20U;
  // Maximum time to receive a complete request.
  Duration m_request_timeout = std::chrono::seconds(10);
};

// HTTP server of one task, based on libmicrohttpd and the task's event loop.
class Listener : public ResponsePort {
 public:
  using OnRequest = std::function<void(HttpRequest request)>;
  using OnDisconnect = std::function<void(std::uint64_t id)>;

  // on_disconnect is called once if the caller disconnects before the response
  // ends.
  Listener(EventLoop& loop, ListenerOptions options, OnRequest on_request,
           OnDisconnect on_disconnect);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Opens the listening socket. Returns kListenFailed on failure.
  std::error_code Open();

  // Adds Connection: close to every response, so that callers open a new
  // connection for their next request.
  void AnnounceClose() { m_announce_close = true; }

  // Stops accepting connections. Open connections are not affected.
  void StopAccepting();

  std::size_t OpenRequests() const { return m_exchanges.size(); }

  void Respond(std::uint64_t id, int status, HttpFields headers,
               std::string body) override;
  void StartStream(std::uint64_t id, int status, HttpFields headers) override;
  void Write(std::uint64_t id, std::string_view bytes) override;
  void FinishStream(std::uint64_t id) override;
  void Abort(std::uint64_t id) override;

 private:
  struct Exchange;
  struct Connection;
  struct Callbacks;
  friend struct Callbacks;

  Exchange* Find(std::uint64_t id);
  int HandleUpload(Exchange& exchange, const char* data, std::size_t* size);
  int Dispatch(Exchange& exchange);
  int QueueResponse(Exchange& exchange);
  std::int64_t Read(Exchange& exchange, char* buffer, std::size_t size);
  void Reject(Exchange& exchange, int status, const char* code,
              const char* detail);
  void Suspend(Exchange& exchange);
  void Resume(Exchange& exchange);
  void Completed(Exchange& exchange, bool answered);
  void WatchForHangup(const Exchange& exchange);
  void UnwatchHangup(const Exchange& exchange);
  void HandleHangups();
  void CloseSlowConnections();
  void RunDaemon();
  void ScheduleRun(Duration delay);

  EventLoop& m_loop;
  ListenerOptions m_options;
  OnRequest m_on_request;
  OnDisconnect m_on_disconnect;
  MHD_Daemon* m_daemon = nullptr;
  int m_daemon_descriptor = -1;
  int m_hangup_descriptor = -1;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
  std::map<MHD_Connection*, Connection> m_connections;
  std::unique_ptr<PeriodicTimer> m_slow_check;
  EventLoop::TimerId m_run_timer = 0;
  Instant m_run_due;
  std::uint64_t m_next_id = 1;
  std::uint64_t m_next_connection = 1;
  bool m_running_daemon = false;
  bool m_announce_close = false;
  bool m_is_closing = false;  // In the destructor.
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LISTENER_H_
