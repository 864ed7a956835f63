#include "bench.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "benchrun.h"

namespace comfreypaddle {
namespace {

using Values = std::array<double, EnumNames<Measure>::kTable.size()>;

std::string_view UnitOf(Measure measure) {
  switch (measure) {
    case Measure::kGoodput:
      return "engine_s/s";
    case Measure::kRoleChanges:
      return "changes/run";
    case Measure::kSpend:
      return "price/engine_s";
    case Measure::kLateOrWrongReports:
      return "reports";
    case Measure::kCheapHarm:
      return "requests";
    case Measure::kWorstServed:
    case Measure::kCheapShare:
      break;
  }
  return "ratio";
}

// Quantile of Student's t distribution for a two-sided 95% interval.
double StudentQuantile(int degrees) {
  constexpr std::array<double, 15> kTable{12.706, 4.303, 3.182, 2.776, 2.571,
                                          2.447,  2.365, 2.306, 2.262, 2.228,
                                          2.201,  2.179, 2.160, 2.145, 2.131};
  if (degrees < 1) return 0.0;
  if (degrees <= 15) return kTable[static_cast<std::size_t>(degrees - 1)];
  // Approximation within 0.2% of the exact value above 15 degrees of freedom.
  return 1.96 + 2.4 / degrees + 3.0 / (static_cast<double>(degrees) * degrees);
}

// Runs all scenarios with one seed and returns the measures in table order.
Values RunSeed(BenchPolicy policy, Deployment deployment, std::uint64_t seed,
               RunMetrics& signature) {
  Values values{};
  constexpr auto kScenarios =
      static_cast<double>(EnumNames<Scenario>::kTable.size());
  for (const auto& scenario : EnumNames<Scenario>::kTable) {
    RunOptions options;
    options.m_policy = policy;
    options.m_deployment = deployment;
    options.m_scenario = scenario.m_value;
    options.m_seed = seed;
    const RunResult result = RunScenario(options);
    HashDecision(signature, result.m_signature);
    values[0] += result.m_goodput / kScenarios;
    values[1] += result.m_role_changes / kScenarios;
    values[2] += result.m_worst_served / kScenarios;
    values[3] += result.m_spend / kScenarios;
    values[4] += result.m_wrong_reports;
    values[5] += result.m_cheap_share / kScenarios;
    values[6] += result.m_cheap_harm;
  }
  return values;
}

MeasureLine Summarize(std::size_t measure, const std::vector<Values>& seeds) {
  MeasureLine line;
  line.m_measure = EnumNames<Measure>::kTable[measure].m_value;
  const auto count = static_cast<double>(seeds.size());
  for (const Values& values : seeds) line.m_value += values[measure] / count;
  double squared_deviations = 0.0;
  for (const Values& values : seeds) {
    squared_deviations += std::pow(values[measure] - line.m_value, 2);
  }
  const double standard_error =
      seeds.size() < 2 ? 0.0
                       : std::sqrt(squared_deviations / (count - 1.0) / count);
  const double half_width =
      StudentQuantile(static_cast<int>(seeds.size()) - 1) * standard_error;
  line.m_low = line.m_value - half_width;
  line.m_high = line.m_value + half_width;
  return line;
}

}  // namespace

BenchReport RunBench(std::uint64_t first_seed, int seeds) {
  BenchReport report;
  report.m_seeds = seeds;
  RunMetrics signature;
  for (const auto& deployment : EnumNames<Deployment>::kTable) {
    for (const auto& policy : EnumNames<BenchPolicy>::kTable) {
      std::vector<Values> values;
      for (int i = 0; i < seeds; ++i) {
        values.push_back(RunSeed(policy.m_value, deployment.m_value,
                                 first_seed + static_cast<std::uint64_t>(i),
                                 signature));
      }
      for (std::size_t i = 0; i < Values{}.size(); ++i) {
        MeasureLine line = Summarize(i, values);
        line.m_deployment = deployment.m_value;
        line.m_policy = policy.m_value;
        report.m_lines.push_back(line);
      }
    }
  }
  report.m_signature = static_cast<std::uint32_t>(
      signature.m_signature ^ (signature.m_signature >> 32U));
  return report;
}

std::string FormatLine(const MeasureLine& line, int seeds) {
  std::array<char, 64> number{};
  const auto format = [&](const char* pattern, double value) {
    std::snprintf(number.data(), number.size(), pattern, value);
    return std::string(number.data());
  };
  std::string text = "measure=";
  text += ToName(line.m_measure);
  text += " deployment=";
  text += ToName(line.m_deployment);
  text += " policy=";
  text += ToName(line.m_policy);
  text += format(" value=%.4f", line.m_value);
  text += " unit=";
  text += UnitOf(line.m_measure);
  if (seeds > 1) {
    text += format(" low=%.4f", line.m_low);
    text += format(" high=%.4f", line.m_high);
  }
  return text;
}

int Bench(int seeds) {
  const BenchReport report = RunBench(kFirstReportSeed, std::max(1, seeds));
  for (const MeasureLine& line : report.m_lines) {
    std::printf("%s\n", FormatLine(line, report.m_seeds).c_str());
  }
  std::printf("Bench: %u\n", report.m_signature);
  return 0;
}

}  // namespace comfreypaddle
