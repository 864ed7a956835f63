#include "streamholders.h"

#include <xxhash.h>

#include <utility>

#include "instancecall.h"
#include "peersync.h"

namespace comfreypaddle {

namespace {

// The caller of a stream that is taken up waits for this.
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);

}  // namespace

HolderList ListHolders(const ControlState& state) {
  HolderList list;
  list.m_instances = ResponsiveInstances(state);
  list.m_candidates.reserve(list.m_instances.size());
  for (const UpstreamCandidate& instance : list.m_instances) {
    list.m_candidates.push_back(
        {XXH64(instance.m_name.data(), instance.m_name.size(), 0),
         instance.m_zone});
  }
  return list;
}

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

void SendStreamExchange(
    ControlState& state, const std::string& address,
    const schema::StreamExchange& exchange,
    std::function<void(const schema::StreamAnswer* answer)> done) {
  InstanceCall call;
  call.m_address = address;
  call.m_target = kStreamTarget;
  call.m_body = exchange.SerializeAsString();
  call.m_connection_timeout = kCallTimeout;
  call.m_call_timeout = kCallTimeout;
  CallInstance(state, call, "stream_exchange_failed",
               [done = std::move(done)](const std::string* body) {
                 schema::StreamAnswer answer;
                 const bool answered =
                     body != nullptr && answer.ParseFromString(*body);
                 done(answered ? &answer : nullptr);
               });
}

}  // namespace comfreypaddle
