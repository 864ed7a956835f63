#include "neighbours.h"

#include <algorithm>
#include <memory>
#include <set>

#include "eventlog.h"
#include "follow.h"
#include "reporter.h"

namespace comfreypaddle {

namespace {

// Silence of the store after which other instances are asked.
constexpr Duration kAskAfter = std::chrono::milliseconds(1000);

// Time between two questions.
constexpr Duration kAskPeriod = std::chrono::milliseconds(400);

constexpr Duration kCallTime = std::chrono::milliseconds(600);

// Offset from which this instance knows a stream; zero: not at all.
std::uint64_t KnownOffset(const Follower& follower) {
  return follower.m_known ? follower.m_next : 0;
}

double StoreAgeMs(const ControlState& state) {
  return std::chrono::duration<double, std::milli>(state.m_clock() -
                                                   state.m_store_answered)
      .count();
}

// Takes over the list of endpoints of an instance that has read further.
void TakeEndpointList(ControlState& state, const schema::InstanceState& other) {
  std::set<std::string> present;
  for (const schema::EndpointEntry& entry : other.endpoints().endpoints()) {
    present.insert(entry.id());
    SetEntry(state.m_directory, entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    if (present.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) {
    RemoveEntry(state.m_directory, id, state.m_clock());
  }
  state.m_follow_endpoints.m_next = other.endpoints_offset();
  state.m_follow_endpoints.m_known = true;
  PublishEndpoints(state);
}

void TakeAnswer(ControlState& state, const schema::InstanceState& other) {
  if (other.usage_stored() > 0) {
    LogLine("usage_handed_over")
        .Add("instance", other.name())
        .Add("sequence", static_cast<std::int64_t>(other.usage_stored()));
    OnUsageStored(state, other.usage_stored());
  }
  if (!other.has_catalog() && !other.has_endpoints()) return;
  // Two instances that have both lost the store learn nothing from each other.
  if (other.store_age_ms() > StoreAgeMs(state)) return;
  LogLine("neighbour_answered")
      .Add("instance", other.name())
      .Add("store_age_ms", static_cast<std::int64_t>(other.store_age_ms()))
      .Add("catalog", other.has_catalog()
                          ? static_cast<std::int64_t>(other.catalog().version())
                          : -1)
      .Add("endpoints", other.endpoints().endpoints_size());
  if (other.has_catalog()) {
    AdoptCatalog(state, other.catalog(), "instance");
    state.m_follow_catalog.m_next =
        std::max(state.m_follow_catalog.m_next, other.catalog_offset());
    state.m_follow_catalog.m_known = true;
  }
  const bool newer =
      other.endpoints_offset() > KnownOffset(state.m_follow_endpoints);
  if (other.has_endpoints() && newer) TakeEndpointList(state, other);
}

void Ask(ControlState& state, const std::string& address,
         const schema::InstanceQuery& query) {
  HttpCall call;
  call.m_method = "POST";
  call.m_url = "http://" + address + std::string(kNeighbourTarget);
  call.m_body = query.SerializeAsString();
  call.m_connect_timeout = kCallTime;
  call.m_timeout = kCallTime;
  auto body = std::make_shared<std::string>();
  HttpEvents events;
  events.m_on_body = [body](std::string_view bytes) { body->append(bytes); };
  events.m_on_end = [&state, body, address](const HttpResult& result) {
    schema::InstanceState other;
    constexpr int kOk = 200;
    if (result.m_error || result.m_status != kOk ||
        !other.ParseFromString(*body)) {
      LogLine("neighbour_failed")
          .Add("address", address)
          .Add("status", result.m_status)
          .Add("error", result.m_error ? result.m_error.message() : "none");
      return;
    }
    TakeAnswer(state, other);
  };
  ++state.m_counters.m_peer_queries;
  state.m_peers->Start(std::move(call), std::move(events));
}

// Addresses of the other instances.
std::vector<std::string> OtherAddresses(const ControlState& state) {
  std::vector<std::string> addresses;
  for (const auto& [name, known] : state.m_instances) {
    if (name == state.m_options.m_name || known.left()) continue;
    addresses.push_back(known.peers());
  }
  return addresses;
}

// State for the asker, with what it does not know yet.
schema::InstanceState MakeAnswer(const ControlState& state,
                                 const schema::InstanceQuery& query) {
  schema::InstanceState answer;
  answer.set_name(state.m_options.m_name);
  answer.set_incarnation(state.m_options.m_incarnation);
  answer.set_store_age_ms(StoreAgeMs(state));
  answer.set_catalog_offset(KnownOffset(state.m_follow_catalog));
  answer.set_endpoints_offset(KnownOffset(state.m_follow_endpoints));
  if (query.crashes_size() > 0) return answer;
  if (answer.catalog_offset() > query.catalog_offset() && state.m_catalog) {
    *answer.mutable_catalog() = *state.m_catalog;
  }
  if (answer.endpoints_offset() > query.endpoints_offset()) {
    *answer.mutable_endpoints() = ListEntries(state.m_directory);
  }
  return answer;
}

}  // namespace

void RegisterInstance(ControlState& state) {
  if (state.m_registered == !state.m_stopping || state.m_registering) return;
  state.m_registering = true;
  schema::InstanceRecord record;
  record.set_name(state.m_options.m_name);
  record.set_peers(state.m_options.m_peers);
  record.set_incarnation(state.m_options.m_incarnation);
  record.set_left(state.m_stopping);
  StreamAppend append;
  append.m_stream = Stream::kInstances;
  append.m_key = state.m_options.m_name;
  append.m_value = record.SerializeAsString();
  state.m_store->Append(
      append, [&state, left = state.m_stopping](const AppendResult& result) {
        state.m_registering = false;
        NoteStoreCall(state, result.m_fault, result.m_detail);
        if (result.m_fault == StoreFault::kNone) state.m_registered = !left;
      });
}

void QueryNeighbours(ControlState& state) {
  const Instant now = state.m_clock();
  if (now - state.m_store_answered < kAskAfter || now < state.m_next_query) {
    return;
  }
  const std::vector<std::string> addresses = OtherAddresses(state);
  if (addresses.empty()) return;
  state.m_next_query = now + kAskPeriod;
  schema::InstanceQuery query;
  query.set_name(state.m_options.m_name);
  query.set_catalog_offset(KnownOffset(state.m_follow_catalog));
  query.set_endpoints_offset(KnownOffset(state.m_follow_endpoints));
  if (!state.m_flush.m_sent.empty()) {
    schema::UsageHandover* usage = query.mutable_usage();
    usage->set_producer(UsageProducer(state));
    usage->set_epoch(kUsageEpoch);
    usage->set_sequence(state.m_flush.m_sequence);
    usage->set_record(state.m_flush.m_sent);
  }
  Ask(state, addresses[state.m_query_turn++ % addresses.size()], query);
}

void AnswerNeighbour(
    ControlState& state, const schema::InstanceQuery& query,
    const std::function<void(const schema::InstanceState&)>& respond) {
  for (const schema::CrashReport& crash : query.crashes()) {
    schema::RelayMessage message;
    *message.mutable_crash() = crash;
    state.m_relay->Post(std::move(message));
  }
  const schema::InstanceState answer = MakeAnswer(state, query);
  if (!query.has_usage()) {
    respond(answer);
    return;
  }
  StreamAppend append;
  append.m_stream = Stream::kUsage;
  append.m_value = query.usage().record();
  append.m_producer = query.usage().producer();
  append.m_epoch = query.usage().epoch();
  append.m_sequence = query.usage().sequence();
  state.m_store->Append(
      append, [&state, answer, respond, sequence = query.usage().sequence()](
                  const AppendResult& result) {
        NoteStoreCall(state, result.m_fault, result.m_detail);
        schema::InstanceState complete = answer;
        if (result.m_fault == StoreFault::kNone ||
            result.m_fault == StoreFault::kRepeated) {
          complete.set_usage_stored(sequence);
        }
        respond(complete);
      });
}

void SpreadCrash(ControlState& state, const schema::CrashReport& crash) {
  schema::InstanceQuery query;
  query.set_name(state.m_options.m_name);
  *query.add_crashes() = crash;
  for (const std::string& address : OtherAddresses(state)) {
    Ask(state, address, query);
  }
}

}  // namespace comfreypaddle
