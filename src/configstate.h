#ifndef COMFREYPADDLE_CONFIGSTATE_H_
#define COMFREYPADDLE_CONFIGSTATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "record.h"

namespace comfreypaddle {

// Why a configuration write is invalid.
enum class ConfigError {
  kNone,
  kBadName,
  kKindMismatch,  // Kind or name of the resource differs from the write's.
  kTokenReused,   // The token was used for a write to something else.
  kMissingToken,
  kUnknownWorkspace,
  kUnknownModel,
  kUnknownAdapter,
  kUnknownFleet,
  kBadSecretHash,  // Not 64 lower-case hexadecimal digits.
  kSecretInUse,    // Another key has the same secret.
  kModelOrPath,    // A route needs either a model or a path prefix.
  kBadPathPrefix,
  kModelInUse,       // Another route has the same model.
  kPathPrefixInUse,  // Another route has the same path prefix.
  kWrongFleetKind,   // Models need an engine fleet, paths a service fleet.
  kFixedField,       // The field cannot change while the resource exists.
  kBadAddress,       // Not an IP address with a port.
  // Another endpoint has this address and would receive the orders for it.
  kAddressInUse,
  kBadZone,
  kBadNumber,   // A number is outside its range.
  kReferenced,  // Another resource refers to the one to be deleted.
  kOrderOpen,   // The endpoint has an open order.
};

template <>
struct EnumNames<ConfigError> {
  static constexpr std::array<EnumName<ConfigError>, 23> kTable{
      {{ConfigError::kNone, "none"},
       {ConfigError::kBadName, "bad_name"},
       {ConfigError::kKindMismatch, "kind_mismatch"},
       {ConfigError::kTokenReused, "token_reused"},
       {ConfigError::kMissingToken, "missing_token"},
       {ConfigError::kUnknownWorkspace, "unknown_workspace"},
       {ConfigError::kUnknownModel, "unknown_model"},
       {ConfigError::kUnknownAdapter, "unknown_adapter"},
       {ConfigError::kUnknownFleet, "unknown_fleet"},
       {ConfigError::kBadSecretHash, "bad_secret_hash"},
       {ConfigError::kSecretInUse, "secret_in_use"},
       {ConfigError::kModelOrPath, "model_or_path_needed"},
       {ConfigError::kBadPathPrefix, "bad_path_prefix"},
       {ConfigError::kModelInUse, "model_in_use"},
       {ConfigError::kPathPrefixInUse, "path_prefix_in_use"},
       {ConfigError::kWrongFleetKind, "wrong_fleet_kind"},
       {ConfigError::kFixedField, "fixed_field"},
       {ConfigError::kBadAddress, "bad_address"},
       {ConfigError::kAddressInUse, "address_in_use"},
       {ConfigError::kBadZone, "bad_zone"},
       {ConfigError::kBadNumber, "bad_number"},
       {ConfigError::kReferenced, "referenced"},
       {ConfigError::kOrderOpen, "order_open"}}};
};

// Resource with the position of the record that wrote it.
template <typename T>
struct Versioned {
  Position m_version = 0;
  T m_value;
};

template <typename T>
using Table = std::map<std::string, Versioned<T>, std::less<>>;

// Current configuration. Each task that needs it has its own copy, which
// ApplyChange updates.
struct Tables {
  Table<Workspace> m_workspaces;
  Table<Key> m_keys;
  Table<Model> m_models;
  Table<Adapter> m_adapters;
  Table<Route> m_routes;
  Table<Fleet> m_fleets;
  Table<Endpoint> m_endpoints;
  // Indexes to resource names: keys by secret hash, routes by model and by path
  // prefix, endpoints by address.
  std::unordered_map<std::string, std::string> m_key_by_secret;
  std::unordered_map<std::string, std::string> m_route_by_model;
  std::map<std::string, std::string, std::less<>> m_route_by_prefix;
  std::unordered_map<std::string, std::string> m_endpoint_by_address;
  Position m_version = 0;  // Version of the last change.
};

// One accepted change of the configuration.
struct TableChange {
  Position m_version = 0;
  bool m_remove = false;
  ResourceKind m_kind = ResourceKind::kWorkspace;
  std::string m_name;
  Resource m_resource;  // The last version when m_remove is set.
  // The change comes from a snapshot, so changes between the previous version
  // and this one may be missing.
  bool m_from_snapshot = false;
};

// Answer to a configuration write.
struct ConfigAnswer {
  Verdict m_verdict = Verdict::kInvalid;
  ConfigError m_error = ConfigError::kNone;
  // Position of the write if it was accepted, otherwise the current version.
  Position m_version = 0;
};

// Stored answer for a request token, with the write that it belongs to.
struct TokenAnswer {
  ResourceKind m_kind = ResourceKind::kWorkspace;
  std::string m_name;
  Position m_expected_version = 0;
  bool m_remove = false;
  ConfigAnswer m_answer;
};

// Request tokens whose answers are kept: 2.5 days at 5,900 changes a day.
inline constexpr std::size_t kMaxStoredTokens = 16384;

// State built from the configuration records of the log.
struct ConfigState {
  Tables m_tables;
  std::unordered_map<std::string, TokenAnswer> m_answers;
  std::deque<std::string> m_token_order;  // Oldest first.
};

// Result of applying one write: the answer, and the change if it was accepted.
struct ConfigResult {
  ConfigAnswer m_answer;
  std::optional<TableChange> m_change;
};

// Changes that a watch can resume from: one day at 5,900 a day.
inline constexpr std::size_t kMaxHistoryChanges = 6000;

// Recent changes, kept so that watches can resume.
struct History {
  // Changes after this version are complete.
  Position m_since = 0;
  std::deque<TableChange> m_changes;
};

// Returns whether the text is a resource name: [a-z0-9][a-z0-9.-]{0,62}.
bool IsResourceName(std::string_view text);

// Returns whether the text is an IP address and a port: 192.0.2.1:80 or
// [2001:db8::1]:80.
bool IsAddress(std::string_view text);

ResourceKind KindOf(const Resource& resource);

const std::string& NameOf(const Resource& resource);

// Validates a write against these tables, ignoring versions and tokens. Callers
// may use it as a preliminary check; ApplyConfigWrite decides.
ConfigError CheckWrite(const Tables& tables, const ConfigWrite& write);

// Applies the write at this log position. It is accepted if the expected
// version is the current one and the write is valid. A repeated token gets its
// first answer again and changes nothing.
ConfigResult ApplyConfigWrite(ConfigState& state, const ConfigWrite& write,
                              Position position);

// Rejects the write for a reason outside the tables, such as an open order of
// an endpoint.
ConfigResult RejectConfigWrite(ConfigState& state, const ConfigWrite& write,
                               ConfigError error);

// Applies an accepted change. Changes must arrive in version order; returns
// false, without effect, for one that is not newer than the tables.
bool ApplyChange(Tables& tables, const TableChange& change);

// Returns the current version of a resource, or zero if it does not exist.
Position FindVersion(const Tables& tables, ResourceKind kind,
                     std::string_view name);

// Returns a copy of a resource with its version.
std::optional<Versioned<Resource>> FindResource(const Tables& tables,
                                                ResourceKind kind,
                                                std::string_view name);

// Returns all resources of a kind, sorted by name.
std::vector<Versioned<Resource>> ListResources(const Tables& tables,
                                               ResourceKind kind);

// Returns the key with this secret hash (lower-case hexadecimal), or null.
const Key* FindKeyBySecret(const Tables& tables, const std::string& sha256);

// Returns the route for completions of this model, or null.
const Route* FindRouteByModel(const Tables& tables, const std::string& model);

// Returns the route with the longest prefix of the path, or null. Prefixes
// match whole path segments: /a matches /a and /a/b but not /ab.
const Route* FindRouteByPath(const Tables& tables, std::string_view path);

// Returns the changes that turn one configuration into another, in version
// order, for an instance that starts from a snapshot. A resource may precede
// one that it references, if the latter was rewritten later.
std::vector<TableChange> DiffTables(const Tables& from, const Tables& to);

// Appends a change to the history and drops the oldest one above
// kMaxHistoryChanges. A change from a snapshot clears the history.
void RecordChange(History& history, const TableChange& change);

// Returns the changes after the version, or nothing if the history does not
// reach back that far and the watcher must list the resources again.
std::optional<std::vector<TableChange>> ChangesSince(const History& history,
                                                     Position version);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONFIGSTATE_H_
