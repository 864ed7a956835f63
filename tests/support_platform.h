#ifndef COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
#define COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common_endpoint.h"
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

  // Replaces the store by a copy of itself that lacks the newest records of
  // each topic: their offsets are given out again, and the era rises.
  void Restore(const std::map<std::string, std::size_t>& lost_by_topic);

  std::size_t RecordsIn(const std::string& topic) {
    return m_topics[topic].m_records.size();
  }

  // While down, every call is rejected with 503.
  void SetDown(bool down) { m_down = down; }
  bool IsDown() const { return m_down; }

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
  void Respond(std::uint64_t id, int status, std::string body);

  std::uint16_t m_port;
  HttpServer m_server;
  bool m_down = false;
  std::uint64_t m_era = 1;
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

using standins::EndpointAct;
using standins::EndpointArrival;
using standins::EndpointRun;
using standins::FakeEndpoint;

// What an endpoint writes to the store about itself.
struct EndpointEntry {
  std::string m_id;
  std::string m_service;
  std::uint16_t m_port = 0;
  std::string m_phase;  // Left out if empty.
  std::string m_version;
  int m_slots = 0;
  std::uint64_t m_sequence = 1;
  std::uint64_t m_born_ms = 0;  // Unix time; left out if zero.
};

// What an endpoint that is a process of its own has recorded.
struct EndpointHistory {
  std::vector<EndpointArrival> m_arrivals;
  std::vector<EndpointRun> m_runs;
};

// Period of the status reports of an endpoint, and number of periods of silence
// after which its entry is removed.
constexpr Duration kStatusReportPeriod = std::chrono::milliseconds(1200);
constexpr int kMaxSilentPeriods = 3;

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

  // Starts an endpoint of the service as a process of its own that chooses
  // among these acts, and registers it in the store.
  void AddEndpointProcess(const std::string& service, const std::string& acts,
                          unsigned seed);
  // Endpoints that are started as processes later send copies of their
  // refusals.
  void SetCopies(bool copies) { m_copies = copies; }

  // Port under which callers reach an endpoint that is a process of its own.
  std::uint16_t EndpointProcessPort(std::size_t index) const {
    return m_endpoint_process_ports.at(index);
  }
  Process& EndpointProcess(std::size_t index) {
    return *m_endpoint_processes.at(index);
  }
  EndpointHistory HistoryOf(std::size_t index) const;

  // Registers an endpoint that the test itself runs in the store, in this phase
  // unless it is empty.
  void RegisterEndpoint(const std::string& id, const std::string& service,
                        std::uint16_t port, const std::string& phase = "");

  // Removes an endpoint from the store.
  void RemoveEndpoint(const std::string& id) {
    m_store.Put("keyed.servers", id, "");
  }
  SocketSet& Sockets() { return m_sockets; }

  // From now on each endpoint that AddEndpoint has started writes a status
  // report to the store every kStatusReportPeriod, unless the store is down,
  // and its entry is removed after kMaxSilentPeriods without one in which the
  // store was up.
  void StartStatusReports();

  // Ends the process of an endpoint that AddEndpoint has started.
  void CrashEndpoint(std::size_t index);

  // Starts it again in place with this software version. It writes its first
  // status report one period later.
  void RestartEndpoint(std::size_t index, const std::string& version);

  // Whether the store has a status report of the endpoint's last lifetime.
  bool HasReported(std::size_t index) const {
    return m_status_reports.at(index).m_has_reported;
  }

  // Writes a configuration with the routes /safe/, /once/, /stream/ and
  // /again/ of the service "plain" and one workspace "w" with these keys, and
  // the route /prompt/, whose requests may be prefilled and run once.
  void Configure(int version, const std::string& keys_json);

  // Slots of endpoints that are registered later.
  void SetSlots(int slots) { m_slots = slots; }

  // Software version of endpoints that are registered later.
  void SetVersion(const std::string& version) { m_version = version; }

  // Settings of planned stops of instances that are started later.
  void SetStop(const std::string& settings) { m_stop_settings = settings; }

  // Settings of the retry budget of instances that are started later.
  void SetRetry(const std::string& settings) { m_retry_settings = settings; }

  // Starts an entry instance and waits until it is ready.
  void StartEntry(int index);

  // Starts an entry instance; a restart reuses its addresses.
  void LaunchEntry(int index);

  bool IsReady(int entry);
  Process& Entry(int index) { return *m_entries.at(index); }

  // Header fields of requests that are sent later, beside the usual ones.
  void SetRequestFields(HttpFields fields) {
    m_request_fields = std::move(fields);
  }

  // Sends a request to an entry instance. The reply is filled in while the
  // event loop runs.
  std::shared_ptr<Reply> Start(int entry, const std::string& method,
                               const std::string& target,
                               const std::string& key = "k1");

  // Id of the attempt that was started last.
  std::string LastAttempt() const {
    return "a" + std::to_string(m_next_attempt - 1);
  }

  // The call that was started last, and the reset of its connection. Its reply
  // stays as it is then.
  HttpPort::CallId LastCall() const { return m_last_call; }
  void ResetConnection(HttpPort::CallId call) { m_client.Cancel(call); }

  // Sends a request and waits for the end of the response.
  Reply Call(int entry, const std::string& method, const std::string& target,
             const std::string& key = "k1");

  bool Until(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

  std::string LogPath(int entry) const;
  // Number of log lines of an instance that contain both texts.
  std::size_t CountLogLines(int entry, const std::string& event,
                            const std::string& text) const;
  std::string EndpointLogPath(std::size_t index) const;

  std::uint16_t CallerPort(int entry) const {
    return m_ports.at(entry).m_callers;
  }

 private:
  // Status reports of an endpoint that AddEndpoint has started.
  struct StatusReports {
    EndpointEntry m_entry;
    Instant m_next{};  // When the next one is due.
    // Last report, or last moment at which the store was down.
    Instant m_silent_since{};
    bool m_has_reported = true;
    bool m_is_listed = true;
  };

  void WriteEntry(const EndpointEntry& entry);
  void WriteDueReport(const FakeEndpoint& endpoint, StatusReports& reports);

  // Port under which callers reach an endpoint, through a proxy if one is used.
  std::uint16_t PublicPort(std::uint16_t port);

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
  std::vector<StatusReports> m_status_reports;  // Of each of m_endpoints.
  std::unique_ptr<PeriodicTimer> m_status_timer;
  std::vector<std::unique_ptr<Process>> m_endpoint_processes;
  std::vector<std::uint16_t> m_endpoint_process_ports;
  bool m_copies = false;
  std::string m_stop_settings = "notice_ms = 300\n";
  std::string m_retry_settings;
  int m_slots = 4;
  std::string m_version = "v1";
  bool m_use_proxies = false;
  std::vector<std::unique_ptr<TcpProxy>> m_endpoint_proxies;
  std::map<int, std::unique_ptr<TcpProxy>> m_store_proxies;
  std::map<int, InstancePorts> m_ports;
  std::map<int, std::unique_ptr<Process>> m_entries;
  HttpFields m_request_fields;
  int m_next_attempt = 1;
  HttpPort::CallId m_last_call = 0;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_PLATFORM_H_
