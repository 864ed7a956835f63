#include "hedge.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "hashmix.h"

namespace comfreypaddle {

namespace {

// Upper bound of the first bucket, in milliseconds, and ratio of two bounds.
constexpr double kFirstBoundMs = 1;
constexpr double kBoundRatio = 1.15;

// Samples from which the quantile is used.
constexpr double kMinSamples = 20;

// Samples at which all counts are halved.
constexpr double kMaxSamples = 1000;

// Longest delay as a fraction of the route's target time: the second endpoint
// needs the rest to respond in time. It also counts while too few samples are
// known.
constexpr double kMaxDelayRatio = 0.5;

// Maximum of hedges that an instance saves up.
constexpr double kMaxCredit = 1;

// Time for which a service that was too busy for a hedge gets none. Looking at
// it for every slow request would take long where all are slow.
constexpr Duration kPause = std::chrono::milliseconds(50);

// Fraction of the retry budget that hedges may use. The rest is kept for
// requests that have failed.
constexpr double kRetryBudgetFraction = 0.5;

std::size_t BucketOf(Duration time) {
  const double steps =
      std::log(std::max(ToMs(time), kFirstBoundMs) / kFirstBoundMs) /
      std::log(kBoundRatio);
  return std::min(static_cast<std::size_t>(std::ceil(steps)),
                  kResponseTimeBuckets - 1);
}

Duration UpperBound(std::size_t bucket) {
  return FromMs(kFirstBoundMs *
                std::pow(kBoundRatio, static_cast<double>(bucket)));
}

Duration Quantile(const ResponseTimes& times, double quantile) {
  double count = 0;
  for (std::size_t i = 0; i < times.m_counts.size(); ++i) {
    count += times.m_counts[i];
    if (count >= quantile * times.m_total) return UpperBound(i);
  }
  return UpperBound(kResponseTimeBuckets - 1);
}

// Even draw from 0 to 1 for this seed.
double InitialCredit(std::uint64_t seed) {
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(MixHashes(seed, kSteps) % kSteps) / kSteps;
}

RouteHedging& FindOrAddRoute(HedgeState& state, const HedgeRoute& route) {
  const auto [row, is_new] = state.m_routes.try_emplace(route);
  if (is_new) {
    const std::hash<std::string> hash;
    row->second.m_credit = InitialCredit(MixHashes(
        state.m_seed, MixHashes(hash(route.m_service), ~hash(route.m_route))));
  }
  return row->second;
}

double RouteCredit(const HedgeState& state, const HedgeRoute& route) {
  const auto found = state.m_routes.find(route);
  return found == state.m_routes.end() ? 0 : found->second.m_credit;
}

}  // namespace

void AddResponseTime(HedgeState& state, const HedgeRoute& route,
                     Duration time) {
  RouteHedging& hedging = FindOrAddRoute(state, route);
  ResponseTimes& times = hedging.m_times;
  if (times.m_total >= kMaxSamples) {
    for (double& count : times.m_counts) count /= 2;
    times.m_total /= 2;
  }
  ++times.m_counts.at(BucketOf(time));
  ++times.m_total;
  if (times.m_total < kMinSamples) return;
  hedging.m_usual = Quantile(times, state.m_limits.m_quantile);
}

void CreditRequest(HedgeState& state, const HedgeRoute& route, Instant now) {
  if (!state.m_rate_credit_at) {
    state.m_rate_credit = InitialCredit(state.m_seed);
    state.m_rate_credit_at = now;
  }
  double& credit = FindOrAddRoute(state, route).m_credit;
  credit = std::min(credit + state.m_limits.m_ratio, kMaxCredit);
}

Duration HedgeDelay(const HedgeState& state, const HedgeRoute& route,
                    Duration target) {
  const auto found = state.m_routes.find(route);
  const bool is_known =
      found != state.m_routes.end() && found->second.m_usual.has_value();
  const bool has_target = target > Duration::zero();
  const Duration longest =
      has_target ? FromMs(ToMs(target) * kMaxDelayRatio) : Duration::max();
  const Duration delay =
      is_known ? std::min(*found->second.m_usual, longest) : longest;
  return std::max(delay, state.m_limits.m_min_delay);
}

double RateCredit(const HedgeState& state, std::uint32_t instances,
                  Instant now) {
  if (!state.m_rate_credit_at) return 0;
  const double seconds = ToMs(now - *state.m_rate_credit_at) / kMsPerSecond;
  const double share =
      state.m_limits.m_rate / std::max<std::uint32_t>(instances, 1);
  return std::min(state.m_rate_credit + seconds * share, kMaxCredit);
}

std::optional<HedgeDenial> FindCreditDenial(const HedgeState& state,
                                            const HedgeRoute& route,
                                            std::uint32_t instances,
                                            Instant now) {
  if (RouteCredit(state, route) < 1) return HedgeDenial::kRatio;
  if (RateCredit(state, instances, now) < 1) return HedgeDenial::kRate;
  return std::nullopt;
}

std::optional<HedgeDenial> FindHedgeDenial(const HedgeState& state,
                                           const HedgeQuestion& question,
                                           Instant now) {
  if (!question.m_has_attempts_left) return HedgeDenial::kAttempts;
  if (question.m_is_suspect) return HedgeDenial::kSuspect;
  if (question.m_time_left < state.m_limits.m_min_delay) {
    return HedgeDenial::kTooLate;
  }
  if (question.m_is_service_queued) return HedgeDenial::kQueue;
  if (question.m_load > state.m_limits.m_max_load) return HedgeDenial::kLoad;
  const auto denial =
      FindCreditDenial(state, question.m_route, question.m_instances, now);
  if (denial) return denial;
  const ResendUse& retries = question.m_retries;
  if (retries.m_resends + 1 > kRetryBudgetFraction * retries.m_allowed) {
    return HedgeDenial::kRetryBudget;
  }
  return std::nullopt;
}

void PauseHedging(HedgeState& state, const HedgeRoute& route, Instant now) {
  FindOrAddRoute(state, route).m_paused_until = now + kPause;
}

bool IsHedgingPaused(const HedgeState& state, const HedgeRoute& route,
                     Instant now) {
  const auto found = state.m_routes.find(route);
  return found != state.m_routes.end() && now < found->second.m_paused_until;
}

void ChargeHedge(HedgeState& state, const HedgeRoute& route,
                 std::uint32_t instances, Instant now) {
  state.m_rate_credit = RateCredit(state, instances, now) - 1;
  state.m_rate_credit_at = now;
  FindOrAddRoute(state, route).m_credit -= 1;
  ++state.m_counters.m_sent;
}

}  // namespace comfreypaddle
