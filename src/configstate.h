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
  kKindMismatch,  // The resource is not of the kind or name of the write.
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
  kBadAddress,       // Not an IP number with a port.
  // Another endpoint has the address; orders to one would reach the other.
  kAddressInUse,
  kBadZone,
  kBadNumber,   // A number is outside its range.
  kReferenced,  // Another resource names the one to be deleted.
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

// Configuration in force. Each task that needs it keeps a copy of its own,
// which ApplyChange keeps up to date.
struct Tables {
  Table<Workspace> m_workspaces;
  Table<Key> m_keys;
  Table<Model> m_models;
  Table<Adapter> m_adapters;
  Table<Route> m_routes;
  Table<Fleet> m_fleets;
  Table<Endpoint> m_endpoints;
  // Names of keys by the hash of their secret, of routes by model and by path
  // prefix, and of endpoints by address.
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
  // True if the change is part of a snapshot, so that changes between the
  // previous version and this one may be missing from the sequence.
  bool m_from_snapshot = false;
};

// Answer to a configuration write.
struct ConfigAnswer {
  Verdict m_verdict = Verdict::kInvalid;
  ConfigError m_error = ConfigError::kNone;
  // Position of the write if it was accepted, else the version in force.
  Position m_version = 0;
};

// Answer that was given for a token, with the write that it belongs to.
struct TokenAnswer {
  ResourceKind m_kind = ResourceKind::kWorkspace;
  std::string m_name;
  Position m_expected_version = 0;
  bool m_remove = false;
  ConfigAnswer m_answer;
};

// Number of tokens whose answers are kept: two and a half days at 5,900
// changes a day.
inline constexpr std::size_t kMaxStoredTokens = 16384;

// Fold of the configuration records.
struct ConfigState {
  Tables m_tables;
  std::unordered_map<std::string, TokenAnswer> m_answers;
  std::deque<std::string> m_token_order;  // Oldest first.
};

// Result of folding one write: the answer, and the change if there is one.
struct ConfigResult {
  ConfigAnswer m_answer;
  std::optional<TableChange> m_change;
};

// Number of changes that a watch can go back: one day at 5,900 a day.
inline constexpr std::size_t kMaxHistoryChanges = 6000;

// Latest changes, for watches.
struct History {
  // Changes after this version are complete.
  Position m_since = 0;
  std::deque<TableChange> m_changes;
};

// Whether the text is a resource name: [a-z0-9][a-z0-9.-]{0,62}.
bool IsResourceName(std::string_view text);

// Whether the text is an IP number and a port: 192.0.2.1:80 or
// [2001:db8::1]:80.
bool IsAddress(std::string_view text);

ResourceKind KindOf(const Resource& resource);

const std::string& NameOf(const Resource& resource);

// Decides whether a write is valid in these tables, without regard to
// versions and tokens. The gateways of operators may use it as well; the fold
// decides.
ConfigError CheckWrite(const Tables& tables, const ConfigWrite& write);

// Folds the write at this position. It is accepted if the expected version is
// the one in force and the write is valid in the tables at that position. A
// token that was answered before gets the same answer again and no change.
ConfigResult ApplyConfigWrite(ConfigState& state, const ConfigWrite& write,
                              Position position);

// Gives the write the answer without changing the tables; used for reasons
// outside the tables, such as an open order of an endpoint.
ConfigResult RejectConfigWrite(ConfigState& state, const ConfigWrite& write,
                               ConfigError error);

// Applies an accepted change. Changes must come in the order of versions;
// changes that are not newer than the tables have no effect and return false.
bool ApplyChange(Tables& tables, const TableChange& change);

// Version of a resource in force, zero if there is none.
Position FindVersion(const Tables& tables, ResourceKind kind,
                     std::string_view name);

// Copy of a resource in force.
std::optional<Versioned<Resource>> FindResource(const Tables& tables,
                                                ResourceKind kind,
                                                std::string_view name);

// All resources of a kind, by name.
std::vector<Versioned<Resource>> ListResources(const Tables& tables,
                                               ResourceKind kind);

// Key with this secret hash (lower-case hexadecimal), or null.
const Key* FindKeyBySecret(const Tables& tables, const std::string& sha256);

// Route for completions that name this model, or null.
const Route* FindRouteByModel(const Tables& tables, const std::string& model);

// Route with the longest path prefix of the path, or null. A prefix matches
// whole path segments only: /a matches /a and /a/b, not /ab.
const Route* FindRouteByPath(const Tables& tables, std::string_view path);

// Changes that turn one configuration into another, in the order of versions.
// Used when an instance starts from a snapshot. A resource may come before
// one that it names, if the latter was written again later.
std::vector<TableChange> DiffTables(const Tables& from, const Tables& to);

// Adds a change to the history, dropping the oldest above the bound. A change
// from a snapshot starts the history anew.
void RecordChange(History& history, const TableChange& change);

// Changes after the version, or nothing if the history does not go back so
// far and the watcher must list again.
std::optional<std::vector<TableChange>> ChangesSince(const History& history,
                                                     Position version);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CONFIGSTATE_H_
