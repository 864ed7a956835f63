#ifndef COMFREYPADDLE_BENCHRUN_H_
#define COMFREYPADDLE_BENCHRUN_H_

#include "benchworld.h"

namespace comfreypaddle {

// Figures of one run, or sums over runs.
struct RunResult {
  double m_goodput = 0.0;  // Work done in time, engine-seconds per second.
  double m_role_changes = 0.0;
  double m_worst_served = 0.0;
  double m_spend = 0.0;  // Price per engine-second of work done in time.
  double m_wrong_reports = 0.0;
  double m_cheap_share = 0.0;
  double m_unserved = 0.0;
  double m_cut = 0.0;
  double m_cheap_harm = 0.0;
  std::uint64_t m_signature = 0;
};

// Runs one policy on one scenario. The same options always give the same
// result. For a reclaim of cheap engines the run is repeated without it: the
// harm is the number of requests that end unserved more than without.
RunResult RunScenario(const RunOptions& options);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHRUN_H_
