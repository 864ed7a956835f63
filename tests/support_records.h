#ifndef COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_
#define COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_

#include <random>
#include <vector>

#include "record.h"
#include "state.h"

namespace comfreypaddle::testing {

// Source of records of all kinds that often refer to each other: a few names,
// versions and fencing numbers of a state that the records are meant for.
class RecordGenerator {
 public:
  explicit RecordGenerator(std::uint32_t seed) : m_random(seed) {}

  // Batch of one of three writers with the writer's next number.
  RecordBatch NextBatch(const LogState& state);

  int Pick(int below) {
    return std::uniform_int_distribution<>(0, below - 1)(m_random);
  }

 private:
  Record NextRecord(const LogState& state, const Writer& writer);
  ConfigWrite NextWrite(const Tables& tables);
  Record NextOrder(const LogState& state);
  Record NextUsage(const LogState& state, const Writer& writer);

  std::mt19937 m_random;
  std::uint64_t m_incarnations[3] = {1, 1, 1};
  std::uint64_t m_sequences[3] = {0, 0, 0};
  std::uint64_t m_flushes[3] = {0, 0, 0};
};

// Fleet of engines "fleet" with its model, and a workspace "w", as writes that
// are valid in this order.
std::vector<ConfigWrite> BaseWrites();

// Write that puts the resource; the token is made of name and version.
ConfigWrite Put(const Resource& resource, Position expected_version);

// Write that removes the resource.
ConfigWrite Remove(ResourceKind kind, const std::string& name,
                   Position expected_version);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_
