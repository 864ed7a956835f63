#ifndef COMFREYPADDLE_LOADSHARE_H_
#define COMFREYPADDLE_LOADSHARE_H_

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace comfreypaddle {

// Each instance sees only its own requests at endpoints. The instances of a
// zone tell theirs to the one that they follow, which adds them up, exchanges
// the sum with the other zones and tells each instance the load of all others.

// Load of an endpoint.
struct EndpointLoad {
  std::uint32_t m_running = 0;  // Requests.
  double m_prefill_ms = 0;      // Work of those without a first token.
};

// Load by the lower half of the hash of the endpoint's id.
using LoadTable = std::map<std::uint32_t, EndpointLoad>;

struct HeardLoad {
  LoadTable m_load;
  Instant m_at{};
};

struct LoadShareState {
  std::map<std::string, HeardLoad, std::less<>> m_members;  // Of this zone.
  std::map<std::string, HeardLoad, std::less<>> m_zones;    // Other zones.
};

// Takes the load of an instance of this zone, or the sum of another zone.
void HearMember(LoadShareState& state, const std::string& name, LoadTable load,
                Instant now);
void HearZone(LoadShareState& state, const std::string& zone, LoadTable load,
              Instant now);

// Load of all instances of this zone. What is old is left out.
LoadTable SumOfZone(const LoadShareState& state, Instant now);

// Load of all instances of all zones but the named one.
LoadTable SumOfOthers(const LoadShareState& state, const std::string& name,
                      Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOADSHARE_H_
