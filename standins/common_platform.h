#ifndef COMFREYPADDLE_STANDINS_COMMON_PLATFORM_H_
#define COMFREYPADDLE_STANDINS_COMMON_PLATFORM_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common.h"
#include "http.pb.h"
#include "types.h"

namespace comfreypaddle::standins {

// Result of an endpoint order or release.
enum class OrderResult {
  kCreated,
  kRepeated,
  kStaleFencing,
  kNameTaken,
  kInvalid,
  kUnknownEndpoint
};

enum class UsageResult { kAccepted, kRepeated, kContradicts };

struct PlatformModelEndpoint {
  schema::PlatformEndpoint m_endpoint;
  EndpointPhase m_phase = EndpointPhase::kOrdered;
  Instant m_ordered_at;
  Instant m_drain_end;  // End of the draining phase.
};

// Address of a process. It can be assigned to one endpoint order.
struct PoolAddress {
  std::string m_fleet;
  std::string m_zone;
  std::string m_address;
  bool m_checks_fencing = false;
  bool m_used = false;
};

struct PlatformModelInstance {
  std::string m_zone;
  std::optional<Instant> m_leaving_since;
};

// State of the platform: endpoint orders, instances and usage reports.
struct PlatformModel {
  // Time from an order to the ready phase. The starting phase begins after
  // half of it.
  Duration m_lead_time{0};
  Duration m_release_time{0};
  // Delay until the instance list shows that an instance is leaving.
  Duration m_instances_lag{0};
  bool m_orders_stall = false;
  std::map<std::string, PlatformModelEndpoint> m_endpoints;
  std::map<std::string, std::string> m_names_by_token;
  std::map<std::string, std::uint64_t> m_fencing_by_fleet;
  std::vector<PoolAddress> m_addresses;
  std::map<std::string, PlatformModelInstance> m_instances;
  std::vector<schema::UsageReport> m_reports;
  std::map<std::uint64_t, schema::UsageReport> m_first_reports;
  std::uint64_t m_usage_fencing = 0;
  std::uint32_t m_next_name = 1;
};

// Parses and adds FLEET/ZONE/IP:PORT, with the suffix /checks if the endpoint
// checks fencing numbers. Returns false on a syntax error.
bool AddPoolAddress(PlatformModel& model, std::string_view text);

// Adds an endpoint in the ready phase.
void AddReadyEndpoint(PlatformModel& model, schema::PlatformEndpoint endpoint);

// Parses NAME/FLEET/ZONE/CLASS/IP:PORT, with the suffix /checks if the endpoint
// checks fencing numbers, and adds it in the ready phase. Returns false on a
// syntax error.
bool AddListedEndpoint(PlatformModel& model, std::string_view text);

// Adds NAME or NAME/ZONE as a live instance.
void AddInstance(PlatformModel& model, std::string_view text);

// Advances all endpoints to their current phase. An order becomes ready only
// if a free address exists for its fleet and zone.
void Advance(PlatformModel& model, Instant now);

// Creates an endpoint. A repeated token returns the endpoint of the first
// order.
OrderResult OrderEndpoint(PlatformModel& model, schema::PlatformEndpoint order,
                          Instant now, schema::PlatformEndpoint* answer);

// Starts draining an endpoint. Repeated releases are accepted.
OrderResult ReleaseEndpoint(PlatformModel& model, const std::string& name,
                            std::uint64_t fencing_number, Instant now,
                            schema::PlatformEndpoint* answer);

// Starts draining all endpoints of class cheap in the zone. Returns them.
std::vector<schema::PlatformEndpoint> ReclaimZone(PlatformModel& model,
                                                  std::string_view zone,
                                                  Duration notice, Instant now);

// Records a usage report. The first figures of a window take precedence.
UsageResult RecordUsageReport(PlatformModel& model,
                              const schema::UsageReport& report);

schema::PlatformEndpointList ListEndpoints(const PlatformModel& model);

schema::PlatformInstanceList ListInstances(const PlatformModel& model,
                                           Instant now);

}  // namespace comfreypaddle::standins

namespace comfreypaddle {

template <>
struct EnumNames<standins::OrderResult> {
  static constexpr std::array<EnumName<standins::OrderResult>, 6> kTable{
      {{standins::OrderResult::kCreated, "created"},
       {standins::OrderResult::kRepeated, "repeated"},
       {standins::OrderResult::kStaleFencing, "stale_fencing"},
       {standins::OrderResult::kNameTaken, "name_taken"},
       {standins::OrderResult::kInvalid, "invalid_order"},
       {standins::OrderResult::kUnknownEndpoint, "unknown_endpoint"}}};
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STANDINS_COMMON_PLATFORM_H_
