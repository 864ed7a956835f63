#ifndef COMFREYPADDLE_UPSTREAM_H_
#define COMFREYPADDLE_UPSTREAM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// In each availability zone one instance reads the store and the others follow
// it, so that the calls to the store grow with the zones and not with the
// instances. Every instance chooses by itself: it follows the first one, by
// name, that it has not found failing, and reads the store if that is itself.
// An instance only follows those before it in the order, so no two instances
// ever follow each other.

struct UpstreamCandidate {
  std::string m_name;
  std::string m_zone;
  std::string m_address;  // IP:PORT for other instances.
};

// A candidate that did not answer.
struct UpstreamFailure {
  std::uint32_t m_failures = 0;  // In a row.
  Instant m_avoid_until{};
};

struct UpstreamState {
  std::string m_self;  // Only those before it are chosen; empty: any.
  std::string m_zone;
  UpstreamCandidate m_chosen;  // Without a name: this instance reads the store.
  std::map<std::string, UpstreamFailure, std::less<>> m_failures;
};

// Chooses whom to follow among the live instances. Returns whether the choice
// changed.
bool ChooseUpstream(UpstreamState& state,
                    const std::vector<UpstreamCandidate>& live, Instant now);

bool HasUpstream(const UpstreamState& state);

// Whether an instance is avoided now, so that this one reads the store, or
// follows another one, only for the time being.
bool AvoidsUpstream(const UpstreamState& state, Instant now);

// Notes whether the candidate answered. One that did not is avoided for a time
// that doubles with each further failure. One that answers is followed also
// while it has lost the store.
void OnUpstreamAnswered(UpstreamState& state, const std::string& name);
void OnUpstreamFailed(UpstreamState& state, const std::string& name,
                      Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_UPSTREAM_H_
