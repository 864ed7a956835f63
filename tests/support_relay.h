#ifndef COMFREYPADDLE_TESTS_SUPPORT_RELAY_H_
#define COMFREYPADDLE_TESTS_SUPPORT_RELAY_H_

#include <doctest/doctest.h>

#include <doctest/trompeloeil.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "accept.h"
#include "httpparse.h"

namespace comfreypaddle::testing {

// Wire format with short field names.
class FakeWireFormat : public WireFormat {
 public:
  RequestMetadata ParseRequestMetadata(
      const HttpRequest& request) const override {
    RequestMetadata terms;
    terms.m_host = "h";
    const std::string* key = FindFieldIgnoreCase(request.m_headers, "k");
    if (key != nullptr) terms.m_key = *key;
    const bool is_named =
        FindFieldIgnoreCase(request.m_headers, "unnamed") == nullptr;
    if (is_named) terms.m_attempt = "t" + std::to_string(request.m_id);
    terms.m_time_left = std::chrono::seconds(20);
    terms.m_prompt_tokens = m_prompt_tokens;
    const std::string* resumes =
        FindFieldIgnoreCase(request.m_headers, "resumes");
    if (resumes != nullptr) {
      terms.m_resumed_attempt = *resumes;
      terms.m_last_event = 3;
    }
    const std::string* parts = FindFieldIgnoreCase(request.m_headers, "parts");
    if (parts == nullptr) return terms;
    std::istringstream ids(*parts);
    for (std::string id; std::getline(ids, id, ',');) {
      terms.m_parts.push_back({id, 1});
    }
    return terms;
  }
  HttpFields EndpointFields(const HttpRequest& /*request*/,
                            const UpstreamMetadata& terms) const override {
    HttpFields fields{{"to", terms.m_endpoint}, {"for", terms.m_workspace}};
    if (terms.m_resume_after) {
      fields.push_back({"after", std::to_string(*terms.m_resume_after)});
    }
    return fields;
  }
  ResponseMetadata ParseResponseMetadata(
      int status, const HttpFields& fields) const override {
    ResponseMetadata terms;
    terms.m_not_run = FindFieldIgnoreCase(fields, "not-run") != nullptr;
    terms.m_wrong_endpoint = status == 421;
    terms.m_is_stream = FindFieldIgnoreCase(fields, "stream") != nullptr;
    terms.m_leaving = FindFieldIgnoreCase(fields, "leaving") != nullptr;
    const std::string* pause = FindFieldIgnoreCase(fields, "pause");
    if (pause != nullptr) terms.m_retry_after_s = std::stod(*pause);
    const std::string* limit = FindFieldIgnoreCase(fields, "limit");
    if (limit != nullptr) terms.m_limit_rate = std::stod(*limit);
    return terms;
  }
  ResponseMatch MatchAttempt(const HttpFields& fields,
                             std::string_view attempt) const override {
    const std::string* id = FindFieldIgnoreCase(fields, "attempt");
    if (id == nullptr) {
      return attempt.empty() ? ResponseMatch::kOwn
                             : ResponseMatch::kUnidentified;
    }
    return *id == attempt ? ResponseMatch::kOwn : ResponseMatch::kOther;
  }
  HttpFields CallerFields(const HttpFields& fields) const override {
    return fields;
  }
  HttpFields LocalResponseFields(std::string_view /*attempt*/) const override {
    return {};
  }
  std::optional<PrefillResult> ParsePrefillResult(
      std::string_view body) const override {
    return PrefillResult{std::string(body), 1};
  }
  std::string CacheReleaseTarget(std::string_view handle) const override {
    return "/free/" + std::string(handle);
  }
  ReportQuestion AskForReport(std::string_view endpoint) const override {
    return {"/report", {{"to", std::string(endpoint)}}};
  }
  // QUEUED ACTIVE [ATTEMPT...], or "unnamed" in place of the attempts. One of
  // them may be born=UNIX_MS.
  std::optional<WorkReport> ParseWorkReport(
      std::string_view body) const override {
    std::istringstream text{std::string(body)};
    WorkReport report;
    if (!(text >> report.m_queued >> report.m_active)) return std::nullopt;
    report.m_runs.emplace();
    for (std::string attempt; text >> attempt;) {
      constexpr std::string_view kBorn = "born=";
      if (attempt.rfind(kBorn, 0) == 0) {
        report.m_born_ms = std::stoull(attempt.substr(kBorn.size()));
      } else {
        report.m_runs->push_back(attempt);
      }
    }
    if (body.find("unnamed") != std::string_view::npos) report.m_runs.reset();
    return report;
  }
  std::string_view ReadinessTarget() const override { return "/ready"; }

  std::uint32_t m_prompt_tokens = 0;
};

class MockCallers : public ResponsePort {
 public:
  MAKE_MOCK4(Respond, void(std::uint64_t, int, HttpFields, std::string),
             override);
  MAKE_MOCK3(StartStream, void(std::uint64_t, int, HttpFields), override);
  MAKE_MOCK2(Write, void(std::uint64_t, std::string_view), override);
  MAKE_MOCK1(FinishStream, void(std::uint64_t), override);
  MAKE_MOCK1(Abort, void(std::uint64_t), override);
};

// Endpoints whose responses the test triggers.
class ScriptedEndpoints : public HttpPort {
 public:
  static constexpr CallId kFirstInquiry = 1'000'000;

  CallId Start(HttpCall call, HttpEvents events) override {
    if (call.m_url.find("/report") != std::string::npos) {
      m_inquiries.push_back(std::move(events));
      return kFirstInquiry + m_inquiries.size();
    }
    m_calls.push_back(std::move(call));
    m_events.push_back(std::move(events));
    return m_calls.size();
  }
  void Cancel(CallId id) override { m_cancelled.push_back(id); }
  std::optional<Instant> ConnectedAt(CallId id) const override {
    return id > kFirstInquiry ? m_inquiry_connected_at : m_connected_at;
  }
  bool IsDelivered(CallId /*id*/) const override { return m_is_delivered; }

  // Answers the questions about work that are open.
  void AnswerInquiries(const std::string& report) {
    for (const HttpEvents& events : std::exchange(m_inquiries, {})) {
      if (events.m_on_head) events.m_on_head(200, {});
      events.m_on_body(report);
      events.m_on_end({HttpError::kOk, 200, true});
    }
  }

  // Ends them as the machine of an endpoint does that is gone, or with another
  // error.
  void RefuseInquiries(HttpError error = HttpError::kConnectRefused) {
    for (const HttpEvents& events : std::exchange(m_inquiries, {})) {
      events.m_on_end({error, 0, false});
    }
  }

  std::string To(std::size_t index) const {
    return m_calls.at(index).m_headers.at(0).m_value;
  }

  std::vector<HttpCall> m_calls;
  std::vector<HttpEvents> m_events;
  std::vector<CallId> m_cancelled;
  bool m_is_delivered = true;           // Requests reach their endpoints.
  std::vector<HttpEvents> m_inquiries;  // Open questions about work.
  // Of all connections but those of questions about work.
  std::optional<Instant> m_connected_at;
  std::optional<Instant> m_inquiry_connected_at;  // Of those.
};

// Relay state of one instance with fake callers, endpoints and clock. Each
// route is named after its kind; e1 to e3 are the endpoints of their service.
struct RelayFixture {
  RelayFixture() {
    schema::Catalog catalog;
    AddRoute(&catalog, "/safe/", schema::REPEAT_ALLOWED, 2);
    AddRoute(&catalog, "/once/", schema::REPEAT_NEVER, 1);
    AddRoute(&catalog, "/stream/", schema::REPEAT_STREAM, 1);
    AddRoute(&catalog, "/again/", schema::REPEAT_STREAM, 2)
        ->set_resumable(true);
    schema::CatalogWorkspace* workspace = catalog.add_workspaces();
    workspace->set_name("w");
    workspace->add_keys("secret");
    m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
    m_state.m_callers = &m_callers;
    m_state.m_endpoints = &m_endpoints;
    m_state.m_format = &m_format;
    m_state.m_clock = [this] { return m_now; };
    m_state.m_resends.m_limits = {1, std::chrono::seconds(10), 100};
    m_state.m_probes = {1, 0};
    m_state.m_resends.m_listed_at = Instant{};
    m_state.m_resends.m_list_confirmed_at = Instant::max();
    for (const char* id : {"e1", "e2", "e3"}) {
      BalanceEndpoint endpoint;
      endpoint.m_id = id;
      endpoint.m_service = "s";
      endpoint.m_address = "127.0.0.1:1";
      endpoint.m_slots = 4;
      m_state.m_balance.m_endpoints[id] = endpoint;
    }
  }

  static schema::CatalogRoute* AddRoute(schema::Catalog* catalog,
                                        const std::string& prefix,
                                        schema::RepeatKind kind, int attempts) {
    schema::CatalogRoute* route = catalog->add_routes();
    route->set_name(prefix);
    route->set_host("h");
    route->set_path_prefix(prefix);
    route->set_kind(kind);
    route->set_timeout_ms(3000);
    route->set_target_ms(400);
    route->set_max_attempts(attempts);
    schema::ServiceWeight* only = route->add_services();
    only->set_service("s");
    only->set_weight(1);
    return route;
  }

  // `parts` lists the ids of the parts of the prompt, separated by commas.
  void AskPrompt(std::uint64_t id, const std::string& target,
                 const std::string& parts) {
    HttpRequest request;
    request.m_id = id;
    request.m_method = "POST";
    request.m_target = target;
    request.m_headers = {{"k", "secret"}, {"parts", parts}};
    request.m_body = std::to_string(id);  // No two alike.
    AcceptRequest(m_state, std::move(request));
  }

  void Ask(std::uint64_t id, const std::string& target,
           const std::string& key = "secret") {
    HttpRequest request;
    request.m_id = id;
    request.m_method = "POST";
    request.m_target = target;
    request.m_headers = {{"k", key}};
    AcceptRequest(m_state, std::move(request));
  }

  // Takes up the stream that an earlier attempt began.
  void TakeUp(std::uint64_t id, const std::string& attempt) {
    HttpRequest request;
    request.m_id = id;
    request.m_method = "POST";
    request.m_target = "/again/x";
    request.m_headers = {{"k", "secret"}, {"resumes", attempt}};
    AcceptRequest(m_state, std::move(request));
  }

  void Answer(std::size_t call, int status, const HttpFields& fields,
              const std::string& body = "") {
    m_endpoints.m_events.at(call).m_on_head(status, fields);
    if (!body.empty()) m_endpoints.m_events.at(call).m_on_body(body);
    m_endpoints.m_events.at(call).m_on_end({HttpError::kOk, status, true});
  }

  void Break(std::size_t call, bool sent) {
    m_endpoints.m_events.at(call).m_on_end(
        {sent ? HttpError::kConnectionLost : HttpError::kConnectFailed, 0,
         sent});
  }

  // Breaks the connection as an endpoint does that crashes.
  void Crash(std::size_t call) {
    Break(call, true);
    m_endpoints.RefuseInquiries();
  }

  FakeWireFormat m_format;
  MockCallers m_callers;
  ScriptedEndpoints m_endpoints;
  RelayState m_state;
  Instant m_now{std::chrono::seconds(1000)};
};

inline bool HasField(const HttpFields& fields, const char* name) {
  return FindFieldIgnoreCase(fields, name) != nullptr;
}

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_RELAY_H_
