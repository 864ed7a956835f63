#include "peers.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "base64.h"
#include "problem.h"
#include "settings.h"

namespace comfreypaddle {
namespace {

constexpr std::string_view kPath = "/peers/v1/rpc";
// A slower peer counts as failed; the next heartbeat uses a new connection.
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kRecordsTimeout = std::chrono::seconds(2);
constexpr int kRecordsLimit = 500;
constexpr std::uint32_t kMaxBodyBytes = 16U << 20U;
// Bound of the requests of all other instances together: one of the largest
// size, which stands once in memory, and room for ordinary ones beside it.
constexpr std::size_t kMaxRequestBytes = 32U << 20U;
constexpr std::uint32_t kMaxConnections = 512;
// Service digests affect fairness over seconds, so they are sent less often
// than heartbeats. In a large deployment, one digest per second would use up
// the traffic budget of the control plane by itself.
constexpr Duration kDigestPeriod = std::chrono::seconds(1);
constexpr Duration kLargeDeploymentDigestPeriod = std::chrono::seconds(5);
// Period of full digests, from which a peer that started later learns all
// services.
constexpr Duration kFullDigestPeriod = std::chrono::seconds(30);
// Silence after which an owner is not expected to append its usage itself.
constexpr Duration kOwnerSilenceLimit = std::chrono::seconds(5);
// A permission whose expiry moved by less than this is not published again.
constexpr std::int64_t kMinPermissionExtensionUs = 100'000;
constexpr std::size_t kMaxPendingReleases = 100;

std::int64_t ToMicroseconds(Instant time) {
  return time.time_since_epoch().count();
}

FlushId IdOf(const schema::UsageFlush& flush) {
  return {flush.instance(), flush.incarnation(), flush.sequence()};
}

RpcCall ReleaseCall(const FlushId& id) {
  RpcCall call;
  call.m_method = RpcMethod::kRelease;
  call.m_instance = id.m_instance;
  call.m_incarnation = id.m_incarnation;
  call.m_sequence = id.m_sequence;
  return call;
}

MembershipState MembershipFromSettings(const schema::Settings& settings) {
  std::vector<ConfiguredPeer> peers;
  for (const Member& member : ParseMembers(settings.peers().members())) {
    peers.push_back({member.m_name, member.m_region});
  }
  MembershipOptions options;
  options.m_name = settings.instance().name();
  options.m_region = settings.instance().region();
  options.m_freshness =
      std::chrono::milliseconds(settings.admission().freshness_ms());
  // Tolerate two lost heartbeats before a peer counts as silent.
  options.m_silence = std::max<Duration>(
      options.m_silence,
      3 * std::chrono::milliseconds(settings.peers().heartbeat_ms()));
  return MakeMembership(std::move(options), peers);
}

}  // namespace

Peers::Peers(const schema::Settings& settings, std::uint64_t incarnation)
    : m_settings(settings),
      m_incarnation(incarnation),
      m_members(MembershipFromSettings(settings)),
      m_rpc(*this) {
  for (const Member& member : ParseMembers(settings.peers().members())) {
    m_urls[member.m_name] =
        "http://" + ToText({member.m_ip, member.m_port}) + std::string(kPath);
  }
}

void Peers::Start() {
  ListenerOptions options;
  options.m_address = m_settings.peers().address();
  options.m_port = static_cast<std::uint16_t>(m_settings.peers().port());
  options.m_max_body_bytes = kMaxBodyBytes;
  options.m_request_bytes = kMaxRequestBytes;
  options.m_max_connections = kMaxConnections;
  options.m_body_copies = 1;
  m_listener.emplace(
      Loop(), options,
      [this](HttpRequest request) { HandleRequest(std::move(request)); },
      [](std::uint64_t /*id*/) {});
  const std::error_code error = m_listener->Open();
  if (error) {
    LOG(FATAL) << "cannot listen for peers on " << options.m_address << ":"
               << options.m_port << ": " << error.message();
  }
  m_client.emplace(Loop());
  m_timer.emplace(Loop(),
                  std::chrono::milliseconds(m_settings.peers().heartbeat_ms()),
                  [this] { Tick(); });
  Tick();
}

void Peers::Finish() {
  m_timer.reset();
  m_client.reset();
  m_listener.reset();
}

void Peers::Receive(schema::PeersMessage message) {
  using Message = schema::PeersMessage;
  switch (message.body_case()) {
    case Message::kLogStatus:
      return OnLogStatus(message.log_status());
    case Message::kUsagePending:
      return OnUsagePending(message.usage_pending());
    case Message::kUsageStored:
      return OnUsageStored(message.usage_stored());
    case Message::kRecordsFound:
      return OnRecordsFound(message.records_found());
    case Message::kGatewayStatus:
      m_gateway_status = std::move(*message.mutable_gateway_status());
      return;
    case Message::kLeaving:
      m_leaving = std::move(*message.mutable_leaving());
      return;
    case Message::kDrain:
      m_members.m_draining = true;
      return Tick();  // Inform peers immediately.
    case Message::kStop:
      return Loop().Stop();
    case Message::BODY_NOT_SET:
      return;
  }
}

void Peers::OnLogStatus(const schema::LogStatus& status) {
  LocalLogStatus log;
  log.m_next_offset = status.next_offset();
  log.m_reachable = status.reachable();
  if (status.confirmed_us() > 0) {
    log.m_confirmed = Instant(Duration(status.confirmed_us()));
  }
  log.m_caught_up = status.caught_up();
  OnLocalLogStatus(m_members, log);
  const Instant now = Now();
  RequestRecords(now);
  PublishPermission(now);
}

void Peers::OnUsagePending(const schema::UsageFlush& flush) {
  const FlushId id = IdOf(flush);
  AddOwnFlush(m_hold, id, EncodeBase64(flush.SerializeAsString()));
  RequestHolders(id, m_hold.m_own_flushes.at(id));
}

void Peers::OnUsageStored(const schema::UsageStored& stored) {
  const FlushId id{stored.instance(), stored.incarnation(), stored.sequence()};
  for (const std::string& holder : DropFlush(m_hold, id)) {
    std::vector<RpcCall>& calls = m_releases[holder];
    // If a release is dropped, the holder still sees the stored flush in the
    // log.
    if (calls.size() < kMaxPendingReleases) calls.push_back(ReleaseCall(id));
  }
}

// Executes the calls of a peer. A records call is answered when the journal has
// found the records.
void Peers::HandleRequest(HttpRequest request) {
  if (request.m_path != kPath || request.m_method != "POST") {
    ProblemResponse answer = MakeProblem({.m_code = ProblemCode::kNotFound});
    m_listener->Respond(request.m_id, answer.m_status,
                        std::move(answer.m_headers), std::move(answer.m_body));
    return;
  }
  RpcCall call;
  if (m_ports.m_journal != nullptr &&
      DecodeRecordsCall(request.m_body, &call)) {
    const std::uint64_t ticket = m_next_ticket++;
    m_pending_records_calls[ticket] = {request.m_id, std::move(request.m_body),
                                       Now() + kRecordsTimeout};
    schema::JournalMessage message;
    message.mutable_records_wanted()->set_ticket(ticket);
    message.mutable_records_wanted()->set_from(call.m_from);
    message.mutable_records_wanted()->set_limit(
        static_cast<std::uint32_t>(call.m_limit));
    m_ports.m_journal->Post(std::move(message));
    return;
  }
  m_listener->Respond(request.m_id, 200, {{"Content-Type", "application/json"}},
                      m_rpc.Handle(request.m_body));
}

void Peers::OnRecordsFound(const schema::RecordsFound& found) {
  const auto request = m_pending_records_calls.find(found.ticket());
  if (request == m_pending_records_calls.end()) return;
  m_records_response = EncodeBase64(found.batch().SerializeAsString());
  m_listener->Respond(request->second.m_id, 200,
                      {{"Content-Type", "application/json"}},
                      m_rpc.Handle(request->second.m_body));
  m_records_response.clear();
  m_pending_records_calls.erase(request);
}

std::string Peers::Heartbeat(const std::string& text) {
  const Instant now = Now();
  if (const auto state = ParsePeerState(text)) {
    OnPeerCall(m_members, DecodeReport(*state), now);
    ForwardState(*state);
    PublishPermission(now);
  }
  return SerializePeerState(MakePeerState(now));
}

std::string Peers::Records(std::uint64_t /*from*/, int /*limit*/) {
  return m_records_response;
}

bool Peers::Hold(const std::string& usage) {
  const auto bytes = DecodeBase64(usage);
  schema::UsageFlush flush;
  if (!bytes || !flush.ParseFromString(*bytes)) return false;
  return StoreBackup(m_hold, IdOf(flush), *bytes);
}

bool Peers::Release(const std::string& instance, std::uint64_t incarnation,
                    std::uint64_t sequence) {
  DropFlush(m_hold, {instance, incarnation, sequence});
  return true;
}

// Performs the periodic work of each heartbeat interval.
void Peers::Tick() {
  const Instant now = Now();
  const std::string state = SerializePeerState(MakeHeartbeatState(now));
  for (const std::string& peer : HeartbeatTargets(m_members, now)) {
    if (m_open_heartbeats.count(peer) == 0) SendHeartbeat(peer, state);
  }
  for (auto& [id, flush] : m_hold.m_own_flushes) RequestHolders(id, flush);
  AppendOrphanedUsage(now);
  RequestRecords(now);
  ExpireRecordsCalls(now);
  PublishPermission(now);
  LogPeerPhases(now);
}

// Returns the state without digests, as sent in responses.
schema::PeerState Peers::MakePeerState(Instant now) const {
  schema::PeerState state =
      EncodeReport(MakePeerReport(m_members, m_incarnation, now));
  *state.mutable_leaving_endpoints() = m_leaving.names();
  return state;
}

// Returns the state for heartbeats, with digests when they are due.
schema::PeerState Peers::MakeHeartbeatState(Instant now) {
  schema::PeerState state = MakePeerState(now);
  if (now < m_next_digest) return state;
  m_next_digest = now + (IsFullMesh(m_members) ? kDigestPeriod
                                               : kLargeDeploymentDigestPeriod);
  if (now >= m_next_full_digest) {
    m_next_full_digest = now + kFullDigestPeriod;
    m_last_reported.m_last_reported.clear();
  }
  AddServiceDigest(m_gateway_status.services(), m_last_reported, &state);
  *state.mutable_demands() = m_gateway_status.demands();
  return state;
}

void Peers::SendHeartbeat(const std::string& peer, const std::string& state) {
  std::vector<RpcCall> calls(1);
  calls.front().m_message = state;
  std::vector<RpcCall>& releases = m_releases[peer];
  std::move(releases.begin(), releases.end(), std::back_inserter(calls));
  releases.clear();
  m_open_heartbeats.insert(peer);
  const Instant sent = Now();
  Call(peer, calls,
       [this, peer, sent, calls](const std::vector<RpcResult>& results) {
         m_open_heartbeats.erase(peer);
         OnHeartbeatResults(peer, sent, calls, results);
       });
}

void Peers::OnHeartbeatResults(const std::string& peer, Instant sent,
                               const std::vector<RpcCall>& calls,
                               const std::vector<RpcResult>& results) {
  const Instant now = Now();
  const auto state = results.front().m_ok
                         ? ParsePeerState(results.front().m_message)
                         : std::nullopt;
  // A response from a different instance means that the address was reassigned.
  if (!state || state->instance() != peer) {
    VLOG(1) << "heartbeat failed peer=" << peer
            << " reason=" << results.front().m_error;
    OnPeerFailure(m_members, peer, now);
    std::vector<RpcCall>& releases = m_releases[peer];
    for (std::size_t i = 1; i < calls.size(); ++i) {
      if (releases.size() < kMaxPendingReleases) releases.push_back(calls[i]);
    }
    return;
  }
  OnPeerResponse(m_members, DecodeReport(*state), sent, now);
  ForwardState(*state);
  RequestRecords(now);
  PublishPermission(now);
}

// Requests peers to hold a flush of this instance until enough of them do.
void Peers::RequestHolders(const FlushId& id, OwnFlush& flush) {
  const auto candidates = UsageHolderTargets(m_members, Now());
  for (const std::string& peer : SelectBackupPeers(flush, candidates)) {
    RpcCall call;
    call.m_method = RpcMethod::kHold;
    call.m_message = flush.m_bytes;
    Call(peer, {call}, [this, id, peer](const std::vector<RpcResult>& results) {
      RecordBackupAnswer(m_hold, id, peer, results.front().m_ok);
    });
  }
}

// Appends held usage whose owner is not expected to append it.
void Peers::AppendOrphanedUsage(Instant now) {
  if (m_ports.m_journal == nullptr) return;
  for (auto& [id, flush] : m_hold.m_peer_flushes) {
    const auto peer = m_members.m_peers.find(id.m_instance);
    OwnerStatus owner;
    if (peer != m_members.m_peers.end()) {
      owner.m_incarnation = peer->second.m_incarnation;
      owner.m_silent = !peer->second.m_received_at ||
                       now - *peer->second.m_received_at > kOwnerSilenceLimit;
    } else {
      owner.m_silent = true;
    }
    if (!ClaimOrphanedFlush(flush, id, owner, now)) continue;
    LOG(INFO) << "appending orphaned usage instance=" << id.m_instance
              << " incarnation=" << id.m_incarnation
              << " sequence=" << id.m_sequence;
    schema::JournalMessage message;
    if (!message.mutable_held_usage()->ParseFromString(flush.m_bytes)) continue;
    m_ports.m_journal->Post(std::move(message));
  }
}

void Peers::RequestRecords(Instant now) {
  if (m_records_call_open || m_ports.m_journal == nullptr) return;
  if (!m_members.m_caught_up) return;
  const auto source = RelaySource(m_members, now);
  if (!source) return;
  m_records_call_open = true;
  RpcCall call;
  call.m_method = RpcMethod::kRecords;
  call.m_from = m_members.m_next_offset;
  call.m_limit = kRecordsLimit;
  Call(*source, {call}, [this](const std::vector<RpcResult>& results) {
    m_records_call_open = false;
    OnRelayedRecords(results);
  });
}

void Peers::OnRelayedRecords(const std::vector<RpcResult>& results) {
  if (!results.front().m_ok) return;
  const auto bytes = DecodeBase64(results.front().m_message);
  schema::JournalMessage message;
  schema::LogBatch& batch = *message.mutable_relayed()->mutable_batch();
  if (!bytes || !batch.ParseFromString(*bytes)) return;
  if (batch.entries().empty()) return;
  VLOG(1) << "relaying log entries first=" << batch.entries(0).offset()
          << " count=" << batch.entries_size();
  m_ports.m_journal->Post(std::move(message));
}

void Peers::ExpireRecordsCalls(Instant now) {
  for (auto it = m_pending_records_calls.begin();
       it != m_pending_records_calls.end();) {
    if (it->second.m_due > now) {
      ++it;
      continue;
    }
    ProblemResponse answer = MakeProblem({.m_code = ProblemCode::kTimeout});
    m_listener->Respond(it->second.m_id, answer.m_status,
                        std::move(answer.m_headers), std::move(answer.m_body));
    it = m_pending_records_calls.erase(it);
  }
}

// Sends calls in one batch request. `on_results` gets one result per call, also
// if the request fails.
void Peers::Call(const std::string& peer, const std::vector<RpcCall>& calls,
                 OnResults on_results) {
  const auto body = std::make_shared<std::string>();
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) {
    if (body->size() + bytes.size() <= kMaxBodyBytes) *body += bytes;
  };
  events.m_on_end = [body, count = calls.size(),
                     on_results =
                         std::move(on_results)](const HttpResult& result) {
    const bool good = !result.m_error && result.m_status == 200;
    auto results = DecodeResults(good ? *body : std::string(), count);
    if (result.m_error) results.front().m_error = result.m_error.message();
    on_results(results);
  };
  m_client->Start({.m_method = "POST",
                   .m_url = m_urls.at(peer),
                   .m_headers = {{"Content-Type", "application/json"}},
                   .m_body = EncodeCalls(calls),
                   .m_connect_timeout = kConnectTimeout,
                   .m_timeout = kCallTimeout},
                  std::move(events));
}

// Forwards a peer's state to the other tasks.
void Peers::ForwardState(const schema::PeerState& state) {
  const auto post = [&state](auto* port, auto message) {
    if (port == nullptr) return;
    *message.mutable_peer() = state;
    port->Post(std::move(message));
  };
  post(m_ports.m_gateway, schema::GatewayMessage());
  post(m_ports.m_admin, schema::AdminMessage());
  post(m_ports.m_duties, schema::DutiesMessage());
}

void Peers::PublishPermission(Instant now) {
  const Admission admission = DecideAdmission(m_members, now);
  schema::AdmitPermission permission;
  permission.set_open(admission.m_open);
  permission.set_reason(std::string(ToName(admission.m_reason)));
  permission.set_valid_until_us(ToMicroseconds(admission.m_until));
  permission.set_writes_open(MayAcceptWrites(m_members, now));
  const bool same = permission.open() == m_permission.open() &&
                    permission.reason() == m_permission.reason() &&
                    permission.writes_open() == m_permission.writes_open();
  if (same && permission.valid_until_us() <
                  m_permission.valid_until_us() + kMinPermissionExtensionUs) {
    return;
  }
  if (!same) {
    LOG(INFO) << "admission changed open=" << permission.open()
              << " reason=" << permission.reason()
              << " writes=" << permission.writes_open();
  }
  m_permission = permission;
  const auto post = [&permission](auto* port, auto message) {
    if (port == nullptr) return;
    *message.mutable_permission() = permission;
    port->Post(std::move(message));
  };
  post(m_ports.m_gateway, schema::GatewayMessage());
  post(m_ports.m_admin, schema::AdminMessage());
}

// Logs changes of the peers' phases.
void Peers::LogPeerPhases(Instant now) {
  for (const auto& [name, peer] : m_members.m_peers) {
    const PeerPhase phase = PeerPhaseOf(m_members, name, now);
    PeerPhase& known = m_phases[name];
    if (known == phase) continue;
    known = phase;
    LOG(INFO) << "peer=" << name << " region=" << peer.m_region
              << " phase=" << ToName(phase);
  }
}

}  // namespace comfreypaddle
