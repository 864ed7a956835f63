// Stand-ins for the review cases: the platform's store, its duties API,
// replicas, clients, and the entry processes under test. Everything runs on
// loopback addresses. Only the C++ standard library and POSIX are used.
#ifndef COMFREYPADDLE_REVIEW_STANDINS_H_
#define COMFREYPADDLE_REVIEW_STANDINS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point& Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}

// Seconds since the start of the case.
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::uint64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Lines of record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
    m_file << time << text << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

// The case cannot run: exit code 2.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::cerr << "cannot run: " << why << std::endl;
  std::exit(2);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, int* port, int backlog = 512) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Address(ip, *port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, backlog) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

inline int Connect(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline void CloseWithReset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

// ---------------------------------------------------------------- messages

struct Message {
  std::string m_first;   // Request line or status line.
  std::string m_method;  // Of a request.
  std::string m_target;
  int m_status = 0;  // Of a response.
  std::vector<std::pair<std::string, std::string>> m_fields;
  std::string m_body;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : m_fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
};

// Reads messages from a socket. Returns false at the end of the connection.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // A response without a length that ends with the connection is complete.
  // `complete` tells whether the whole message was read.
  bool Read(Message* message, bool is_response, bool* complete = nullptr,
            std::function<void(std::size_t)> pace = {}) {
    *message = Message{};
    if (complete != nullptr) *complete = false;
    m_pace = std::move(pace);
    std::size_t end;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    ParseHead(m_buffer.substr(0, end), message, is_response);
    m_buffer.erase(0, end + 4);
    const std::string length = message->Field("Content-Length");
    bool whole = true;
    if (strcasecmp(message->Field("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      whole = ReadChunks(&message->m_body);
    } else if (!length.empty()) {
      whole = ReadBytes(std::stoull(length), &message->m_body);
    } else if (is_response) {
      while (Fill()) {
      }
      message->m_body = std::move(m_buffer);
      m_buffer.clear();
      whole = !m_reset;
    }
    if (complete != nullptr) *complete = whole;
    return whole || is_response;
  }

  bool WasReset() const { return m_reset; }

 private:
  bool Fill() {
    char bytes[16384];
    const ssize_t n = recv(m_fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      m_reset = n < 0;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    if (m_pace) m_pace(static_cast<std::size_t>(n));
    return true;
  }

  bool ReadBytes(std::size_t size, std::string* body) {
    while (m_buffer.size() < size) {
      if (!Fill()) {
        *body = m_buffer;
        return false;
      }
    }
    *body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

  bool ReadChunks(std::string* body) {
    while (true) {
      std::size_t end;
      while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!Fill()) return false;
      }
      const std::size_t size =
          std::stoull(m_buffer.substr(0, end), nullptr, 16);
      m_buffer.erase(0, end + 2);
      std::string part;
      if (!ReadBytes(size + 2, &part)) {
        *body += part;
        return false;
      }
      if (size == 0) return true;
      *body += part.substr(0, size);
    }
  }

  static void ParseHead(const std::string& head, Message* message,
                        bool is_response) {
    std::istringstream lines(head);
    std::string line;
    bool first = true;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (first) {
        first = false;
        message->m_first = line;
        std::istringstream words(line);
        std::string version;
        if (is_response) {
          words >> version >> message->m_status;
        } else {
          words >> message->m_method >> message->m_target;
        }
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t begin = colon + 1;
      while (begin < line.size() && line[begin] == ' ') ++begin;
      message->m_fields.emplace_back(line.substr(0, colon), line.substr(begin));
    }
  }

  int m_fd;
  std::string m_buffer;
  bool m_reset = false;
  std::function<void(std::size_t)> m_pace;
};

inline std::string Response(int status, const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- server

// HTTP server with a thread for each connection. The handler returns false to
// end the connection with a reset.
class Server {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;

  Server(const std::string& ip, int port, Handler handler)
      : m_ip(ip), m_port(port), m_handler(std::move(handler)) {
    Open();
  }
  ~Server() { Shut(); }

  int Port() const { return m_port; }
  std::string At() const { return m_ip + ":" + std::to_string(m_port); }

  // Listens again after Shut, at the same address.
  void Open() {
    m_listener = Listen(m_ip, &m_port);
    if (m_listener < 0) CannotRun("cannot listen on " + At());
    m_open = true;
    m_accept = std::thread([this] { Accept(); });
  }

  // Stops listening and resets all connections, as when the process dies.
  void Shut() {
    if (!m_open.exchange(false)) return;
    shutdown(m_listener, SHUT_RDWR);
    m_accept.join();
    close(m_listener);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const int fd : m_connections) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(fd, SHUT_RDWR);
      }
    }
    std::unique_lock<std::mutex> lock(m_mutex);
    m_idle.wait_for(lock, std::chrono::seconds(5),
                    [this] { return m_connections.empty(); });
  }

 private:
  void Accept() {
    while (m_open) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!m_open) return;
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    bool reset = false;
    while (m_open && reader.Read(&request, false)) {
      if (!m_handler(fd, request)) {
        reset = true;
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.erase(fd);
    if (reset || !m_open) {
      CloseWithReset(fd);
    } else {
      close(fd);
    }
    m_idle.notify_all();
  }

  std::string m_ip;
  int m_port;
  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_open{false};
  std::thread m_accept;
  std::mutex m_mutex;
  std::condition_variable m_idle;
  std::set<int> m_connections;
};

// ---------------------------------------------------------------- store

inline std::string Base64(const std::string& bytes) {
  static const char* table =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::size_t i = 0;
  for (; i + 2 < bytes.size(); i += 3) {
    const unsigned v = static_cast<unsigned char>(bytes[i]) << 16 |
                       static_cast<unsigned char>(bytes[i + 1]) << 8 |
                       static_cast<unsigned char>(bytes[i + 2]);
    text += table[v >> 18];
    text += table[v >> 12 & 63];
    text += table[v >> 6 & 63];
    text += table[v & 63];
  }
  if (i + 1 == bytes.size()) {
    const unsigned v = static_cast<unsigned char>(bytes[i]) << 16;
    text += table[v >> 18];
    text += table[v >> 12 & 63];
    text += "==";
  } else if (i + 2 == bytes.size()) {
    const unsigned v = static_cast<unsigned char>(bytes[i]) << 16 |
                       static_cast<unsigned char>(bytes[i + 1]) << 8;
    text += table[v >> 18];
    text += table[v >> 12 & 63];
    text += table[v >> 6 & 63];
    text += "=";
  }
  return text;
}

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 255);
  }
  return text;
}

// The platform's store: topics of one partition, conditional appends, waiting
// reads and the newest record of each key. Answers take 4 ms.
class Store {
 public:
  // Writes a record of a keyed topic; an empty value removes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    AppendRecord(topic,
                 std::string(1, static_cast<char>(key.size())) + key + value);
  }

  bool Handle(int fd, const Message& request) {
    std::this_thread::sleep_for(Millis(4));
    const std::string& target = request.m_target;
    if (target.find("/log-append") != std::string::npos) {
      return Append(fd, request);
    }
    if (target.find("/log-read") != std::string::npos) {
      return Read(fd, target);
    }
    if (target.find("/log-newest") != std::string::npos) {
      return Newest(fd, target);
    }
    return SendAll(fd, Response(404, "", ""));
  }

 private:
  struct Topic {
    std::vector<std::string> m_records;
    std::map<std::string, std::size_t> m_newest;
  };

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) return "";
    const std::string text = "&" + target.substr(query + 1);
    const std::size_t at = text.find("&" + name + "=");
    if (at == std::string::npos) return "";
    const std::size_t begin = at + name.size() + 2;
    return text.substr(begin, text.find('&', begin) - begin);
  }

  void AppendRecord(const std::string& name, const std::string& content) {
    Topic& topic = m_topics[name];
    if (name.rfind("keyed.", 0) == 0) {
      const auto size = static_cast<unsigned char>(content.front());
      topic.m_newest[content.substr(1, size)] = topic.m_records.size();
    }
    topic.m_records.push_back(content);
    m_changed.notify_all();
  }

  bool Append(int fd, const Message& request) {
    const std::string name = Parameter(request.m_target, "topic");
    const std::string at = Parameter(request.m_target, "at");
    std::unique_lock<std::mutex> lock(m_mutex);
    Topic& topic = m_topics[name];
    int status = 200;
    const std::size_t offset = topic.m_records.size();
    if (!at.empty() && std::stoull(at) != offset) {
      status = 412;
    } else {
      std::string body = request.m_body;
      while (body.size() >= 4) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8 | static_cast<unsigned char>(body[i]);
        }
        AppendRecord(name, body.substr(4, size));
        body.erase(0, 4 + size);
      }
    }
    const std::string answer =
        "{\"offset\":" + std::to_string(offset) +
        ",\"endOffset\":" + std::to_string(topic.m_records.size()) + "}";
    lock.unlock();
    return SendAll(
        fd, Response(status, "Content-Type: application/json\r\n", answer));
  }

  bool Read(int fd, const std::string& target) {
    const std::string name = Parameter(target, "topic");
    const std::size_t from = std::stoull(Parameter(target, "from"));
    const std::string wait = Parameter(target, "waitMs");
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!wait.empty()) {
      m_changed.wait_for(lock, Millis(std::stoi(wait)), [&] {
        return m_topics[name].m_records.size() > from;
      });
    }
    const Topic& topic = m_topics[name];
    std::string body = BigEndian(topic.m_records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < topic.m_records.size(); ++i) {
      body += BigEndian(topic.m_records[i].size(), 4) + topic.m_records[i];
    }
    lock.unlock();
    return SendAll(
        fd, Response(200, "Content-Type: application/octet-stream\r\n", body));
  }

  bool Newest(int fd, const std::string& target) {
    const std::string name = Parameter(target, "topic");
    std::unique_lock<std::mutex> lock(m_mutex);
    const Topic& topic = m_topics[name];
    std::string items;
    for (const auto& [key, offset] : topic.m_newest) {
      const std::string value = topic.m_records[offset].substr(1 + key.size());
      if (value.empty()) continue;
      if (!items.empty()) items += ",";
      items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
               "\",\"offset\":" + std::to_string(offset) + "}";
    }
    const std::string body = "{\"items\":[" + items +
                             "],\"hasMore\":false,\"endOffset\":" +
                             std::to_string(topic.m_records.size()) + "}";
    lock.unlock();
    return SendAll(fd,
                   Response(200, "Content-Type: application/json\r\n", body));
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
};

// ---------------------------------------------------------------- replica

// A replica of a plain service. It registers itself and reports to the store
// every 1,200 ms while it lives.
class Replica {
 public:
  // Runs a request and writes the answer; the fields that every answer has are
  // passed in. Returns false if the replica crashes on it.
  using Run = std::function<bool(Replica& self, int fd, const Message& request,
                                 const std::string& fields)>;

  Replica(Store& store, std::string name, std::string service, std::string zone,
          const std::string& ip, int slots, Run run)
      : m_store(store),
        m_name(std::move(name)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_slots(slots),
        m_run(std::move(run)),
        m_server(ip, 0, [this](int fd, const Message& request) {
          return Handle(fd, request);
        }) {
    BeginLifetime();
    m_heart = std::thread([this] { Beat(); });
  }
  ~Replica() {
    m_ending = true;
    m_heart.join();
    m_server.Shut();
  }

  std::string Id() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_id;
  }
  const std::string& Name() const { return m_name; }

  // Dies now and is back after the time, under another id. Returns at once.
  void Crash(double down_s) {
    if (m_down.exchange(true)) return;
    std::thread([this, down_s] {
      const std::string id = Id();
      m_server.Shut();
      Sleep(down_s);
      if (m_ending) return;
      BeginLifetime();
      m_server.Open();
      m_down = false;
      Report();
      // The entry of the old lifetime expires after three missed reports.
      Sleep(std::max(0.0, 3.6 - down_s));
      m_store.Put("keyed.servers", id, "");
    }).detach();
  }

  // Falls silent now: its channels stay open without a byte. It is back after
  // the time, under another id, and then resets them. Returns at once.
  void GoDark(double down_s) {
    if (m_down.exchange(true)) return;
    m_dark_until = Seconds() + down_s;
    std::thread([this, down_s] {
      const std::string id = Id();
      Sleep(down_s);
      if (m_ending) return;
      BeginLifetime();
      m_down = false;
      Report();
      // The entry of the old lifetime expires after three missed reports.
      Sleep(std::max(0.0, 3.6 - down_s));
      m_store.Put("keyed.servers", id, "");
    }).detach();
  }

  // Waits for the end of the dark time. Returns false at once if the replica is
  // not dark.
  bool WaitDark() const {
    if (!m_down) return false;
    Sleep(std::max(0.0, m_dark_until - Seconds()) + 0.05);
    return true;
  }

  // Ends for good.
  void Exit() {
    m_silent = true;
    m_down = true;
    m_server.Shut();
  }

  // Leaves without a report: the entry is removed, and the replica goes on
  // serving.
  void RemoveEntry() {
    m_silent = true;
    m_store.Put("keyed.servers", Id(), "");
  }

 private:
  void BeginLifetime() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_id = "i-" + m_name + "-" + std::to_string(++m_lifetimes);
    m_born = UnixMs();
    m_sequence = 0;
  }

  void Report() {
    if (m_down || m_silent) return;
    std::string id;
    std::string value;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      id = m_id;
      value = "{\"service\":\"" + m_service + "\",\"address\":\"" +
              m_server.At() + "\",\"zone\":\"" + m_zone +
              "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) +
              ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" +
              std::to_string(++m_sequence) +
              ",\"born\":" + std::to_string(m_born) + "}";
    }
    m_store.Put("keyed.servers", id, value);
  }

  void Beat() {
    while (!m_ending) {
      Report();
      for (int i = 0; i < 12 && !m_ending; ++i) Sleep(0.1);
    }
  }

  bool Handle(int fd, const Message& request) {
    if (m_dark_until > Seconds() && WaitDark()) return false;
    const std::string fields = "Attempt-Id: " + request.Field("Attempt-Id") +
                               "\r\nServer-Stamp: stamp-" + m_name +
                               "\r\nKeep-Alive: timeout=5\r\n";
    const std::string expected = request.Field("Expect-Instance");
    if (!expected.empty() && expected != Id()) {
      return SendAll(fd, Response(421, fields + "Not-Executed: 1\r\n", ""));
    }
    return m_run(*this, fd, request, fields);
  }

  Store& m_store;
  std::string m_name;
  std::string m_service;
  std::string m_zone;
  int m_slots;
  Run m_run;
  mutable std::mutex m_mutex;
  std::string m_id;
  std::uint64_t m_born = 0;
  std::uint64_t m_sequence = 0;
  int m_lifetimes = 0;
  std::atomic<bool> m_down{false};
  std::atomic<bool> m_silent{false};
  std::atomic<double> m_dark_until{-1};
  std::atomic<bool> m_ending{false};
  Server m_server;
  std::thread m_heart;
};

// ---------------------------------------------------------------- entry

struct EntryPlace {
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  std::string m_ip;
};

// Figures of the settings file, as in the example of the deploy page.
struct Bounds {
  double m_grace_s = 8;
  double m_lease_ms = 3000;
};

// One entry process, started with the command of deploy/system.toml.
class Entry {
 public:
  Entry(EntryPlace place, std::string folder, std::string store,
        std::string orders, Bounds bounds = {})
      : m_place(std::move(place)),
        m_folder(std::move(folder)),
        m_store(std::move(store)),
        m_orders(std::move(orders)),
        m_bounds(bounds) {
    m_callers = FreePort();
    m_ready = FreePort();
    m_peers = FreePort();
    WriteSettings();
  }
  ~Entry() { Kill(); }

  const EntryPlace& Place() const { return m_place; }
  int Callers() const { return m_callers; }
  double StartedAt() const { return m_started_at; }

  void Launch() {
    const std::string settings = m_folder + "/" + m_place.m_name + ".ini";
    const std::string log = m_folder + "/" + m_place.m_name + ".log";
    const std::string boot = "COMFREYPADDLE_BOOT=" + settings;
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case, however it ends.
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char* path = std::getenv("PATH");
      const std::string path_text =
          std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
      const char* const arguments[] = {"target/comfreypaddle", "entry",
                                       nullptr};
      const char* const environment[] = {path_text.c_str(), boot.c_str(),
                                         "HOME=/tmp", "LANG=C", nullptr};
      execve("target/comfreypaddle", const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
      _exit(127);
    }
    m_started_at = Seconds();
  }

  void Signal(int signal) const {
    if (m_pid > 0) kill(m_pid, signal);
  }

  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

  bool HasEnded() {
    if (m_pid <= 0) return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
    m_pid = -1;
    return true;
  }

  bool IsReady() const {
    const int fd = Connect(m_place.m_ip, m_ready);
    if (fd < 0) return false;
    const timeval limit{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    SendAll(fd, "GET /comfreypaddle/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    Message response;
    Reader reader(fd);
    const bool read = reader.Read(&response, true);
    close(fd);
    return read && response.m_status == 200;
  }

  bool WaitReady(double limit_s) const {
    const double end = Seconds() + limit_s;
    while (Seconds() < end) {
      if (IsReady()) return true;
      Sleep(0.05);
    }
    return false;
  }

  std::string LogPath() const {
    return m_folder + "/" + m_place.m_name + ".log";
  }

 private:
  int FreePort() const {
    int port = 0;
    const int fd = Listen(m_place.m_ip, &port);
    if (fd < 0) CannotRun("no free port at " + m_place.m_ip);
    close(fd);
    return port;
  }

  // Fills in deploy/entry.ini as the platform does.
  void WriteSettings() const {
    std::ifstream file("deploy/entry.ini");
    std::stringstream text;
    text << file.rdbuf();
    std::string ini = text.str();
    if (ini.empty()) CannotRun("deploy/entry.ini is missing");
    const auto number = [](double value) {
      std::ostringstream out;
      out << value;
      return out.str();
    };
    const std::vector<std::pair<std::string, std::string>> values = {
        {"{{#zones}}{{@}}/{{.}}{{,}}{{/zones}}",
         "uppsala-a/svealand,lulea-a/norrland,malmo-a/gotaland"},
        {"{{nodeName}}", m_place.m_name},
        {"{{zone}}", m_place.m_zone},
        {"{{region}}", m_place.m_region},
        {"{{listen.frontend}}", At(m_callers)},
        {"{{listen.ready}}", At(m_ready)},
        {"{{ip}}:{{internalPortRange.0}}", At(m_peers)},
        {"{{ip}}", m_place.m_ip},
        {"{{platform.address}}", m_store},
        {"{{cloudApi.address}}", m_orders},
        {"{{bounds.retryBudgetRatio}}", "0.2"},
        {"{{bounds.retryWindowS}}", "10"},
        {"{{bounds.retrySlack}}", "52"},
        {"{{bounds.leaseMs}}", number(m_bounds.m_lease_ms)},
        {"{{bounds.usageWindowS}}", "5"},
        {"{{bounds.usageDelayS}}", "10"},
        {"{{bounds.graceS}}", number(m_bounds.m_grace_s)}};
    for (const auto& [name, value] : values) {
      std::size_t at;
      while ((at = ini.find(name)) != std::string::npos) {
        ini.replace(at, name.size(), value);
      }
    }
    if (ini.find("{{") != std::string::npos) {
      CannotRun("deploy/entry.ini has a placeholder that this case lacks");
    }
    std::ofstream(m_folder + "/" + m_place.m_name + ".ini") << ini;
  }

  std::string At(int port) const {
    return m_place.m_ip + ":" + std::to_string(port);
  }

  EntryPlace m_place;
  std::string m_folder;
  std::string m_store;
  std::string m_orders;
  Bounds m_bounds;
  int m_callers = 0;
  int m_ready = 0;
  int m_peers = 0;
  pid_t m_pid = -1;
  double m_started_at = 0;
};

// A temporary folder that is removed at the end.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    std::string path = std::string(base == nullptr ? "/tmp" : base) +
                       "/comfreypaddle-review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) CannotRun("no temporary folder");
    m_path = path;
  }
  ~Folder() {
    if (std::getenv("KEEP") != nullptr) {
      std::cerr << "kept " << m_path << std::endl;
      return;
    }
    for (const std::string& name : m_names)
      unlink((m_path + "/" + name).c_str());
    rmdir(m_path.c_str());
  }
  void Expect(const std::string& entry) {
    m_names.push_back(entry + ".ini");
    m_names.push_back(entry + ".log");
  }
  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
  std::vector<std::string> m_names;
};

// Base of loopback addresses that no other run uses: 127.X.Y.
inline std::string LoopbackBase() {
  std::random_device random;
  return "127." + std::to_string(64 + random() % 128) + "." +
         std::to_string(1 + random() % 250) + ".";
}

// Answer of the duties API: accepts every call.
inline bool AcceptDuty(int fd, const Message& /*request*/) {
  return SendAll(fd, Response(200, "", ""));
}

// ---------------------------------------------------------------- client

struct Answer {
  int m_status = 0;  // Zero: none.
  bool m_complete = false;
  std::string m_body;
  std::string m_retry_after;
  double m_sent = 0;
  double m_ended = 0;
};

// Sends one request on a new connection and reads the answer.
inline Answer Ask(const Entry& entry, const std::string& head,
                  const std::string& body, double limit_s) {
  Answer answer;
  answer.m_sent = Seconds();
  const int fd = Connect(entry.Place().m_ip, entry.Callers());
  if (fd >= 0) {
    const timeval limit{static_cast<time_t>(limit_s),
                        static_cast<suseconds_t>(
                            (limit_s - static_cast<time_t>(limit_s)) * 1e6)};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    SendAll(fd, head + "Content-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    Message response;
    Reader reader(fd);
    if (reader.Read(&response, true, &answer.m_complete)) {
      answer.m_status = response.m_status;
      answer.m_body = response.m_body;
      answer.m_retry_after = response.Field("Retry-After");
    }
    close(fd);
  }
  answer.m_ended = Seconds();
  return answer;
}

}  // namespace review

#endif  // COMFREYPADDLE_REVIEW_STANDINS_H_
