#ifndef COMFREYPADDLE_TESTS_SUPPORT_VERSIONS_H_
#define COMFREYPADDLE_TESTS_SUPPORT_VERSIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "support_instances.h"
#include "support_relay.h"

namespace comfreypaddle::testing {

// Endpoints in virtual time that run streams, and the relay tasks of the
// instances that send requests to them. Only the ports are simulated; the
// decisions are made by the production code.

// Events of a stream.
inline constexpr std::uint64_t kStreamEvents = 20;

class EndpointClient;
struct EndpointLifetime;

// Connection of an instance to one lifetime of an endpoint.
struct EndpointConnection {
  EndpointLifetime* m_at = nullptr;
  Instant m_established{};
};

// One call to an endpoint.
struct EndpointExchange {
  EndpointClient* m_client = nullptr;
  HttpPort::CallId m_id = 0;
  HttpCall m_call;
  HttpEvents m_events;
  std::string m_listed_version;  // Of the endpoint, when the call was started.
  bool m_is_open = true;
  std::optional<EndpointConnection> m_connection;
  std::string m_run_attempt;  // Of the request that the endpoint runs.
};

// Time in which one process of an endpoint serves.
struct EndpointLifetime {
  std::string m_id;
  std::string m_address;
  std::string m_version;  // Of the software.
  Instant m_born{};
  bool m_is_draining = false;
  bool m_has_ended = false;
  std::uint64_t m_sequence = 0;  // Of its last entry.
  std::vector<std::shared_ptr<EndpointExchange>> m_exchanges;
};

// Run of a request at an endpoint. Each event names the run that sent it.
struct EndpointRun {
  std::string m_attempt;  // Of the caller.
  std::string m_endpoint;
  std::string m_version;
  std::string m_listed_version;  // At the instance, when it sent the request.
};

// Wire format whose requests name their attempt and last event, and whose
// reports name the start of the endpoint's lifetime.
class VersionWireFormat : public FakeWireFormat {
 public:
  RequestMetadata ParseRequestMetadata(
      const HttpRequest& request) const override;
  HttpFields EndpointFields(const HttpRequest& request,
                            const UpstreamMetadata& terms) const override;
  // BORN, then the report of FakeWireFormat.
  std::optional<WorkReport> ParseWorkReport(
      std::string_view body) const override;
};

// Endpoints of one service. Each writes its entry to the store one heartbeat
// after its start and then with each heartbeat; silent ones are removed.
class EndpointFleet {
 public:
  explicit EndpointFleet(InstanceFleet& instances);

  void Start(const std::string& id, const std::string& address,
             const std::string& version);
  void Drain(const std::string& id);

  // Ends the process, which breaks its connections. Its entry stays until it
  // has been silent for long, or is removed at once if the stop was planned.
  void End(const std::string& id, bool is_planned);

  // Whether the store serves the endpoints.
  void SetStoreAway(bool is_away) { m_is_store_away = is_away; }

  // The lifetime that accepts connections at the address, or null.
  EndpointLifetime* ListensAt(const std::string& address) const;

  // The newest lifetime of each id, also of those that have ended.
  const std::map<std::string, EndpointLifetime*>& Newest() const {
    return m_newest;
  }

  // Ids of the endpoints that serve and do not drain.
  std::vector<std::string> Serving() const;

  std::size_t AddRun(EndpointRun run);
  const EndpointRun& Run(std::size_t index) const { return m_runs.at(index); }

 private:
  void Beat(EndpointLifetime& lifetime);
  void WriteEntry(EndpointLifetime& lifetime);
  void RemoveSilent();

  InstanceFleet& m_instances;
  bool m_is_store_away = false;
  std::deque<EndpointLifetime> m_lifetimes;  // Connections refer to them.
  std::map<std::string, EndpointLifetime*> m_newest;
  std::map<std::string, Instant> m_written;  // Last entry, by id.
  std::vector<EndpointRun> m_runs;
};

// HTTP client of one process of an instance.
class EndpointClient : public HttpPort {
 public:
  EndpointClient(EndpointFleet& endpoints, Schedule& schedule,
                 InstanceFleet::ProcessRunner process,
                 const BalanceState& balance)
      : m_endpoints(endpoints),
        m_schedule(schedule),
        m_process(std::move(process)),
        m_balance(balance) {}

  CallId Start(HttpCall call, HttpEvents events) override;
  void Cancel(CallId id) override;
  std::optional<Instant> ConnectedAt(CallId id) const override;

  void CloseIdleConnections(const std::string& address);

  // Closes all connections, as the end of the process does.
  void CloseAll();

  // Ends a call whose endpoint has broken the connection.
  void Break(const std::shared_ptr<EndpointExchange>& exchange);

 private:
  using ExchangePtr = std::shared_ptr<EndpointExchange>;

  void Connect(const ExchangePtr& exchange);
  void Send(const ExchangePtr& exchange, const EndpointConnection& connection);
  void Arrive(const ExchangePtr& exchange);
  void Answer(const ExchangePtr& exchange, int status, HttpFields fields,
              const std::string& body);
  void RunStream(const ExchangePtr& exchange);
  void SendEvent(const ExchangePtr& exchange, std::uint64_t event,
                 std::size_t run);
  void Finish(const ExchangePtr& exchange, const HttpResult& result);
  // Runs an action in the process one way later, unless the call has ended.
  void Deliver(const ExchangePtr& exchange, std::function<void()> action);

  EndpointFleet& m_endpoints;
  Schedule& m_schedule;
  InstanceFleet::ProcessRunner m_process;
  const BalanceState& m_balance;
  CallId m_last_id = 0;
  std::map<CallId, ExchangePtr> m_open;
  std::map<std::string, std::vector<EndpointConnection>> m_idle;  // By address.
};

// Relay task of one process of an instance.
class VirtualRelay {
 public:
  VirtualRelay(InstanceFleet& instances, EndpointFleet& endpoints,
               const std::string& name, ResponsePort& callers);

  // Messages from callers and from the control task arrive later.
  void Receive(const schema::RelayMessage& message);
  void Accept(HttpRequest request);
  void Disconnect(std::uint64_t request);

  // The process ends.
  void End() { m_client.CloseAll(); }

  // Whether the request was sent on although its version was not known.
  bool IsGuess(const std::string& attempt) const {
    return m_guesses.count(attempt) > 0;
  }

 private:
  void Apply(const schema::RelayMessage& message);
  void Tick();
  void Later(Duration time, std::function<void()> action);

  InstanceFleet& m_instances;
  InstanceFleet::ProcessRunner m_process;
  VersionWireFormat m_format;
  RelayState m_state;
  EndpointClient m_client;
  std::set<std::string> m_guesses;  // By attempt.
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_VERSIONS_H_
