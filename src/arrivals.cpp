#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace comfreypaddle {
namespace {

// Request class with log-normal sizes: medians in tokens and the standard
// deviation of the logarithm.
struct RequestKind {
  double m_prompt = 0.0;
  double m_output = 0.0;
  double m_log_sigma = 0.0;
};

// Load of a deployment: a mix of prompt-heavy and output-heavy requests with a
// varying share of prompt-heavy work.
struct Traffic {
  RequestKind m_prompt_heavy;
  RequestKind m_output_heavy;
  double m_mean_load = 0.0;  // Engine-seconds of work per second.
  double m_low_share = 0.0;  // Range of the prompt-heavy share.
  double m_high_share = 0.0;
};

// Hagerstrom processes long logs and frame archives; Liffeyside has mixed
// sizes.
Traffic TrafficOf(Deployment deployment) {
  if (deployment == Deployment::kHagerstrom) {
    return {{7500.0, 130.0, 0.4}, {1500.0, 500.0, 0.4}, 7.2, 0.25, 0.85};
  }
  return {{3500.0, 80.0, 0.7}, {500.0, 350.0, 0.6}, 7.0, 0.15, 0.75};
}

// Time segment with a constant prompt-heavy share and load level.
struct Segment {
  double m_end_s = 0.0;
  double m_share = 0.5;
  double m_load_factor = 1.0;
};

// Engine time per token and tokens per second of a stream, as in EngineModel.
constexpr double kPrefillSecondsPerToken = 0.00025;
constexpr double kDecodeSecondsPerToken = 0.001;
constexpr double kStreamTokensPerSecond = 50.0;

// Deadline: a fixed part plus a multiple of the unloaded service time.
constexpr double kBaseDeadlineSeconds = 10.0;
constexpr double kDeadlineFactor = 2.0;

// Two large workspaces send more than half of the work.
constexpr std::array<double, kBenchWorkspaces> kWorkspaceShares{
    0.30, 0.25, 0.10, 0.10, 0.08, 0.07, 0.05, 0.05};

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_random(seed) {}

  // Implements the distributions itself, since those of the standard library
  // differ between versions.
  double Uniform() {
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
  }
  double Uniform(double low, double high) {
    return low + (high - low) * Uniform();
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  double LogNormal(double median, double spread) {
    const double normal = std::sqrt(-2.0 * std::log1p(-Uniform())) *
                          std::cos(6.283185307179586 * Uniform());
    return median * std::exp(spread * normal);
  }
  std::uint64_t Bits() { return m_random(); }

 private:
  std::mt19937_64 m_random;
};

// Alternates between low and high prompt-heavy shares. Segments last 25 to
// 60 s; after the first, a quarter of them last only 6 to 10 s.
std::vector<Segment> MakeSegments(const Traffic& traffic, double length_s,
                                  RandomSource& generator) {
  std::vector<Segment> segments;
  bool high = generator.Uniform() < 0.5;
  const double middle = (traffic.m_low_share + traffic.m_high_share) / 2.0;
  for (double end = 0.0; end < length_s;) {
    const bool is_short = !segments.empty() && generator.Uniform() < 0.25;
    end +=
        is_short ? generator.Uniform(6.0, 10.0) : generator.Uniform(25.0, 60.0);
    const double share = high ? generator.Uniform(middle, traffic.m_high_share)
                              : generator.Uniform(traffic.m_low_share, middle);
    segments.push_back({end, share, generator.Uniform(0.75, 1.25)});
    high = !high;
  }
  return segments;
}

// Time span in which a large workspace sends a multiple of its usual load.
struct Burst {
  double m_start_s = 0.0;
  double m_end_s = 0.0;
  std::uint32_t m_workspace = 0;
  double m_factor = 1.0;
};

std::vector<Burst> MakeBursts(Scenario scenario, double length_s,
                              RandomSource& generator) {
  std::vector<Burst> bursts;
  const bool frequent = scenario == Scenario::kLargeBursts;
  const double mean_gap_s = frequent ? 25.0 : 90.0;
  for (double start = generator.Uniform(10.0, mean_gap_s); start < length_s;
       start += generator.Exponential(mean_gap_s) + 10.0) {
    const auto workspace = static_cast<std::uint32_t>(generator.Bits() % 2);
    bursts.push_back({start, start + generator.Uniform(8.0, 20.0), workspace,
                      frequent ? generator.Uniform(3.0, 5.0) : 2.0});
  }
  return bursts;
}

double BurstFactor(const std::vector<Burst>& bursts, double time_s,
                   std::uint32_t workspace) {
  for (const Burst& burst : bursts) {
    if (burst.m_workspace == workspace && burst.m_start_s <= time_s &&
        time_s < burst.m_end_s) {
      return burst.m_factor;
    }
  }
  return 1.0;
}

double MeanWork(const RequestKind& kind) {
  // The mean of a log-normal variable is median * exp(sigma^2 / 2).
  return (kind.m_prompt * kPrefillSecondsPerToken +
          kind.m_output * kDecodeSecondsPerToken) *
         std::exp(kind.m_log_sigma * kind.m_log_sigma / 2.0);
}

Instant ToInstant(double seconds) {
  return kBenchStart + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(seconds));
}

Arrival MakeArrival(const RequestKind& kind, std::uint32_t workspace,
                    double time_s, RandomSource& generator) {
  Arrival arrival;
  arrival.m_time = ToInstant(time_s);
  arrival.m_workspace = workspace;
  arrival.m_prompt_tokens =
      std::ceil(generator.LogNormal(kind.m_prompt, kind.m_log_sigma));
  arrival.m_output_tokens =
      std::ceil(generator.LogNormal(kind.m_output, kind.m_log_sigma));
  arrival.m_expected_output =
      arrival.m_output_tokens * generator.LogNormal(1.0, 0.3);
  const double unloaded_s = arrival.m_prompt_tokens * kPrefillSecondsPerToken +
                            arrival.m_output_tokens / kStreamTokensPerSecond;
  arrival.m_deadline =
      ToInstant(time_s + kBaseDeadlineSeconds + kDeadlineFactor * unloaded_s);
  // The load balancer spreads connections evenly over all instances, but the
  // connections of one workspace are concentrated on a few.
  const std::uint64_t bits = generator.Bits();
  arrival.m_instance = static_cast<std::uint32_t>(
      (workspace + std::min<std::uint64_t>(bits % 9, 5)) % kBenchInstances);
  arrival.m_prefix_hash = 0;
  return arrival;
}

}  // namespace

std::vector<Arrival> MakeArrivals(Deployment deployment, Scenario scenario,
                                  std::uint64_t seed, Duration length) {
  const Traffic traffic = TrafficOf(deployment);
  const double length_s = std::chrono::duration<double>(length).count();
  RandomSource generator(seed * 1000 +
                         static_cast<std::uint64_t>(scenario) * 10 +
                         static_cast<std::uint64_t>(deployment));
  const auto segments = MakeSegments(traffic, length_s, generator);
  const auto bursts = MakeBursts(scenario, length_s, generator);
  std::vector<Arrival> arrivals;
  for (std::uint32_t workspace = 0; workspace < kBenchWorkspaces; ++workspace) {
    std::size_t segment = 0;
    for (double time = 0.0; time < length_s;) {
      while (segments[segment].m_end_s <= time) ++segment;
      const Segment& current = segments[segment];
      const bool prompt_heavy =
          generator.Uniform() *
              (current.m_share / MeanWork(traffic.m_prompt_heavy) +
               (1.0 - current.m_share) / MeanWork(traffic.m_output_heavy)) <
          current.m_share / MeanWork(traffic.m_prompt_heavy);
      arrivals.push_back(MakeArrival(
          prompt_heavy ? traffic.m_prompt_heavy : traffic.m_output_heavy,
          workspace, time, generator));
      const double requests_per_work =
          current.m_share / MeanWork(traffic.m_prompt_heavy) +
          (1.0 - current.m_share) / MeanWork(traffic.m_output_heavy);
      const double rate = traffic.m_mean_load * current.m_load_factor *
                          kWorkspaceShares[workspace] * requests_per_work *
                          BurstFactor(bursts, time, workspace);
      time += generator.Exponential(1.0 / rate);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) {
    return std::pair(a.m_time, a.m_workspace) <
           std::pair(b.m_time, b.m_workspace);
  });
  for (std::size_t i = 0; i < arrivals.size(); ++i) arrivals[i].m_id = i + 1;
  return arrivals;
}

}  // namespace comfreypaddle
