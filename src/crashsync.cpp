#include "crashsync.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "crashcodec.h"
#include "eventlog.h"
#include "instancecall.h"
#include "memberwatch.h"
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

// Crashes of suspects in one message, those with the most evidence first: 140
// KB at most. An instance that has just started learns all of them by one
// exchange.
constexpr std::size_t kMaxSentCrashes = 16384;

using ExchangeCallback =
    std::function<void(const schema::SuspectExchange* answer)>;

// Other instances that are worth a call.
std::vector<UpstreamCandidate> OtherInstances(const ControlState& state) {
  std::vector<UpstreamCandidate> others = ResponsiveInstances(state);
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

schema::SuspectList EncodeTable(const ControlState& state) {
  std::vector<CrashEntry> crashes = ListCrashes(state.m_suspects.m_table);
  if (crashes.size() > kMaxSentCrashes) crashes.resize(kMaxSentCrashes);
  return EncodeCrashes(crashes, state.m_clock());
}

// Merges the crashes. Returns those that changed.
std::vector<CrashEntry> Merge(ControlState& state,
                              const schema::SuspectList& list) {
  std::vector<CrashEntry> changed;
  for (const CrashEntry& crash : DecodeCrashes(list, state.m_clock())) {
    if (MergeCrash(state.m_suspects.m_table, crash)) changed.push_back(crash);
  }
  return changed;
}

// Merges what another instance sent, and tells the relay task.
void MergeFromPeer(ControlState& state, const schema::SuspectList& list) {
  const std::vector<CrashEntry> changed = Merge(state, list);
  if (changed.empty()) return;
  schema::RelayMessage message;
  *message.mutable_suspects() = EncodeCrashes(changed, state.m_clock());
  state.m_relay->Post(std::move(message));
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
  CallInstance(state, call, "suspect_exchange_failed",
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
  *exchange.mutable_suspects() =
      EncodeCrashes(std::exchange(sync.m_unsent, {}), state.m_clock());
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
  *exchange.mutable_suspects() = EncodeTable(state);
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

void LearnCrashes(ControlState& state, const std::vector<CrashEntry>& crashes) {
  const schema::SuspectList list = EncodeCrashes(crashes, state.m_clock());
  AddSuspects(state, list);
  if (crashes.empty()) return;
  schema::RelayMessage message;
  *message.mutable_suspects() = list;
  state.m_relay->Post(std::move(message));
}

void AddSuspects(ControlState& state, const schema::SuspectList& changed) {
  std::vector<CrashEntry>& unsent = state.m_suspects.m_unsent;
  for (const CrashEntry& crash : Merge(state, changed)) {
    if (unsent.size() < kMaxSentCrashes) unsent.push_back(crash);
  }
  PushChanges(state);
}

void SyncSuspects(ControlState& state) {
  PushChanges(state);
  CompareTables(state);
}

schema::SuspectExchange AnswerSuspects(ControlState& state,
                                       const schema::SuspectExchange& call) {
  HeardFrom(state, call.name());
  MergeFromPeer(state, call.suspects());
  schema::SuspectExchange answer = MakeExchange(state);
  if (call.wants_table() && call.digest() != answer.digest()) {
    *answer.mutable_suspects() = EncodeTable(state);
  }
  return answer;
}

}  // namespace comfreypaddle
