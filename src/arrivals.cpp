#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace comfreypaddle {
namespace {

// One kind of request: median sizes and the spread of their logarithm.
struct RequestKind {
  double m_prompt = 0.0;
  double m_output = 0.0;
  double m_spread = 0.0;
};

// Load of a deployment. Requests are of a prompt-heavy and an output-heavy
// kind; the share of work of the first kind swings.
struct Traffic {
  RequestKind m_prompt_heavy;
  RequestKind m_output_heavy;
  double m_mean_load = 0.0;  // Engine-seconds of work per second.
  double m_low_share = 0.0;  // Bounds of the swinging share.
  double m_high_share = 0.0;
};

// Long logs and frame archives at one deployment, mixed sizes at the other.
Traffic TrafficOf(Deployment deployment) {
  if (deployment == Deployment::kHagerstrom) {
    return {{7500.0, 130.0, 0.4}, {1500.0, 500.0, 0.4}, 7.2, 0.25, 0.85};
  }
  return {{3500.0, 80.0, 0.7}, {500.0, 350.0, 0.6}, 7.0, 0.15, 0.75};
}

// Stretch of time with one share and one level of load.
struct Segment {
  double m_end_s = 0.0;
  double m_share = 0.5;
  double m_level = 1.0;
};

// Engine time per token and rate of a stream, as in EngineModel.
constexpr double kPrefillSeconds = 0.00025;
constexpr double kDecodeSeconds = 0.001;
constexpr double kStreamRate = 50.0;

// Deadline: a fixed part plus a multiple of the unloaded service time.
constexpr double kDeadlineSeconds = 10.0;
constexpr double kDeadlineFactor = 2.0;

// Two large workspaces send most of the work.
constexpr std::array<double, kBenchWorkspaces> kWorkspaceShares{
    0.30, 0.25, 0.10, 0.10, 0.08, 0.07, 0.05, 0.05};

class Source {
 public:
  explicit Source(std::uint64_t seed) : m_random(seed) {}

  // The distributions of the standard library differ between versions, so
  // that the draws are made here.
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

// Swings of 25 to 60 s between the low and the high side. A quarter of them is
// followed by another one after 6 to 10 s.
std::vector<Segment> MakeSegments(const Traffic& traffic, double length_s,
                                  Source& source) {
  std::vector<Segment> segments;
  bool high = source.Uniform() < 0.5;
  const double middle = (traffic.m_low_share + traffic.m_high_share) / 2.0;
  for (double end = 0.0; end < length_s;) {
    const bool brief = !segments.empty() && source.Uniform() < 0.25;
    end += brief ? source.Uniform(6.0, 10.0) : source.Uniform(25.0, 60.0);
    const double share = high ? source.Uniform(middle, traffic.m_high_share)
                              : source.Uniform(traffic.m_low_share, middle);
    segments.push_back({end, share, source.Uniform(0.75, 1.25)});
    high = !high;
  }
  return segments;
}

// Bursts of the large workspaces: times at which they send about three times
// their usual load.
struct Burst {
  double m_start_s = 0.0;
  double m_end_s = 0.0;
  std::uint32_t m_workspace = 0;
  double m_factor = 1.0;
};

std::vector<Burst> MakeBursts(Scenario scenario, double length_s,
                              Source& source) {
  std::vector<Burst> bursts;
  const bool many = scenario == Scenario::kLargeBursts;
  const double gap = many ? 25.0 : 90.0;
  for (double start = source.Uniform(10.0, gap); start < length_s;
       start += source.Exponential(gap) + 10.0) {
    const auto workspace = static_cast<std::uint32_t>(source.Bits() % 2);
    bursts.push_back({start, start + source.Uniform(8.0, 20.0), workspace,
                      many ? source.Uniform(3.0, 5.0) : 2.0});
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
  // Mean of a log-normal value.
  return (kind.m_prompt * kPrefillSeconds + kind.m_output * kDecodeSeconds) *
         std::exp(kind.m_spread * kind.m_spread / 2.0);
}

Instant At(double seconds) {
  return kBenchStart + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(seconds));
}

Arrival MakeArrival(const RequestKind& kind, std::uint32_t workspace,
                    double time_s, Source& source) {
  Arrival arrival;
  arrival.m_time = At(time_s);
  arrival.m_workspace = workspace;
  arrival.m_prompt_tokens =
      std::ceil(source.LogNormal(kind.m_prompt, kind.m_spread));
  arrival.m_output_tokens =
      std::ceil(source.LogNormal(kind.m_output, kind.m_spread));
  arrival.m_expected_output =
      arrival.m_output_tokens * source.LogNormal(1.0, 0.3);
  const double alone = arrival.m_prompt_tokens * kPrefillSeconds +
                       arrival.m_output_tokens / kStreamRate;
  arrival.m_deadline = At(time_s + kDeadlineSeconds + kDeadlineFactor * alone);
  // The balancer spreads connections evenly, but those of a workspace cluster
  // on some instances.
  const std::uint64_t bits = source.Bits();
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
  Source source(seed * 1000 + static_cast<std::uint64_t>(scenario) * 10 +
                static_cast<std::uint64_t>(deployment));
  const auto segments = MakeSegments(traffic, length_s, source);
  const auto bursts = MakeBursts(scenario, length_s, source);
  std::vector<Arrival> arrivals;
  for (std::uint32_t workspace = 0; workspace < kBenchWorkspaces; ++workspace) {
    std::size_t segment = 0;
    for (double time = 0.0; time < length_s;) {
      while (segments[segment].m_end_s <= time) ++segment;
      const Segment& now = segments[segment];
      const bool prompt_heavy =
          source.Uniform() *
              (now.m_share / MeanWork(traffic.m_prompt_heavy) +
               (1.0 - now.m_share) / MeanWork(traffic.m_output_heavy)) <
          now.m_share / MeanWork(traffic.m_prompt_heavy);
      arrivals.push_back(MakeArrival(
          prompt_heavy ? traffic.m_prompt_heavy : traffic.m_output_heavy,
          workspace, time, source));
      const double requests_per_work =
          now.m_share / MeanWork(traffic.m_prompt_heavy) +
          (1.0 - now.m_share) / MeanWork(traffic.m_output_heavy);
      const double rate = traffic.m_mean_load * now.m_level *
                          kWorkspaceShares[workspace] * requests_per_work *
                          BurstFactor(bursts, time, workspace);
      time += source.Exponential(1.0 / rate);
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
