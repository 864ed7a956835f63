#ifndef COMFREYPADDLE_LOADSHARE_H_
#define COMFREYPADDLE_LOADSHARE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpointlimit.h"
#include "endpointspeed.h"
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
  // Newest statement of the endpoint on its limit that is to be told.
  std::optional<LimitStatement> m_limit;
  // Speed of the endpoint, if it is told with this load.
  std::optional<SpeedReport> m_speed;
};

// Load by the lower half of the hash of the endpoint id.
using LoadTable = std::map<std::uint32_t, EndpointLoad>;

// Speeds of endpoints by the lower half of the hash of the endpoint id.
using SpeedTable = std::map<std::uint32_t, SpeedReport>;

// Loads come with each message and speeds with a few of them.
struct ReceivedLoad {
  LoadTable m_load;
  Instant m_at{};
  SpeedTable m_speeds;
  Instant m_speeds_at{};
};

// When the speeds were last told to each instance of this zone and to each
// other zone.
struct SpeedTurns {
  std::map<std::string, Instant, std::less<>> m_members;
  std::map<std::string, Instant, std::less<>> m_zones;
};

// An endpoint has the KV cache of a shared prompt prefix.
struct PrefixUse {
  std::uint64_t m_prefix_hash = 0;
  std::uint32_t m_endpoint = 0;  // Lower half of the hash of its id.
};

// Who reported a use: an instance of this zone or the reader of another zone.
enum class UseOrigin { kMember, kZone };

template <>
struct EnumNames<UseOrigin> {
  static constexpr std::array<EnumName<UseOrigin>, 2> kTable{
      {{UseOrigin::kMember, "member"}, {UseOrigin::kZone, "zone"}}};
};

struct ReportedUse {
  PrefixUse m_use;
  UseOrigin m_origin = UseOrigin::kMember;
  std::string m_name;  // Of the instance or zone.
};

// Recent uses in the order of their arrival, and up to which of them each
// instance of this zone and each other zone has been told. Uses are hints: one
// that is lost costs a recomputed prefix at most.
struct UseLog {
  std::deque<ReportedUse> m_uses;
  std::uint64_t m_first = 0;  // Sequence number of the oldest use.
  std::map<std::string, std::uint64_t, std::less<>> m_member_positions;
  std::map<std::string, std::uint64_t, std::less<>> m_zone_positions;
};

struct LoadShareState {
  std::map<std::string, ReceivedLoad, std::less<>> m_members;  // Of this zone.
  std::map<std::string, ReceivedLoad, std::less<>> m_zones;    // Other zones.
  UseLog m_uses;
  SpeedTurns m_speed_turns;
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

// Add the speeds of endpoints that are to be told with the load to an instance
// of this zone or to another zone. Does nothing until they are due.
void AddSpeedsForMember(LoadShareState& state, const std::string& name,
                        Instant now, LoadTable* load);
void AddSpeedsForZone(LoadShareState& state, const std::string& zone,
                      Instant now, LoadTable* load);

// Adds uses that an instance of this zone or the reader of another zone
// reported.
void AddUses(UseLog& log, UseOrigin origin, const std::string& name,
             const std::vector<PrefixUse>& uses);

// Returns the uses that the instance of this zone was not told yet, without its
// own, and marks them as told. A message has room for a limited number; the
// newest are kept.
std::vector<PrefixUse> TakeUsesForMember(UseLog& log, const std::string& name);

// The same for another zone: the uses of this zone only.
std::vector<PrefixUse> TakeUsesForZone(UseLog& log, const std::string& zone);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_LOADSHARE_H_
