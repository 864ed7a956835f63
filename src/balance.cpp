#include "balance.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace comfreypaddle {

namespace {

// Pause of an endpoint that rejected a request as full.
constexpr Duration kFullPause = std::chrono::milliseconds(60);

// Pause of an endpoint after its first failure; it doubles with each further
// one up to the longest.
constexpr Duration kFirstPause = std::chrono::milliseconds(300);
constexpr Duration kLongestPause = std::chrono::seconds(5);

// Weight of one answer in the failure rate, the rate from which an endpoint is
// avoided although it answers some requests, and for how long. A sound
// endpoint that loses one connection stays below it.
constexpr double kRateWeight = 0.15;
constexpr double kHighRate = 0.25;
constexpr Duration kHighRatePause = std::chrono::milliseconds(1500);

// Time in which the list of endpoints tells of a new lifetime: a heartbeat and
// a poll.
constexpr Duration kReplacedPause = std::chrono::milliseconds(2000);

// Differences of estimates below this are not taken for real, milliseconds.
constexpr double kSpreadMs = 4;

// Estimated cost of a call to another region, milliseconds: the way there and
// back, and its price in bytes.
constexpr double kOtherRegionMs = 30;
constexpr double kOtherZoneMs = 2;

// A decode endpoint reads prompts at this part of a prefill endpoint's speed:
// at half of it, between the steps of the requests that it runs.
constexpr double kDecodePrefillSpeed = 0.3;

// Fixed time of a move of a KV cache, milliseconds.
constexpr double kMoveSetupMs = 12;

// Time of a request at a plain service, milliseconds, as far as it matters for
// the comparison of endpoints.
constexpr double kServiceMs = 60;

// Work of other instances at an endpoint for each unit of one's own. The own
// part is noisy, so only a part of the other instances is added.
constexpr double kOthersFactor = 2.0;

// Age up to which the load that other instances told is used.
constexpr Duration kOthersAge = std::chrono::milliseconds(400);

// Time that one more running request costs those at an endpoint, milliseconds,
// and what a request costs that finds all slots taken.
constexpr double kRunningMs = 1.5;
constexpr double kNoSlotMs = 40;

// Weights of a new sample of the prefill speed. Waiting only makes a sample
// slower, so the estimate follows the fast ones.
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.01;

// Weight of a new sample of the wait at an endpoint, and the time in which an
// old one loses its meaning.
constexpr double kWaitWeight = 0.5;
constexpr double kWaitDecayMs = 500;

// Time to the first token beyond the reading of the prompt, milliseconds.
constexpr double kFirstTokenMs = 35;

// Shared parts of a prompt up to this size are read anywhere.
constexpr double kSmallSharedTokens = 1500;

// Cost of reading shared parts once more: it also displaces others.
constexpr double kRepeatedReadFactor = 1.5;

bool IsExcluded(const BalanceQuery& query, const std::string& id) {
  return std::find(query.m_excluded.begin(), query.m_excluded.end(), id) !=
         query.m_excluded.end();
}

// Each instance may fill an endpoint by itself: the others may be idle.
bool HasRoom(const BalanceEndpoint& endpoint, Instant now) {
  if (endpoint.m_draining || now < endpoint.m_full_until) return false;
  return endpoint.m_running < endpoint.m_slots;
}

double DistanceMs(const BalanceState& state, const BalanceEndpoint& endpoint) {
  if (endpoint.m_zone == state.m_zone) return 0;
  return endpoint.m_region == state.m_region ? kOtherZoneMs : kOtherRegionMs;
}

// Mixes an endpoint's hash with another number.
std::uint64_t MixHash(const BalanceEndpoint& endpoint, std::uint64_t other) {
  std::uint64_t x = endpoint.m_hash ^ other;
  x ^= x >> 33U;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33U;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33U;
}

// Rank of an endpoint for a shared part: the highest is its home. All
// instances compute the same.
std::uint64_t RendezvousRank(const BalanceEndpoint& endpoint,
                             std::uint64_t part) {
  return MixHash(endpoint, part);
}

// Adds less than kSpreadMs to an estimate, a different amount for each request
// and endpoint. Each instance sees few requests, so most endpoints look equally
// idle to it, and all instances would choose the same one.
double SpreadMs(const BalanceEndpoint& endpoint, const BalanceQuery& query) {
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step = MixHash(endpoint, query.m_spread) % kSteps;
  return kSpreadMs * static_cast<double>(step) / kSteps;
}

// Requests and prefill work at an endpoint.
struct Load {
  double m_running = 0;
  double m_prefill_ms = 0;
};

// Load of all instances. Without word of the others they are taken to have a
// multiple of the own load there.
Load LoadOf(const BalanceEndpoint& endpoint, Instant now) {
  if (now - endpoint.m_others_seen < kOthersAge) {
    return {static_cast<double>(endpoint.m_running + endpoint.m_others_running),
            endpoint.m_prefill_ms + endpoint.m_others_prefill_ms};
  }
  return {kOthersFactor * endpoint.m_running,
          kOthersFactor * endpoint.m_prefill_ms};
}

// Cost of running a request at an endpoint beside those that are there.
double RunningMs(const BalanceEndpoint& endpoint, const Load& load) {
  const double over = std::max(0.0, load.m_running + 1 - endpoint.m_slots);
  return kRunningMs * load.m_running + kNoSlotMs * over;
}

using Candidates = std::vector<const BalanceEndpoint*>;

// Endpoints of the stage that may take the request. Those that failed lately
// are left out unless there are no others.
Candidates FindCandidates(const BalanceState& state, const BalanceQuery& query,
                          EngineStage stage, Instant now, bool* last_resort) {
  Candidates good;
  Candidates failed;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (endpoint.m_service != query.m_service || endpoint.m_stage != stage) {
      continue;
    }
    if (!HasRoom(endpoint, now) || IsExcluded(query, id)) continue;
    (now < endpoint.m_avoid_until ? failed : good).push_back(&endpoint);
  }
  *last_resort = good.empty();
  return good.empty() ? failed : good;
}

EngineSpeed SpeedOf(const BalanceState& state, const std::string& service) {
  const auto found = state.m_speeds.find(service);
  return found == state.m_speeds.end() ? EngineSpeed{} : found->second;
}

// Estimated time of reading the prompt at an endpoint.
struct PrefillEstimate {
  double m_wait_ms = 0;
  double m_work_ms = 0;

  double Total() const { return m_wait_ms + m_work_ms; }
};

// Time that a request would wait at the endpoint now.
double WaitMs(const BalanceEndpoint& endpoint, Instant now) {
  const double age =
      std::chrono::duration<double, std::milli>(now - endpoint.m_wait_seen)
          .count();
  const double learned = endpoint.m_wait_ms * std::exp(-age / kWaitDecayMs);
  return std::max(LoadOf(endpoint, now).m_prefill_ms, learned);
}

PrefillEstimate EstimatePrefill(const BalanceEndpoint& endpoint,
                                const BalanceQuery& query,
                                const EngineSpeed& speed, bool is_home,
                                Instant now) {
  const double tokens =
      query.m_own_tokens +
      (is_home ? 0 : kRepeatedReadFactor * query.m_shared_tokens);
  const double factor =
      endpoint.m_stage == EngineStage::kPrefill ? 1 : kDecodePrefillSpeed;
  return {WaitMs(endpoint, now),
          tokens / (speed.m_prefill_tokens_per_ms * factor)};
}

// Best endpoint of the candidates for reading the prompt.
struct PrefillPlace {
  const BalanceEndpoint* m_endpoint = nullptr;
  bool m_is_home = false;
  PrefillEstimate m_estimate;
  double m_total_ms = std::numeric_limits<double>::max();
};

// Home of the shared part, and the endpoint that stands in for it.
struct Homes {
  const BalanceEndpoint* m_first = nullptr;
  const BalanceEndpoint* m_second = nullptr;
};

Homes FindHomes(const Candidates& candidates, std::uint64_t part) {
  Homes homes;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (const BalanceEndpoint* endpoint : candidates) {
    const std::uint64_t rank = RendezvousRank(*endpoint, part);
    if (homes.m_first == nullptr || rank > first) {
      homes.m_second = homes.m_first;
      second = first;
      homes.m_first = endpoint;
      first = rank;
    } else if (homes.m_second == nullptr || rank > second) {
      homes.m_second = endpoint;
      second = rank;
    }
  }
  return homes;
}

PrefillPlace FindPrefillPlace(const BalanceState& state,
                              const BalanceQuery& query,
                              const Candidates& candidates,
                              const EngineSpeed& speed, Instant now) {
  const Homes homes = query.m_shared_hash == 0
                          ? Homes{}
                          : FindHomes(candidates, query.m_shared_hash);
  const bool anywhere = query.m_shared_tokens <= kSmallSharedTokens;
  PrefillPlace best;
  for (const BalanceEndpoint* endpoint : candidates) {
    const bool is_home = endpoint == homes.m_first;
    if (!anywhere && !is_home && endpoint != homes.m_second) continue;
    const PrefillEstimate estimate =
        EstimatePrefill(*endpoint, query, speed, is_home, now);
    const double total = estimate.Total() + DistanceMs(state, *endpoint) +
                         (anywhere ? SpreadMs(*endpoint, query) : 0) +
                         RunningMs(*endpoint, LoadOf(*endpoint, now));
    if (total >= best.m_total_ms) continue;
    best = {endpoint, is_home, estimate, total};
  }
  return best;
}

double MoveMs(const BalanceEndpoint& from, const BalanceEndpoint& to,
              const BalanceQuery& query, const EngineSpeed& speed) {
  if (speed.m_link_mbps <= 0) return kMoveSetupMs;
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
  const double tokens = query.m_own_tokens + query.m_shared_tokens;
  double ms = tokens * speed.m_kv_token_bytes * kBitsPerByte /
              (speed.m_link_mbps * kBitsPerMsAndMbps);
  if (from.m_region != to.m_region) {
    constexpr double kRegionFactor = 10;
    ms *= kRegionFactor;
  } else if (from.m_zone != to.m_zone) {
    constexpr double kZoneFactor = 2;
    ms *= kZoneFactor;
  }
  return ms + kMoveSetupMs;
}

// Decode endpoint with the least estimated time for a prompt read at `from`.
const BalanceEndpoint* FindDecode(const BalanceState& state,
                                  const BalanceQuery& query,
                                  const BalanceEndpoint* from,
                                  const Candidates& candidates,
                                  const EngineSpeed& speed, Instant now,
                                  double* total_ms) {
  const BalanceEndpoint* best = nullptr;
  *total_ms = std::numeric_limits<double>::max();
  for (const BalanceEndpoint* endpoint : candidates) {
    const Load load = LoadOf(*endpoint, now);
    double total = DistanceMs(state, *endpoint) + SpreadMs(*endpoint, query) +
                   load.m_prefill_ms + RunningMs(*endpoint, load);
    if (from != nullptr) total += MoveMs(*from, *endpoint, query, speed);
    if (total >= *total_ms) continue;
    best = endpoint;
    *total_ms = total;
  }
  return best;
}

std::optional<BalanceChoice> ChooseService(const BalanceState& state,
                                           const BalanceQuery& query,
                                           Instant now) {
  bool last_resort = false;
  const Candidates candidates =
      FindCandidates(state, query, EngineStage::kNone, now, &last_resort);
  const BalanceEndpoint* best = nullptr;
  double best_ms = 0;
  for (const BalanceEndpoint* endpoint : candidates) {
    const double taken =
        LoadOf(*endpoint, now).m_running / std::max(endpoint->m_slots, 1.0);
    const double total = DistanceMs(state, *endpoint) + kServiceMs * taken +
                         (endpoint->m_cold ? kServiceMs : 0);
    if (best != nullptr && total >= best_ms) continue;
    best = endpoint;
    best_ms = total;
  }
  if (best == nullptr) return std::nullopt;
  return BalanceChoice{
      best->m_id, "",
      last_resort ? BalanceReason::kLastResort : BalanceReason::kLeastLoad,
      best_ms, 0};
}

BalanceReason ReasonOf(bool last_resort, bool is_home) {
  if (last_resort) return BalanceReason::kLastResort;
  return is_home ? BalanceReason::kAffinity : BalanceReason::kLeastLoad;
}

BalanceEndpoint* Find(BalanceState& state, const std::string& id) {
  const auto found = state.m_endpoints.find(id);
  return found == state.m_endpoints.end() ? nullptr : &found->second;
}

}  // namespace

std::optional<BalanceChoice> ChooseRun(const BalanceState& state,
                                       const BalanceQuery& query, Instant now) {
  if (!query.m_is_prompt) return ChooseService(state, query, now);
  bool decode_last = false;
  const Candidates decoders =
      FindCandidates(state, query, EngineStage::kDecode, now, &decode_last);
  if (decoders.empty()) return std::nullopt;
  const EngineSpeed speed = SpeedOf(state, query.m_service);
  const PrefillPlace whole =
      FindPrefillPlace(state, query, decoders, speed, now);
  BalanceChoice choice{whole.m_endpoint->m_id, "",
                       ReasonOf(decode_last, whole.m_is_home), whole.m_total_ms,
                       whole.m_estimate.m_work_ms};
  if (!query.m_allow_split) return choice;
  bool prefill_last = false;
  const Candidates readers =
      FindCandidates(state, query, EngineStage::kPrefill, now, &prefill_last);
  if (readers.empty() || prefill_last) return choice;
  const PrefillPlace split =
      FindPrefillPlace(state, query, readers, speed, now);
  double decode_ms = 0;
  const BalanceEndpoint* decoder = FindDecode(state, query, split.m_endpoint,
                                              decoders, speed, now, &decode_ms);
  const double total = split.m_total_ms + decode_ms;
  if (total >= choice.m_estimate_ms) return choice;
  return BalanceChoice{decoder->m_id, split.m_endpoint->m_id,
                       ReasonOf(false, split.m_is_home), total,
                       split.m_estimate.m_work_ms};
}

std::optional<std::string> ChooseDecode(const BalanceState& state,
                                        const BalanceQuery& query,
                                        Instant now) {
  bool last_resort = false;
  const Candidates candidates =
      FindCandidates(state, query, EngineStage::kDecode, now, &last_resort);
  double total_ms = 0;
  const BalanceEndpoint* best =
      FindDecode(state, query, nullptr, candidates,
                 SpeedOf(state, query.m_service), now, &total_ms);
  if (best == nullptr) return std::nullopt;
  return best->m_id;
}

void OnRunSent(BalanceState& state, const std::string& endpoint,
               double work_ms) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found == nullptr) return;
  ++found->m_running;
  found->m_prefill_ms += work_ms;
}

void OnPrefillDone(BalanceState& state, const std::string& endpoint,
                   double work_ms) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found == nullptr) return;
  found->m_prefill_ms = std::max(0.0, found->m_prefill_ms - work_ms);
}

void OnRunEnded(BalanceState& state, const std::string& endpoint) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found != nullptr && found->m_running > 0) --found->m_running;
}

void OnEndpointAnswered(BalanceState& state, const std::string& endpoint,
                        Instant now) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found == nullptr) return;
  found->m_failures = 0;
  found->m_failure_rate -= kRateWeight * found->m_failure_rate;
  if (found->m_failure_rate < kHighRate) found->m_avoid_until = {};
  found->m_last_sign = now;
}

void OnEndpointFull(BalanceState& state, const std::string& endpoint,
                    Instant now) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found != nullptr) found->m_full_until = now + kFullPause;
}

void OnEndpointFailed(BalanceState& state, const std::string& endpoint,
                      Instant now) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found == nullptr) return;
  constexpr std::uint32_t kMaxDoublings = 5;
  const std::uint32_t doublings = std::min(found->m_failures, kMaxDoublings);
  Duration pause =
      std::min<Duration>(kFirstPause * (1U << doublings), kLongestPause);
  found->m_failure_rate += kRateWeight * (1 - found->m_failure_rate);
  if (found->m_failure_rate >= kHighRate) {
    pause = std::max(pause, kHighRatePause);
  }
  found->m_avoid_until = now + pause;
  ++found->m_failures;
}

void OnEndpointReplaced(BalanceState& state, const std::string& endpoint,
                        Instant now) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found != nullptr) found->m_full_until = now + kReplacedPause;
}

void OnPrefillTimed(BalanceState& state, const std::string& endpoint,
                    const PrefillTiming& timing, Instant now) {
  BalanceEndpoint* found = Find(state, endpoint);
  if (found == nullptr) return;
  const double wait =
      std::max(0.0, timing.m_took_ms - timing.m_work_ms - kFirstTokenMs);
  found->m_wait_ms += kWaitWeight * (wait - found->m_wait_ms);
  found->m_wait_seen = now;
  // Short reads say more about fixed times than about the speed.
  constexpr double kMinTokens = 2000;
  if (timing.m_tokens < kMinTokens || timing.m_took_ms <= 1) return;
  double& speed = state.m_speeds[found->m_service].m_prefill_tokens_per_ms;
  const double sample = timing.m_tokens / timing.m_took_ms;
  speed += (sample > speed ? kFasterWeight : kSlowerWeight) * (sample - speed);
  constexpr double kSlowest = 10;
  constexpr double kFastest = 1000;
  speed = std::clamp(speed, kSlowest, kFastest);
}

}  // namespace comfreypaddle
