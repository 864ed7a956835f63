#include "catalog.h"

#include <utility>

namespace comfreypaddle {

CatalogIndex::CatalogIndex(schema::Catalog catalog)
    : m_catalog(std::move(catalog)) {
  for (const schema::CatalogRoute& route : m_catalog.routes()) {
    m_hosts[route.host()][route.path_prefix()] = &route;
  }
  for (const schema::CatalogWorkspace& workspace : m_catalog.workspaces()) {
    for (const std::string& key : workspace.keys()) m_keys[key] = &workspace;
  }
  for (const schema::CatalogService& service : m_catalog.services()) {
    m_services[service.name()] = &service;
  }
}

const schema::CatalogRoute* CatalogIndex::FindRoute(
    std::string_view host, std::string_view target) const {
  const auto routes = m_hosts.find(host);
  if (routes == m_hosts.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    path = path.substr(0, slash + 1);
    const auto found = routes->second.find(path);
    if (found != routes->second.end()) return found->second;
    path.remove_suffix(1);
  }
}

const schema::CatalogWorkspace* CatalogIndex::FindWorkspace(
    std::string_view key) const {
  const auto found = m_keys.find(std::string(key));
  return found == m_keys.end() ? nullptr : found->second;
}

const schema::CatalogService* CatalogIndex::FindService(
    std::string_view name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

const std::string& ChooseService(const schema::CatalogRoute& route,
                                 std::uint64_t number) {
  double total = 0;
  for (const schema::ServiceWeight& part : route.services()) {
    total += part.weight();
  }
  // 53 bits map exactly to [0, 1), so the point lies below the total.
  double point = static_cast<double>(number >> 11U) * 0x1p-53 * total;
  for (const schema::ServiceWeight& part : route.services()) {
    if (point < part.weight()) return part.service();
    point -= part.weight();
  }
  return route.services(0).service();
}

}  // namespace comfreypaddle
