#include "bound.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <queue>

namespace comfreypaddle {
namespace {

constexpr double kIntervalSeconds = 20.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double PrefillOf(const EngineModel& model, const Arrival& arrival) {
  return arrival.m_prompt_tokens * model.m_prefill_s;
}

double DecodeOf(const EngineModel& model, const Arrival& arrival) {
  return arrival.m_output_tokens * model.m_decode_s;
}

// Pending work. The priority queue returns the earliest deadline first.
struct Job {
  double m_deadline_s = 0.0;
  double m_remaining_s = 0.0;
  bool operator<(const Job& other) const {
    return m_deadline_s > other.m_deadline_s;
  }
};

// Serves jobs earliest deadline first between `from` and `to`. Returns the work
// done.
double ServeUntil(std::priority_queue<Job>& jobs, double from, double to,
                  double rate) {
  double done = 0.0;
  while (!jobs.empty() && from < to) {
    Job job = jobs.top();
    jobs.pop();
    const double end = std::min(to, job.m_deadline_s);
    if (end <= from) continue;
    const double work = std::min(job.m_remaining_s, (end - from) * rate);
    done += work;
    from += work / rate;
    job.m_remaining_s -= work;
    if (job.m_remaining_s > 1e-12 && job.m_deadline_s > from) jobs.push(job);
  }
  return done;
}

// Number of engines by role, a state of the dynamic program.
struct RoleSplit {
  int m_prefill = 0;
  int m_decode = 0;
  int m_mixed = 0;
};

struct Demand {
  double m_prefill = 0.0;
  double m_decode = 0.0;
};

// Work per second that the split cannot serve. Idle dedicated engines serve the
// other phase at a lower speed.
double UnservedRate(const EngineModel& model, const RoleSplit& split,
                    const Demand& demand) {
  const double prefill = std::min<double>(split.m_prefill, demand.m_prefill);
  const double decode = std::min<double>(split.m_decode, demand.m_decode);
  const double remaining =
      demand.m_prefill + demand.m_decode - prefill - decode;
  const double idle = split.m_prefill - prefill + split.m_decode - decode;
  return std::max(0.0, remaining - model.m_mixed_speed * split.m_mixed -
                           model.m_other_speed * idle);
}

int ChangesBetween(const RoleSplit& a, const RoleSplit& b) {
  return (std::abs(a.m_prefill - b.m_prefill) +
          std::abs(a.m_decode - b.m_decode) + std::abs(a.m_mixed - b.m_mixed)) /
         2;
}

std::vector<RoleSplit> EnumerateSplits(int engines) {
  std::vector<RoleSplit> splits;
  for (int prefill = 0; prefill <= engines; ++prefill) {
    for (int decode = 0; prefill + decode <= engines; ++decode) {
      splits.push_back({prefill, decode, engines - prefill - decode});
    }
  }
  return splits;
}

// Demand of each interval. A request counts towards the phase with the larger
// part of its work.
std::vector<Demand> DemandByInterval(const BoundOptions& options,
                                     const std::vector<Arrival>& arrivals) {
  const double length = Seconds(options.m_length);
  std::vector<Demand> demands(
      static_cast<std::size_t>(std::ceil(length / kIntervalSeconds)));
  for (const Arrival& arrival : arrivals) {
    const double time = Seconds(arrival.m_time - kBenchStart);
    const auto index = static_cast<std::size_t>(time / kIntervalSeconds);
    Demand& demand = demands[std::min(index, demands.size() - 1)];
    const double prefill = PrefillOf(options.m_model, arrival);
    const double decode = DecodeOf(options.m_model, arrival);
    (prefill >= decode ? demand.m_prefill : demand.m_decode) +=
        (prefill + decode) / kIntervalSeconds;
  }
  return demands;
}

// Minimum work lost by a plan that ends in a given split, and its role changes.
struct Plan {
  double m_loss_s = 0.0;
  int m_changes = 0;
  bool operator<(const Plan& other) const {
    return std::pair(m_loss_s, m_changes) <
           std::pair(other.m_loss_s, other.m_changes);
  }
};

double CountRoleChanges(const BoundOptions& options,
                        const std::vector<Arrival>& arrivals) {
  const auto splits = EnumerateSplits(options.m_endpoints);
  const double change_s = Seconds(options.m_model.m_role_change);
  const RoleSplit first{0, 0, options.m_endpoints};
  const auto step = [&](const Plan& plan, const RoleSplit& from,
                        const RoleSplit& to) {
    const int changes = ChangesBetween(from, to);
    return Plan{plan.m_loss_s + change_s * changes, plan.m_changes + changes};
  };
  std::vector<Plan> best;
  for (const RoleSplit& split : splits) best.push_back(step({}, first, split));
  for (const Demand& demand : DemandByInterval(options, arrivals)) {
    std::vector<Plan> next;
    for (const RoleSplit& to : splits) {
      Plan least = step(best[0], splits[0], to);
      for (std::size_t i = 1; i < splits.size(); ++i) {
        least = std::min(least, step(best[i], splits[i], to));
      }
      least.m_loss_s +=
          kIntervalSeconds * UnservedRate(options.m_model, to, demand);
      next.push_back(least);
    }
    best = std::move(next);
  }
  return std::min_element(best.begin(), best.end())->m_changes;
}

// Maximum cheap engines in a fleet of this size that serves the given work
// rate.
double MaxCheapEngines(const BoundOptions& options, double engines,
                       double work_rate) {
  return std::clamp(options.m_zones * (engines - work_rate), 0.0,
                    options.m_cheap_share * engines);
}

}  // namespace

double ServedByDeadline(const BoundOptions& options,
                        const std::vector<Arrival>& arrivals) {
  std::priority_queue<Job> jobs;
  double now = 0.0;
  double done = 0.0;
  for (const Arrival& arrival : arrivals) {
    const double time = Seconds(arrival.m_time - kBenchStart);
    done += ServeUntil(jobs, now, time, options.m_endpoints);
    now = time;
    jobs.push({Seconds(arrival.m_deadline - kBenchStart),
               PrefillOf(options.m_model, arrival) +
                   DecodeOf(options.m_model, arrival)});
  }
  return done + ServeUntil(jobs, now, std::numeric_limits<double>::max(),
                           options.m_endpoints);
}

double MinPrice(const BoundOptions& options, double work_rate) {
  // The price falls with the fleet size until the cheap-share limit binds, then
  // rises. The optimum is where the share and takeover rules both bind, clamped
  // to the size limits.
  const double unclamped =
      work_rate / (1.0 - options.m_cheap_share / options.m_zones);
  const double engines = std::clamp<double>(unclamped, options.m_min_endpoints,
                                            options.m_endpoints);
  const double cheap = MaxCheapEngines(options, engines, work_rate);
  return (engines - cheap) * options.m_model.m_on_demand_price +
         cheap * options.m_model.m_cheap_price;
}

Bound ComputeBound(const BoundOptions& options,
                   const std::vector<Arrival>& arrivals) {
  Bound bound;
  const double length = Seconds(options.m_length);
  const double rate = ServedByDeadline(options, arrivals) / length;
  bound.m_goodput = rate;
  // A policy that serves less work may pay less per unit, so take the minimum
  // unit price over all rates up to the maximum.
  bound.m_spend = std::numeric_limits<double>::max();
  constexpr int kSteps = 100;
  for (int i = 1; i <= kSteps; ++i) {
    const double candidate_rate = rate * i / kSteps;
    bound.m_spend = std::min(
        bound.m_spend, MinPrice(options, candidate_rate) / candidate_rate);
  }
  bound.m_role_changes = CountRoleChanges(options, arrivals);
  bound.m_cheap_share = options.m_cheap_share;
  return bound;
}

}  // namespace comfreypaddle
