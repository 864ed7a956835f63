#ifndef COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_
#define COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_

#include <random>
#include <vector>

#include "record.h"
#include "state.h"

namespace comfreypaddle::testing {

// Generates random records of all kinds. They use few names, and versions and
// fencing numbers of the given state, so that they often refer to each other.
class RecordGenerator {
 public:
  explicit RecordGenerator(std::uint32_t seed) : m_random(seed) {}

  // Returns a batch of one of three writers with its next sequence number.
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

// Returns valid writes, in order, of a workspace "w", a model and an engine
// fleet "fleet" of that model.
std::vector<ConfigWrite> BaseWrites();

// Returns a write that creates or replaces the resource. Its token is derived
// from kind, name and version.
ConfigWrite Put(const Resource& resource, Position expected_version);

// Returns a write that removes the resource.
ConfigWrite Remove(ResourceKind kind, const std::string& name,
                   Position expected_version);

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_RECORDS_H_
