#include "gateway.h"

#include <glog/logging.h>

#include <utility>

#include "codec.h"
#include "dispatch.h"
#include "fairshare.h"
#include "probe.h"

namespace comfreypaddle {

namespace {

// Resolution of deadlines and retry delays.
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);

// Period of status messages to other tasks and of fair share updates.
constexpr Duration kStatusPeriod = std::chrono::milliseconds(500);

// Maximum time to claim an idempotency key.
constexpr Duration kClaimTimeout = std::chrono::seconds(3);

CallOptions MakeOptions(const schema::Settings& settings,
                        std::uint64_t incarnation) {
  CallOptions options;
  options.m_instance = settings.instance().name();
  options.m_incarnation = incarnation;
  options.m_zone = settings.instance().availability_zone();
  options.m_region = settings.instance().region();
  options.m_queue_limits.m_instance_requests =
      settings.admission().queue_requests();
  options.m_queue_limits.m_workspace_requests =
      settings.admission().workspace_queue_requests();
  options.m_default_deadline =
      std::chrono::milliseconds(settings.admission().default_deadline_ms());
  options.m_inactivity_timeout =
      std::chrono::milliseconds(settings.routing().silence_ms());
  options.m_connect_timeout =
      std::chrono::milliseconds(settings.routing().connect_timeout_ms());
  options.m_load_poll =
      std::chrono::milliseconds(settings.routing().load_poll_ms());
  return options;
}

// Copies of a prompt while its request is open: as parsed, and in the call to
// the engine.
constexpr std::size_t kBodyCopies = 2;

ListenerOptions MakeListenerOptions(const schema::CallersSettings& callers) {
  ListenerOptions options;
  options.m_address = callers.address();
  options.m_port = static_cast<std::uint16_t>(callers.port());
  options.m_max_connections = callers.max_connections();
  options.m_max_head_bytes = callers.max_head_bytes();
  options.m_max_body_bytes = callers.max_body_bytes();
  options.m_request_timeout = std::chrono::seconds(callers.request_timeout_s());
  options.m_body_copies = kBodyCopies;
  options.m_request_bytes =
      RequestBytesOf(callers.machine_mb(), callers.request_mb(),
                     callers.max_head_bytes() + callers.max_body_bytes());
  options.m_unread_bytes = options.m_request_bytes;
  return options;
}

// Adds what the requests of callers hold, and who was turned away for it.
void AddRequestMemory(const RequestMemory& memory, MetricsText* text) {
  text->Gauge("comfreypaddle_request_memory_bytes",
              "Bytes that requests of callers hold.",
              static_cast<double>(memory.m_held_bytes));
  text->Gauge("comfreypaddle_request_memory_limit_bytes",
              "Bytes that requests of callers may hold.",
              static_cast<double>(memory.m_limits.m_bytes));
  std::map<std::string, double> turned_away;
  for (const EnumName<TurnedAway>& row : EnumNames<TurnedAway>::kTable) {
    turned_away[std::string(row.m_name)] = 0;
  }
  for (const auto& [reason, count] : memory.m_turned_away) {
    turned_away[std::string(ToName(reason))] = static_cast<double>(count);
  }
  text->Gauges("comfreypaddle_callers_turned_away",
               "Callers turned away to stay within the bounds of the machine.",
               "reason", turned_away);
}

std::string FormatMetrics(const CallState& state, const RequestMemory& memory) {
  const CallCounters& counters = state.m_counters;
  MetricsText text;
  text.Counter("comfreypaddle_requests_total", "Requests received.",
               counters.m_requests);
  text.Counter("comfreypaddle_refused_total", "Requests answered by a problem.",
               counters.m_refused);
  text.Counter("comfreypaddle_completed_total", "Requests answered whole.",
               counters.m_completed);
  text.Counter("comfreypaddle_failed_total",
               "Requests given up after an endpoint failed.",
               counters.m_failed);
  text.Counter("comfreypaddle_cancelled_total", "Requests whose caller left.",
               counters.m_cancelled);
  text.Counter("comfreypaddle_retries_total",
               "Attempts after the first that went to another endpoint.",
               counters.m_retries);
  text.Counter("comfreypaddle_resumes_total",
               "Streams resumed over a new connection.", counters.m_resumes);
  text.Counter("comfreypaddle_tokens_total", "Tokens passed on.",
               counters.m_tokens);
  text.Gauge("comfreypaddle_open_requests", "Requests not answered yet.",
             static_cast<double>(state.m_calls.size()));
  text.Gauge("comfreypaddle_queued_requests", "Requests waiting in the queue.",
             static_cast<double>(QueuedRequests(state.m_admission_queue)));
  text.Summary("comfreypaddle_first_token_seconds",
               "Time from a request to its first token.",
               state.m_timings.m_first_token);
  text.Summary("comfreypaddle_token_gap_seconds", "Time between two tokens.",
               state.m_timings.m_token_gap);
  text.Summary("comfreypaddle_queue_seconds",
               "Time from a request to its first attempt.",
               state.m_timings.m_queue);
  AddRequestMemory(memory, &text);
  return text.Text();
}

}  // namespace

Gateway::Gateway(const schema::Settings& settings, std::uint64_t incarnation)
    : m_settings(settings) {
  m_state.m_options = MakeOptions(settings, incarnation);
  m_state.m_clock = [] { return Now(); };
  m_state.m_records = this;
  m_state.m_route.m_random.seed(settings.routing().seed());
  m_state.m_retry.m_limits.m_max_attempts = settings.retry().max_attempts();
  m_state.m_retry.m_limits.m_ratio = settings.retry().budget_ratio();
  m_state.m_retry.m_limits.m_burst = settings.retry().budget_burst();
}

void Gateway::Start() {
  m_client.emplace(Loop());
  m_listener.emplace(
      Loop(), MakeListenerOptions(m_settings.callers()),
      [this](HttpRequest request) {
        AcceptRequest(m_state, std::move(request));
      },
      [this](std::uint64_t id) { OnCallerDisconnected(m_state, id); });
  const std::error_code error = m_listener->Open();
  if (error) {
    LOG(FATAL) << "cannot listen for callers on "
               << m_settings.callers().address() << ":"
               << m_settings.callers().port() << ": " << error.message();
  }
  m_state.m_callers = &*m_listener;
  m_state.m_endpoints = &*m_client;
  const auto every = [this](Duration period, EventLoop::Callback tick) {
    m_timers.push_back(
        std::make_unique<PeriodicTimer>(Loop(), period, std::move(tick)));
  };
  every(kTickPeriod, [this] {
    OnTick(m_state);
    CheckDrained();
  });
  every(m_state.m_options.m_load_poll, [this] { PollLoads(m_state); });
  every(std::chrono::milliseconds(m_settings.usage().flush_ms()),
        [this] { FlushUsage(); });
  every(kStatusPeriod, [this] { SendStatus(); });
}

void Gateway::Receive(schema::GatewayMessage message) {
  switch (message.body_case()) {
    case schema::GatewayMessage::kTableChange:
      if (const auto change = DecodeTableChange(message.table_change())) {
        OnTableChange(m_state, *change);
      }
      return;
    case schema::GatewayMessage::kVerdict: {
      const schema::RecordVerdict& verdict = message.verdict();
      OnClaimVerdict(
          m_state, verdict.ticket(),
          FromName<Verdict>(verdict.verdict()).value_or(Verdict::kUnknown),
          FromName<Outcome>(verdict.outcome()).value_or(Outcome::kUnknown));
      return;
    }
    case schema::GatewayMessage::kPermission:
      m_state.m_permission = {
          message.permission().open(), message.permission().reason(),
          DecodeInstant(message.permission().valid_until_us())};
      return;
    case schema::GatewayMessage::kSuspect:
      ApplySuspectReport(m_state.m_suspects,
                         DecodeSuspectChange(message.suspect()), Now());
      return;
    case schema::GatewayMessage::kLeaving:
      for (const std::string& name : message.leaving().names()) {
        SetLeaving(m_state.m_route, name, true);
      }
      return;
    case schema::GatewayMessage::kPeer:
      OnPeerState(message.peer());
      return;
    case schema::GatewayMessage::kOrderChange:
      // An endpoint with an open order gets no new work, so that the order can
      // be executed when it is idle and interrupts no request.
      SetOrderPending(m_state.m_route,
                      message.order_change().intent().endpoint(),
                      !message.order_change().has_outcome());
      return;
    case schema::GatewayMessage::kDrain:
      StartDrain();
      return;
    case schema::GatewayMessage::kStop:
      Loop().Stop();
      return;
    case schema::GatewayMessage::BODY_NOT_SET:
      return;
  }
}

void Gateway::Finish() {
  m_timers.clear();
  m_listener.reset();
  m_client.reset();
}

void Gateway::Submit(std::uint64_t ticket, Duration timeout,
                     schema::Record record) {
  if (m_ports.m_journal == nullptr) return;
  schema::JournalMessage message;
  schema::SubmitRecord* submit = message.mutable_submit();
  submit->set_sender(schema::TASK_GATEWAY);
  submit->set_ticket(ticket);
  submit->set_timeout_ms(static_cast<std::uint32_t>(timeout.count() / 1000));
  *submit->mutable_record() = std::move(record);
  m_ports.m_journal->Post(std::move(message));
}

void Gateway::ClaimRequest(std::uint64_t ticket, const RequestClaim& claim) {
  Submit(ticket, kClaimTimeout, EncodeRecord(claim));
}

void Gateway::RecordOutcome(const RequestOutcome& outcome) {
  Submit(0, Duration(0), EncodeRecord(outcome));
}

void Gateway::ReportSuspect(const SuspectReport& report) {
  Submit(0, Duration(0), EncodeRecord(report));
}

// Service digests of other instances are charged to the local queues.
void Gateway::OnPeerState(const schema::PeerState& peer) {
  const Instant now = Now();
  const std::string name =
      peer.instance() + "/" + std::to_string(peer.incarnation());
  for (const schema::WorkspaceService& service : peer.services()) {
    AddPeerService(m_state.m_admission_queue, name,
                   {service.fleet(), service.workspace(), service.served(),
                    service.waiting(), service.requests(), service.running()},
                   now);
  }
  for (const std::string& endpoint : peer.leaving_endpoints()) {
    SetLeaving(m_state.m_route, endpoint, true);
  }
}

// Requests are accepted until the load balancer has had time to see that this
// instance is not ready; then the listener closes and open requests finish.
void Gateway::StartDrain() {
  if (m_state.m_draining) return;
  LOG(INFO) << "drain started open_requests=" << m_state.m_calls.size();
  m_state.m_draining = true;
  m_listener->AnnounceClose();
  Loop().StartTimer(
      std::chrono::milliseconds(m_settings.admission().drain_notice_ms()),
      [this] {
        m_listener->StopAccepting();
        m_accepting = false;
      });
}

void Gateway::CheckDrained() {
  if (m_accepting || m_state.m_drained) return;
  if (!m_state.m_calls.empty() || m_listener->OpenRequests() > 0) return;
  m_state.m_drained = true;
  FlushUsage();
  LOG(INFO) << "drain finished: no open requests";
  schema::ServeMessage message;
  message.mutable_drained()->set_task(schema::TASK_GATEWAY);
  if (m_ports.m_serve != nullptr) m_ports.m_serve->Post(std::move(message));
}

void Gateway::FlushUsage() {
  if (m_state.m_usage.empty() || m_ports.m_journal == nullptr) return;
  schema::JournalMessage message;
  schema::UsageReady* ready = message.mutable_usage();
  for (const auto& [key, usage] : m_state.m_usage) {
    *ready->add_deltas() =
        EncodeUsageDelta({key.first, key.second, usage.m_requests,
                          usage.m_prompt_tokens, usage.m_output_tokens});
  }
  m_state.m_usage.clear();
  m_ports.m_journal->Post(std::move(message));
}

void Gateway::SendStatus() {
  UpdateShares(m_state.m_admission_queue, Now());
  schema::GatewayStatus status;
  const CallCounters& counters = m_state.m_counters;
  status.set_open_requests(m_state.m_calls.size());
  status.set_queued_requests(QueuedRequests(m_state.m_admission_queue));
  status.set_requests_total(counters.m_requests);
  status.set_refused_total(counters.m_refused);
  status.set_retries_total(counters.m_retries);
  status.set_resumed_total(counters.m_resumes);
  status.set_tokens_total(counters.m_tokens);
  for (const ServiceDigest& digest :
       BuildServiceDigest(m_state.m_admission_queue)) {
    schema::WorkspaceService* service = status.add_services();
    service->set_fleet(digest.m_fleet);
    service->set_workspace(digest.m_workspace);
    service->set_served(digest.m_served);
    service->set_waiting(digest.m_outstanding_work);
    service->set_requests(digest.m_requests);
    service->set_running(digest.m_running);
  }
  for (const auto& [fleet, arrived] : m_state.m_arrived) {
    schema::FleetDemand* demand = status.add_demands();
    demand->set_fleet(fleet);
    demand->set_prompt_tokens(arrived.m_prompt_tokens);
    demand->set_output_tokens(arrived.m_output_tokens);
  }
  if (m_ports.m_peers != nullptr) {
    schema::PeersMessage message;
    *message.mutable_gateway_status() = status;
    m_ports.m_peers->Post(std::move(message));
  }
  if (m_ports.m_duties != nullptr) {
    schema::DutiesMessage message;
    *message.mutable_gateway_status() = status;
    m_ports.m_duties->Post(std::move(message));
  }
  if (m_ports.m_admin != nullptr) {
    status.set_metrics_text(FormatMetrics(m_state, m_listener->Memory()));
    schema::AdminMessage message;
    *message.mutable_gateway_status() = std::move(status);
    m_ports.m_admin->Post(std::move(message));
  }
}

}  // namespace comfreypaddle
