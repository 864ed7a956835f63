#ifndef COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
#define COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "httpclient.h"
#include "httpserver.h"
#include "support_process.h"

namespace comfreypaddle::testing {

// In-memory store with one partition for each topic. It supports conditional
// appends, idempotent producers and long-polling reads.
class FakeStore {
 public:
  explicit FakeStore(SocketSet& sockets);

  std::uint16_t Port() const { return m_port; }

  // Appends a record to a keyed topic on behalf of operators or endpoints.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  // While down, every call is rejected with 503.
  void SetDown(bool down) { m_down = down; }

 private:
  struct Topic {
    std::vector<std::string> m_records;
    std::map<std::string, std::uint64_t> m_newest;  // Latest offset by key.
    std::map<std::string, std::uint64_t>
        m_sequences;  // Last sequence number by producer.
    std::map<std::string, std::uint64_t>
        m_offsets;  // Offset of that append by producer.
  };

  struct PendingRead {
    std::uint64_t m_id = 0;
    std::string m_topic;
    std::uint64_t m_from = 0;
    Instant m_deadline{};
  };

  void Handle(const HttpRequest& request);
  void Append(const HttpRequest& request);
  void Read(const HttpRequest& request);
  void Newest(const HttpRequest& request);
  void CompleteReads();

  std::uint16_t m_port;
  HttpServer m_server;
  bool m_down = false;
  std::map<std::string, Topic> m_topics;
  std::vector<PendingRead> m_pending_reads;
  PeriodicTimer m_poll_timer;
};

// A call that the duty API received.
struct DutyCall {
  std::string m_target;
  std::string m_holder;
  std::uint64_t m_fencing_token = 0;
  std::string m_body;
};

// Stand-in of the duty API, for usage reports and endpoint orders.
class FakeDuties {
 public:
  explicit FakeDuties(SocketSet& sockets);

  std::uint16_t Port() const { return m_port; }
  const std::vector<DutyCall>& Calls() const { return m_calls; }

  // First report body by window. A later report of the same window with
  // another body is a conflict.
  const std::map<std::string, std::string>& Reports() const {
    return m_reports;
  }
  bool HasConflictingReports() const { return m_conflicting_reports; }

 private:
  std::uint16_t m_port;
  HttpServer m_server;
  std::vector<DutyCall> m_calls;
  std::map<std::string, std::string> m_reports;
  bool m_conflicting_reports = false;
};

// What an endpoint does with a request.
enum class EndpointAct {
  kAnswer,
  kAnswerLate,   // After it has run for a second.
  kHang,         // Runs until the caller leaves.
  kRunOn,        // Runs for seconds, also when the caller has left.
  kLoseAnswer,   // Runs, and resets the connection instead of answering.
  kBreakStream,  // Resets the connection after two events.
  kRefuse,       // Does not run it and says so.
  kCloseUnread,  // Does not run it and closes the connection.
};
// Those that an endpoint that works as it should may choose from.
inline constexpr std::array<EndpointAct, 7> kEndpointActs = {
    EndpointAct::kAnswer,     EndpointAct::kAnswerLate,  EndpointAct::kHang,
    EndpointAct::kLoseAnswer, EndpointAct::kBreakStream, EndpointAct::kRefuse,
    EndpointAct::kCloseUnread};

// Work of an endpoint on one request.
struct EndpointRun {
  std::string m_target;
  Instant m_began{};
  std::optional<Instant> m_ended;  // Answered, or the caller has left.
};

// Stand-in of an endpoint. A stream has five events, sent 20 ms apart unless
// SetEventGap sets another gap.
class FakeEndpoint {
 public:
  FakeEndpoint(SocketSet& sockets, std::string id);

  std::uint16_t Port() const { return m_port; }
  const std::string& Id() const { return m_id; }
  const std::vector<HttpRequest>& Requests() const { return m_requests; }

  // Aborts the connection of each stream after this many events; 0 disables it.
  void AbortStreamsAfter(int events) { m_break_after = events; }

  // While set, every request is rejected with 503 and Not-Executed, and with
  // this Retry-After unless it is empty.
  void SetOverloaded(bool overloaded, const std::string& retry_after = "") {
    m_overloaded = overloaded;
    m_retry_after = retry_after;
  }
  int Rejections() const { return m_rejections; }

  // Sets the time between the events of a stream.
  void SetEventGap(Duration gap) { m_event_gap = gap; }

  // While set, requests are received and not answered.
  void SetHanging(bool hanging) { m_hanging = hanging; }

  // Decides on each request from now on, in place of the settings above.
  void SetActs(std::function<EndpointAct()> choose) {
    m_choose_act = std::move(choose);
  }
  const std::vector<EndpointRun>& Runs() const { return m_runs; }

  // While set, every response says that the endpoint leaves.
  void SetLeaving(bool leaving) { m_leaving = leaving; }

 private:
  void Handle(const HttpRequest& request);
  void Act(const HttpRequest& request, EndpointAct act);
  void Answer(const HttpRequest& request);
  void SendEvent(std::uint64_t id, int event);
  void EndRun(std::uint64_t id);

  SocketSet& m_sockets;
  std::string m_id;
  std::uint16_t m_port;
  std::function<EndpointAct()> m_choose_act;
  std::vector<EndpointRun> m_runs;
  std::map<std::uint64_t, std::size_t> m_run_of_request;
  HttpServer m_server;
  std::vector<HttpRequest> m_requests;
  int m_break_after = 0;
  Duration m_event_gap = std::chrono::milliseconds(20);
  bool m_overloaded = false;
  std::string m_retry_after;
  int m_rejections = 0;
  bool m_leaving = false;
  bool m_hanging = false;
};

// Entry instances that run against stand-ins of the platform.
class PlatformCluster {
 public:
  explicit PlatformCluster(const std::string& name);
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster&) = delete;
  PlatformCluster& operator=(const PlatformCluster&) = delete;

  // Puts a proxy between each entry instance and the store, and in front of
  // each endpoint. Must be called before endpoints and instances are added.
  void UseProxies() { m_use_proxies = true; }
  TcpProxy& StoreProxy(int entry) { return *m_store_proxies.at(entry); }
  TcpProxy& EndpointProxy(std::size_t index) {
    return *m_endpoint_proxies.at(index);
  }
  std::size_t EndpointCount() const { return m_endpoints.size(); }

  EventLoop& Loop() { return m_loop; }
  FakeStore& Store() { return m_store; }
  FakeDuties& Duties() { return m_duties; }
  FakeEndpoint& Endpoint(std::size_t index) { return *m_endpoints.at(index); }

  // Starts an endpoint of the service and registers it in the store.
  void AddEndpoint(const std::string& service);

  // Registers an endpoint that the test itself runs in the store.
  void RegisterEndpoint(const std::string& id, const std::string& service,
                        std::uint16_t port);
  SocketSet& Sockets() { return m_sockets; }

  // Writes a configuration with the routes /safe/, /once/, /stream/ and
  // /again/ of the service "plain" and one workspace "w" with these keys.
  void Configure(int version, const std::string& keys_json);

  // Settings of planned stops of instances that are started later.
  void SetStop(const std::string& settings) { m_stop_settings = settings; }

  // Starts an entry instance and waits until it is ready.
  void StartEntry(int index);

  // Starts an entry instance; a restart reuses its addresses.
  void LaunchEntry(int index);

  bool IsReady(int entry);
  Process& Entry(int index) { return *m_entries.at(index); }

  // Sends a request to an entry instance. The reply is filled in while the
  // event loop runs.
  std::shared_ptr<Reply> Start(int entry, const std::string& method,
                               const std::string& target,
                               const std::string& key = "k1");

  // Sends a request and waits for the end of the response.
  Reply Call(int entry, const std::string& method, const std::string& target,
             const std::string& key = "k1");

  bool Until(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

  std::string LogPath(int entry) const;

  std::uint16_t CallerPort(int entry) const {
    return m_ports.at(entry).m_callers;
  }

 private:
  struct InstancePorts {
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
  std::string m_stop_settings = "notice_ms = 300\n";
  bool m_use_proxies = false;
  std::vector<std::unique_ptr<TcpProxy>> m_endpoint_proxies;
  std::map<int, std::unique_ptr<TcpProxy>> m_store_proxies;
  std::map<int, InstancePorts> m_ports;
  std::map<int, std::unique_ptr<Process>> m_entries;
  int m_next_attempt = 1;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
