#include "responsememory.h"

namespace comfreypaddle {

namespace {

// Maximum of the bytes held for all requests. The smallest machines have 160 MB
// of memory; a response is copied twice when it is passed to its caller.
constexpr std::size_t kMaxHeldBytes = 32U << 20U;

// Size from which a response is added up with the others. The usual ones are
// smaller, and adding up takes time that grows with the open requests.
constexpr std::size_t kMinCheckedBytes = 32U << 10U;

std::size_t UnsentBytes(const RelayState& state, const RelayCall& call) {
  return state.m_unsent_bytes ? state.m_unsent_bytes(call.m_id) : 0;
}

}  // namespace

std::size_t HeldBytes(const RelayState& state, const RelayCall& call) {
  const auto& other = call.m_hedge.m_other;
  std::size_t held_events = 0;
  for (const RawSseEvent& event : call.m_attempt.m_held_events) {
    held_events += event.m_bytes.size();
  }
  return held_events + call.m_attempt.m_body.capacity() +
         call.m_attempt.m_splitter.PartialBytes() +
         (other ? other->m_body.capacity() : 0) + UnsentBytes(state, call);
}

bool IsHeldForCaller(const RelayState& state, const RelayCall& call) {
  return 2 * UnsentBytes(state, call) > HeldBytes(state, call);
}

RelayCall* FindExcessCall(RelayState& state, const RelayCall& grown) {
  if (HeldBytes(state, grown) < kMinCheckedBytes) return nullptr;
  std::size_t total = 0;
  std::size_t largest_bytes = 0;
  RelayCall* largest = nullptr;
  for (const auto& [id, call] : state.m_calls) {
    const std::size_t bytes = HeldBytes(state, *call);
    total += bytes;
    if (bytes <= largest_bytes) continue;
    largest_bytes = bytes;
    largest = call.get();
  }
  return total > kMaxHeldBytes ? largest : nullptr;
}

}  // namespace comfreypaddle
