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

// Load bounds relative to the mean number of endpoints: an instance gets at
// most the upper bound, and instances below the lower bound of their expected
// number so far are chosen first. Tighter bounds would move more endpoints on a
// membership change.
constexpr double kUpperLoadBound = 1.1;
constexpr double kLowerLoadBound = 0.9;

// Fraction of an instance's endpoints in other regions.
constexpr double kRemoteFraction = 0.125;

struct Member {
  const SubsetMember* m_member = nullptr;
  std::uint64_t m_hash = 0;
  std::size_t m_assigned = 0;
};

// Candidate instances for a group of endpoints.
struct Pool {
  std::vector<Member*> m_instances;
  std::size_t m_instances_per_endpoint = 0;
  double m_mean = 0.0;      // Final number of endpoints per instance.
  double m_expected = 0.0;  // Expected number so far.
  double m_step = 0.0;      // Increment of m_expected per endpoint.
};

std::uint64_t HashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

std::uint64_t Mix(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

// Returns the members sorted by hash, so that the result does not depend on the
// input order.
std::vector<Member> SortByHash(const std::vector<SubsetMember>& members) {
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

// Returns a pool whose instances get about `size` of `endpoints` each.
Pool MakePool(std::vector<Member*> instances, std::size_t endpoints,
              double size) {
  Pool pool;
  const auto count = static_cast<double>(instances.size());
  const auto total = static_cast<double>(endpoints);
  pool.m_instances_per_endpoint = static_cast<std::size_t>(
      std::clamp(std::ceil(size * count / total), 1.0, count));
  pool.m_step = static_cast<double>(pool.m_instances_per_endpoint) / count;
  pool.m_mean = pool.m_step * total;
  pool.m_instances = std::move(instances);
  return pool;
}

// Returns the preference of an instance: 0 at its upper bound, 2 below its
// lower bound, else 1.
std::uint64_t Preference(const Pool& pool, const Member& instance) {
  const auto assigned = static_cast<double>(instance.m_assigned);
  if (assigned >= kUpperLoadBound * pool.m_mean) return 0;
  return assigned < kLowerLoadBound * pool.m_expected ? 2 : 1;
}

// Assigns an endpoint to the highest-ranked instances, by preference and
// rendezvous score. Returns true if `self` is among them.
bool Assign(Pool& pool, std::uint64_t endpoint, std::string_view self) {
  std::vector<std::pair<std::uint64_t, Member*>> ranked;
  ranked.reserve(pool.m_instances.size());
  pool.m_expected += pool.m_step;
  for (Member* instance : pool.m_instances) {
    const std::uint64_t score = Mix(endpoint, instance->m_hash) >> 2U;
    ranked.emplace_back(score | (Preference(pool, *instance) << 62U), instance);
  }
  const auto last = ranked.begin() +
                    static_cast<std::ptrdiff_t>(pool.m_instances_per_endpoint);
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

// Returns the instances inside or outside the given region.
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

// Appends to `chosen` the given endpoints that are assigned to `self`. Local
// and remote assignments are balanced separately.
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
  const std::vector<Member> all = SortByHash(instances);
  std::map<std::string, std::vector<Member>> regions;
  for (const Member& endpoint : SortByHash(endpoints)) {
    regions[endpoint.m_member->m_region].push_back(endpoint);
  }
  const auto wanted = static_cast<double>(size);
  for (const auto& [region, members] : regions) {
    const double part = static_cast<double>(members.size()) /
                        static_cast<double>(endpoints.size());
    AssignRegion(all, members, region, true, self, wanted, chosen);
    AssignRegion(all, members, region, false, self,
                 wanted * kRemoteFraction * part, chosen);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace comfreypaddle
