#ifndef COMFREYPADDLE_PLACEMENT_H_
#define COMFREYPADDLE_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Desired version of a model or adapter. A new version of a name replaces the
// old one.
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
  int m_running = 0;    // Running requests that use it.
};

struct PlacementEndpoint {
  std::string m_name;
  std::string m_zone;
  int m_slots = 1;  // Number of versions that fit into memory.
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

// One step of a plan. A route move has no endpoint. An unload drains first: the
// endpoint takes no new request for the version, and the weights are freed once
// no request uses them.
struct PlacementStep {
  PlacementStepKind m_kind = PlacementStepKind::kLoad;
  std::string m_endpoint;
  std::string m_name;
  std::string m_version;
};

// State of the planner. Reads from the weight store are limited by a token
// bucket.
struct PlacementPlanner {
  double m_store_gigabytes_per_s = 1.0;
  double m_store_burst_gigabytes = 20.0;
  double m_allowance_gigabytes = 20.0;
  Instant m_refilled{};
  // Version that the route uses, by name.
  std::map<std::string, std::string> m_routed;
};

// Plans the next steps towards the desired versions with the fewest loads:
// versions that are loaded or loading are kept. Loads start while the token
// bucket allows. The route of a name moves once the new version is ready on the
// desired number of endpoints, and the old version is unloaded only after that.
// If every slot is taken, the old version is unloaded from one endpoint at a
// time, and never from the last one where it is ready. Route moves and started
// loads are recorded as done.
std::vector<PlacementStep> PlanPlacement(
    PlacementPlanner& planner, const std::vector<WantedVersion>& wanted,
    std::vector<PlacementEndpoint> endpoints, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_PLACEMENT_H_
