#include "duties.h"

#include <glog/logging.h>

#include <utility>

#include "codec.h"
#include "demand.h"
#include "dutylease.h"
#include "ordering.h"
#include "provision.h"
#include "settings.h"
#include "usagereport.h"

namespace comfreypaddle {

namespace {

// Granularity of lease renewals and retry delays.
constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

std::int64_t WallClockSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

DutyOptions MakeDutyOptions(const schema::Settings& settings,
                            std::uint64_t incarnation) {
  DutyOptions options;
  options.m_self = {settings.instance().name(), incarnation};
  options.m_lease.m_term =
      std::chrono::milliseconds(settings.lease().term_ms());
  options.m_lease.m_send_margin =
      std::chrono::milliseconds(settings.lease().send_margin_ms());
  options.m_order_timeout =
      std::chrono::milliseconds(settings.lease().order_timeout_ms());
  options.m_usage_window = std::chrono::seconds(settings.usage().window_s());
  options.m_snapshot_offsets = settings.log().snapshot_records();
  options.m_platform_url = settings.platform().url();
  options.m_platform_poll =
      std::chrono::milliseconds(settings.platform().poll_ms());
  return options;
}

}  // namespace

Duties::Duties(const schema::Settings& settings, std::uint64_t incarnation) {
  m_state.m_options = MakeDutyOptions(settings, incarnation);
  m_state.m_clock = [] { return Now(); };
  m_state.m_wall_clock_s = &WallClockSeconds;
  for (const Member& member : ParseMembers(settings.peers().members())) {
    m_state.m_members.push_back(member.m_name);
  }
}

void Duties::Connect(const DutiesPorts& ports) {
  m_ports = ports;
  m_state.m_journal = ports.m_journal;
}

void Duties::Start() {
  m_client.emplace(Loop());
  m_state.m_http = &*m_client;
  m_tick = std::make_unique<PeriodicTimer>(Loop(), kTickPeriod,
                                           [this] { OnTick(); });
}

void Duties::Finish() {
  m_tick.reset();
  m_client.reset();
}

void Duties::OnTick() {
  MaintainLeases(m_state);
  MaintainReports(m_state);
  MaintainOrders(m_state);
  MaintainCapacity(m_state);
  MaintainSnapshots();
  CheckReleased();
}

void Duties::Receive(schema::DutiesMessage message) {
  switch (message.body_case()) {
    case schema::DutiesMessage::kTableChange:
      if (const auto change = DecodeTableChange(message.table_change())) {
        ApplyChange(m_state.m_tables, *change);
      }
      return;
    case schema::DutiesMessage::kVerdict:
      OnRecordVerdict(message.verdict());
      return;
    case schema::DutiesMessage::kLogStatus:
      OnLogStatus(message.log_status());
      return;
    case schema::DutiesMessage::kLeaseChange:
      OnLeaseChange(m_state, message.lease_change());
      return;
    case schema::DutiesMessage::kUsageWindow:
      OnWindowClosed(m_state, message.usage_window());
      return;
    case schema::DutiesMessage::kUsageReported:
      OnWindowReported(m_state, message.usage_reported());
      return;
    case schema::DutiesMessage::kOrderChange:
      OnOrderChange(m_state, message.order_change());
      return;
    case schema::DutiesMessage::kGatewayStatus:
      for (const schema::FleetDemand& demand :
           message.gateway_status().demands()) {
        OnDemand(m_state, m_state.m_options.m_self, demand);
      }
      return;
    case schema::DutiesMessage::kPeer:
      m_state.m_heard[message.peer().instance()] = Now();
      for (const schema::FleetDemand& demand : message.peer().demands()) {
        OnDemand(m_state,
                 {message.peer().instance(), message.peer().incarnation()},
                 demand);
      }
      return;
    case schema::DutiesMessage::kDrain:
      LOG(INFO) << "drain requested; releasing all leases";
      m_state.m_draining = true;
      return;
    case schema::DutiesMessage::kStop:
      Loop().Stop();
      return;
    case schema::DutiesMessage::BODY_NOT_SET:
      return;
  }
}

void Duties::OnRecordVerdict(const schema::RecordVerdict& verdict) {
  if (OnLeaseVerdict(m_state, verdict)) return;
  if (OnReportVerdict(m_state, verdict)) return;
  if (OnOrderVerdict(m_state, verdict)) return;
  OnCapacityVerdict(m_state, verdict);
}

void Duties::OnLogStatus(const schema::LogStatus& status) {
  m_state.m_next_offset = status.next_offset();
  m_state.m_log_reachable = status.reachable();
  if (m_state.m_caught_up || !status.caught_up()) return;
  m_state.m_caught_up = true;
  m_state.m_caught_up_at = Now();
}

// A new holder also waits for the full distance before its first snapshot, so
// that a duty that often changes its holder does not write a snapshot each
// time.
void Duties::MaintainSnapshots() {
  if (!m_state.m_caught_up) return;
  if (m_state.m_last_snapshot == 0) {
    m_state.m_last_snapshot = m_state.m_next_offset;
  }
  const std::uint64_t distance = m_state.m_options.m_snapshot_offsets;
  if (m_state.m_next_offset < m_state.m_last_snapshot + distance) return;
  if (!MayActOn(m_state, kSnapshotDuty)) return;
  m_state.m_last_snapshot = m_state.m_next_offset;
  LOG(INFO) << "writing a snapshot at offset=" << m_state.m_next_offset;
  schema::JournalMessage message;
  message.mutable_write_snapshot();
  m_ports.m_journal->Post(std::move(message));
}

// Leases cannot be released while the log is unreachable; they expire instead.
void Duties::CheckReleased() {
  if (!m_state.m_draining || m_drained) return;
  if (m_state.m_log_reachable && !AllReleased(m_state)) return;
  m_drained = true;
  schema::ServeMessage message;
  message.mutable_drained()->set_task(schema::TASK_DUTIES);
  m_ports.m_serve->Post(std::move(message));
}

}  // namespace comfreypaddle
