#ifndef COMFREYPADDLE_CATALOG_H_
#define COMFREYPADDLE_CATALOG_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "relay.pb.h"

namespace comfreypaddle {

// Immutable indexed configuration. A request keeps the version under which it
// was accepted.
class CatalogIndex {
 public:
  explicit CatalogIndex(schema::Catalog catalog);
  CatalogIndex(const CatalogIndex&) = delete;
  CatalogIndex& operator=(const CatalogIndex&) = delete;

  const schema::Catalog& Message() const { return m_catalog; }

  // Returns the route of the host with the longest matching path prefix, or
  // null.
  const schema::CatalogRoute* FindRoute(std::string_view host,
                                        std::string_view target) const;

  // Returns the workspace that the key belongs to, or null.
  const schema::CatalogWorkspace* FindWorkspace(std::string_view key) const;

  const schema::CatalogService* FindService(std::string_view name) const;

  // Whether requests need a key on routes that are not marked open.
  bool NeedsKeys() const { return m_catalog.workspaces_size() > 0; }

 private:
  using RoutesByPrefix =
      std::map<std::string, const schema::CatalogRoute*, std::less<>>;

  schema::Catalog m_catalog;
  std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
  std::unordered_map<std::string, const schema::CatalogWorkspace*> m_keys;
  std::map<std::string, const schema::CatalogService*, std::less<>> m_services;
};

// Selects a service of the route in proportion to the weights. The choice is a
// function of number, which is assumed uniform over 64 bits.
const std::string& ChooseService(const schema::CatalogRoute& route,
                                 std::uint64_t number);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CATALOG_H_
