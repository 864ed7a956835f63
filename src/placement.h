#ifndef COMFREYPADDLE_PLACEMENT_H_
#define COMFREYPADDLE_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Version of a model or adapter that should serve. Versions of one name
// replace each other.
struct WantedVersion {
  std::string m_name;
  std::string m_version;
  int m_replicas = 1;
  double m_gigabytes = 1.0;
};

struct HeldVersion {
  std::string m_name;
  std::string m_version;
  bool m_ready = true;  // False while the weights load.
  int m_running = 0;    // Requests that use it now.
};

struct PlacementEndpoint {
  std::string m_name;
  std::string m_zone;
  int m_slots = 1;  // Versions that fit into memory.
  bool m_usable = true;
  std::vector<HeldVersion> m_held;
};

enum class PlacementStepKind { kLoad, kMoveRoute, kUnload };

template <>
struct EnumNames<PlacementStepKind> {
  static constexpr std::array<EnumName<PlacementStepKind>, 3> kTable{
      {{PlacementStepKind::kLoad, "load"},
       {PlacementStepKind::kMoveRoute, "move_route"},
       {PlacementStepKind::kUnload, "unload"}}};
};

// One step of a plan. A route move names no endpoint. An unload is carried out
// by draining: the endpoint takes no new request of the version and the
// weights leave once nothing runs on them.
struct PlacementStep {
  PlacementStepKind m_kind = PlacementStepKind::kLoad;
  std::string m_endpoint;
  std::string m_name;
  std::string m_version;
};

// State of the planner. The store's allowance is a token bucket.
struct PlacementPlanner {
  double m_store_gigabytes_per_s = 1.0;
  double m_store_burst_gigabytes = 20.0;
  double m_allowance_gigabytes = 20.0;
  Instant m_refilled{};
  std::map<std::string, std::string> m_routed;  // Version in use by name.
};

// Plans the next steps towards the wanted versions with the fewest loads: what
// is held or loading is kept. Loads start while the store's allowance lasts.
// The route of a name moves once the wanted version is ready on the wanted
// number of endpoints; the old version is unloaded only after that. If every
// slot is taken, one endpoint at a time gives up the old version, and never
// the last ready one. Route moves and started loads count as made.
std::vector<PlacementStep> PlanPlacement(
    PlacementPlanner& planner, const std::vector<WantedVersion>& wanted,
    std::vector<PlacementEndpoint> endpoints, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PLACEMENT_H_
