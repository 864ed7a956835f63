#include "common_platformserver.h"

#include <glog/logging.h>

#include <array>
#include <utility>

#include "json.h"

namespace comfreypaddle::standins {

namespace {

constexpr std::string_view kEndpointsPath = "/platform/v1/endpoints";

constexpr std::string_view kWeightsPrefix = "/weights/v1/";

constexpr Duration kNotifyTimeout = std::chrono::seconds(2);

// Returns the HTTP status of a rejected order. The problem code is the name of
// the result.
struct OrderRefusal {
  OrderResult m_result;
  int m_status;
};

constexpr std::array<OrderRefusal, 4> kRefusals{
    {{OrderResult::kStaleFencing, 409},
     {OrderResult::kNameTaken, 409},
     {OrderResult::kInvalid, 400},
     {OrderResult::kUnknownEndpoint, 404}}};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

PlatformServer::PlatformServer(EventLoop& loop, ResponsePort& port,
                               HttpPort& endpoints, PlatformModel model,
                               WeightStore weights)
    : m_loop(loop),
      m_port(port),
      m_endpoints(endpoints),
      m_model(std::move(model)),
      m_weights(weights) {}

void PlatformServer::Handle(const HttpRequest& request) {
  if (m_outage == OutageMode::kHang) return;
  if (m_outage == OutageMode::kRefuse) {
    Refuse(request.m_id, 503, "platform_outage");
    return;
  }
  Advance(m_model, Now());
  if (StartsWith(request.m_path, kEndpointsPath)) {
    HandleEndpoints(request);
  } else if (request.m_path == "/platform/v1/instances") {
    Answer(request.m_id, 200, ListInstances(m_model, Now()), false);
  } else if (request.m_path == "/platform/v1/usage") {
    HandleUsage(request);
  } else if (StartsWith(request.m_path, kWeightsPrefix)) {
    HandleWeights(request);
  } else {
    Refuse(request.m_id, 404, "not_found");
  }
}

void PlatformServer::HandleEndpoints(const HttpRequest& request) {
  if (request.m_method == "GET") {
    Answer(request.m_id, 200, ListEndpoints(m_model), false);
  } else if (request.m_method == "POST") {
    HandleOrder(request);
  } else if (request.m_method == "DELETE" &&
             request.m_path.size() > kEndpointsPath.size() + 1) {
    HandleRelease(request);
  } else {
    Refuse(request.m_id, 405, "method_not_allowed");
  }
}

void PlatformServer::HandleOrder(const HttpRequest& request) {
  schema::PlatformEndpoint order;
  if (FromJson(request.m_body, UnknownFields::kReject, &order)) {
    Refuse(request.m_id, 400, "invalid_order");
    return;
  }
  schema::PlatformEndpoint answer;
  const OrderResult result = OrderEndpoint(m_model, order, Now(), &answer);
  LOG(INFO) << "order token=" << order.token() << " fleet=" << order.fleet()
            << " fencing_number=" << order.fencing_number()
            << " result=" << ToName(result);
  if (result == OrderResult::kCreated) m_stats.set_orders(m_stats.orders() + 1);
  if (result == OrderResult::kRepeated) {
    m_stats.set_orders_repeated(m_stats.orders_repeated() + 1);
  }
  SendOrderResponse(request.m_id, result, answer);
}

void PlatformServer::HandleRelease(const HttpRequest& request) {
  const std::string name = request.m_path.substr(kEndpointsPath.size() + 1);
  const std::uint64_t fencing_number =
      NumberField(request.m_query, "fencing_number", 0);
  schema::PlatformEndpoint answer;
  const OrderResult result =
      ReleaseEndpoint(m_model, name, fencing_number, Now(), &answer);
  if (result == OrderResult::kCreated) {
    m_stats.set_releases(m_stats.releases() + 1);
    NotifyEndpoint(answer, m_model.m_release_time);
  }
  SendOrderResponse(request.m_id, result, answer);
}

void PlatformServer::SendOrderResponse(
    std::uint64_t id, OrderResult result,
    const schema::PlatformEndpoint& endpoint) {
  if (result == OrderResult::kStaleFencing) {
    m_stats.set_orders_stale(m_stats.orders_stale() + 1);
  }
  for (const OrderRefusal& row : kRefusals) {
    if (row.m_result == result) {
      Refuse(id, row.m_status, ToName(result));
      return;
    }
  }
  Answer(id, result == OrderResult::kCreated ? 201 : 200, endpoint, true);
}

void PlatformServer::HandleUsage(const HttpRequest& request) {
  if (request.m_method == "GET") {
    schema::UsageReportList list;
    for (const auto& report : m_model.m_reports) *list.add_reports() = report;
    Answer(request.m_id, 200, list, false);
    return;
  }
  schema::UsageReport report;
  if (FromJson(request.m_body, UnknownFields::kReject, &report)) {
    Refuse(request.m_id, 400, "invalid_report");
    return;
  }
  m_stats.set_usage_reports(m_stats.usage_reports() + 1);
  if (report.fencing_number() < m_model.m_usage_fencing) {
    m_stats.set_usage_stale(m_stats.usage_stale() + 1);
  }
  const UsageResult result = RecordUsageReport(m_model, report);
  if (result == UsageResult::kRepeated) {
    m_stats.set_usage_repeated(m_stats.usage_repeated() + 1);
  }
  if (result == UsageResult::kContradicts) {
    m_stats.set_usage_contradictions(m_stats.usage_contradictions() + 1);
    LOG(WARNING) << "contradictory figures for usage window "
                 << report.window();
    Refuse(request.m_id, 409, "contradicting_figures");
    return;
  }
  Answer(request.m_id, 200, report, true);
}

void PlatformServer::HandleWeights(const HttpRequest& request) {
  if (!ConsumeToken(m_weights.m_reads, Now())) {
    m_stats.set_weight_reads_limited(m_stats.weight_reads_limited() + 1);
    Refuse(request.m_id, 429, "rate_limited");
    return;
  }
  m_stats.set_weight_reads(m_stats.weight_reads() + 1);
  m_loop.StartTimer(m_weights.m_read_time, [this, id = request.m_id] {
    m_port.Respond(id, 200, {{"Content-Type", "application/octet-stream"}},
                   std::string(m_weights.m_bytes, 'w'));
  });
}

// Sends a response after the configured delay. Responses to requests that
// changed state are subject to the lost response fault.
void PlatformServer::Answer(std::uint64_t id, int status,
                            const google::protobuf::Message& message,
                            bool changed) {
  if (changed && m_lose_answers > 0) {
    --m_lose_answers;
    m_stats.set_answers_lost(m_stats.answers_lost() + 1);
    m_port.Abort(id);
    return;
  }
  if (m_answer_delay.count() == 0) {
    RespondJson(m_port, id, status, message);
    return;
  }
  m_loop.StartTimer(m_answer_delay, [this, id, status, body = ToJson(message)] {
    m_port.Respond(id, status, {{"Content-Type", "application/json"}}, body);
  });
}

void PlatformServer::Refuse(std::uint64_t id, int status,
                            std::string_view code) {
  RespondProblem(m_port, id, status, code, Outcome::kNotRun,
                 "The platform rejected the request.");
}

// Notifies the process of the endpoint, if it has an address, of its removal.
void PlatformServer::NotifyEndpoint(const schema::PlatformEndpoint& endpoint,
                                    Duration notice) {
  if (endpoint.address().empty()) return;
  schema::EngineFaults faults;
  const auto notice_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(notice);
  faults.set_leave_in_ms(static_cast<std::uint32_t>(notice_ms.count()));
  m_endpoints.Start({.m_method = "POST",
                     .m_url = "http://" + endpoint.address() + "/faults",
                     .m_body = ToJson(faults),
                     .m_timeout = kNotifyTimeout},
                    {});
}

std::string PlatformServer::Apply(const schema::PlatformFaults& faults) {
  if (faults.has_platform_outage()) {
    const auto mode = FromName<OutageMode>(faults.platform_outage());
    if (!mode) return "unknown platform outage mode";
    m_outage = *mode;
  }
  for (const std::string& address : faults.add_addresses()) {
    if (!AddPoolAddress(m_model, address)) return "invalid address " + address;
  }
  if (faults.has_lose_platform_answers()) {
    m_lose_answers = faults.lose_platform_answers();
  }
  if (faults.has_platform_answer_delay_ms()) {
    m_answer_delay =
        std::chrono::milliseconds(faults.platform_answer_delay_ms());
  }
  if (faults.has_lead_time_ms()) {
    m_model.m_lead_time = std::chrono::milliseconds(faults.lead_time_ms());
  }
  if (faults.has_orders_stall()) m_model.m_orders_stall = faults.orders_stall();
  for (const auto& endpoint : faults.add_endpoints()) {
    AddReadyEndpoint(m_model, endpoint);
  }
  ApplyInstances(faults);
  if (faults.has_reclaim()) {
    const Duration notice =
        std::chrono::milliseconds(faults.reclaim().notice_ms());
    for (const schema::PlatformEndpoint& endpoint : ReclaimZone(
             m_model, faults.reclaim().availability_zone(), notice, Now())) {
      m_stats.set_reclaimed(m_stats.reclaimed() + 1);
      NotifyEndpoint(endpoint, notice);
    }
  }
  return {};
}

void PlatformServer::ApplyInstances(const schema::PlatformFaults& faults) {
  for (const std::string& name : faults.leaving_instances()) {
    m_model.m_instances[name].m_leaving_since = Now();
  }
  for (const std::string& text : faults.staying_instances()) {
    AddInstance(m_model, text);
  }
}

void PlatformServer::AddStats(schema::PlatformStats* stats) const {
  const std::uint32_t lost = stats->answers_lost();
  stats->MergeFrom(m_stats);
  stats->set_answers_lost(lost + m_stats.answers_lost());
}

}  // namespace comfreypaddle::standins
