#include "endpointlimit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "hashmix.h"

namespace comfreypaddle {

namespace {

// Holders of the lowest limits, and requests per second for which there is
// another one.
constexpr std::uint32_t kMinHolders = 3;
constexpr double kRatePerHolder = 2;

// Lowest rate that is applied, in requests per second: without any request,
// none would learn of the limit's end.
constexpr double kMinRate = 0.1;

// Requests that an instance may save up.
constexpr double kMaxSaved = 1;

// Age from which a statement is old, and for how long it then is the turn of as
// many other instances as there are holders.
constexpr Duration kOldAge = std::chrono::seconds(10);
constexpr Duration kTurnTime = std::chrono::seconds(4);

// Time for which other instances are told that there is no limit any more.
constexpr Duration kEndNewsTime = std::chrono::seconds(5);

// Requests per second that a holder may send.
double RateOfHolder(const EndpointLimit& limit) {
  return limit.m_statement->m_rate / limit.m_holders;
}

// Requests that a holder may send.
double RequestsAt(const EndpointLimit& limit, Instant now) {
  const std::chrono::duration<double> elapsed =
      std::max(now - limit.m_counted_at, Duration(0));
  return std::min(limit.m_requests + RateOfHolder(limit) * elapsed.count(),
                  kMaxSaved);
}

void Count(EndpointLimit& limit, Instant now) {
  if (!IsHolder(limit)) return;
  limit.m_requests = RequestsAt(limit, now);
  limit.m_counted_at = now;
}

// Whether it is the turn of this instance, which is no holder, and it has not
// sent a request in this turn.
bool IsTurn(const EndpointLimit& limit, const LimitPeers& peers, Instant now) {
  const Instant old_from = limit.m_statement->m_said_at + kOldAge;
  if (now <= old_from) return false;
  const auto turn = static_cast<std::uint64_t>((now - old_from) / kTurnTime);
  const std::uint64_t groups =
      (peers.m_instances.size() - 1) / limit.m_holders;  // Besides the holders.
  if (groups == 0 || limit.m_rank / limit.m_holders != 1 + turn % groups) {
    return false;
  }
  return limit.m_sent_at < old_from + kTurnTime * static_cast<int>(turn);
}

}  // namespace

std::uint64_t InstanceHash(std::string_view name) {
  return XXH64(name.data(), name.size(), 0);
}

bool IsLimited(const EndpointLimit& limit) {
  return limit.m_statement && limit.m_statement->m_rate > 0;
}

bool IsHolder(const EndpointLimit& limit) {
  return IsLimited(limit) && limit.m_rank < limit.m_holders;
}

bool IsReadableRate(double rate) { return std::isfinite(rate) && rate >= 0; }

LimitStatement StatementOf(std::optional<double> named_rate, Instant now) {
  if (!named_rate) return {0, now};
  if (!IsReadableRate(*named_rate)) return {*named_rate, now};
  return {std::max(*named_rate, kMinRate), now};
}

void SelectHolders(EndpointLimit& limit, std::uint64_t endpoint_hash,
                   const LimitPeers& peers, Instant now) {
  if (!IsLimited(limit)) return;
  const bool was_holder = IsHolder(limit);
  Count(limit, now);
  const auto live = static_cast<std::uint32_t>(peers.m_instances.size());
  const double further =
      std::min<double>(limit.m_statement->m_rate / kRatePerHolder, live);
  const std::uint64_t own = MixHashes(endpoint_hash, peers.m_self);
  bool is_listed = false;
  limit.m_rank = 0;
  for (const std::uint64_t instance : peers.m_instances) {
    if (instance == peers.m_self) is_listed = true;
    if (MixHashes(endpoint_hash, instance) > own) ++limit.m_rank;
  }
  // The others do not count an instance that is not listed.
  if (!is_listed) limit.m_rank = std::numeric_limits<std::uint32_t>::max();
  limit.m_holders = std::clamp<std::uint32_t>(
      kMinHolders + static_cast<std::uint32_t>(further), 1,
      std::max<std::uint32_t>(live, 1));
  if (was_holder || !IsHolder(limit)) return;
  // The holder that it replaces may have just sent a request.
  limit.m_requests = 0;
  limit.m_counted_at = now;
}

bool ApplyStatement(EndpointLimit& limit, const LimitStatement& statement,
                    std::uint64_t endpoint_hash, const LimitPeers& peers,
                    Instant now) {
  if (!IsReadableRate(statement.m_rate)) return false;
  const bool known = limit.m_statement.has_value();
  if (!known && statement.m_rate <= 0) return false;
  if (known && statement.m_said_at <= limit.m_statement->m_said_at) {
    return false;
  }
  const double before = known ? limit.m_statement->m_rate : 0;
  Count(limit, now);
  limit.m_statement = statement;
  if (statement.m_rate == before) return false;
  if (before <= 0) {
    limit.m_holders = 0;  // No holder yet, so that nothing is saved up.
  }
  SelectHolders(limit, endpoint_hash, peers, now);
  return true;
}

bool MaySendWithin(const EndpointLimit& limit, const LimitPeers& peers,
                   Instant now) {
  if (!IsLimited(limit)) return true;
  if (peers.m_stopping) return false;
  return IsHolder(limit) ? RequestsAt(limit, now) >= 1
                         : IsTurn(limit, peers, now);
}

void CountSent(EndpointLimit& limit, Instant now) {
  if (!IsLimited(limit)) return;
  Count(limit, now);
  limit.m_requests -= 1;
  limit.m_sent_at = now;
}

std::optional<Duration> TimeToNext(const EndpointLimit& limit,
                                   const LimitPeers& peers, Instant now) {
  if (MaySendWithin(limit, peers, now)) return Duration(0);
  if (peers.m_stopping || !IsHolder(limit)) return std::nullopt;
  const std::chrono::duration<double> time((1 - RequestsAt(limit, now)) /
                                           RateOfHolder(limit));
  return std::chrono::ceil<Duration>(time);
}

std::optional<LimitStatement> StatementToShare(const EndpointLimit& limit,
                                               Instant now) {
  if (!limit.m_statement) return std::nullopt;
  if (IsLimited(limit) || now - limit.m_statement->m_said_at < kEndNewsTime) {
    return limit.m_statement;
  }
  return std::nullopt;
}

}  // namespace comfreypaddle
