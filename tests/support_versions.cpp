#include "support_versions.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "relayendpoints.h"
#include "resumption.h"
#include "streamsync.h"

namespace comfreypaddle::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHeartbeat = milliseconds(1200);
constexpr Duration kMaxSilence = 3 * kHeartbeat;
constexpr Duration kSilenceCheckInterval = milliseconds(100);

// One-way latency between an instance and an endpoint.
constexpr Duration kLatency = milliseconds(1);

// Time to the first event of a run, and between two events.
constexpr Duration kFirstEventTime = milliseconds(50);
constexpr Duration kEventGap = milliseconds(150);

constexpr Duration kRelayTick = milliseconds(20);

// Time that a message between the two tasks of a process takes.
constexpr Duration kMailboxTime = std::chrono::microseconds(100);

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

std::string FieldOf(const HttpFields& fields, std::string_view name) {
  return std::string(FindField(fields, name));
}

std::uint64_t UnixMs(Instant instant) {
  return static_cast<std::uint64_t>(ToMs(instant.time_since_epoch()));
}

std::string ReportOf(const EndpointLifetime& lifetime) {
  std::string runs;
  int active = 0;
  for (const auto& exchange : lifetime.m_exchanges) {
    if (!exchange->m_is_open || exchange->m_run_attempt.empty()) continue;
    runs += " " + exchange->m_run_attempt;
    ++active;
  }
  return std::to_string(UnixMs(lifetime.m_born)) + " 0 " +
         std::to_string(active) + runs;
}

}  // namespace

RequestMetadata VersionWireFormat::ParseRequestMetadata(
    const HttpRequest& request) const {
  RequestMetadata terms = FakeWireFormat::ParseRequestMetadata(request);
  const std::string last = FieldOf(request.m_headers, "last");
  if (!last.empty()) terms.m_last_event = std::stoull(last);
  return terms;
}

HttpFields VersionWireFormat::EndpointFields(
    const HttpRequest& request, const UpstreamMetadata& terms) const {
  HttpFields fields = FakeWireFormat::EndpointFields(request, terms);
  const std::string last = FieldOf(request.m_headers, "last");
  if (!terms.m_resume_after && !last.empty()) fields.push_back({"after", last});
  fields.push_back({"attempt", "t" + std::to_string(request.m_id)});
  return fields;
}

std::optional<WorkReport> VersionWireFormat::ParseWorkReport(
    std::string_view body) const {
  const std::size_t space = body.find(' ');
  auto report = FakeWireFormat::ParseWorkReport(body.substr(space + 1));
  if (report) {
    report->m_born_ms = std::stoull(std::string(body.substr(0, space)));
  }
  return report;
}

EndpointFleet::EndpointFleet(InstanceFleet& instances)
    : m_instances(instances) {
  RemoveSilent();
}

void EndpointFleet::Start(const std::string& id, const std::string& address,
                          const std::string& version) {
  EndpointLifetime& lifetime = m_lifetimes.emplace_back();
  lifetime.m_id = id;
  lifetime.m_address = address;
  lifetime.m_version = version;
  lifetime.m_born = m_instances.Time().Now();
  m_newest[id] = &lifetime;
  m_instances.Time().After(kHeartbeat, [this, &lifetime] { Beat(lifetime); });
}

void EndpointFleet::Drain(const std::string& id) {
  EndpointLifetime& lifetime = *m_newest.at(id);
  if (lifetime.m_has_ended) return;
  lifetime.m_is_draining = true;
  WriteEntry(lifetime);
}

void EndpointFleet::End(const std::string& id, bool is_planned) {
  EndpointLifetime& lifetime = *m_newest.at(id);
  lifetime.m_has_ended = true;
  for (const auto& exchange : std::exchange(lifetime.m_exchanges, {})) {
    if (exchange->m_is_open) exchange->m_client->Break(exchange);
  }
  if (!is_planned || m_is_store_away || m_written.erase(id) == 0) return;
  m_instances.RemoveEndpoint(id);
}

EndpointLifetime* EndpointFleet::ListensAt(const std::string& address) const {
  for (const auto& [id, lifetime] : m_newest) {
    if (!lifetime->m_has_ended && lifetime->m_address == address) {
      return lifetime;
    }
  }
  return nullptr;
}

std::vector<std::string> EndpointFleet::Serving() const {
  std::vector<std::string> serving;
  for (const auto& [id, lifetime] : m_newest) {
    const bool serves = !lifetime->m_has_ended && !lifetime->m_is_draining;
    if (serves) serving.push_back(id);
  }
  return serving;
}

std::size_t EndpointFleet::AddRun(EndpointRun run) {
  m_runs.push_back(std::move(run));
  return m_runs.size() - 1;
}

void EndpointFleet::Beat(EndpointLifetime& lifetime) {
  if (lifetime.m_has_ended) return;
  WriteEntry(lifetime);
  m_instances.Time().After(kHeartbeat, [this, &lifetime] { Beat(lifetime); });
}

void EndpointFleet::WriteEntry(EndpointLifetime& lifetime) {
  if (m_is_store_away) return;
  constexpr std::uint32_t kSlots = 64;
  schema::EndpointEntry entry;
  entry.set_id(lifetime.m_id);
  entry.set_service("s");
  entry.set_address(lifetime.m_address);
  entry.set_slots(kSlots);
  entry.set_draining(lifetime.m_is_draining);
  entry.set_born_ms(UnixMs(lifetime.m_born));
  entry.set_sequence(++lifetime.m_sequence);
  entry.set_version(lifetime.m_version);
  m_written[lifetime.m_id] = m_instances.Time().Now();
  m_instances.Store().Write(Stream::kEndpoints, lifetime.m_id,
                            entry.SerializeAsString());
}

void EndpointFleet::RemoveSilent() {
  const Instant now = m_instances.Time().Now();
  std::vector<std::string> silent;
  for (const auto& [id, written] : m_written) {
    if (now - written >= kMaxSilence) silent.push_back(id);
  }
  for (const std::string& id : silent) {
    m_written.erase(id);
    m_instances.RemoveEndpoint(id);
  }
  m_instances.Time().After(kSilenceCheckInterval, [this] { RemoveSilent(); });
}

HttpPort::CallId EndpointClient::Start(HttpCall call, HttpEvents events) {
  auto exchange = std::make_shared<EndpointExchange>();
  exchange->m_client = this;
  exchange->m_id = ++m_last_id;
  exchange->m_call = std::move(call);
  exchange->m_events = std::move(events);
  const BalanceEndpoint* listed =
      FindEndpoint(m_balance, FieldOf(exchange->m_call.m_headers, "to"));
  if (listed != nullptr) exchange->m_listed_version = listed->m_version;
  m_open[exchange->m_id] = exchange;
  Connect(exchange);
  return exchange->m_id;
}

void EndpointClient::Cancel(CallId id) {
  const auto found = m_open.find(id);
  if (found == m_open.end()) return;
  found->second->m_is_open = false;
  m_open.erase(found);
}

std::optional<Instant> EndpointClient::ConnectedAt(CallId id) const {
  const auto found = m_open.find(id);
  if (found == m_open.end() || !found->second->m_connection) return {};
  return found->second->m_connection->m_established;
}

void EndpointClient::CloseIdleConnections(const std::string& address) {
  m_idle.erase(address);
}

void EndpointClient::CloseAll() {
  for (const auto& [id, exchange] : std::exchange(m_open, {})) {
    exchange->m_is_open = false;
  }
  m_idle.clear();
}

void EndpointClient::Break(const ExchangePtr& exchange) {
  Deliver(exchange, [this, exchange] {
    Finish(exchange, {HttpError::kConnectionLost, 0, true});
  });
}

void EndpointClient::Connect(const ExchangePtr& exchange) {
  constexpr std::size_t kSchemeSize = 7;
  const std::string& url = exchange->m_call.m_url;
  const std::string address =
      url.substr(kSchemeSize, url.find('/', kSchemeSize) - kSchemeSize);
  std::vector<EndpointConnection>& idle = m_idle[address];
  std::erase_if(idle, [](const EndpointConnection& connection) {
    return connection.m_at->m_has_ended;
  });
  if (!exchange->m_call.m_force_new_connection && !idle.empty()) {
    const EndpointConnection reused = idle.back();
    idle.pop_back();
    Send(exchange, reused);
    return;
  }
  // One round trip.
  m_schedule.After(kLatency, [this, exchange, address] {
    EndpointLifetime* at = m_endpoints.ListensAt(address);
    Deliver(exchange, [this, exchange, at] {
      if (at == nullptr) {
        Finish(exchange, {HttpError::kConnectRefused, 0, false});
      } else {
        Send(exchange, {at, m_schedule.Now()});
      }
    });
  });
}

void EndpointClient::Send(const ExchangePtr& exchange,
                          const EndpointConnection& connection) {
  exchange->m_connection = connection;
  EndpointLifetime& at = *exchange->m_connection->m_at;
  if (at.m_has_ended) {
    Break(exchange);
    return;
  }
  std::erase_if(at.m_exchanges,
                [](const ExchangePtr& other) { return !other->m_is_open; });
  at.m_exchanges.push_back(exchange);
  m_schedule.After(kLatency, [this, exchange] { Arrive(exchange); });
}

void EndpointClient::Arrive(const ExchangePtr& exchange) {
  const EndpointLifetime& at = *exchange->m_connection->m_at;
  if (!exchange->m_is_open || at.m_has_ended) return;
  if (FindField(exchange->m_call.m_headers, "to") != at.m_id) {
    Answer(exchange, kMisdirected, {{"not-run", "1"}}, "");
  } else if (exchange->m_call.m_url.ends_with("/report")) {
    Answer(exchange, kOk, {}, ReportOf(at));
  } else {
    RunStream(exchange);
  }
}

void EndpointClient::Answer(const ExchangePtr& exchange, int status,
                            HttpFields fields, const std::string& body) {
  Deliver(exchange, [this, exchange, status, fields = std::move(fields), body] {
    const HttpEvents& events = exchange->m_events;
    if (events.m_on_head) events.m_on_head(status, fields);
    if (!body.empty()) events.m_on_body(body);
    Finish(exchange, {HttpError::kOk, status, true});
  });
}

void EndpointClient::RunStream(const ExchangePtr& exchange) {
  const EndpointLifetime& at = *exchange->m_connection->m_at;
  const HttpFields& fields = exchange->m_call.m_headers;
  exchange->m_run_attempt = FieldOf(fields, "attempt");
  const std::size_t run =
      m_endpoints.AddRun({exchange->m_run_attempt, at.m_id, at.m_version,
                          exchange->m_listed_version});
  const std::string after = FieldOf(fields, "after");
  const std::uint64_t next = after.empty() ? 1 : std::stoull(after) + 1;
  Deliver(exchange, [exchange] {
    exchange->m_events.m_on_head(kOk, {{"stream", "1"}});
  });
  m_schedule.After(kFirstEventTime, [this, exchange, next, run] {
    SendEvent(exchange, next, run);
  });
}

void EndpointClient::SendEvent(const ExchangePtr& exchange, std::uint64_t event,
                               std::size_t run) {
  if (!exchange->m_is_open || exchange->m_connection->m_at->m_has_ended) return;
  if (event > kStreamEvents) {
    Deliver(exchange, [this, exchange] {
      Finish(exchange, {HttpError::kOk, kOk, true});
    });
    return;
  }
  Deliver(exchange, [exchange, event, run] {
    exchange->m_events.m_on_body("id: " + std::to_string(event) +
                                 "\ndata: " + std::to_string(run) + "\n\n");
  });
  m_schedule.After(kEventGap, [this, exchange, event, run] {
    SendEvent(exchange, event + 1, run);
  });
}

void EndpointClient::Finish(const ExchangePtr& exchange,
                            const HttpResult& result) {
  if (!exchange->m_is_open) return;
  exchange->m_is_open = false;
  m_open.erase(exchange->m_id);
  const auto& connection = exchange->m_connection;
  if (!result.m_error && connection && !connection->m_at->m_has_ended) {
    m_idle[connection->m_at->m_address].push_back(*connection);
  }
  exchange->m_events.m_on_end(result);
}

void EndpointClient::Deliver(const ExchangePtr& exchange,
                             std::function<void()> action) {
  m_schedule.After(kLatency, [this, exchange, action = std::move(action)] {
    m_process([exchange, action] {
      if (exchange->m_is_open) action();
    });
  });
}

VirtualRelay::VirtualRelay(InstanceFleet& instances, EndpointFleet& endpoints,
                           const std::string& name, ResponsePort& callers)
    : m_instances(instances),
      m_process(instances.ProcessOf(name)),
      m_client(endpoints, instances.Time(), m_process, m_state.m_balance) {
  m_state.m_options.m_instance = name;
  m_state.m_callers = &callers;
  m_state.m_endpoints = &m_client;
  m_state.m_format = &m_format;
  m_state.m_clock = [&instances] { return instances.Time().Now(); };
  m_state.m_resends.m_limits = {1, seconds(10), 100};
  m_state.m_resends.m_listed_at = Instant{};
  m_state.m_resends.m_list_confirmed_at = Instant::max();
  m_state.m_on_streams = [this, name](const schema::StreamBeginList& begun) {
    Later(kMailboxTime, [this, name, begun] {
      SendBegunStreams(m_instances.State(name), begun);
    });
  };
  m_state.m_ask_stream = [this, name](const schema::StreamQuestion& question) {
    Later(kMailboxTime, [this, name, question] {
      AskForStream(m_instances.State(name), question);
    });
  };
  Later(kRelayTick, [this] { Tick(); });
}

void VirtualRelay::Receive(const schema::RelayMessage& message) {
  Later(kMailboxTime, [this, message] { Apply(message); });
}

void VirtualRelay::Accept(HttpRequest request) {
  Later(kLatency, [this, request = std::move(request)] {
    AcceptRequest(m_state, request);
  });
}

void VirtualRelay::Disconnect(std::uint64_t request) {
  Later(kLatency, [this, request] { OnCallerDisconnected(m_state, request); });
}

void VirtualRelay::Apply(const schema::RelayMessage& message) {
  switch (message.kind_case()) {
    case schema::RelayMessage::kCatalog:
      m_state.m_catalog =
          std::make_shared<const CatalogIndex>(message.catalog());
      break;
    case schema::RelayMessage::kEndpoints:
      for (const std::string& address :
           SetEndpointList(m_state, message.endpoints(),
                           [](const std::string& zone) { return zone; })) {
        m_client.CloseIdleConnections(address);
      }
      break;
    case schema::RelayMessage::kPeers:
      m_state.m_probes = {message.peers().instances(),
                          message.peers().position()};
      break;
    case schema::RelayMessage::kKnowledge:
      m_state.m_knowledge = message.knowledge();
      m_state.m_knowledge_at = m_state.m_clock();
      break;
    case schema::RelayMessage::kStreamVersion:
      if (!message.stream_version().has_version()) {
        m_guesses.insert("t" +
                         std::to_string(message.stream_version().request()));
      }
      OnStreamAnswer(m_state, message.stream_version());
      break;
    default:
      break;
  }
}

void VirtualRelay::Tick() {
  TickCalls(m_state);
  Later(kRelayTick, [this] { Tick(); });
}

void VirtualRelay::Later(Duration time, std::function<void()> action) {
  m_instances.Time().After(
      time, [this, action = std::move(action)] { m_process(action); });
}

}  // namespace comfreypaddle::testing
