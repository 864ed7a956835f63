#ifndef COMFREYPADDLE_DUTY_H_
#define COMFREYPADDLE_DUTY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "capacity.h"
#include "configstate.h"
#include "http.h"
#include "http.pb.h"
#include "lease.h"
#include "messages.pb.h"
#include "roles.h"
#include "task.h"
#include "types.h"

namespace comfreypaddle {

struct DutyOptions {
  Writer m_self;
  LeaseOptions m_lease;
  // Maximum time that an order may be in flight. A new holder waits this long
  // before its first order.
  Duration m_order_timeout = std::chrono::seconds(1);
  Duration m_usage_window = std::chrono::seconds(60);
  // Delay between the end of a window and its closing, so that usage of
  // requests that ended in it has reached the log.
  Duration m_close_delay = std::chrono::seconds(2);
  std::uint64_t m_snapshot_offsets = 2000;
  std::string m_platform_url;
  Duration m_platform_poll = std::chrono::seconds(1);
};

// Local state of one duty's lease.
struct DutyLease {
  Lease m_lease;
  bool m_claimed = false;  // A claim by any process has been read.
  // Instant before the current claim was sent, if this process sent it.
  Instant m_claimed_at{};
  // When this process read the claim with which the holder acquired the lease.
  Instant m_started{};
  std::uint64_t m_ticket = 0;  // Pending claim or release; zero if none.
};

// Closed usage window whose report is not confirmed in the log.
struct WindowReport {
  schema::UsageWindow m_window;
  HttpPort::CallId m_call = 0;  // Pending report call.
  Instant m_retry_at{};
  // The platform accepted the report; its record is pending.
  bool m_accepted = false;
};

// Latest order of an endpoint in the log, and the state of its execution by
// this process.
struct EndpointOrder {
  schema::OrderIntent m_intent;
  bool m_open = false;
  Instant m_read_at{};          // When this process read the intent.
  std::uint64_t m_ticket = 0;   // Pending intent or outcome; zero if none.
  HttpPort::CallId m_call = 0;  // Pending call to the endpoint.
  bool m_sent = false;          // Sent by this process under the current lease.
  Instant m_sent_at{};
  Instant m_next_at{};  // Earliest time of the next call.
};

// Fields of an engine's last load report that orders depend on.
struct EngineView {
  bool m_known = false;
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_idle = false;
  bool m_draining = false;
  Instant m_read_at{};
  HttpPort::CallId m_call = 0;
};

// Counters of the work for one fleet that arrived at one instance, and the
// rates between the last two readings.
struct DemandCounter {
  std::uint64_t m_incarnation = 0;
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;
  Instant m_read_at{};
  double m_prompt_rate = 0.0;  // Tokens per second.
  double m_output_rate = 0.0;
};

// Order for a new endpoint that the platform has not acknowledged.
struct PendingCreate {
  std::string m_token;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  Instant m_ordered{};
  HttpPort::CallId m_call = 0;
};

// Capacity planning state of one fleet whose endpoints the platform provides.
struct FleetCapacity {
  CapacityPlanner m_planner;
  RolePlanner m_sustained;  // Only its averages are used.
  std::vector<PendingCreate> m_creates;
};

// Local state of one endpoint of such a fleet.
struct PlatformEndpointState {
  schema::PlatformEndpoint m_platform;
  bool m_listed = false;  // Present in the platform's last list.
  int m_missing = 0;      // Consecutive lists without it.
  Instant m_first_seen{};
  std::uint64_t m_ticket = 0;  // Pending configuration write; zero if none.
  Instant m_drain_seen{};      // When the drain was read from the log.
  HttpPort::CallId m_release = 0;
};

// State of the duties task, shared by the functions of dutylease.h,
// usagereport.h, ordering.h and provision.h. Ports are not owned.
struct DutyState {
  DutyOptions m_options;
  HttpPort* m_http = nullptr;
  Port<schema::JournalMessage>* m_journal = nullptr;
  std::function<Instant()> m_clock;
  // Wall clock in seconds since the epoch. Used for the numbers of usage
  // windows and for the hour of the demand profile.
  std::function<std::int64_t()> m_wall_clock_s;

  Tables m_tables;
  std::vector<std::string> m_members;  // Entry instances, including this one.
  std::map<std::string, Instant> m_heard;  // Last heartbeat by peer.
  std::map<std::string, DutyLease, std::less<>> m_duty_leases;  // By duty.
  Instant m_caught_up_at{};
  bool m_caught_up = false;
  bool m_draining = false;
  bool m_log_reachable = false;
  std::uint64_t m_next_offset = 1;
  // Log offset of the last snapshot request.
  std::uint64_t m_last_snapshot = 0;

  std::map<std::string, EndpointOrder, std::less<>> m_orders;
  std::map<std::string, EngineView, std::less<>> m_engines;
  std::map<std::string, RolePlanner, std::less<>> m_role_planners;  // By fleet.
  Instant m_polled_at{};
  // By fleet and instance.
  std::map<std::pair<std::string, std::string>, DemandCounter> m_demands;

  // Endpoints that the platform provides.
  std::map<std::string, FleetCapacity, std::less<>> m_capacity;  // By fleet.
  std::map<std::string, PlatformEndpointState, std::less<>> m_provided;
  HttpPort::CallId m_list_call = 0;
  HttpPort::CallId m_instances_call = 0;
  std::map<std::string, std::uint64_t> m_drain_tickets;  // By endpoint.
  Instant m_listed_at{};
  // Fencing number under which the list was read.
  Position m_listed_fencing_number = 0;

  std::map<std::uint64_t, WindowReport> m_windows;
  std::uint64_t m_last_window = 0;
  std::uint64_t m_close_ticket = 0;  // Pending close of a window; zero if none.
  std::uint64_t m_next_ticket = 1;
};

// Submits a record to the journal and returns the ticket that its verdict will
// carry.
std::uint64_t SubmitDutyRecord(DutyState& state, schema::Record record,
                               Duration timeout);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DUTY_H_
