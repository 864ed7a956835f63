#include "crashsync.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "crashcodec.h"
#include "eventlog.h"
#include "instancecall.h"
#include "peersync.h"

namespace comfreypaddle {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(600);

// Shortest interval between two pushes. Changes meanwhile go out together.
constexpr Duration kPushInterval = std::chrono::milliseconds(50);

// Interval between two comparisons, and the delay after one that failed. A
// started or reconnected instance must know all within seconds.
constexpr Duration kCompareInterval = std::chrono::milliseconds(1000);
constexpr Duration kCompareRetryDelay = std::chrono::milliseconds(100);

// Suspects in one message, those with the newest crashes first: 100 KB at most.
constexpr std::size_t kMaxSentSuspects = 256;

using ExchangeCallback =
    std::function<void(const schema::SuspectExchange* answer)>;

// Other live instances.
std::vector<UpstreamCandidate> OtherInstances(const ControlState& state) {
  std::vector<UpstreamCandidate> others = LiveInstances(state);
  std::erase_if(others, [&state](const UpstreamCandidate& candidate) {
    return candidate.m_name == state.m_options.m_name;
  });
  return others;
}

schema::SuspectExchange MakeExchange(const ControlState& state) {
  schema::SuspectExchange exchange;
  exchange.set_name(state.m_options.m_name);
  exchange.set_digest(DigestOf(state.m_suspects.m_table));
  return exchange;
}

void AddSuspect(const ControlState& state, const SuspectKey& key,
                schema::SuspectList* list) {
  const auto found = state.m_suspects.m_table.m_rows.find(key);
  if (found == state.m_suspects.m_table.m_rows.end()) return;
  AppendSuspect(key, found->second, state.m_clock(), list);
}

void AddTable(const ControlState& state, schema::SuspectList* list) {
  std::vector<std::pair<Instant, SuspectKey>> newest;
  for (const auto& [key, row] : state.m_suspects.m_table.m_rows) {
    newest.emplace_back(NewestCrash(row), key);
  }
  std::sort(newest.rbegin(), newest.rend());
  if (newest.size() > kMaxSentSuspects) newest.resize(kMaxSentSuspects);
  for (const auto& [at, key] : newest) AddSuspect(state, key, list);
}

// Merges the suspects. Returns the keys of those that changed.
std::vector<SuspectKey> Merge(ControlState& state,
                              const schema::SuspectList& list) {
  std::vector<SuspectKey> changed;
  for (const schema::Suspect& suspect : list.suspects()) {
    const SuspectKey key = DecodeSuspectKey(suspect);
    const SuspectRow row = DecodeSuspectRow(suspect, state.m_clock());
    if (MergeSuspect(state.m_suspects.m_table, key, row)) {
      changed.push_back(key);
    }
  }
  return changed;
}

// Merges what another instance sent, and tells the relay task.
void MergeFromPeer(ControlState& state, const schema::SuspectList& list) {
  schema::RelayMessage message;
  for (const SuspectKey& key : Merge(state, list)) {
    AddSuspect(state, key, message.mutable_suspects());
  }
  if (message.has_suspects()) state.m_relay->Post(std::move(message));
}

void SendExchange(ControlState& state, const std::string& address,
                  const schema::SuspectExchange& exchange,
                  ExchangeCallback done) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kSuspectTarget;
  call.m_body = exchange.SerializeAsString();
  call.m_connection_timeout = kCallTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(*state.m_peers, call, "suspect_exchange_failed",
               [address, done = std::move(done)](const std::string* body) {
                 schema::SuspectExchange answer;
                 const bool answered =
                     body != nullptr && answer.ParseFromString(*body);
                 if (body != nullptr && !answered) {
                   LogLine("suspect_decode_failed").Add("address", address);
                 }
                 done(answered ? &answer : nullptr);
               });
}

void PushChanges(ControlState& state) {
  SuspectSync& sync = state.m_suspects;
  if (sync.m_unsent.empty() || state.m_clock() < sync.m_push_due) return;
  sync.m_push_due = state.m_clock() + kPushInterval;
  schema::SuspectExchange exchange = MakeExchange(state);
  for (const SuspectKey& key : std::exchange(sync.m_unsent, {})) {
    AddSuspect(state, key, exchange.mutable_suspects());
  }
  for (const UpstreamCandidate& peer : OtherInstances(state)) {
    SendExchange(state, peer.m_address, exchange,
                 [](const schema::SuspectExchange* /*answer*/) {});
  }
}

void OnCompared(ControlState& state, const std::string& address,
                const schema::SuspectExchange* answer) {
  SuspectSync& sync = state.m_suspects;
  sync.m_comparing = false;
  sync.m_compare_due =
      state.m_clock() +
      (answer != nullptr ? kCompareInterval : kCompareRetryDelay);
  if (answer == nullptr) return;
  MergeFromPeer(state, answer->suspects());
  schema::SuspectExchange exchange = MakeExchange(state);
  if (exchange.digest() == answer->digest()) return;
  AddTable(state, exchange.mutable_suspects());
  SendExchange(state, address, exchange,
               [](const schema::SuspectExchange* /*answer*/) {});
}

// Compares the table with that of another instance. The order of the instances
// is pseudo-random and differs between instances.
void CompareTables(ControlState& state) {
  SuspectSync& sync = state.m_suspects;
  if (sync.m_comparing || state.m_clock() < sync.m_compare_due) return;
  ExpireCrashes(sync.m_table, state.m_clock());
  const std::vector<UpstreamCandidate> others = OtherInstances(state);
  if (others.empty()) return;
  const std::string& name = state.m_options.m_name;
  const std::uint64_t pick =
      XXH64(name.data(), name.size(), ++sync.m_comparisons);
  const std::string address = others[pick % others.size()].m_address;
  sync.m_comparing = true;
  schema::SuspectExchange exchange = MakeExchange(state);
  exchange.set_wants_table(true);
  SendExchange(state, address, exchange,
               [&state, address](const schema::SuspectExchange* answer) {
                 OnCompared(state, address, answer);
               });
}

}  // namespace

void AddSuspects(ControlState& state, const schema::SuspectList& changed) {
  for (const SuspectKey& key : Merge(state, changed)) {
    state.m_suspects.m_unsent.insert(key);
  }
  PushChanges(state);
}

void SyncSuspects(ControlState& state) {
  PushChanges(state);
  CompareTables(state);
}

schema::SuspectExchange AnswerSuspects(ControlState& state,
                                       const schema::SuspectExchange& call) {
  MergeFromPeer(state, call.suspects());
  schema::SuspectExchange answer = MakeExchange(state);
  if (call.wants_table() && call.digest() != answer.digest()) {
    AddTable(state, answer.mutable_suspects());
  }
  return answer;
}

}  // namespace comfreypaddle
