#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "subset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>

namespace comfreypaddle {
namespace {

std::vector<SubsetMember> Members(const std::string& prefix, int count,
                                  int regions) {
  std::vector<SubsetMember> members;
  for (int i = 0; i < count; ++i) {
    members.push_back(
        {prefix + std::to_string(i), "region-" + std::to_string(i % regions)});
  }
  return members;
}

// Endpoints must have similar numbers of instances, and instances similar
// numbers of endpoints.
TEST_CASE("subsets are balanced for endpoints and for instances") {
  const auto instances = Members("i", 100, 5);
  const auto endpoints = Members("e", 500, 5);
  std::map<std::string, int> seen;
  std::size_t least = endpoints.size();
  std::size_t most = 0;
  for (const SubsetMember& instance : instances) {
    const auto subset = ChooseSubset(instances, instance.m_name, endpoints, 40);
    least = std::min(least, subset.size());
    most = std::max(most, subset.size());
    for (const std::string& name : subset) ++seen[name];
  }
  CHECK(seen.size() == endpoints.size());
  for (const auto& [name, count] : seen) CHECK(count == seen.begin()->second);
  CHECK(least >= 35);
  CHECK(most <= 60);
}

// All instances must compute the same subsets, and a membership change must not
// close most connections.
TEST_CASE("subsets do not depend on the order and change little") {
  auto instances = Members("i", 100, 5);
  auto endpoints = Members("e", 500, 5);
  const auto before = ChooseSubset(instances, "i7", endpoints, 40);
  std::reverse(instances.begin(), instances.end());
  std::reverse(endpoints.begin(), endpoints.end());
  CHECK(ChooseSubset(instances, "i7", endpoints, 40) == before);
  // Of the same region.
  instances.erase(instances.begin() + 2);
  const auto after = ChooseSubset(instances, "i7", endpoints, 40);
  std::vector<std::string> kept;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(kept));
  CHECK(kept.size() * 5 >= before.size() * 4);
  CHECK(ChooseSubset(instances, "i7", Members("e", 12, 3), 40).size() == 12);
}

// Recomputing the assignment on a membership change must not stall the gateway.
TEST_CASE("time of an assignment at 380 instances and 2,000 endpoints") {
  const auto instances = Members("i", 380, 5);
  const auto endpoints = Members("e", 2000, 5);
  const auto begin = std::chrono::steady_clock::now();
  const auto subset = ChooseSubset(instances, "i7", endpoints, 64);
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - begin;
  MESSAGE(subset.size() << " endpoints in " << time.count() * 1e3 << " ms");
  CHECK(subset.size() >= 56);
  CHECK(subset.size() <= 100);
  CHECK(time.count() < 0.5);
}

}  // namespace
}  // namespace comfreypaddle
