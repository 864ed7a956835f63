#ifndef COMFREYPADDLE_HTTPCLIENT_H_
#define COMFREYPADDLE_HTTPCLIENT_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "channel.h"
#include "httpparse.h"

namespace comfreypaddle {

// Counters of an HTTP client since its creation.
struct HttpClientCounters {
  std::uint64_t m_opened = 0;               // Connections opened.
  std::uint64_t m_reused = 0;               // Calls on a reused connection.
  std::uint64_t m_unmatched_responses = 0;  // Responses that matched no call.
  // Idle connections that were not reused because they had carried the request.
  std::uint64_t m_passed_over = 0;
};

// HTTP/1.1 client over the sockets of one task. Unlike libcurl it never resends
// a request by itself, so that a request that is not idempotent can use a
// persistent connection. Targets, header fields and bodies are sent unmodified.
class HttpClient : public HttpPort {
 public:
  explicit HttpClient(SocketSet& sockets);
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(HttpCall call, HttpEvents events) override;
  void Cancel(CallId id) override;
  std::optional<Instant> ConnectedAt(CallId id) const override;
  bool IsDelivered(CallId id) const override;
  bool HasConnection(const std::string& address) const override;

  // Closes the idle connections to an address, IP:PORT.
  void CloseIdleConnections(const std::string& address);

  const HttpClientCounters& Counters() const { return m_counters; }

 private:
  class Connection;

  std::unique_ptr<Connection> TakeIdle(const std::string& address,
                                       std::optional<std::uint64_t> request);
  void CompleteCall(CallId id);
  void RemoveIdle(Connection* connection);
  void FailCall(CallId id, HttpError error);
  void Retire(std::unique_ptr<Connection> connection);
  void CheckTimeouts();

  SocketSet& m_sockets;
  HttpClientCounters m_counters;
  CallId m_next_id = 1;
  std::uint64_t m_next_connection = 1;
  std::unordered_map<CallId, std::unique_ptr<Connection>> m_active;
  std::unordered_map<std::string, std::deque<std::unique_ptr<Connection>>>
      m_idle;
  // Closed connections whose callbacks may still be running; destroyed in the
  // next iteration of the event loop.
  std::vector<std::unique_ptr<Connection>> m_retired;
  std::unique_ptr<PeriodicTimer> m_timeout_check;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HTTPCLIENT_H_
