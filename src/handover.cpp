#include "handover.h"

#include <xxhash.h>

#include "eventlog.h"
#include "follow.h"
#include "instancecall.h"
#include "reporter.h"

namespace comfreypaddle {

namespace {

// Time limit of a handover: an append has one second.
constexpr Duration kCallTime = std::chrono::milliseconds(1200);
constexpr Duration kConnectTime = std::chrono::milliseconds(600);

// Time since the store answered an instance after which it is not asked.
constexpr Duration kServedAge = std::chrono::milliseconds(3000);

// Instances that are told to another one.
constexpr int kMaxTold = 4;

// Each instance ranks the others in an order of its own, so that not all hand
// over to the same one.
std::uint64_t RankOf(const ControlState& state, const std::string& name) {
  const std::string pair = state.m_options.m_name + "/" + name;
  return XXH64(pair.data(), pair.size(), 0);
}

// Returns the instance to hand over to, or null.
const schema::InstanceRecord* ChooseHelper(ControlState& state) {
  const Instant now = state.m_clock();
  const schema::InstanceRecord* best = nullptr;
  for (auto at = state.m_handover.m_served.begin();
       at != state.m_handover.m_served.end();) {
    if (now - at->second > kServedAge) {
      at = state.m_handover.m_served.erase(at);
      continue;
    }
    const auto found = state.m_instances.find(at->first);
    ++at;
    if (found == state.m_instances.end() || found->second.left()) continue;
    const schema::InstanceRecord& candidate = found->second;
    if (best == nullptr ||
        RankOf(state, candidate.name()) < RankOf(state, best->name())) {
      best = &candidate;
    }
  }
  return best;
}

schema::UsageHandover MakeHandover(const ControlState& state) {
  schema::UsageHandover usage;
  usage.set_producer(UsageProducer(state));
  usage.set_epoch(kUsageEpoch);
  usage.set_sequence(state.m_flush.m_sequence);
  usage.set_record(state.m_flush.m_sent);
  return usage;
}

void OnHandedOver(ControlState& state, const std::string& helper,
                  const std::string* body) {
  state.m_handover.m_busy = false;
  schema::HandoverResult result;
  const bool answered = body != nullptr && result.ParseFromString(*body);
  if (body != nullptr && !answered) {
    LogLine("usage_handover_unreadable").Add("instance", helper);
  }
  if (!answered || result.sequence() == 0) {
    state.m_handover.m_served.erase(helper);
    return;
  }
  LogLine("usage_handed_over")
      .Add("instance", helper)
      .Add("sequence", static_cast<std::int64_t>(result.sequence()));
  OnUsageStored(state, result.sequence());
}

}  // namespace

bool UsageWaits(const ControlState& state) {
  return !state.m_flush.m_sent.empty() &&
         (state.m_flush.m_failed || state.m_store_lost);
}

void NoteServed(ControlState& state, const schema::InstanceState& other) {
  const Instant now = state.m_clock();
  for (const schema::ServedInstance& told : other.served()) {
    if (told.name() == state.m_options.m_name) continue;
    Instant& at = state.m_handover.m_served[told.name()];
    at = std::max(at, now - FromMs(told.age_ms()));
  }
}

void AddServed(const ControlState& state, schema::InstanceState* answer) {
  const Instant now = state.m_clock();
  const auto add = [now, answer](const std::string& name, Instant at) {
    if (now - at > kServedAge || answer->served_size() >= kMaxTold) return;
    schema::ServedInstance* served = answer->add_served();
    served->set_name(name);
    served->set_age_ms(ToMs(now - at));
  };
  add(state.m_options.m_name, state.m_store_answered);
  for (const auto& [name, at] : state.m_handover.m_served) add(name, at);
}

void HandOverUsage(ControlState& state) {
  if (state.m_handover.m_busy || !UsageWaits(state)) return;
  const schema::InstanceRecord* helper = ChooseHelper(state);
  if (helper == nullptr) return;
  state.m_handover.m_busy = true;
  InstanceCall call;
  call.m_address = helper->peers();
  call.m_target = kHandoverTarget;
  call.m_body = MakeHandover(state).SerializeAsString();
  call.m_connect_time = kConnectTime;
  call.m_time = kCallTime;
  CallInstance(*state.m_peers, call, "usage_handover_failed",
               [&state, name = helper->name()](const std::string* body) {
                 OnHandedOver(state, name, body);
               });
}

void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   const HandoverAnswer& respond) {
  StreamAppend append;
  append.m_stream = Stream::kUsage;
  append.m_value = usage.record();
  append.m_producer = usage.producer();
  append.m_epoch = usage.epoch();
  append.m_sequence = usage.sequence();
  state.m_store->Append(append, [&state, sequence = usage.sequence(),
                                 respond](const AppendResult& result) {
    NoteStoreCall(state, result.m_fault, result.m_detail);
    schema::HandoverResult answer;
    // A number that does not follow has been carried out before.
    if (result.m_fault == StoreFault::kNone ||
        result.m_fault == StoreFault::kRepeated) {
      answer.set_sequence(sequence);
    }
    respond(answer);
  });
}

}  // namespace comfreypaddle
