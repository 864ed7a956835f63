#ifndef COMFREYPADDLE_UPSTREAM_H_
#define COMFREYPADDLE_UPSTREAM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// In each availability zone one instance, the reader, reads the store and the
// others replicate its state, so that the load on the store grows with the
// number of zones and not with the number of instances. Each instance selects
// its upstream independently: the first live instance of the zone in name order
// that precedes it and is not in backoff. Without one it reads the store. Since
// an upstream always precedes its follower, the replication graph has no cycle.

struct UpstreamCandidate {
  std::string m_name;
  std::string m_zone;
  std::string m_address;  // IP:PORT for other instances.
};

// Backoff state of a candidate that did not answer.
struct UpstreamFailure {
  std::uint32_t m_failures = 0;  // Consecutive failures.
  Instant m_backoff_until{};
};

struct UpstreamState {
  std::string m_self;  // Only names before it are eligible; empty: all.
  std::string m_zone;
  UpstreamCandidate m_selected;  // An empty name: no upstream.
  std::map<std::string, UpstreamFailure, std::less<>> m_failures;
};

// Selects the upstream among the live instances. Returns whether it changed.
bool SelectUpstream(UpstreamState& state,
                    const std::vector<UpstreamCandidate>& live, Instant now);

bool HasUpstream(const UpstreamState& state);

// Whether any candidate is in backoff, which makes the current selection
// temporary.
bool HasUpstreamInBackoff(const UpstreamState& state, Instant now);

// Record whether the candidate answered. A failure starts a backoff that
// doubles with each further failure. A candidate that answers stays eligible
// while the store is unreachable for it.
void OnUpstreamSuccess(UpstreamState& state, const std::string& name);
void OnUpstreamFailure(UpstreamState& state, const std::string& name,
                       Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_UPSTREAM_H_
