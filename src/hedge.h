#ifndef COMFREYPADDLE_HEDGE_H_
#define COMFREYPADDLE_HEDGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "resend.h"
#include "types.h"

namespace comfreypaddle {

// Hedged requests: an idempotent request that takes longer than most of its
// route at its service is sent to a second endpoint beside the first, and the
// first complete response counts. These functions learn how long the requests
// of a route take and decide when a second copy may be sent.
//
// The extra work is bounded by a share of the route's answered requests, by a
// rate of all instances together and by the retry budget of the service. Share
// and rate accumulate as credit, of which an instance saves up one hedge at
// most: N instances send at most the share, or rate x time, and N hedges more.
// The credit of an instance begins at an even draw from 0 to 1. Where hundreds
// of instances see a few requests each, they send the share together, although
// most of them never earn a whole hedge.

struct HedgeLimits {
  bool m_enabled = false;
  double m_quantile = 0.95;  // Of the response times; hedges start after it.
  Duration m_min_delay = std::chrono::milliseconds(30);
  double m_ratio = 0.05;    // Hedges for each answered request of the route.
  double m_rate = 10;       // Hedges per second, all instances together.
  double m_max_load = 0.5;  // Fraction of the service's slots in use.
};

// Why a hedge that is due is not sent.
enum class HedgeDenial {
  kAttempts,     // The request has made all attempts of its route.
  kSuspect,      // An endpoint crashed under the request.
  kTooLate,      // The second endpoint could not answer before the deadline.
  kQueue,        // Requests to the service wait for an endpoint.
  kLoad,         // The endpoints of the service are too busy.
  kRatio,        // The route's share is used up.
  kRate,         // The rate is used up.
  kRetryBudget,  // The retry budget is needed for failed requests.
  kNoEndpoint,   // No other endpoint is sound and has room.
};

template <>
struct EnumNames<HedgeDenial> {
  static constexpr std::array<EnumName<HedgeDenial>, 9> kTable{
      {{HedgeDenial::kAttempts, "attempts"},
       {HedgeDenial::kSuspect, "suspect"},
       {HedgeDenial::kTooLate, "too_late"},
       {HedgeDenial::kQueue, "queue"},
       {HedgeDenial::kLoad, "load"},
       {HedgeDenial::kRatio, "ratio"},
       {HedgeDenial::kRate, "rate"},
       {HedgeDenial::kRetryBudget, "retry_budget"},
       {HedgeDenial::kNoEndpoint, "no_endpoint"}}};
};

// Number of buckets of the response times, whose bounds grow geometrically.
inline constexpr std::size_t kResponseTimeBuckets = 80;

// Histogram of the response times of a route. Old samples lose weight as new
// ones arrive.
struct ResponseTimes {
  std::array<double, kResponseTimeBuckets> m_counts{};
  double m_total = 0;
};

// Requests of one route to one service.
struct HedgeRoute {
  std::string m_service;
  std::string m_route;

  bool operator<(const HedgeRoute& other) const {
    return std::tie(m_service, m_route) <
           std::tie(other.m_service, other.m_route);
  }
};

struct RouteHedging {
  ResponseTimes m_times;
  std::optional<Duration> m_usual;  // Their quantile, once enough are known.
  double m_credit = 0;              // Hedges that the route's share allows now.
  Instant m_paused_until{};         // The service was too busy for hedges.
};

struct HedgeCounters {
  std::uint64_t m_sent = 0;
  std::uint64_t m_won = 0;  // Answered by the second endpoint.
  std::map<HedgeDenial, std::uint64_t> m_denied;  // Requests, by reason.
};

struct HedgeState {
  HedgeLimits m_limits;
  std::uint64_t m_seed = 0;  // Of the initial credit; differs by instance.
  std::map<HedgeRoute, RouteHedging> m_routes;
  double m_rate_credit = 0;
  std::optional<Instant> m_rate_credit_at;  // Unset before the first request.
  HedgeCounters m_counters;
};

// A request that is due for a hedge, and the state of its service.
struct HedgeQuestion {
  HedgeRoute m_route;
  Duration m_time_left{0};  // Until the deadline.
  bool m_has_attempts_left = false;
  bool m_is_suspect = false;
  bool m_is_service_queued = false;
  double m_load = 0;  // Fraction of the service's slots in use.
  ResendUse m_retries;
  std::uint32_t m_instances = 1;  // That share the rate.
};

// Adds the time that a request of the route took at its first endpoint. Of a
// request that another endpoint answered first, the time until then: it lies
// above the quantile like the true one.
void AddResponseTime(HedgeState& state, const HedgeRoute& route, Duration time);

// Credits an answered request to the share of its route. Requests without an
// answer earn nothing, so that a failing service gets no hedges.
void CreditRequest(HedgeState& state, const HedgeRoute& route, Instant now);

// Time after which a request of the route may be hedged: the quantile of its
// response times, but not so late that the second endpoint could not respond
// within the route's target time. Where a slow endpoint gets more than the
// quantile leaves over, the quantile is that endpoint's own time. A route
// without a target time (zero) has only the quantile.
Duration HedgeDelay(const HedgeState& state, const HedgeRoute& route,
                    Duration target);

// Hedges that the rate allows this instance now, at most one.
double RateCredit(const HedgeState& state, std::uint32_t instances,
                  Instant now);

// Returns why the credit of the route or of the rate allows no hedge now.
std::optional<HedgeDenial> FindCreditDenial(const HedgeState& state,
                                            const HedgeRoute& route,
                                            std::uint32_t instances,
                                            Instant now);

// Returns why the request may not be hedged, or nothing if it may.
std::optional<HedgeDenial> FindHedgeDenial(const HedgeState& state,
                                           const HedgeQuestion& question,
                                           Instant now);

// Pauses the hedging of the route after a denial for the state of its service,
// which is the same for all its requests, and tells whether it is paused.
void PauseHedging(HedgeState& state, const HedgeRoute& route, Instant now);
bool IsHedgingPaused(const HedgeState& state, const HedgeRoute& route,
                     Instant now);

// Charges a hedge that is about to be sent.
void ChargeHedge(HedgeState& state, const HedgeRoute& route,
                 std::uint32_t instances, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HEDGE_H_
