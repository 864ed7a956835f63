#include "benchusage.h"

#include <utility>

namespace comfreypaddle {
namespace {

constexpr Duration kWindow = std::chrono::seconds(30);
constexpr Duration kReportDeadline = std::chrono::seconds(5);

// One in this many responses is lost, and one in this many flushes is also
// appended by a peer.
constexpr std::uint64_t kAnswerLossDivisor = 20;
constexpr std::uint64_t kPeerAppendDivisor = 10;

constexpr std::uint64_t kIncarnation = 1;

Writer WriterOf(std::uint64_t instance) {
  return {"entry-" + std::to_string(instance), kIncarnation};
}

bool OneIn(SimulatedUsage& run, std::uint64_t count) {
  return run.m_random() % count == 0;
}

void AddUsage(UsageTotals& sum, const UsageDelta& delta) {
  sum.m_requests += delta.m_requests;
  sum.m_prompt_tokens += delta.m_prompt_tokens;
  sum.m_output_tokens += delta.m_output_tokens;
}

void MakeFlushes(SimulatedUsage& run) {
  for (std::uint64_t i = 0; i < kBenchInstances; ++i) {
    if (run.m_pending[i].empty()) continue;
    UsageFlush flush{WriterOf(i), ++run.m_sequence[i], {}};
    for (auto& [name, delta] : run.m_pending[i]) {
      flush.m_deltas.push_back(delta);
    }
    run.m_pending[i].clear();
    run.m_pending_flushes.push_back(std::move(flush));
  }
}

// Appends all flushes. Flushes whose response is lost are kept and sent again.
void AppendFlushes(SimulatedUsage& run) {
  std::deque<UsageFlush> unconfirmed;
  for (const UsageFlush& flush : run.m_pending_flushes) {
    ApplyUsageFlush(run.m_usage_state, flush, ++run.m_offset);
    if (OneIn(run, kPeerAppendDivisor)) {
      ApplyUsageFlush(run.m_usage_state, flush, ++run.m_offset);
    }
    if (OneIn(run, kAnswerLossDivisor)) unconfirmed.push_back(flush);
  }
  run.m_pending_flushes = std::move(unconfirmed);
}

// Acquires or renews the usage lease. If the lease has expired, another
// instance acquires it.
Writer ClaimLease(SimulatedUsage& run, Instant now) {
  const Lease* lease = FindLease(run.m_leases, kUsageDuty);
  Writer holder = WriterOf(0);
  if (lease != nullptr) {
    holder = lease->m_holder;
    if (now > FollowerDeadline(*lease)) {
      holder = WriterOf(1 + run.m_random() % (kBenchInstances - 1));
    }
  }
  const LeaseClaim claim = MakeClaim(lease, kUsageDuty, holder, LeaseOptions{});
  ApplyLeaseClaim(run.m_leases, holder, claim, MakePosition(++run.m_offset, 0),
                  now);
  return holder;
}

// Sends a report. A repeated token with different figures counts as wrong.
void SendReport(SimulatedUsage& run, const ClosedWindow& window) {
  const auto [known, added] =
      run.m_reports_by_token.emplace(window.m_position, window.m_figures);
  if (!added) {
    if (known->second != window.m_figures) ++run.m_wrong_reports;
    return;
  }
  for (const UsageDelta& delta : window.m_figures) {
    AddUsage(run.m_reported_totals[delta.m_workspace], delta);
  }
}

void CloseWindow(SimulatedUsage& run, Instant now) {
  const Writer holder = ClaimLease(run, now);
  const Position number = FindLease(run.m_leases, kUsageDuty)->m_fencing_number;
  const auto close = [&](const Writer& writer, Position fencing_number) {
    return ApplyUsageClose(run.m_usage_state, run.m_leases, writer,
                           {run.m_window, fencing_number},
                           MakePosition(++run.m_offset, 0));
  };
  close({"entry-9", kIncarnation}, number - 1);
  const CloseResult result = close(holder, number);
  if (result.m_verdict != Verdict::kAccepted) {
    ++run.m_wrong_reports;
    return;
  }
  SendReport(run, *result.m_window);
  if (OneIn(run, kAnswerLossDivisor)) SendReport(run, *result.m_window);
  ApplyUsageReported(run.m_usage_state, {run.m_window});
  ++run.m_window;
}

}  // namespace

void RecordUsage(SimulatedUsage& run, const Arrival& arrival) {
  const std::string name = "workspace-" + std::to_string(arrival.m_workspace);
  UsageDelta& delta = run.m_pending[arrival.m_instance][name];
  const UsageDelta usage{name, "models", 1,
                         static_cast<std::uint64_t>(arrival.m_prompt_tokens),
                         static_cast<std::uint64_t>(arrival.m_output_tokens)};
  delta.m_workspace = usage.m_workspace;
  delta.m_target = usage.m_target;
  delta.m_requests += usage.m_requests;
  delta.m_prompt_tokens += usage.m_prompt_tokens;
  delta.m_output_tokens += usage.m_output_tokens;
  AddUsage(run.m_actual_totals[name], usage);
}

void StepUsage(SimulatedUsage& run, bool log_down, Instant now) {
  MakeFlushes(run);
  if (run.m_log_unavailable && !log_down) run.m_writable_since = now;
  run.m_log_unavailable = log_down;
  if (log_down) return;
  AppendFlushes(run);
  ClaimLease(run, now);
  const Instant end =
      kBenchStart + kWindow * static_cast<std::int64_t>(run.m_window);
  if (now < end) return;
  if (now - std::max(end, run.m_writable_since) > kReportDeadline) {
    ++run.m_wrong_reports;
  }
  CloseWindow(run, now);
}

std::uint64_t FinishUsage(SimulatedUsage& run, Instant now) {
  MakeFlushes(run);
  while (!run.m_pending_flushes.empty()) AppendFlushes(run);
  CloseWindow(run, now);
  for (const auto& [name, figures] : run.m_actual_totals) {
    if (run.m_reported_totals[name] != figures) ++run.m_wrong_reports;
  }
  return run.m_wrong_reports;
}

}  // namespace comfreypaddle
