#include "subset.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <utility>

namespace comfreypaddle {
namespace {

// An instance gets at most this multiple of the mean number of endpoints.
constexpr double kBound = 1.25;

// Share of an instance's endpoints that are in other regions.
constexpr double kRemoteShare = 0.125;

// Endpoints assigned before an instance may reach its bound by chance only.
constexpr std::size_t kBoundSlack = 1;

struct Member {
  const SubsetMember* m_member = nullptr;
  std::uint64_t m_hash = 0;
  std::size_t m_assigned = 0;
};

// Instances among which endpoints choose, and how many each endpoint gets.
struct Pool {
  std::vector<Member*> m_instances;
  std::size_t m_each = 0;
  std::size_t m_bound = 0;
};

std::uint64_t HashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

std::uint64_t Mix(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

// Returns the members in the order of their hashes, which is the same for
// every order of the input.
std::vector<Member> Sorted(const std::vector<SubsetMember>& members) {
  std::vector<Member> sorted;
  sorted.reserve(members.size());
  for (const SubsetMember& member : members) {
    sorted.push_back({&member, HashName(member.m_name), 0});
  }
  std::sort(sorted.begin(), sorted.end(), [](const Member& a, const Member& b) {
    return std::pair(a.m_hash, a.m_member->m_name) <
           std::pair(b.m_hash, b.m_member->m_name);
  });
  return sorted;
}

// Returns the pool of instances that get about `size` of `endpoints` each.
Pool MakePool(std::vector<Member*> instances, std::size_t endpoints,
              double size) {
  Pool pool;
  const auto count = static_cast<double>(instances.size());
  const auto total = static_cast<double>(endpoints);
  pool.m_each = static_cast<std::size_t>(
      std::clamp(std::ceil(size * count / total), 1.0, count));
  const double mean = static_cast<double>(pool.m_each) * total / count;
  pool.m_bound =
      static_cast<std::size_t>(std::ceil(kBound * mean)) + kBoundSlack;
  pool.m_instances = std::move(instances);
  return pool;
}

// Assigns the highest-ranked instances below the bound to an endpoint.
// Returns true if `self` is among them.
bool Assign(Pool& pool, std::uint64_t endpoint, std::string_view self) {
  std::vector<std::pair<std::uint64_t, Member*>> ranked;
  ranked.reserve(pool.m_instances.size());
  for (Member* instance : pool.m_instances) {
    // Instances at the bound come last, and are used if all are there.
    const std::uint64_t score = Mix(endpoint, instance->m_hash) >> 1U;
    const bool open = instance->m_assigned < pool.m_bound;
    ranked.emplace_back(open ? score | (std::uint64_t{1} << 63U) : score,
                        instance);
  }
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(pool.m_each);
  std::nth_element(
      ranked.begin(), last - 1, ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  bool mine = false;
  for (auto item = ranked.begin(); item != last; ++item) {
    ++item->second->m_assigned;
    mine = mine || item->second->m_member->m_name == self;
  }
  return mine;
}

// Returns the instances whose region is, or is not, the given one.
std::vector<Member*> InRegion(std::vector<Member>& instances,
                              const std::string& region, bool inside) {
  std::vector<Member*> chosen;
  for (Member& instance : instances) {
    if ((instance.m_member->m_region == region) == inside) {
      chosen.push_back(&instance);
    }
  }
  return chosen;
}

// Adds to `chosen` the endpoints that `self` gets of those given. Local and
// remote assignments count separately.
void AssignRegion(std::vector<Member> instances,
                  const std::vector<Member>& endpoints,
                  const std::string& region, bool inside, std::string_view self,
                  double size, std::vector<std::string>& chosen) {
  std::vector<Member*> members = InRegion(instances, region, inside);
  if (members.empty()) return;
  Pool pool = MakePool(std::move(members), endpoints.size(), size);
  for (const Member& endpoint : endpoints) {
    if (Assign(pool, endpoint.m_hash, self)) {
      chosen.push_back(endpoint.m_member->m_name);
    }
  }
}

}  // namespace

std::vector<std::string> ChooseSubset(
    const std::vector<SubsetMember>& instances, std::string_view self,
    const std::vector<SubsetMember>& endpoints, std::size_t size) {
  std::vector<std::string> chosen;
  const bool known = std::any_of(
      instances.begin(), instances.end(),
      [&](const SubsetMember& member) { return member.m_name == self; });
  if (endpoints.size() <= size || !known) {
    for (const SubsetMember& item : endpoints) chosen.push_back(item.m_name);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
  }
  const std::vector<Member> all = Sorted(instances);
  std::map<std::string, std::vector<Member>> regions;
  for (const Member& endpoint : Sorted(endpoints)) {
    regions[endpoint.m_member->m_region].push_back(endpoint);
  }
  const auto wanted = static_cast<double>(size);
  for (const auto& [region, members] : regions) {
    const double part = static_cast<double>(members.size()) /
                        static_cast<double>(endpoints.size());
    AssignRegion(all, members, region, true, self, wanted, chosen);
    AssignRegion(all, members, region, false, self,
                 wanted * kRemoteShare * part, chosen);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace comfreypaddle
