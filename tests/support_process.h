#ifndef COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_
#define COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "curlclient.h"
#include "http.h"
#include "loop.h"
#include "support.h"

namespace comfreypaddle::testing {

// Process of this project that a test started. The destructor kills it.
class Process {
 public:
  // Starts a program of the build folder; its output goes to the log file.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;

  // Returns the exit code, or 128 plus the signal, once the process has ended.
  std::optional<int> ExitCode();

 private:
  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

// TCP forwarder to a server of the test. It can lose track of its connections
// or cut the two ends off from each other.
class Relay {
 public:
  Relay(EventLoop& loop, std::uint16_t target_port);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t Port() const { return m_port; }

  // Open connections forward nothing any more, in both directions, but stay
  // open. New ones work.
  void SilenceOpenConnections();

  // While cut, connections forward nothing and new ones are accepted without
  // an answer, as with packets that are dropped. Ending the cut closes them.
  void SetCut(bool cut);

 private:
  struct Link;

  void Accept();
  void Forward(Link& link, int from, int to);
  void Close(Link& link);

  EventLoop& m_loop;
  std::uint16_t m_target_port;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  bool m_cut = false;
  std::vector<std::unique_ptr<Link>> m_links;
};

// Answer to a call of a test.
struct Reply {
  std::error_code m_error;
  int m_status = 0;
  HttpFields m_headers;
  std::string m_body;
  bool m_ended = false;
};

// Settings of an entry instance beyond those that the cluster makes. Texts of
// the form "section.key" to value.
using ExtraSettings = std::map<std::string, std::string>;

// Entry instances, stand-ins and calls of one test, all on loopback ports.
class Cluster {
 public:
  explicit Cluster(const std::string& name);

  EventLoop& Loop() { return m_loop; }
  HttpPort& Http() { return m_client; }

  // Starts the platform and waits until it answers.
  void StartPlatform(const std::vector<std::string>& flags = {});

  // Starts an engine or plain service and returns its port.
  std::uint16_t StartEngine(const std::vector<std::string>& flags = {});
  std::uint16_t StartService(const std::vector<std::string>& flags = {});

  // Starts an endpoint that ended again, at its port and with its flags.
  void RestartEndpoint(std::uint16_t port);

  // Starts entry instances entry-1 to entry-N in zones z1 to z3, each a region
  // of its own, and waits until all admit requests.
  void StartEntries(int count, const ExtraSettings& extra = {});

  // Starts one entry instance of those that StartEntries planned, again.
  void RestartEntry(int index);

  // Writes a resource through the operators' API of an instance. Returns the
  // reply; the version replaced is read first unless one is given.
  Reply Apply(int entry, const std::string& kind, const std::string& name,
              const std::string& body_json,
              std::optional<std::uint64_t> version = std::nullopt);

  // Writes a resource through the first instance, again and again until it is
  // accepted: an instance that has not reached the log yet refuses writes.
  // Fails the test if it is never accepted.
  void MustApply(const std::string& kind, const std::string& name,
                 const std::string& body_json);

  // Writes what most tests need: workspace w1 with key "secret-1", workspace
  // w2 with key "secret-2", model m on fleet engines, service fleet desks with
  // the not repeatable route /desk, and the endpoints of the given ports.
  void ApplyBasics(const std::vector<std::uint16_t>& engines,
                   const std::vector<std::uint16_t>& services,
                   bool checks_fencing = true);

  // Calls and waits for the end of the answer.
  Reply Call(HttpCall call, Duration limit = std::chrono::seconds(20));

  // Starts a call; the reply fills up while the loop runs.
  std::shared_ptr<Reply> StartCall(HttpCall call,
                                   HttpPort::CallId* id = nullptr);

  HttpCall Completion(int entry, const std::string& prompt, int max_tokens,
                      bool stream, const std::string& key = "secret-1") const;

  HttpCall Desk(int entry, const std::string& path,
                const std::string& idempotency_key,
                const std::string& key = "secret-1") const;

  bool Until(const std::function<bool()>& condition,
             Duration limit = std::chrono::seconds(20));

  // Base URLs, by index from 1 for entries.
  std::string CallerUrl(int entry) const;
  std::string OperatorUrl(int entry) const;
  std::string PlatformUrl() const;

  // Uses this port instead of the platform's own for entries started later.
  void RoutePlatformThrough(std::uint16_t port) { m_platform_route = port; }

  Process& Entry(int index) { return *m_entries.at(index); }
  Process& Platform() { return *m_platform; }
  Process& Endpoint(std::uint16_t port) { return *m_endpoints.at(port); }
  std::string LogPath(const std::string& process) const;

 private:
  struct EntryPorts {
    std::uint16_t m_callers = 0;
    std::uint16_t m_operators = 0;
    std::uint16_t m_peers = 0;
  };

  std::string WriteSettings(int index, const ExtraSettings& extra) const;
  // Program and flags of an endpoint, to start it again.
  struct EndpointStart {
    std::string m_program;
    std::vector<std::string> m_flags;
  };

  std::uint16_t StartEndpoint(const std::string& program,
                              std::vector<std::string> flags);
  bool Answers(const std::string& url);

  std::string m_folder;
  EventLoop m_loop;
  CurlClient m_client;
  std::uint16_t m_platform_port = 0;
  std::uint16_t m_platform_route = 0;
  std::unique_ptr<Process> m_platform;
  // Prints whether the processes run and the end of their logs, so that a
  // failure that is seen once can be traced.
  void TellProcess(const std::string& name, Process* process) const;
  void TellProcesses() const;

  std::map<std::uint16_t, std::unique_ptr<Process>> m_endpoints;
  std::map<std::uint16_t, EndpointStart> m_endpoint_starts;
  std::map<int, EntryPorts> m_ports;
  std::map<int, ExtraSettings> m_extra;
  std::map<int, std::unique_ptr<Process>> m_entries;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_PROCESS_H_
