#include "streamsync.h"

#include <xxhash.h>

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "eventlog.h"
#include "instancecall.h"
#include "peersync.h"

namespace comfreypaddle {

namespace {

// The caller of a stream that is taken up waits for this.
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);

// Time between questions for the versions that were listed lately.
constexpr Duration kVersionsInterval = std::chrono::seconds(1);

// Instances that may hold records, all that have not deregistered.
struct HolderList {
  std::vector<UpstreamCandidate> m_instances;
  std::vector<RecordHolder> m_candidates;  // In the same order.
};

HolderList ListHolders(const ControlState& state) {
  HolderList list;
  list.m_instances = LiveInstances(state);
  list.m_candidates.reserve(list.m_instances.size());
  for (const UpstreamCandidate& instance : list.m_instances) {
    list.m_candidates.push_back(
        {XXH64(instance.m_name.data(), instance.m_name.size(), 0),
         instance.m_zone});
  }
  return list;
}

// Addresses of the other instances that hold the record of a stream, and
// whether this one does.
struct Holders {
  std::vector<std::string> m_others;
  bool m_is_own = false;
};

Holders HoldersOf(const ControlState& state, const HolderList& list,
                  std::uint64_t attempt, std::size_t count) {
  Holders holders;
  for (const std::size_t index :
       ChooseHolders(list.m_candidates, attempt, count)) {
    const UpstreamCandidate& instance = list.m_instances[index];
    if (instance.m_name == state.m_options.m_name) {
      holders.m_is_own = true;
    } else {
      holders.m_others.push_back(instance.m_address);
    }
  }
  return holders;
}

void Store(ControlState& state, const schema::StreamBegin& begin) {
  const Instant now = state.m_clock();
  const Duration left = std::min(FromMs(begin.ends_in_ms()), kResumeWindow);
  const BegunStream stream{begin.service(), begin.version(), now + left,
                           begin.is_corrected()};
  if (!AddStream(state.m_streams.m_table, begin.attempt(), stream, now)) {
    LogLine("stream_table_full").Add("service", begin.service());
  }
}

void SendExchange(ControlState& state, const std::string& address,
                  const schema::StreamExchange& exchange,
                  std::function<void(const schema::StreamAnswer*)> done) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kStreamTarget;
  call.m_body = exchange.SerializeAsString();
  call.m_connection_timeout = kCallTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(*state.m_peers, call, "stream_exchange_failed",
               [done = std::move(done)](const std::string* body) {
                 schema::StreamAnswer answer;
                 const bool answered =
                     body != nullptr && answer.ParseFromString(*body);
                 done(answered ? &answer : nullptr);
               });
}

// What this instance knows of the stream.
schema::StreamAnswer LookUp(const ControlState& state,
                            const schema::StreamQuestion& question) {
  const Instant now = state.m_clock();
  schema::StreamAnswer answer;
  answer.set_is_answered(true);
  answer.set_is_mixed(
      IsMixed(state.m_streams.m_versions, question.service(), now));
  const BegunStream* known = FindStream(
      state.m_streams.m_table, question.attempt(), question.service(), now);
  if (known == nullptr) return answer;
  answer.set_version(known->m_version);
  answer.set_instance(state.m_options.m_name);
  return answer;
}

// Question to several instances.
struct OpenQuestion {
  schema::StreamAnswer m_answer;  // Of all that have answered so far.
  std::size_t m_open = 0;         // Calls without a result.
  bool m_is_told = false;         // The relay task has the result.
};

void TellRelay(ControlState& state, OpenQuestion& question) {
  if (question.m_is_told) return;
  if (question.m_open > 0 && !question.m_answer.has_version()) return;
  question.m_is_told = true;
  schema::RelayMessage message;
  *message.mutable_stream_version() = question.m_answer;
  state.m_relay->Post(std::move(message));
}

void AddAnswer(OpenQuestion& question, const schema::StreamAnswer& answer) {
  schema::StreamAnswer& all = question.m_answer;
  all.set_is_answered(all.is_answered() || answer.is_answered());
  all.set_is_mixed(all.is_mixed() || answer.is_mixed());
  if (!answer.has_version()) return;
  all.set_version(answer.version());
  all.set_instance(answer.instance());
}

// Sends the records to their holders, one call for each of these.
void SendRecords(ControlState& state, const schema::StreamBeginList& begun) {
  if (begun.streams().empty()) return;
  const HolderList list = ListHolders(state);
  std::map<std::string, schema::StreamExchange> by_address;
  for (const schema::StreamBegin& begin : begun.streams()) {
    const Holders holders =
        HoldersOf(state, list, begin.attempt(), kRecordHolders);
    if (holders.m_is_own) Store(state, begin);
    for (const std::string& address : holders.m_others) {
      *by_address[address].mutable_begun()->add_streams() = begin;
      ++state.m_counters.m_stream_records;
    }
  }
  state.m_counters.m_stream_messages += by_address.size();
  for (const auto& [address, exchange] : by_address) {
    SendExchange(state, address, exchange,
                 [](const schema::StreamAnswer* /*answer*/) {});
  }
}

void AddVersions(const ControlState& state, schema::StreamAnswer& answer) {
  const StreamRecords& records = state.m_streams;
  const Instant now = state.m_clock();
  for (const SeenVersion& seen : RecentVersions(records.m_versions, now)) {
    schema::VersionSeen* version = answer.add_versions();
    version->set_service(seen.m_service);
    version->set_version(seen.m_version);
    version->set_last_listed_ms(ToMs(now - seen.m_last_listed));
  }
  answer.set_has_all_versions(records.m_has_all_versions);
}

void TakeVersions(ControlState& state, const schema::StreamAnswer& answer) {
  StreamRecords& records = state.m_streams;
  const Instant now = state.m_clock();
  for (const schema::VersionSeen& seen : answer.versions()) {
    // Also drops an age that is no number.
    if (!(seen.last_listed_ms() >= 0 &&
          seen.last_listed_ms() < ToMs(kResumeWindow))) {
      continue;
    }
    AddSeenVersion(records.m_versions, {seen.service(), seen.version(),
                                        now - FromMs(seen.last_listed_ms())});
  }
  if (!answer.has_all_versions() || records.m_has_all_versions) return;
  records.m_has_all_versions = true;
  LogLine("listed_versions_learnt")
      .Add("versions", answer.versions_size())
      .Add("rounds", static_cast<std::int64_t>(records.m_versions_asked));
}

// Asks other instances for the versions that were listed before this one
// started, until one answers that knows all or all of them are too old.
void AskForVersions(ControlState& state) {
  StreamRecords& records = state.m_streams;
  const Instant now = state.m_clock();
  if (records.m_has_all_versions || !state.m_instances_cursor.m_initialized) {
    return;
  }
  if (!records.m_started) records.m_started = now;
  if (now - *records.m_started >= kResumeWindow) {
    records.m_has_all_versions = true;
    return;
  }
  if (now < records.m_versions_due) return;
  records.m_versions_due = now + kVersionsInterval;
  const std::string& name = state.m_options.m_name;
  // Other instances in each round, as the first ones may be gone.
  const std::uint64_t round =
      XXH64(name.data(), name.size(), ++records.m_versions_asked);
  const Holders asked =
      HoldersOf(state, ListHolders(state), round, kRecordHolders);
  schema::StreamExchange exchange;
  exchange.set_wants_versions(true);
  for (const std::string& address : asked.m_others) {
    SendExchange(state, address, exchange,
                 [&state](const schema::StreamAnswer* answer) {
                   if (answer != nullptr) TakeVersions(state, *answer);
                 });
  }
}

}  // namespace

void SendBegunStreams(ControlState& state,
                      const schema::StreamBeginList& begun) {
  const Instant now = state.m_clock();
  schema::StreamBeginList urgent;
  for (const schema::StreamBegin& begin : begun.streams()) {
    const bool is_mixed =
        IsMixed(state.m_streams.m_versions, begin.service(), now);
    schema::StreamBeginList& list =
        is_mixed ? urgent : state.m_streams.m_unsent;
    *list.add_streams() = begin;
  }
  SendRecords(state, urgent);
}

void SyncStreams(ControlState& state) {
  SendRecords(state, std::exchange(state.m_streams.m_unsent, {}));
  AskForVersions(state);
}

void AskForStream(ControlState& state, const schema::StreamQuestion& question) {
  const Holders holders =
      HoldersOf(state, ListHolders(state), question.attempt(), kAskedInstances);
  const auto open = std::make_shared<OpenQuestion>();
  open->m_answer.set_request(question.request());
  schema::StreamAnswer own = LookUp(state, question);
  // An instance that is cut off gets no records: what it does not know shows
  // nothing, unless there are no others.
  own.set_is_answered(holders.m_others.empty() &&
                      state.m_instances_cursor.m_initialized);
  AddAnswer(*open, own);
  if (!open->m_answer.has_version()) open->m_open = holders.m_others.size();
  TellRelay(state, *open);
  if (open->m_is_told) return;
  schema::StreamExchange exchange;
  exchange.mutable_question()->set_attempt(question.attempt());
  exchange.mutable_question()->set_service(question.service());
  for (const std::string& address : holders.m_others) {
    SendExchange(state, address, exchange,
                 [&state, open](const schema::StreamAnswer* answer) {
                   --open->m_open;
                   if (answer != nullptr) AddAnswer(*open, *answer);
                   TellRelay(state, *open);
                 });
  }
}

schema::StreamAnswer AnswerStreamExchange(ControlState& state,
                                          const schema::StreamExchange& call) {
  for (const schema::StreamBegin& begin : call.begun().streams()) {
    Store(state, begin);
  }
  schema::StreamAnswer answer;
  if (call.has_question()) answer = LookUp(state, call.question());
  if (call.wants_versions()) AddVersions(state, answer);
  return answer;
}

void UpdateListedVersions(ControlState& state) {
  std::set<ServiceVersion> listed;
  for (const auto& [id, known] : state.m_directory.m_endpoints) {
    listed.emplace(known.m_entry.service(), known.m_entry.version());
  }
  UpdateVersions(state.m_streams.m_versions, listed, state.m_clock());
}

}  // namespace comfreypaddle
