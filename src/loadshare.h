#ifndef COMFREYPADDLE_LOADSHARE_H_
#define COMFREYPADDLE_LOADSHARE_H_

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace comfreypaddle {

// Each instance sees only its own requests at an endpoint. The followers in a
// zone send their load to the zone's reader, which sums it, exchanges the sum
// with the readers of the other zones and answers each follower with the load
// of all other instances.

// Load of an endpoint.
struct EndpointLoad {
  std::uint32_t m_running = 0;  // Requests in progress.
  double m_prefill_ms = 0;      // Prefill work of those without a first token.
};

// Load by the lower half of the hash of the endpoint id.
using LoadTable = std::map<std::uint32_t, EndpointLoad>;

struct ReceivedLoad {
  LoadTable m_load;
  Instant m_at{};
};

struct LoadShareState {
  std::map<std::string, ReceivedLoad, std::less<>> m_members;  // Of this zone.
  std::map<std::string, ReceivedLoad, std::less<>> m_zones;    // Other zones.
};

// Record the load of an instance of this zone, or the sum of another zone.
void SetMemberLoad(LoadShareState& state, const std::string& name,
                   LoadTable load, Instant now);
void SetZoneLoad(LoadShareState& state, const std::string& zone, LoadTable load,
                 Instant now);

// Sum over all instances of this zone. Outdated loads are left out.
LoadTable SumZoneLoad(const LoadShareState& state, Instant now);

// Sum over all instances of all zones except the named instance. Outdated loads
// are left out.
LoadTable SumOtherLoad(const LoadShareState& state, const std::string& name,
                       Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOADSHARE_H_
