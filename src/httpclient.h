#ifndef COMFREYPADDLE_HTTPCLIENT_H_
#define COMFREYPADDLE_HTTPCLIENT_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "channel.h"
#include "httpparse.h"

namespace comfreypaddle {

// What an HTTP client has done so far.
struct HttpClientCounters {
  std::uint64_t m_opened = 0;   // New connections.
  std::uint64_t m_reused = 0;   // Calls on a kept connection.
  std::uint64_t m_dropped = 0;  // Answers that belonged to no call.
};

// HTTP/1.1 client over the sockets of one task. Unlike libcurl it never sends
// a request a second time by itself: a request that may not run twice can go
// out on a kept connection. Targets, fields and bodies are sent byte for byte.
class HttpClient : public HttpPort {
 public:
  explicit HttpClient(SocketSet& sockets);
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  CallId Start(HttpCall call, HttpEvents events) override;
  void Cancel(CallId id) override;

  // Closes the kept connections to an address, IP:PORT.
  void Forget(const std::string& address);

  const HttpClientCounters& Counters() const { return m_counters; }

 private:
  class Connection;

  std::unique_ptr<Connection> TakeIdle(const std::string& address);
  void Keep(CallId id);
  void RemoveIdle(Connection* connection);
  void Fail(CallId id, HttpError error);
  void Retire(std::unique_ptr<Connection> connection);
  void Sweep();

  SocketSet& m_sockets;
  HttpClientCounters m_counters;
  CallId m_next_id = 1;
  std::unordered_map<CallId, std::unique_ptr<Connection>> m_active;
  std::unordered_map<std::string, std::deque<std::unique_ptr<Connection>>>
      m_idle;
  // Connections whose callbacks may still run; destroyed in the next turn.
  std::vector<std::unique_ptr<Connection>> m_retired;
  std::unique_ptr<PeriodicTimer> m_sweep;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HTTPCLIENT_H_
