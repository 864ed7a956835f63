#ifndef COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
#define COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "httpclient.h"
#include "httpserver.h"
#include "support_process.h"

namespace comfreypaddle::testing {

// Stand-in of the platform's store: topics of one partition in memory, with
// conditions, producers and waiting reads.
class FakeStore {
 public:
  explicit FakeStore(SocketSet& sockets);

  std::uint16_t Port() const { return m_port; }

  // Writes a record of a keyed topic, as operators and endpoints do.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  // While down, every call is answered with 503.
  void SetDown(bool down) { m_down = down; }

 private:
  struct Topic {
    std::vector<std::string> m_records;
    std::map<std::string, std::uint64_t> m_newest;     // Offset by key.
    std::map<std::string, std::uint64_t> m_sequences;  // Last by producer.
    std::map<std::string, std::uint64_t> m_offsets;    // Of that append.
  };

  struct WaitingRead {
    std::uint64_t m_id = 0;
    std::string m_topic;
    std::uint64_t m_from = 0;
    Instant m_until{};
  };

  void Handle(const HttpRequest& request);
  void Append(const HttpRequest& request);
  void Read(const HttpRequest& request);
  void Newest(const HttpRequest& request);
  void AnswerReads();

  std::uint16_t m_port;
  HttpServer m_server;
  bool m_down = false;
  std::map<std::string, Topic> m_topics;
  std::vector<WaitingRead> m_waiting;
  PeriodicTimer m_tick;
};

// A duty call that the platform got.
struct DutyCall {
  std::string m_target;
  std::string m_holder;
  std::uint64_t m_fence = 0;
  std::string m_body;
};

// Stand-in of the interface for usage reports and endpoint orders.
class FakeDuties {
 public:
  explicit FakeDuties(SocketSet& sockets);

  std::uint16_t Port() const { return m_port; }
  const std::vector<DutyCall>& Calls() const { return m_calls; }

  // Reports with a body, by window; a window reported with two different
  // bodies sets Contradicted.
  const std::map<std::string, std::string>& Reports() const {
    return m_reports;
  }
  bool Contradicted() const { return m_contradicted; }

 private:
  std::uint16_t m_port;
  HttpServer m_server;
  std::vector<DutyCall> m_calls;
  std::map<std::string, std::string> m_reports;
  bool m_contradicted = false;
};

// Stand-in of an endpoint. Streams have five events, 20 ms apart.
class FakeEndpoint {
 public:
  FakeEndpoint(SocketSet& sockets, std::string id);

  std::uint16_t Port() const { return m_port; }
  const std::string& Id() const { return m_id; }
  const std::vector<HttpRequest>& Requests() const { return m_requests; }

  // Breaks the connection of each stream after this many events.
  void BreakAfter(int events) { m_break_after = events; }

  // Rejects every request as not run.
  void SetFull(bool full) { m_full = full; }

 private:
  void Handle(const HttpRequest& request);
  void SendEvent(std::uint64_t id, int event);

  SocketSet& m_sockets;
  std::string m_id;
  std::uint16_t m_port;
  HttpServer m_server;
  std::vector<HttpRequest> m_requests;
  int m_break_after = 0;
  bool m_full = false;
};

// Entry instances on stand-ins of the platform.
class PlatformCluster {
 public:
  explicit PlatformCluster(const std::string& name);
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster&) = delete;
  PlatformCluster& operator=(const PlatformCluster&) = delete;

  // Puts a forwarder between each entry instance and the store, and before
  // each endpoint. Call it before the others.
  void UseLinks() { m_use_links = true; }
  TcpProxy& StoreLink(int entry) { return *m_store_links.at(entry); }
  TcpProxy& EndpointLink(std::size_t index) {
    return *m_endpoint_links.at(index);
  }
  std::size_t EndpointCount() const { return m_endpoints.size(); }

  EventLoop& Loop() { return m_loop; }
  FakeStore& Store() { return m_store; }
  FakeDuties& Duties() { return m_duties; }
  FakeEndpoint& Endpoint(std::size_t index) { return *m_endpoints.at(index); }

  // Adds an endpoint of the service to the list.
  void AddEndpoint(const std::string& service);

  // Writes a configuration with the routes /safe/, /once/, /stream/ and
  // /again/ of the service "plain" and one workspace "w" with these keys.
  void Configure(int version, const std::string& keys_json);

  // Starts an entry instance and waits until it is ready.
  void StartEntry(int index);

  // Starts an entry instance, or starts it again at its addresses.
  void LaunchEntry(int index);

  bool IsReady(int entry);
  Process& Entry(int index) { return *m_entries.at(index); }

  // Calls an entry instance; the reply fills up while the loop runs.
  std::shared_ptr<Reply> Start(int entry, const std::string& method,
                               const std::string& target,
                               const std::string& key = "k1");

  // Calls and waits for the end of the answer.
  Reply Call(int entry, const std::string& method, const std::string& target,
             const std::string& key = "k1");

  bool Until(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

  std::string LogPath(int entry) const;

 private:
  struct Ports {
    std::uint16_t m_callers = 0;
    std::uint16_t m_ready = 0;
    std::uint16_t m_peers = 0;
    std::uint16_t m_metrics = 0;
  };

  std::string m_folder;
  EventLoop m_loop;
  SocketSet m_sockets;
  HttpClient m_client;
  FakeStore m_store;
  FakeDuties m_duties;
  std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
  bool m_use_links = false;
  std::vector<std::unique_ptr<TcpProxy>> m_endpoint_links;
  std::map<int, std::unique_ptr<TcpProxy>> m_store_links;
  std::map<int, Ports> m_ports;
  std::map<int, std::unique_ptr<Process>> m_entries;
  int m_next_attempt = 1;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
