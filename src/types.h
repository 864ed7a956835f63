#ifndef COMFREYPADDLE_TYPES_H_
#define COMFREYPADDLE_TYPES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypaddle {

// Duration in microseconds, the resolution of all decisions.
using Duration = std::chrono::microseconds;

// Time point of the monotonic clock of this process. Decision functions take
// the current time as an argument and never read a clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr double kMsPerSecond = 1000;

// Converts a duration to and from milliseconds, the unit used in messages.
constexpr double ToMs(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

constexpr Duration FromMs(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

// Position of a record in the log: offset * kRecordsPerOffset + index of the
// record within its batch. Zero stands for no record.
using Position = std::uint64_t;

inline constexpr Position kRecordsPerOffset = 4096;

// Returns the position of the record with this index in the batch at the
// given log offset. The index must be below kRecordsPerOffset.
constexpr Position MakePosition(std::uint64_t offset, std::uint32_t index) {
  return offset * kRecordsPerOffset + index;
}

// Whether a request was executed by an endpoint. kNotRun is used only if no
// byte of the request can have reached an endpoint, or if the endpoint
// reported that it did not execute the request.
enum class Outcome { kNotRun, kRan, kUnknown };

enum class EndpointClass { kOnDemand, kCheap };

enum class EndpointRole { kMixed, kPrefill, kDecode };

enum class EndpointPhase { kOrdered, kStarting, kReady, kDraining, kGone };

enum class FleetKind { kEngine, kService };

enum class Priority { kBatch, kNormal, kUrgent };

enum class ResourceKind {
  kWorkspace,
  kKey,
  kModel,
  kAdapter,
  kRoute,
  kFleet,
  kEndpoint
};

enum class OrderKind { kLoadModel, kLoadAdapter, kSetRole, kDrain, kStop };

enum class OrderState { kRunning, kDone, kRefused, kFailed, kUnknown };

// Entry of a name table: a value and its name in JSON, INI and log lines.
template <typename E>
struct EnumName {
  E m_value;
  std::string_view m_name;
};

// Name table of an enumeration, specialized below for each enumeration.
template <typename E>
struct EnumNames;

template <>
struct EnumNames<Outcome> {
  static constexpr std::array<EnumName<Outcome>, 3> kTable{
      {{Outcome::kNotRun, "not_run"},
       {Outcome::kRan, "ran"},
       {Outcome::kUnknown, "unknown"}}};
};

template <>
struct EnumNames<EndpointClass> {
  static constexpr std::array<EnumName<EndpointClass>, 2> kTable{
      {{EndpointClass::kOnDemand, "on_demand"},
       {EndpointClass::kCheap, "cheap"}}};
};

template <>
struct EnumNames<EndpointRole> {
  static constexpr std::array<EnumName<EndpointRole>, 3> kTable{
      {{EndpointRole::kMixed, "mixed"},
       {EndpointRole::kPrefill, "prefill"},
       {EndpointRole::kDecode, "decode"}}};
};

template <>
struct EnumNames<EndpointPhase> {
  static constexpr std::array<EnumName<EndpointPhase>, 5> kTable{
      {{EndpointPhase::kOrdered, "ordered"},
       {EndpointPhase::kStarting, "starting"},
       {EndpointPhase::kReady, "ready"},
       {EndpointPhase::kDraining, "draining"},
       {EndpointPhase::kGone, "gone"}}};
};

template <>
struct EnumNames<FleetKind> {
  static constexpr std::array<EnumName<FleetKind>, 2> kTable{
      {{FleetKind::kEngine, "engine"}, {FleetKind::kService, "service"}}};
};

template <>
struct EnumNames<Priority> {
  static constexpr std::array<EnumName<Priority>, 3> kTable{
      {{Priority::kBatch, "batch"},
       {Priority::kNormal, "normal"},
       {Priority::kUrgent, "urgent"}}};
};

template <>
struct EnumNames<ResourceKind> {
  static constexpr std::array<EnumName<ResourceKind>, 7> kTable{
      {{ResourceKind::kWorkspace, "workspace"},
       {ResourceKind::kKey, "key"},
       {ResourceKind::kModel, "model"},
       {ResourceKind::kAdapter, "adapter"},
       {ResourceKind::kRoute, "route"},
       {ResourceKind::kFleet, "fleet"},
       {ResourceKind::kEndpoint, "endpoint"}}};
};

template <>
struct EnumNames<OrderKind> {
  static constexpr std::array<EnumName<OrderKind>, 5> kTable{
      {{OrderKind::kLoadModel, "load_model"},
       {OrderKind::kLoadAdapter, "load_adapter"},
       {OrderKind::kSetRole, "set_role"},
       {OrderKind::kDrain, "drain"},
       {OrderKind::kStop, "stop"}}};
};

template <>
struct EnumNames<OrderState> {
  static constexpr std::array<EnumName<OrderState>, 5> kTable{
      {{OrderState::kRunning, "running"},
       {OrderState::kDone, "done"},
       {OrderState::kRefused, "refused"},
       {OrderState::kFailed, "failed"},
       {OrderState::kUnknown, "unknown"}}};
};

// Returns the name of a value, or "invalid" for a value outside the table.
template <typename E>
constexpr std::string_view ToName(E value) {
  for (const EnumName<E>& row : EnumNames<E>::kTable) {
    if (row.m_value == value) return row.m_name;
  }
  return "invalid";
}

// Returns the value with this name, or nullopt if the name is unknown.
template <typename E>
constexpr std::optional<E> FromName(std::string_view name) {
  for (const EnumName<E>& row : EnumNames<E>::kTable) {
    if (row.m_name == name) return row.m_value;
  }
  return std::nullopt;
}

// Customer (tenant) of the deployment.
struct Workspace {
  std::string m_name;
  double m_weight = 1.0;
  std::uint32_t m_queue_requests = 0;  // Zero: default of the instance.
};

// API key of a caller. Only the hex SHA-256 of its secret is stored.
struct Key {
  std::string m_name;
  std::string m_workspace;
  std::string m_secret_sha256;
};

struct Model {
  std::string m_name;
  std::string m_version;
  std::string m_weights;
  std::uint32_t m_kv_bytes_per_token = 0;
};

struct Adapter {
  std::string m_name;
  std::string m_model;
  std::string m_version;
  std::string m_weights;
};

// Maps a model name or a path prefix to a fleet.
struct Route {
  std::string m_name;
  std::string m_model;        // Empty for plain services.
  std::string m_path_prefix;  // Empty for models.
  std::string m_fleet;
  bool m_open = false;
  bool m_repeatable = false;
  std::vector<std::string> m_workspaces;  // All workspaces when empty.
  Duration m_deadline{0};                 // Zero: default deadline.
  Priority m_priority = Priority::kNormal;
  std::string m_adapter;
};

struct Fleet {
  std::string m_name;
  FleetKind m_kind = FleetKind::kEngine;
  std::string m_model;
  std::uint32_t m_replicas = 0;
  double m_cheap_share = 0.0;
  std::vector<std::string> m_zones;
  std::uint32_t m_concurrency = 0;
  double m_prefill_share = -1.0;  // Negative: chosen by the planner.
  // Throughput of one replica. Zero: unknown, which disables planning.
  double m_prefill_tokens_per_s = 0.0;
  double m_decode_tokens_per_s = 0.0;
  std::uint32_t m_min_replicas = 0;  // Zero: same as m_replicas.
};

// Replica of a model engine or of a plain service.
struct Endpoint {
  std::string m_name;
  std::string m_fleet;
  std::string m_availability_zone;
  std::string m_region;
  std::string m_address;  // IP:PORT.
  EndpointClass m_class = EndpointClass::kOnDemand;
  bool m_checks_fencing = false;
  EndpointRole m_role = EndpointRole::kMixed;
  bool m_draining = false;
  bool m_provided = false;  // Created or adopted through the platform.
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TYPES_H_
