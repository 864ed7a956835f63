#include "support_platform.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base64.h"

namespace comfreypaddle::testing {

namespace {

// Interval between the checks for status reports that are due.
constexpr Duration kStatusCheckPeriod = std::chrono::milliseconds(20);

// Returns the value of a query parameter, or nullopt if it is missing.
std::optional<std::string> FindParameter(const std::string& target,
                                         const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) return std::nullopt;
  std::string text = "&" + target.substr(query + 1);
  const std::size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) return std::nullopt;
  const std::size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

std::uint64_t ToNumber(const std::optional<std::string>& text) {
  return text ? std::stoull(*text) : 0;
}

std::string EncodeBigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift);
  }
  return text;
}

HttpServerEvents OnRequest(
    std::function<void(const HttpRequest&)> handle,
    std::function<void(std::uint64_t)> disconnect = [](std::uint64_t) {}) {
  HttpServerEvents events;
  events.m_on_request = std::move(handle);
  events.m_on_disconnect = std::move(disconnect);
  events.m_on_rejected = [](int, ParseError) {};
  return events;
}

std::uint64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string FieldOf(const HttpRequest& request, const char* name) {
  const std::string* value = FindFieldIgnoreCase(request.m_headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

FakeStore::FakeStore(SocketSet& sockets)
    : m_port(FreePort()),
      m_server(sockets, OnRequest([this](const HttpRequest& r) { Handle(r); })),
      m_poll_timer(sockets.Loop(), std::chrono::milliseconds(20),
                   [this] { CompleteReads(); }) {
  REQUIRE_FALSE(m_server.Listen("127.0.0.1", m_port));
}

void FakeStore::Put(const std::string& topic, const std::string& key,
                    const std::string& value) {
  Topic& keyed_topic = m_topics[topic];
  keyed_topic.m_newest[key] = keyed_topic.m_records.size();
  keyed_topic.m_records.push_back(
      std::string(1, static_cast<char>(key.size())) + key + value);
}

void FakeStore::Restore(
    const std::map<std::string, std::size_t>& lost_by_topic) {
  for (const auto& [name, lost] : lost_by_topic) {
    Topic& topic = m_topics[name];
    topic.m_records.resize(topic.m_records.size() -
                           std::min(lost, topic.m_records.size()));
    topic.m_newest.clear();
    if (name.rfind("keyed.", 0) != 0) continue;
    for (std::size_t i = 0; i < topic.m_records.size(); ++i) {
      const std::string& record = topic.m_records[i];
      const auto size = static_cast<unsigned char>(record.front());
      topic.m_newest[record.substr(1, size)] = i;
    }
  }
  ++m_era;
  CompleteReads();
}

void FakeStore::Respond(std::uint64_t id, int status, std::string body) {
  m_server.Respond(id, status, {{"Store-Era", std::to_string(m_era)}},
                   std::move(body));
}

void FakeStore::Handle(const HttpRequest& request) {
  if (m_down) {
    Respond(request.m_id, 503, "");
  } else if (request.m_target.find("log-append") != std::string::npos) {
    Append(request);
  } else if (request.m_target.find("log-read") != std::string::npos) {
    Read(request);
  } else if (request.m_target.find("log-newest") != std::string::npos) {
    Newest(request);
  } else {
    Respond(request.m_id, 404, "");
  }
}

void FakeStore::Append(const HttpRequest& request) {
  const std::string name = *FindParameter(request.m_target, "topic");
  Topic& topic = m_topics[name];
  const auto answer = [&](int status, std::uint64_t offset) {
    Respond(request.m_id, status,
            R"({"offset":)" + std::to_string(offset) + R"(,"endOffset":)" +
                std::to_string(topic.m_records.size()) + "}");
  };
  const auto at = FindParameter(request.m_target, "at");
  if (at && ToNumber(at) != topic.m_records.size()) return answer(412, 0);
  const auto producer = FindParameter(request.m_target, "producer");
  if (producer) {
    const std::uint64_t sequence =
        ToNumber(FindParameter(request.m_target, "sequence"));
    const auto last = topic.m_sequences.find(*producer);
    if (last != topic.m_sequences.end() && sequence == last->second) {
      return answer(200, topic.m_offsets[*producer]);
    }
    topic.m_sequences[*producer] = sequence;
    topic.m_offsets[*producer] = topic.m_records.size();
  }
  const std::string content = request.m_body.substr(4);
  if (name.rfind("keyed.", 0) == 0) {
    const auto size = static_cast<unsigned char>(content.front());
    topic.m_newest[content.substr(1, size)] = topic.m_records.size();
  }
  topic.m_records.push_back(content);
  answer(200, topic.m_records.size() - 1);
}

void FakeStore::Read(const HttpRequest& request) {
  const std::uint64_t wait_ms =
      ToNumber(FindParameter(request.m_target, "waitMs"));
  m_pending_reads.push_back({request.m_id,
                             *FindParameter(request.m_target, "topic"),
                             ToNumber(FindParameter(request.m_target, "from")),
                             Now() + std::chrono::milliseconds(wait_ms)});
  CompleteReads();
}

void FakeStore::CompleteReads() {
  std::vector<PendingRead> pending;
  for (const PendingRead& read : m_pending_reads) {
    const Topic& topic = m_topics[read.m_topic];
    if (read.m_from > topic.m_records.size()) {
      Respond(read.m_id, 410, R"({"firstOffset":0})");
      continue;
    }
    if (read.m_from >= topic.m_records.size() && Now() < read.m_deadline) {
      pending.push_back(read);
      continue;
    }
    std::string body =
        EncodeBigEndian(topic.m_records.size(), 8) + EncodeBigEndian(0, 8);
    for (std::size_t i = read.m_from; i < topic.m_records.size(); ++i) {
      body +=
          EncodeBigEndian(topic.m_records[i].size(), 4) + topic.m_records[i];
    }
    Respond(read.m_id, 200, std::move(body));
  }
  m_pending_reads = std::move(pending);
}

void FakeStore::Newest(const HttpRequest& request) {
  const Topic& topic = m_topics[*FindParameter(request.m_target, "topic")];
  std::string items;
  for (const auto& [key, offset] : topic.m_newest) {
    const std::string value = topic.m_records[offset].substr(1 + key.size());
    if (!items.empty()) items += ",";
    items += R"({"key":")" + key + R"(","value":")" + EncodeBase64(value) +
             R"(","offset":)" + std::to_string(offset) + "}";
  }
  Respond(request.m_id, 200,
          R"({"items":[)" + items + R"(],"hasMore":false,)" +
              R"("endOffset":)" + std::to_string(topic.m_records.size()) + "}");
}

FakeDuties::FakeDuties(SocketSet& sockets)
    : m_port(FreePort()),
      m_server(sockets, OnRequest([this](const HttpRequest& request) {
                 m_calls.push_back(
                     {request.m_target, FieldOf(request, "Duty-Holder"),
                      std::stoull(FieldOf(request, "Fencing-Token")),
                      request.m_body});
                 if (request.m_target == "/usage") {
                   const std::size_t at = request.m_body.find("\"windowId\"");
                   const std::string window = request.m_body.substr(
                       at, request.m_body.find_first_of(",}\n", at) - at);
                   const auto [first, inserted] =
                       m_reports.try_emplace(window, request.m_body);
                   m_conflicting_reports |=
                       !inserted && first->second != request.m_body;
                 }
                 m_server.Respond(request.m_id, 200, {}, "");
               })) {
  REQUIRE_FALSE(m_server.Listen("127.0.0.1", m_port));
}

PlatformCluster::PlatformCluster(const std::string& name)
    : m_folder((std::filesystem::temp_directory_path() /
                ("comfreypaddle-" + name + "-" + std::to_string(getpid())))
                   .string()),
      m_sockets(m_loop),
      m_client(m_sockets),
      m_store(m_sockets),
      m_duties(m_sockets) {
  std::filesystem::create_directories(m_folder);
}

PlatformCluster::~PlatformCluster() {
  m_entries.clear();
  std::filesystem::remove_all(m_folder);
}

std::uint16_t PlatformCluster::PublicPort(std::uint16_t port) {
  if (!m_use_proxies) return port;
  m_endpoint_proxies.push_back(std::make_unique<TcpProxy>(m_loop, port));
  return m_endpoint_proxies.back()->Port();
}

void PlatformCluster::AddEndpoint(const std::string& service) {
  const std::string id = "i-" + std::to_string(m_endpoints.size());
  m_endpoints.push_back(
      std::make_unique<FakeEndpoint>(m_sockets, id, FreePort()));
  FakeEndpoint& endpoint = *m_endpoints.back();
  REQUIRE_FALSE(endpoint.Listen());
  StatusReports reports;
  reports.m_entry = {.m_id = id,
                     .m_service = service,
                     .m_port = PublicPort(endpoint.Port()),
                     .m_version = m_version,
                     .m_slots = m_slots,
                     .m_born_ms = endpoint.BornMs()};
  WriteEntry(reports.m_entry);
  m_status_reports.push_back(std::move(reports));
}

void PlatformCluster::StartStatusReports() {
  const Instant now = Now();
  for (StatusReports& reports : m_status_reports) {
    reports.m_silent_since = now;
    reports.m_next = now + kStatusReportPeriod;
  }
  m_status_timer =
      std::make_unique<PeriodicTimer>(m_loop, kStatusCheckPeriod, [this] {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
          WriteDueReport(*m_endpoints[i], m_status_reports[i]);
        }
      });
}

void PlatformCluster::WriteDueReport(const FakeEndpoint& endpoint,
                                     StatusReports& reports) {
  const Instant now = Now();
  const bool is_due = endpoint.IsRunning() && now >= reports.m_next;
  if (is_due) reports.m_next = now + kStatusReportPeriod;
  if (m_store.IsDown()) {
    reports.m_silent_since = now;
    return;
  }
  if (is_due) {
    reports.m_silent_since = now;
    reports.m_has_reported = true;
    reports.m_is_listed = true;
    ++reports.m_entry.m_sequence;
    WriteEntry(reports.m_entry);
  }
  const Duration silence = now - reports.m_silent_since;
  if (reports.m_is_listed &&
      silence > kMaxSilentPeriods * kStatusReportPeriod) {
    reports.m_is_listed = false;
    RemoveEndpoint(reports.m_entry.m_id);
  }
}

void PlatformCluster::CrashEndpoint(std::size_t index) {
  m_endpoints.at(index)->Crash();
}

void PlatformCluster::RestartEndpoint(std::size_t index,
                                      const std::string& version) {
  FakeEndpoint& endpoint = *m_endpoints.at(index);
  REQUIRE_FALSE(endpoint.Listen());
  endpoint.SetVersion(version);
  StatusReports& reports = m_status_reports.at(index);
  reports.m_entry.m_version = version;
  reports.m_entry.m_born_ms = endpoint.BornMs();
  reports.m_entry.m_sequence = 0;
  reports.m_next = Now() + kStatusReportPeriod;
  reports.m_has_reported = false;
}

void PlatformCluster::AddEndpointProcess(const std::string& service,
                                         const std::string& acts,
                                         unsigned seed) {
  const std::size_t index = m_endpoint_processes.size();
  const std::string id = "p-" + std::to_string(index);
  const std::uint16_t port = FreePort();
  const std::uint64_t born_ms = UnixMs();
  m_endpoint_processes.push_back(std::make_unique<Process>(
      "fake_endpoint",
      std::vector<std::string>{"--port", std::to_string(port), "--id", id,
                               "--born", std::to_string(born_ms), "--seed",
                               std::to_string(seed + index), "--acts", acts,
                               m_copies ? "--copies" : "--nocopies"},
      EndpointLogPath(index)));
  m_endpoint_process_ports.push_back(PublicPort(port));
  WriteEntry({.m_id = id,
              .m_service = service,
              .m_port = m_endpoint_process_ports.back(),
              .m_version = m_version,
              .m_slots = m_slots,
              .m_born_ms = born_ms});
}

EndpointHistory PlatformCluster::HistoryOf(std::size_t index) const {
  EndpointHistory history;
  std::map<std::string, std::size_t> open;  // Runs by target and attempt.
  std::ifstream log(EndpointLogPath(index));
  std::string line;
  while (std::getline(log, line)) {
    std::istringstream fields(line);
    std::string what;
    std::string target;
    std::string attempt;
    std::int64_t at_us = 0;
    if (!(fields >> what >> target >> attempt >> at_us)) continue;
    const Instant at{Duration(at_us)};
    if (what == "arrived") {
      history.m_arrivals.push_back({target, attempt, at});
    } else if (what == "began") {
      open[target + " " + attempt] = history.m_runs.size();
      history.m_runs.push_back({target, at, std::nullopt, attempt, 0});
    } else if (what == "ended") {
      history.m_runs.at(open.at(target + " " + attempt)).m_ended = at;
    }
  }
  return history;
}

void PlatformCluster::RegisterEndpoint(const std::string& id,
                                       const std::string& service,
                                       std::uint16_t port,
                                       const std::string& phase) {
  WriteEntry({.m_id = id,
              .m_service = service,
              .m_port = port,
              .m_phase = phase,
              .m_version = m_version,
              .m_slots = m_slots});
}

void PlatformCluster::WriteEntry(const EndpointEntry& entry) {
  const std::string phase =
      entry.m_phase.empty() ? "" : R"("phase":")" + entry.m_phase + R"(",)";
  const std::string born =
      entry.m_born_ms == 0 ? ""
                           : R"(,"born":)" + std::to_string(entry.m_born_ms);
  m_store.Put("keyed.servers", entry.m_id,
              "{" + phase + R"("service":")" + entry.m_service +
                  R"(","address":"127.0.0.1:)" + std::to_string(entry.m_port) +
                  R"(","zone":"z1","version":")" + entry.m_version +
                  R"(","slots":)" + std::to_string(entry.m_slots) +
                  R"(,"state":"ready","coldRemainingMs":0,"sequence":)" +
                  std::to_string(entry.m_sequence) + born + "}");
}

void PlatformCluster::Configure(int version, const std::string& keys_json) {
  const auto route = [](const std::string& name, const std::string& type,
                        int attempts, bool resumable) {
    return R"({"name":")" + name + R"(","hostname":"h.example",)" +
           R"("pathPrefix":"/)" + name + R"(/","routeType":")" + type +
           R"(","timeoutMs":5000,"targetLatencyMs":400,"priority":1,)" +
           R"("service":"plain","public":false,"maxAttempts":)" +
           std::to_string(attempts) + R"(,"resumable":)" +
           (resumable ? "true" : "false") + R"(,"sessionAffinity":)" +
           (name == "prompt" ? "true" : "false") + "}";
  };
  m_store.Put("keyed.op", "config",
              R"({"version":)" + std::to_string(version) +
                  R"(,"routeTable":[)" + route("safe", "idempotent", 2, false) +
                  "," + route("once", "non_idempotent", 1, false) + "," +
                  route("stream", "streaming", 1, false) + "," +
                  route("again", "streaming", 2, true) + "," +
                  route("prompt", "non_idempotent", 1, false) +
                  R"(],"serviceTable":[{"name":"plain"}],"limits":{},)" +
                  R"("tenants":[{"name":"w","apiKeys":)" + keys_json + "}]}");
}

void PlatformCluster::StartEntry(int index) {
  LaunchEntry(index);
  REQUIRE(Until([&] { return IsReady(index); }));
}

void PlatformCluster::LaunchEntry(int index) {
  std::uint16_t store = m_store.Port();
  if (m_use_proxies) {
    std::unique_ptr<TcpProxy>& proxy = m_store_proxies[index];
    if (proxy == nullptr) proxy = std::make_unique<TcpProxy>(m_loop, store);
    store = proxy->Port();
  }
  InstancePorts& ports = m_ports[index];
  if (ports.m_callers == 0) {
    ports = {FreePort(), FreePort(), FreePort(), FreePort()};
  }
  const auto local = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const std::string path =
      m_folder + "/entry-" + std::to_string(index) + ".ini";
  std::ofstream(path) << "[instance]\nname = entry-" << index
                      << "\navailability_zone = z1\nregion = r1\n"
                      << "zones = z1/r1\n[listen]\ncallers = "
                      << local(ports.m_callers)
                      << "\nready = " << local(ports.m_ready)
                      << "\npeers = " << local(ports.m_peers)
                      << "\nmetrics = " << local(ports.m_metrics)
                      << "\n[platform]\nstore = " << local(store)
                      << "\norders = " << local(m_duties.Port())
                      << "\n[duties]\nusage_window_s = 1\nusage_delay_s = 4\n"
                      << "[stop]\n"
                      << m_stop_settings << "[retry]\n"
                      << m_retry_settings << "[log]\nlines_per_s = 20000\n";
  m_entries[index] = std::make_unique<Process>(
      "comfreypaddle", std::vector<std::string>{"entry", "--config", path},
      LogPath(index));
}

bool PlatformCluster::IsReady(int entry) {
  HttpCall call;
  call.m_url = "http://127.0.0.1:" + std::to_string(m_ports[entry].m_ready) +
               "/comfreypaddle/readyz";
  int status = 0;
  bool ended = false;
  HttpEvents events;
  events.m_on_end = [&](const HttpResult& result) {
    status = result.m_status;
    ended = true;
  };
  m_client.Start(std::move(call), std::move(events));
  RunUntil(m_loop, std::chrono::seconds(2), [&] { return ended; });
  return status == 200;
}

std::shared_ptr<Reply> PlatformCluster::Start(int entry,
                                              const std::string& method,
                                              const std::string& target,
                                              const std::string& key) {
  HttpCall call;
  call.m_method = method;
  call.m_url =
      "http://127.0.0.1:" + std::to_string(m_ports[entry].m_callers) + target;
  call.m_headers = {{"Host", "h.example"},
                    {"Attempt-Id", "a" + std::to_string(m_next_attempt++)},
                    {"Key", key},
                    {"Tenant", "forged"},
                    {"Deadline-Ms", "4000"}};
  call.m_headers.insert(call.m_headers.end(), m_request_fields.begin(),
                        m_request_fields.end());
  if (method == "POST") call.m_body = "body of " + target;
  auto reply = std::make_shared<Reply>();
  HttpEvents events;
  events.m_on_head = [reply](int status, const HttpFields& fields) {
    reply->m_status = status;
    reply->m_headers = fields;
  };
  events.m_on_body = [reply](std::string_view b) { reply->m_body += b; };
  events.m_on_end = [reply](const HttpResult& result) {
    reply->m_error = result.m_error;
    reply->m_ended = true;
  };
  m_last_call = m_client.Start(std::move(call), std::move(events));
  return reply;
}

Reply PlatformCluster::Call(int entry, const std::string& method,
                            const std::string& target, const std::string& key) {
  const auto reply = Start(entry, method, target, key);
  REQUIRE(Until([&] { return reply->m_ended; }));
  return *reply;
}

bool PlatformCluster::Until(const std::function<bool()>& condition,
                            Duration limit) {
  return RunUntil(m_loop, limit, condition);
}

std::string PlatformCluster::EndpointLogPath(std::size_t index) const {
  return m_folder + "/endpoint-" + std::to_string(index) + ".log";
}

std::size_t PlatformCluster::CountLogLines(int entry, const std::string& event,
                                           const std::string& text) const {
  std::ifstream log(LogPath(entry));
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.find(event) != std::string::npos &&
        line.find(text) != std::string::npos) {
      ++count;
    }
  }
  return count;
}

std::string PlatformCluster::LogPath(int entry) const {
  return m_folder + "/entry-" + std::to_string(entry) + ".log";
}

}  // namespace comfreypaddle::testing
