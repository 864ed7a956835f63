#ifndef COMFREYPADDLE_ENDPOINTLIMIT_H_
#define COMFREYPADDLE_ENDPOINTLIMIT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "types.h"

namespace comfreypaddle {

// An endpoint in need names a limit in its responses: the requests per second
// that it takes from all instances together. Only a few instances, the holders
// of the limit, send requests to it. All instances select the same holders by
// rendezvous hashing over the live ones. Each holder has an equal part of the
// limit and never saves up more than one request, so that any span of time gets
// at most the limit and one request a holder. An even division among all
// instances would let hundreds of them send one request at the same moment.
//
// Only a response tells that a limit has changed or ended, and the holders may
// have no requests for the endpoint, or may be gone. Once the newest response
// is old, the other instances may send one request in turn.

// What a response said of the limit.
struct LimitStatement {
  double m_rate = 0;  // Requests per second; zero: there is no limit.
  Instant m_said_at{};
};

// Limit of one endpoint, as one instance applies it.
struct EndpointLimit {
  // The newest statement that is known, of this or of another instance. Nothing
  // until a response has named a limit.
  std::optional<LimitStatement> m_statement;
  std::uint32_t m_holders = 0;
  // Number of live instances that precede this one; it is a holder if there are
  // fewer than holders.
  std::uint32_t m_rank = 0;
  double m_requests = 0;  // That this instance may send at m_counted_at.
  Instant m_counted_at{};
  Instant m_sent_at{};  // Last request of this instance under the limit.
};

// Instances that may hold limits.
struct LimitPeers {
  std::vector<std::uint64_t> m_instances;  // Hashes of the live ones' names.
  std::uint64_t m_self = 0;
  // In a planned stop, in which the others divide the limits without it.
  bool m_stopping = false;
};

// Hash of an instance's name, by which holders are selected.
std::uint64_t InstanceHash(std::string_view name);

// Whether a rate can be applied: no negative or infinite one, and a number.
bool IsReadableRate(double rate);

// Statement of a response that names this limit, or none.
LimitStatement StatementOf(std::optional<double> named_rate, Instant now);

// Applies a statement unless a newer one is known. Returns whether the limit
// changed. An unreadable rate changes nothing.
bool ApplyStatement(EndpointLimit& limit, const LimitStatement& statement,
                    std::uint64_t endpoint_hash, const LimitPeers& peers,
                    Instant now);

// Selects the holders again after a change of the instances.
void SelectHolders(EndpointLimit& limit, std::uint64_t endpoint_hash,
                   const LimitPeers& peers, Instant now);

// Whether a limit is in force, and whether this instance is one of its holders.
bool IsLimited(const EndpointLimit& limit);
bool IsHolder(const EndpointLimit& limit);

// Whether this instance may send a request now.
bool MaySendWithin(const EndpointLimit& limit, const LimitPeers& peers,
                   Instant now);

// Counts a request that is about to be sent.
void CountSent(EndpointLimit& limit, Instant now);

// Time until this instance may send a request; nothing if it is no holder.
std::optional<Duration> TimeToNext(const EndpointLimit& limit,
                                   const LimitPeers& peers, Instant now);

// The statement, if other instances should be told of it still.
std::optional<LimitStatement> StatementToShare(const EndpointLimit& limit,
                                               Instant now);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENDPOINTLIMIT_H_
