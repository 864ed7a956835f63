#include "handover.h"

#include <algorithm>
#include <set>
#include <string>

#include "entryduties.h"
#include "eventlog.h"
#include "instancecall.h"
#include "servedinstances.h"
#include "storereader.h"

namespace comfreypaddle {

namespace {

// Timeouts of a handover. The append that it waits for may take one second.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);

// Returns the instance to hand over to, or null. The choice is by rendezvous
// hash, so that the handovers spread over the served instances.
const schema::InstanceRecord* ChooseReceiver(const ControlState& state) {
  const std::string& self = state.m_options.m_name;
  const std::set<std::string> served = ServedInstances(state);
  const auto best =
      std::min_element(served.begin(), served.end(),
                       [&self](const std::string& a, const std::string& b) {
                         return PeerRank(self, a) < PeerRank(self, b);
                       });
  return best == served.end() ? nullptr : &state.m_instances.at(*best);
}

schema::UsageHandover MakeHandover(const ControlState& state) {
  schema::UsageHandover usage;
  usage.set_producer(UsageProducer(state));
  usage.set_epoch(kUsageEpoch);
  usage.set_sequence(state.m_flush.m_sequence);
  usage.set_record(state.m_flush.m_pending_record);
  return usage;
}

void OnHandoverEnd(ControlState& state, const std::string& receiver,
                   const std::string* body) {
  state.m_handover_in_flight = false;
  schema::HandoverResult result;
  const bool answered = body != nullptr && result.ParseFromString(*body);
  if (body != nullptr && !answered) {
    LogLine("usage_handover_decode_failed").Add("instance", receiver);
  }
  if (!answered || result.sequence() == 0) {
    RemoveServed(state, receiver);
    return;
  }
  LogLine("usage_handed_over")
      .Add("instance", receiver)
      .Add("sequence", static_cast<std::int64_t>(result.sequence()));
  OnUsageStored(state, result.sequence());
}

}  // namespace

bool HasPendingUsage(const ControlState& state) {
  return !state.m_flush.m_pending_record.empty() &&
         (state.m_flush.m_append_failed || state.m_store_lost);
}

void HandOverUsage(ControlState& state) {
  if (state.m_handover_in_flight || !HasPendingUsage(state)) return;
  const schema::InstanceRecord* receiver = ChooseReceiver(state);
  if (receiver == nullptr) return;
  state.m_handover_in_flight = true;
  InstanceCall call;
  call.m_address = receiver->peers();
  call.m_target = kHandoverTarget;
  call.m_body = MakeHandover(state).SerializeAsString();
  call.m_connection_timeout = kConnectTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(*state.m_peers, call, "usage_handover_failed",
               [&state, name = receiver->name()](const std::string* body) {
                 OnHandoverEnd(state, name, body);
               });
}

void StoreHandover(ControlState& state, const schema::UsageHandover& usage,
                   const HandoverCallback& respond) {
  StreamAppend append;
  append.m_stream = Stream::kUsage;
  append.m_value = usage.record();
  append.m_producer = usage.producer();
  append.m_epoch = usage.epoch();
  append.m_sequence = usage.sequence();
  state.m_store->Append(append, [&state, sequence = usage.sequence(),
                                 respond](const AppendResult& result) {
    RecordStoreCall(state, result.m_fault, result.m_detail);
    schema::HandoverResult answer;
    // The store reports a sequence number that is not the next one as repeated:
    // the record has been stored before.
    if (result.m_fault == StoreFault::kNone ||
        result.m_fault == StoreFault::kRepeated) {
      answer.set_sequence(sequence);
    }
    respond(answer);
  });
}

}  // namespace comfreypaddle
