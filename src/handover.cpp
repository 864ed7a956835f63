#include "handover.h"

#include <algorithm>
#include <set>
#include <string>

#include "entryduties.h"
#include "eventlog.h"
#include "follow.h"
#include "instancecall.h"
#include "served.h"

namespace comfreypaddle {

namespace {

// Time limit of a handover: an append has one second.
constexpr Duration kCallTime = std::chrono::milliseconds(1200);
constexpr Duration kConnectTime = std::chrono::milliseconds(600);

// Returns the instance to hand over to, or null. Each instance takes another
// one first, so that not all hand over to the same.
const schema::InstanceRecord* ChooseHelper(const ControlState& state) {
  const std::string& self = state.m_options.m_name;
  const std::set<std::string> served = ServedInstances(state);
  const auto best =
      std::min_element(served.begin(), served.end(),
                       [&self](const std::string& a, const std::string& b) {
                         return OwnRank(self, a) < OwnRank(self, b);
                       });
  return best == served.end() ? nullptr : &state.m_instances.at(*best);
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
  state.m_handing_over = false;
  schema::HandoverResult result;
  const bool answered = body != nullptr && result.ParseFromString(*body);
  if (body != nullptr && !answered) {
    LogLine("usage_handover_unreadable").Add("instance", helper);
  }
  if (!answered || result.sequence() == 0) {
    ForgetServed(state, helper);
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

void HandOverUsage(ControlState& state) {
  if (state.m_handing_over || !UsageWaits(state)) return;
  const schema::InstanceRecord* helper = ChooseHelper(state);
  if (helper == nullptr) return;
  state.m_handing_over = true;
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
