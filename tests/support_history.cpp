#include "support_history.h"

#include <algorithm>
#include <map>
#include <set>

namespace comfreypaddle::testing {
namespace {

std::string Describe(const LeaseInterval& interval) {
  return interval.m_holder.m_name + "/" +
         std::to_string(interval.m_holder.m_incarnation) +
         " with fencing number " + std::to_string(interval.m_fencing_number) +
         " at " + std::to_string(interval.m_from.time_since_epoch().count()) +
         " us";
}

bool IsAnswerComplete(const CallerEvent& event) {
  if (!event.m_text_matches) return false;
  if (event.m_positions.size() != event.m_tokens) return false;
  for (std::uint64_t i = 0; i < event.m_tokens; ++i) {
    if (event.m_positions[i] != i + 1) return false;
  }
  return true;
}

bool RefusedAsNotRun(const CallerEvent& event) {
  return event.m_end == CallerEnd::kRefused &&
         event.m_outcome == Outcome::kNotRun;
}

}  // namespace

std::vector<std::string> CheckLeaseHistory(
    const std::vector<LeaseInterval>& intervals) {
  std::vector<std::string> violations;
  for (const LeaseInterval& a : intervals) {
    for (const LeaseInterval& b : intervals) {
      if (a.m_duty != b.m_duty || a.m_holder == b.m_holder) continue;
      const bool overlap = a.m_from < b.m_to && b.m_from < a.m_to;
      if (overlap && &a < &b) {
        violations.push_back("two holders of " + a.m_duty + ": " + Describe(a) +
                             " and " + Describe(b));
      }
      if (a.m_to <= b.m_from && a.m_fencing_number >= b.m_fencing_number) {
        violations.push_back("fencing number of " + a.m_duty +
                             " does not increase: " + Describe(a) + " before " +
                             Describe(b));
      }
    }
  }
  return violations;
}

std::vector<std::string> CheckUsageHistory(
    const std::vector<ReportedUsage>& reports) {
  std::vector<std::string> violations;
  std::map<std::uint64_t, const ReportedUsage*> by_window;
  std::map<Position, const ReportedUsage*> by_number;
  for (const ReportedUsage& report : reports) {
    const ReportedUsage& first =
        *by_window.emplace(report.m_window, &report).first->second;
    if (first.m_figures != report.m_figures ||
        first.m_token != report.m_token) {
      violations.push_back("window " + std::to_string(report.m_window) +
                           " was reported with different figures");
    }
    const ReportedUsage& holder =
        *by_number.emplace(report.m_fencing_number, &report).first->second;
    if (!(holder.m_reporter == report.m_reporter)) {
      violations.push_back("two processes reported with fencing number " +
                           std::to_string(report.m_fencing_number));
    }
  }
  return violations;
}

std::vector<std::string> CheckRequestHistory(
    const std::vector<CallerEvent>& callers,
    const std::vector<ExecutionCount>& endpoints) {
  std::vector<std::string> violations;
  std::map<std::string, std::uint32_t> runs;
  for (const ExecutionCount& count : endpoints) {
    runs[count.m_request] += count.m_executions;
  }
  std::map<std::string, bool> may_have_run;
  for (const CallerEvent& event : callers) {
    may_have_run[event.m_request] |= !RefusedAsNotRun(event);
  }
  std::map<std::string, std::uint32_t> complete;
  for (const CallerEvent& event : callers) {
    const std::string& name = event.m_request;
    if (!event.m_repeatable && runs[name] > 1) {
      violations.push_back(name + " ran more than once");
    }
    if (event.m_end == CallerEnd::kComplete) {
      ++complete[name];
      if (!IsAnswerComplete(event)) {
        violations.push_back(name + " has an incomplete or wrong answer");
      }
      if (runs[name] == 0) {
        violations.push_back(name + " was answered without being run");
      }
      if (!event.m_repeatable && complete[name] > 1) {
        violations.push_back(name + " was answered twice");
      }
    }
    if (RefusedAsNotRun(event) && runs[name] > 0 && !may_have_run[name]) {
      violations.push_back(name + " was refused as not run, but ran");
    }
  }
  return violations;
}

std::vector<std::string> CheckOverlaps(const std::vector<WorkInterval>& work,
                                       Duration allowed) {
  std::map<std::string, std::vector<WorkInterval>> by_request;
  for (const WorkInterval& each : work) {
    by_request[each.m_request].push_back(each);
  }
  std::vector<std::string> violations;
  for (const auto& [request, intervals] : by_request) {
    for (const WorkInterval& earlier : intervals) {
      for (const WorkInterval& later : intervals) {
        if (later.m_began <= earlier.m_began) continue;
        if (earlier.m_ended <= later.m_began + allowed) continue;
        violations.push_back(
            request + " runs again " +
            std::to_string(ToMs(later.m_began - earlier.m_began)) +
            " ms after a begin whose run goes on");
      }
    }
  }
  return violations;
}

BudgetUse MeasureRetryBudget(const std::vector<TimedRequest>& sent,
                             std::vector<TimedRequest> arrived,
                             const BudgetRule& rule) {
  std::sort(arrived.begin(), arrived.end(),
            [](const TimedRequest& a, const TimedRequest& b) {
              return a.m_at < b.m_at;
            });
  std::set<std::string> seen;
  std::vector<Instant> repeated;
  for (const TimedRequest& arrival : arrived) {
    if (!seen.insert(arrival.m_request).second) {
      repeated.push_back(arrival.m_at);
    }
  }
  const auto sent_from = [&](Instant begin) {
    return std::count_if(sent.begin(), sent.end(), [&](const TimedRequest& r) {
      return r.m_at >= begin && r.m_at < begin + rule.m_window;
    });
  };
  BudgetUse worst;
  double highest = 0;
  for (const Instant begin : repeated) {
    BudgetUse use;
    use.m_repeated = std::count_if(
        repeated.begin(), repeated.end(),
        [&](Instant at) { return at >= begin && at < begin + rule.m_window; });
    use.m_requests =
        std::max({sent_from(begin), sent_from(begin - rule.m_window),
                  sent_from(begin - rule.m_window / 2)});
    use.m_allowed =
        rule.m_ratio * static_cast<double>(use.m_requests) + rule.m_slack;
    const double share = static_cast<double>(use.m_repeated) / use.m_allowed;
    if (share <= highest) continue;
    highest = share;
    worst = use;
  }
  return worst;
}

}  // namespace comfreypaddle::testing
