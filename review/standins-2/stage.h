// Small stand-ins for the cases of the second review: the platform's store and
// its API for duties, replicas, clients, and the entry instances as separate
// processes. Everything runs on loopback addresses and on the real clock.
#ifndef REVIEW_STANDINS_2_STAGE_H_
#define REVIEW_STANDINS_2_STAGE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Seconds since the start of the case.
inline double Seconds() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline std::uint64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(double seconds) {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void SleepUntil(double at) { Sleep(at - Seconds()); }

// The record of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_file == nullptr) return;
    std::fprintf(m_file, "%9.3f ", Seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline Record*& Log() {
  static Record* record = nullptr;
  return record;
}

[[noreturn]] void GiveUp(const std::string& reason);

struct Message {
  std::string m_method;  // Of a request.
  std::string m_target;
  int m_status = 0;  // Of a response.
  std::vector<std::pair<std::string, std::string>> m_fields;
  std::string m_body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : m_fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
};

// One channel with blocking reads and writes.
class Conn {
 public:
  explicit Conn(int descriptor) : m_descriptor(descriptor) {}
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  bool IsOpen() const { return m_descriptor >= 0; }
  int Descriptor() const { return m_descriptor; }
  void Close() {
    if (m_descriptor >= 0) close(m_descriptor);
    m_descriptor = -1;
  }
  bool Write(const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n = send(m_descriptor, bytes.data() + at, bytes.size() - at,
                             MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads more bytes. Returns false at the end of the channel or at `until`.
  bool Fill(double until) {
    const double left = until - Seconds();
    if (left <= 0) return false;
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char buffer[16384];
    const ssize_t n = recv(m_descriptor, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      m_ended = true;
      return false;
    }
    m_buffer.append(buffer, static_cast<std::size_t>(n));
    return true;
  }
  bool ReadLine(std::string* line, double until) {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    *line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(std::size_t count, std::string* bytes, double until) {
    while (m_buffer.size() < count) {
      if (!Fill(until)) return false;
    }
    bytes->append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
  }
  bool ReadHead(Message* message, bool is_response, double until) {
    std::string line;
    if (!ReadLine(&line, until)) return false;
    std::istringstream first(line);
    std::string protocol;
    if (is_response) {
      first >> protocol >> message->m_status;
    } else {
      first >> message->m_method >> message->m_target;
    }
    while (ReadLine(&line, until) && !line.empty()) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message->m_fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return line.empty();
  }
  // Reads a body with a length or in chunks. Calls on_part for each part that
  // arrives. Returns whether the body is complete.
  bool ReadBody(const Message& head, double until,
                const std::function<void(const std::string&)>& on_part) {
    if (strcasecmp(head.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      std::string line;
      while (ReadLine(&line, until)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string part;
        if (size == 0) return ReadLine(&line, until);
        if (!ReadBytes(size, &part, until) || !ReadLine(&line, until)) {
          return false;
        }
        on_part(part);
      }
      return false;
    }
    const std::size_t size =
        std::strtoul(head.Get("Content-Length").c_str(), nullptr, 10);
    std::string part;
    if (!ReadBytes(size, &part, until)) return false;
    if (size > 0) on_part(part);
    return true;
  }
  bool HasEnded() const { return m_ended; }

 private:
  int m_descriptor;
  std::string m_buffer;
  bool m_ended = false;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::string ToText(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

// A port of the address that is free now. It lies below those that the system
// gives to outgoing connections, so that none of these takes it meanwhile.
inline int FreePort(const std::string& ip) {
  constexpr int kFirstPort = 10000;
  constexpr int kPorts = 20000;
  static std::mutex mutex;
  static int next = static_cast<int>(std::random_device{}() % kPorts);
  const std::lock_guard<std::mutex> lock(mutex);
  for (int i = 0; i < kPorts; ++i) {
    const int port = kFirstPort + next++ % kPorts;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(ip, port);
    const bool is_free =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
    close(descriptor);
    if (is_free) return port;
  }
  GiveUp("no free port at " + ip);
}

inline int Connect(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

// HTTP server with a thread for each channel. The handler returns whether the
// channel stays open.
class Server {
 public:
  using Handler = std::function<bool(Conn&, const Message&)>;
  Server(std::string ip, int port, Handler handler)
      : m_ip(std::move(ip)), m_port(port), m_state(std::make_shared<State>()) {
    m_state->m_handler = std::move(handler);
  }
  ~Server() {
    Stop();
    AwaitHandlers();
  }

  void Start() {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = AddressOf(m_ip, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 512) != 0) {
      GiveUp("cannot listen on " + ToText(m_ip, m_port));
    }
    m_thread = std::thread([listener = m_listener, state = m_state] {
      while (true) {
        const int descriptor =
            accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) return;
        const int set = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &set, sizeof(set));
        {
          const std::lock_guard<std::mutex> lock(state->m_mutex);
          state->m_open.insert(descriptor);
        }
        std::thread([descriptor, state] {
          Serve(descriptor, *state);
        }).detach();
      }
    });
  }

  // Ends like a process that is killed: the listener and all channels close.
  void Stop() {
    if (m_listener < 0) return;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    m_listener = -1;
    m_thread.join();
    CutAll();
  }

  // Waits until no handler runs. The server is stopped before.
  void AwaitHandlers() {
    while (true) {
      {
        const std::lock_guard<std::mutex> lock(m_state->m_mutex);
        if (m_state->m_open.empty()) return;
      }
      CutAll();
      Sleep(0.01);
    }
  }

  // Closes all channels and goes on listening.
  void CutAll() {
    const std::lock_guard<std::mutex> lock(m_state->m_mutex);
    for (const int descriptor : m_state->m_open)
      shutdown(descriptor, SHUT_RDWR);
  }

 private:
  struct State {
    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_open;
  };
  static void Serve(int descriptor, State& state) {
    Conn conn(descriptor);
    while (true) {
      Message request;
      const double until = Seconds() + 60;
      if (!conn.ReadHead(&request, false, until)) break;
      const bool whole = conn.ReadBody(
          request, until,
          [&request](const std::string& part) { request.m_body += part; });
      if (!whole || !state.m_handler(conn, request)) break;
    }
    const std::lock_guard<std::mutex> lock(state.m_mutex);
    state.m_open.erase(descriptor);
    conn.Close();
  }

  std::string m_ip;
  int m_port;
  std::shared_ptr<State> m_state;
  int m_listener = -1;
  std::thread m_thread;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string FormatResponse(int status, const Fields& fields,
                                  const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      text += padding ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    at = end;
  }
  return "";
}

// Time between the status reports of a replica.
constexpr double kReportIntervalS = 1.2;

// The platform's store (a log with topics) and its API for duties.
class Platform {
 public:
  explicit Platform(const std::string& ip)
      : m_ip(ip),
        m_store_port(FreePort(ip)),
        m_api_port(FreePort(ip)),
        m_store(ip, m_store_port,
                [this](Conn& conn, const Message& request) {
                  return HandleStore(conn, request);
                }),
        m_api(ip, m_api_port, [this](Conn& conn, const Message& request) {
          return HandleApi(conn, request);
        }) {}

  ~Platform() { Stop(); }

  void Start() {
    m_store.Start();
    m_api.Start();
    m_runs = true;
    m_sweeper = std::thread([this] {
      while (m_runs) {
        Sweep();
        Sleep(0.05);
      }
    });
  }
  void Stop() {
    if (!m_runs.exchange(false)) return;
    m_sweeper.join();
    m_store.Stop();
    m_api.Stop();
    m_store.AwaitHandlers();
    m_api.AwaitHandlers();
  }
  std::string StoreAddress() const { return ToText(m_ip, m_store_port); }
  std::string ApiAddress() const { return ToText(m_ip, m_api_port); }

  // Writes a record of a keyed topic; without a value the key is dropped.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Append(topic, static_cast<char>(key.size()) + key + value);
    m_changed.notify_all();
  }

  // Writes the status report of a replica. The entry is dropped after three
  // intervals without another one.
  void PutReport(const std::string& id, const std::string& entry) {
    Put("keyed.servers", id, entry);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_reported[id] = Seconds();
  }
  void DropReport(const std::string& id) {
    Put("keyed.servers", id, "");
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_reported.erase(id);
  }

 private:
  // History of the store.
  static constexpr double kKeepS = 20;

  struct Entry {
    std::string m_content;
    double m_at = 0;
  };
  struct Topic {
    std::uint64_t m_first = 0;
    std::vector<Entry> m_entries;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_newest;
    std::uint64_t End() const { return m_first + m_entries.size(); }
  };

  void Sweep() {
    std::vector<std::string> silent;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const auto& [id, at] : m_reported) {
        if (Seconds() - at > 3 * kReportIntervalS) silent.push_back(id);
      }
    }
    for (const std::string& id : silent) DropReport(id);
  }

  std::uint64_t Append(const std::string& name, const std::string& content) {
    Topic& topic = m_topics[name];
    const std::uint64_t offset = topic.End();
    topic.m_entries.push_back({content, Seconds()});
    if (name.rfind("keyed.", 0) == 0 && !content.empty()) {
      const std::size_t size = static_cast<unsigned char>(content[0]);
      const std::string key = content.substr(1, size);
      const std::string value = content.substr(1 + size);
      if (value.empty()) {
        topic.m_newest.erase(key);
      } else {
        topic.m_newest[key] = {offset, value};
      }
    }
    return offset;
  }
  static void Expire(Topic& topic) {
    std::size_t old = 0;
    while (old < topic.m_entries.size() &&
           Seconds() - topic.m_entries[old].m_at > kKeepS) {
      ++old;
    }
    topic.m_entries.erase(
        topic.m_entries.begin(),
        topic.m_entries.begin() + static_cast<std::ptrdiff_t>(old));
    topic.m_first += old;
  }
  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      text += static_cast<char>(value >> shift);
    }
    return text;
  }
  static bool Answer(Conn& conn, int status, const std::string& type,
                     const std::string& body) {
    return conn.Write(FormatResponse(
        status, {{"Content-Type", type}, {"Store-Era", "1"}}, body));
  }

  bool HandleStore(Conn& conn, const Message& request) {
    const std::string name = QueryValue(request.m_target, "topic");
    if (request.m_target.rfind("/comfreypaddle/log-append", 0) == 0) {
      return HandleAppend(conn, request, name);
    }
    if (request.m_target.rfind("/comfreypaddle/log-newest", 0) == 0) {
      return HandleNewest(conn, name);
    }
    if (request.m_target.rfind("/comfreypaddle/log-read", 0) == 0) {
      return HandleRead(conn, request, name);
    }
    return Answer(conn, 404, "application/json", "{}");
  }
  bool HandleAppend(Conn& conn, const Message& request,
                    const std::string& name) {
    Sleep(0.002);
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string at = QueryValue(request.m_target, "at");
    const std::uint64_t end = m_topics[name].End();
    if (!at.empty() && std::stoull(at) != end) {
      lock.unlock();
      return Answer(conn, 412, "application/json",
                    "{\"endOffset\":" + std::to_string(end) + "}");
    }
    std::string rest = request.m_body;
    while (rest.size() >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i)
        size = size << 8U | static_cast<unsigned char>(rest[i]);
      Append(name, rest.substr(4, size));
      rest.erase(0, 4 + size);
    }
    const std::uint64_t after = m_topics[name].End();
    m_changed.notify_all();
    lock.unlock();
    return Answer(conn, 200, "application/json",
                  "{\"offset\":" + std::to_string(end) +
                      ",\"endOffset\":" + std::to_string(after) + "}");
  }
  bool HandleNewest(Conn& conn, const std::string& name) {
    Sleep(0.002);
    std::string items;
    std::uint64_t end = 0;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      Topic& topic = m_topics[name];
      end = topic.End();
      for (const auto& [key, newest] : topic.m_newest) {
        if (!items.empty()) items += ",";
        items += "{\"key\":\"" + key + "\",\"value\":\"" +
                 Base64(newest.second) +
                 "\",\"offset\":" + std::to_string(newest.first) + "}";
      }
    }
    return Answer(
        conn, 200, "application/json",
        "{\"items\":[" + items +
            "],\"hasMore\":false,\"endOffset\":" + std::to_string(end) + "}");
  }
  bool HandleRead(Conn& conn, const Message& request, const std::string& name) {
    Sleep(0.002);
    const std::uint64_t from =
        std::stoull("0" + QueryValue(request.m_target, "from"));
    const double wait =
        std::stod("0" + QueryValue(request.m_target, "waitMs")) / 1000;
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::duration<double>(wait),
                       [&] { return m_topics[name].End() != from; });
    Topic& topic = m_topics[name];
    Expire(topic);
    if (from < topic.m_first || from > topic.End()) {
      const std::uint64_t first = topic.m_first;
      lock.unlock();
      return Answer(conn, 410, "application/json",
                    "{\"firstOffset\":" + std::to_string(first) + "}");
    }
    std::string body = BigEndian(topic.End(), 8) + BigEndian(topic.m_first, 8);
    for (std::uint64_t i = from; i < topic.End() && body.size() < (1U << 20U);
         ++i) {
      const std::string& content = topic.m_entries[i - topic.m_first].m_content;
      body += BigEndian(content.size(), 4) + content;
    }
    lock.unlock();
    return Answer(conn, 200, "application/octet-stream", body);
  }
  static bool HandleApi(Conn& conn, const Message& request) {
    Log()->Line("duty call %s holder=%s fence=%s", request.m_target.c_str(),
                request.Get("Duty-Holder").c_str(),
                request.Get("Fencing-Token").c_str());
    return conn.Write(
        FormatResponse(200, {{"Content-Type", "application/json"}}, "{}"));
  }

  std::string m_ip;
  int m_store_port;
  int m_api_port;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, double> m_reported;
  std::atomic<bool> m_runs{false};
  std::thread m_sweeper;
  Server m_store;
  Server m_api;
};

// One replica: it registers itself in the store and answers on its address.
// What it does with a request is up to the case.
class Replica {
 public:
  // Gets the request and the lifetime (a number) that runs it. Returns whether
  // the channel stays open.
  using Handler = std::function<bool(Replica&, Conn&, const Message&)>;

  Replica(Platform& platform, std::string id, std::string service,
          std::string zone, const std::string& ip, int slots, bool is_engine,
          Handler handler)
      : m_platform(platform),
        m_first_id(id),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_ip(ip),
        m_port(FreePort(ip)),
        m_slots(slots),
        m_is_engine(is_engine),
        m_handler(std::move(handler)),
        m_server(ip, m_port, [this](Conn& conn, const Message& request) {
          return Handle(conn, request);
        }) {}
  ~Replica() {
    Crash();
    m_server.AwaitHandlers();
  }

  // Begins a new lifetime at the same address. The first status report is
  // written after `report_after_s`.
  void Start(const std::string& version, double report_after_s,
             bool has_new_id = false) {
    Crash();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (has_new_id) m_id = m_first_id + "-" + std::to_string(m_lifetime + 1);
    m_reports = true;
    m_version = version;
    m_born_ms = UnixMs();
    m_sequence = 0;
    m_state = "ready";
    ++m_lifetime;
    m_is_up = true;
    m_server.Start();
    Log()->Line("replica %s starts version=%s born=%llu", m_id.c_str(),
                version.c_str(),
                static_cast<unsigned long long>(m_born_ms.load()));
    m_reporter =
        std::thread([this, lifetime = m_lifetime.load(), report_after_s] {
          double next = Seconds() + report_after_s;
          while (WaitUntil(next, lifetime)) {
            Report();
            next += kReportIntervalS;
          }
        });
  }

  // Ends without a word.
  void Crash() {
    if (!m_is_up.exchange(false)) return;
    m_wake.notify_all();
    m_server.Stop();
    if (m_reporter.joinable()) m_reporter.join();
    m_crashed_at = Seconds();
    Log()->Line("replica %s ends", m_id.c_str());
  }

  void CutChannels() { m_server.CutAll(); }
  // Drops the entry and stops reporting, while the replica goes on serving.
  void LeaveList() {
    m_reports = false;
    m_platform.DropReport(Id());
  }
  bool IsUp() const { return m_is_up; }
  double CrashedAt() const { return m_crashed_at; }
  int Lifetime() const { return m_lifetime; }
  std::string Id() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_id;
  }
  std::string Version() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_version;
  }

  // Runs that are under way, for the report.
  void AddRun(const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(m_runs_mutex);
    m_runs.insert(attempt);
  }
  void RemoveRun(const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(m_runs_mutex);
    m_runs.erase(attempt);
  }

 private:
  bool WaitUntil(double at, int lifetime) {
    std::unique_lock<std::mutex> lock(m_wake_mutex);
    m_wake.wait_for(
        lock, std::chrono::duration<double>(std::max(0.0, at - Seconds())),
        [this] { return !m_is_up; });
    return m_is_up && lifetime == m_lifetime;
  }
  void Report() {
    if (!m_reports) return;
    std::string entry;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      entry = "{\"service\":\"" + m_service + "\",\"address\":\"" +
              ToText(m_ip, m_port) + "\",\"zone\":\"" + m_zone +
              "\",\"version\":\"" + m_version +
              "\",\"slots\":" + std::to_string(m_slots) + ",\"state\":\"" +
              m_state + "\",\"coldRemainingMs\":0,";
      if (m_is_engine) {
        entry +=
            "\"phase\":\"decode\",\"modelList\":[{\"name\":\"m\",\"version\":1,"
            "\"adapterList\":[]}],";
      }
      entry += "\"born\":" + std::to_string(m_born_ms) +
               ",\"sequence\":" + std::to_string(++m_sequence) + "}";
    }
    m_platform.PutReport(Id(), entry);
  }
  bool Handle(Conn& conn, const Message& request) {
    const std::string expected = request.Get("Expect-Instance");
    const std::string id = Id();
    Fields fields{{"Instance-Id", id}, {"Content-Type", "application/json"}};
    const std::string attempt = request.Get("Attempt-Id");
    if (!attempt.empty()) fields.emplace_back("Attempt-Id", attempt);
    if (!expected.empty() && expected != id) {
      fields.emplace_back("Not-Executed", "1");
      return conn.Write(FormatResponse(421, fields, ""));
    }
    if (request.m_target == "/comfreypaddle/report") {
      return conn.Write(FormatResponse(200, fields, ReportBody()));
    }
    if (request.m_target == "/healthz" || request.m_method == "DELETE") {
      return conn.Write(FormatResponse(200, fields, ""));
    }
    return m_handler(*this, conn, request);
  }
  std::string ReportBody() {
    const std::lock_guard<std::mutex> lock(m_runs_mutex);
    std::string runs;
    for (const std::string& run : m_runs) {
      runs +=
          std::string(runs.empty() ? "" : ",") + "[\"" + run + "\",100,1,5]";
    }
    return "{\"phase\":\"decode\",\"modelList\":[{\"name\":\"m\",\"version\":1,"
           "\"adapterList\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,"
           "\"active\":" +
           std::to_string(m_runs.size()) +
           ",\"kvInUse\":0,\"kvCapacityTotal\":500000,\"kvHandles\":0,"
           "\"state\":"
           "\"ready\",\"born\":" +
           std::to_string(m_born_ms) + ",\"runs\":[" + runs + "]}";
  }

  Platform& m_platform;
  std::string m_first_id;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_ip;
  int m_port;
  int m_slots;
  bool m_is_engine;
  Handler m_handler;
  Server m_server;
  mutable std::mutex m_mutex;
  std::string m_version;
  std::string m_state;
  std::atomic<std::uint64_t> m_born_ms{0};
  std::uint64_t m_sequence = 0;
  std::atomic<int> m_lifetime{0};
  std::atomic<bool> m_is_up{false};
  std::atomic<bool> m_reports{true};
  std::atomic<double> m_crashed_at{0};
  std::mutex m_wake_mutex;
  std::condition_variable m_wake;
  std::thread m_reporter;
  std::mutex m_runs_mutex;
  std::set<std::string> m_runs;
};

// A folder for settings and logs that is removed at the end.
inline std::string& WorkFolder() {
  static std::string folder;
  return folder;
}

// An entry instance: the program and the command of the deploy file.
class Instance {
 public:
  Instance(std::string name, std::string zone, std::string region,
           std::string zones, const std::string& ip, const Platform& platform,
           int memory_mb = 260)
      : m_name(std::move(name)), m_ip(ip) {
    m_callers = FreePort(ip);
    m_ready = FreePort(ip);
    const int peers = FreePort(ip);
    const int metrics = FreePort(ip);
    m_settings = WorkFolder() + "/" + m_name + ".ini";
    std::ofstream(m_settings)
        << "[instance]\nname = " << m_name << "\navailability_zone = " << zone
        << "\nregion = " << region << "\nzones = " << zones
        << "\n\n[listen]\ncallers = " << ToText(ip, m_callers)
        << "\nready = " << ToText(ip, m_ready)
        << "\npeers = " << ToText(ip, peers)
        << "\nmetrics = " << ToText(ip, metrics)
        << "\n\n[platform]\nstore = " << platform.StoreAddress()
        << "\norders = " << platform.ApiAddress()
        << "\n\n[retry]\nbudget_ratio = 0.2\nwindow_s = 10\nslack = 52\n"
           "\n[duties]\nlease_ms = 3000\nusage_window_s = 5\nusage_delay_s = "
           "10\n"
           "\n[stop]\ngrace_s = 8\n\n[memory]\nmachine_mb = "
        << memory_mb << "\n";
  }
  ~Instance() { End(SIGKILL); }

  void Start() {
    const std::string log = WorkFolder() + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string program = "target/comfreypaddle";
    std::string role = "entry";
    char* arguments[] = {program.data(), role.data(), nullptr};
    std::string boot = "COMFREYPADDLE_BOOT=" + m_settings;
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = {boot.data(), path.data(), nullptr};
    // The signals that the case waits for are blocked only in the case itself.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions,
                                  &attributes, arguments, environment);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      m_pid = -1;
      GiveUp("cannot start target/comfreypaddle");
    }
    Log()->Line("instance %s starts pid=%d", m_name.c_str(), m_pid);
  }
  // Kills the process without waiting for its end.
  void Kill() const {
    if (m_pid > 0) kill(m_pid, SIGKILL);
  }
  // Sends the signal and waits for the end of the process.
  void End(int signal) {
    if (m_pid <= 0) return;
    kill(m_pid, signal);
    int status = 0;
    waitpid(m_pid, &status, 0);
    Log()->Line("instance %s ended after signal %d", m_name.c_str(), signal);
    m_pid = -1;
  }
  // Whether the process has ended by itself.
  bool HasDied() {
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
    m_pid = -1;
    return true;
  }
  bool IsReady() const {
    Conn conn(Connect(m_ip, m_ready));
    if (!conn.IsOpen()) return false;
    Message answer;
    return conn.Write(
               "GET /comfreypaddle/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           conn.ReadHead(&answer, true, Seconds() + 1) &&
           answer.m_status == 200;
  }
  bool AwaitReady(double until) const {
    while (!IsReady()) {
      if (Seconds() > until) return false;
      Sleep(0.05);
    }
    return true;
  }
  int Open() const { return Connect(m_ip, m_callers); }
  const std::string& Name() const { return m_name; }
  bool IsRunning() const { return m_pid > 0; }
  // Resident memory of the process, MB; zero if it does not run.
  double ResidentMb() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
  }

 private:
  std::string m_name;
  std::string m_ip;
  int m_callers = 0;
  int m_ready = 0;
  std::string m_settings;
  pid_t m_pid = -1;
};

// One answer as a client sees it.
struct Answer {
  bool m_has_head = false;
  bool m_complete = false;
  Message m_head;
  std::vector<std::string> m_events;  // Of a stream.
  std::string m_body;
};

inline std::string FormatRequest(const std::string& method,
                                 const std::string& target,
                                 const Fields& fields,
                                 const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Sends one client attempt on a new channel and reads its answer.
inline Answer Ask(const Instance& instance, const std::string& request,
                  double until) {
  Answer answer;
  Conn conn(instance.Open());
  if (!conn.IsOpen() || !conn.Write(request)) return answer;
  answer.m_has_head = conn.ReadHead(&answer.m_head, true, until);
  if (!answer.m_has_head) return answer;
  answer.m_complete = conn.ReadBody(
      answer.m_head, until,
      [&answer](const std::string& part) { answer.m_body += part; });
  if (answer.m_head.Get("Content-Type") != "text/event-stream") return answer;
  std::size_t end = 0;
  std::size_t from = 0;
  while ((end = answer.m_body.find("\n\n", from)) != std::string::npos) {
    answer.m_events.push_back(answer.m_body.substr(from, end - from));
    from = end + 2;
  }
  return answer;
}

inline std::string NewAttemptId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

// Value of a field of an event, such as "id: ".
inline std::string EventField(const std::string& event,
                              const std::string& name) {
  const std::size_t at = event.find(name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  const std::size_t end = std::min(event.find('\n', begin), event.size());
  return event.substr(begin, end - begin);
}

inline std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// The platform's ingress: asks each instance once a second whether it is ready;
// one with two misses gets no new channels until it is ready again.
class Ingress {
 public:
  explicit Ingress(std::vector<Instance*> instances)
      : m_instances(std::move(instances)), m_misses(m_instances.size(), 0) {
    m_checker = std::thread([this] {
      while (m_runs) {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
          const bool is_ready = m_instances[i]->IsReady();
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_misses[i] = is_ready ? 0 : m_misses[i] + 1;
        }
        for (int i = 0; i < 20 && m_runs; ++i) Sleep(0.05);
      }
    });
  }
  ~Ingress() {
    m_runs = false;
    m_checker.join();
  }
  // The instance for a new channel. Tries of one client reach other instances.
  Instance& Pick(std::size_t client, int attempt) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Instance*> rotation;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (m_misses[i] < 2) rotation.push_back(m_instances[i]);
    }
    if (rotation.empty()) rotation = m_instances;
    return *rotation[(client + static_cast<std::size_t>(attempt)) %
                     rotation.size()];
  }

 private:
  std::vector<Instance*> m_instances;
  std::vector<int> m_misses;
  std::mutex m_mutex;
  std::atomic<bool> m_runs{true};
  std::thread m_checker;
};

// One try of a client for a stream.
struct Try {
  const Instance* m_instance = nullptr;
  double m_at = 0;
  bool m_takes_up = false;
  int m_status = 0;  // Zero without an answer.
  std::size_t m_events = 0;
};

// A stream over the tries of its client.
struct Stream {
  std::vector<std::string> m_events;
  bool m_complete = false;
  int m_tries = 0;
  int m_status = 0;     // Of the last answer; zero without one.
  std::string m_first;  // Attempt that brought the first event.
  std::string m_log;    // What each try brought.
  std::vector<Try> m_all;
};

// Asks for a stream like a sound client: after a broken channel it takes the
// stream up, on a new channel at another instance, a few times.
inline Stream AskForStream(
    Ingress& ingress, std::size_t client,
    const std::function<std::string(const std::string& attempt, int deadline_ms,
                                    const Fields& more)>& make_request,
    double deadline_s, int most_tries, double pause_s) {
  Stream stream;
  const double until = Seconds() + deadline_s;
  while (stream.m_tries < most_tries && Seconds() < until) {
    if (stream.m_tries > 0) Sleep(pause_s);
    const Instance& instance = ingress.Pick(client, stream.m_tries);
    ++stream.m_tries;
    const std::string attempt = NewAttemptId();
    Fields more;
    if (!stream.m_events.empty()) {
      more.emplace_back("Last-Event-Id",
                        EventField(stream.m_events.back(), "id"));
      more.emplace_back("Resumes", stream.m_first);
    }
    const int left_ms = static_cast<int>((until - Seconds()) * 1000);
    if (left_ms <= 0) break;
    const double sent_at = Seconds();
    const Answer answer =
        Ask(instance, make_request(attempt, left_ms, more), until);
    stream.m_status = answer.m_has_head ? answer.m_head.m_status : 0;
    stream.m_all.push_back({&instance, sent_at, !more.empty(), stream.m_status,
                            answer.m_events.size()});
    stream.m_log += " [" + instance.Name() + " " + attempt +
                    " status=" + std::to_string(stream.m_status) +
                    " events=" + std::to_string(answer.m_events.size()) +
                    (answer.m_complete ? " complete]" : "]");
    if (stream.m_status == 200 && stream.m_first.empty() &&
        !answer.m_events.empty()) {
      stream.m_first = attempt;
    }
    if (stream.m_status == 200) {
      stream.m_events.insert(stream.m_events.end(), answer.m_events.begin(),
                             answer.m_events.end());
      stream.m_complete = answer.m_complete;
    }
    const bool is_final = answer.m_complete && stream.m_status != 503 &&
                          stream.m_status != 429 && stream.m_status != 502;
    if (is_final) break;
  }
  return stream;
}

// The values of "data: " in the events, each once, in order.
inline std::string DataOf(const std::vector<std::string>& events) {
  std::string all;
  for (const std::string& event : events) {
    const std::string data = EventField(event, "data");
    if (all.find(data) == std::string::npos)
      all += (all.empty() ? "" : ">") + data;
  }
  return all;
}

// Whether the case is run with its disruption.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Time after which a case that has not ended is given up.
constexpr double kLongestS = 112;

// Gives the case up when it is told to end or takes too long, so that no
// process that it started is left behind.
inline void Watch() {
  sigset_t ends;
  sigemptyset(&ends);
  for (const int number : {SIGINT, SIGTERM, SIGHUP}) sigaddset(&ends, number);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::thread([ends] {
    timespec longest{static_cast<time_t>(kLongestS), 0};
    GiveUp(sigtimedwait(&ends, nullptr, &longest) > 0 ? "told to end"
                                                      : "it takes too long");
  }).detach();
}

// Prepares the record and the work folder. Arguments: the file of the record.
inline void Begin(int argument_count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  Seconds();
  Watch();
  static Record record(argument_count > 1 ? arguments[1] : "record.txt");
  Log() = &record;
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) GiveUp("no work folder");
  WorkFolder() = folder;
  Log()->Line("trouble=%d", HasTrouble() ? 1 : 0);
}

// Ends the case. Processes are ended before, by their owners' destructors.
[[noreturn]] inline void End(int code) {
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep == nullptr) std::filesystem::remove_all(WorkFolder());
  if (keep != nullptr) std::printf("logs in %s\n", WorkFolder().c_str());
  std::fflush(stdout);
  _exit(code);
}

// Instances to end if the case cannot go on.
inline std::vector<Instance*>& AllInstances() {
  static std::vector<Instance*> all;
  return all;
}

[[noreturn]] inline void GiveUp(const std::string& reason) {
  std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
  if (Log() != nullptr) Log()->Line("cannot run: %s", reason.c_str());
  for (Instance* instance : AllInstances()) instance->End(SIGKILL);
  End(kCouldNotRun);
}

}  // namespace stage

#endif  // REVIEW_STANDINS_2_STAGE_H_
