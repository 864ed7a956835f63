#include "allotment.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "hashmix.h"

namespace comfreypaddle {

namespace {

// Parts of the tolerance that belong to the target level. The rest is for what
// the instances admit before they know of each other's use.
constexpr double kOvershootPart = 0.25;
constexpr double kSlackPart = 0.5;

// Shortest time in which the target level decays.
constexpr double kMinDecayS = 0.25;

// Time in which a deviation from the target level is corrected, a few times the
// delay of news from other instances.
constexpr double kCorrectionS = 0.4;

// Time constant of the demand.
constexpr double kDemandS = 0.5;

// Age from which the use of the others is outdated. Shorter gaps come from slow
// machines and lost packets.
constexpr Duration kMaxUseAge = std::chrono::milliseconds(1200);

// Instances that a process assumes before it is in their list.
constexpr std::uint32_t kAssumedInstances = 100;

// Part of its equal share that a starting process counts as used, because it
// does not know what its predecessor has used.
constexpr double kAssumedUse = 0.5;

// Part of its equal share below which an instance does not tell its use.
constexpr double kUntoldPart = 0.1;

// Time for which the use of a workspace without a limit is kept, so that an
// older configuration with the limit does not start from nothing.
constexpr Duration kKeepUnlimited = std::chrono::minutes(5);

// Longest time until a request is covered that is worth telling.
constexpr double kMaxRetryS = 3600;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// What the rule tolerates beyond rate and burst in a window.
double ToleranceOf(const AllotmentTolerance& tolerance,
                   const AllotmentLimit& limit) {
  return tolerance.m_overshoot *
             (limit.m_rate * Seconds(tolerance.m_window) + limit.m_burst) +
         tolerance.m_slack;
}

// Level of the recent use of all instances at which they admit the rate.
double TargetOf(const AllotmentTolerance& tolerance,
                const AllotmentLimit& limit) {
  const double overshoot = ToleranceOf(tolerance, limit) - tolerance.m_slack;
  const double target = limit.m_burst + kOvershootPart * overshoot +
                        kSlackPart * tolerance.m_slack;
  return std::max(target, limit.m_rate * kMinDecayS);
}

double DecayOver(Duration time, double constant_s) {
  return std::exp(-Seconds(std::max(time, Duration(0))) / constant_s);
}

double UseDecay(const AllotmentState& state, const AllotmentLimit& limit,
                Duration time) {
  return DecayOver(time, TargetOf(state.m_tolerance, limit) / limit.m_rate);
}

bool HasNews(const AllotmentState& state, Instant now) {
  return state.m_heard_at != Instant{} && now - state.m_heard_at < kMaxUseAge;
}

// Number of instances that the use of the others and of this one covers.
std::uint32_t KnownInstances(const AllotmentState& state, Instant now) {
  return HasNews(state, now) ? state.m_others.m_instances + 1 : 1;
}

std::uint32_t SharingInstances(const AllotmentState& state, Instant now) {
  const std::uint32_t known = KnownInstances(state, now);
  if (state.m_is_listed) return std::max(state.m_instances, known);
  return std::max({state.m_instances + 1, known, kAssumedInstances});
}

// Part of the allotments that belongs to the known instances.
double KnownPart(const AllotmentState& state, Instant now) {
  return static_cast<double>(KnownInstances(state, now)) /
         SharingInstances(state, now);
}

WorkspaceUse OthersOf(const AllotmentState& state, std::uint32_t workspace,
                      Instant now) {
  if (!HasNews(state, now)) return {};
  const auto found = state.m_others.m_uses.find(workspace);
  return found == state.m_others.m_uses.end() ? WorkspaceUse{} : found->second;
}

WorkspaceUse OwnAt(const AllotmentState& state, const AllotmentUse& use,
                   Instant now) {
  const Duration age = now - use.m_updated;
  return {use.m_own.m_recent * UseDecay(state, use.m_limit, age),
          use.m_own.m_demand * DecayOver(age, kDemandS)};
}

// Returns the use of the workspace with its figures as of now.
AllotmentUse& UpdateUse(AllotmentState& state, const AllotmentRequest& request,
                        Instant now) {
  const auto [found, is_new] = state.m_uses.try_emplace(request.m_workspace);
  AllotmentUse& use = found->second;
  if (is_new) {
    use.m_own.m_recent = kAssumedUse *
                         TargetOf(state.m_tolerance, request.m_limit) /
                         SharingInstances(state, now);
  } else {
    use.m_own = OwnAt(state, use, now);
  }
  use.m_updated = now;
  use.m_limit = request.m_limit;
  return use;
}

// Whether the request fits into what a window tolerates. One that costs more
// than that waits until nearly nothing is used.
bool Fits(const AllotmentState& state, const AllotmentRequest& request,
          const AllotmentView& view) {
  constexpr double kNearlyUnused = 0.1;
  const double room =
      view.m_part * (request.m_limit.m_burst +
                     ToleranceOf(state.m_tolerance, request.m_limit));
  return view.m_recent <=
         std::max(room - request.m_cost, kNearlyUnused * view.m_target);
}

// Fraction of the demand that all instances admit.
double AdmittedFraction(const AllotmentLimit& limit,
                        const AllotmentView& view) {
  const double admitted = view.m_part * limit.m_rate +
                          (view.m_target - view.m_recent) / kCorrectionS;
  return std::clamp(admitted / view.m_demand, 0.0, 1.0);
}

// Number in [0, 1) that differs between the requests of an instance.
double DrawOf(std::uint64_t seed, std::uint64_t number) {
  return static_cast<double>(MixHashes(seed, number) >> 11U) * 0x1p-53;
}

// Time until the recent use has decayed to its target level.
double SecondsToTarget(const AllotmentState& state, const AllotmentLimit& limit,
                       const AllotmentView& view) {
  if (view.m_recent <= view.m_target) return 0;
  const double decay_s = TargetOf(state.m_tolerance, limit) / limit.m_rate;
  return decay_s * std::log(view.m_recent / view.m_target);
}

// Time in which the share of this instance covers the request.
Duration TimeToCover(const AllotmentState& state,
                     const AllotmentRequest& request, const AllotmentView& view,
                     const WorkspaceUse& own) {
  const double share = view.m_part * request.m_limit.m_rate * own.m_demand /
                       std::max(view.m_demand, own.m_demand);
  const double seconds = std::min(
      SecondsToTarget(state, request.m_limit, view) + request.m_cost / share,
      kMaxRetryS);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::uint32_t WorkspaceHash(std::string_view name) {
  return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0));
}

AllotmentDecision RequestAllotment(AllotmentState& state,
                                   const AllotmentRequest& request,
                                   Instant now) {
  if (request.m_limit.m_rate <= 0 || request.m_cost <= 0) return {};
  AllotmentUse& use = UpdateUse(state, request, now);
  ++use.m_requests;
  const double most =
      std::max(request.m_limit.m_rate * Seconds(state.m_tolerance.m_window),
               request.m_limit.m_burst) +
      ToleranceOf(state.m_tolerance, request.m_limit);
  if (request.m_cost > most) {
    ++use.m_refused;
    return {AllotmentOutcome::kNeverCovered, Duration(0)};
  }
  use.m_own.m_demand += request.m_cost / kDemandS;
  const AllotmentView view = ViewAllotment(state, request.m_workspace, now);
  if (!Fits(state, request, view) ||
      DrawOf(request.m_seed, use.m_requests) >=
          AdmittedFraction(request.m_limit, view)) {
    ++use.m_refused;
    return {AllotmentOutcome::kRefused,
            TimeToCover(state, request, view, use.m_own)};
  }
  use.m_own.m_recent += request.m_cost;
  use.m_admitted += request.m_cost;
  return {};
}

void ReturnAllotment(AllotmentState& state, std::uint32_t workspace,
                     double cost, Instant admitted_at, Instant now) {
  const auto found = state.m_uses.find(workspace);
  if (found == state.m_uses.end()) return;
  AllotmentUse& use = found->second;
  use.m_own = OwnAt(state, use, now);
  use.m_updated = now;
  const double left = cost * UseDecay(state, use.m_limit, now - admitted_at);
  use.m_own.m_recent = std::max(use.m_own.m_recent - left, 0.0);
  use.m_admitted = std::max(use.m_admitted - cost, 0.0);
}

void SetOtherUses(AllotmentState& state, InstanceUses others, Instant now) {
  state.m_others = std::move(others);
  state.m_heard_at = now;
}

void ForgetUnlimited(AllotmentState& state,
                     const std::set<std::uint32_t>& limited, Instant now) {
  std::erase_if(state.m_uses, [&](const auto& entry) {
    return !limited.contains(entry.first) &&
           now - entry.second.m_updated >= kKeepUnlimited;
  });
}

InstanceUses UsesToShare(const AllotmentState& state, Instant now) {
  InstanceUses shared;
  shared.m_instances = 1;
  const double instances = SharingInstances(state, now);
  for (const auto& [workspace, use] : state.m_uses) {
    const WorkspaceUse own = OwnAt(state, use, now);
    const double target = TargetOf(state.m_tolerance, use.m_limit);
    const bool is_told =
        own.m_recent * instances > kUntoldPart * target ||
        own.m_demand * instances > kUntoldPart * use.m_limit.m_rate;
    if (is_told) shared.m_uses[workspace] = own;
  }
  return shared;
}

AllotmentView ViewAllotment(const AllotmentState& state,
                            std::uint32_t workspace, Instant now) {
  const auto found = state.m_uses.find(workspace);
  if (found == state.m_uses.end()) return {};
  const WorkspaceUse own = OwnAt(state, found->second, now);
  const WorkspaceUse others = OthersOf(state, workspace, now);
  AllotmentView view;
  view.m_part = KnownPart(state, now);
  view.m_recent = own.m_recent + others.m_recent;
  view.m_demand = own.m_demand + others.m_demand;
  view.m_target =
      view.m_part * TargetOf(state.m_tolerance, found->second.m_limit);
  return view;
}

}  // namespace comfreypaddle
