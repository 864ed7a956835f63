#include "route.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace comfreypaddle {
namespace {

// The affinity endpoint is used while its work is at most this multiple of the
// mean plus one request. A larger bound gives more cache hits but creates hot
// spots.
constexpr double kAffinityBound = 1.25;

// Consecutive failures until ejection, the initial ejection time, and how often
// it can double.
constexpr std::uint32_t kEjectFailures = 3;
constexpr Duration kMinEjectionTime = std::chrono::seconds(1);
constexpr std::uint32_t kMaxEjectionDoublings = 5;

// Maximum ejected fraction of a fleet. If more endpoints fail, the cause is
// probably elsewhere.
constexpr double kMaxEjectedFraction = 0.5;

// Maximum number of load changes per endpoint without a new report; older ones
// are merged.
constexpr std::size_t kMaxLoadDeltas = 256;

// Pause after a refused request. It equals the period of load reports: the next
// report shows whether the endpoint has capacity again.
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(500);

// Penalty, in average requests of work, for another zone, another region and an
// on-demand endpoint. Between zones only 0.5 ms are lost; traffic between
// regions is slow and billed. On-demand endpoints keep capacity for the work
// that must not run on cheap ones.
constexpr double kOtherZoneRequests = 0.5;
constexpr double kOtherRegionRequests = 2.0;
constexpr double kOnDemandRequests = 1.0;

// Number of combinations of zone cost (0 to 2) and class.
constexpr std::size_t kGroups = 6;

// Maximum age of a load report before the endpoint is avoided; several times
// the reporting period.
constexpr Duration kMaxReportAge = std::chrono::seconds(3);

// Smoothing factor of the moving average of work.
constexpr double kWorkSmoothing = 0.05;

// Tokens in one piece of KV cache.
constexpr double kTokensPerPiece = 2000.0;

// Remaining fraction of a running request: on average it is half done.
constexpr double kRunningRemainder = 0.5;

std::uint64_t HashName(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

// Returns the rendezvous score of a pair of hashes.
std::uint64_t Mix(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

EndpointView* FindMutable(RouteState& state, std::string_view name) {
  return const_cast<EndpointView*>(FindEndpoint(state, name));
}

// Records a sent (+1) or ended (-1) request.
void AddLoadDelta(EndpointView& view, double work, int requests, Instant now) {
  view.m_work_since_report += work;
  view.m_requests_since_report += requests;
  view.m_load_deltas.push_back({now, work, requests});
  if (view.m_load_deltas.size() <= kMaxLoadDeltas) return;
  const LoadDelta oldest = view.m_load_deltas.front();
  view.m_load_deltas.pop_front();
  view.m_load_deltas.front().m_work += oldest.m_work;
  view.m_load_deltas.front().m_requests += oldest.m_requests;
}

// Removes a request of this instance from an endpoint.
void EndOwnRequest(EndpointView& view, double work, Instant now) {
  if (view.m_own_requests == 0) return;
  if (--view.m_own_requests == 0) {
    view.m_own_work = 0.0;
    view.m_isolated = false;
  } else {
    view.m_own_work = std::max(0.0, view.m_own_work - work);
  }
  AddLoadDelta(view, -work, -1, now);
}

bool TakesNewWork(const EndpointView& view) {
  return view.m_phase == EndpointPhase::kReady && !IsLeaving(view) &&
         !view.m_order_pending;
}

bool HasRoom(const EndpointView& view, double prompt_tokens) {
  if (view.m_isolated) return false;
  const double requests = EstimatedRequests(view);
  if (view.m_concurrency > 0 && requests >= view.m_concurrency) return false;
  if (!view.m_report || view.m_report->m_kv_total_pieces == 0) return true;
  const double free_pieces =
      static_cast<double>(view.m_report->m_kv_total_pieces) -
      view.m_report->m_kv_used_pieces;
  const double needed = std::ceil(prompt_tokens / kTokensPerPiece);
  return requests <= 0.0 || needed <= free_pieces;
}

// Returns true if the request may probe an ejected endpoint.
bool MayProbe(const EndpointView& view, const RouteQuery& query, Instant now) {
  return view.m_health == EndpointHealth::kEjected &&
         now >= view.m_ejected_until && query.m_repeatable && !query.m_urgent;
}

// Returns 0 within the zone of this instance, 1 within its region, 2 otherwise.
int ZoneCost(const EndpointView& view, const RouteQuery& query) {
  if (view.m_zone == query.m_zone && view.m_region == query.m_region) return 0;
  return view.m_region == query.m_region ? 1 : 2;
}

// Returns 0 if the endpoint's role suits the larger part of the work, else 1.
int RoleCost(const EndpointView& view, const WorkCosts& costs,
             const RouteQuery& query) {
  if (view.m_role == EndpointRole::kMixed) return 0;
  const bool prefill = costs.m_prefill * query.m_prompt_tokens >=
                       costs.m_decode * query.m_output_tokens;
  return (view.m_role == EndpointRole::kPrefill) == prefill ? 0 : 1;
}

// Endpoint that may take the request.
struct Candidate {
  EndpointView* m_view = nullptr;
  int m_role_cost = 0;
  int m_zone_cost = 0;
  double m_work = 0.0;
  bool m_room = false;
  bool m_healthy = false;
};

using Candidates = std::vector<Candidate>;

bool IsOnDemand(const Candidate& item) {
  return item.m_view->m_class == EndpointClass::kOnDemand;
}

bool IsExcluded(const RouteQuery& query, const std::string& name) {
  return std::find(query.m_excluded.begin(), query.m_excluded.end(), name) !=
         query.m_excluded.end();
}

// Removes the candidates for which the predicate is false, unless none would
// remain.
template <typename Predicate>
void Prefer(Candidates& candidates, Predicate predicate) {
  if (std::any_of(candidates.begin(), candidates.end(), predicate)) {
    std::erase_if(candidates,
                  [&](const Candidate& item) { return !predicate(item); });
  }
}

// Returns true unless the endpoint failed or stopped reporting.
bool IsHealthy(const EndpointView& view, Instant now) {
  return view.m_health == EndpointHealth::kHealthy &&
         (!view.m_report || now - view.m_received_at <= kMaxReportAge);
}

// Returns the endpoints that may serve the request, with or without free
// capacity.
Candidates FindCandidates(const RouteState& state, FleetView& fleet,
                          const RouteQuery& query, Instant now) {
  Candidates usable;
  usable.reserve(fleet.m_endpoints.size());
  for (EndpointView& view : fleet.m_endpoints) {
    if (!TakesNewWork(view) || IsExcluded(query, view.m_name)) continue;
    usable.push_back(
        {&view, RoleCost(view, state.m_costs, query), ZoneCost(view, query),
         EstimatedWork(fleet, view),
         HasRoom(view, query.m_prompt_tokens) && now >= view.m_refused_until,
         IsHealthy(view, now)});
  }
  // A request that must not run twice would have an unknown outcome if its
  // cheap endpoint were reclaimed, so it waits for an on-demand one.
  if (!query.m_repeatable) {
    Prefer(usable, IsOnDemand);
  } else if (query.m_urgent) {
    const bool room =
        std::any_of(usable.begin(), usable.end(), [](const Candidate& item) {
          return IsOnDemand(item) && item.m_room && item.m_healthy;
        });
    if (room) Prefer(usable, IsOnDemand);
  }
  return usable;
}

RouteChoice MakeChoice(const Candidate& item, RouteReason reason) {
  return {item.m_view->m_name, reason, 0.0, item.m_work};
}

// Returns an ejected endpoint whose ejection time has passed, to be probed.
std::optional<RouteChoice> ChooseProbe(const Candidates& usable,
                                       const RouteQuery& query, Instant now) {
  for (const Candidate& item : usable) {
    if (item.m_room && MayProbe(*item.m_view, query, now)) {
      return MakeChoice(item, RouteReason::kProbe);
    }
  }
  return std::nullopt;
}

// Returns the endpoint with the fewest requests, so that a crash affects few
// others. Requests that already run there become suspects if it crashes, but
// waiting for an idle endpoint would stall all streams of a crashed one.
std::optional<RouteChoice> ChooseIsolated(const Candidates& usable) {
  const Candidate* best = nullptr;
  double least = 0.0;
  for (const Candidate& item : usable) {
    if (!item.m_room || !item.m_healthy) continue;
    const double requests = EstimatedRequests(*item.m_view);
    if (best != nullptr && requests >= least) continue;
    best = &item;
    least = requests;
  }
  if (best == nullptr) return std::nullopt;
  return MakeChoice(*best, RouteReason::kIsolated);
}

// Returns the rendezvous endpoint of the prefix in the region if it has
// capacity and its work is within the bound. Endpoints without capacity take
// part in the ranking, so that the mapping is stable under load.
std::optional<RouteChoice> ChooseAffinity(const Candidates& usable,
                                          const RouteQuery& query,
                                          double mean_request) {
  if (query.m_prefix_hash == 0) return std::nullopt;
  const Candidate* best = nullptr;
  std::uint64_t best_score = 0;
  double total = 0.0;
  std::size_t count = 0;
  for (const Candidate& item : usable) {
    if (item.m_zone_cost > 1 || item.m_role_cost > 0 || !item.m_healthy) {
      continue;
    }
    total += item.m_work;
    ++count;
    const std::uint64_t score = Mix(query.m_prefix_hash, item.m_view->m_hash);
    if (best == nullptr || score > best_score) {
      best = &item;
      best_score = score;
    }
  }
  if (best == nullptr || !best->m_room) return std::nullopt;
  const double bound =
      kAffinityBound * total / static_cast<double>(count) + mean_request;
  if (best->m_work > bound) return std::nullopt;
  return MakeChoice(*best, RouteReason::kAffinity);
}

// Returns the work of a candidate plus the penalties of its zone, region and
// class, in tokens of work.
double Score(const Candidate& item, const RouteQuery& query,
             double mean_request) {
  double requests = 0.0;
  if (item.m_zone_cost == 1) requests += kOtherZoneRequests;
  if (item.m_zone_cost == 2) requests += kOtherRegionRequests;
  if (IsOnDemand(item) && query.m_repeatable && !query.m_urgent) {
    requests += kOnDemandRequests;
  }
  return item.m_work + requests * mean_request;
}

// Returns the best of two random candidates from each group of zone cost and
// class. Random choice keeps instances with the same stale reports from sending
// to the same endpoint.
const Candidate& ChooseOfTwo(RouteState& state, Candidates& candidates,
                             const RouteQuery& query, double mean_request) {
  std::array<std::vector<const Candidate*>, kGroups> groups;
  for (const Candidate& item : candidates) {
    const auto group = static_cast<std::size_t>(2 * item.m_zone_cost) +
                       (IsOnDemand(item) ? 0U : 1U);
    groups[group].push_back(&item);
  }
  const Candidate* best = nullptr;
  double least = 0.0;
  for (const auto& group : groups) {
    for (int i = 0; i < 2 && !group.empty(); ++i) {
      const Candidate* item = group[state.m_random() % group.size()];
      const double score = Score(*item, query, mean_request);
      if (best != nullptr && score >= least) continue;
      best = item;
      least = score;
    }
  }
  return *best;
}

// Returns the best endpoint with capacity, by health, role, zone, class and
// load.
std::optional<RouteChoice> ChooseWithRoom(RouteState& state,
                                          Candidates candidates,
                                          const RouteQuery& query,
                                          double mean_request) {
  std::erase_if(candidates, [](const Candidate& item) { return !item.m_room; });
  if (candidates.empty()) return std::nullopt;
  Prefer(candidates, [](const Candidate& item) { return item.m_healthy; });
  Prefer(candidates,
         [](const Candidate& item) { return item.m_role_cost == 0; });
  RouteReason reason = RouteReason::kLeastLoad;
  if (candidates.size() == 1) reason = RouteReason::kOnly;
  if (!candidates.front().m_healthy) reason = RouteReason::kLastResort;
  return MakeChoice(ChooseOfTwo(state, candidates, query, mean_request),
                    reason);
}

// Returns true if one more ejection keeps the fleet within kMaxEjectedFraction.
bool MayEject(const FleetView& fleet) {
  std::size_t ejected = 1;
  for (const EndpointView& view : fleet.m_endpoints) {
    if (view.m_health != EndpointHealth::kHealthy) ++ejected;
  }
  return static_cast<double>(ejected) <=
         kMaxEjectedFraction * static_cast<double>(fleet.m_endpoints.size());
}

void Eject(EndpointView& view, Instant now) {
  view.m_health = EndpointHealth::kEjected;
  view.m_ejected_until =
      now + kMinEjectionTime *
                (1U << std::min(view.m_ejections, kMaxEjectionDoublings));
  ++view.m_ejections;
}

}  // namespace

bool IsLeaving(const EndpointView& view) {
  const bool reported = view.m_report && view.m_report->m_draining;
  return view.m_draining || view.m_leaving || reported;
}

double ComputeWork(const WorkCosts& costs, double prompt_tokens,
                   double output_tokens) {
  return costs.m_prefill * prompt_tokens + costs.m_decode * output_tokens;
}

void SetEndpoint(RouteState& state, const Endpoint& endpoint,
                 std::uint32_t concurrency) {
  EndpointView* view = FindMutable(state, endpoint.m_name);
  if (view != nullptr && view->m_fleet != endpoint.m_fleet) {
    RemoveEndpoint(state, endpoint.m_name);
    view = nullptr;
  }
  if (view == nullptr) {
    auto& views = state.m_fleets[endpoint.m_fleet].m_endpoints;
    state.m_locations[endpoint.m_name] = {endpoint.m_fleet, views.size()};
    view = &views.emplace_back();
    view->m_name = endpoint.m_name;
    view->m_fleet = endpoint.m_fleet;
    view->m_hash = HashName(endpoint.m_name);
  }
  view->m_zone = endpoint.m_availability_zone;
  view->m_region = endpoint.m_region;
  view->m_class = endpoint.m_class;
  view->m_role = endpoint.m_role;
  view->m_draining = endpoint.m_draining;
  view->m_concurrency = concurrency;
}

void SetEndpointPhase(RouteState& state, std::string_view endpoint,
                      EndpointPhase phase) {
  if (EndpointView* view = FindMutable(state, endpoint)) view->m_phase = phase;
}

void SetLeaving(RouteState& state, std::string_view endpoint, bool leaving) {
  if (EndpointView* view = FindMutable(state, endpoint)) {
    view->m_leaving = leaving;
  }
}

void SetOrderPending(RouteState& state, std::string_view endpoint,
                     bool ordered) {
  if (EndpointView* view = FindMutable(state, endpoint)) {
    view->m_order_pending = ordered;
  }
}

void SetRole(RouteState& state, std::string_view endpoint, EndpointRole role) {
  if (EndpointView* view = FindMutable(state, endpoint)) view->m_role = role;
}

void RemoveEndpoint(RouteState& state, std::string_view endpoint) {
  const auto found = state.m_locations.find(endpoint);
  if (found == state.m_locations.end()) return;
  auto& views = state.m_fleets[found->second.m_fleet].m_endpoints;
  const std::size_t index = found->second.m_index;
  state.m_locations.erase(found);
  if (index + 1 < views.size()) {
    views[index] = std::move(views.back());
    state.m_locations[views[index].m_name].m_index = index;
  }
  views.pop_back();
}

const EndpointView* FindEndpoint(const RouteState& state,
                                 std::string_view endpoint) {
  const auto found = state.m_locations.find(endpoint);
  if (found == state.m_locations.end()) return nullptr;
  const auto fleet = state.m_fleets.find(found->second.m_fleet);
  return &fleet->second.m_endpoints[found->second.m_index];
}

double EstimatedWork(const FleetView& fleet, const EndpointView& endpoint) {
  if (!endpoint.m_report) return endpoint.m_own_work;
  const double reported =
      endpoint.m_report->m_queued_tokens +
      kRunningRemainder * fleet.m_mean_work * endpoint.m_report->m_running;
  // Requests that finished since the report were counted in it with part of
  // their work.
  return std::max(kRunningRemainder * endpoint.m_own_work,
                  reported + endpoint.m_work_since_report);
}

double EstimatedRequests(const EndpointView& endpoint) {
  const double own = endpoint.m_own_requests;
  if (!endpoint.m_report) return own;
  const double reported = static_cast<double>(endpoint.m_report->m_queued) +
                          endpoint.m_report->m_running;
  return std::max(own, reported + endpoint.m_requests_since_report);
}

double FleetSlots(const RouteState& state, std::string_view fleet) {
  const auto found = state.m_fleets.find(fleet);
  if (found == state.m_fleets.end()) return 0.0;
  double slots = 0.0;
  for (const EndpointView& view : found->second.m_endpoints) {
    if (TakesNewWork(view) && view.m_health == EndpointHealth::kHealthy) {
      slots += view.m_concurrency;
    }
  }
  return slots;
}

std::optional<RouteChoice> ChooseEndpoint(RouteState& state,
                                          const RouteQuery& query,
                                          Instant now) {
  const auto found = state.m_fleets.find(query.m_fleet);
  if (found == state.m_fleets.end()) return std::nullopt;
  FleetView& fleet = found->second;
  Candidates usable = FindCandidates(state, fleet, query, now);
  const double mean = fleet.m_mean_work;
  std::optional<RouteChoice> choice;
  if (query.m_isolated) {
    choice = ChooseIsolated(usable);
  } else {
    choice = ChooseProbe(usable, query, now);
    if (!choice) choice = ChooseAffinity(usable, query, mean);
    if (!choice) choice = ChooseWithRoom(state, std::move(usable), query, mean);
  }
  if (choice) {
    choice->m_work = ComputeWork(state.m_costs, query.m_prompt_tokens,
                                 query.m_output_tokens);
  }
  return choice;
}

void OnSent(RouteState& state, std::string_view endpoint, double work,
            bool isolated, Instant now) {
  EndpointView* view = FindMutable(state, endpoint);
  if (view == nullptr) return;
  FleetView& fleet = state.m_fleets[view->m_fleet];
  fleet.m_mean_work += (fleet.m_mean_work == 0.0 ? 1.0 : kWorkSmoothing) *
                       (work - fleet.m_mean_work);
  ++view->m_own_requests;
  view->m_own_work += work;
  view->m_isolated = isolated;
  AddLoadDelta(*view, work, 1, now);
  if (view->m_health == EndpointHealth::kEjected &&
      now >= view->m_ejected_until) {
    view->m_health = EndpointHealth::kProbing;
  }
}

void EndIsolation(RouteState& state, std::string_view endpoint) {
  if (EndpointView* view = FindMutable(state, endpoint)) {
    view->m_isolated = false;
  }
}

void OnFinished(RouteState& state, std::string_view endpoint, double work,
                Instant now) {
  EndpointView* view = FindMutable(state, endpoint);
  if (view == nullptr) return;
  EndOwnRequest(*view, work, now);
  view->m_failures = 0;
  view->m_ejections = 0;
  view->m_health = EndpointHealth::kHealthy;
}

void OnFailed(RouteState& state, std::string_view endpoint, double work,
              FailureKind kind, Instant now) {
  EndpointView* view = FindMutable(state, endpoint);
  if (view == nullptr) return;
  EndOwnRequest(*view, work, now);
  // Further requests would be refused as well and exhaust the retry budgets.
  if (kind == FailureKind::kRefusedNotRun) {
    view->m_refused_until = now + kRefusalBackoff;
  }
  // An endpoint that refuses or returns an error is alive.
  if (kind == FailureKind::kRefusedNotRun ||
      kind == FailureKind::kAnsweredError) {
    if (view->m_health == EndpointHealth::kProbing) {
      view->m_health = EndpointHealth::kHealthy;
    }
    return;
  }
  ++view->m_failures;
  const bool enough =
      view->m_failures >= kEjectFailures || kind == FailureKind::kCrashed;
  const bool eject = view->m_health == EndpointHealth::kHealthy && enough &&
                     MayEject(state.m_fleets[view->m_fleet]);
  if (eject || view->m_health == EndpointHealth::kProbing) Eject(*view, now);
}

void OnCancelled(RouteState& state, std::string_view endpoint, double work,
                 Instant now) {
  EndpointView* view = FindMutable(state, endpoint);
  if (view == nullptr) return;
  EndOwnRequest(*view, work, now);
  if (view->m_health == EndpointHealth::kProbing) {
    view->m_health = EndpointHealth::kEjected;
  }
}

void OnLoadReport(RouteState& state, std::string_view endpoint,
                  LoadReport report, Instant now) {
  EndpointView* view = FindMutable(state, endpoint);
  if (view == nullptr) return;
  report.m_measured_at = std::min(report.m_measured_at, now);
  // Reports may arrive out of order; ignore an older one.
  if (view->m_report && report.m_measured_at < view->m_report->m_measured_at &&
      report.m_incarnation == view->m_report->m_incarnation) {
    return;
  }
  // A restarted endpoint has none of the earlier requests, so it may be probed
  // at once.
  const bool restarted =
      view->m_report && report.m_incarnation != view->m_report->m_incarnation;
  if (restarted && view->m_health == EndpointHealth::kEjected) {
    view->m_ejected_until = now;
  }
  while (!view->m_load_deltas.empty() &&
         view->m_load_deltas.front().m_time <= report.m_measured_at) {
    view->m_work_since_report -= view->m_load_deltas.front().m_work;
    view->m_requests_since_report -= view->m_load_deltas.front().m_requests;
    view->m_load_deltas.pop_front();
  }
  if (view->m_load_deltas.empty()) view->m_work_since_report = 0.0;
  view->m_received_at = now;
  view->m_report = std::move(report);
}

}  // namespace comfreypaddle
