#include "endpointreport.h"

#include <memory>
#include <utility>

#include "eventlog.h"

namespace comfreypaddle {

namespace {

// Time limit of a question, the time to connect included.
constexpr Duration kReportTimeout = std::chrono::seconds(1);

// Maximum size of a report, which names each request that runs.
constexpr std::uint64_t kMaxReportBytes = 256U << 10U;

EndpointReport ReadReport(const RelayState& state, const HttpResult& http,
                          const std::string& body, const ReportTimes& times) {
  constexpr int kOk = 200;
  EndpointReport report;
  report.m_times = times;
  report.m_is_gone =
      http.m_error == HttpError::kConnectRefused ||
      (!http.m_error && state.m_format->ParseResponseMetadata(http.m_status, {})
                            .m_wrong_endpoint);
  report.m_is_connection_lost = http.m_error == HttpError::kConnectionLost;
  if (!http.m_error && http.m_status == kOk) {
    report.m_report = state.m_format->ParseWorkReport(body);
  }
  return report;
}

void LogReport(const std::string& endpoint, const HttpResult& http,
               const EndpointReport& answer) {
  const std::optional<WorkReport>& report = answer.m_report;
  LogLine("endpoint_report")
      .Add("endpoint", endpoint)
      .Add("status", http.m_status)
      .Add("error", http.m_error ? http.m_error.message() : "none")
      .Add("names_runs", report && report->m_runs ? 1 : 0)
      .Add("queued", report ? report->m_queued : 0)
      .Add("active", report ? report->m_active : 0)
      .Add(
          "born_ms",
          report ? static_cast<std::int64_t>(report->m_born_ms.value_or(0)) : 0)
      .AddMs("after_ms", answer.m_times.m_received - answer.m_times.m_asked);
}

// Start of the lifetime that the list names; zero if it names none.
std::uint64_t ListedBorn(const RelayState& state, const std::string& endpoint) {
  const BalanceEndpoint* listed = FindEndpoint(state.m_balance, endpoint);
  return listed == nullptr ? 0 : listed->m_born_ms;
}

// Records that the endpoint wants nothing for a while, or leaves. The lifetime
// that was listed when it was asked may not be the present one's.
void NoteRejection(RelayState& state, const std::string& endpoint,
                   std::uint64_t asked_born_ms,
                   const ResponseMetadata& metadata) {
  if (metadata.m_wrong_endpoint) return;
  if (metadata.m_not_run) {
    OnEndpointFull(state.m_balance, endpoint, metadata.m_retry_after_s,
                   state.m_clock());
  }
  if (metadata.m_leaving && ListedBorn(state, endpoint) == asked_born_ms) {
    OnEndpointLeaving(state.m_balance, endpoint);
  }
}

}  // namespace

HttpPort::CallId AskForReport(
    RelayState& state, const std::string& endpoint, const std::string& address,
    bool needs_new_connection,
    std::function<void(const EndpointReport& report)> done) {
  const Instant asked = state.m_clock();
  const std::uint64_t asked_born_ms = ListedBorn(state, endpoint);
  ReportQuestion question = state.m_format->AskForReport(endpoint);
  HttpCall http;
  http.m_url = "http://" + address + question.m_target;
  http.m_headers = std::move(question.m_fields);
  http.m_connect_timeout = state.m_options.m_connect_timeout;
  http.m_timeout = kReportTimeout;
  http.m_max_body_bytes = kMaxReportBytes;
  http.m_force_new_connection = needs_new_connection;
  // It has no id, so that a response with one belongs to another call.
  http.m_match_response = [format = state.m_format](const HttpFields& fields) {
    return format->MatchAttempt(fields, "");
  };
  struct Answer {
    HttpPort::CallId m_call = 0;
    std::string m_body;
    std::optional<Instant> m_connected;
    ResponseMetadata m_metadata;
  };
  const auto answer = std::make_shared<Answer>();
  HttpEvents events;
  events.m_on_head = [&state, answer](int status, const HttpFields& fields) {
    answer->m_connected = state.m_endpoints->ConnectedAt(answer->m_call);
    answer->m_metadata = state.m_format->ParseResponseMetadata(status, fields);
  };
  events.m_on_body = [answer](std::string_view bytes) {
    answer->m_body.append(bytes);
  };
  events.m_on_end = [&state, endpoint, address, asked, asked_born_ms, answer,
                     done = std::move(done)](const HttpResult& result) {
    EndpointReport report =
        ReadReport(state, result, answer->m_body, {asked, state.m_clock()});
    report.m_address = address;
    report.m_connected = answer->m_connected.value_or(asked);
    report.m_is_leaving = answer->m_metadata.m_leaving;
    LogReport(endpoint, result, report);
    NoteRejection(state, endpoint, asked_born_ms, answer->m_metadata);
    done(report);
  };
  answer->m_call = state.m_endpoints->Start(std::move(http), std::move(events));
  return answer->m_call;
}

}  // namespace comfreypaddle
