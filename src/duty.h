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
  // Longest time that an order may be under way. A successor waits this long
  // before its first order.
  Duration m_order_timeout = std::chrono::seconds(1);
  Duration m_usage_window = std::chrono::seconds(60);
  // Time after a window's end at which it is closed, so that work that ended
  // in it is in the log.
  Duration m_close_delay = std::chrono::seconds(2);
  std::uint64_t m_snapshot_offsets = 2000;
  std::string m_platform_url;
  Duration m_platform_poll = std::chrono::seconds(1);
};

// What this process knows about the lease of one duty.
struct Tenure {
  Lease m_lease;
  bool m_claimed = false;  // A claim of anybody's was read.
  // Time before the claim in force was sent, if this process sent it.
  Instant m_claimed_at{};
  // When this process read the first claim of the tenure.
  Instant m_started{};
  std::uint64_t m_ticket = 0;  // Of a claim or release under way; zero if none.
};

// Closed usage window that is not known to be reported.
struct WindowReport {
  schema::UsageWindow m_window;
  HttpPort::CallId m_call = 0;  // Report under way.
  Instant m_retry_at{};
  bool m_accepted = false;  // The platform has it; the record is under way.
};

// Last order of an endpoint by the log, and what this process does about it.
struct EndpointOrder {
  schema::OrderIntent m_intent;
  bool m_open = false;
  Instant m_read_at{};          // When the intent was read here.
  std::uint64_t m_ticket = 0;   // Of an intent or outcome under way.
  HttpPort::CallId m_call = 0;  // To the endpoint, for this order.
  bool m_sent = false;          // Sent by this process in this tenure.
  Instant m_sent_at{};
  Instant m_next_at{};  // Earliest time of the next call.
};

// Last load report of an engine, as far as orders need it.
struct EngineView {
  bool m_known = false;
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_idle = false;
  bool m_draining = false;
  Instant m_read_at{};
  HttpPort::CallId m_call = 0;
};

// Counters of the work that arrived at one instance for one fleet, and the
// rates between the last two readings.
struct DemandCounter {
  std::uint64_t m_incarnation = 0;
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;
  Instant m_read_at{};
  double m_prompt_rate = 0.0;  // Tokens a second.
  double m_output_rate = 0.0;
};

// Order of an endpoint at the platform that is not known to be taken.
struct PendingCreate {
  std::string m_token;
  std::string m_zone;
  EndpointClass m_class = EndpointClass::kOnDemand;
  Instant m_ordered{};
  HttpPort::CallId m_call = 0;
};

// Capacity of one fleet whose endpoints the platform provides.
struct FleetCapacity {
  CapacityPlanner m_planner;
  RolePlanner m_sustained;  // Only its windows are used.
  std::vector<PendingCreate> m_creates;
};

// What this process does about one endpoint of such a fleet.
struct ProvidedEndpoint {
  schema::PlatformEndpoint m_platform;
  bool m_listed = false;  // In the platform's last list.
  int m_missing = 0;      // Lists in a row without it.
  Instant m_first_seen{};
  std::uint64_t m_ticket = 0;  // Of a configuration write under way.
  Instant m_drain_seen{};      // When the drain was read from the log.
  HttpPort::CallId m_release = 0;
};

// State of the duties task. The functions of tenure.h, report.h, ordering.h
// and provision.h work on it; ports are not owned.
struct DutyState {
  DutyOptions m_options;
  HttpPort* m_http = nullptr;
  Port<schema::JournalMessage>* m_journal = nullptr;
  std::function<Instant()> m_clock;
  // Wall clock, seconds since the epoch. It only numbers the usage windows.
  std::function<std::int64_t()> m_wall_clock_s;

  Tables m_tables;
  std::vector<std::string> m_members;  // Entry instances, this one included.
  std::map<std::string, Instant> m_heard;  // Last heartbeat by peer.
  std::map<std::string, Tenure, std::less<>> m_tenures;  // By duty.
  Instant m_caught_up_at{};
  bool m_caught_up = false;
  bool m_draining = false;
  bool m_log_reachable = false;
  std::uint64_t m_next_offset = 1;
  std::uint64_t m_last_snapshot = 0;  // Offset at which one was asked for.

  // Orders and roles of engines.
  std::map<std::string, EndpointOrder, std::less<>> m_orders;
  std::map<std::string, EngineView, std::less<>> m_engines;
  std::map<std::string, RolePlanner, std::less<>> m_role_planners;  // By fleet.
  Instant m_polled_at{};
  // Demand of each fleet by the counters of each instance.
  std::map<std::pair<std::string, std::string>, DemandCounter> m_demands;

  // Endpoints that the platform provides.
  std::map<std::string, FleetCapacity, std::less<>> m_capacity;  // By fleet.
  std::map<std::string, ProvidedEndpoint, std::less<>> m_provided;
  HttpPort::CallId m_list_call = 0;
  HttpPort::CallId m_instances_call = 0;
  std::map<std::string, std::uint64_t> m_drain_tickets;  // By endpoint.
  Instant m_listed_at{};
  Position m_listed_tenure = 0;  // Fencing number under which it was read.

  std::map<std::uint64_t, WindowReport> m_windows;
  std::uint64_t m_last_window = 0;
  std::uint64_t m_close_ticket = 0;  // Of a close under way; zero if none.
  std::uint64_t m_next_ticket = 1;
};

// Hands a record to the journal and returns the ticket of its verdict.
std::uint64_t SubmitDutyRecord(DutyState& state, schema::Record record,
                               Duration timeout);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_DUTY_H_
