#include "common_endpoint.h"

#include <utility>

namespace comfreypaddle::standins {

namespace {

// How long an endpoint works on after its caller has left, if it does.
constexpr Duration kRunOnTime = std::chrono::seconds(4);

// Age of the state that a report shows.
constexpr Duration kReportLag = std::chrono::milliseconds(300);

// Events after which a stream breaks off or stalls.
constexpr int kEventsBeforeFault = 2;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

HttpServerEvents ServerEvents(
    std::function<void(const HttpRequest&)> on_request,
    std::function<void(std::uint64_t)> on_disconnect) {
  HttpServerEvents events;
  events.m_on_request = std::move(on_request);
  events.m_on_disconnect = std::move(on_disconnect);
  events.m_on_rejected = [](int, ParseError) {};
  return events;
}

std::string FieldOf(const HttpRequest& request, const char* name) {
  const std::string* value = FindFieldIgnoreCase(request.m_headers, name);
  return value == nullptr ? "" : *value;
}

bool IsStreamTarget(const std::string& target) {
  return target.rfind("/stream/", 0) == 0 || target.rfind("/again/", 0) == 0;
}

std::uint64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool RanAt(const EndpointRun& run, Instant time) {
  return run.m_began <= time && (!run.m_ended || *run.m_ended > time);
}

}  // namespace

FakeEndpoint::FakeEndpoint(SocketSet& sockets, std::string id,
                           std::uint16_t port)
    : m_sockets(sockets), m_id(std::move(id)), m_port(port) {}

std::error_code FakeEndpoint::Listen() {
  m_server = std::make_unique<HttpServer>(
      m_sockets, ServerEvents([this](const HttpRequest& r) { Handle(r); },
                              [this](std::uint64_t id) { EndRun(id); }));
  m_born_ms = UnixMs();
  m_began = Now();
  return m_server->Listen("127.0.0.1", m_port);
}

void FakeEndpoint::Crash() {
  m_server.reset();
  ++m_lifetime;
  m_copied.clear();
  m_run_of_request.clear();
  for (std::size_t run = 0; run < m_runs.size(); ++run) {
    if (!m_runs[run].m_ended) NoteEnd(run);
  }
}

void FakeEndpoint::RunAfter(Duration time, std::function<void()> callback) {
  m_sockets.Loop().StartTimer(
      time, [this, lifetime = m_lifetime, callback = std::move(callback)] {
        if (lifetime == m_lifetime) callback();
      });
}

std::size_t FakeEndpoint::BeginRun(const HttpRequest& request) {
  const std::size_t run = m_runs.size();
  m_runs.push_back({request.m_target, Now(), std::nullopt,
                    FieldOf(request, "Attempt-Id"), 0});
  if (m_on_run) m_on_run(run);
  return run;
}

void FakeEndpoint::NoteEnd(std::size_t run) {
  m_runs.at(run).m_ended = Now();
  if (m_on_run) m_on_run(run);
}

void FakeEndpoint::EndRun(std::uint64_t id) {
  const auto found = m_run_of_request.find(id);
  if (found == m_run_of_request.end()) return;
  NoteEnd(found->second);
  m_run_of_request.erase(found);
}

void FakeEndpoint::EndRunLater(std::size_t run) {
  RunAfter(kRunOnTime, [this, run] { NoteEnd(run); });
}

void FakeEndpoint::Act(const HttpRequest& request, EndpointAct act) {
  const std::uint64_t id = request.m_id;
  const HttpField attempt{"Attempt-Id", FieldOf(request, "Attempt-Id")};
  if (act == EndpointAct::kRefuse) {
    Refuse(request, kUnavailable, {});
    return;
  }
  if (act == EndpointAct::kCloseUnread) {
    m_server->Abort(id);
    return;
  }
  const std::size_t run = BeginRun(request);
  if (act == EndpointAct::kRunOn || act == EndpointAct::kStall) {
    EndRunLater(run);
    if (act == EndpointAct::kRunOn || !IsStreamTarget(request.m_target)) return;
    m_server->StartStream(id, 200,
                          {attempt,
                           {"Server-Stamp", "stamp-" + m_id},
                           {"Content-Type", "text/event-stream"}});
    for (int event = 1; event <= kEventsBeforeFault; ++event) {
      WriteEvent(id, event);
    }
    return;
  }
  m_run_of_request[id] = run;
  switch (act) {
    case EndpointAct::kHang:
      return;
    case EndpointAct::kLoseAnswer:
      EndRun(id);
      m_server->Abort(id);
      return;
    case EndpointAct::kFail:
      EndRun(id);
      m_server->Respond(id, 500, {attempt, {"Server-Stamp", "stamp-" + m_id}},
                        "failed");
      return;
    case EndpointAct::kAnswerLate:
      RunAfter(std::chrono::seconds(1), [this, request, id] {
        if (m_run_of_request.count(id) > 0) Answer(request);
      });
      return;
    default:
      m_break_after = act == EndpointAct::kBreakStream ? kEventsBeforeFault : 0;
      Answer(request);
  }
}

// Lists the runs of some time ago, which it knows of its lifetime only.
void FakeEndpoint::AnswerReport(const HttpRequest& request) {
  ++m_reports;
  const Instant as_of = Now() - kReportLag;
  std::string runs;
  int active = 0;
  for (const EndpointRun& run : m_runs) {
    if (run.m_began < m_began || !RanAt(run, as_of)) continue;
    ++active;
    if (!runs.empty()) runs += ",";
    runs += R"([")" + run.m_attempt + R"(",0,)" + std::to_string(run.m_events) +
            ",5]";
  }
  m_server->Respond(request.m_id, 200, {{"Content-Type", "application/json"}},
                    R"({"phase":"decode","busy":false,"sequence":1,"queued":0,)"
                    R"("active":)" +
                        std::to_string(active) + R"(,"runs":[)" + runs +
                        R"(],"born":)" + std::to_string(m_born_ms) + "}");
}

void FakeEndpoint::Handle(const HttpRequest& request) {
  if (request.m_target == "/comfreypaddle/report") {
    AnswerReport(request);
    return;
  }
  if (request.m_method == "DELETE") {
    m_server->Respond(request.m_id, kOk, {}, "");
    return;
  }
  m_arrivals.push_back(
      {request.m_target, FieldOf(request, "Attempt-Id"), Now()});
  if (m_on_arrival) m_on_arrival(m_arrivals.back());
  if (FieldOf(request, "Expect-Instance") != m_id) {
    if (m_other_id_status != kOk) {
      Refuse(request, m_other_id_status, {});
      return;
    }
  }
  if (FieldOf(request, "Serving-Phase") == "prefill") {
    Prefill(request);
    return;
  }
  if (m_choose_act) {
    Act(request, m_choose_act());
    return;
  }
  if (m_overloaded) {
    ++m_rejections;
    HttpFields fields;
    if (!m_retry_after.empty()) fields = {{"Retry-After", m_retry_after}};
    Refuse(request, kUnavailable, std::move(fields));
    return;
  }
  m_requests.push_back(request);
  if (m_hanging) return;
  Answer(request);
}

void FakeEndpoint::Refuse(const HttpRequest& request, int status,
                          HttpFields fields) {
  if (status == kUnavailable) fields.push_back({"Not-Executed", "1"});
  SendRepeated(request, {status, std::move(fields), ""});
}

// A response after which the request may come again.
void FakeEndpoint::SendRepeated(const HttpRequest& request, Response response) {
  response.m_fields.push_back({"Attempt-Id", FieldOf(request, "Attempt-Id")});
  response.m_fields.push_back({"Keep-Alive", "timeout=5"});
  const Response sent = WithCopy(request, response);
  if (m_copies) m_copied[request.m_connection] = std::move(response);
  m_server->Respond(request.m_id, sent.m_status, sent.m_fields, sent.m_body);
}

FakeEndpoint::Response FakeEndpoint::WithCopy(const HttpRequest& request,
                                              Response response) {
  const auto found = m_copied.find(request.m_connection);
  if (found == m_copied.end()) return response;
  Response both = std::move(found->second);
  m_copied.erase(found);
  // Ends the copy and begins the response.
  both.m_fields.push_back(
      {"Content-Length", std::to_string(both.m_body.size()) + "\r\n\r\n" +
                             both.m_body + "HTTP/1.1 " +
                             std::to_string(response.m_status) + " " +
                             StatusReason(response.m_status)});
  both.m_fields.insert(both.m_fields.end(), response.m_fields.begin(),
                       response.m_fields.end());
  both.m_body = std::move(response.m_body);
  return both;
}

void FakeEndpoint::Prefill(const HttpRequest& request) {
  SendRepeated(request, {200,
                         {{"Content-Type", "application/json"}},
                         R"({"kvHandle":"h1","tokenCount":100,"version":1})"});
}

void FakeEndpoint::Answer(const HttpRequest& request) {
  HttpFields response_fields = {{"Attempt-Id", FieldOf(request, "Attempt-Id")},
                                {"Server-Stamp", "stamp-" + m_id},
                                {"Keep-Alive", "timeout=5"}};
  if (m_leaving) response_fields.push_back({"Server-Leaving", "1"});
  if (!m_limit.empty()) response_fields.push_back({"Server-Limit", m_limit});
  if (!IsStreamTarget(request.m_target)) {
    EndRun(request.m_id);
    const Response sent =
        WithCopy(request, {200, response_fields, "ran " + request.m_target});
    m_server->Respond(request.m_id, sent.m_status, sent.m_fields, sent.m_body);
    return;
  }
  response_fields.push_back({"Content-Type", "text/event-stream"});
  const Response sent = WithCopy(request, {200, response_fields, ""});
  m_server->StartStream(request.m_id, sent.m_status, sent.m_fields);
  const std::string after = FieldOf(request, "Last-Event-Id");
  SendEvent(request.m_id, after.empty() ? 1 : std::stoi(after) + 1);
}

void FakeEndpoint::WriteEvent(std::uint64_t id, int event) {
  m_server->Write(
      id, "id: " + std::to_string(event) + "\ndata: " + m_event_data + "\n\n");
}

void FakeEndpoint::SendEvent(std::uint64_t id, int event) {
  if (event > m_event_count) {
    EndRun(id);
    m_server->FinishStream(id);
    return;
  }
  if (m_break_after > 0 && event > m_break_after) {
    EndRun(id);
    m_server->Abort(id);
    return;
  }
  WriteEvent(id, event);
  const auto run = m_run_of_request.find(id);
  if (run != m_run_of_request.end()) ++m_runs.at(run->second).m_events;
  RunAfter(m_event_gap, [this, id, event] { SendEvent(id, event + 1); });
}

}  // namespace comfreypaddle::standins
