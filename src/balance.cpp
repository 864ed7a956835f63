#include "balance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "hashmix.h"

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

// Delay, in milliseconds, that each running request adds at an endpoint, and
// the penalty for a request that finds all slots taken.
constexpr double kPerRequestDelayMs = 1.5;
constexpr double kNoSlotPenaltyMs = 40;

// Time constant with which a sample of the queueing delay decays.
constexpr double kWaitDecayMs = 500;

// Cost factor of recomputing a shared prefix away from its home: it also evicts
// others from the cache.
constexpr double kRecomputeCostFactor = 1.5;

// Fraction of a prefix that its home is expected to compute if no holder is
// known.
constexpr double kUnknownHomeRatio = 0.5;

// Cost of another copy of a shared prefix in addition to its transfer, in
// milliseconds: it evicts others from the cache.
constexpr double kPrefixCopyCostMs = 60;

// Time after which a caller is asked to return if this instance holds no part
// of any limit: its next attempt most likely reaches another instance.
constexpr Duration kTimeToOtherInstance = std::chrono::milliseconds(1000);

bool IsExcluded(const BalanceQuery& query, const std::string& id) {
  return std::find(query.m_excluded.begin(), query.m_excluded.end(), id) !=
         query.m_excluded.end();
}

// An instance may use all slots of an endpoint, because the others may be idle.
bool HasRoom(const BalanceState& state, const BalanceEndpoint& endpoint,
             Instant now) {
  return MaySend(state, endpoint, now) && endpoint.m_running < endpoint.m_slots;
}

double NetworkCostMs(const BalanceState& state,
                     const BalanceEndpoint& endpoint) {
  if (endpoint.m_zone == state.m_zone) return 0;
  return endpoint.m_region == state.m_region ? kCrossZoneCostMs
                                             : kCrossRegionCostMs;
}

// Rendezvous hash of an endpoint for a prompt prefix. The endpoint with the
// highest value is preferred, and all instances compute the same one.
std::uint64_t RendezvousRank(const BalanceEndpoint& endpoint,
                             std::uint64_t prefix_hash) {
  return MixHashes(endpoint.m_hash, prefix_hash);
}

// Pseudo-random amount below kTieBreakMs that is added to an estimate. It
// differs per request and endpoint. Each instance sees only a few requests, so
// most endpoints look equally idle to it, and without this all instances would
// select the same one.
double TieBreakMs(const BalanceEndpoint& endpoint, const BalanceQuery& query) {
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step =
      MixHashes(endpoint.m_hash, query.m_tie_break_seed) % kSteps;
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

// Stage of the endpoints that run the request, rather than its prefill.
EngineStage RunStage(const BalanceQuery& query) {
  return query.m_is_prompt ? EngineStage::kDecode : EngineStage::kNone;
}

// Whether the endpoint serves the stage of the request's service.
bool ServesStage(const BalanceQuery& query, const BalanceEndpoint& endpoint,
                 EngineStage stage) {
  return endpoint.m_service == query.m_service && endpoint.m_stage == stage;
}

// Whether the endpoint is one that may serve the stage of the request.
bool IsEligible(const BalanceQuery& query, const BalanceEndpoint& endpoint,
                EngineStage stage) {
  return ServesStage(query, endpoint, stage) &&
         (stage == EngineStage::kPrefill || HasVersion(query, endpoint));
}

using Candidates = std::vector<const BalanceEndpoint*>;

EngineSpeed SpeedOf(const BalanceState& state, const std::string& service) {
  const auto found = state.m_speeds.find(service);
  return found == state.m_speeds.end() ? EngineSpeed{} : found->second;
}

// Whether this instance is the one that may fill the endpoint's memory.
bool IsMemoryOwner(const BalanceState& state, const BalanceEndpoint& endpoint) {
  const LimitPeers& peers = state.m_limit_peers;
  const std::uint64_t own = MixHashes(endpoint.m_hash, peers.m_self);
  return std::none_of(peers.m_instances.begin(), peers.m_instances.end(),
                      [&endpoint, own](std::uint64_t instance) {
                        return MixHashes(endpoint.m_hash, instance) > own;
                      });
}

// Whether the endpoint has memory for the request in that stage.
bool HasMemory(const BalanceState& state, const BalanceQuery& query,
               const BalanceEndpoint& endpoint) {
  if (!query.m_is_prompt) return true;
  const MemoryNeed need = endpoint.m_stage == EngineStage::kPrefill
                              ? NeedOfPrefill(query)
                              : NeedOfRun(query);
  const double capacity = SpeedOf(state, query.m_service).m_kv_tokens;
  if (HasMemoryFor(endpoint.m_memory, need, capacity, false)) return true;
  return HasMemoryFor(endpoint.m_memory, need, capacity, true) &&
         IsMemoryOwner(state, endpoint);
}

// Endpoints of the stage that can take the request. Endpoints that failed
// recently are left out unless there are no others.
Candidates FindCandidates(const BalanceState& state, const BalanceQuery& query,
                          EngineStage stage, Instant now, bool* last_resort) {
  Candidates good;
  Candidates failed;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (!IsEligible(query, endpoint, stage)) continue;
    if (!HasRoom(state, endpoint, now) || IsExcluded(query, id)) continue;
    if (!HasMemory(state, query, endpoint)) continue;
    (now < endpoint.m_avoid_until ? failed : good).push_back(&endpoint);
  }
  *last_resort = good.empty();
  return good.empty() ? failed : good;
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

// Time of a KV cache transfer between two endpoints.
double KvTransferMs(const BalanceEndpoint& from, const BalanceEndpoint& to,
                    double tokens, const EngineSpeed& speed) {
  if (speed.m_link_mbps <= 0) return kKvTransferSetupMs;
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
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

// Where the shared prefix of a prompt is cached: the endpoints that are known
// to hold it, and its home, the endpoint with the highest rendezvous hash. All
// instances compute the same home without exchanging state, so that a prefix
// that nobody is known to hold is computed there and not at several endpoints.
struct PrefixPlacement {
  bool m_is_routed = false;  // The prefix is long enough to care.
  Candidates m_holders;
  const BalanceEndpoint* m_home = nullptr;
};

// Known holders that still run in the same lifetime and have not failed lately.
Candidates FindRunningHolders(const BalanceState& state,
                              const BalanceQuery& query, Instant now) {
  Candidates running;
  for (const PrefixHolder& holder :
       FindHolders(state.m_prefixes, query.m_shared_prefix_hash, now)) {
    const BalanceEndpoint* endpoint = FindEndpoint(state, holder.m_endpoint);
    if (endpoint == nullptr || endpoint->m_born_ms != holder.m_born_ms ||
        now < endpoint->m_avoid_until) {
      continue;
    }
    running.push_back(endpoint);
  }
  return running;
}

// The home of a prefix among the endpoints of the stage. Room and recent
// failures, which each instance sees differently, do not matter. An endpoint
// with a limit, which all instances know, is the home only if all have one.
const BalanceEndpoint* FindHome(const BalanceState& state,
                                const BalanceQuery& query, EngineStage stage,
                                Instant now) {
  const BalanceEndpoint* home = nullptr;
  std::pair<bool, std::uint64_t> highest;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (endpoint.m_service != query.m_service || endpoint.m_stage != stage ||
        !AcceptsRequests(endpoint, now)) {
      continue;
    }
    const std::pair<bool, std::uint64_t> rank{
        !IsLimited(endpoint.m_limit),
        RendezvousRank(endpoint, query.m_shared_prefix_hash)};
    if (home != nullptr && rank <= highest) continue;
    home = &endpoint;
    highest = rank;
  }
  return home;
}

// Finds the holders and the home of the prompt's shared prefix.
PrefixPlacement PlacePrefix(const BalanceState& state,
                            const BalanceQuery& query, Instant now) {
  PrefixPlacement placement;
  placement.m_is_routed =
      query.m_shared_prefix_hash != 0 &&
      query.m_shared_prefix_tokens > kMaxUnroutedPrefixTokens;
  if (!placement.m_is_routed) return placement;
  placement.m_holders = FindRunningHolders(state, query, now);
  placement.m_home = FindHome(state, query, EngineStage::kPrefill, now);
  if (placement.m_home == nullptr) {
    placement.m_home = FindHome(state, query, EngineStage::kDecode, now);
  }
  return placement;
}

// How an endpoint gets the shared prefix of a prompt.
struct PrefixAccess {
  bool m_is_cached = false;
  double m_compute_tokens = 0;  // Prefix tokens that it computes.
  double m_fetch_ms = 0;        // Time of the transfer from the source.
  // Endpoint to fetch what is missing from; null if none is known.
  const BalanceEndpoint* m_source = nullptr;
};

// The holder from which the endpoint fetches the prefix fastest.
const BalanceEndpoint* NearestHolder(const PrefixPlacement& placement,
                                     const BalanceEndpoint& endpoint,
                                     const BalanceQuery& query,
                                     const EngineSpeed& speed,
                                     double* fetch_ms) {
  const BalanceEndpoint* nearest = nullptr;
  for (const BalanceEndpoint* holder : placement.m_holders) {
    if (holder == &endpoint) continue;
    const double ms =
        KvTransferMs(*holder, endpoint, query.m_shared_prefix_tokens, speed);
    if (nearest != nullptr && ms >= *fetch_ms) continue;
    nearest = holder;
    *fetch_ms = ms;
  }
  return nearest;
}

// How an endpoint gets a prefix that no endpoint is known to hold. Its home may
// have it from requests of which this instance has not heard.
PrefixAccess AccessUnknownPrefix(const PrefixPlacement& placement,
                                 const BalanceEndpoint& endpoint,
                                 const BalanceQuery& query) {
  PrefixAccess access;
  access.m_is_cached = &endpoint == placement.m_home;
  access.m_compute_tokens =
      query.m_shared_prefix_tokens *
      (access.m_is_cached ? kUnknownHomeRatio : kRecomputeCostFactor);
  if (!access.m_is_cached) access.m_source = placement.m_home;
  return access;
}

// Decides whether the endpoint has the prefix, fetches it from the nearest
// holder or computes it.
PrefixAccess AccessPrefix(const PrefixPlacement& placement,
                          const BalanceEndpoint& endpoint,
                          const BalanceQuery& query, const EngineSpeed& speed) {
  PrefixAccess access;
  if (!placement.m_is_routed) {
    access.m_compute_tokens = query.m_shared_prefix_tokens;
    return access;
  }
  const auto& holders = placement.m_holders;
  if (holders.empty()) return AccessUnknownPrefix(placement, endpoint, query);
  access.m_is_cached =
      std::find(holders.begin(), holders.end(), &endpoint) != holders.end();
  double fetch_ms = 0;
  access.m_source = NearestHolder(placement, endpoint, query, speed, &fetch_ms);
  if (!access.m_is_cached) access.m_fetch_ms = fetch_ms + kPrefixCopyCostMs;
  return access;
}

// Estimated wait and work of the prefill, the transfer of the prefix included.
PrefillEstimate EstimatePrefill(const BalanceEndpoint& endpoint,
                                const BalanceQuery& query,
                                const EngineSpeed& speed,
                                const PrefixAccess& access, Instant now) {
  const double tokens = query.m_suffix_tokens + access.m_compute_tokens;
  const double factor =
      endpoint.m_stage == EngineStage::kPrefill ? 1 : kDecodePrefillSpeedRatio;
  return {
      WaitMs(endpoint, now),
      access.m_fetch_ms + tokens / (speed.m_prefill_tokens_per_ms * factor)};
}

// Best candidate for the prefill.
struct PrefillCandidate {
  const BalanceEndpoint* m_endpoint = nullptr;
  PrefixAccess m_access;
  PrefillEstimate m_estimate;
  double m_total_ms = std::numeric_limits<double>::max();
};

// Chooses the endpoint with the shortest estimated time to the end of the
// prefill.
PrefillCandidate FindPrefillCandidate(const BalanceState& state,
                                      const BalanceQuery& query,
                                      const PrefixPlacement& placement,
                                      const Candidates& candidates,
                                      const EngineSpeed& speed, Instant now) {
  PrefillCandidate best;
  for (const BalanceEndpoint* endpoint : candidates) {
    const PrefixAccess access =
        AccessPrefix(placement, *endpoint, query, speed);
    const PrefillEstimate estimate =
        EstimatePrefill(*endpoint, query, speed, access, now);
    const double total = estimate.Total() + NetworkCostMs(state, *endpoint) +
                         TieBreakMs(*endpoint, query) +
                         ConcurrencyCostMs(*endpoint, LoadOf(*endpoint, now));
    if (total >= best.m_total_ms) continue;
    best = {endpoint, access, estimate, total};
  }
  return best;
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
    if (from != nullptr) {
      const double tokens =
          query.m_suffix_tokens + query.m_shared_prefix_tokens;
      total += KvTransferMs(*from, *endpoint, tokens, speed);
    }
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
      best->m_id,
      "",
      last_resort ? BalanceReason::kLastResort : BalanceReason::kLeastLoad,
      best_ms,
      0,
      0,
      ""};
}

std::string AddressOf(const BalanceEndpoint* endpoint) {
  return endpoint == nullptr ? std::string() : endpoint->m_address;
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
  const PrefixPlacement placement = PlacePrefix(state, query, now);
  const PrefillCandidate whole =
      FindPrefillCandidate(state, query, placement, decoders, speed, now);
  BalanceChoice choice{whole.m_endpoint->m_id,
                       "",
                       ReasonOf(decode_last, whole.m_access.m_is_cached),
                       whole.m_total_ms,
                       whole.m_estimate.m_work_ms,
                       whole.m_estimate.m_wait_ms,
                       AddressOf(whole.m_access.m_source)};
  if (!query.m_allow_split) return choice;
  bool prefill_last = false;
  const Candidates prefillers =
      FindCandidates(state, query, EngineStage::kPrefill, now, &prefill_last);
  if (prefillers.empty() || prefill_last) return choice;
  const PrefillCandidate split =
      FindPrefillCandidate(state, query, placement, prefillers, speed, now);
  double decode_ms = 0;
  const BalanceEndpoint* decoder = FindDecode(state, query, split.m_endpoint,
                                              decoders, speed, now, &decode_ms);
  const double total = split.m_total_ms + decode_ms;
  if (total >= choice.m_estimate_ms) return choice;
  return BalanceChoice{decoder->m_id,
                       split.m_endpoint->m_id,
                       ReasonOf(false, split.m_access.m_is_cached),
                       total,
                       split.m_estimate.m_work_ms,
                       split.m_estimate.m_wait_ms,
                       AddressOf(split.m_access.m_source)};
}

MemoryNeed NeedOfRun(const BalanceQuery& query) {
  MemoryNeed need = NeedOfPrefill(query);
  need.m_other_tokens += query.m_output_tokens;
  return need;
}

MemoryNeed NeedOfPrefill(const BalanceQuery& query) {
  return {query.m_shared_prefix_hash, query.m_shared_prefix_tokens,
          query.m_suffix_tokens};
}

MemoryVerdict JudgeMemory(const BalanceState& state, const BalanceQuery& query,
                          Instant now) {
  const MemoryNeed need = NeedOfRun(query);
  const double capacity = SpeedOf(state, query.m_service).m_kv_tokens;
  const double tokens = need.m_prefix_tokens + need.m_other_tokens;
  if (capacity > 0 && tokens > capacity) return MemoryVerdict::kTooLarge;
  bool has_room = false;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (!IsEligible(query, endpoint, RunStage(query)) ||
        !HasRoom(state, endpoint, now) || IsExcluded(query, id)) {
      continue;
    }
    if (HasMemory(state, query, endpoint)) return MemoryVerdict::kFits;
    has_room = true;
  }
  return has_room ? MemoryVerdict::kShort : MemoryVerdict::kFits;
}

double ServiceLoad(const BalanceState& state, const std::string& service,
                   Instant now) {
  double running = 0;
  double slots = 0;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (endpoint.m_service != service || !AcceptsRequests(endpoint, now)) {
      continue;
    }
    running += LoadOf(endpoint, now).m_running;
    slots += endpoint.m_slots;
  }
  return slots > 0 ? running / slots : 1;
}

bool HasVersion(const BalanceQuery& query, const BalanceEndpoint& endpoint) {
  if (!query.m_version) return true;
  return HasName(*query.m_version) && !endpoint.m_is_outdated &&
         endpoint.m_version == query.m_version->m_name;
}

bool IsVersionGone(const BalanceState& state, const BalanceQuery& query) {
  if (!query.m_version) return false;
  const EngineStage stage = RunStage(query);
  bool has_other = false;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (endpoint.m_draining || endpoint.m_leaving || IsExcluded(query, id)) {
      continue;
    }
    if (IsEligible(query, endpoint, stage)) return false;
    has_other = has_other || ServesStage(query, endpoint, stage);
  }
  return has_other;
}

std::optional<Duration> TimeToLimitedEndpoint(const BalanceState& state,
                                              const BalanceQuery& query,
                                              Instant now) {
  std::optional<Duration> shortest;
  for (const auto& [id, endpoint] : state.m_endpoints) {
    if (!IsEligible(query, endpoint, RunStage(query)) ||
        !AcceptsRequests(endpoint, now) || IsExcluded(query, id)) {
      continue;
    }
    if (MaySend(state, endpoint, now)) return std::nullopt;
    const Duration time = TimeToNext(endpoint.m_limit, state.m_limit_peers, now)
                              .value_or(kTimeToOtherInstance);
    shortest = std::min(shortest.value_or(time), time);
  }
  return shortest;
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
