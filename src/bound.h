#ifndef COMFREYPADDLE_BOUND_H_
#define COMFREYPADDLE_BOUND_H_

#include <vector>

#include "arrivals.h"
#include "fleet.h"

namespace comfreypaddle {

// Bounds for a policy that knows all arrivals in advance. Each bound holds on
// its own; no single schedule need reach all of them.
//
// - Goodput: the full fleet without failures is modelled as one preemptive
//   server that runs both phases at the speed of dedicated engines, earliest
//   deadline first, with credit for partial requests. Earliest deadline first
//   maximizes the work done before deadlines in this relaxation, so no policy
//   exceeds it.
// - Spend: the cheapest fractional fleet that does this work at full
//   utilization, averaged over the run, under the operators' rules: minimum
//   size, maximum cheap share, and enough capacity without the cheap engines of
//   any one zone. The price is convex in the work, so averaging over the run
//   only lowers the bound.
// - Role changes: those of the plan that loses the least work, including work
//   lost to role changes, over 20 s intervals of known demand. It starts from
//   mixed engines, as `current` does. This is an offline optimum, not a lower
//   bound: a policy may change fewer roles and lose more work.
// - Worst-served workspace, harm and reports: 1, 0 and 0 by definition.
struct Bound {
  double m_goodput = 0.0;  // Engine-seconds of work per second.
  double m_spend = 0.0;    // Price per engine-second of work.
  double m_role_changes = 0.0;
  double m_cheap_share = 0.0;
};

struct BoundOptions {
  int m_endpoints = 12;
  int m_min_endpoints = 6;
  double m_cheap_share = 0.6;
  int m_zones = 3;
  Duration m_length{0};
  EngineModel m_model;
};

Bound ComputeBound(const BoundOptions& options,
                   const std::vector<Arrival>& arrivals);

// Maximum engine-seconds of work that can be done before the deadlines.
double ServedByDeadline(const BoundOptions& options,
                        const std::vector<Arrival>& arrivals);

// Minimum price per second of a fleet that serves the given work rate.
double MinPrice(const BoundOptions& options, double work_rate);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BOUND_H_
