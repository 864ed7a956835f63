#include "provision.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "codec.h"
#include "demand.h"
#include "dutylease.h"
#include "enginepoll.h"
#include "http.pb.h"
#include "json.h"

namespace comfreypaddle {

namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(2);

// The platform's list lags, so an endpoint counts as gone only if it is missing
// from this many consecutive lists.
constexpr int kGoneAfterMissedLists = 3;

constexpr Duration kSustainedWindow = std::chrono::seconds(120);

constexpr int kHttpOk = 200;
constexpr int kHttpServerError = 500;

constexpr std::int64_t kSecondsPerHour = 3600;

// Whether the fleet's capacity is managed: it must be a fleet of engines with
// zones and a known speed.
bool IsCapacityManaged(const Fleet& fleet) {
  return fleet.m_kind == FleetKind::kEngine && !fleet.m_zones.empty() &&
         HasKnownSpeed(fleet);
}

const Fleet* FindFleet(const DutyState& state, std::string_view name) {
  const auto found = state.m_tables.m_fleets.find(name);
  return found == state.m_tables.m_fleets.end() ? nullptr
                                                : &found->second.m_value;
}

// Region of a zone, taken from its configured endpoints; an unknown zone counts
// as its own region.
std::string RegionOfZone(const DutyState& state, const std::string& zone) {
  for (const auto& [name, endpoint] : state.m_tables.m_endpoints) {
    if (endpoint.m_value.m_availability_zone == zone) {
      return endpoint.m_value.m_region;
    }
  }
  return zone;
}

// Submits a configuration write for an endpoint. The token includes the version
// that the write replaces, so that a repeated write is idempotent.
void WriteEndpoint(DutyState& state, PlatformEndpointState& provided,
                   const Endpoint& endpoint, Position version, bool remove) {
  ConfigWrite write;
  write.m_token = "capacity/" + endpoint.m_name + "/" +
                  std::to_string(version) + "/" +
                  std::to_string(FencingNumber(state, kCapacityDuty)) +
                  (remove ? "/remove" : "/put");
  write.m_kind = ResourceKind::kEndpoint;
  write.m_name = endpoint.m_name;
  write.m_expected_version = version;
  write.m_remove = remove;
  write.m_resource = endpoint;
  LOG(INFO) << "updating endpoint configuration endpoint=" << endpoint.m_name
            << " zone=" << endpoint.m_availability_zone << " remove=" << remove
            << " draining=" << endpoint.m_draining;
  provided.m_ticket =
      SubmitDutyRecord(state, EncodeRecord(write), kRecordTimeout);
}

Endpoint MakeEndpoint(const DutyState& state,
                      const schema::PlatformEndpoint& platform) {
  Endpoint endpoint;
  endpoint.m_name = platform.name();
  endpoint.m_fleet = platform.fleet();
  endpoint.m_availability_zone = platform.availability_zone();
  endpoint.m_region = RegionOfZone(state, platform.availability_zone());
  endpoint.m_address = platform.address();
  endpoint.m_class = FromName<EndpointClass>(platform.endpoint_class())
                         .value_or(EndpointClass::kOnDemand);
  endpoint.m_checks_fencing = platform.checks_fencing();
  endpoint.m_provided = true;
  return endpoint;
}

EndpointPhase PhaseOf(const schema::PlatformEndpoint& platform) {
  return FromName<EndpointPhase>(platform.phase())
      .value_or(EndpointPhase::kOrdered);
}

// Asks the platform to release an endpoint. The call is idempotent.
void ReleaseEndpoint(DutyState& state, PlatformEndpointState& provided) {
  if (provided.m_release != 0) return;
  const std::string name = provided.m_platform.name();
  const Position fencing = FencingNumber(state, kCapacityDuty);
  HttpCall call = MakeDutyCall(
      state, kCapacityDuty,
      state.m_options.m_platform_url + "/platform/v1/endpoints/" +
          PercentEncode(name) + "?fencing_number=" + std::to_string(fencing));
  call.m_method = "DELETE";
  LOG(INFO) << "releasing endpoint=" << name << " fencing_number=" << fencing;
  provided.m_release = state.m_http->Start(
      std::move(call), CollectBody([&state, name](const HttpResult& /*result*/,
                                                  const std::string& /*body*/) {
        const auto found = state.m_provided.find(name);
        if (found != state.m_provided.end()) found->second.m_release = 0;
      }));
}

// Executes the next step towards consistent configuration and platform state
// for one endpoint.
void ReconcileEndpoint(DutyState& state, PlatformEndpointState& provided) {
  if (provided.m_ticket != 0) return;
  const std::string& name = provided.m_platform.name();
  const auto found = state.m_tables.m_endpoints.find(name);
  const EndpointPhase phase = PhaseOf(provided.m_platform);
  const bool gone = phase == EndpointPhase::kGone ||
                    provided.m_missing >= kGoneAfterMissedLists;
  if (found == state.m_tables.m_endpoints.end()) {
    if (phase == EndpointPhase::kReady && !gone) {
      WriteEndpoint(state, provided, MakeEndpoint(state, provided.m_platform),
                    0, false);
    }
    return;
  }
  Endpoint endpoint = found->second.m_value;
  const Position version = found->second.m_version;
  if (!endpoint.m_provided) return;
  if (gone) {
    WriteEndpoint(state, provided, endpoint, version, true);
    return;
  }
  if (!endpoint.m_draining) {
    provided.m_drain_seen = {};
    if (phase != EndpointPhase::kDraining) return;
    endpoint.m_draining = true;
    WriteEndpoint(state, provided, endpoint, version, false);
    return;
  }
  if (provided.m_drain_seen == Instant{})
    provided.m_drain_seen = state.m_clock();
  PollEngine(state, endpoint);
  if (phase == EndpointPhase::kReady &&
      IsIdleSince(state, name, provided.m_drain_seen)) {
    ReleaseEndpoint(state, provided);
  }
}

void UpdateProvidedEndpoints(DutyState& state,
                             const schema::PlatformEndpointList& list) {
  for (auto& [name, provided] : state.m_provided) provided.m_listed = false;
  for (const schema::PlatformEndpoint& platform : list.endpoints()) {
    const Fleet* fleet = FindFleet(state, platform.fleet());
    if (fleet == nullptr || !IsCapacityManaged(*fleet)) continue;
    PlatformEndpointState& provided = state.m_provided[platform.name()];
    if (provided.m_platform.name().empty()) {
      provided.m_first_seen = state.m_clock();
    }
    provided.m_platform = platform;
    provided.m_listed = true;
    provided.m_missing = 0;
  }
  // Track adopted endpoints that are no longer listed. Endpoints configured by
  // an operator are not touched.
  for (const auto& [name, endpoint] : state.m_tables.m_endpoints) {
    const Fleet* fleet = FindFleet(state, endpoint.m_value.m_fleet);
    if (fleet == nullptr || !IsCapacityManaged(*fleet)) continue;
    if (!endpoint.m_value.m_provided) continue;
    PlatformEndpointState& provided = state.m_provided[name];
    if (provided.m_platform.name().empty()) {
      provided.m_platform.set_name(name);
      provided.m_platform.set_fleet(endpoint.m_value.m_fleet);
    }
  }
  for (auto& [name, provided] : state.m_provided) {
    if (!provided.m_listed) ++provided.m_missing;
  }
  std::erase_if(state.m_provided, [&state](const auto& entry) {
    const bool configured = state.m_tables.m_endpoints.count(entry.first) != 0;
    return !entry.second.m_listed && !configured &&
           entry.second.m_ticket == 0 && entry.second.m_release == 0;
  });
}

void RequestEndpointList(DutyState& state) {
  if (state.m_list_call != 0) return;
  const Position tenure = FencingNumber(state, kCapacityDuty);
  HttpCall call =
      MakeDutyCall(state, kCapacityDuty,
                   state.m_options.m_platform_url + "/platform/v1/endpoints");
  state.m_list_call = state.m_http->Start(
      std::move(call), CollectBody([&state, tenure](const HttpResult& result,
                                                    const std::string& body) {
        state.m_list_call = 0;
        schema::PlatformEndpointList list;
        if (result.m_error || result.m_status != kHttpOk ||
            FromJson(body, UnknownFields::kIgnore, &list)) {
          return;
        }
        UpdateProvidedEndpoints(state, list);
        state.m_listed_fencing_number = tenure;
      }));
}

// Drains an endpoint, of any fleet, whose platform instance is listed as
// leaving.
void DrainLeavingEndpoint(DutyState& state, const std::string& name) {
  const auto found = state.m_tables.m_endpoints.find(name);
  if (found == state.m_tables.m_endpoints.end()) return;
  if (found->second.m_value.m_draining) return;
  if (state.m_drain_tickets.count(name) != 0) return;
  PlatformEndpointState write;
  Endpoint endpoint = found->second.m_value;
  endpoint.m_draining = true;
  WriteEndpoint(state, write, endpoint, found->second.m_version, false);
  state.m_drain_tickets[name] = write.m_ticket;
}

void RequestInstanceList(DutyState& state) {
  if (state.m_instances_call != 0) return;
  HttpCall call =
      MakeDutyCall(state, kCapacityDuty,
                   state.m_options.m_platform_url + "/platform/v1/instances");
  state.m_instances_call = state.m_http->Start(
      std::move(call),
      CollectBody([&state](const HttpResult& result, const std::string& body) {
        state.m_instances_call = 0;
        schema::PlatformInstanceList list;
        if (result.m_error || result.m_status != kHttpOk ||
            FromJson(body, UnknownFields::kIgnore, &list)) {
          return;
        }
        for (const schema::PlatformInstance& instance : list.instances()) {
          if (instance.leaving()) DrainLeavingEndpoint(state, instance.name());
        }
      }));
}

PendingCreate* FindCreate(DutyState& state, const std::string& fleet,
                          const std::string& token) {
  for (PendingCreate& create : state.m_capacity[fleet].m_creates) {
    if (create.m_token == token) return &create;
  }
  return nullptr;
}

// Adds the new endpoint to the known ones right away, although the platform
// lists it only later. An order that the platform refused is dropped, so that
// the planner plans it again.
void OnCreateResponse(DutyState& state, const std::string& fleet,
                      const std::string& token, const HttpResult& result,
                      const std::string& body) {
  PendingCreate* create = FindCreate(state, fleet, token);
  if (create == nullptr) return;
  create->m_call = 0;
  const bool answered = !result.m_error && result.m_status < kHttpServerError;
  if (!answered) return;
  schema::PlatformEndpoint platform;
  if (!FromJson(body, UnknownFields::kIgnore, &platform) &&
      !platform.name().empty()) {
    PlatformEndpointState& provided = state.m_provided[platform.name()];
    provided.m_platform = platform;
    provided.m_first_seen = state.m_clock();
  }
  std::erase_if(
      state.m_capacity[fleet].m_creates,
      [&token](const PendingCreate& other) { return other.m_token == token; });
}

// An order whose response was lost is sent again with the same token, which the
// platform treats as the same order.
void SendCreate(DutyState& state, const std::string& fleet,
                PendingCreate& create) {
  if (create.m_call != 0) return;
  schema::PlatformEndpoint order;
  order.set_token(create.m_token);
  order.set_fleet(fleet);
  order.set_availability_zone(create.m_zone);
  order.set_endpoint_class(std::string(ToName(create.m_class)));
  order.set_fencing_number(FencingNumber(state, kCapacityDuty));
  HttpCall call =
      MakeDutyCall(state, kCapacityDuty,
                   state.m_options.m_platform_url + "/platform/v1/endpoints");
  call.m_method = "POST";
  call.m_headers = {{"content-type", "application/json"}};
  call.m_body = ToJson(order);
  LOG(INFO) << "creating endpoint fleet=" << fleet << " zone=" << create.m_zone
            << " class=" << ToName(create.m_class)
            << " token=" << create.m_token;
  const std::string token = create.m_token;
  create.m_call = state.m_http->Start(
      std::move(call),
      CollectBody([&state, fleet, token](const HttpResult& result,
                                         const std::string& body) {
        OnCreateResponse(state, fleet, token, result, body);
      }));
}

std::vector<CapacityEndpoint> MakePlannerInput(const DutyState& state,
                                               const std::string& fleet,
                                               const FleetCapacity& capacity) {
  std::vector<CapacityEndpoint> view;
  for (const auto& [name, provided] : state.m_provided) {
    const schema::PlatformEndpoint& platform = provided.m_platform;
    if (platform.fleet() != fleet ||
        provided.m_missing >= kGoneAfterMissedLists) {
      continue;
    }
    CapacityEndpoint endpoint;
    endpoint.m_name = name;
    endpoint.m_zone = platform.availability_zone();
    endpoint.m_class = FromName<EndpointClass>(platform.endpoint_class())
                           .value_or(EndpointClass::kOnDemand);
    endpoint.m_phase = PhaseOf(platform);
    endpoint.m_ordered = provided.m_first_seen;
    const auto configured = state.m_tables.m_endpoints.find(name);
    if (configured != state.m_tables.m_endpoints.end() &&
        configured->second.m_value.m_draining) {
      endpoint.m_phase = EndpointPhase::kDraining;
    }
    if (endpoint.m_phase != EndpointPhase::kGone) view.push_back(endpoint);
  }
  for (const auto& [name, configured] : state.m_tables.m_endpoints) {
    const Endpoint& endpoint = configured.m_value;
    if (endpoint.m_fleet != fleet || endpoint.m_provided) continue;
    view.push_back(
        {name,
         endpoint.m_availability_zone,
         endpoint.m_class,
         endpoint.m_draining ? EndpointPhase::kDraining : EndpointPhase::kReady,
         {},
         0.0});
  }
  for (const PendingCreate& create : capacity.m_creates) {
    view.push_back({create.m_token, create.m_zone, create.m_class,
                    EndpointPhase::kOrdered, create.m_ordered, 0.0});
  }
  return view;
}

void ExecuteOrder(DutyState& state, const std::string& fleet,
                  FleetCapacity& capacity, const CapacityOrder& order) {
  const Instant now = state.m_clock();
  if (order.m_kind == CapacityOrderKind::kCreate) {
    const std::string token =
        "capacity-" + std::to_string(FencingNumber(state, kCapacityDuty)) +
        "-" + std::to_string(state.m_next_ticket++);
    capacity.m_creates.push_back({token, order.m_zone, order.m_class, now});
    return;
  }
  const auto found = state.m_provided.find(order.m_endpoint);
  if (found == state.m_provided.end() || found->second.m_ticket != 0) return;
  const auto configured = state.m_tables.m_endpoints.find(order.m_endpoint);
  LOG(INFO) << "executing capacity order kind=" << ToName(order.m_kind)
            << " fleet=" << fleet << " endpoint=" << order.m_endpoint;
  if (configured == state.m_tables.m_endpoints.end()) {
    ReleaseEndpoint(state, found->second);  // It never received any requests.
    return;
  }
  Endpoint endpoint = configured->second.m_value;
  if (endpoint.m_draining || !endpoint.m_provided) return;
  endpoint.m_draining = true;
  WriteEndpoint(state, found->second, endpoint, configured->second.m_version,
                false);
}

void PlanFleetCapacity(DutyState& state, const Fleet& fleet) {
  FleetCapacity& capacity = state.m_capacity[fleet.m_name];
  CapacityOptions& options = capacity.m_planner.m_options;
  options.m_zones = fleet.m_zones;
  options.m_max_endpoints = static_cast<int>(fleet.m_replicas);
  options.m_min_endpoints = static_cast<int>(
      fleet.m_min_replicas == 0 ? fleet.m_replicas : fleet.m_min_replicas);
  options.m_cheap_share = fleet.m_cheap_share;
  const Instant now = state.m_clock();
  capacity.m_sustained.m_options.m_long_window = kSustainedWindow;
  ObserveDemand(capacity.m_sustained, FleetDemand(state, fleet), now);
  const PhaseDemand& fast = capacity.m_sustained.m_short;
  const PhaseDemand& slow = capacity.m_sustained.m_long;
  const CapacityDemand demand{
      std::max(fast.m_prefill + fast.m_decode, slow.m_prefill + slow.m_decode),
      slow.m_prefill + slow.m_decode};
  const std::int64_t hour = state.m_wall_clock_s() / kSecondsPerHour;
  const auto slot = static_cast<std::size_t>(hour) % kHoursPerDay;
  UpdateProfile(capacity.m_planner, slot, demand.m_sustained);
  const auto orders = PlanCapacity(
      capacity.m_planner, MakePlannerInput(state, fleet.m_name, capacity),
      demand, slot, now);
  for (const CapacityOrder& order : orders) {
    ExecuteOrder(state, fleet.m_name, capacity, order);
  }
  for (PendingCreate& create : capacity.m_creates) {
    SendCreate(state, fleet.m_name, create);
  }
}

}  // namespace

void MaintainCapacity(DutyState& state) {
  if (!MayOrder(state, kCapacityDuty)) return;
  const Instant now = state.m_clock();
  if (now - state.m_listed_at < state.m_options.m_platform_poll) return;
  state.m_listed_at = now;
  RequestInstanceList(state);
  const bool any =
      std::any_of(state.m_tables.m_fleets.begin(),
                  state.m_tables.m_fleets.end(), [](const auto& entry) {
                    return IsCapacityManaged(entry.second.m_value);
                  });
  if (!any) return;
  RequestEndpointList(state);
  // A list read under an earlier fencing number is not acted on: another holder
  // may have sent orders since.
  if (state.m_listed_fencing_number != FencingNumber(state, kCapacityDuty)) {
    for (auto& [fleet, capacity] : state.m_capacity) {
      capacity.m_creates.clear();
    }
    return;
  }
  for (auto& [name, provided] : state.m_provided) {
    ReconcileEndpoint(state, provided);
  }
  if (state.m_draining) return;
  for (const auto& [name, fleet] : state.m_tables.m_fleets) {
    if (IsCapacityManaged(fleet.m_value))
      PlanFleetCapacity(state, fleet.m_value);
  }
}

bool OnCapacityVerdict(DutyState& state, const schema::RecordVerdict& verdict) {
  for (auto& [name, provided] : state.m_provided) {
    if (provided.m_ticket != verdict.ticket()) continue;
    provided.m_ticket = 0;
    return true;
  }
  for (const auto& [name, ticket] : state.m_drain_tickets) {
    if (ticket != verdict.ticket()) continue;
    state.m_drain_tickets.erase(name);
    return true;
  }
  return false;
}

}  // namespace comfreypaddle
