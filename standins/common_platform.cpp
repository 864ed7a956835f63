#include "common_platform.h"

#include <algorithm>
#include <utility>

namespace comfreypaddle::standins {

namespace {

void SetPhase(PlatformModelEndpoint& endpoint, EndpointPhase phase) {
  endpoint.m_phase = phase;
  endpoint.m_endpoint.set_phase(std::string(ToName(phase)));
}

// Assigns a free address to the endpoint. Returns false if there is none.
bool AssignAddress(PlatformModel& model, schema::PlatformEndpoint& endpoint) {
  if (!endpoint.address().empty()) return true;
  for (PoolAddress& candidate : model.m_addresses) {
    if (candidate.m_used || candidate.m_fleet != endpoint.fleet() ||
        candidate.m_zone != endpoint.availability_zone()) {
      continue;
    }
    candidate.m_used = true;
    endpoint.set_address(candidate.m_address);
    endpoint.set_checks_fencing(candidate.m_checks_fencing);
    return true;
  }
  return false;
}

void UpdatePhase(PlatformModel& model, PlatformModelEndpoint& endpoint,
                 Instant now) {
  const Duration passed = now - endpoint.m_ordered_at;
  if (endpoint.m_phase == EndpointPhase::kOrdered &&
      passed >= model.m_lead_time / 2) {
    SetPhase(endpoint, EndpointPhase::kStarting);
  }
  if (endpoint.m_phase == EndpointPhase::kStarting && !model.m_orders_stall &&
      passed >= model.m_lead_time &&
      AssignAddress(model, endpoint.m_endpoint)) {
    SetPhase(endpoint, EndpointPhase::kReady);
  }
  if (endpoint.m_phase == EndpointPhase::kDraining &&
      now >= endpoint.m_drain_end) {
    SetPhase(endpoint, EndpointPhase::kGone);
  }
}

// Records the fencing number. Returns false if the fleet has seen a higher one.
bool AcceptFencingNumber(PlatformModel& model, const std::string& fleet,
                         std::uint64_t number) {
  std::uint64_t& highest = model.m_fencing_by_fleet[fleet];
  if (number < highest) return false;
  highest = number;
  return true;
}

void StartDraining(PlatformModelEndpoint& endpoint, Duration time,
                   Instant now) {
  if (endpoint.m_phase == EndpointPhase::kDraining ||
      endpoint.m_phase == EndpointPhase::kGone) {
    return;
  }
  SetPhase(endpoint, EndpointPhase::kDraining);
  endpoint.m_drain_end = now + time;
}

// Returns the serialized figures in sorted order, for comparison.
std::vector<std::string> SortedFigures(const schema::UsageReport& report) {
  std::vector<std::string> figures;
  for (const schema::UsageFigure& figure : report.figures()) {
    figures.push_back(figure.SerializeAsString());
  }
  std::sort(figures.begin(), figures.end());
  return figures;
}

}  // namespace

bool AddPoolAddress(PlatformModel& model, std::string_view text) {
  const std::vector<std::string> parts = Split(text, '/');
  const bool checks = parts.size() == 4 && parts[3] == "checks";
  if (parts.size() != 3 && !checks) return false;
  model.m_addresses.push_back({parts[0], parts[1], parts[2], checks, false});
  return true;
}

void AddReadyEndpoint(PlatformModel& model, schema::PlatformEndpoint endpoint) {
  PlatformModelEndpoint& added = model.m_endpoints[endpoint.name()];
  if (!endpoint.token().empty()) {
    model.m_names_by_token[endpoint.token()] = endpoint.name();
  }
  added.m_endpoint = std::move(endpoint);
  SetPhase(added, EndpointPhase::kReady);
}

bool AddListedEndpoint(PlatformModel& model, std::string_view text) {
  const std::vector<std::string> parts = Split(text, '/');
  const bool checks = parts.size() == 6 && parts[5] == "checks";
  if ((parts.size() != 5 && !checks) || !FromName<EndpointClass>(parts[3])) {
    return false;
  }
  schema::PlatformEndpoint endpoint;
  endpoint.set_name(parts[0]);
  endpoint.set_fleet(parts[1]);
  endpoint.set_availability_zone(parts[2]);
  endpoint.set_endpoint_class(parts[3]);
  endpoint.set_address(parts[4]);
  endpoint.set_checks_fencing(checks);
  AddReadyEndpoint(model, std::move(endpoint));
  return true;
}

void AddInstance(PlatformModel& model, std::string_view text) {
  const std::vector<std::string> parts = Split(text, '/');
  if (parts.empty()) return;
  PlatformModelInstance& instance = model.m_instances[parts[0]];
  instance.m_leaving_since.reset();
  if (parts.size() > 1) instance.m_zone = parts[1];
}

void Advance(PlatformModel& model, Instant now) {
  for (auto& [name, endpoint] : model.m_endpoints) {
    UpdatePhase(model, endpoint, now);
  }
}

OrderResult OrderEndpoint(PlatformModel& model, schema::PlatformEndpoint order,
                          Instant now, schema::PlatformEndpoint* answer) {
  const auto known = model.m_names_by_token.find(order.token());
  if (known != model.m_names_by_token.end()) {
    *answer = model.m_endpoints[known->second].m_endpoint;
    return OrderResult::kRepeated;
  }
  const bool class_known =
      FromName<EndpointClass>(order.endpoint_class()).has_value();
  if (order.token().empty() || order.fleet().empty() ||
      order.availability_zone().empty() || !class_known) {
    return OrderResult::kInvalid;
  }
  if (!AcceptFencingNumber(model, order.fleet(), order.fencing_number())) {
    return OrderResult::kStaleFencing;
  }
  if (order.name().empty()) {
    order.set_name(order.fleet() + "-" + std::to_string(model.m_next_name++));
  }
  if (model.m_endpoints.count(order.name()) > 0) return OrderResult::kNameTaken;
  order.clear_address();
  PlatformModelEndpoint& endpoint = model.m_endpoints[order.name()];
  model.m_names_by_token[order.token()] = order.name();
  endpoint.m_endpoint = std::move(order);
  endpoint.m_ordered_at = now;
  SetPhase(endpoint, EndpointPhase::kOrdered);
  *answer = endpoint.m_endpoint;
  return OrderResult::kCreated;
}

OrderResult ReleaseEndpoint(PlatformModel& model, const std::string& name,
                            std::uint64_t fencing_number, Instant now,
                            schema::PlatformEndpoint* answer) {
  const auto found = model.m_endpoints.find(name);
  if (found == model.m_endpoints.end()) return OrderResult::kUnknownEndpoint;
  PlatformModelEndpoint& endpoint = found->second;
  if (!AcceptFencingNumber(model, endpoint.m_endpoint.fleet(),
                           fencing_number)) {
    return OrderResult::kStaleFencing;
  }
  const bool repeated = endpoint.m_phase == EndpointPhase::kDraining ||
                        endpoint.m_phase == EndpointPhase::kGone;
  StartDraining(endpoint, model.m_release_time, now);
  *answer = endpoint.m_endpoint;
  return repeated ? OrderResult::kRepeated : OrderResult::kCreated;
}

std::vector<schema::PlatformEndpoint> ReclaimZone(PlatformModel& model,
                                                  std::string_view zone,
                                                  Duration notice,
                                                  Instant now) {
  std::vector<schema::PlatformEndpoint> reclaimed;
  for (auto& [name, endpoint] : model.m_endpoints) {
    const schema::PlatformEndpoint& listed = endpoint.m_endpoint;
    const bool cheap = FromName<EndpointClass>(listed.endpoint_class()) ==
                       EndpointClass::kCheap;
    if (!cheap || listed.availability_zone() != zone ||
        endpoint.m_phase == EndpointPhase::kGone) {
      continue;
    }
    StartDraining(endpoint, notice, now);
    reclaimed.push_back(listed);
  }
  return reclaimed;
}

UsageResult RecordUsageReport(PlatformModel& model,
                              const schema::UsageReport& report) {
  model.m_reports.push_back(report);
  model.m_usage_fencing =
      std::max(model.m_usage_fencing, report.fencing_number());
  const auto [first, added] =
      model.m_first_reports.emplace(report.window(), report);
  if (added) return UsageResult::kAccepted;
  return SortedFigures(first->second) == SortedFigures(report)
             ? UsageResult::kRepeated
             : UsageResult::kContradicts;
}

schema::PlatformEndpointList ListEndpoints(const PlatformModel& model) {
  schema::PlatformEndpointList list;
  for (const auto& [name, endpoint] : model.m_endpoints) {
    *list.add_endpoints() = endpoint.m_endpoint;
  }
  return list;
}

schema::PlatformInstanceList ListInstances(const PlatformModel& model,
                                           Instant now) {
  schema::PlatformInstanceList list;
  for (const auto& [name, instance] : model.m_instances) {
    schema::PlatformInstance* row = list.add_instances();
    row->set_name(name);
    row->set_availability_zone(instance.m_zone);
    row->set_leaving(instance.m_leaving_since &&
                     now - *instance.m_leaving_since >= model.m_instances_lag);
  }
  return list;
}

}  // namespace comfreypaddle::standins
