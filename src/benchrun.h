#ifndef COMFREYPADDLE_BENCHRUN_H_
#define COMFREYPADDLE_BENCHRUN_H_

#include "benchstate.h"

namespace comfreypaddle {

// Measures of one run.
struct RunResult {
  double m_goodput = 0.0;  // On-time work, engine-seconds per second.
  double m_role_changes = 0.0;
  double m_worst_served = 0.0;
  double m_spend = 0.0;  // Price per engine-second of on-time work.
  double m_wrong_reports = 0.0;
  double m_cheap_share = 0.0;
  double m_unserved = 0.0;
  double m_abandoned = 0.0;
  double m_cheap_harm = 0.0;
  std::uint64_t m_signature = 0;
};

// Runs one policy on one scenario. The result depends only on the options. The
// cheap-reclaim scenario is run a second time without the reclaim; the cheap
// harm is the number of additional unserved requests with it.
RunResult RunScenario(const RunOptions& options);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BENCHRUN_H_
