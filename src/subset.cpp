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
// Those below the other multiple of their part so far are chosen first. Closer
// bounds would move more endpoints when the members change.
constexpr double kMost = 1.1;
constexpr double kLeast = 0.9;

// Share of an instance's endpoints that are in other regions.
constexpr double kRemoteShare = 0.125;

struct Member {
  const SubsetMember* m_member = nullptr;
  std::uint64_t m_hash = 0;
  std::size_t m_assigned = 0;
};

// Instances among which endpoints choose, and how many each endpoint gets.
struct Pool {
  std::vector<Member*> m_instances;
  std::size_t m_each = 0;
  double m_mean = 0.0;      // Endpoints for each instance, in the end.
  double m_expected = 0.0;  // The same so far.
  double m_step = 0.0;      // Added to m_expected by each endpoint.
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
  pool.m_step = static_cast<double>(pool.m_each) / count;
  pool.m_mean = pool.m_step * total;
  pool.m_instances = std::move(instances);
  return pool;
}

// Returns 0 for an instance that has its bound, 2 for one that has too few.
std::uint64_t Need(const Pool& pool, const Member& instance) {
  const auto assigned = static_cast<double>(instance.m_assigned);
  if (assigned >= kMost * pool.m_mean) return 0;
  return assigned < kLeast * pool.m_expected ? 2 : 1;
}

// Assigns the highest-ranked instances to an endpoint, those in need first.
// Returns true if `self` is among them.
bool Assign(Pool& pool, std::uint64_t endpoint, std::string_view self) {
  std::vector<std::pair<std::uint64_t, Member*>> ranked;
  ranked.reserve(pool.m_instances.size());
  pool.m_expected += pool.m_step;
  for (Member* instance : pool.m_instances) {
    const std::uint64_t score = Mix(endpoint, instance->m_hash) >> 2U;
    ranked.emplace_back(score | (Need(pool, *instance) << 62U), instance);
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
