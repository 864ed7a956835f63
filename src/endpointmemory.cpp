#include "endpointmemory.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Part of the memory that all instances fill together.
constexpr double kSharedPart = 0.5;

// Tokens by which the request would raise what this instance holds.
double AddedTokens(const EndpointMemory& memory, const MemoryNeed& need) {
  const bool has_prefix = memory.m_prefixes.count(need.m_prefix_hash) > 0;
  return need.m_other_tokens + (has_prefix ? 0 : need.m_prefix_tokens);
}

}  // namespace

double OwnTokens(const EndpointMemory& memory) {
  double tokens = memory.m_other_tokens;
  for (const auto& [hash, prefix] : memory.m_prefixes) {
    tokens += prefix.m_tokens;
  }
  return tokens;
}

double HeldTokens(const EndpointMemory& memory) {
  return OwnTokens(memory) + memory.m_remote_tokens;
}

void HoldMemory(EndpointMemory& memory, const MemoryNeed& need) {
  memory.m_other_tokens += need.m_other_tokens;
  if (need.m_prefix_hash == 0) {
    memory.m_other_tokens += need.m_prefix_tokens;
    return;
  }
  HeldPrefix& prefix = memory.m_prefixes[need.m_prefix_hash];
  prefix.m_tokens = std::max(prefix.m_tokens, need.m_prefix_tokens);
  ++prefix.m_requests;
}

void ReleaseMemory(EndpointMemory& memory, const MemoryNeed& need) {
  double tokens = need.m_other_tokens;
  if (need.m_prefix_hash == 0) tokens += need.m_prefix_tokens;
  memory.m_other_tokens = std::max(0.0, memory.m_other_tokens - tokens);
  const auto prefix = memory.m_prefixes.find(need.m_prefix_hash);
  if (prefix == memory.m_prefixes.end()) return;
  if (--prefix->second.m_requests == 0) memory.m_prefixes.erase(prefix);
}

void SetRemoteMemory(EndpointMemory& memory, double tokens) {
  memory.m_remote_tokens = std::max(0.0, tokens);
}

bool HasMemoryFor(const EndpointMemory& memory, const MemoryNeed& need,
                  double capacity_tokens, bool is_owner) {
  if (capacity_tokens <= 0) return true;
  const double held = HeldTokens(memory);
  if (held + AddedTokens(memory, need) > capacity_tokens) return false;
  return is_owner || held <= capacity_tokens * kSharedPart;
}

}  // namespace comfreypaddle
