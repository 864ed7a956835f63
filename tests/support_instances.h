#ifndef COMFREYPADDLE_TESTS_SUPPORT_INSTANCES_H_
#define COMFREYPADDLE_TESTS_SUPPORT_INSTANCES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "controlstate.h"
#include "relaystate.h"
#include "support_store.h"

namespace comfreypaddle::testing {

// Decoder of records that are serialized messages of the schema.
const RecordDecoder& SchemaRecords();

struct SimulatedZone {
  std::string m_name;
  std::string m_region;
  int m_instances = 0;
};

// Zones and instances of the small and the grown deployment.
std::vector<SimulatedZone> SmallDeployment();
std::vector<SimulatedZone> GrownDeployment();

// Control-plane task of one instance, in virtual time.
struct VirtualInstance;

// Instances that share a store and a network, in virtual time. Only the ports
// are simulated; the decisions are made by the production code.
class InstanceFleet {
 public:
  InstanceFleet(const std::vector<SimulatedZone>& zones, std::uint64_t seed);
  ~InstanceFleet();

  Schedule& Time() { return m_schedule; }
  VirtualStore& Store() { return m_store; }
  void Run(Duration time) { m_schedule.RunUntil(m_schedule.Now() + time); }

  // Writes a configuration with this version to the store.
  void WriteCatalog(std::uint64_t version);
  void WriteEndpoint(const std::string& id, std::uint64_t sequence,
                     bool draining);
  void RemoveEndpoint(const std::string& id);

  // From now on each instance counts two requests per second.
  void StartRequests();
  void StopRequests() { m_requests_run = false; }

  // Requests counted by all instances in a usage window.
  std::uint64_t CountedRequests(std::uint64_t window) const;

  // Usage reports received by the platform, by window.
  struct Report {
    Instant m_at{};
    std::uint64_t m_requests = 0;
    bool m_changed = false;  // Another report had other counts.
  };
  const std::map<std::uint64_t, Report>& Reports() const { return m_reports; }

  // Stops the instance: it runs no more ticks and answers no more calls.
  void Kill(const std::string& name);

  // Ends the process: its machine refuses connections from now on.
  void EndProcess(const std::string& name);

  // Starts another instance in the zone of this one, with a name and an address
  // of its own. Returns the name.
  std::string AddBeside(const std::string& name);

  // Replaces the instance by a new process that knows nothing.
  void Restart(const std::string& name);

  // Freezes the process: it neither runs nor receives anything until the thaw,
  // when it receives all of it.
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);

  // Cuts the instance off from all others: calls get no answer. CutTogether
  // leaves the calls among these instances. A restart heals nothing.
  void Cut(const std::string& name) { CutTogether({name}); }
  void CutTogether(const std::vector<std::string>& names);
  void Heal(const std::string& name);

  // Calls the handler with each message that the control task of a live
  // instance posts to its relay task.
  using RelayMessageHandler = std::function<void(
      const std::string& name, const schema::RelayMessage& message)>;
  void OnRelayMessage(RelayMessageHandler handler) {
    m_on_relay_message = std::move(handler);
  }

  // Runs actions in the present process of the instance: at the thaw while it
  // is frozen, and not at all once it has ended.
  using ProcessRunner = std::function<void(std::function<void()> action)>;
  ProcessRunner ProcessOf(const std::string& name);

  // Ends a run of the request, by fingerprint, at the instance: its endpoint
  // crashes, or answers.
  void CrashEndpoint(const std::string& name, std::uint64_t fingerprint,
                     const std::string& endpoint);
  void Answer(const std::string& name, std::uint64_t fingerprint);

  // Crashes the endpoint as it begins to answer a request with these parts of
  // its prompt.
  void CrashEndpoint(const std::string& name,
                     const std::vector<std::uint64_t>& parts,
                     const std::string& endpoint);

  // Whether the instance refuses requests with this part of their prompts.
  bool RefusesPart(const std::string& name, std::uint64_t part);

  // Tells the holders of its record that a stream began at the instance.
  void BeginStream(const std::string& name, std::uint64_t attempt,
                   const std::string& version);

  // Asks at the instance for the version that began a stream. Returns nothing
  // if no answer came within a second.
  std::optional<schema::StreamAnswer> AskForStream(const std::string& name,
                                                   std::uint64_t attempt);

  // Whether the instance refuses the request.
  bool Refuses(const std::string& name, std::uint64_t fingerprint);

  std::vector<std::string> Names() const;
  ControlState& State(const std::string& name);

  bool IsDead(const std::string& name) const;

  // When the instance first applied the version or a later one.
  std::optional<Instant> AppliedAt(const std::string& name,
                                   std::uint64_t version) const;

  // Number of calls between instances.
  std::uint64_t PeerCalls() const { return m_peer_calls; }

 private:
  friend struct VirtualInstance;
  class PeerPort;
  class StorePort;
  class Inbox;
  class Duties;

  void Start(const std::string& name, const SimulatedZone& zone,
             std::uint64_t incarnation);
  void Tick(VirtualInstance& instance);
  void CountRequest(VirtualInstance& instance);
  Duration OneWayLatency(const VirtualInstance& a,
                         const VirtualInstance& b) const;

  Schedule m_schedule;
  VirtualStore m_store;
  std::mt19937_64 m_random;
  std::map<std::string, std::unique_ptr<VirtualInstance>> m_instances;
  // Replaced processes, which scheduled actions may still refer to.
  std::vector<std::unique_ptr<VirtualInstance>> m_replaced;
  std::map<std::string, VirtualInstance*> m_by_address;
  std::uint64_t m_peer_calls = 0;
  RelayMessageHandler m_on_relay_message;
  int m_partitions = 0;  // That were ever made.
  int m_added = 0;       // Instances that were added to those of the start.
  bool m_requests_run = false;
  std::map<std::uint64_t, std::uint64_t> m_counted;
  std::map<std::uint64_t, Report> m_reports;
};

// Time from the change until the last live instance applied it, or
// Duration::max() if one has not yet.
Duration PropagationTime(const InstanceFleet& fleet, std::uint64_t version,
                         Instant changed);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_INSTANCES_H_
