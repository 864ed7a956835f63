#ifndef COMFREYPADDLE_PEERS_H_
#define COMFREYPADDLE_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "curlclient.h"
#include "listener.h"
#include "membership.h"
#include "messages.pb.h"
#include "peerstate.h"
#include "rpc.h"
#include "settings.pb.h"
#include "task.h"
#include "usagebackup.h"

namespace comfreypaddle {

// Mailboxes of the tasks that the peers task sends to. Not owned; null ports
// are skipped.
struct PeersPorts {
  Port<schema::JournalMessage>* m_journal = nullptr;
  Port<schema::GatewayMessage>* m_gateway = nullptr;
  Port<schema::AdminMessage>* m_admin = nullptr;
  Port<schema::DutiesMessage>* m_duties = nullptr;
};

// Communicates with the other entry instances. The task owns the listener and
// the client for them, sends heartbeats, decides the permission to admit,
// relays log entries during log outages, and holds usage of other instances
// until it is in the log.
class Peers : public Task<schema::PeersMessage>, private RpcHandler {
 public:
  Peers(const schema::Settings& settings, std::uint64_t incarnation);

  // Sets the peer tasks. Call before Launch.
  void Connect(const PeersPorts& ports) { m_ports = ports; }

 private:
  using OnResults = std::function<void(const std::vector<RpcResult>& results)>;

  // Records call that waits for the journal.
  struct PendingRecordsCall {
    std::uint64_t m_id = 0;  // Id of the HTTP request.
    std::string m_body;
    Instant m_due;
  };

  void Start() override;
  void Receive(schema::PeersMessage message) override;
  void Finish() override;

  std::string Heartbeat(const std::string& state) override;
  std::string Records(std::uint64_t from, int limit) override;
  bool Hold(const std::string& usage) override;
  bool Release(const std::string& instance, std::uint64_t incarnation,
               std::uint64_t sequence) override;

  void HandleRequest(HttpRequest request);
  void OnRecordsFound(const schema::RecordsFound& found);
  void OnLogStatus(const schema::LogStatus& status);
  void OnUsagePending(const schema::UsageFlush& flush);
  void OnUsageStored(const schema::UsageStored& stored);

  void Tick();
  schema::PeerState MakePeerState(Instant now) const;
  schema::PeerState MakeHeartbeatState(Instant now);
  void SendHeartbeat(const std::string& peer, const std::string& state);
  void OnHeartbeatResults(const std::string& peer, Instant sent,
                          const std::vector<RpcCall>& calls,
                          const std::vector<RpcResult>& results);
  void RequestHolders(const FlushId& id, OwnFlush& flush);
  void AppendOrphanedUsage(Instant now);
  void RequestRecords(Instant now);
  void OnRelayedRecords(const std::vector<RpcResult>& results);
  void ExpireRecordsCalls(Instant now);
  void Call(const std::string& peer, const std::vector<RpcCall>& calls,
            OnResults on_results);
  void ForwardState(const schema::PeerState& state);
  void PublishPermission(Instant now);
  void LogPeerPhases(Instant now);

  schema::Settings m_settings;
  std::uint64_t m_incarnation;
  PeersPorts m_ports;
  MembershipState m_members;
  UsageBackups m_hold;
  ServiceDigestState m_last_reported;
  Instant m_next_digest{};
  Instant m_next_full_digest{};
  schema::GatewayStatus m_gateway_status;
  schema::EndpointsLeaving m_leaving;
  std::map<std::string, std::string> m_urls;  // Of the configured peers.
  std::set<std::string>
      m_open_heartbeats;  // Peers with a heartbeat in progress.
  std::map<std::string, std::vector<RpcCall>> m_releases;
  std::map<std::uint64_t, PendingRecordsCall> m_pending_records_calls;
  std::uint64_t m_next_ticket = 1;
  std::string m_records_response;  // Result of the records call being answered.
  bool m_records_call_open = false;
  schema::AdmitPermission m_permission;  // Last published permission.
  std::map<std::string, PeerPhase> m_phases;
  RpcServer m_rpc;
  std::optional<Listener> m_listener;
  std::optional<CurlClient> m_client;
  std::optional<PeriodicTimer> m_timer;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PEERS_H_
