#include "support_instances.h"

#include <algorithm>
#include <utility>

#include "controltick.h"
#include "crashsync.h"
#include "crashwatch.h"
#include "entryduties.h"
#include "loadlink.h"
#include "memberwatch.h"
#include "peersync.h"
#include "statequery.h"
#include "streamholders.h"
#include "streamsync.h"
#include "usageflush.h"

namespace comfreypaddle::testing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One-way latency within a region and between regions.
constexpr Duration kRegionLatency = microseconds(500);
constexpr Duration kInterRegionLatency = milliseconds(12);

// Interval between requests of an instance.
constexpr Duration kRequestInterval = milliseconds(500);

// Transmission time per byte, in microseconds, on the 10 Mbit/s link of the
// smallest machines.
constexpr double kLinkUsPerByte = 0.8;

// Configuration and endpoints as serialized messages of the schema.
class SchemaRecordFormat : public RecordDecoder {
 public:
  std::optional<schema::Catalog> DecodeCatalog(
      const StreamRecord& record) const override {
    schema::Catalog catalog;
    if (!catalog.ParseFromString(record.m_value)) return std::nullopt;
    return catalog;
  }
  std::optional<schema::EndpointEntry> DecodeEndpoint(
      const StreamRecord& record) const override {
    schema::EndpointEntry entry;
    if (!entry.ParseFromString(record.m_value)) return std::nullopt;
    return entry;
  }
};

}  // namespace

const RecordDecoder& SchemaRecords() {
  static const SchemaRecordFormat records;
  return records;
}

std::vector<SimulatedZone> SmallDeployment() {
  return {{"uppsala-a", "svealand", 2},
          {"lulea-a", "norrland", 2},
          {"malmo-a", "gotaland", 2}};
}

std::vector<SimulatedZone> GrownDeployment() {
  return {{"uppsala-a", "svealand", 13}, {"uppsala-b", "svealand", 13},
          {"lulea-a", "norrland", 16},   {"lulea-b", "norrland", 15},
          {"malmo-a", "gotaland", 17},   {"malmo-b", "gotaland", 14}};
}

// Relay task: records when each configuration version was applied, and holds
// the suspects of crashes.
class InstanceFleet::Inbox : public Port<schema::RelayMessage> {
 public:
  Inbox(InstanceFleet& fleet, const VirtualInstance& self)
      : m_fleet(fleet), m_self(self) {
    m_relay.m_clock = [&fleet] { return fleet.m_schedule.Now(); };
  }
  void Post(schema::RelayMessage message) override {
    if (message.has_catalog()) {
      m_versions[message.catalog().version()] = m_fleet.m_schedule.Now();
    }
    Forward(message);
    if (message.has_suspects()) MergeSuspects(m_relay, message.suspects());
    if (message.has_stream_version()) m_answer = message.stream_version();
  }

  RelayState m_relay;
  std::optional<schema::StreamAnswer> m_answer;  // To the last question.
  std::map<std::uint64_t, Instant> m_versions;

 private:
  void Forward(const schema::RelayMessage& message) const;

  InstanceFleet& m_fleet;
  const VirtualInstance& m_self;
};

// Duty interface that accepts everything and records the usage reports.
class InstanceFleet::Duties : public DutyPort {
 public:
  explicit Duties(InstanceFleet& fleet) : m_fleet(fleet) {}
  void ReportUsage(const DutyHolder& /*holder*/,
                   const schema::FixedWindow& window, Done done) override {
    Report& report = m_fleet.m_reports[window.window()];
    std::uint64_t requests = 0;
    for (const schema::UsageCount& count : window.counts()) {
      requests += count.requests();
    }
    if (report.m_at == Instant{}) {
      report.m_at = m_fleet.m_schedule.Now();
      report.m_requests = requests;
    }
    report.m_changed = report.m_changed || requests != report.m_requests;
    m_fleet.m_schedule.After(kStoreServiceTime,
                             [done] { done(DutyResult::kAccepted); });
  }
  void OrderEndpoints(const DutyHolder& /*holder*/, const CountOrder& /*order*/,
                      Done done) override {
    m_fleet.m_schedule.After(kStoreServiceTime,
                             [done] { done(DutyResult::kAccepted); });
  }

 private:
  InstanceFleet& m_fleet;
};

struct VirtualInstance {
  VirtualInstance(InstanceFleet& fleet, const std::string& name,
                  const SimulatedZone& zone);

  // Runs an action in the process, or at the thaw if it is frozen.
  void Run(std::function<void()> action) {
    if (m_frozen) {
      m_deferred.push_back(std::move(action));
    } else {
      action();
    }
  }

  std::string m_name;
  SimulatedZone m_zone;
  bool m_dead = false;
  bool m_is_refusing = false;  // The process has ended, its machine has not.
  int m_partition = 0;         // It reaches the instances of the same one only.
  bool m_frozen = false;
  std::vector<std::function<void()>> m_deferred;  // Until the thaw.
  Instant m_link_free{};  // When the link has sent all queued answers.
  std::unique_ptr<StreamPort> m_store;
  InstanceFleet::Duties m_duties;
  std::unique_ptr<InstanceFleet::PeerPort> m_peers;
  InstanceFleet::Inbox m_inbox;
  ControlState m_state;
};

void InstanceFleet::Inbox::Forward(const schema::RelayMessage& message) const {
  if (m_self.m_dead || !m_fleet.m_on_relay_message) return;
  m_fleet.m_on_relay_message(m_self.m_name, message);
}

// Store of one instance, whose answers wait while the instance is frozen.
class InstanceFleet::StorePort : public StreamPort {
 public:
  StorePort(VirtualInstance& self, std::unique_ptr<StreamPort> store)
      : m_self(self), m_store(std::move(store)) {}

  void Append(StreamAppend append,
              std::function<void(const AppendResult&)> done) override {
    m_store->Append(std::move(append), Deferred(std::move(done)));
  }
  void Read(Stream stream, std::uint64_t from, Duration wait,
            std::function<void(const ReadResult&)> done) override {
    m_store->Read(stream, from, wait, Deferred(std::move(done)));
  }
  void ReadNewest(Stream stream,
                  std::function<void(const ReadResult&)> done) override {
    m_store->ReadNewest(stream, Deferred(std::move(done)));
  }

 private:
  template <typename Result>
  std::function<void(const Result&)> Deferred(
      std::function<void(const Result&)> done) {
    return [this, done = std::move(done)](const Result& result) {
      m_self.Run([done, result] { done(result); });
    };
  }

  VirtualInstance& m_self;
  std::unique_ptr<StreamPort> m_store;
};

// Simulated HTTP client for the calls of one instance to the others.
class InstanceFleet::PeerPort : public HttpPort {
 public:
  PeerPort(InstanceFleet& fleet, VirtualInstance& self)
      : m_fleet(fleet), m_self(self) {}

  CallId Start(HttpCall call, HttpEvents events) override {
    ++m_fleet.m_peer_calls;
    auto open = std::make_shared<bool>(true);
    const auto end = [this, open, events](const HttpResult& result,
                                          const std::string& body) {
      if (!*open || m_self.m_dead) return;
      *open = false;
      m_self.Run([events, result, body] {
        if (!body.empty()) events.m_on_body(body);
        events.m_on_end(result);
      });
    };
    m_fleet.m_schedule.After(call.m_timeout, [end] {
      end({HttpError::kTimeout, 0, true}, "");
    });
    constexpr std::size_t kSchemeSize = 7;
    const std::size_t slash = call.m_url.find('/', kSchemeSize);
    const auto found = m_fleet.m_by_address.find(
        call.m_url.substr(kSchemeSize, slash - kSchemeSize));
    const std::string target = call.m_url.substr(slash);
    if (found == m_fleet.m_by_address.end() || found->second->m_dead) {
      const bool refuses =
          found != m_fleet.m_by_address.end() && found->second->m_is_refusing;
      m_fleet.m_schedule.After(
          refuses ? kInterRegionLatency : call.m_connect_timeout,
          [end, refuses] {
            end({refuses ? HttpError::kConnectRefused
                         : HttpError::kConnectFailed,
                 0, false},
                "");
          });
      return 0;
    }
    VirtualInstance& other = *found->second;
    m_fleet.m_schedule.After(m_fleet.OneWayLatency(m_self, other),
                             [this, &other, target, call, end] {
                               if (other.m_dead || IsCut(other)) return;
                               other.Run([this, &other, target, call, end] {
                                 Answer(other, target, call.m_body, end);
                               });
                             });
    return 0;
  }

  void Cancel(CallId /*id*/) override {}

 private:
  using End = std::function<void(const HttpResult&, const std::string&)>;

  bool IsCut(const VirtualInstance& other) const {
    return m_self.m_partition != other.m_partition;
  }

  void Answer(VirtualInstance& other, const std::string& target,
              const std::string& body, const End& end) {
    if (target == kHandoverTarget) {
      schema::UsageHandover usage;
      usage.ParseFromString(body);
      StoreHandover(other.m_state, usage,
                    [this, &other, end](const schema::HandoverResult& result) {
                      SendAnswer(other, result.SerializeAsString(), end);
                    });
      return;
    }
    if (target == kSuspectTarget) {
      schema::SuspectExchange exchange;
      exchange.ParseFromString(body);
      SendAnswer(other,
                 AnswerSuspects(other.m_state, exchange).SerializeAsString(),
                 end);
      return;
    }
    if (target == kStreamTarget) {
      schema::StreamExchange exchange;
      exchange.ParseFromString(body);
      SendAnswer(
          other,
          AnswerStreamExchange(other.m_state, exchange).SerializeAsString(),
          end);
      return;
    }
    if (target == kProbeTarget) {
      SendAnswer(other, "", end);
      return;
    }
    if (target != kStateQueryTarget) return;
    schema::InstanceQuery query;
    query.ParseFromString(body);
    AnswerStateQuery(other.m_state, query,
                     [this, &other, end](const schema::InstanceState& answer) {
                       SendAnswer(other, answer.SerializeAsString(), end);
                     });
  }

  // Sends an answer over the link of the instance, which all its answers share.
  void SendAnswer(VirtualInstance& other, const std::string& body,
                  const End& end) {
    Schedule& schedule = m_fleet.m_schedule;
    const Duration time(static_cast<std::int64_t>(
        static_cast<double>(body.size()) * kLinkUsPerByte));
    other.m_link_free = std::max(other.m_link_free, schedule.Now()) + time;
    schedule.At(other.m_link_free + m_fleet.OneWayLatency(m_self, other),
                [end, body] {
                  end({HttpError::kOk, 200, true}, body);
                });
  }

  InstanceFleet& m_fleet;
  VirtualInstance& m_self;
};

VirtualInstance::VirtualInstance(InstanceFleet& fleet, const std::string& name,
                                 const SimulatedZone& zone)
    : m_name(name),
      m_zone(zone),
      m_store(std::make_unique<InstanceFleet::StorePort>(
          *this, fleet.Store().Connect(name))),
      m_duties(fleet),
      m_peers(std::make_unique<InstanceFleet::PeerPort>(fleet, *this)),
      m_inbox(fleet, *this) {
  m_state.m_options.m_name = name;
  m_state.m_options.m_zone = zone.m_name;
  m_state.m_options.m_peers = name + ":1";
  m_state.m_options.m_incarnation = 1;
  m_state.m_upstream.m_self = name;
  m_state.m_upstream.m_zone = zone.m_name;
  m_state.m_holder.m_options.m_name = name;
  m_state.m_holder.m_options.m_incarnation = 1;
  m_state.m_store = m_store.get();
  m_state.m_duty_port = &m_duties;
  m_state.m_records = &SchemaRecords();
  m_state.m_peers = m_peers.get();
  m_state.m_relay = &m_inbox;
  m_state.m_clock = [&fleet] { return fleet.Time().Now(); };
  m_state.m_store_answered = fleet.Time().Now();
  m_inbox.m_relay.m_on_suspects = [this](const schema::SuspectList& changed) {
    AddSuspects(m_state, changed);
  };
}

InstanceFleet::InstanceFleet(const std::vector<SimulatedZone>& zones,
                             std::uint64_t seed)
    : m_store(m_schedule), m_random(seed) {
  WriteCatalog(1);
  for (const SimulatedZone& zone : zones) {
    for (int i = 1; i <= zone.m_instances; ++i) {
      Start(zone.m_name + "-" + std::to_string(i), zone, 1);
    }
  }
}

void InstanceFleet::Start(const std::string& name, const SimulatedZone& zone,
                          std::uint64_t incarnation) {
  auto instance = std::make_unique<VirtualInstance>(*this, name, zone);
  instance->m_state.m_options.m_incarnation = incarnation;
  instance->m_state.m_holder.m_options.m_incarnation = incarnation;
  m_by_address[name + ":1"] = instance.get();
  const Duration phase(
      static_cast<std::int64_t>(m_random() % kControlTick.count()));
  m_schedule.After(phase, [this, at = instance.get()] { Tick(*at); });
  m_instances[name] = std::move(instance);
}

void InstanceFleet::Restart(const std::string& name) {
  VirtualInstance& old = *m_instances.at(name);
  old.m_dead = true;
  const SimulatedZone zone = old.m_zone;
  const int partition = old.m_partition;
  const std::uint64_t incarnation = old.m_state.m_options.m_incarnation + 1;
  m_replaced.push_back(std::move(m_instances.at(name)));
  Start(name, zone, incarnation);
  m_instances.at(name)->m_partition = partition;
}

void InstanceFleet::Freeze(const std::string& name) {
  m_instances.at(name)->m_frozen = true;
}

void InstanceFleet::Thaw(const std::string& name) {
  VirtualInstance& instance = *m_instances.at(name);
  instance.m_frozen = false;
  for (const auto& action : std::exchange(instance.m_deferred, {})) action();
}

void InstanceFleet::CutTogether(const std::vector<std::string>& names) {
  ++m_partitions;
  for (const std::string& name : names) {
    m_instances.at(name)->m_partition = m_partitions;
  }
}

void InstanceFleet::Heal(const std::string& name) {
  m_instances.at(name)->m_partition = 0;
}

InstanceFleet::ProcessRunner InstanceFleet::ProcessOf(const std::string& name) {
  return [process = m_instances.at(name).get()](std::function<void()> action) {
    process->Run([process, action = std::move(action)] {
      if (!process->m_dead) action();
    });
  };
}

void InstanceFleet::CrashEndpoint(const std::string& name,
                                  std::uint64_t fingerprint,
                                  const std::string& endpoint) {
  RelayCall call;
  call.m_fingerprint = fingerprint;
  call.m_attempt.m_endpoint = endpoint;
  OnAttemptCrashed(m_instances.at(name)->m_inbox.m_relay, call);
}

void InstanceFleet::Answer(const std::string& name, std::uint64_t fingerprint) {
  RelayCall call;
  call.m_fingerprint = fingerprint;
  OnAttemptSurvived(m_instances.at(name)->m_inbox.m_relay, call);
}

void InstanceFleet::CrashEndpoint(const std::string& name,
                                  const std::vector<std::uint64_t>& parts,
                                  const std::string& endpoint) {
  RelayCall call;
  call.m_fingerprint = m_random();
  call.m_shared_parts = parts;
  call.m_attempt.m_endpoint = endpoint;
  call.m_attempt.m_status = 200;
  OnAttemptCrashed(m_instances.at(name)->m_inbox.m_relay, call);
}

bool InstanceFleet::RefusesPart(const std::string& name, std::uint64_t part) {
  RelayCall call;
  call.m_fingerprint = m_random();
  call.m_shared_parts = {part};
  return !MayRun(m_instances.at(name)->m_inbox.m_relay, call);
}

void InstanceFleet::BeginStream(const std::string& name, std::uint64_t attempt,
                                const std::string& version) {
  schema::StreamBeginList begun;
  schema::StreamBegin* stream = begun.add_streams();
  stream->set_attempt(attempt);
  stream->set_service("s");
  stream->set_version(version);
  stream->set_ends_in_ms(10'000);
  SendBegunStreams(State(name), begun);
}

std::optional<schema::StreamAnswer> InstanceFleet::AskForStream(
    const std::string& name, std::uint64_t attempt) {
  Inbox& inbox = m_instances.at(name)->m_inbox;
  inbox.m_answer.reset();
  schema::StreamQuestion question;
  question.set_attempt(attempt);
  question.set_service("s");
  comfreypaddle::AskForStream(State(name), question);
  constexpr Duration kStep = std::chrono::milliseconds(10);
  const Instant limit = m_schedule.Now() + std::chrono::seconds(1);
  while (!inbox.m_answer && m_schedule.Now() < limit) Run(kStep);
  return inbox.m_answer;
}

bool InstanceFleet::Refuses(const std::string& name,
                            std::uint64_t fingerprint) {
  RelayCall call;
  call.m_fingerprint = fingerprint;
  return !MayRun(m_instances.at(name)->m_inbox.m_relay, call);
}

InstanceFleet::~InstanceFleet() = default;

void InstanceFleet::Tick(VirtualInstance& instance) {
  if (instance.m_dead) return;
  TickControl(instance.m_state);
  m_schedule.After(kControlTick, [this, &instance] {
    instance.Run([this, &instance] { Tick(instance); });
  });
}

Duration InstanceFleet::OneWayLatency(const VirtualInstance& a,
                                      const VirtualInstance& b) const {
  return a.m_zone.m_region == b.m_zone.m_region ? kRegionLatency
                                                : kInterRegionLatency;
}

void InstanceFleet::WriteCatalog(std::uint64_t version) {
  schema::Catalog catalog;
  catalog.set_version(version);
  m_store.Write(Stream::kConfiguration, "config", catalog.SerializeAsString());
}

void InstanceFleet::WriteEndpoint(const std::string& id, std::uint64_t sequence,
                                  bool draining) {
  schema::EndpointEntry entry;
  entry.set_id(id);
  entry.set_service("s");
  entry.set_address(id + ":1");
  entry.set_born_ms(1);
  entry.set_sequence(sequence);
  entry.set_draining(draining);
  m_store.Write(Stream::kEndpoints, id, entry.SerializeAsString());
}

void InstanceFleet::RemoveEndpoint(const std::string& id) {
  m_store.Write(Stream::kEndpoints, id, "");
}

void InstanceFleet::StartRequests() {
  m_requests_run = true;
  for (const auto& [name, instance] : m_instances) CountRequest(*instance);
}

void InstanceFleet::CountRequest(VirtualInstance& instance) {
  if (!m_requests_run || instance.m_dead) return;
  const Duration window = instance.m_state.m_usage_aggregate.m_options.m_window;
  schema::UsageCounts counts;
  schema::UsageCount* count = counts.add_counts();
  count->set_window(
      static_cast<std::uint64_t>(m_schedule.Now().time_since_epoch() / window));
  count->set_workspace("w");
  count->set_requests(1);
  ++m_counted[count->window()];
  AddUsageCounts(instance.m_state, counts);
  m_schedule.After(kRequestInterval,
                   [this, &instance] { CountRequest(instance); });
}

std::uint64_t InstanceFleet::CountedRequests(std::uint64_t window) const {
  const auto found = m_counted.find(window);
  return found == m_counted.end() ? 0 : found->second;
}

void InstanceFleet::Kill(const std::string& name) {
  m_instances.at(name)->m_dead = true;
}

void InstanceFleet::EndProcess(const std::string& name) {
  Kill(name);
  m_instances.at(name)->m_is_refusing = true;
}

std::string InstanceFleet::AddBeside(const std::string& name) {
  const SimulatedZone zone = m_instances.at(name)->m_zone;
  const std::string added = zone.m_name + "-x" + std::to_string(++m_added);
  Start(added, zone, static_cast<std::uint64_t>(m_added) + 1);
  return added;
}

bool InstanceFleet::IsDead(const std::string& name) const {
  return m_instances.at(name)->m_dead;
}

std::vector<std::string> InstanceFleet::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, instance] : m_instances) names.push_back(name);
  return names;
}

ControlState& InstanceFleet::State(const std::string& name) {
  return m_instances.at(name)->m_state;
}

std::optional<Instant> InstanceFleet::AppliedAt(const std::string& name,
                                                std::uint64_t version) const {
  std::optional<Instant> first;
  for (const auto& [known, at] : m_instances.at(name)->m_inbox.m_versions) {
    if (known >= version && (!first || at < *first)) first = at;
  }
  return first;
}

Duration PropagationTime(const InstanceFleet& fleet, std::uint64_t version,
                         Instant changed) {
  Duration slowest{0};
  for (const std::string& name : fleet.Names()) {
    if (fleet.IsDead(name)) continue;
    const auto at = fleet.AppliedAt(name, version);
    if (!at) return Duration::max();
    slowest = std::max(slowest, *at - changed);
  }
  return slowest;
}

}  // namespace comfreypaddle::testing
