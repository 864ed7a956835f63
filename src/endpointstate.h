#ifndef COMFREYPADDLE_ENDPOINTSTATE_H_
#define COMFREYPADDLE_ENDPOINTSTATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpointlimit.h"
#include "endpointmemory.h"
#include "prefixmap.h"
#include "types.h"

namespace comfreypaddle {

// Prompt prefixes up to this length are recomputed anywhere instead of being
// routed by affinity.
inline constexpr double kMaxUnroutedPrefixTokens = 1500;

// Maximum age of the load reported by other instances.
inline constexpr Duration kMaxRemoteLoadAge = std::chrono::milliseconds(400);

enum class EngineStage { kNone, kPrefill, kDecode };

template <>
struct EnumNames<EngineStage> {
  static constexpr std::array<EnumName<EngineStage>, 3> kTable{
      {{EngineStage::kNone, "none"},
       {EngineStage::kPrefill, "prefill"},
       {EngineStage::kDecode, "decode"}}};
};

// Load balancing state of one endpoint, as seen by this instance.
struct BalanceEndpoint {
  std::string m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_region;
  EngineStage m_stage = EngineStage::kNone;
  double m_slots = 1;
  bool m_draining = false;  // According to the list of endpoints.
  bool m_leaving = false;   // According to its own responses.
  // A later lifetime than the listed one that leaves; zero if there is none.
  std::uint64_t m_leaving_born_ms = 0;
  bool m_cheap = false;
  bool m_cold = false;
  std::uint64_t m_born_ms = 0;
  Instant m_born_at{};    // The same by the local clock, if it is known.
  std::string m_version;  // Of its software; empty if unknown.
  // It has named a later lifetime than the listed one, so that m_version does
  // not count.
  bool m_is_outdated = false;
  std::uint64_t m_hash = 0;  // Hash of m_id, for rendezvous hashing.
  // Requests of this instance that run at the endpoint, and the estimated
  // prefill work, in milliseconds, of those that have not produced a token yet.
  std::uint32_t m_running = 0;
  double m_prefill_ms = 0;
  // The same figures summed over all other instances, and when they were last
  // reported.
  std::uint32_t m_remote_running = 0;
  double m_remote_prefill_ms = 0;
  Instant m_remote_reported_at{};
  // Recent queueing delay at the endpoint and when it was last sampled.
  double m_wait_ms = 0;
  Instant m_wait_sampled_at{};
  // When this instance last received a byte from it.
  Instant m_last_response_at{};
  // Set when it rejected a request as full; it gets no request before this
  // time.
  Instant m_full_until{};
  Instant m_full_at{};  // Last rejection as full.
  // Set when it failed; it gets no request before this time unless no other
  // endpoint can take one.
  Instant m_avoid_until{};
  EndpointLimit m_limit;    // Named by the endpoint for all instances together.
  EndpointMemory m_memory;  // Held by the requests of all instances.
  std::uint32_t m_failures = 0;  // Consecutive failures.
  double m_failure_rate = 0;     // Moving average over all responses.
};

// Measured speeds of a service's engines.
struct EngineSpeed {
  double m_prefill_tokens_per_ms = 80;  // Of a dedicated prefill endpoint.
  std::uint32_t m_samples = 0;          // Of the prefill speed.
  double m_kv_token_bytes = 0;
  double m_link_mbps = 0;
  double m_kv_tokens = 0;  // Memory of an engine; zero if not known.
};

// An endpoint that vanished from the list after it had said something about
// itself. An entry that was removed during an outage of the store may return.
struct VanishedEndpoint {
  BalanceEndpoint m_last;
  Instant m_vanished{};
};

// A prefix that an endpoint has in its cache.
struct CachedPrefix {
  std::uint64_t m_prefix_hash = 0;
  std::uint64_t m_endpoint_hash = 0;
};

struct BalanceState {
  std::map<std::string, BalanceEndpoint, std::less<>> m_endpoints;
  std::map<std::string, VanishedEndpoint, std::less<>> m_vanished;
  std::map<std::string, EngineSpeed, std::less<>> m_speeds;  // By service.
  PrefixMap m_prefixes;
  // Uses of prefixes that the other instances were not told yet.
  std::vector<CachedPrefix> m_new_prefixes;
  std::string m_zone;  // Zone of this instance.
  std::string m_region;
  LimitPeers m_limit_peers;
  // Prefill work, in milliseconds, that all instances together keep in flight
  // at an endpoint before new requests wait; zero for no bound.
  double m_window_ms = 0;
};

// Replaces the list of endpoints. An endpoint keeps the load and health that
// are known of it if id, start time and address are the same; otherwise it has
// restarted. Returns the addresses of which idle connections must be closed,
// because their endpoint is gone or has restarted.
std::vector<std::string> UpdateEndpoints(BalanceState& state,
                                         std::vector<BalanceEndpoint> list,
                                         Instant now);

// Returns the endpoint with this id, or null.
BalanceEndpoint* FindEndpoint(BalanceState& state, const std::string& id);
const BalanceEndpoint* FindEndpoint(const BalanceState& state,
                                    const std::string& id);

// Whether the endpoint may be sent requests: it is not leaving and has not
// asked for a pause that still lasts.
bool AcceptsRequests(const BalanceEndpoint& endpoint, Instant now);

// Whether this instance may send the endpoint a request now: it accepts
// requests, and the limit that it has named leaves one for this instance.
bool MaySend(const BalanceState& state, const BalanceEndpoint& endpoint,
             Instant now);

// Whether what was said at this time is of a former lifetime of the endpoint.
bool IsOfFormerLifetime(const BalanceEndpoint& endpoint, Instant said);

// Counts a request that is about to be sent, or is bound to be, to the limit of
// the endpoint.
void CountToLimit(BalanceState& state, const std::string& endpoint,
                  Instant now);

// Records what a response to this or another instance said of the endpoint's
// limit, unless it was a former lifetime of the endpoint. Returns whether the
// limit changed.
bool OnLimitStatement(BalanceState& state, const std::string& endpoint,
                      const LimitStatement& statement, Instant now);

// Sets the instances that may hold limits.
void SetLimitPeers(BalanceState& state, LimitPeers peers, Instant now);

// Accounts for a request that was sent to the endpoint.
void OnRequestDispatched(BalanceState& state, const std::string& endpoint,
                         double work_ms);

// Records that the endpoint has a shared prefix of this length in its cache,
// tokens. Short prefixes are not worth it.
void OnPrefixCached(BalanceState& state, const std::string& endpoint,
                    std::uint64_t prefix_hash, double tokens, Instant now);

// Returns the uses of prefixes that the other instances were not told yet.
std::vector<CachedPrefix> TakeNewPrefixes(BalanceState& state);

// Records a use that another instance told.
void OnPeerPrefix(BalanceState& state, const BalanceEndpoint& endpoint,
                  std::uint64_t prefix_hash, Instant now);

// Counts the memory of a request at the endpoint until it is released. A
// request of an earlier lifetime of the endpoint releases nothing.
void HoldEndpointMemory(BalanceState& state, const std::string& endpoint,
                        const MemoryNeed& need);
void ReleaseEndpointMemory(BalanceState& state, const std::string& endpoint,
                           std::uint64_t born_ms, const MemoryNeed& need);

// Accounts for the end of the prefill of a request.
void OnPrefillDone(BalanceState& state, const std::string& endpoint,
                   double work_ms);

// Accounts for the end of a request that was sent to this lifetime of the
// endpoint, with the prefill work that was left of it.
void OnRequestCompleted(BalanceState& state, const std::string& endpoint,
                        std::uint64_t born_ms, double work_ms);

// Record that the endpoint sent data, rejected a request as full, or failed. A
// full endpoint may ask for a pause in seconds; absurd values are corrected.
void OnEndpointAnswered(BalanceState& state, const std::string& endpoint,
                        Instant now);
void OnEndpointFull(BalanceState& state, const std::string& endpoint,
                    std::optional<double> retry_after_s, Instant now);
void OnEndpointFailed(BalanceState& state, const std::string& endpoint,
                      Instant now);

// Records that the endpoint said in a response that it is leaving. It gets no
// new request for the rest of its lifetime, whatever the list says. Returns
// false if that was known.
bool OnEndpointLeaving(BalanceState& state, const std::string& endpoint);

// Records the same of a lifetime of the endpoint, unless it is a former one.
// One that is not listed yet will get no request when it is. Returns false if
// it was known.
bool OnLifetimeLeaving(BalanceState& state, const std::string& endpoint,
                       std::uint64_t born_ms);

// Records that the endpoint's address now belongs to another endpoint or to a
// restarted one. It gets no request until the endpoint list is up to date.
void OnEndpointReplaced(BalanceState& state, const std::string& endpoint,
                        Instant now);

// Prefill work of a request and the time that it took.
struct PrefillTiming {
  double m_tokens = 0;  // Prompt tokens processed; zero if not known.
  double m_work_ms = 0;
  double m_elapsed_ms = 0;
};

// Updates the prefill speed of the service and the queueing delay of the
// endpoint.
void OnPrefillTimed(BalanceState& state, const std::string& endpoint,
                    const PrefillTiming& timing, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTSTATE_H_
