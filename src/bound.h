#ifndef COMFREYPADDLE_BOUND_H_
#define COMFREYPADDLE_BOUND_H_

#include <vector>

#include "arrivals.h"
#include "fleet.h"

namespace comfreypaddle {

// What a policy that knows all arrivals could reach at most. Each figure is a
// bound of its own; no single schedule need reach all of them.
//
// - Goodput: all engines of the full fleet, never failing, as one server that
//   works at the speed of dedicated engines on both phases, in order of
//   deadlines, with credit for parts of requests. Earliest deadline first
//   completes the most work before deadlines in this relaxation, so no policy
//   does better.
// - Spend: the cheapest fractional number and classes of engines that could do
//   this work at full utilisation, averaged over the run, while it keeps the
//   operators' rules: least size, share of the cheap class, and that the rest
//   can take over the cheap engines of any one zone. Prices are convex in the
//   work, so that averaging over the run only lowers the figure.
// - Role changes: those of the plan that loses the least work, changes
//   included, over intervals of 20 s with known demand. It starts from mixed
//   engines, as `current` does. This is an offline optimum, not a lower bound:
//   a policy may change less and lose work.
// - Worst-served workspace, harm and reports: 1, 0 and 0 by definition.
struct Bound {
  double m_goodput = 0.0;  // Engine-seconds of work per second.
  double m_spend = 0.0;    // Price per engine-second of work.
  double m_role_changes = 0.0;
  double m_cheap_share = 0.0;
};

struct BoundOptions {
  int m_endpoints = 12;
  int m_least_endpoints = 6;
  double m_cheap_share = 0.6;
  int m_zones = 3;
  Duration m_length{0};
  EngineModel m_model;
};

Bound ComputeBound(const BoundOptions& options,
                   const std::vector<Arrival>& arrivals);

// Engine-seconds of the arrivals that can be done before their deadlines.
double ServedByDeadline(const BoundOptions& options,
                        const std::vector<Arrival>& arrivals);

// Least price per second of a fleet that serves this much work per second.
double LeastPrice(const BoundOptions& options, double work_rate);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BOUND_H_
