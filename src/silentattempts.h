#ifndef COMFREYPADDLE_SILENTATTEMPTS_H_
#define COMFREYPADDLE_SILENTATTEMPTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// Attempts that ended without a byte of a response. An endpoint that goes dark
// as it begins to run a request sends nothing, not even a reset. That it has
// crashed shows seconds later, when it is back as another lifetime or its
// address refuses connections. Until then silence proves nothing: the endpoint
// may be slow, paused or cut off, and answers again as the same lifetime.

// Time after its end for which an attempt may turn out to have met a crash. The
// entry of a crashed endpoint lapses after three missed reports (3.6 s), and
// endpoints that went dark are back after some five seconds.
inline constexpr Duration kSilenceRetention = std::chrono::seconds(10);

// Attempts that are kept: a few hundred a second, each for kSilenceRetention.
inline constexpr std::size_t kMaxSilentAttempts = 4096;

struct SilentAttempt {
  std::uint64_t m_request = 0;  // Fingerprint of its content.
  // Lifetime of the endpoint, and its address, when the attempt was sent.
  std::uint64_t m_born_ms = 0;
  std::string m_address;
  Instant m_ended{};
};

struct SilentAttempts {
  std::map<std::string, std::vector<SilentAttempt>, std::less<>> m_by_endpoint;
  std::size_t m_size = 0;
};

// Adds an attempt, which replaces an earlier one of the same request at the
// same lifetime. Returns false if the table is full.
bool AddSilentAttempt(SilentAttempts& table, const std::string& endpoint,
                      const SilentAttempt& attempt);

// Forgets the attempts at this lifetime of the endpoint that had ended by this
// time or later: it is alive.
void ForgetAnswered(SilentAttempts& table, const std::string& endpoint,
                    std::uint64_t born_ms, Instant ended);

// Forgets the attempts at an endpoint that leaves as planned.
void ForgetEndpoint(SilentAttempts& table, const std::string& endpoint);

// Forgets the attempts of a request that an endpoint has answered.
void ForgetRequest(SilentAttempts& table, std::uint64_t request);

// Forgets attempts that ended kSilenceRetention ago.
void ExpireSilentAttempts(SilentAttempts& table, Instant now);

// Removes the attempts at earlier lifetimes of the endpoint than this one,
// which have ended. Returns them without those that are too old.
std::vector<SilentAttempt> TakeEndedLifetimes(SilentAttempts& table,
                                              const std::string& endpoint,
                                              std::uint64_t born_ms,
                                              Instant now);

// Does the same with the attempts at an address where the endpoint no longer
// listens.
std::vector<SilentAttempt> TakeUnreachable(SilentAttempts& table,
                                           const std::string& endpoint,
                                           const std::string& address,
                                           Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SILENTATTEMPTS_H_
