#include "endpointstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreypaddle {

namespace {

// How long an endpoint gets no requests after it rejected one as full.
constexpr Duration kFullBackoff = std::chrono::milliseconds(60);

// Backoff after an endpoint's first failure. It doubles with each consecutive
// failure up to the maximum.
constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(5);

// Weight of one response in the failure rate, the rate at which an endpoint is
// avoided even though it answers some requests, and for how long. A healthy
// endpoint that loses one connection stays below the threshold.
constexpr double kFailureRateWeight = 0.15;
constexpr double kHighFailureRate = 0.25;
constexpr Duration kHighFailureRateBackoff = std::chrono::milliseconds(1500);

// A restarted endpoint appears in the endpoint list within this time: one
// heartbeat and one poll.
constexpr Duration kReplacedBackoff = std::chrono::milliseconds(2000);

// Longest pause that an endpoint may ask for. A faulty one must not take itself
// out for good.
constexpr Duration kMaxRequestedPause = std::chrono::seconds(60);

// Largest difference between the clocks of this machine and an endpoint's.
constexpr Duration kMaxClockDifference = std::chrono::seconds(2);

// How long the state of an endpoint that vanished from the list is kept.
constexpr Duration kVanishedRetention = std::chrono::minutes(10);

// Uses of prefixes that are kept for the next message to the other instances.
constexpr std::size_t kMaxNewPrefixes = 64;

// Number of samples of the prefill speed of which the fastest one is taken.
constexpr std::uint32_t kInitialSamples = 5;

// Weights of a further sample of the prefill speed. Queueing only makes a
// sample slower, so the estimate follows the fast samples.
constexpr double kFasterSampleWeight = 0.2;
constexpr double kSlowerSampleWeight = 0.01;

// Weight of a new sample of the queueing delay.
constexpr double kWaitSampleWeight = 0.5;

// Time to the first token in addition to prefill, in milliseconds.
constexpr double kFirstTokenOverheadMs = 35;

// Pause after a rejection. A requested pause that is no positive number counts
// as none.
Duration PauseOf(std::optional<double> requested_s) {
  if (!requested_s || !(*requested_s > 0)) return kFullBackoff;
  const double limit_s =
      std::chrono::duration<double>(kMaxRequestedPause).count();
  const std::chrono::duration<double> pause(std::min(*requested_s, limit_s));
  // Rounded up: the endpoint must not be asked before its pause ends.
  return std::max<Duration>(std::chrono::ceil<Duration>(pause), kFullBackoff);
}

// Updates the prefill speed. The value before the first sample is a guess.
void AddSpeedSample(EngineSpeed& speed, double sample) {
  double& estimate = speed.m_prefill_tokens_per_ms;
  if (speed.m_samples == 0) {
    estimate = sample;
  } else if (speed.m_samples < kInitialSamples) {
    estimate = std::max(estimate, sample);
  } else {
    const double weight =
        sample > estimate ? kFasterSampleWeight : kSlowerSampleWeight;
    estimate += weight * (sample - estimate);
  }
  if (speed.m_samples < kInitialSamples) ++speed.m_samples;
  constexpr double kMinSpeed = 10;
  constexpr double kMaxSpeed = 1000;
  estimate = std::clamp(estimate, kMinSpeed, kMaxSpeed);
}

bool IsSameLifetime(const BalanceEndpoint& endpoint, std::uint64_t born_ms,
                    const std::string& address) {
  return endpoint.m_born_ms == born_ms && endpoint.m_address == address;
}

// Copies what this instance has learnt of an endpoint to its new entry.
void KeepLearntState(const BalanceEndpoint& known, BalanceEndpoint& entry) {
  entry.m_leaving = known.m_leaving;
  entry.m_leaving_born_ms = known.m_leaving_born_ms;
  entry.m_is_outdated = known.m_is_outdated;
  entry.m_running = known.m_running;
  entry.m_prefill_ms = known.m_prefill_ms;
  entry.m_remote_running = known.m_remote_running;
  entry.m_remote_prefill_ms = known.m_remote_prefill_ms;
  entry.m_remote_reported_at = known.m_remote_reported_at;
  entry.m_wait_ms = known.m_wait_ms;
  entry.m_wait_sampled_at = known.m_wait_sampled_at;
  entry.m_last_response_at = known.m_last_response_at;
  entry.m_full_until = known.m_full_until;
  entry.m_full_at = known.m_full_at;
  entry.m_avoid_until = known.m_avoid_until;
  entry.m_limit = known.m_limit;
  entry.m_memory = known.m_memory;
  entry.m_failures = known.m_failures;
  entry.m_failure_rate = known.m_failure_rate;
}

// Copies what a restarted endpoint said while the list still showed its former
// lifetime: that it leaves, its pause and its limit.
void KeepEarlyStatements(const BalanceEndpoint& former,
                         BalanceEndpoint& entry) {
  if (former.m_leaving_born_ms == entry.m_born_ms) {
    entry.m_leaving = former.m_leaving_born_ms != 0;
  } else if (former.m_leaving_born_ms > entry.m_born_ms) {
    entry.m_leaving_born_ms = former.m_leaving_born_ms;
  }
  if (former.m_address != entry.m_address || entry.m_born_at == Instant{} ||
      former.m_born_ms > entry.m_born_ms) {
    return;
  }
  if (!IsOfFormerLifetime(entry, former.m_full_at)) {
    entry.m_full_at = former.m_full_at;
    entry.m_full_until = former.m_full_until;
  }
  const std::optional<LimitStatement>& limit = former.m_limit.m_statement;
  if (limit && !IsOfFormerLifetime(entry, limit->m_said_at)) {
    entry.m_limit = former.m_limit;
  }
}

// Restores what an endpoint that was missing from the list had said.
void RestoreVanished(BalanceState& state, BalanceEndpoint& entry, Instant now) {
  const auto found = state.m_vanished.find(entry.m_id);
  if (found == state.m_vanished.end()) return;
  const BalanceEndpoint& last = found->second.m_last;
  if (IsSameLifetime(entry, last.m_born_ms, last.m_address)) {
    entry.m_leaving = last.m_leaving;
    entry.m_leaving_born_ms = last.m_leaving_born_ms;
    entry.m_full_until = last.m_full_until;
    entry.m_full_at = last.m_full_at;
    entry.m_limit = last.m_limit;
  } else {
    KeepEarlyStatements(last, entry);
  }
  SelectHolders(entry.m_limit, entry.m_hash, state.m_limit_peers, now);
  state.m_vanished.erase(found);
}

// Keeps what an endpoint said that is no longer in the list.
void RecordVanished(BalanceState& state, const BalanceEndpoint& endpoint,
                    Instant now) {
  if (!endpoint.m_draining && !endpoint.m_leaving &&
      endpoint.m_full_until <= now && !IsLimited(endpoint.m_limit)) {
    return;
  }
  state.m_vanished[endpoint.m_id] = {endpoint, now};
}

void DiscardOldVanished(BalanceState& state, Instant now) {
  for (auto at = state.m_vanished.begin(); at != state.m_vanished.end();) {
    const bool old = now - at->second.m_vanished > kVanishedRetention;
    at = old ? state.m_vanished.erase(at) : std::next(at);
  }
}

}  // namespace

std::vector<std::string> UpdateEndpoints(BalanceState& state,
                                         std::vector<BalanceEndpoint> list,
                                         Instant now) {
  DiscardOldVanished(state, now);
  std::vector<std::string> obsolete_addresses;
  std::map<std::string, BalanceEndpoint, std::less<>> next;
  for (BalanceEndpoint& entry : list) {
    const BalanceEndpoint* known = FindEndpoint(state, entry.m_id);
    if (known == nullptr) {
      RestoreVanished(state, entry, now);
    } else if (IsSameLifetime(entry, known->m_born_ms, known->m_address)) {
      KeepLearntState(*known, entry);
    } else {
      KeepEarlyStatements(*known, entry);
      obsolete_addresses.push_back(known->m_address);
    }
    const std::string id = entry.m_id;
    next[id] = std::move(entry);
  }
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (next.count(id) > 0) continue;
    RecordVanished(state, endpoint, now);
    obsolete_addresses.push_back(endpoint.m_address);
  }
  state.m_endpoints = std::move(next);
  return obsolete_addresses;
}

BalanceEndpoint* FindEndpoint(BalanceState& state, const std::string& id) {
  const auto found = state.m_endpoints.find(id);
  return found == state.m_endpoints.end() ? nullptr : &found->second;
}

const BalanceEndpoint* FindEndpoint(const BalanceState& state,
                                    const std::string& id) {
  const auto found = state.m_endpoints.find(id);
  return found == state.m_endpoints.end() ? nullptr : &found->second;
}

bool AcceptsRequests(const BalanceEndpoint& endpoint, Instant now) {
  return !endpoint.m_draining && !endpoint.m_leaving &&
         now >= endpoint.m_full_until;
}

bool MaySend(const BalanceState& state, const BalanceEndpoint& endpoint,
             Instant now) {
  return AcceptsRequests(endpoint, now) &&
         MaySendWithin(endpoint.m_limit, state.m_limit_peers, now);
}

bool IsOfFormerLifetime(const BalanceEndpoint& endpoint, Instant said) {
  return said + kMaxClockDifference < endpoint.m_born_at;
}

void CountToLimit(BalanceState& state, const std::string& endpoint,
                  Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found != nullptr) CountSent(found->m_limit, now);
}

bool OnLimitStatement(BalanceState& state, const std::string& endpoint,
                      const LimitStatement& statement, Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  return found != nullptr && !IsOfFormerLifetime(*found, statement.m_said_at) &&
         ApplyStatement(found->m_limit, statement, found->m_hash,
                        state.m_limit_peers, now);
}

void SetLimitPeers(BalanceState& state, LimitPeers peers, Instant now) {
  state.m_limit_peers = std::move(peers);
  for (auto& [id, endpoint] : state.m_endpoints) {
    SelectHolders(endpoint.m_limit, endpoint.m_hash, state.m_limit_peers, now);
  }
}

void OnRequestDispatched(BalanceState& state, const std::string& endpoint,
                         double work_ms) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  ++found->m_running;
  found->m_prefill_ms += work_ms;
}

void OnPrefixCached(BalanceState& state, const std::string& endpoint,
                    std::uint64_t prefix_hash, double tokens, Instant now) {
  const BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr || tokens <= kMaxUnroutedPrefixTokens) return;
  const bool is_news = RecordPrefix(state.m_prefixes, prefix_hash, endpoint,
                                    found->m_born_ms, now);
  if (!is_news || state.m_new_prefixes.size() >= kMaxNewPrefixes) return;
  state.m_new_prefixes.push_back({prefix_hash, found->m_hash});
}

std::vector<CachedPrefix> TakeNewPrefixes(BalanceState& state) {
  return std::exchange(state.m_new_prefixes, {});
}

void OnPeerPrefix(BalanceState& state, const BalanceEndpoint& endpoint,
                  std::uint64_t prefix_hash, Instant now) {
  RecordPrefix(state.m_prefixes, prefix_hash, endpoint.m_id, endpoint.m_born_ms,
               now);
}

void OnPrefillDone(BalanceState& state, const std::string& endpoint,
                   double work_ms) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  found->m_prefill_ms = std::max(0.0, found->m_prefill_ms - work_ms);
}

void OnRequestCompleted(BalanceState& state, const std::string& endpoint,
                        std::uint64_t born_ms, double work_ms) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr || found->m_born_ms != born_ms) return;
  if (found->m_running > 0) --found->m_running;
  found->m_prefill_ms = std::max(0.0, found->m_prefill_ms - work_ms);
}

void HoldEndpointMemory(BalanceState& state, const std::string& endpoint,
                        const MemoryNeed& need) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found != nullptr) HoldMemory(found->m_memory, need);
}

void ReleaseEndpointMemory(BalanceState& state, const std::string& endpoint,
                           std::uint64_t born_ms, const MemoryNeed& need) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr || found->m_born_ms != born_ms) return;
  ReleaseMemory(found->m_memory, need);
}

void OnEndpointAnswered(BalanceState& state, const std::string& endpoint,
                        Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  found->m_failures = 0;
  found->m_failure_rate -= kFailureRateWeight * found->m_failure_rate;
  if (found->m_failure_rate < kHighFailureRate) found->m_avoid_until = {};
  found->m_last_response_at = now;
}

void OnEndpointFull(BalanceState& state, const std::string& endpoint,
                    std::optional<double> retry_after_s, Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  const Instant until = now + PauseOf(retry_after_s);
  found->m_full_until = std::max(found->m_full_until, until);
  found->m_full_at = now;
}

bool OnEndpointLeaving(BalanceState& state, const std::string& endpoint) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr || found->m_leaving) return false;
  found->m_leaving = true;
  return true;
}

bool OnLifetimeLeaving(BalanceState& state, const std::string& endpoint,
                       std::uint64_t born_ms) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr || born_ms < found->m_born_ms) return false;
  if (born_ms == found->m_born_ms) return OnEndpointLeaving(state, endpoint);
  found->m_leaving = true;
  return std::exchange(found->m_leaving_born_ms, born_ms) != born_ms;
}

void OnEndpointFailed(BalanceState& state, const std::string& endpoint,
                      Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  constexpr std::uint32_t kMaxDoublings = 5;
  const std::uint32_t doublings = std::min(found->m_failures, kMaxDoublings);
  Duration pause = std::min<Duration>(
      kInitialFailureBackoff * (1U << doublings), kMaxFailureBackoff);
  found->m_failure_rate += kFailureRateWeight * (1 - found->m_failure_rate);
  if (found->m_failure_rate >= kHighFailureRate) {
    pause = std::max(pause, kHighFailureRateBackoff);
  }
  found->m_avoid_until = now + pause;
  ++found->m_failures;
}

void OnEndpointReplaced(BalanceState& state, const std::string& endpoint,
                        Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  found->m_full_until = std::max(found->m_full_until, now + kReplacedBackoff);
}

void OnPrefillTimed(BalanceState& state, const std::string& endpoint,
                    const PrefillTiming& timing, Instant now) {
  BalanceEndpoint* found = FindEndpoint(state, endpoint);
  if (found == nullptr) return;
  const double wait = std::max(
      0.0, timing.m_elapsed_ms - timing.m_work_ms - kFirstTokenOverheadMs);
  found->m_wait_ms += kWaitSampleWeight * (wait - found->m_wait_ms);
  found->m_wait_sampled_at = now;
  // Short prompts are dominated by fixed costs and say little about the speed.
  constexpr double kMinTokens = 2000;
  if (timing.m_tokens < kMinTokens || timing.m_elapsed_ms <= 1) return;
  AddSpeedSample(state.m_speeds[found->m_service],
                 timing.m_tokens / timing.m_elapsed_ms);
}

}  // namespace comfreypaddle
