#ifndef COMFREYPADDLE_ARRIVALS_H_
#define COMFREYPADDLE_ARRIVALS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Seeded request arrivals for `bench`.

enum class Deployment { kHagerstrom, kLiffeyside };

template <>
struct EnumNames<Deployment> {
  static constexpr std::array<EnumName<Deployment>, 2> kTable{
      {{Deployment::kHagerstrom, "hagerstrom"},
       {Deployment::kLiffeyside, "liffeyside"}}};
};

// Load pattern or fault of a run. The prefill/decode ratio swings in all of
// them.
enum class Scenario {
  kRatioSwings,
  kLargeBursts,
  kLaggingReports,
  kCheapReclaim,
  kEngineLost,
  kLogOutage
};

template <>
struct EnumNames<Scenario> {
  static constexpr std::array<EnumName<Scenario>, 6> kTable{
      {{Scenario::kRatioSwings, "ratio_swings"},
       {Scenario::kLargeBursts, "large_bursts"},
       {Scenario::kLaggingReports, "lagging_reports"},
       {Scenario::kCheapReclaim, "cheap_reclaim"},
       {Scenario::kEngineLost, "engine_lost"},
       {Scenario::kLogOutage, "log_outage"}}};
};

inline constexpr std::uint32_t kBenchWorkspaces = 8;
inline constexpr std::uint32_t kBenchInstances = 6;
inline constexpr std::uint32_t kBenchZones = 3;

struct Arrival {
  std::uint64_t m_id = 0;
  Instant m_time{};
  Instant m_deadline{};
  std::uint32_t m_workspace = 0;
  std::uint32_t m_instance = 0;
  double m_prompt_tokens = 0.0;
  double m_output_tokens = 0.0;
  // Output length predicted by the entry instance.
  double m_expected_output = 0.0;
  std::uint64_t m_prefix_hash = 0;
};

// Start time of every run. It is positive so that subtracting durations does
// not reach before the epoch of the clock.
inline constexpr Instant kBenchStart{std::chrono::seconds(1000)};

// Returns the arrivals of a run sorted by time. The result depends only on the
// arguments.
std::vector<Arrival> MakeArrivals(Deployment deployment, Scenario scenario,
                                  std::uint64_t seed, Duration length);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ARRIVALS_H_
