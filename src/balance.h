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

// What an instance knows about an endpoint when it chooses one.
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
  std::uint64_t m_hash = 0;  // Of the id.
  // Requests of this instance that are there now, and the prefill work of
  // those that have not produced anything yet, milliseconds.
  std::uint32_t m_running = 0;
  double m_prefill_ms = 0;
  // The same of all other instances, and when they told it.
  std::uint32_t m_others_running = 0;
  double m_others_prefill_ms = 0;
  Instant m_others_seen{};
  // Time that requests waited there lately, and when that was seen.
  double m_wait_ms = 0;
  Instant m_wait_seen{};
  // Last byte that it sent to this instance.
  Instant m_last_sign{};
  // It rejected a request as full and gets none before this time.
  Instant m_full_until{};
  // It failed and gets none before this time while others can take it.
  Instant m_avoid_until{};
  std::uint32_t m_failures = 0;  // In a row.
  double m_failure_rate = 0;     // Moving average, of all its answers.
};

// Speeds of a service's engines as observed.
struct EngineSpeed {
  double m_prefill_tokens_per_ms = 80;  // Of an endpoint that only prefills.
  double m_kv_token_bytes = 0;
  double m_link_mbps = 0;
};

struct BalanceState {
  std::map<std::string, BalanceEndpoint, std::less<>> m_endpoints;
  std::map<std::string, EngineSpeed, std::less<>> m_speeds;  // By service.
  std::string m_zone;  // Of this instance.
  std::string m_region;
};

// A request that needs an endpoint.
struct BalanceQuery {
  std::string m_service;
  // Hash of the last part of the prompt that other requests share; zero: none.
  std::uint64_t m_shared_hash = 0;
  double m_shared_tokens = 0;  // Up to and with that part.
  double m_own_tokens = 0;     // Behind it.
  bool m_is_prompt = false;
  // Differs from request to request: chooses among endpoints that look alike.
  std::uint64_t m_spread = 0;
  bool m_allow_split = true;            // Prefill on an endpoint of its own.
  std::vector<std::string> m_excluded;  // Endpoints tried before.
};

enum class BalanceReason {
  kAffinity,   // Home of the shared part of the prompt.
  kLeastLoad,  // Shortest estimated time.
  kLastResort  // All endpoints with room have failed lately.
};

template <>
struct EnumNames<BalanceReason> {
  static constexpr std::array<EnumName<BalanceReason>, 3> kTable{
      {{BalanceReason::kAffinity, "affinity"},
       {BalanceReason::kLeastLoad, "least_load"},
       {BalanceReason::kLastResort, "last_resort"}}};
};

struct BalanceChoice {
  std::string m_endpoint;  // That runs the request.
  std::string m_prefill;   // That reads the prompt first; empty: the same.
  BalanceReason m_reason = BalanceReason::kLeastLoad;
  double m_estimate_ms = 0;
  double m_work_ms = 0;  // Prefill work of the request where it is done.
};

// Chooses where a request runs. Nothing if no endpoint may take it now.
std::optional<BalanceChoice> ChooseRun(const BalanceState& state,
                                       const BalanceQuery& query, Instant now);

// Chooses a decode endpoint for a prompt that was read at another one.
std::optional<std::string> ChooseDecode(const BalanceState& state,
                                        const BalanceQuery& query, Instant now);

// Counts a request that was sent to the endpoint.
void OnRunSent(BalanceState& state, const std::string& endpoint,
               double work_ms);

// Counts the end of its prefill, and of the request.
void OnPrefillDone(BalanceState& state, const std::string& endpoint,
                   double work_ms);
void OnRunEnded(BalanceState& state, const std::string& endpoint);

// Notes that the endpoint sent something, rejected a request as full, or
// failed.
void OnEndpointAnswered(BalanceState& state, const std::string& endpoint,
                        Instant now);
void OnEndpointFull(BalanceState& state, const std::string& endpoint,
                    Instant now);
void OnEndpointFailed(BalanceState& state, const std::string& endpoint,
                      Instant now);

// Notes that another endpoint, or another lifetime of it, has its address: it
// gets nothing until the list of endpoints has caught up.
void OnEndpointReplaced(BalanceState& state, const std::string& endpoint,
                        Instant now);

// Work of a request at an endpoint and the time that it took there.
struct PrefillTiming {
  double m_tokens = 0;  // Read, as far as is known; zero: not known.
  double m_work_ms = 0;
  double m_took_ms = 0;
};

// Learns the speed of the service and the wait at the endpoint.
void OnPrefillTimed(BalanceState& state, const std::string& endpoint,
                    const PrefillTiming& timing, Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BALANCE_H_
