#include "configstate.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>

namespace comfreypaddle {
namespace {

constexpr std::size_t kMaxNameChars = 63;
constexpr std::size_t kSecretHashChars = 64;

// Returns the table of resources of type T; the tables may be const.
template <typename T, typename AnyTables>
auto& TableOf(AnyTables& tables) {
  if constexpr (std::is_same_v<T, Workspace>) {
    return tables.m_workspaces;
  } else if constexpr (std::is_same_v<T, Key>) {
    return tables.m_keys;
  } else if constexpr (std::is_same_v<T, Model>) {
    return tables.m_models;
  } else if constexpr (std::is_same_v<T, Adapter>) {
    return tables.m_adapters;
  } else if constexpr (std::is_same_v<T, Route>) {
    return tables.m_routes;
  } else if constexpr (std::is_same_v<T, Fleet>) {
    return tables.m_fleets;
  } else {
    static_assert(std::is_same_v<T, Endpoint>);
    return tables.m_endpoints;
  }
}

// Calls the function with the table of the kind.
template <typename AnyTables, typename Function>
auto WithTable(AnyTables& tables, ResourceKind kind, Function function) {
  switch (kind) {
    case ResourceKind::kWorkspace:
      return function(tables.m_workspaces);
    case ResourceKind::kKey:
      return function(tables.m_keys);
    case ResourceKind::kModel:
      return function(tables.m_models);
    case ResourceKind::kAdapter:
      return function(tables.m_adapters);
    case ResourceKind::kRoute:
      return function(tables.m_routes);
    case ResourceKind::kFleet:
      return function(tables.m_fleets);
    case ResourceKind::kEndpoint:
      break;
  }
  return function(tables.m_endpoints);
}

template <typename T>
const T* FindIn(const Table<T>& table, std::string_view name) {
  const auto found = table.find(name);
  return found == table.end() ? nullptr : &found->second.m_value;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsNameStart(char c) { return IsDigit(c) || (c >= 'a' && c <= 'z'); }

bool IsPort(std::string_view text) {
  if (text.empty() || text.size() > 5) return false;
  if (!std::all_of(text.begin(), text.end(), IsDigit)) return false;
  const int port = std::stoi(std::string(text));
  return port >= 1 && port <= 65535;
}

bool IsByte(std::string_view text) {
  if (text.empty() || text.size() > 3) return false;
  if (!std::all_of(text.begin(), text.end(), IsDigit)) return false;
  return std::stoi(std::string(text)) <= 255;
}

bool IsIpv4(std::string_view text) {
  for (int part = 0; part < 3; ++part) {
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || !IsByte(text.substr(0, dot))) {
      return false;
    }
    text.remove_prefix(dot + 1);
  }
  return IsByte(text);
}

// Checks only the characters: malformed addresses, such as ones with too many
// groups, fail at the first connection attempt.
bool IsPlausibleIpv6(std::string_view text) {
  return text.find(':') != std::string_view::npos &&
         text.find_first_not_of("0123456789abcdefABCDEF:.") ==
             std::string_view::npos;
}

bool IsSecretHash(std::string_view text) {
  return text.size() == kSecretHashChars &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsFraction(double value) { return value >= 0.0 && value <= 1.0; }

ConfigError CheckResource(const Tables& /*tables*/, const Workspace& value) {
  const bool valid = std::isfinite(value.m_weight) && value.m_weight > 0.0;
  return valid ? ConfigError::kNone : ConfigError::kBadNumber;
}

ConfigError CheckResource(const Tables& tables, const Key& value) {
  if (!IsSecretHash(value.m_secret_sha256)) return ConfigError::kBadSecretHash;
  if (FindIn(tables.m_workspaces, value.m_workspace) == nullptr) {
    return ConfigError::kUnknownWorkspace;
  }
  const auto other = tables.m_key_by_secret.find(value.m_secret_sha256);
  if (other != tables.m_key_by_secret.end() && other->second != value.m_name) {
    return ConfigError::kSecretInUse;
  }
  return ConfigError::kNone;
}

ConfigError CheckResource(const Tables& /*tables*/, const Model& /*value*/) {
  return ConfigError::kNone;
}

ConfigError CheckResource(const Tables& tables, const Adapter& value) {
  return FindIn(tables.m_models, value.m_model) != nullptr
             ? ConfigError::kNone
             : ConfigError::kUnknownModel;
}

ConfigError CheckModelRoute(const Tables& tables, const Route& value,
                            const Fleet& fleet) {
  if (fleet.m_kind != FleetKind::kEngine) return ConfigError::kWrongFleetKind;
  const auto other = tables.m_route_by_model.find(value.m_model);
  if (other != tables.m_route_by_model.end() && other->second != value.m_name) {
    return ConfigError::kModelInUse;
  }
  if (!value.m_adapter.empty() &&
      FindIn(tables.m_adapters, value.m_adapter) == nullptr) {
    return ConfigError::kUnknownAdapter;
  }
  return ConfigError::kNone;
}

ConfigError CheckPathRoute(const Tables& tables, const Route& value,
                           const Fleet& fleet) {
  if (value.m_path_prefix.front() != '/') return ConfigError::kBadPathPrefix;
  if (fleet.m_kind != FleetKind::kService) return ConfigError::kWrongFleetKind;
  const auto other = tables.m_route_by_prefix.find(value.m_path_prefix);
  if (other != tables.m_route_by_prefix.end() &&
      other->second != value.m_name) {
    return ConfigError::kPathPrefixInUse;
  }
  return ConfigError::kNone;
}

ConfigError CheckResource(const Tables& tables, const Route& value) {
  if (value.m_model.empty() == value.m_path_prefix.empty()) {
    return ConfigError::kModelOrPath;
  }
  const Fleet* fleet = FindIn(tables.m_fleets, value.m_fleet);
  if (fleet == nullptr) return ConfigError::kUnknownFleet;
  for (const std::string& workspace : value.m_workspaces) {
    if (FindIn(tables.m_workspaces, workspace) == nullptr) {
      return ConfigError::kUnknownWorkspace;
    }
  }
  return value.m_model.empty() ? CheckPathRoute(tables, value, *fleet)
                               : CheckModelRoute(tables, value, *fleet);
}

ConfigError CheckResource(const Tables& tables, const Fleet& value) {
  const Fleet* current = FindIn(tables.m_fleets, value.m_name);
  if (current != nullptr && current->m_kind != value.m_kind) {
    return ConfigError::kFixedField;
  }
  if (value.m_kind == FleetKind::kEngine &&
      FindIn(tables.m_models, value.m_model) == nullptr) {
    return ConfigError::kUnknownModel;
  }
  if (!IsFraction(value.m_cheap_share) || !(value.m_prefill_share <= 1.0)) {
    return ConfigError::kBadNumber;
  }
  if (!(value.m_prefill_tokens_per_s >= 0.0) ||
      !(value.m_decode_tokens_per_s >= 0.0) ||
      value.m_min_replicas > value.m_replicas) {
    return ConfigError::kBadNumber;
  }
  for (const std::string& zone : value.m_zones) {
    if (!IsResourceName(zone)) return ConfigError::kBadZone;
  }
  return ConfigError::kNone;
}

ConfigError CheckResource(const Tables& tables, const Endpoint& value) {
  const Endpoint* current = FindIn(tables.m_endpoints, value.m_name);
  if (current != nullptr &&
      (current->m_fleet != value.m_fleet ||
       current->m_checks_fencing != value.m_checks_fencing)) {
    return ConfigError::kFixedField;
  }
  if (FindIn(tables.m_fleets, value.m_fleet) == nullptr) {
    return ConfigError::kUnknownFleet;
  }
  if (!IsResourceName(value.m_availability_zone)) return ConfigError::kBadZone;
  if (!IsAddress(value.m_address)) return ConfigError::kBadAddress;
  const auto other = tables.m_endpoint_by_address.find(value.m_address);
  if (other != tables.m_endpoint_by_address.end() &&
      other->second != value.m_name) {
    return ConfigError::kAddressInUse;
  }
  return ConfigError::kNone;
}

template <typename T, typename Predicate>
bool AnyValue(const Table<T>& table, Predicate predicate) {
  return std::any_of(table.begin(), table.end(), [&predicate](const auto& row) {
    return predicate(row.second.m_value);
  });
}

bool IsWorkspaceReferenced(const Tables& tables, std::string_view name) {
  return AnyValue(tables.m_keys,
                  [name](const Key& key) { return key.m_workspace == name; }) ||
         AnyValue(tables.m_routes, [name](const Route& route) {
           return std::find(route.m_workspaces.begin(),
                            route.m_workspaces.end(),
                            name) != route.m_workspaces.end();
         });
}

bool IsModelReferenced(const Tables& tables, std::string_view name) {
  return AnyValue(tables.m_adapters,
                  [name](const Adapter& adapter) {
                    return adapter.m_model == name;
                  }) ||
         AnyValue(tables.m_fleets,
                  [name](const Fleet& fleet) { return fleet.m_model == name; });
}

bool IsFleetReferenced(const Tables& tables, std::string_view name) {
  return AnyValue(
             tables.m_routes,
             [name](const Route& route) { return route.m_fleet == name; }) ||
         AnyValue(tables.m_endpoints, [name](const Endpoint& endpoint) {
           return endpoint.m_fleet == name;
         });
}

bool IsReferenced(const Tables& tables, ResourceKind kind,
                  std::string_view name) {
  switch (kind) {
    case ResourceKind::kWorkspace:
      return IsWorkspaceReferenced(tables, name);
    case ResourceKind::kModel:
      return IsModelReferenced(tables, name);
    case ResourceKind::kAdapter:
      return AnyValue(tables.m_routes, [name](const Route& route) {
        return route.m_adapter == name;
      });
    case ResourceKind::kFleet:
      return IsFleetReferenced(tables, name);
    case ResourceKind::kKey:
    case ResourceKind::kRoute:
    case ResourceKind::kEndpoint:
      break;
  }
  return false;
}

// Only keys, routes and endpoints are indexed.
template <typename T>
void AddToIndex(Tables& tables, const T& value) {
  if constexpr (std::is_same_v<T, Key>) {
    tables.m_key_by_secret[value.m_secret_sha256] = value.m_name;
  } else if constexpr (std::is_same_v<T, Route>) {
    if (!value.m_model.empty()) {
      tables.m_route_by_model[value.m_model] = value.m_name;
    } else {
      tables.m_route_by_prefix[value.m_path_prefix] = value.m_name;
    }
  } else if constexpr (std::is_same_v<T, Endpoint>) {
    tables.m_endpoint_by_address[value.m_address] = value.m_name;
  }
}

template <typename T>
void RemoveFromIndex(Tables& tables, const T& value) {
  if constexpr (std::is_same_v<T, Key>) {
    tables.m_key_by_secret.erase(value.m_secret_sha256);
  } else if constexpr (std::is_same_v<T, Route>) {
    if (!value.m_model.empty()) {
      tables.m_route_by_model.erase(value.m_model);
    } else {
      tables.m_route_by_prefix.erase(value.m_path_prefix);
    }
  } else if constexpr (std::is_same_v<T, Endpoint>) {
    tables.m_endpoint_by_address.erase(value.m_address);
  }
}

template <typename T>
void EraseRow(Tables& tables, Table<T>& table, std::string_view name) {
  const auto found = table.find(name);
  if (found == table.end()) return;
  RemoveFromIndex(tables, found->second.m_value);
  table.erase(found);
}

void StoreAnswer(ConfigState& state, const ConfigWrite& write,
                 const ConfigAnswer& answer) {
  if (write.m_token.empty()) return;
  TokenAnswer stored{write.m_kind, write.m_name, write.m_expected_version,
                     write.m_remove, answer};
  if (!state.m_answers.emplace(write.m_token, std::move(stored)).second) return;
  state.m_token_order.push_back(write.m_token);
  if (state.m_token_order.size() <= kMaxStoredTokens) return;
  state.m_answers.erase(state.m_token_order.front());
  state.m_token_order.pop_front();
}

// Returns the stored answer for the write's token, or nothing. A token that was
// used for another write is an error.
std::optional<ConfigAnswer> FindAnswer(const ConfigState& state,
                                       const ConfigWrite& write) {
  const auto found = state.m_answers.find(write.m_token);
  if (found == state.m_answers.end()) return std::nullopt;
  const TokenAnswer& stored = found->second;
  if (stored.m_kind == write.m_kind && stored.m_name == write.m_name &&
      stored.m_expected_version == write.m_expected_version &&
      stored.m_remove == write.m_remove) {
    return stored.m_answer;
  }
  return ConfigAnswer{Verdict::kInvalid, ConfigError::kTokenReused, 0};
}

ConfigAnswer DecideWrite(const Tables& tables, const ConfigWrite& write,
                         Position position) {
  const Position current = FindVersion(tables, write.m_kind, write.m_name);
  if (write.m_remove && current == 0) {
    return {Verdict::kNotFound, ConfigError::kNone, 0};
  }
  if (current != write.m_expected_version) {
    return {Verdict::kConflict, ConfigError::kNone, current};
  }
  const ConfigError error = CheckWrite(tables, write);
  if (error != ConfigError::kNone) return {Verdict::kInvalid, error, current};
  return {Verdict::kAccepted, ConfigError::kNone, position};
}

// Appends the differences between two tables to the lists of puts and removals.
template <typename T>
void DiffTable(const Table<T>& from, const Table<T>& to, Position version,
               std::vector<TableChange>& puts,
               std::vector<TableChange>& removals) {
  for (const auto& [name, row] : to) {
    const auto found = from.find(name);
    if (found != from.end() && found->second.m_version == row.m_version) {
      continue;
    }
    puts.push_back({row.m_version, false, KindOf(Resource(row.m_value)), name,
                    row.m_value});
  }
  for (const auto& [name, row] : from) {
    if (to.find(name) != to.end()) continue;
    removals.push_back(
        {version, true, KindOf(Resource(row.m_value)), name, row.m_value});
  }
}

}  // namespace

bool IsResourceName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameChars) return false;
  if (!IsNameStart(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return IsNameStart(c) || c == '.' || c == '-';
  });
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  if (!IsPort(text.substr(colon + 1))) return false;
  const std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsPlausibleIpv6(host.substr(1, host.size() - 2));
  }
  return IsIpv4(host);
}

ResourceKind KindOf(const Resource& resource) {
  return static_cast<ResourceKind>(resource.index());
}

const std::string& NameOf(const Resource& resource) {
  return std::visit(
      [](const auto& value) -> const std::string& { return value.m_name; },
      resource);
}

ConfigError CheckWrite(const Tables& tables, const ConfigWrite& write) {
  if (write.m_token.empty()) return ConfigError::kMissingToken;
  if (!IsResourceName(write.m_name)) return ConfigError::kBadName;
  if (write.m_remove) {
    return IsReferenced(tables, write.m_kind, write.m_name)
               ? ConfigError::kReferenced
               : ConfigError::kNone;
  }
  if (KindOf(write.m_resource) != write.m_kind ||
      NameOf(write.m_resource) != write.m_name) {
    return ConfigError::kKindMismatch;
  }
  return std::visit(
      [&tables](const auto& value) { return CheckResource(tables, value); },
      write.m_resource);
}

ConfigResult ApplyConfigWrite(ConfigState& state, const ConfigWrite& write,
                              Position position) {
  if (const auto answer = FindAnswer(state, write)) return {*answer, {}};
  ConfigResult result;
  result.m_answer = DecideWrite(state.m_tables, write, position);
  StoreAnswer(state, write, result.m_answer);
  if (result.m_answer.m_verdict != Verdict::kAccepted) return result;
  TableChange change{position, write.m_remove, write.m_kind, write.m_name,
                     write.m_resource};
  if (write.m_remove) {
    change.m_resource =
        FindResource(state.m_tables, write.m_kind, write.m_name)->m_value;
  }
  ApplyChange(state.m_tables, change);
  result.m_change = std::move(change);
  return result;
}

ConfigResult RejectConfigWrite(ConfigState& state, const ConfigWrite& write,
                               ConfigError error) {
  if (const auto answer = FindAnswer(state, write)) return {*answer, {}};
  const ConfigAnswer answer{
      Verdict::kInvalid, error,
      FindVersion(state.m_tables, write.m_kind, write.m_name)};
  StoreAnswer(state, write, answer);
  return {answer, {}};
}

bool ApplyChange(Tables& tables, const TableChange& change) {
  if (change.m_version < tables.m_version) return false;
  const Position current = FindVersion(tables, change.m_kind, change.m_name);
  if (current >= change.m_version) return false;
  std::visit(
      [&tables, &change](const auto& value) {
        using T = std::decay_t<decltype(value)>;
        Table<T>& table = TableOf<T>(tables);
        EraseRow(tables, table, change.m_name);
        if (change.m_remove) return;
        table.emplace(change.m_name, Versioned<T>{change.m_version, value});
        AddToIndex(tables, value);
      },
      change.m_resource);
  tables.m_version = change.m_version;
  return true;
}

Position FindVersion(const Tables& tables, ResourceKind kind,
                     std::string_view name) {
  return WithTable(tables, kind, [name](const auto& table) -> Position {
    const auto found = table.find(name);
    return found == table.end() ? 0 : found->second.m_version;
  });
}

std::optional<Versioned<Resource>> FindResource(const Tables& tables,
                                                ResourceKind kind,
                                                std::string_view name) {
  using Found = std::optional<Versioned<Resource>>;
  return WithTable(tables, kind, [name](const auto& table) -> Found {
    const auto found = table.find(name);
    if (found == table.end()) return std::nullopt;
    return Versioned<Resource>{found->second.m_version, found->second.m_value};
  });
}

std::vector<Versioned<Resource>> ListResources(const Tables& tables,
                                               ResourceKind kind) {
  return WithTable(tables, kind, [](const auto& table) {
    std::vector<Versioned<Resource>> list;
    list.reserve(table.size());
    for (const auto& [name, row] : table) {
      list.push_back({row.m_version, row.m_value});
    }
    return list;
  });
}

const Key* FindKeyBySecret(const Tables& tables, const std::string& sha256) {
  const auto found = tables.m_key_by_secret.find(sha256);
  if (found == tables.m_key_by_secret.end()) return nullptr;
  return FindIn(tables.m_keys, found->second);
}

const Route* FindRouteByModel(const Tables& tables, const std::string& model) {
  const auto found = tables.m_route_by_model.find(model);
  if (found == tables.m_route_by_model.end()) return nullptr;
  return FindIn(tables.m_routes, found->second);
}

const Route* FindRouteByPath(const Tables& tables, std::string_view path) {
  for (std::size_t size = path.size(); size > 0;) {
    const auto found = tables.m_route_by_prefix.find(path.substr(0, size));
    if (found != tables.m_route_by_prefix.end()) {
      return FindIn(tables.m_routes, found->second);
    }
    // The next shorter candidate drops the trailing slash, or ends at the last
    // slash.
    if (path[size - 1] == '/') {
      --size;
      continue;
    }
    const std::size_t slash = path.rfind('/', size - 1);
    if (slash == std::string_view::npos) return nullptr;
    size = slash + 1;
  }
  return nullptr;
}

std::vector<TableChange> DiffTables(const Tables& from, const Tables& to) {
  std::vector<TableChange> changes;
  std::vector<TableChange> removals;
  const auto diff = [&](const auto& old_table, const auto& new_table) {
    DiffTable(old_table, new_table, to.m_version, changes, removals);
  };
  diff(from.m_workspaces, to.m_workspaces);
  diff(from.m_keys, to.m_keys);
  diff(from.m_models, to.m_models);
  diff(from.m_adapters, to.m_adapters);
  diff(from.m_routes, to.m_routes);
  diff(from.m_fleets, to.m_fleets);
  diff(from.m_endpoints, to.m_endpoints);
  // A removal leaves no version in the tables, so removals come last, at the
  // version of the new configuration.
  std::sort(changes.begin(), changes.end(),
            [](const TableChange& a, const TableChange& b) {
              return a.m_version < b.m_version;
            });
  std::move(removals.begin(), removals.end(), std::back_inserter(changes));
  for (TableChange& change : changes) change.m_from_snapshot = true;
  return changes;
}

void RecordChange(History& history, const TableChange& change) {
  if (change.m_from_snapshot) {
    history.m_since = change.m_version;
    history.m_changes.clear();
    return;
  }
  history.m_changes.push_back(change);
  if (history.m_changes.size() <= kMaxHistoryChanges) return;
  history.m_since = history.m_changes.front().m_version;
  history.m_changes.pop_front();
}

std::optional<std::vector<TableChange>> ChangesSince(const History& history,
                                                     Position version) {
  if (version < history.m_since) return std::nullopt;
  std::vector<TableChange> changes;
  for (const TableChange& change : history.m_changes) {
    if (change.m_version > version) changes.push_back(change);
  }
  return changes;
}

}  // namespace comfreypaddle
