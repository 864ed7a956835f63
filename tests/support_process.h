#ifndef COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_
#define COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "curlclient.h"
#include "http.h"
#include "loop.h"
#include "support.h"

namespace comfreypaddle::testing {

// Child process started by a test. The destructor kills it.
class Process {
 public:
  // Starts a program from the build folder and redirects its output to the log
  // file.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;

  // Largest resident memory so far, MB. Zero if it cannot be read.
  double PeakMemoryMb() const;

  // Limits the descriptors that the process may open, which it cannot undo.
  void LimitDescriptors(std::size_t limit) const;

  // Number of open descriptors. Zero if it cannot be read.
  std::size_t OpenDescriptors() const;

  // Returns the exit code, or 128 plus the signal number, once the process has
  // exited.
  std::optional<int> ExitCode();

 private:
  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

// TCP proxy in front of a server under test. Simulates stalled connections and
// network partitions.
class TcpProxy {
 public:
  TcpProxy(EventLoop& loop, std::uint16_t target_port);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  std::uint16_t Port() const { return m_port; }

  // Stops forwarding in both directions on the open connections, without
  // closing them. New connections are forwarded.
  void StallOpenConnections();

  // Makes the link silent: what arrives is held, also of new connections, and
  // is delivered when the link opens again, even if its sender has closed the
  // connection since.
  void SetSilent(bool silent);

  // Closes the open connections towards the clients only: the server does not
  // see that they broke.
  void BreakTowardsClients();

  // Resets the open connections towards the clients, unseen by the server, and
  // from now on each new one, like an endpoint that has no room for it.
  void ResetClients();

  // Simulates a partition that drops packets: while it lasts, no connection
  // forwards data and new ones are accepted without a response. Ending the
  // partition closes them.
  void SetPartitioned(bool partitioned);

 private:
  struct ProxiedConnection;

  void Accept();
  void Forward(ProxiedConnection& connection, int from, int to);
  // Holds the data of a silent link. Returns false if the link is open.
  bool Hold(ProxiedConnection& connection, int from, std::string_view bytes,
            bool closed);
  void Release(ProxiedConnection& connection);
  void Close(ProxiedConnection& connection);

  EventLoop& m_loop;
  std::uint16_t m_target_port;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  bool m_partitioned = false;
  bool m_silent = false;
  bool m_resetting = false;
  std::vector<std::unique_ptr<ProxiedConnection>> m_proxied_connections;
};

// Response to an HTTP call of a test.
struct Reply {
  std::error_code m_error;
  int m_status = 0;
  HttpFields m_headers;
  std::string m_body;
  bool m_ended = false;
};

// Additional settings of an entry instance, as a map from "section.key" to the
// value.
using ExtraSettings = std::map<std::string, std::string>;

// Cluster of entry instances and stand-ins for one test, on loopback ports.
class Cluster {
 public:
  explicit Cluster(const std::string& name);

  EventLoop& Loop() { return m_loop; }
  HttpPort& Http() { return m_client; }

  // Starts the platform and waits until it responds.
  void StartPlatform(const std::vector<std::string>& flags = {});

  // Starts an engine or plain service and returns its port.
  std::uint16_t StartEngine(const std::vector<std::string>& flags = {});
  std::uint16_t StartService(const std::vector<std::string>& flags = {});

  // Restarts an endpoint that has exited, with the same port and flags.
  void RestartEndpoint(std::uint16_t port);

  // Starts entry instances entry-1 to entry-N in zones z1 to z3, each in a
  // separate region, and waits until all are ready.
  void StartEntries(int count, const ExtraSettings& extra = {});

  // Starts or restarts an entry instance that StartEntries configured.
  void RestartEntry(int index);

  // Writes a resource through the operators' API of an instance. Reads the
  // current version first unless the version to replace is given.
  Reply Apply(int entry, const std::string& kind, const std::string& name,
              const std::string& body_json,
              std::optional<std::uint64_t> version = std::nullopt);

  // Writes a resource through the first instance and retries until it is
  // accepted, because an instance rejects writes until it has reached the log.
  // Fails the test after a time limit.
  void ApplyWithRetry(const std::string& kind, const std::string& name,
                      const std::string& body_json);

  // Writes the resources that most tests need: workspace w1 with key
  // "secret-1", workspace w2 with key "secret-2", model m on fleet engines,
  // service fleet desks with the not repeatable route /desk, and the endpoints
  // of the given ports.
  void ApplyDefaultResources(const std::vector<std::uint16_t>& engines,
                             const std::vector<std::uint16_t>& services,
                             bool checks_fencing = true);

  // Sends a request and waits for the end of the response.
  Reply Call(HttpCall call, Duration limit = std::chrono::seconds(20));

  // Starts a call. The reply is filled in while the event loop runs.
  std::shared_ptr<Reply> StartCall(HttpCall call,
                                   HttpPort::CallId* id = nullptr);

  HttpCall Completion(int entry, const std::string& prompt, int max_tokens,
                      bool stream, const std::string& key = "secret-1") const;

  HttpCall Desk(int entry, const std::string& path,
                const std::string& idempotency_key,
                const std::string& key = "secret-1") const;

  bool Until(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

  // Base URLs. Entry indices start at 1.
  std::string CallerUrl(int entry) const;
  std::string OperatorUrl(int entry) const;
  std::string PlatformUrl() const;

  // Ports of the listeners of an entry instance.
  struct EntryPorts {
    std::uint16_t m_callers = 0;
    std::uint16_t m_operators = 0;
    std::uint16_t m_peers = 0;
  };
  const EntryPorts& Ports(int entry) const { return m_ports.at(entry); }

  // Makes entries started later connect to the platform through this port.
  void SetPlatformPort(std::uint16_t port) { m_platform_proxy_port = port; }

  Process& Entry(int index) { return *m_entries.at(index); }
  Process& Platform() { return *m_platform; }
  Process& Endpoint(std::uint16_t port) { return *m_endpoints.at(port); }
  std::string LogPath(const std::string& process) const;

 private:
  std::string WriteSettings(int index, const ExtraSettings& extra) const;
  // Program and flags of an endpoint, for a restart.
  struct EndpointStart {
    std::string m_program;
    std::vector<std::string> m_flags;
  };

  std::uint16_t StartEndpoint(const std::string& program,
                              std::vector<std::string> flags);
  bool RespondsWithOk(const std::string& url);

  std::string m_folder;
  EventLoop m_loop;
  CurlClient m_client;
  std::uint16_t m_platform_port = 0;
  std::uint16_t m_platform_proxy_port = 0;
  std::unique_ptr<Process> m_platform;
  // Prints the process states and the ends of the logs, so that a failure that
  // is hard to reproduce can be diagnosed.
  void PrintProcessState(const std::string& name, Process* process) const;
  void PrintProcessStates() const;

  std::map<std::uint16_t, std::unique_ptr<Process>> m_endpoints;
  std::map<std::uint16_t, EndpointStart> m_endpoint_starts;
  std::map<int, EntryPorts> m_ports;
  std::map<int, ExtraSettings> m_extra;
  std::map<int, std::unique_ptr<Process>> m_entries;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_
