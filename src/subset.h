#ifndef COMFREYPADDLE_SUBSET_H_
#define COMFREYPADDLE_SUBSET_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypaddle {

// Entry instance or endpoint.
struct SubsetMember {
  std::string m_name;
  std::string m_region;
};

// Returns the sorted names of the endpoints that instance `self` sends to. All
// instances compute the same assignment from the same lists, in any order. Each
// endpoint gets the same number of instances of its region, and each instance
// about `size` endpoints of its region plus a few in other regions, used when
// the region has none with capacity. A membership change reassigns few
// endpoints. Returns all endpoints if there are at most `size`, or if `self` is
// not among the instances.
std::vector<std::string> ChooseSubset(
    const std::vector<SubsetMember>& instances, std::string_view self,
    const std::vector<SubsetMember>& endpoints, std::size_t size);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SUBSET_H_
