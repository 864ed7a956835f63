#include "balance.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace comfreypaddle {

namespace {

// Estimates that differ by less than this, in milliseconds, are treated as
// equal.
constexpr double kTieBreakMs = 4;

// Estimated cost of a call to another region or zone, in milliseconds: the
// round trip and the price of the transferred bytes.
constexpr double kCrossRegionCostMs = 30;
constexpr double kCrossZoneCostMs = 2;

// Prefill speed of a decode endpoint relative to a prefill endpoint: half,
// reduced further because prefill runs between the decode steps of other
// requests.
constexpr double kDecodePrefillSpeedRatio = 0.3;

// Fixed cost of a KV cache transfer, in milliseconds.
constexpr double kKvTransferSetupMs = 12;

// Nominal request time at a service that is not a model engine, in
// milliseconds. It only weighs load against distance.
constexpr double kServiceRequestMs = 60;

// Assumed total load at an endpoint per unit of this instance's own load when
// the others have not reported. The own load is a noisy sample, so the others
// are only counted in part.
constexpr double kExtrapolationFactor = 2.0;

// Maximum age of the load reported by other instances.
constexpr Duration kMaxRemoteLoadAge = std::chrono::milliseconds(400);

// Delay, in milliseconds, that each running request adds at an endpoint, and
// the penalty for a request that finds all slots taken.
constexpr double kPerRequestDelayMs = 1.5;
constexpr double kNoSlotPenaltyMs = 40;

// Time constant with which a sample of the queueing delay decays.
constexpr double kWaitDecayMs = 500;

// Prompt prefixes up to this length are recomputed anywhere instead of being
// routed by affinity.
constexpr double kMaxUnroutedPrefixTokens = 1500;

// Cost factor of recomputing a shared prefix: it also evicts others from the
// cache.
constexpr double kRecomputeCostFactor = 1.5;

bool IsExcluded(const BalanceQuery& query, const std::string& id) {
  return std::find(query.m_excluded.begin(), query.m_excluded.end(), id) !=
         query.m_excluded.end();
}

// An instance may use all slots of an endpoint, because the others may be idle.
bool HasRoom(const BalanceEndpoint& endpoint, Instant now) {
  return AcceptsRequests(endpoint, now) &&
         endpoint.m_running < endpoint.m_slots;
}

double NetworkCostMs(const BalanceState& state,
                     const BalanceEndpoint& endpoint) {
  if (endpoint.m_zone == state.m_zone) return 0;
  return endpoint.m_region == state.m_region ? kCrossZoneCostMs
                                             : kCrossRegionCostMs;
}

// Combines the endpoint's hash with another value (MurmurHash3 finalizer).
std::uint64_t MixHash(const BalanceEndpoint& endpoint, std::uint64_t other) {
  std::uint64_t x = endpoint.m_hash ^ other;
  x ^= x >> 33U;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33U;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33U;
}

// Rendezvous hash of an endpoint for a prompt prefix. The endpoint with the
// highest value is preferred, and all instances compute the same one.
std::uint64_t RendezvousRank(const BalanceEndpoint& endpoint,
                             std::uint64_t prefix_hash) {
  return MixHash(endpoint, prefix_hash);
}

// Pseudo-random amount below kTieBreakMs that is added to an estimate. It
// differs per request and endpoint. Each instance sees only a few requests, so
// most endpoints look equally idle to it, and without this all instances would
// select the same one.
double TieBreakMs(const BalanceEndpoint& endpoint, const BalanceQuery& query) {
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step = MixHash(endpoint, query.m_tie_break_seed) % kSteps;
  return kTieBreakMs * static_cast<double>(step) / kSteps;
}

struct Load {
  double m_running = 0;
  double m_prefill_ms = 0;
};

// Load from all instances. Without a recent report from the others it is
// extrapolated from the load of this instance.
Load LoadOf(const BalanceEndpoint& endpoint, Instant now) {
  if (now - endpoint.m_remote_reported_at < kMaxRemoteLoadAge) {
    return {static_cast<double>(endpoint.m_running + endpoint.m_remote_running),
            endpoint.m_prefill_ms + endpoint.m_remote_prefill_ms};
  }
  return {kExtrapolationFactor * endpoint.m_running,
          kExtrapolationFactor * endpoint.m_prefill_ms};
}

// Cost of adding a request to those that run at the endpoint.
double ConcurrencyCostMs(const BalanceEndpoint& endpoint, const Load& load) {
  const double over = std::max(0.0, load.m_running + 1 - endpoint.m_slots);
  return kPerRequestDelayMs * load.m_running + kNoSlotPenaltyMs * over;
}

using Candidates = std::vector<const BalanceEndpoint*>;

// Endpoints of the stage that can take the request. Endpoints that failed
// recently are left out unless there are no others.
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

// Estimated prefill time at an endpoint.
struct PrefillEstimate {
  double m_wait_ms = 0;
  double m_work_ms = 0;

  double Total() const { return m_wait_ms + m_work_ms; }
};

// Expected queueing delay of a new request.
double WaitMs(const BalanceEndpoint& endpoint, Instant now) {
  const double age = std::chrono::duration<double, std::milli>(
                         now - endpoint.m_wait_sampled_at)
                         .count();
  const double decayed = endpoint.m_wait_ms * std::exp(-age / kWaitDecayMs);
  return std::max(LoadOf(endpoint, now).m_prefill_ms, decayed);
}

PrefillEstimate EstimatePrefill(const BalanceEndpoint& endpoint,
                                const BalanceQuery& query,
                                const EngineSpeed& speed, bool is_preferred,
                                Instant now) {
  const double tokens =
      query.m_suffix_tokens +
      (is_preferred ? 0 : kRecomputeCostFactor * query.m_shared_prefix_tokens);
  const double factor =
      endpoint.m_stage == EngineStage::kPrefill ? 1 : kDecodePrefillSpeedRatio;
  return {WaitMs(endpoint, now),
          tokens / (speed.m_prefill_tokens_per_ms * factor)};
}

// Best candidate for the prefill.
struct PrefillCandidate {
  const BalanceEndpoint* m_endpoint = nullptr;
  bool m_is_preferred = false;
  PrefillEstimate m_estimate;
  double m_total_ms = std::numeric_limits<double>::max();
};

// The endpoints with the highest and second highest rendezvous hash for a
// prompt prefix.
struct PreferredEndpoints {
  const BalanceEndpoint* m_first = nullptr;
  const BalanceEndpoint* m_second = nullptr;
};

PreferredEndpoints FindPreferred(const Candidates& candidates,
                                 std::uint64_t prefix_hash) {
  PreferredEndpoints preferred;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (const BalanceEndpoint* endpoint : candidates) {
    const std::uint64_t rank = RendezvousRank(*endpoint, prefix_hash);
    if (preferred.m_first == nullptr || rank > first) {
      preferred.m_second = preferred.m_first;
      second = first;
      preferred.m_first = endpoint;
      first = rank;
    } else if (preferred.m_second == nullptr || rank > second) {
      preferred.m_second = endpoint;
      second = rank;
    }
  }
  return preferred;
}

PrefillCandidate FindPrefillCandidate(const BalanceState& state,
                                      const BalanceQuery& query,
                                      const Candidates& candidates,
                                      const EngineSpeed& speed, Instant now) {
  const PreferredEndpoints preferred =
      query.m_shared_prefix_hash == 0
          ? PreferredEndpoints{}
          : FindPreferred(candidates, query.m_shared_prefix_hash);
  const bool ignores_affinity =
      query.m_shared_prefix_tokens <= kMaxUnroutedPrefixTokens;
  PrefillCandidate best;
  for (const BalanceEndpoint* endpoint : candidates) {
    const bool is_preferred = endpoint == preferred.m_first;
    if (!ignores_affinity && !is_preferred && endpoint != preferred.m_second)
      continue;
    const PrefillEstimate estimate =
        EstimatePrefill(*endpoint, query, speed, is_preferred, now);
    const double total = estimate.Total() + NetworkCostMs(state, *endpoint) +
                         (ignores_affinity ? TieBreakMs(*endpoint, query) : 0) +
                         ConcurrencyCostMs(*endpoint, LoadOf(*endpoint, now));
    if (total >= best.m_total_ms) continue;
    best = {endpoint, is_preferred, estimate, total};
  }
  return best;
}

double KvTransferMs(const BalanceEndpoint& from, const BalanceEndpoint& to,
                    const BalanceQuery& query, const EngineSpeed& speed) {
  if (speed.m_link_mbps <= 0) return kKvTransferSetupMs;
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
  const double tokens = query.m_suffix_tokens + query.m_shared_prefix_tokens;
  double ms = tokens * speed.m_kv_token_bytes * kBitsPerByte /
              (speed.m_link_mbps * kBitsPerMsAndMbps);
  if (from.m_region != to.m_region) {
    constexpr double kCrossRegionFactor = 10;
    ms *= kCrossRegionFactor;
  } else if (from.m_zone != to.m_zone) {
    constexpr double kCrossZoneFactor = 2;
    ms *= kCrossZoneFactor;
  }
  return ms + kKvTransferSetupMs;
}

// Decode endpoint with the lowest estimated latency for a prompt that was
// prefilled at `from`.
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
    double total = NetworkCostMs(state, *endpoint) +
                   TieBreakMs(*endpoint, query) + load.m_prefill_ms +
                   ConcurrencyCostMs(*endpoint, load);
    if (from != nullptr) total += KvTransferMs(*from, *endpoint, query, speed);
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
    const double utilisation =
        LoadOf(*endpoint, now).m_running / std::max(endpoint->m_slots, 1.0);
    const double total = NetworkCostMs(state, *endpoint) +
                         kServiceRequestMs * utilisation +
                         (endpoint->m_cold ? kServiceRequestMs : 0);
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

BalanceReason ReasonOf(bool last_resort, bool is_preferred) {
  if (last_resort) return BalanceReason::kLastResort;
  return is_preferred ? BalanceReason::kAffinity : BalanceReason::kLeastLoad;
}

}  // namespace

std::optional<BalanceChoice> SelectEndpoint(const BalanceState& state,
                                            const BalanceQuery& query,
                                            Instant now) {
  if (!query.m_is_prompt) return ChooseService(state, query, now);
  bool decode_last = false;
  const Candidates decoders =
      FindCandidates(state, query, EngineStage::kDecode, now, &decode_last);
  if (decoders.empty()) return std::nullopt;
  const EngineSpeed speed = SpeedOf(state, query.m_service);
  const PrefillCandidate whole =
      FindPrefillCandidate(state, query, decoders, speed, now);
  BalanceChoice choice{whole.m_endpoint->m_id, "",
                       ReasonOf(decode_last, whole.m_is_preferred),
                       whole.m_total_ms, whole.m_estimate.m_work_ms};
  if (!query.m_allow_split) return choice;
  bool prefill_last = false;
  const Candidates prefillers =
      FindCandidates(state, query, EngineStage::kPrefill, now, &prefill_last);
  if (prefillers.empty() || prefill_last) return choice;
  const PrefillCandidate split =
      FindPrefillCandidate(state, query, prefillers, speed, now);
  double decode_ms = 0;
  const BalanceEndpoint* decoder = FindDecode(state, query, split.m_endpoint,
                                              decoders, speed, now, &decode_ms);
  const double total = split.m_total_ms + decode_ms;
  if (total >= choice.m_estimate_ms) return choice;
  return BalanceChoice{decoder->m_id, split.m_endpoint->m_id,
                       ReasonOf(false, split.m_is_preferred), total,
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

}  // namespace comfreypaddle
