#include "allotmentcheck.h"

#include <xxhash.h>

#include <map>
#include <set>
#include <string>

#include "allotmentcodec.h"
#include "eventlog.h"
#include "refusal.h"

namespace comfreypaddle {

namespace {

// Period of the log lines on a workspace whose requests are refused.
constexpr Duration kLogPeriod = std::chrono::seconds(1);

void LogRefusals(RelayState& state, const RelayCall& call,
                 const AllotmentRequest& request, Instant now) {
  AllotmentUse& use = state.m_allotments.m_uses[request.m_workspace];
  if (now - use.m_logged_at < kLogPeriod) return;
  use.m_logged_at = now;
  const AllotmentView view =
      ViewAllotment(state.m_allotments, request.m_workspace, now);
  LogLine("allotment_refuses")
      .Add("workspace", call.m_workspace)
      .Add("rate_per_s", std::to_string(request.m_limit.m_rate))
      .Add("burst", std::to_string(request.m_limit.m_burst))
      .Add("cost", std::to_string(request.m_cost))
      .Add("recent", std::to_string(view.m_recent))
      .Add("own_recent", std::to_string(use.m_own.m_recent))
      .Add("target", std::to_string(view.m_target))
      .Add("demand_per_s", std::to_string(view.m_demand))
      .Add("own_demand_per_s", std::to_string(use.m_own.m_demand))
      .Add("part", std::to_string(view.m_part))
      .Add("refused", static_cast<std::int64_t>(use.m_refused));
}

}  // namespace

std::optional<AllotmentRefusal> ChargeAllotment(RelayState& state,
                                                RelayCall& call, Instant now) {
  const schema::CatalogWorkspace* workspace =
      call.m_catalog->FindWorkspace(call.m_metadata.m_key);
  if (workspace == nullptr || !workspace->has_allotment()) return std::nullopt;
  const schema::Allotment& allotment = workspace->allotment();
  const double tokens = static_cast<double>(call.m_metadata.m_prompt_tokens) +
                        call.m_metadata.m_max_output_tokens;
  AllotmentRequest request;
  request.m_workspace = WorkspaceHash(call.m_workspace);
  request.m_limit = LimitOf(allotment);
  request.m_cost = CostOf(allotment, tokens);
  const std::string& attempt = call.m_metadata.m_attempt;
  request.m_seed = XXH64(attempt.data(), attempt.size(),
                         state.m_balance.m_limit_peers.m_self);
  const AllotmentDecision decision =
      RequestAllotment(state.m_allotments, request, now);
  switch (decision.m_outcome) {
    case AllotmentOutcome::kAdmitted:
      call.m_allotment_cost = request.m_cost;
      return std::nullopt;
    case AllotmentOutcome::kNeverCovered:
      LogRefusals(state, call, request, now);
      return AllotmentRefusal{EndReason::kAllotmentTooSmall, std::nullopt};
    case AllotmentOutcome::kRefused:
      break;
  }
  LogRefusals(state, call, request, now);
  return AllotmentRefusal{EndReason::kAllotment,
                          ChooseRetryAfter(decision.m_retry_after,
                                           Duration::max(), request.m_seed)};
}

void RefundAllotment(RelayState& state, const RelayCall& call) {
  if (call.m_allotment_cost <= 0) return;
  if (call.m_runs > 0 || call.m_prefills > 0) return;
  ReturnAllotment(state.m_allotments, WorkspaceHash(call.m_workspace),
                  call.m_allotment_cost, call.m_arrived, state.m_clock());
}

void ForgetAllotments(RelayState& state) {
  std::set<std::uint32_t> limited;
  for (const schema::CatalogWorkspace& workspace :
       state.m_catalog->Message().workspaces()) {
    if (workspace.has_allotment())
      limited.insert(WorkspaceHash(workspace.name()));
  }
  ForgetUnlimited(state.m_allotments, limited, state.m_clock());
}

void AddAllotments(const RelayState& state, MetricsText* text) {
  if (state.m_catalog == nullptr || state.m_allotments.m_uses.empty()) return;
  std::map<std::string, double> used;
  std::map<std::string, double> target;
  std::map<std::string, double> admitted;
  std::map<std::string, double> refused;
  for (const schema::CatalogWorkspace& workspace :
       state.m_catalog->Message().workspaces()) {
    const std::uint32_t hash = WorkspaceHash(workspace.name());
    const auto found = state.m_allotments.m_uses.find(hash);
    if (!workspace.has_allotment() || found == state.m_allotments.m_uses.end())
      continue;
    const AllotmentView view =
        ViewAllotment(state.m_allotments, hash, state.m_clock());
    used[workspace.name()] = view.m_recent;
    target[workspace.name()] = view.m_target;
    admitted[workspace.name()] = found->second.m_admitted;
    refused[workspace.name()] = static_cast<double>(found->second.m_refused);
  }
  text->Gauges("relay_allotment_recent",
               "recent use of all instances, decaying at the allotted rate",
               "workspace", used);
  text->Gauges("relay_allotment_target",
               "recent use above which requests are refused", "workspace",
               target);
  text->Gauges("relay_allotment_admitted",
               "tokens or requests admitted by this instance", "workspace",
               admitted);
  text->Gauges("relay_allotment_refused",
               "requests refused by this instance for their allotment",
               "workspace", refused);
}

}  // namespace comfreypaddle
