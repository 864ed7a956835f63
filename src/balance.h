#ifndef COMFREYPADDLE_BALANCE_H_
#define COMFREYPADDLE_BALANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endpointstate.h"
#include "streamversions.h"
#include "types.h"

namespace comfreypaddle {

// A request that needs an endpoint.
struct BalanceQuery {
  std::string m_service;
  // Hash of the prompt prefix that other requests share; zero if there is none.
  std::uint64_t m_shared_prefix_hash = 0;
  double m_shared_prefix_tokens = 0;  // Length of that prefix.
  double m_suffix_tokens = 0;         // Tokens after the prefix.
  double m_output_tokens = 0;         // At most.
  bool m_is_prompt = false;
  // Per-request random value that breaks ties between equally loaded endpoints.
  std::uint64_t m_tie_break_seed = 0;
  bool m_allow_split = true;            // Allow prefill on a separate endpoint.
  std::vector<std::string> m_excluded;  // Endpoints that have been tried.
  // Version of the endpoints that may run the request: of a stream, the one
  // that began it. Unset: any. A prefill may run at any version, because a KV
  // cache depends on the weights only.
  std::optional<StreamVersion> m_version;
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
  double m_wait_ms = 0;  // Estimated time until it begins with it.
  // Address of an endpoint from which the one that does the prefill fetches the
  // part of the shared prefix that it lacks; empty if none is known.
  std::string m_fetch_address;
};

// Selects the endpoints for a request. Returns nothing if no endpoint can take
// it now.
std::optional<BalanceChoice> SelectEndpoint(const BalanceState& state,
                                            const BalanceQuery& query,
                                            Instant now);

// Fraction of the slots in use, by all instances, of the service's endpoints
// that accept requests. One if there are none.
double ServiceLoad(const BalanceState& state, const std::string& service,
                   Instant now);

// Selects a decode endpoint for a prompt whose prefill ran on another endpoint.
std::optional<std::string> ChooseDecode(const BalanceState& state,
                                        const BalanceQuery& query, Instant now);

// Memory that the request needs at the endpoint that runs it, or at the one
// that does its prefill only.
MemoryNeed NeedOfRun(const BalanceQuery& query);
MemoryNeed NeedOfPrefill(const BalanceQuery& query);

// What the memory of the endpoints that could run the request says of it.
enum class MemoryVerdict {
  kFits,      // At some endpoint that can take a request, or at none of them.
  kShort,     // Those that can take a request lack memory now.
  kTooLarge,  // It needs more than an endpoint has.
};

MemoryVerdict JudgeMemory(const BalanceState& state, const BalanceQuery& query,
                          Instant now);

// Whether the endpoint has the version of the endpoints that may run the
// request.
bool HasVersion(const BalanceQuery& query, const BalanceEndpoint& endpoint);

// Whether all endpoints of the version that may run the request have left or
// have been tried, while some of another version remain: the caller had better
// ask for a new stream.
bool IsVersionGone(const BalanceState& state, const BalanceQuery& query);

// Time until a limit lets this instance send the request, where limits are all
// that is in the way at every endpoint of the service. Nothing if an endpoint
// without a limit may take it soon, or if limits are not in the way.
std::optional<Duration> TimeToLimitedEndpoint(const BalanceState& state,
                                              const BalanceQuery& query,
                                              Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_BALANCE_H_
