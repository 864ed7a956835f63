#include "relay.h"

#include <glog/logging.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "accept.h"
#include "allotmentcheck.h"
#include "allotmentcodec.h"
#include "crashwatch.h"
#include "eventlog.h"
#include "platform/adapter.h"
#include "relayattempt.h"
#include "relayendpoints.h"
#include "relaymetrics.h"
#include "resumption.h"
#include "settings.h"
#include "streambinding.h"

namespace comfreypaddle {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Period at which deadlines are checked and waiting requests are dispatched.
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);

// Period at which endpoint loads are shared with other instances.
constexpr Duration kLoadSharePeriod = std::chrono::milliseconds(50);

// Period at which usage counts are sent to the control task.
constexpr Duration kUsageHandoverPeriod = std::chrono::milliseconds(500);

// Period of log lines about callers that are turned away.
constexpr Duration kTurnedAwayLogPeriod = std::chrono::seconds(1);

// Bounds of the listener for readiness checks and of that for metrics, which
// only the platform and operators use.
constexpr RequestLimits kInternalLimits{.m_body_bytes = 64U << 10U};
constexpr RequestMemoryLimits kInternalMemoryLimits{4U << 20U, 32};

RequestLimits LimitsOf(const schema::CatalogLimits& limits,
                       const schema::RelayMemorySettings& memory) {
  RequestLimits result;
  result.m_body_time = std::chrono::seconds(memory.body_time_s());
  if (limits.head_bytes() > 0) result.m_head_bytes = limits.head_bytes();
  if (limits.body_bytes() > 0) result.m_body_bytes = limits.body_bytes();
  const auto milliseconds = [](double value) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
  };
  if (limits.head_ms() > 0) result.m_head_time = milliseconds(limits.head_ms());
  if (limits.idle_ms() > 0) result.m_idle_time = milliseconds(limits.idle_ms());
  return result;
}

RequestMemoryLimits MemoryLimitsOf(const schema::RelayMemorySettings& memory,
                                   const RequestLimits& limits) {
  return {RequestBytesOf(memory.machine_mb(), memory.request_mb(),
                         limits.m_head_bytes + limits.m_body_bytes),
          memory.max_connections()};
}

HedgeLimits HedgeLimitsOf(const schema::RelayHedgeSettings& settings) {
  return {settings.enabled(),
          settings.quantile(),
          std::chrono::milliseconds(settings.min_delay_ms()),
          settings.ratio(),
          settings.rate(),
          settings.max_load()};
}

HttpServerEvents RequestOnlyEvents(
    std::function<void(const HttpRequest&)> on_request) {
  HttpServerEvents events;
  events.m_on_request = std::move(on_request);
  events.m_on_disconnect = [](std::uint64_t) {};
  events.m_on_rejected = [](int, ParseError) {};
  return events;
}

void ListenOrDie(HttpServer& server, const std::string& address) {
  const auto socket_address = ParseSocketAddress(address);
  const auto error =
      server.Listen(socket_address->m_ip, socket_address->m_port);
  CHECK(!error) << address << ": " << error.message();
}

}  // namespace

Relay::Relay(const schema::RelaySettings& settings, Duration unix_at_zero)
    : m_settings(settings) {
  for (const auto& [zone, region] : ParseZones(settings.instance().zones())) {
    m_regions[zone] = region;
  }
  m_state.m_options.m_instance = settings.instance().name();
  m_state.m_options.m_retry_after =
      FromMs(settings.retry().retry_after_s() * kMsPerSecond);
  m_state.m_options.m_usage_window =
      FromMs(settings.duties().usage_window_s() * kMsPerSecond);
  m_state.m_format = &platform::RequestFormat();
  m_state.m_clock = Now;
  m_state.m_unix_at_zero = unix_at_zero;
  m_state.m_balance.m_zone = settings.instance().availability_zone();
  m_state.m_balance.m_region = settings.instance().region();
  m_state.m_balance.m_limit_peers.m_self =
      InstanceHash(settings.instance().name());
  m_state.m_balance.m_window_ms = settings.admission().window_ms();
  m_state.m_queue.m_settings = {
      settings.admission().ordered() != 0,
      std::chrono::milliseconds(settings.admission().age_step_ms())};
  ResendLimits& resends = m_state.m_resends.m_limits;
  resends.m_ratio = settings.retry().budget_ratio();
  resends.m_window = FromMs(settings.retry().window_s() * kMsPerSecond);
  resends.m_slack = settings.retry().slack();
  m_state.m_allotments.m_tolerance = {
      FromMs(settings.allotments().window_s() * kMsPerSecond),
      settings.allotments().overshoot(), settings.allotments().slack()};
  m_state.m_hedges.m_limits = HedgeLimitsOf(settings.hedge());
  m_state.m_hedges.m_seed = InstanceHash(settings.instance().name());
}

Relay::~Relay() = default;

void Relay::Start() {
  m_sockets = std::make_unique<SocketSet>(Loop());
  m_client = std::make_unique<HttpClient>(*m_sockets);
  OpenListeners();
  m_state.m_callers = m_callers.get();
  m_state.m_endpoints = m_client.get();
  m_state.m_unsent_bytes = [this](std::uint64_t id) {
    return m_callers->UnsentBytes(id);
  };
  m_state.m_on_suspects = [this](const schema::SuspectList& changed) {
    schema::ControlMessage message;
    *message.mutable_suspects() = changed;
    m_ports.m_control->Post(std::move(message));
  };
  m_state.m_on_streams = [this](const schema::StreamBeginList& begun) {
    schema::ControlMessage message;
    *message.mutable_begun_streams() = begun;
    m_ports.m_control->Post(std::move(message));
  };
  m_state.m_ask_stream = [this](const schema::StreamQuestion& question) {
    schema::ControlMessage message;
    *message.mutable_stream_question() = question;
    m_ports.m_control->Post(std::move(message));
  };
  m_tick =
      std::make_unique<PeriodicTimer>(Loop(), kTickPeriod, [this] { Tick(); });
  m_load_tick = std::make_unique<PeriodicTimer>(Loop(), kLoadSharePeriod,
                                                [this] { PublishLoad(); });
  m_usage_tick = std::make_unique<PeriodicTimer>(Loop(), kUsageHandoverPeriod,
                                                 [this] { HandOverUsage(); });
}

void Relay::OpenListeners() {
  HttpServerEvents events;
  events.m_on_request = [this](HttpRequest request) {
    AcceptRequest(m_state, std::move(request));
  };
  events.m_on_disconnect = [this](std::uint64_t id) {
    OnCallerDisconnected(m_state, id);
  };
  events.m_on_rejected = [](int status, ParseError error) {
    LogLine("caller_request_invalid")
        .Add("status", status)
        .Add("error", ToName(error));
  };
  events.m_on_turned_away = [this](TurnedAway reason) {
    LogTurnedAway(reason);
  };
  m_callers = std::make_unique<HttpServer>(*m_sockets, std::move(events));
  SetCallerLimits(schema::CatalogLimits());
  ListenOrDie(*m_callers, m_settings.listen().callers());
  m_ready = std::make_unique<HttpServer>(
      *m_sockets,
      RequestOnlyEvents([this](const HttpRequest& r) { AnswerReady(r); }));
  m_ready->SetLimits(kInternalLimits);
  m_ready->SetMemoryLimits(kInternalMemoryLimits);
  ListenOrDie(*m_ready, m_settings.listen().ready());
  if (m_settings.listen().metrics().empty()) return;
  m_metrics = std::make_unique<HttpServer>(
      *m_sockets, RequestOnlyEvents([this](const HttpRequest& request) {
        m_metrics->Respond(request.m_id, kOk,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           RelayMetrics(m_state, *m_callers, *m_client));
      }));
  m_metrics->SetLimits(kInternalLimits);
  m_metrics->SetMemoryLimits(kInternalMemoryLimits);
  ListenOrDie(*m_metrics, m_settings.listen().metrics());
}

void Relay::SetCallerLimits(const schema::CatalogLimits& catalog) {
  const RequestLimits limits = LimitsOf(catalog, m_settings.memory());
  m_callers->SetLimits(limits);
  m_callers->SetMemoryLimits(MemoryLimitsOf(m_settings.memory(), limits));
}

// A crowd is turned away often; the line gives the sums since the start.
void Relay::LogTurnedAway(TurnedAway reason) {
  const Instant now = Now();
  if (now - m_turned_away_logged < kTurnedAwayLogPeriod) return;
  m_turned_away_logged = now;
  const RequestMemory& memory = m_callers->Memory();
  LogLine("caller_turned_away")
      .Add("reason", ToName(reason))
      .Add("total", static_cast<std::int64_t>(memory.m_turned_away.at(reason)))
      .Add("held_bytes", static_cast<std::int64_t>(memory.m_held_bytes))
      .Add("limit_bytes", static_cast<std::int64_t>(memory.m_limits.m_bytes))
      .Add("connections", static_cast<std::int64_t>(m_callers->Connections()))
      .Add("connection_limit",
           static_cast<std::int64_t>(memory.m_connection_limit));
}

void Relay::Receive(schema::RelayMessage message) {
  switch (message.kind_case()) {
    case schema::RelayMessage::kCatalog:
      SetCatalog(message.catalog());
      break;
    case schema::RelayMessage::kEndpoints:
      SetEndpoints(message.endpoints());
      break;
    case schema::RelayMessage::kPeers:
      SetPeers(message.peers());
      break;
    case schema::RelayMessage::kSuspects:
      MergeSuspects(m_state, message.suspects());
      break;
    case schema::RelayMessage::kStreamVersion:
      OnStreamAnswer(m_state, message.stream_version());
      break;
    case schema::RelayMessage::kOthers:
      ApplyPeerLoad(message.others());
      break;
    case schema::RelayMessage::kKnowledge:
      SetKnowledge(message.knowledge());
      break;
    case schema::RelayMessage::kDrain:
      StartDrain();
      break;
    case schema::RelayMessage::kFinish:
      EndAllCalls(m_state);
      break;
    case schema::RelayMessage::kStop:
      Loop().Stop();
      break;
    default:
      break;
  }
}

void Relay::Finish() {
  m_tick.reset();
  m_load_tick.reset();
  m_usage_tick.reset();
  m_metrics.reset();
  m_ready.reset();
  m_callers.reset();
  m_client.reset();
  m_sockets.reset();
}

void Relay::SetCatalog(const schema::Catalog& catalog) {
  m_state.m_catalog = std::make_shared<const CatalogIndex>(catalog);
  ForgetAllotments(m_state);
  SetCallerLimits(catalog.limits());
  for (const schema::CatalogService& service : catalog.services()) {
    if (!service.has_engine()) continue;
    EngineSpeed& speed = m_state.m_balance.m_speeds[service.name()];
    speed.m_kv_token_bytes = service.engine().kv_token_bytes();
    speed.m_link_mbps = service.engine().link_mbps();
    speed.m_kv_tokens = service.engine().kv_tokens();
  }
}

void Relay::SetPeers(const schema::PeerCount& peers) {
  m_state.m_probes = {peers.instances(), peers.position()};
  LimitPeers limit_peers = m_state.m_balance.m_limit_peers;
  limit_peers.m_instances.assign(peers.name_hashes().begin(),
                                 peers.name_hashes().end());
  SetLimitPeers(m_state.m_balance, std::move(limit_peers), Now());
  m_state.m_allotments.m_instances = peers.instances();
  m_state.m_allotments.m_is_listed = peers.listed();
  ResendState& resends = m_state.m_resends;
  const bool was_listed = resends.m_listed_at.has_value();
  const bool changed = resends.m_instances != peers.instances();
  const Instant now = Now();
  SetInstances(resends, {peers.instances(), peers.listed()}, now);
  if (!changed && was_listed == peers.listed()) return;
  LogLine("retry_budget_share")
      .Add("live", peers.instances())
      .Add("listed", peers.listed() ? 1 : 0)
      .Add("instances", SharingInstances(resends, now))
      .Add("slack_share", std::to_string(SlackShare(resends, now)));
}

// Configuration and list of instances come the same ways, so that the list is
// as current as the configuration.
void Relay::SetKnowledge(const schema::KnowledgeStatus& status) {
  m_state.m_knowledge = status;
  m_state.m_knowledge_at = Now();
  m_state.m_resends.m_list_confirmed_at =
      Now() - FromMs(status.catalog_age_ms());
}

void Relay::SetEndpoints(const schema::EndpointList& list) {
  const std::vector<std::string> obsolete = SetEndpointList(
      m_state, list,
      [this](const std::string& zone) { return RegionOf(zone); });
  for (const std::string& address : obsolete) {
    m_client->CloseIdleConnections(address);
  }
}

// Fails the readiness check, and serves callers until the load balancer has
// removed this instance.
void Relay::StartDrain() {
  BeginDrain(m_state.m_drain,
             {std::chrono::milliseconds(m_settings.stop().notice_ms()),
              FromMs(m_settings.stop().grace_s() * kMsPerSecond)},
             Now());
  m_state.m_resends.m_stopping = true;
  m_state.m_balance.m_limit_peers.m_stopping = true;
  m_callers->AnnounceClose();
}

void Relay::Tick() {
  TickCalls(m_state);
  const bool ready = IsReady();
  if (ready != m_was_ready) {
    m_was_ready = ready;
    LogLine(ready ? "ready" : "not_ready")
        .Add("stopping", IsStopping(m_state.m_drain) ? 1 : 0)
        .Add("endpoints",
             static_cast<std::int64_t>(m_state.m_balance.m_endpoints.size()));
  }
  TickDrain();
}

// Carries out the steps of a planned stop.
void Relay::TickDrain() {
  const Instant now = Now();
  if (ClosesIdleConnections(m_state.m_drain, now)) m_callers->CloseIdle();
  const OpenWork open{m_callers->Connections(), m_state.m_calls.size()};
  if (!AdvanceDrain(m_state.m_drain, open, now)) return;
  LogLine("drain_phase")
      .Add("phase", ToName(m_state.m_drain.m_phase))
      .AddMs("after_ms", now - m_state.m_drain.m_began)
      .Add("connections", static_cast<std::int64_t>(open.m_connections))
      .Add("requests", static_cast<std::int64_t>(open.m_requests))
      .Add("refuses", now >= m_state.m_drain.m_refuse_from ? 1 : 0);
  if (m_state.m_drain.m_phase == DrainPhase::kClosing) {
    m_callers->StopListening();
  } else {
    ReportIdle();
  }
}

// Nothing is counted after this: the usage that is handed over is complete.
void Relay::ReportIdle() {
  HandOverUsage();
  schema::SupervisorMessage idle;
  idle.mutable_relay_idle();
  m_ports.m_supervisor->Post(std::move(idle));
}

void Relay::HandOverUsage() {
  if (m_state.m_usage.empty()) return;
  schema::ControlMessage message;
  for (const auto& [slot, requests] : m_state.m_usage) {
    schema::UsageCount* count = message.mutable_usage()->add_counts();
    count->set_window(slot.first);
    count->set_workspace(slot.second);
    count->set_requests(requests);
  }
  m_state.m_usage.clear();
  m_ports.m_control->Post(std::move(message));
}

void Relay::PublishLoad() {
  schema::ControlMessage message;
  schema::LoadList* list = message.mutable_load();
  const Instant now = Now();
  for (const auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
    const auto limit = StatementToShare(endpoint.m_limit, now);
    if (endpoint.m_running == 0 && !limit) continue;
    schema::SharedLoad* load = list->add_loads();
    load->set_endpoint(static_cast<std::uint32_t>(endpoint.m_hash));
    load->set_running(endpoint.m_running);
    load->set_prefill_ms(static_cast<float>(endpoint.m_prefill_ms));
    load->set_held_tokens(static_cast<float>(OwnTokens(endpoint.m_memory)));
    if (!limit) continue;
    load->set_limit_rate(limit->m_rate);
    load->set_limit_age_ms(static_cast<float>(ToMs(now - limit->m_said_at)));
  }
  for (const CachedPrefix& prefix : TakeNewPrefixes(m_state.m_balance)) {
    schema::PrefixUse* use = list->add_prefix_uses();
    use->set_prefix_hash(prefix.m_prefix_hash);
    use->set_endpoint(static_cast<std::uint32_t>(prefix.m_endpoint_hash));
  }
  *list->mutable_workspace_uses() =
      ToMessage(UsesToShare(m_state.m_allotments, now));
  m_ports.m_control->Post(std::move(message));
}

void Relay::ApplyPeerLoad(const schema::LoadList& list) {
  std::unordered_map<std::uint32_t, const schema::SharedLoad*> loads;
  for (const schema::SharedLoad& load : list.loads()) {
    loads[load.endpoint()] = &load;
  }
  const Instant now = Now();
  for (auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
    const auto found = loads.find(static_cast<std::uint32_t>(endpoint.m_hash));
    const bool idle = found == loads.end();
    endpoint.m_remote_running = idle ? 0 : found->second->running();
    endpoint.m_remote_prefill_ms = idle ? 0 : found->second->prefill_ms();
    SetRemoteMemory(endpoint.m_memory, idle ? 0 : found->second->held_tokens());
    endpoint.m_remote_reported_at = now;
    if (idle || !found->second->has_limit_rate()) continue;
    const LimitStatement told{found->second->limit_rate(),
                              now - FromMs(found->second->limit_age_ms())};
    if (OnLimitStatement(m_state.m_balance, id, told, now)) {
      LogEndpointLimit(endpoint, "instance");
    }
  }
  ApplyPeerPrefixes(list, now);
  SetOtherUses(m_state.m_allotments, FromMessage(list.workspace_uses()), now);
}

void Relay::ApplyPeerPrefixes(const schema::LoadList& list, Instant now) {
  if (list.prefix_uses_size() == 0) return;
  std::unordered_map<std::uint32_t, const BalanceEndpoint*> endpoints;
  for (const auto& [id, endpoint] : m_state.m_balance.m_endpoints) {
    endpoints[static_cast<std::uint32_t>(endpoint.m_hash)] = &endpoint;
  }
  for (const schema::PrefixUse& use : list.prefix_uses()) {
    const auto found = endpoints.find(use.endpoint());
    if (found == endpoints.end()) continue;
    OnPeerPrefix(m_state.m_balance, *found->second, use.prefix_hash(), now);
  }
}

bool Relay::IsReady() const {
  return m_state.m_catalog != nullptr &&
         !m_state.m_balance.m_endpoints.empty() && !IsStopping(m_state.m_drain);
}

void Relay::AnswerReady(const HttpRequest& request) {
  if (request.m_target != m_state.m_format->ReadinessTarget()) {
    m_ready->Respond(request.m_id, kNotFound, {}, "");
    return;
  }
  m_ready->Respond(request.m_id, IsReady() ? kOk : kUnavailable, {}, "");
}

std::string Relay::RegionOf(const std::string& zone) const {
  const auto found = m_regions.find(zone);
  return found == m_regions.end() ? zone : found->second;
}

}  // namespace comfreypaddle
