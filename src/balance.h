#ifndef COMFREYPADDLE_BALANCE_H_
#define COMFREYPADDLE_BALANCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

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
  bool m_draining = false;
  bool m_cheap = false;
  bool m_cold = false;
  std::uint64_t m_born_ms = 0;
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
  // Set when it failed; it gets no request before this time unless no other
  // endpoint can take one.
  Instant m_avoid_until{};
  std::uint32_t m_failures = 0;  // Consecutive failures.
  double m_failure_rate = 0;     // Moving average over all responses.
};

// Measured speeds of a service's engines.
struct EngineSpeed {
  double m_prefill_tokens_per_ms = 80;  // Of a dedicated prefill endpoint.
  double m_kv_token_bytes = 0;
  double m_link_mbps = 0;
};

struct BalanceState {
  std::map<std::string, BalanceEndpoint, std::less<>> m_endpoints;
  std::map<std::string, EngineSpeed, std::less<>> m_speeds;  // By service.
  std::string m_zone;  // Zone of this instance.
  std::string m_region;
};

// A request that needs an endpoint.
struct BalanceQuery {
  std::string m_service;
  // Hash of the prompt prefix that other requests share; zero if there is none.
  std::uint64_t m_shared_prefix_hash = 0;
  double m_shared_prefix_tokens = 0;  // Length of that prefix.
  double m_suffix_tokens = 0;         // Tokens after the prefix.
  bool m_is_prompt = false;
  // Per-request random value that breaks ties between equally loaded endpoints.
  std::uint64_t m_tie_break_seed = 0;
  bool m_allow_split = true;            // Allow prefill on a separate endpoint.
  std::vector<std::string> m_excluded;  // Endpoints that have been tried.
};

enum class BalanceReason {
  kAffinity,   // Preferred endpoint for the prompt prefix.
  kLeastLoad,  // Shortest estimated latency.
  kLastResort  // Every endpoint with a free slot has failed recently.
};

template <>
struct EnumNames<BalanceReason> {
  static constexpr std::array<EnumName<BalanceReason>, 3> kTable{
      {{BalanceReason::kAffinity, "affinity"},
       {BalanceReason::kLeastLoad, "least_load"},
       {BalanceReason::kLastResort, "last_resort"}}};
};

struct BalanceChoice {
  std::string m_endpoint;  // Runs the request.
  std::string m_prefill;  // Runs the prefill; empty if it is the same endpoint.
  BalanceReason m_reason = BalanceReason::kLeastLoad;
  double m_estimate_ms = 0;
  double m_work_ms = 0;  // Prefill work at the endpoint that does it.
};

// Selects the endpoints for a request. Returns nothing if no endpoint can take
// it now.
std::optional<BalanceChoice> SelectEndpoint(const BalanceState& state,
                                            const BalanceQuery& query,
                                            Instant now);

// Selects a decode endpoint for a prompt whose prefill ran on another endpoint.
std::optional<std::string> ChooseDecode(const BalanceState& state,
                                        const BalanceQuery& query, Instant now);

// Accounts for a request that was sent to the endpoint.
void OnRequestDispatched(BalanceState& state, const std::string& endpoint,
                         double work_ms);

// Account for the end of its prefill and of the whole request.
void OnPrefillDone(BalanceState& state, const std::string& endpoint,
                   double work_ms);
void OnRequestCompleted(BalanceState& state, const std::string& endpoint);

// Record that the endpoint sent data, rejected a request as full, or failed.
void OnEndpointAnswered(BalanceState& state, const std::string& endpoint,
                        Instant now);
void OnEndpointFull(BalanceState& state, const std::string& endpoint,
                    Instant now);
void OnEndpointFailed(BalanceState& state, const std::string& endpoint,
                      Instant now);

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

#endif  // COMFREYPADDLE_BALANCE_H_
