#include "support_process.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "completion.h"
#include "http.pb.h"
#include "json.h"
#include "resources.pb.h"
#include "sha256.h"

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace comfreypaddle::testing {

namespace {

constexpr Duration kStartTimeout = std::chrono::seconds(20);

std::string BuildFolder() {
  const char* folder = std::getenv("COMFREYPADDLE_BUILD");
  return folder == nullptr ? "build" : folder;
}

std::string LocalUrl(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port);
}

int OpenSocket(std::uint16_t port, bool listening) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  const int result = listening ? bind(descriptor, raw, sizeof(address))
                               : connect(descriptor, raw, sizeof(address));
  if (result != 0 || (listening && listen(descriptor, 64) != 0)) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

void CloseWithReset(int descriptor) {
  const linger reset{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(descriptor);
}

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  const std::string path = BuildFolder() + "/" + program;
  std::vector<std::string> texts = {path};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&m_pid, path.c_str(), &actions, nullptr, pointers.data(),
                  environ) != 0) {
    m_pid = -1;
    m_exit_code = 127;
    MESSAGE("cannot start ", path,
            "; COMFREYPADDLE_BUILD names the build folder");
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  if (m_pid <= 0 || m_exit_code) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (m_pid > 0 && !m_exit_code) kill(m_pid, signal);
}

double Process::PeakMemoryMb() const {
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  const std::string label = "VmHWM:";
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind(label, 0) != 0) continue;
    constexpr double kKbPerMb = 1024;
    return std::stod(line.substr(label.size())) / kKbPerMb;
  }
  return 0;
}

void Process::LimitDescriptors(std::size_t limit) const {
  const rlimit limits{limit, limit};
  REQUIRE(prlimit(m_pid, RLIMIT_NOFILE, &limits, nullptr) == 0);
}

std::size_t Process::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(m_pid) + "/fd", error);
  if (error) return 0;
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::optional<int> Process::ExitCode() {
  if (m_exit_code) return m_exit_code;
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) return std::nullopt;
  m_exit_code =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return m_exit_code;
}

// Pair of proxied sockets; -1 if closed.
struct TcpProxy::ProxiedConnection {
  int m_client = -1;
  int m_server = -1;
  bool m_stalled = false;
  // What a silent link holds.
  std::string m_to_client;
  std::string m_to_server;
  bool m_closed_while_silent = false;
};

TcpProxy::TcpProxy(EventLoop& loop, std::uint16_t target_port)
    : m_loop(loop), m_target_port(target_port), m_port(FreePort()) {
  m_listener = OpenSocket(m_port, true);
  m_loop.Watch(m_listener, [this] { Accept(); });
}

TcpProxy::~TcpProxy() {
  for (const auto& connection : m_proxied_connections) Close(*connection);
  m_loop.Unwatch(m_listener);
  close(m_listener);
}

void TcpProxy::Accept() {
  const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0) return;
  if (m_resetting) {
    CloseWithReset(client);
    return;
  }
  auto connection = std::make_unique<ProxiedConnection>();
  connection->m_client = client;
  connection->m_stalled = m_partitioned;
  if (!m_partitioned) connection->m_server = OpenSocket(m_target_port, false);
  ProxiedConnection& self = *connection;
  m_proxied_connections.push_back(std::move(connection));
  if (!m_partitioned && self.m_server < 0) {
    Close(self);
    return;
  }
  m_loop.Watch(self.m_client,
               [this, &self] { Forward(self, self.m_client, self.m_server); });
  if (self.m_server < 0) return;
  m_loop.Watch(self.m_server,
               [this, &self] { Forward(self, self.m_server, self.m_client); });
}

// A stalled connection reads and discards incoming data, so that the sender
// sees neither an error nor a full socket buffer.
void TcpProxy::Forward(ProxiedConnection& connection, int from, int to) {
  std::array<char, 65536> buffer{};
  const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
  const std::string_view bytes(
      buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  if (!connection.m_stalled && Hold(connection, from, bytes, count <= 0)) {
    return;
  }
  if (count <= 0) {
    if (connection.m_stalled) {
      m_loop.Unwatch(from);
    } else {
      Close(connection);
    }
    return;
  }
  if (connection.m_stalled || to < 0) return;
  ssize_t sent = 0;
  while (sent < count) {
    const ssize_t step =
        send(to, buffer.data() + sent, static_cast<std::size_t>(count - sent),
             MSG_NOSIGNAL);
    if (step <= 0) {
      Close(connection);
      return;
    }
    sent += step;
  }
}

bool TcpProxy::Hold(ProxiedConnection& connection, int from,
                    std::string_view bytes, bool closed) {
  if (!m_silent) return false;
  const bool from_client = from == connection.m_client;
  (from_client ? connection.m_to_server : connection.m_to_client) += bytes;
  if (!closed) return true;
  m_loop.Unwatch(from);
  connection.m_closed_while_silent = true;
  const bool holds_data =
      !connection.m_to_server.empty() || !connection.m_to_client.empty();
  if (!holds_data) Close(connection);
  return true;
}

void TcpProxy::Release(ProxiedConnection& connection) {
  const auto deliver = [](int to, std::string& bytes) {
    if (to >= 0 && !bytes.empty()) {
      send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    bytes.clear();
  };
  deliver(connection.m_server, connection.m_to_server);
  deliver(connection.m_client, connection.m_to_client);
  if (connection.m_closed_while_silent) Close(connection);
}

void TcpProxy::SetSilent(bool silent) {
  m_silent = silent;
  if (silent) return;
  for (const auto& connection : m_proxied_connections) Release(*connection);
}

void TcpProxy::BreakTowardsClients() {
  for (const auto& connection : m_proxied_connections) {
    if (connection->m_client < 0) continue;
    m_loop.Unwatch(connection->m_client);
    close(connection->m_client);
    connection->m_client = -1;
  }
}

void TcpProxy::ResetClients() {
  m_resetting = true;
  for (const auto& connection : m_proxied_connections) {
    if (connection->m_client < 0) continue;
    m_loop.Unwatch(connection->m_client);
    CloseWithReset(std::exchange(connection->m_client, -1));
  }
}

void TcpProxy::Close(ProxiedConnection& connection) {
  for (int* descriptor : {&connection.m_client, &connection.m_server}) {
    if (*descriptor < 0) continue;
    m_loop.Unwatch(*descriptor);
    close(*descriptor);
    *descriptor = -1;
  }
}

void TcpProxy::StallOpenConnections() {
  for (const auto& each : m_proxied_connections) each->m_stalled = true;
}

void TcpProxy::SetPartitioned(bool partitioned) {
  m_partitioned = partitioned;
  for (const auto& connection : m_proxied_connections) {
    if (partitioned) {
      connection->m_stalled = true;
    } else {
      Close(*connection);
    }
  }
}

Cluster::Cluster(const std::string& name)
    : m_folder(BuildFolder() + "/system/" + name), m_client(m_loop) {
  mkdir((BuildFolder() + "/system").c_str(), 0755);
  // Removes logs of earlier runs, because processes append to them.
  std::filesystem::remove_all(m_folder);
  mkdir(m_folder.c_str(), 0755);
}

std::string Cluster::LogPath(const std::string& process) const {
  return m_folder + "/" + process + ".log";
}

bool Cluster::RespondsWithOk(const std::string& url) {
  HttpCall call;
  call.m_url = url;
  call.m_timeout = std::chrono::seconds(1);
  return Call(call).m_status == 200;
}

void Cluster::StartPlatform(const std::vector<std::string>& flags) {
  if (m_platform_port == 0) m_platform_port = FreePort();
  std::vector<std::string> arguments = {"--port",
                                        std::to_string(m_platform_port)};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  m_platform = std::make_unique<Process>("fake_platform", arguments,
                                         LogPath("platform"));
  const bool responds =
      Until([this] { return RespondsWithOk(PlatformUrl() + "/stats"); },
            kStartTimeout);
  if (!responds) PrintProcessStates();
  REQUIRE_MESSAGE(responds, "the platform stand-in does not respond");
}

std::uint16_t Cluster::StartEndpoint(const std::string& program,
                                     std::vector<std::string> flags) {
  const std::uint16_t port = FreePort();
  flags.insert(flags.begin(), {"--port", std::to_string(port)});
  m_endpoint_starts[port] = {program, flags};
  RestartEndpoint(port);
  Until([this, port] { return RespondsWithOk(LocalUrl(port) + "/stats"); },
        kStartTimeout);
  return port;
}

void Cluster::RestartEndpoint(std::uint16_t port) {
  const EndpointStart& start = m_endpoint_starts.at(port);
  m_endpoints[port] = std::make_unique<Process>(
      start.m_program, start.m_flags,
      LogPath(start.m_program + "-" + std::to_string(port)));
}

std::uint16_t Cluster::StartEngine(const std::vector<std::string>& flags) {
  std::vector<std::string> all = {"--model", "m"};
  all.insert(all.end(), flags.begin(), flags.end());
  return StartEndpoint("fake_engine", all);
}

std::uint16_t Cluster::StartService(const std::vector<std::string>& flags) {
  return StartEndpoint("fake_service", flags);
}

std::string Cluster::WriteSettings(int index,
                                   const ExtraSettings& extra) const {
  const EntryPorts& ports = m_ports.at(index);
  const std::string zone = "z" + std::to_string((index - 1) % 3 + 1);
  std::string members;
  for (const auto& [other, peer] : m_ports) {
    if (other == index) continue;
    members += members.empty() ? "" : ",";
    members += "entry-" + std::to_string(other) + "/r" +
               std::to_string((other - 1) % 3 + 1) +
               "/127.0.0.1:" + std::to_string(peer.m_peers);
  }
  const std::uint16_t platform =
      m_platform_proxy_port != 0 ? m_platform_proxy_port : m_platform_port;
  ExtraSettings settings = {
      {"instance.name", "entry-" + std::to_string(index)},
      {"instance.availability_zone", zone},
      {"instance.region", "r" + zone.substr(1)},
      {"instance.deployment", "test"},
      {"callers.port", std::to_string(ports.m_callers)},
      {"operators.port", std::to_string(ports.m_operators)},
      {"peers.port", std::to_string(ports.m_peers)},
      {"log.url", LocalUrl(platform)},
      {"platform.url", LocalUrl(platform)},
      {"admission.drain_notice_ms", "200"}};
  if (!members.empty()) settings["peers.members"] = members;
  for (const auto& [key, value] : extra) settings[key] = value;
  const std::string path =
      m_folder + "/entry-" + std::to_string(index) + ".ini";
  std::ofstream file(path);
  std::string section;
  for (const auto& [key, value] : settings) {
    const std::size_t dot = key.find('.');
    if (key.substr(0, dot) != section) {
      section = key.substr(0, dot);
      file << "[" << section << "]\n";
    }
    file << key.substr(dot + 1) << " = " << value << "\n";
  }
  return path;
}

void Cluster::StartEntries(int count, const ExtraSettings& extra) {
  for (int i = 1; i <= count; ++i) {
    m_ports[i] = {FreePort(), FreePort(), FreePort()};
    m_extra[i] = extra;
  }
  for (int i = 1; i <= count; ++i) RestartEntry(i);
  for (int i = 1; i <= count; ++i) {
    Until([this, i] { return RespondsWithOk(CallerUrl(i) + "/readyz"); },
          kStartTimeout);
  }
}

void Cluster::RestartEntry(int index) {
  const std::string path = WriteSettings(index, m_extra.at(index));
  m_entries[index] = std::make_unique<Process>(
      "comfreypaddle", std::vector<std::string>{"serve", "--config", path},
      LogPath("entry-" + std::to_string(index)));
}

Reply Cluster::Apply(int entry, const std::string& kind,
                     const std::string& name, const std::string& body_json,
                     std::optional<std::uint64_t> version) {
  const std::string url = OperatorUrl(entry) + "/api/v1/" + kind + "/" + name;
  if (!version) {
    HttpCall get;
    get.m_url = url;
    schema::Resource current;
    const Reply reply = Call(get);
    if (reply.m_status == 200) {
      FromJson(reply.m_body, UnknownFields::kIgnore, &current);
    }
    version = current.resource_version();
  }
  HttpCall put;
  put.m_method = "PUT";
  put.m_url = url;
  put.m_body = "{\"resource_version\":\"" + std::to_string(*version) + "\",\"" +
               kind + "\":" + body_json + "}";
  return Call(put);
}

void Cluster::PrintProcessState(const std::string& name,
                                Process* process) const {
  constexpr std::size_t kTailBytes = 1500;
  std::ostringstream log;
  log << std::ifstream(LogPath(name)).rdbuf();
  const std::string text = log.str();
  const auto code = process == nullptr ? std::nullopt : process->ExitCode();
  MESSAGE(name,
          code ? " exited with status " + std::to_string(*code) : " is running",
          "; tail of its log:\n",
          text.substr(text.size() - std::min(text.size(), kTailBytes)));
}

void Cluster::PrintProcessStates() const {
  PrintProcessState("platform", m_platform.get());
  for (const auto& [index, entry] : m_entries) {
    PrintProcessState("entry-" + std::to_string(index), entry.get());
  }
}

void Cluster::ApplyWithRetry(const std::string& kind, const std::string& name,
                             const std::string& body_json) {
  const bool accepted = Until(
      [&] {
        const Reply reply = Apply(1, kind, name, body_json);
        if (reply.m_status == 200) return true;
        // Records the rejection for the diagnosis of a failed run.
        MESSAGE("write of ", kind, " ", name, " returned status ",
                reply.m_status, ": ", reply.m_body);
        return false;
      },
      kStartTimeout);
  if (!accepted) PrintProcessStates();
  REQUIRE_MESSAGE(accepted, kind, " ", name,
                  " was not accepted within the time limit");
}

void Cluster::ApplyDefaultResources(const std::vector<std::uint16_t>& engines,
                                    const std::vector<std::uint16_t>& services,
                                    bool checks_fencing) {
  for (const std::string number : {"1", "2"}) {
    ApplyWithRetry("workspace", "w" + number,
                   R"({"name":"w)" + number + R"(","weight":1})");
    ApplyWithRetry("key", "k" + number,
                   R"({"name":"k)" + number + R"(","workspace":"w)" + number +
                       R"(","secret_sha256":")" +
                       Sha256Hex("secret-" + number) + "\"}");
  }
  ApplyWithRetry("model", "m", R"({"name":"m","version":"1","weights":"m-1"})");
  ApplyWithRetry(
      "fleet", "engines",
      R"({"name":"engines","kind":"engine","model":"m","replicas":)" +
          std::to_string(engines.size()) + R"(,"concurrency":64})");
  ApplyWithRetry("fleet", "desks",
                 R"({"name":"desks","kind":"service","replicas":)" +
                     std::to_string(services.size()) + R"(,"concurrency":64})");
  const auto apply = [this, checks_fencing](const std::string& prefix,
                                            const std::string& fleet,
                                            std::uint16_t port, int number) {
    const std::string name = prefix + std::to_string(number);
    const std::string zone = std::to_string((number - 1) % 3 + 1);
    ApplyWithRetry("endpoint", name,
                   R"({"name":")" + name + R"(","fleet":")" + fleet +
                       R"(","availability_zone":"z)" + zone +
                       R"(","region":"r)" + zone +
                       R"(","address":"127.0.0.1:)" + std::to_string(port) +
                       R"(","checks_fencing":)" +
                       (checks_fencing ? "true" : "false") + "}");
  };
  int number = 0;
  for (const std::uint16_t port : engines) {
    apply("engine-", "engines", port, ++number);
  }
  number = 0;
  for (const std::uint16_t port : services) {
    apply("desk-", "desks", port, ++number);
  }
  ApplyWithRetry(
      "route", "completions",
      R"({"name":"completions","model":"m","fleet":"engines","repeatable":true})");
  ApplyWithRetry("route", "desk",
                 R"({"name":"desk","path_prefix":"/desk","fleet":"desks"})");
}

std::shared_ptr<Reply> Cluster::StartCall(HttpCall call, HttpPort::CallId* id) {
  auto reply = std::make_shared<Reply>();
  HttpEvents events;
  events.m_on_head = [reply](int status, const HttpFields& headers) {
    reply->m_status = status;
    reply->m_headers = headers;
  };
  events.m_on_body = [reply](std::string_view bytes) {
    reply->m_body.append(bytes);
  };
  events.m_on_end = [reply](const HttpResult& result) {
    reply->m_error = result.m_error;
    reply->m_ended = true;
  };
  const HttpPort::CallId started =
      m_client.Start(std::move(call), std::move(events));
  if (id != nullptr) *id = started;
  return reply;
}

Reply Cluster::Call(HttpCall call, Duration limit) {
  if (call.m_timeout.count() == 0) call.m_timeout = limit;
  const auto reply = StartCall(std::move(call));
  Until([&reply] { return reply->m_ended; }, limit + std::chrono::seconds(1));
  return *reply;
}

HttpCall Cluster::Completion(int entry, const std::string& prompt,
                             int max_tokens, bool stream,
                             const std::string& key) const {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = CallerUrl(entry) + "/v1/completions";
  call.m_headers = {{"content-type", "application/json"},
                    {"authorization", "Bearer " + key}};
  call.m_body = R"({"model":"m","prompt":)" + QuoteJson(prompt) +
                R"(,"max_tokens":)" + std::to_string(max_tokens) +
                R"(,"stream":)" + (stream ? "true" : "false") + "}";
  return call;
}

HttpCall Cluster::Desk(int entry, const std::string& path,
                       const std::string& idempotency_key,
                       const std::string& key) const {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = CallerUrl(entry) + path;
  call.m_headers = {{"content-type", "application/json"},
                    {"authorization", "Bearer " + key}};
  if (!idempotency_key.empty()) {
    call.m_headers.push_back({"idempotency-key", idempotency_key});
  }
  call.m_body = "{}";
  return call;
}

bool Cluster::Until(const std::function<bool()>& condition, Duration limit) {
  return RunUntil(m_loop, limit, condition);
}

std::string Cluster::CallerUrl(int entry) const {
  return LocalUrl(m_ports.at(entry).m_callers);
}

std::string Cluster::OperatorUrl(int entry) const {
  return LocalUrl(m_ports.at(entry).m_operators);
}

std::string Cluster::PlatformUrl() const { return LocalUrl(m_platform_port); }

}  // namespace comfreypaddle::testing
