#include "control.h"

#include <glog/logging.h>

#include <utility>

#include "controltick.h"
#include "crashsync.h"
#include "entryduties.h"
#include "eventlog.h"
#include "loadlink.h"
#include "memberwatch.h"
#include "peersync.h"
#include "settings.h"
#include "statequery.h"
#include "streamholders.h"
#include "streamsync.h"
#include "usageflush.h"

namespace comfreypaddle {

namespace {

constexpr int kOk = 200;

// Bounds of the listener for other instances.
constexpr RequestMemoryLimits kPeerMemoryLimits{16U << 20U, 512};

// Before claiming a free lease an instance waits kClaimDelayStep times a number
// below kClaimDelaySteps that is derived from its name, so that instances do
// not claim at the same time.
constexpr std::uint64_t kClaimDelaySteps = 8;
constexpr Duration kClaimDelayStep = std::chrono::milliseconds(60);

// Time from the end of a usage window until its counts are fixed, in
// milliseconds per second of the reporting deadline. The remainder is left for
// a duty holder that takes over.
constexpr int kSettleMsPerDelaySecond = 450;

}  // namespace

Control::Control(const schema::RelaySettings& settings,
                 std::uint64_t incarnation, Duration unix_at_zero)
    : m_settings(settings),
      m_incarnation(incarnation),
      m_unix_at_zero(unix_at_zero) {}

Control::~Control() = default;

void Control::Start() {
  m_sockets = std::make_unique<SocketSet>(Loop());
  m_client = std::make_unique<HttpClient>(*m_sockets);
  m_adapter = std::make_unique<platform::Adapter>(
      *m_client, m_settings.platform().store(), m_settings.platform().orders());
  m_state = std::make_unique<ControlState>();
  ControlState& state = *m_state;
  state.m_options.m_name = m_settings.instance().name();
  state.m_options.m_peers = m_settings.listen().peers();
  state.m_options.m_incarnation = m_incarnation;
  state.m_options.m_zone = m_settings.instance().availability_zone();
  state.m_upstream.m_self = state.m_options.m_name;
  state.m_upstream.m_zone = state.m_options.m_zone;
  state.m_options.m_poll_interval =
      std::chrono::milliseconds(m_settings.platform().poll_ms());
  state.m_options.m_store_read_wait =
      std::chrono::milliseconds(m_settings.platform().watch_ms());
  state.m_store = &m_adapter->Store();
  state.m_duty_port = &m_adapter->Duties();
  state.m_records = &m_adapter->Records();
  state.m_peers = m_client.get();
  state.m_relay = m_ports.m_relay;
  state.m_clock = Now;
  state.m_unix_at_zero = m_unix_at_zero;
  state.m_store_answered = Now();
  HolderOptions& holder = state.m_holder.m_options;
  holder.m_name = m_settings.instance().name();
  holder.m_incarnation = m_incarnation;
  holder.m_lease = FromMs(m_settings.duties().lease_ms());
  holder.m_send_margin =
      std::chrono::milliseconds(m_settings.duties().send_margin_ms());
  holder.m_claim_wait =
      kClaimDelayStep *
      (std::hash<std::string>()(holder.m_name) % kClaimDelaySteps);
  state.m_usage_aggregate.m_options.m_window =
      FromMs(m_settings.duties().usage_window_s() * kMsPerSecond);
  state.m_usage_aggregate.m_options.m_fix_delay =
      FromMs(m_settings.duties().usage_delay_s() * kSettleMsPerDelaySecond);
  HttpServerEvents events;
  events.m_on_request = [this](const HttpRequest& request) {
    HandlePeerRequest(request);
  };
  events.m_on_disconnect = [](std::uint64_t) {};
  events.m_on_rejected = [](int status, ParseError error) {
    LogLine("peer_request_invalid")
        .Add("status", status)
        .Add("error", ToName(error));
  };
  m_peers = std::make_unique<HttpServer>(*m_sockets, std::move(events));
  m_peers->SetMemoryLimits(kPeerMemoryLimits);
  const auto address = ParseSocketAddress(m_settings.listen().peers());
  const auto error = m_peers->Listen(address->m_ip, address->m_port);
  CHECK(!error) << "cannot listen on listen.peers "
                << m_settings.listen().peers() << ": " << error.message();
  m_tick =
      std::make_unique<PeriodicTimer>(Loop(), kControlTick, [this] { Tick(); });
  Tick();
}

void Control::Receive(schema::ControlMessage message) {
  switch (message.kind_case()) {
    case schema::ControlMessage::kUsage:
      AddUsageCounts(*m_state, message.usage());
      break;
    case schema::ControlMessage::kSuspects:
      AddSuspects(*m_state, message.suspects());
      break;
    case schema::ControlMessage::kBegunStreams:
      SendBegunStreams(*m_state, message.begun_streams());
      break;
    case schema::ControlMessage::kStreamQuestion:
      AskForStream(*m_state, message.stream_question());
      break;
    case schema::ControlMessage::kLoad:
      ExchangeLoad(*m_state, message.load());
      break;
    case schema::ControlMessage::kDrain:
      m_state->m_stopping = true;
      break;
    case schema::ControlMessage::kFinish:
      m_finishing = true;
      break;
    case schema::ControlMessage::kStop:
      Loop().Stop();
      break;
    default:
      break;
  }
}

void Control::Finish() {
  const ControlCounters& counters = m_state->m_counters;
  LogLine("control_totals")
      .Add("store_calls", static_cast<std::int64_t>(counters.m_store_calls))
      .Add("store_faults", static_cast<std::int64_t>(counters.m_store_faults))
      .Add("decode_errors", static_cast<std::int64_t>(counters.m_unreadable))
      .Add("reports", static_cast<std::int64_t>(counters.m_reports))
      .Add("report_faults", static_cast<std::int64_t>(counters.m_report_faults))
      .Add("peer_queries", static_cast<std::int64_t>(counters.m_peer_queries))
      .Add("stream_records",
           static_cast<std::int64_t>(counters.m_stream_records))
      .Add("stream_messages",
           static_cast<std::int64_t>(counters.m_stream_messages));
  m_tick.reset();
  m_peers.reset();
  m_client.reset();
  m_adapter.reset();
  m_sockets.reset();
}

void Control::Tick() {
  ControlState& state = *m_state;
  TickControl(state);
  if (!m_finishing || !IsHandedOver(state)) return;
  m_finishing = false;
  schema::SupervisorMessage done;
  done.mutable_control_done();
  m_ports.m_supervisor->Post(std::move(done));
}

void Control::HandlePeerRequest(const HttpRequest& request) {
  constexpr int kBadRequest = 400;
  const bool readable =
      request.m_target == kLoadTarget         ? HandleLoadShare(request)
      : request.m_target == kHandoverTarget   ? HandleUsageHandover(request)
      : request.m_target == kStateQueryTarget ? HandleStateQuery(request)
      : request.m_target == kSuspectTarget    ? HandleSuspectExchange(request)
      : request.m_target == kStreamTarget     ? HandleStreamExchange(request)
      : request.m_target == kProbeTarget      ? HandleProbe(request)
                                              : false;
  if (!readable) m_peers->Respond(request.m_id, kBadRequest, {}, "");
}

bool Control::HandleLoadShare(const HttpRequest& request) {
  schema::LoadShare share;
  if (!share.ParseFromString(request.m_body)) return false;
  m_peers->Respond(request.m_id, kOk, {},
                   MergeLoadShare(*m_state, share).SerializeAsString());
  return true;
}

bool Control::HandleUsageHandover(const HttpRequest& request) {
  schema::UsageHandover usage;
  if (!usage.ParseFromString(request.m_body)) return false;
  StoreHandover(*m_state, usage,
                [this, id = request.m_id](const schema::HandoverResult& r) {
                  m_peers->Respond(id, kOk, {}, r.SerializeAsString());
                });
  return true;
}

bool Control::HandleSuspectExchange(const HttpRequest& request) {
  schema::SuspectExchange call;
  if (!call.ParseFromString(request.m_body)) return false;
  m_peers->Respond(request.m_id, kOk, {},
                   AnswerSuspects(*m_state, call).SerializeAsString());
  return true;
}

bool Control::HandleStreamExchange(const HttpRequest& request) {
  schema::StreamExchange call;
  if (!call.ParseFromString(request.m_body)) return false;
  m_peers->Respond(request.m_id, kOk, {},
                   AnswerStreamExchange(*m_state, call).SerializeAsString());
  return true;
}

bool Control::HandleProbe(const HttpRequest& request) {
  m_peers->Respond(request.m_id, kOk, {}, "");
  return true;
}

bool Control::HandleStateQuery(const HttpRequest& request) {
  schema::InstanceQuery query;
  if (!query.ParseFromString(request.m_body)) return false;
  AnswerStateQuery(*m_state, query,
                   [this, id = request.m_id](const schema::InstanceState& s) {
                     m_peers->Respond(id, kOk, {}, s.SerializeAsString());
                   });
  return true;
}

}  // namespace comfreypaddle
