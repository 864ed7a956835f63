#ifndef COMFREYPADDLE_ENDPOINTMEMORY_H_
#define COMFREYPADDLE_ENDPOINTMEMORY_H_

#include <cstdint>
#include <map>

namespace comfreypaddle {

// Memory of an engine that running requests hold, in tokens of KV cache. An
// engine whose requests need more than it has preempts some, or crashes, so
// that none is given more than fits. Cached parts that no request uses yield
// and do not count.
//
// Each instance counts its own requests and is told the sum of the others. A
// sum is some 0.1 s old, in which several instances may send at once. So any
// instance may add a request while at most half of the memory is held, and what
// is sent at the same moment fits into the other half. Beyond that only one
// instance, the owner of the endpoint by rendezvous hashing, may add requests.

// Memory that a request needs. Requests with the same shared prefix hold it
// once.
struct MemoryNeed {
  std::uint64_t m_prefix_hash = 0;  // Zero if there is no shared prefix.
  double m_prefix_tokens = 0;
  double m_other_tokens = 0;  // Rest of the prompt, and output to come.
};

// Shared prefix of running requests.
struct HeldPrefix {
  double m_tokens = 0;
  std::uint32_t m_requests = 0;
};

// What the requests of all instances hold at one endpoint.
struct EndpointMemory {
  std::map<std::uint64_t, HeldPrefix> m_prefixes;  // Of own requests.
  double m_other_tokens = 0;                       // Of own requests.
  double m_remote_tokens = 0;  // Of the other instances, as last told.
};

// Tokens that the requests of this instance hold.
double OwnTokens(const EndpointMemory& memory);

// Tokens that the requests of all instances hold. The last sum of the others
// counts on while none arrives.
double HeldTokens(const EndpointMemory& memory);

// Count a request that is about to be sent, and one that has ended.
void HoldMemory(EndpointMemory& memory, const MemoryNeed& need);
void ReleaseMemory(EndpointMemory& memory, const MemoryNeed& need);

// Records the sum of the other instances.
void SetRemoteMemory(EndpointMemory& memory, double tokens);

// Whether a request may be added at an endpoint with room for so many tokens;
// zero or less: not known, and any may. `is_owner` says whether this instance
// is the one that may fill the second half.
bool HasMemoryFor(const EndpointMemory& memory, const MemoryNeed& need,
                  double capacity_tokens, bool is_owner);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTMEMORY_H_
