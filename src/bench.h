#ifndef COMFREYPADDLE_BENCH_H_
#define COMFREYPADDLE_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "benchstate.h"

namespace comfreypaddle {

enum class Measure {
  kGoodput,
  kRoleChanges,
  kWorstServed,
  kSpend,
  kLateOrWrongReports,
  kCheapShare,
  kCheapHarm
};

template <>
struct EnumNames<Measure> {
  static constexpr std::array<EnumName<Measure>, 7> kTable{
      {{Measure::kGoodput, "goodput"},
       {Measure::kRoleChanges, "role_changes"},
       {Measure::kWorstServed, "worst_served"},
       {Measure::kSpend, "spend"},
       {Measure::kLateOrWrongReports, "late_or_wrong_reports"},
       {Measure::kCheapShare, "cheap_share"},
       {Measure::kCheapHarm, "cheap_harm"}}};
};

// Mean over the seeds with its 95% confidence interval by Student's t. With a
// single seed both bounds equal the mean.
struct MeasureLine {
  Measure m_measure = Measure::kGoodput;
  Deployment m_deployment = Deployment::kHagerstrom;
  BenchPolicy m_policy = BenchPolicy::kCurrent;
  double m_value = 0.0;
  double m_low = 0.0;
  double m_high = 0.0;
};

struct BenchReport {
  std::vector<MeasureLine> m_lines;
  std::uint32_t m_signature = 0;  // Hash of all decisions of all runs.
  int m_seeds = 0;
};

// Seeds from 101 on are used only for reports and seeds 1 to 10 for tuning, so
// that no policy is tuned to the reported runs.
inline constexpr std::uint64_t kFirstReportSeed = 101;

// Runs every policy on every scenario of both deployments. Late or wrong
// reports and cheap harm are summed over the scenarios; the other measures are
// averaged.
BenchReport RunBench(std::uint64_t first_seed, int seeds);

// Formats one output line, without the line break.
std::string FormatLine(const MeasureLine& line, int seeds);

// Prints the report over the given number of seeds, then its signature.
// Returns the exit status.
int Bench(int seeds);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCH_H_
