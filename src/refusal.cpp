#include "refusal.h"

#include <algorithm>

namespace comfreypaddle {

namespace {

// Part of an estimate that is certain enough for a refusal.
constexpr double kCertainPart = 0.7;

// The caller of a stream gives up after the longest of these without an event.
constexpr Duration kMinPatience = std::chrono::seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;

// Bounds of the delay that a refused caller is told. Callers accept up to a
// third of the time that they have left.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
constexpr int kTimeLeftDivisor = 3;

// Part of the delay over which the return of refused callers is spread.
constexpr double kRetrySpread = 0.5;

}  // namespace

bool IsServable(Duration waited, Duration patience, Duration estimate) {
  const auto certain =
      std::chrono::duration_cast<Duration>(estimate * kCertainPart);
  return waited + certain <= patience;
}

Duration CallerPatience(Duration target, Duration gap, Duration time_left) {
  const Duration patience =
      std::max({kMinPatience, target * kPatienceTargets, gap * kPatienceGaps});
  return std::min(patience, time_left);
}

Duration ChooseRetryAfter(Duration backlog, Duration time_left,
                          std::uint64_t seed) {
  constexpr std::uint64_t kSteps = 1024;
  const double step = static_cast<double>(seed % kSteps) / kSteps;
  const Duration base = std::clamp(backlog, kMinRetryAfter, kMaxRetryAfter);
  const auto delay =
      std::chrono::duration_cast<Duration>(base * (1 + kRetrySpread * step));
  const Duration longest =
      std::max(time_left / kTimeLeftDivisor, kMinRetryAfter);
  return std::min(delay, longest);
}

}  // namespace comfreypaddle
